//! What is counted.

macro_rules! kinds {
    ($($(#[doc = $doc:literal])+ $kind:ident = $name:literal,)+) => {
        /// What a proxy does, by cause.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $($(#[doc = $doc])+ $kind,)+
        }

        impl Kind {
            /// All kinds, in the order in which they are shown.
            pub const ALL: [Kind; [$($name),+].len()] = [$(Kind::$kind),+];

            /// Its name in lines and tables.
            pub fn name(self) -> &'static str {
                match self {
                    $(Kind::$kind => $name,)+
                }
            }
        }
    };
}

kinds! {
    /// A client's request.
    Arrival = "arrival",
    /// A request was served.
    Served = "served",
    /// A request was failed.
    Failed = "failed",
    /// Refused with nothing sent for it.
    RefusedUnsent = "refused.unsent",
    /// Refused after a node lacked the key and the origin was not asked.
    RefusedMiss = "refused.miss",
    /// Refused after a full node.
    RefusedFull = "refused.full",
    /// Refused after a connection that never came up.
    RefusedUnreached = "refused.unreached",
    /// Refused after silence.
    RefusedSilent = "refused.silent",
    /// Refused after an error, a reset or what was never written.
    RefusedOther = "refused.other",
    /// A first attempt at a cache node.
    First = "attempt.first",
    /// A first attempt at the origin: a write.
    Write = "attempt.write",
    /// A fetch after a miss.
    Fetch = "attempt.fetch",
    /// A fetch after silence.
    FetchSilent = "attempt.fetch_silent",
    /// A retry after a connection that never came up.
    AgainUnreached = "attempt.again_unreached",
    /// A retry after anything else.
    Again = "attempt.again",
    /// A second copy beside one that is out.
    Copy = "attempt.copy",
    /// Of all attempts, those at a node within its cold time.
    Cold = "attempt.cold",
    /// An attempt was answered.
    Answered = "outcome.ok",
    /// A node lacked the key.
    Missed = "outcome.miss",
    /// A node had no room.
    Full = "outcome.full",
    /// A connection did not come up.
    Unreached = "outcome.unreached",
    /// No answer in time.
    Silent = "outcome.silent",
    /// Error, reset, or called off.
    Broken = "outcome.broken",
    /// A connection was opened to a node that had none.
    HandshakeNew = "handshake.new",
    /// A connection was opened beside others to that node that were all busy.
    HandshakeBusy = "handshake.busy",
    /// A node turned a new connection away.
    TurnedAway = "handshake.turned_away",
    /// Connections closed idle, by the limit in time.
    ClosedIdle = "closed.idle",
    /// Discovery was asked for the whole list.
    ListWhole = "list.whole",
    /// Discovery was asked for changes.
    ListWatch = "list.watch",
    /// Entries that discovery sent.
    ListLines = "list.lines",
    /// Discovery turned a call away.
    ListRefused = "list.refused",
    /// Discovery said nothing in time.
    ListSilent = "list.silent",
    /// Discovery's answer broke, or could not be read.
    ListBroken = "list.broken",
}
