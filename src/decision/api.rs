//! The interface of the decision module: settings at start, then events in and actions out.
//!
//! All times are nanoseconds. The caller owns the clock, the sockets and the timers; [`crate::Balancer`] has
//! none.

/// A point in time on the caller's clock, or a duration, in nanoseconds.
pub type Nanos = u64;
/// Stable id of an endpoint: the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// Id of a request at this proxy; below 2^52, never used twice.
pub type RequestId = u64;

/// Derives the id of an endpoint from its name (FNV-1a with a finalizer), so that all proxies agree on it.
pub fn server_id(name: &str) -> ServerId {
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, b| (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

/// Whether a request of a class may take effect more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: repeats do no harm.
    #[default]
    Safe,
    /// The endpoints of the class's group drop repeats within its deduplication window.
    Keyed,
    /// Must never take effect twice.
    Unsafe,
}

/// The endpoints that deduplicate a keyed request together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All endpoints.
    #[default]
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency objective: an answer within this time earns its full value.
    pub aim: Nanos,
    /// The client gives up after this time, counted over all its tries.
    pub deadline: Nanos,
    /// Whether it may take effect more than once.
    pub effect: Effect,
    /// For keyed classes: the endpoints that drop repeats.
    pub group: Group,
    /// For keyed classes: how long repeats are dropped.
    pub dedup_window: Nanos,
    /// The part of its value that an answer after the latency objective earns.
    pub late_value: f64,
    /// Value of a request (or of a unit of its work).
    pub worth: f64,
    /// Its answers are streamed.
    pub stream: bool,
    /// The only zones that it may be sent to; `None`: all.
    pub zones: Option<Vec<u32>>,
    /// The only machine kinds that it may be sent to; `None`: all.
    pub kinds: Option<Vec<u32>>,
}

impl Class {
    /// Whether it may be sent to the same endpoints as another class.
    pub fn placed_as(&self, other: &Class) -> bool {
        self.zones == other.zones && self.kinds == other.kinds
    }
}

/// A tenant and its share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second in its share, over all proxies.
    pub quota_rps: f64,
}

/// Settings of the decision module.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// This proxy's zone.
    pub zone: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Index of this proxy.
    pub me: u32,
    /// The endpoint list must be subscribed to (else it is pushed).
    pub must_ask: bool,
    /// Cache-aside deployment: endpoints answer a miss as such, and the proxy itself sends to the origin.
    /// Else the endpoints fetch from the origin (a through deployment).
    pub aside: bool,
    /// The machine kind of the origin in a cache-aside deployment.
    pub origin_kind: Option<u32>,
    /// Value of a request beyond its tenant's share, as a part of its class's value.
    pub over_share_worth: f64,
    /// [`Class::worth`] is the value of a unit of work (else of a request).
    pub worth_by_work: bool,
    /// The most attempts for a request (0: one).
    pub max_attempts: u32,
    /// Pending attempts may be cancelled.
    pub cancel: bool,
    /// Requests may be hedged: two attempts of one may be pending at once.
    pub second_copies: bool,
    /// The longest `Retry-After` that a rejection may advise (0: no advice).
    pub max_retry_after: Nanos,
    /// Idle connections are closed after this time.
    pub conn_idle: Nanos,
    /// Price of a new connection, for each first try.
    pub handshake_price: f64,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Slow start: the part of its capacity that an endpoint starts with.
    pub cold_from: f64,
    /// Slow start: an endpoint is warm after this time.
    pub cold: Nanos,
    /// A cold endpoint falls over when it is sent more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... for this time.
    pub fall: Nanos,
    /// Idle connections to a draining endpoint must be closed within this time (0: no such rule).
    pub let_go: Nanos,
    /// Without a subscription, one must be requested within this time.
    pub must_ask_in: Nanos,
    /// Clients mark the tries that repeat an earlier one.
    pub marks_retry: bool,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes the requests it has; no new ones may be sent to it.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Id of the endpoint.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// State of the endpoint.
    pub state: State,
    /// Capacity relative to other endpoints.
    pub weight: f64,
    /// Time of its last start; 0 if that is long ago.
    pub started: Nanos,
}

/// What the entries of a list event are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The changed entries alone.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as it was known last; it may be out of date.
    Cached,
    /// A call failed or the subscription broke; the last list stays in use.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The endpoint returned an error; the request may have taken effect.
    Error,
    /// Rejected by the endpoint for lack of capacity; no effect.
    Full,
    /// No answer in time; the request may still take effect.
    Timeout,
    /// No connection could be opened; no effect.
    ConnectFailed,
    /// The connection broke; the request may have taken effect.
    Reset,
    /// Cancelled by the proxy; the request may have taken effect.
    Cancelled,
    /// Never sent; no effect.
    Moot,
    /// The endpoint holds no value for the key (cache-aside deployments); no effect.
    Miss,
}

impl Status {
    /// Whether this status proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u32,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// The key, hashed or raw.
    pub key: Option<u64>,
    /// Time left until the client gives up this try.
    pub remaining: Nanos,
    /// Whether it is a write.
    pub write: bool,
    /// Whether its client marked it as a repeat of an earlier try.
    pub retry: bool,
    /// The endpoint that operators pinned it to, which is preferred while it may be used.
    pub pinned: Option<ServerId>,
}

/// An event at the proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A change of the endpoint list.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Arrival(Request),
    /// An attempt has ended.
    Outcome {
        /// Id of the request.
        id: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// The endpoint that it was sent to.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        elapsed: Nanos,
        /// Whether the request has had its final answer.
        last: bool,
        /// Cache hit or miss, if the endpoint reported it.
        hit: Option<bool>,
    },
    /// A timer with this token has expired.
    Timer(u64),
    /// The client left; no answer is owed.
    Expired(RequestId),
    /// A streamed answer has begun.
    First(RequestId),
}

/// What the proxy must do; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// Id of the request.
        id: RequestId,
        /// The endpoint.
        server: ServerId,
        /// Timeout; 0: until the client gives up.
        timeout: Nanos,
    },
    /// Cancel a pending attempt.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: rejected, not done; a repeat does no harm.
    Refuse {
        /// Id of the request.
        id: RequestId,
        /// Advised `Retry-After`; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: failed; the request may have taken effect.
    Fail {
        /// Id of the request.
        id: RequestId,
    },
    /// Arm a timer.
    Timer {
        /// Token that the timer event carries.
        token: u64,
        /// Time from now.
        delay: Nanos,
    },
    /// Close the idle connections to an endpoint.
    Close(ServerId),
    /// Subscribe to the endpoint list.
    Subscribe,
}

/// What this proxy may still send to a cold endpoint: handed from one process of the proxy to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLeft {
    /// The endpoint.
    pub server: ServerId,
    /// When the endpoint started, Unix time, to the millisecond as in the list; the allowance does not hold
    /// for another start.
    pub started: Nanos,
    /// Requests left; below one: none at present.
    pub left: f64,
}

impl ColdLeft {
    /// The allowance left for the endpoint of this entry.
    pub fn of(entry: &Entry, left: f64) -> Self {
        ColdLeft { server: entry.server, started: entry.started, left }
    }
}
