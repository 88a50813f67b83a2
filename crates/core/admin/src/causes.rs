//! Why requests were tried again, refused or failed, and why connections to nodes ended.

use rushquay_invariants::labels;

labels! {
    /// What preceded a retry, a refusal or a failure.
    pub enum Cause {
        /// Nothing was sent: the module did not take the request, or knew no node for it.
        NotSent = "not_sent",
        /// The policy that the proxy acts by, or its floor.
        Policy = "policy",
        /// A node lacked the key.
        Miss = "miss",
        /// A node had no room.
        Full = "full",
        /// No connection came up, or it broke before the request's last byte.
        Unreached = "unreached",
        /// The connection broke behind the request's last byte.
        Reset = "reset",
        /// No answer came in time.
        Timeout = "timeout",
        /// The node answered with an error.
        Error = "error",
        /// The attempt was called off, or denied at its last look.
        NotWritten = "not_written",
        /// An attempt beside one that is still out.
        SecondCopy = "second_copy",
        /// The module had no answer in time.
        Overdue = "overdue",
        /// The request could not be used.
        BadRequest = "bad_request",
        /// A request under the same id was open.
        DuplicateId = "duplicate_id",
    }
}

labels! {
    /// Why a request or a connection was turned away before the class of a request was known.
    pub enum TurnedAway {
        /// The request could not be parsed.
        Unparsable = "unparsable",
        /// Its framing can be read in two ways, or its path is cut.
        BadFraming = "bad_framing",
        /// No class has its name.
        UnknownClass = "unknown_class",
        /// No route leads anywhere.
        NoRoute = "no_route",
        /// A route or its cluster's limits answered it.
        ByRoute = "by_route",
        /// The process ended before the connection had a place.
        NeverLetIn = "never_let_in",
    }
}

labels! {
    /// Why a connection to a node ended.
    pub enum NodeCloseCause {
        /// It stood idle for too long, or the node ended it while it was idle.
        Idle = "idle",
        /// Its descriptor was needed.
        MadeRoom = "made_room",
        /// The node drains, was removed, restarted or moved.
        NodeChanged = "node_changed",
        /// Bytes stood behind its last answer, or it had ended, when it was to be used again.
        NotClean = "not_clean",
        /// Its last answer was not to be followed by another, or it had carried enough.
        Finished = "finished",
        /// An attempt on it failed or was called off.
        Failed = "failed",
    }
}
