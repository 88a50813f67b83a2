//! May a client's connection be closed now?

use crate::{labels, Violation};

labels! {
    /// Why a client's connection ends.
    pub enum CloseCause {
        /// The client closed or reset it.
        PeerEnded = "peer_ended",
        /// Its last answer said so: the client asked for that, or the request could not be used.
        AnswerSaidSo = "answer_said_so",
        /// It has been idle for long.
        Idle = "idle",
        /// The process drains.
        Drain = "drain",
        /// Its place is needed for another.
        MadeRoom = "made_room",
        /// It never asked, or stopped in the middle of a head.
        NoRequest = "no_request",
        /// The client does not take its answer.
        NotRead = "not_read",
        /// The answer's source broke in the midst of its body.
        BrokenAnswer = "broken_answer",
        /// The process ends.
        ProcessEnd = "process_end",
    }
}

/// What is known of a connection that is to be closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// A request that was read has no answer yet.
    pub answering: bool,
    /// Whole requests, or a part of one, were read behind that.
    pub read_behind: bool,
    /// A part of a head was read, and no more.
    pub head_begun: bool,
    /// A part of an answer waits for the client to read.
    pub unwritten: bool,
    /// The client has gone.
    pub peer_gone: bool,
}

/// What stands against closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owed {
    /// An answer to a request that was read.
    Answer,
    /// The rest of an answer.
    RestOfAnswer,
    /// Time for the rest of a head.
    RestOfHead,
}

/// The guard of every close.
///
/// # Errors
/// What is still owed to the client.
pub fn may_close(facts: &ConnectionFacts, cause: CloseCause) -> Result<(), Owed> {
    if facts.peer_gone {
        return Ok(());
    }
    // Who does not read its answer keeps nobody from closing: all that comes behind would wait for that.
    if cause == CloseCause::NotRead {
        return Ok(());
    }
    if facts.answering || facts.read_behind {
        return Err(Owed::Answer);
    }
    if facts.unwritten {
        return Err(Owed::RestOfAnswer);
    }
    // A head that has begun has its own time limit, and gives way where its place is needed.
    let keeps_time = !matches!(cause, CloseCause::NoRequest | CloseCause::MadeRoom | CloseCause::ProcessEnd);
    if facts.head_begun && keeps_time {
        return Err(Owed::RestOfHead);
    }
    Ok(())
}

/// Checks a connection that has just ended for a reason of this side.
pub fn check_closed(facts: &ConnectionFacts, cause: CloseCause) -> Option<Violation> {
    let client_ended_it = matches!(cause, CloseCause::PeerEnded | CloseCause::NotRead);
    // Behind an answer that says close nothing is read, and what a request without a usable frame has behind it is none.
    let unusable_rest = cause == CloseCause::AnswerSaidSo;
    if facts.peer_gone || client_ended_it || !facts.answering && (unusable_rest || !facts.read_behind) {
        return None;
    }
    Some(match cause {
        CloseCause::ProcessEnd => Violation::EndedUnanswered,
        _ => Violation::ClosedUnanswered,
    })
}
