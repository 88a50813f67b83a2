//! Violations of the invariants.

use crate::labels;

labels! {
    /// A violation of an invariant, detected when it happens.
    pub enum Violation {
        /// An attempt was written after the request's final response.
        SentAfterAnswer = "sent_after_answer",
        /// An attempt began more than 100 ms after its client was gone.
        SentForGoneClient = "sent_for_gone_client",
        /// An attempt began at an endpoint that was draining, removed or replaced.
        SentToLeavingNode = "sent_to_leaving_node",
        /// A retry began when the endpoints might no longer remember the earlier attempts.
        RepeatedPastWindow = "repeated_past_window",
        /// The time left announced to an endpoint exceeded the actual one.
        DeadlineOverstated = "deadline_overstated",
        /// A connection was closed while a request that was read had no response.
        ClosedUnanswered = "closed_unanswered",
        /// The process exited while a request that was read had no response.
        EndedUnanswered = "ended_unanswered",
        /// A response was given half a second or more after its client's deadline.
        AnsweredLate = "answered_late",
        /// A process reported that it can take over serving when it could not.
        SaidServingUnready = "said_serving_unready",
        /// A task ended by a panic.
        TaskPanicked = "task_panicked",
    }
}
