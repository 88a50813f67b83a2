//! Decides for how long the beginning of a response is held before it is passed on.

use crate::{Nanos, SECOND};

/// Maximum hold of a chunked response.
const MAX_CHUNKED_HOLD: Nanos = SECOND / 2;
/// Maximum hold of a response that ends with its connection. It is longer than that of a chunked one, since a proxy's own client
/// may have no other way to see that such a response broke off; held back for 2 s, a response counts as lost.
const MAX_CLOSE_DELIMITED_HOLD: Nanos = SECOND * 3 / 2;

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

/// Returns when the beginning of a response whose head came at `head_at` is passed on although its end has not come; `None`: not before its
/// end, or before it exceeds the buffer.
///
/// A response of announced length is known to be short or long. Of any other it is not known: while it is held, another attempt may serve
/// instead if it breaks off. Danger: an answer that is still arriving when its client's time ends must not be dropped, since the client is
/// owed what a node gives of a long one; so the hold ends with `answer_due` at the latest, whatever has come by then.
pub fn hold_until(framing: Framing, head_at: Nanos, answer_due: Nanos) -> Option<Nanos> {
    let max_hold = match framing {
        Framing::Length => return None,
        Framing::Chunked => MAX_CHUNKED_HOLD,
        Framing::Close => MAX_CLOSE_DELIMITED_HOLD,
    };
    Some(head_at.saturating_add(max_hold).min(answer_due))
}
