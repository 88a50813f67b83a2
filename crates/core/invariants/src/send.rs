//! Decides whether an attempt, initial or retried, may be written to an endpoint now.

use crate::{labels, Nanos, Violation, MILLISECOND};

/// State of the request for which an attempt is made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestState {
    /// The final response has not been given yet.
    #[default]
    Open,
    /// The final response was given at this time.
    Answered(Nanos),
    /// The client closed the connection or cancelled the request, which was noticed at this time.
    Abandoned(Nanos),
}

/// State of the endpoint to which an attempt is sent, by the latest endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeStanding {
    /// It accepts new requests.
    #[default]
    Ready,
    /// It is draining, was removed, or has restarted since it was chosen.
    Left,
}

/// The facts when the first byte of an attempt is about to be written.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendFacts {
    /// The current time.
    pub now: Nanos,
    /// State of the request.
    pub request: RequestState,
    /// State of the endpoint.
    pub node: NodeStanding,
    /// The client's deadline for the response.
    pub deadline: Nanos,
    /// Time before which a retry has to begin, so that the endpoints still remember the earlier attempts and deduplicate it;
    /// `None`: the attempt is not a retry, or does not rely on deduplication.
    pub retry_deadline: Option<Nanos>,
    /// Bytes that this attempt did not ask for have arrived on its connection, or the connection has ended.
    pub has_input: bool,
}

labels! {
    /// Why an attempt must not be written.
    pub enum SendDenied {
        /// The request already has its final response.
        Answered = "answered",
        /// The client is gone.
        Abandoned = "abandoned",
        /// The endpoint is draining, was removed or was replaced.
        NodeLeft = "node_left",
        /// The client's deadline has passed.
        Late = "late",
        /// The endpoints may no longer remember the earlier attempts.
        RepeatWindow = "repeat_window",
        /// Its connection has unread bytes, which would be taken for its response, or has ended.
        UnreadInput = "unread_input",
    }
}

/// Decides whether an attempt may be written; called before every attempt.
///
/// # Errors
/// The attempt must not be written; the error says why.
pub fn may_send(facts: &SendFacts) -> Result<(), SendDenied> {
    match facts.request {
        RequestState::Answered(_) => return Err(SendDenied::Answered),
        RequestState::Abandoned(_) => return Err(SendDenied::Abandoned),
        RequestState::Open => {}
    }
    if facts.node == NodeStanding::Left {
        return Err(SendDenied::NodeLeft);
    }
    if facts.now >= facts.deadline {
        return Err(SendDenied::Late);
    }
    if facts.retry_deadline.is_some_and(|repeat_by| facts.now >= repeat_by) {
        return Err(SendDenied::RepeatWindow);
    }
    if facts.has_input {
        return Err(SendDenied::UnreadInput);
    }
    Ok(())
}

/// Maximum time after the client was noticed to be gone at which an attempt may still begin.
const ABANDONED_SLACK: Nanos = 100 * MILLISECOND;
/// Amount by which the time left announced to the endpoint may exceed the actual one.
const TIME_LEFT_SLACK: Nanos = 150 * MILLISECOND;
/// Amount by which a retry may begin after its `repeat_by`, which already leaves this time for the transfer to the endpoint.
const REPEAT_WINDOW_SLACK: Nanos = 50 * MILLISECOND;

/// An attempt as it was actually written.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// The facts when the first byte was written; `now` is the time of that write.
    pub facts: SendFacts,
    /// The time left until the deadline, as announced to the endpoint.
    pub announced_time_left: Nanos,
}

/// Checks an attempt whose first byte has just been written. The rules are those of [`may_send`] with some slack, as the
/// process may have been paused between the decision and the write.
pub fn check_sent(sent: &SentAttempt) -> Option<Violation> {
    let SendFacts { now, request, node, deadline, retry_deadline: repeat_by, .. } = sent.facts;
    match request {
        RequestState::Answered(_) => return Some(Violation::SentAfterAnswer),
        RequestState::Abandoned(noticed_at) if now.saturating_sub(noticed_at) > ABANDONED_SLACK => {
            return Some(Violation::SentForGoneClient);
        }
        _ => {}
    }
    if node == NodeStanding::Left {
        return Some(Violation::SentToLeavingNode);
    }
    if repeat_by.is_some_and(|repeat_by| now > repeat_by.saturating_add(REPEAT_WINDOW_SLACK)) {
        return Some(Violation::RepeatedPastWindow);
    }
    let time_left = deadline.saturating_sub(now);
    (sent.announced_time_left > time_left.saturating_add(TIME_LEFT_SLACK))
        .then_some(Violation::DeadlineOverstated)
}
