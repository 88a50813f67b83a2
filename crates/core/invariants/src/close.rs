//! Decides whether a client connection may be closed now.

use crate::{labels, Violation};

labels! {
    /// Why a client connection is closed.
    pub enum CloseCause {
        /// The client closed or reset it.
        PeerEnded = "peer_ended",
        /// The last response announced it: the client requested that, or its request was malformed.
        AnswerSaidSo = "answer_said_so",
        /// It exceeded the idle timeout.
        Idle = "idle",
        /// The process is draining.
        Drain = "drain",
        /// Its slot is needed for another connection.
        MadeRoom = "made_room",
        /// The client never sent a request, or stopped in the middle of a request head.
        NoRequest = "no_request",
        /// The client does not read its response.
        NotRead = "not_read",
        /// The source of the response failed in the middle of the body.
        BrokenAnswer = "broken_answer",
        /// The process exits.
        ProcessEnd = "process_end",
    }
}

/// What is known about a connection that is to be closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// A request that was read has no response yet.
    pub answering: bool,
    /// Pipelined bytes were read after that request: whole requests or a part of one.
    pub read_behind: bool,
    /// Only a part of a request head was read.
    pub head_begun: bool,
    /// A part of a response is not written yet, as the client has not read what precedes it.
    pub unwritten: bool,
    /// The client has gone.
    pub peer_gone: bool,
}

/// What the proxy still owes the client and must deliver before it closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owed {
    /// A response to a request that was read.
    Answer,
    /// The rest of a response.
    RestOfAnswer,
    /// Time to send the rest of a request head.
    RestOfHead,
}

/// Decides whether a connection may be closed for `cause`; called before every close.
///
/// # Errors
/// Returns what is still owed to the client.
pub fn may_close(facts: &ConnectionFacts, cause: CloseCause) -> Result<(), Owed> {
    if facts.peer_gone {
        return Ok(());
    }
    // A client that does not read its response cannot prevent the close: everything queued behind it waits for that read.
    if cause == CloseCause::NotRead {
        return Ok(());
    }
    if facts.answering || facts.read_behind {
        return Err(Owed::Answer);
    }
    if facts.unwritten {
        return Err(Owed::RestOfAnswer);
    }
    // A partial head is bounded by a timeout of its own, and is given up where its slot is needed.
    let head_may_finish =
        !matches!(cause, CloseCause::NoRequest | CloseCause::MadeRoom | CloseCause::ProcessEnd);
    if facts.head_begun && head_may_finish {
        return Err(Owed::RestOfHead);
    }
    Ok(())
}

/// Checks a connection that has just been closed by this side.
pub fn check_closed(facts: &ConnectionFacts, cause: CloseCause) -> Option<Violation> {
    let client_caused_it = matches!(cause, CloseCause::PeerEnded | CloseCause::NotRead);
    // After a response that announces the close nothing more is read, and bytes after a request with unusable framing are not
    // a request.
    let rest_is_unusable = cause == CloseCause::AnswerSaidSo;
    if facts.peer_gone || client_caused_it || !facts.answering && (rest_is_unusable || !facts.read_behind) {
        return None;
    }
    Some(match cause {
        CloseCause::ProcessEnd => Violation::EndedUnanswered,
        _ => Violation::ClosedUnanswered,
    })
}
