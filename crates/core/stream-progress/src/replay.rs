//! Decides whether a request body can be sent again: only while all that was sent of it is still buffered.

/// How much of a request body is buffered for further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replay {
    /// All of it: it can be sent any number of times.
    Whole,
    /// Its beginning, and no attempt has read beyond it yet.
    Beginning,
    /// Its beginning, and an attempt has read beyond it: no other attempt is possible.
    Spent,
}

impl Replay {
    /// The state of a body whose beginning is buffered; `whole` says that the beginning is the entire body.
    pub fn of(whole: bool) -> Self {
        if whole {
            Replay::Whole
        } else {
            Replay::Beginning
        }
    }

    /// Whether an attempt may begin. Danger: after an attempt has read beyond the buffered beginning, another one would send a
    /// body with a hole in it.
    pub fn may_send(self) -> bool {
        self != Replay::Spent
    }

    /// Claims the part beyond the buffered beginning for an attempt; returns whether it is granted. Of two concurrent attempts
    /// only the first one gets it.
    pub fn past(&mut self) -> bool {
        let is_granted = *self == Replay::Beginning;
        if is_granted {
            *self = Replay::Spent;
        }
        is_granted
    }
}
