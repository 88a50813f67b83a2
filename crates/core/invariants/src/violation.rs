//! Violations of the invariants.

use crate::labels;

labels! {
    /// A violated invariant, detected at the moment of the violation.
    pub enum Violation {
        /// An attempt was written after the request's final response.
        SentAfterAnswer = "sent_after_answer",
        /// An attempt began more than 100 ms after its client was gone.
        SentForGoneClient = "sent_for_gone_client",
        /// An attempt began at an endpoint that was draining, removed or replaced.
        SentToLeavingNode = "sent_to_leaving_node",
        /// A retry began when the endpoints may no longer have remembered the attempts before it.
        RepeatedPastWindow = "repeated_past_window",
        /// An endpoint was given more time than the client has left.
        DeadlineOverstated = "deadline_overstated",
        /// A connection was closed while a request that was read had no response.
        ClosedUnanswered = "closed_unanswered",
        /// The process exited while a request that was read had no response.
        EndedUnanswered = "ended_unanswered",
        /// A response was given half a second or more after its client's deadline.
        AnsweredLate = "answered_late",
        /// A process reported that it can take over serving, and could not.
        SaidServingUnready = "said_serving_unready",
    }
}
