//! Rules that were broken.

use crate::labels;

labels! {
    /// A rule that was broken, found out at the moment in which it was.
    pub enum Violation {
        /// An attempt was written after the request's final answer.
        SentAfterAnswer = "sent_after_answer",
        /// An attempt was begun more than 0.1 s after its client had gone.
        SentForGoneClient = "sent_for_gone_client",
        /// An attempt was begun at a node that had left.
        SentToLeavingNode = "sent_to_leaving_node",
        /// A repeat was begun when the nodes may have forgotten the attempts before it.
        RepeatedPastWindow = "repeated_past_window",
        /// A node was told of more time than the client has left.
        DeadlineOverstated = "deadline_overstated",
        /// A connection was closed under a request that was read and not answered.
        ClosedUnanswered = "closed_unanswered",
        /// The process ended with a request that was read and not answered.
        EndedUnanswered = "ended_unanswered",
        /// A request was answered later than its client waits, by half a second or more.
        AnsweredLate = "answered_late",
        /// A process said that it serves in place of another and could not.
        SaidServingUnready = "said_serving_unready",
    }
}
