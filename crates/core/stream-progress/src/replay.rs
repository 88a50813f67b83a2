//! A body is sent again only from what is still held whole.

/// What is held of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replay {
    /// All of it: as often as one likes.
    Whole,
    /// Its beginning, and nothing behind that has been asked for yet.
    Beginning,
    /// Its beginning, and more has gone out: that attempt is the only one.
    Spent,
}

impl Replay {
    /// Of a body of which the beginning is held; `whole`: that is all there is.
    pub fn of(whole: bool) -> Self {
        if whole {
            Replay::Whole
        } else {
            Replay::Beginning
        }
    }

    /// Whether an attempt may begin. Danger: a second one would send a body with a hole in it.
    pub fn may_send(self) -> bool {
        self != Replay::Spent
    }

    /// An attempt asks for what is behind the beginning; whether it gets it. Of two attempts at once only the first does.
    pub fn past(&mut self) -> bool {
        let got = *self == Replay::Beginning;
        if got {
            *self = Replay::Spent;
        }
        got
    }
}
