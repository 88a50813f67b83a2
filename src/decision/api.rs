//! Types between a proxy and the decision module: settings handed over at start, events in, actions out.
//!
//! All times are nanoseconds. The caller owns clock, sockets and timers; [`crate::Balancer`] owns none of
//! them.

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// Stable identity of a server: the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// Identity of a request at this proxy; below 2^52, never used twice.
pub type RequestId = u64;

/// Derives the identity of a server from its name (FNV-1a, then mixed), so that all proxies agree on it.
pub fn server_id(name: &str) -> ServerId {
    let h = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// May a request of a class run again?
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    #[default]
    Safe,
    /// Servers of the class's group drop repeats within its window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which servers remember a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Full worth is earned up to here.
    pub aim: Nanos,
    /// The client gives up here, counted over all its tries.
    pub deadline: Nanos,
    /// Whether it may run again.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long repeats are dropped.
    pub dedup_window: Nanos,
    /// Part of the worth that a late answer earns.
    pub late_value: f64,
    /// Worth of a request (or of a unit of its work).
    pub worth: f64,
    /// The answer is streamed.
    pub stream: bool,
    /// The only zones that the class may be sent to; `None`: all.
    pub zones: Option<Vec<u32>>,
    /// The only machine kinds that it may be sent to; `None`: all.
    pub kinds: Option<Vec<u32>>,
}

impl Class {
    /// Whether it may be sent to the same servers as another.
    pub fn placed_as(&self, other: &Class) -> bool {
        self.zones == other.zones && self.kinds == other.kinds
    }
}

/// A tenant's share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second in its share, over all proxies.
    pub quota_rps: f64,
}

/// What the proxy is told at start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// This proxy's zone.
    pub zone: u32,
    /// How many proxies there are.
    pub proxies: u32,
    /// This proxy's number.
    pub me: u32,
    /// The list of servers must be asked for (else it is pushed).
    pub must_ask: bool,
    /// A miss is answered as such and the origin, a kind of its own, is asked by the proxy.
    pub aside: bool,
    /// The machine kind of the origin where `aside`.
    pub origin_kind: Option<u32>,
    /// Worth of a request over its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// Worth counts by work (else by request).
    pub worth_by_work: bool,
    /// Most attempts for a request (0: one).
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Refusals may advise a wait, at most this long (0: no advice).
    pub max_retry_after: Nanos,
    /// Idle connections close by themselves after this long.
    pub conn_idle: Nanos,
    /// Price of a new connection for each first try.
    pub handshake_price: f64,
    /// Price of an attempt crossing zones.
    pub cross_zone_price: f64,
    /// Part of its capacity that a server starts with.
    pub cold_from: f64,
    /// A server is warm after this long.
    pub cold: Nanos,
    /// A cold server falls when sent more than this multiple of its capacity.
    pub fall_multiple: f64,
    /// For this long.
    pub fall: Nanos,
    /// Idle connections to a draining server must be closed within this time (0: no such rule).
    pub let_go: Nanos,
    /// Without a subscription the list must be asked for within this time.
    pub must_ask_in: Nanos,
    /// Clients mark the tries that repeat an earlier one.
    pub marks_retry: bool,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: State,
    /// Size relative to others.
    pub weight: f64,
    /// Time of its last start; 0: long ago.
    pub started: Nanos,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as it was known last; may be old.
    Cached,
    /// A call failed or the subscription broke; the old list stays.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen; never ran.
    Full,
    /// No answer in time; it may run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; never ran.
    Moot,
    /// No value for the key (aside); never ran.
    Miss,
}

impl Status {
    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u32,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// The key, hashed or raw.
    pub key: Option<u64>,
    /// Time left before the client gives up this try.
    pub remaining: Nanos,
    /// It writes.
    pub write: bool,
    /// Its client marked it as a repeat of an earlier try.
    pub retry: bool,
    /// Where operators want it: asked first while it may be.
    pub pinned: Option<ServerId>,
}

/// What happens at the proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the servers.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Arrival(Request),
    /// An attempt ended.
    Outcome {
        /// Request.
        id: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
        /// Where it was sent.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time from the send.
        elapsed: Nanos,
        /// The request is over.
        last: bool,
        /// Hit or miss, where told.
        hit: Option<bool>,
    },
    /// A timer ran out.
    Timer(u64),
    /// The client left; nothing more is owed.
    Expired(RequestId),
    /// A streamed answer began.
    First(RequestId),
}

/// What the proxy is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `timeout` 0 means until the client stops waiting.
    Send {
        /// Request.
        id: RequestId,
        /// Server.
        server: ServerId,
        /// Time-out.
        timeout: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// Final answer: not done, a repeat is harmless.
    Refuse {
        /// Request.
        id: RequestId,
        /// Advised wait; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// Request.
        id: RequestId,
    },
    /// Wake me.
    Timer {
        /// Token to hand back.
        token: u64,
        /// From now.
        delay: Nanos,
    },
    /// Close the connections to a server that carry no attempt.
    Close(ServerId),
    /// Follow the list.
    Subscribe,
}

/// What a server that is cold may still be sent by this proxy, as it goes from one process of it to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLeft {
    /// The server.
    pub server: ServerId,
    /// When its process started, Unix time, to the millisecond as lists tell it: another process of it is not
    /// meant.
    pub started: Nanos,
    /// Requests; below one: none now.
    pub left: f64,
}

impl ColdLeft {
    /// So much is left for this entry.
    pub fn of(entry: &Entry, left: f64) -> Self {
        ColdLeft { server: entry.server, started: entry.started, left }
    }
}
