//! May the first byte of an attempt, first or repeated, be written now?

use crate::{labels, Nanos, Violation, MILLISECOND};

/// How the request stands that an attempt is made for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestState {
    /// Its final answer is still due.
    #[default]
    Open,
    /// It has had its final answer, since this time.
    Answered(Nanos),
    /// Its client closed the connection or cancelled, as was noticed at this time.
    Abandoned(Nanos),
}

/// How the node stands that an attempt goes to, by the list as it was last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeStanding {
    /// It takes new work.
    #[default]
    Ready,
    /// It drains, was removed, or is no longer the process that was chosen.
    Left,
}

/// What is known at the moment in which the first byte would be written.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendFacts {
    /// The time.
    pub now: Nanos,
    /// The request.
    pub request: RequestState,
    /// The node.
    pub node: NodeStanding,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// By when a repeat has to begin, so that it meets nodes which remember the attempts before it; `None`: the attempt is no
    /// repeat, or needs nobody's memory.
    pub repeat_by: Option<Nanos>,
}

labels! {
    /// Why an attempt must not be written.
    pub enum SendDenied {
        /// The request has had its final answer.
        Answered = "answered",
        /// The client has gone.
        Abandoned = "abandoned",
        /// The node drains, was removed or was replaced.
        NodeLeft = "node_left",
        /// The client no longer waits.
        Late = "late",
        /// The nodes may have forgotten the attempts before it.
        RepeatWindow = "repeat_window",
    }
}

/// The guard of every attempt.
///
/// # Errors
/// Why it must not be written.
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
    if facts.repeat_by.is_some_and(|by| facts.now >= by) {
        return Err(SendDenied::RepeatWindow);
    }
    Ok(())
}

/// An attempt may begin so long after its client has gone.
const ABANDONED_SLACK: Nanos = 100 * MILLISECOND;
/// What is told of the time left may exceed it by so much.
const TIME_LEFT_SLACK: Nanos = 150 * MILLISECOND;
/// A repeat's window was bounded with this left for the way to the node.
const WINDOW_SLACK: Nanos = 50 * MILLISECOND;

/// What was in fact written of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// What was known when the first byte was written; its `now` is that moment.
    pub facts: SendFacts,
    /// The time left that the node was told.
    pub told_left: Nanos,
}

/// Checks an attempt whose first byte has just been written against the rules, with the slack that they allow. Between the guard
/// and the write the process may have been held up.
pub fn check_sent(sent: &Sent) -> Option<Violation> {
    let SendFacts { now, request, node, deadline, repeat_by } = sent.facts;
    match request {
        RequestState::Answered(_) => return Some(Violation::SentAfterAnswer),
        RequestState::Abandoned(since) if now.saturating_sub(since) > ABANDONED_SLACK => {
            return Some(Violation::SentForGoneClient);
        }
        _ => {}
    }
    if node == NodeStanding::Left {
        return Some(Violation::SentToLeavingNode);
    }
    if repeat_by.is_some_and(|by| now > by.saturating_add(WINDOW_SLACK)) {
        return Some(Violation::RepeatedPastWindow);
    }
    let left = deadline.saturating_sub(now);
    (sent.told_left > left.saturating_add(TIME_LEFT_SLACK)).then_some(Violation::DeadlineOverstated)
}
