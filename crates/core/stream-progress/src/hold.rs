//! Decides for how long the beginning of a response is held before it is passed on.

use crate::{Nanos, SECOND};

/// Maximum hold of a chunked response.
const MAX_CHUNKED_HOLD: Nanos = SECOND / 2;
/// Hold of a response that ends with its connection, while it arrives. It is longer than that of a chunked one, since a reset shows that such
/// a response broke off; held back for 2 s, a response counts as lost.
const CLOSE_DELIMITED_HOLD: Nanos = SECOND * 3 / 2;

/// How the end of a message body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length that is announced, or there is no body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the close of the connection. A reset does not end the body.
    Close,
}

/// Until when the beginning of a response is held although its end has not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Bytes that come from then on end the hold. A node that has stopped may have broken off, so that another attempt should serve.
    pub arriving_until: Nanos,
    /// The hold ends then, whatever has come.
    pub until: Nanos,
}

impl Hold {
    /// Returns the hold of a response whose head came at `head_at`; `None`: it is not passed on before its end, or before it exceeds the buffer.
    ///
    /// A response of announced length is known to be short or long. Of any other it is not known: while it is held, another attempt may serve
    /// instead if it breaks off. Danger: an answer that is still arriving when its client's time ends must not be dropped, since the client is
    /// owed what a node gives of a long one; so the hold ends with `answer_due` at the latest.
    pub fn of(framing: Framing, head_at: Nanos, answer_due: Nanos) -> Option<Self> {
        let at = |hold: Nanos| head_at.saturating_add(hold).min(answer_due);
        match framing {
            Framing::Length => None,
            Framing::Chunked => {
                Some(Hold { arriving_until: at(MAX_CHUNKED_HOLD), until: at(MAX_CHUNKED_HOLD) })
            }
            Framing::Close => Some(Hold { arriving_until: at(CLOSE_DELIMITED_HOLD), until: answer_due }),
        }
    }
}
