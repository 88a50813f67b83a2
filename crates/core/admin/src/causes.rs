//! Metric labels for why requests were retried, rejected or failed, and why upstream connections were closed.

use rushquay_invariants::labels;

labels! {
    /// What led to a retry, a rejection or a failure.
    pub enum Cause {
        /// Nothing was sent: the decision module did not accept the request, or had no endpoint for it.
        NotSent = "not_sent",
        /// The active policy or the fallback policy rejected the request.
        Policy = "policy",
        /// The endpoint did not have the key.
        Miss = "miss",
        /// The endpoint was at capacity.
        Full = "full",
        /// No connection was established, or it broke before the request's last byte was sent.
        Unreached = "unreached",
        /// The connection broke after the request's last byte was sent.
        Reset = "reset",
        /// No response arrived in time.
        Timeout = "timeout",
        /// The endpoint responded with an error.
        Error = "error",
        /// The attempt was cancelled, or denied by the final check before its first byte.
        NotWritten = "not_written",
        /// A hedged attempt, made while another one is still in flight.
        SecondCopy = "second_copy",
        /// The decision module did not decide in time.
        Overdue = "overdue",
        /// The request was malformed.
        BadRequest = "bad_request",
        /// A request with the same id was still open.
        DuplicateId = "duplicate_id",
    }
}

labels! {
    /// Why a request or a connection was rejected before the request's class was known.
    pub enum TurnedAway {
        /// The request could not be parsed.
        Unparsable = "unparsable",
        /// Its framing is ambiguous, or its path is truncated.
        BadFraming = "bad_framing",
        /// It names an unknown class.
        UnknownClass = "unknown_class",
        /// No route matches it.
        NoRoute = "no_route",
        /// A route, or the limits of the route's cluster, answered it directly.
        ByRoute = "by_route",
        /// The process ended before the connection got a slot.
        NeverLetIn = "never_let_in",
        /// No slot was free for its connection in time.
        NoSlot = "no_slot",
    }
}

labels! {
    /// Why a connection to an endpoint was closed.
    pub enum NodeCloseCause {
        /// It was idle for too long, or the endpoint closed it while it was idle.
        Idle = "idle",
        /// Its file descriptor was needed elsewhere.
        MadeRoom = "made_room",
        /// The endpoint is draining, was removed, restarted or changed its address.
        NodeChanged = "node_changed",
        /// When it was to be reused, it had unread bytes after its last response, or was closed already.
        NotClean = "not_clean",
        /// Its last response forbade reuse, or it had served its maximum of requests.
        Finished = "finished",
        /// An attempt on it failed or was cancelled.
        Failed = "failed",
        /// The endpoint sent bytes behind a response that no request had asked for.
        Unsolicited = "unsolicited",
    }
}

labels! {
    /// Who has said something about an endpoint.
    pub enum StatementSource {
        /// The proxy's own discovery.
        Discovery = "discovery",
        /// The list that the process was started with.
        Configured = "configured",
        /// The control service.
        Control = "control",
    }
}
