//! Decides whether a client connection may be closed now.

use crate::{labels, Violation};

labels! {
    /// Why a client connection is closed.
    pub enum CloseCause {
        /// The client closed or reset it.
        PeerEnded = "peer_ended",
        /// The last response announced the close, as the client had requested it or its request was malformed.
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
        /// The source of the response failed in the middle of its body.
        BrokenAnswer = "broken_answer",
        /// The process exits.
        ProcessEnd = "process_end",
    }
}

/// The facts about a connection that is about to be closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// A request that was read has no response yet.
    pub answering: bool,
    /// Bytes were read after that request: pipelined requests, complete or in part.
    pub read_behind: bool,
    /// Only a part of a request head was read.
    pub head_begun: bool,
    /// Part of a response could not be written yet, as the client has not read what precedes it.
    pub unwritten: bool,
    /// The client has closed or reset the connection.
    pub peer_gone: bool,
}

/// What the proxy must still deliver to the client, or wait for, before it closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outstanding {
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
/// The connection must not be closed yet; the error says what has to precede the close.
pub fn may_close(facts: &ConnectionFacts, cause: CloseCause) -> Result<(), Outstanding> {
    if facts.peer_gone {
        return Ok(());
    }
    // A client that does not read its response cannot prevent the close: nothing after that response can be delivered to it.
    if cause == CloseCause::NotRead {
        return Ok(());
    }
    if facts.answering || facts.read_behind {
        return Err(Outstanding::Answer);
    }
    if facts.unwritten {
        return Err(Outstanding::RestOfAnswer);
    }
    // A partial head has a timeout of its own, and does not prevent the close if the slot is needed or the process exits.
    let may_finish_head =
        !matches!(cause, CloseCause::NoRequest | CloseCause::MadeRoom | CloseCause::ProcessEnd);
    if facts.head_begun && may_finish_head {
        return Err(Outstanding::RestOfHead);
    }
    Ok(())
}

/// Checks the close of a connection that this process has just closed.
pub fn check_closed(facts: &ConnectionFacts, cause: CloseCause) -> Option<Violation> {
    let is_caused_by_client = matches!(cause, CloseCause::PeerEnded | CloseCause::NotRead);
    // After a response that announces the close, further requests are not read; and after a request with invalid framing, the
    // bytes that follow cannot be parsed as requests.
    let is_rest_ignored = cause == CloseCause::AnswerSaidSo;
    if facts.peer_gone || is_caused_by_client || !facts.answering && (is_rest_ignored || !facts.read_behind) {
        return None;
    }
    Some(match cause {
        CloseCause::ProcessEnd => Violation::EndedUnanswered,
        _ => Violation::ClosedUnanswered,
    })
}
