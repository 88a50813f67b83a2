//! Decides whether a request body can be sent again, which requires that everything sent of it so far is still buffered.

/// How much of a request body is buffered for further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replay {
    /// The entire body: it can be sent any number of times.
    Whole,
    /// Its beginning; no attempt has read beyond that yet.
    Beginning,
    /// Its beginning, but an attempt has read beyond that: no further attempt is possible.
    Spent,
}

impl Replay {
    /// The state of a body whose beginning is buffered; `whole`: the buffer contains the entire body.
    pub fn of(whole: bool) -> Self {
        if whole {
            Replay::Whole
        } else {
            Replay::Beginning
        }
    }

    /// Whether an attempt may begin. Danger: once an attempt has read beyond the buffered beginning, another attempt would send
    /// a body with a gap.
    pub fn may_send(self) -> bool {
        self != Replay::Spent
    }

    /// Claims the part beyond the buffered beginning for an attempt; returns whether the claim is granted. Of concurrent
    /// attempts, only the first is granted it.
    pub fn claim_rest(&mut self) -> bool {
        let is_granted = *self == Replay::Beginning;
        if is_granted {
            *self = Replay::Spent;
        }
        is_granted
    }
}
