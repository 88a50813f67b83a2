//! The kinds of events that are counted.

macro_rules! kinds {
    ($($(#[doc = $doc:literal])+ $kind:ident = $name:literal,)+) => {
        /// An event at a proxy, by cause.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $($(#[doc = $doc])+ $kind,)+
        }

        impl Kind {
            /// All kinds, in the order in which they are rendered.
            pub const ALL: [Kind; [$($name),+].len()] = [$(Kind::$kind),+];

            /// The name used in account lines and tables.
            pub fn name(self) -> &'static str {
                match self {
                    $(Kind::$kind => $name,)+
                }
            }
        }
    };
}

kinds! {
    /// A client's request arrived.
    Arrival = "arrival",
    /// A request was served.
    Served = "served",
    /// A request failed.
    Failed = "failed",
    /// Rejected without any attempt.
    RefusedUnsent = "refused.unsent",
    /// Rejected after a cache miss without a request to the origin.
    RefusedMiss = "refused.miss",
    /// Rejected after an endpoint was at capacity.
    RefusedFull = "refused.full",
    /// Rejected after a connection could not be established.
    RefusedUnreached = "refused.unreached",
    /// Rejected after a timeout.
    RefusedSilent = "refused.silent",
    /// Rejected after an error, a reset, or an attempt that was never written.
    RefusedOther = "refused.other",
    /// A first attempt at a cache node.
    First = "attempt.first",
    /// A first attempt at the origin: a write.
    Write = "attempt.write",
    /// A fetch from the origin after a cache miss.
    Fetch = "attempt.fetch",
    /// A fetch from the origin after a timeout.
    FetchSilent = "attempt.fetch_silent",
    /// A retry after a connection could not be established.
    AgainUnreached = "attempt.again_unreached",
    /// A retry after anything else.
    Again = "attempt.again",
    /// A hedged attempt beside one in flight.
    Copy = "attempt.copy",
    /// Of all attempts, those at an endpoint in slow start.
    Cold = "attempt.cold",
    /// An attempt got a response.
    Answered = "outcome.ok",
    /// An endpoint did not have the key.
    Missed = "outcome.miss",
    /// An endpoint was at capacity.
    Full = "outcome.full",
    /// A connection could not be established.
    Unreached = "outcome.unreached",
    /// No response arrived in time.
    Silent = "outcome.silent",
    /// Error, reset, or cancellation.
    Broken = "outcome.broken",
    /// A connection was opened to an endpoint that had none from this proxy.
    HandshakeNew = "handshake.new",
    /// A connection was opened to an endpoint whose other connections were all busy.
    HandshakeBusy = "handshake.busy",
    /// An endpoint rejected a new connection.
    TurnedAway = "handshake.turned_away",
    /// Connections closed by the idle timeout.
    ClosedIdle = "closed.idle",
    /// Discovery was queried for the whole endpoint list.
    ListWhole = "list.whole",
    /// Discovery was queried for changes (a watch).
    ListWatch = "list.watch",
    /// Entries that discovery sent.
    ListLines = "list.lines",
    /// Discovery rejected a call.
    ListRefused = "list.refused",
    /// Discovery did not respond in time.
    ListSilent = "list.silent",
    /// Discovery's response broke off, or could not be parsed.
    ListBroken = "list.broken",
}
