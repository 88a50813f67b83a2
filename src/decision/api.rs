//! The interface of the decision module: it is created with settings, then turns events into actions.
//!
//! All times are in nanoseconds. The clock, the sockets and the timers belong to the caller;
//! [`crate::Balancer`] has none.

/// A point in time on the caller's clock, or a duration, in nanoseconds.
pub type Nanos = u64;
/// Start times in lists have this precision.
const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// Stable id of an endpoint, with the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// Id of a request at this proxy; below 2^52 and never reused.
pub type RequestId = u64;

/// Derives the id of an endpoint from its name (FNV-1a with a finalizer), so that all proxies use the same
/// id.
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
    /// Idempotent: repeats are harmless.
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
    pub latency_objective: Nanos,
    /// The client gives up after this time, measured from its first try.
    pub deadline: Nanos,
    /// Whether a request may take effect more than once.
    pub effect: Effect,
    /// For keyed classes: the endpoints that drop repeats.
    pub group: Group,
    /// For keyed classes: how long repeats are dropped.
    pub dedup_window: Nanos,
    /// Fraction of the value that an answer after the latency objective earns.
    pub late_value: f64,
    /// Value of a request, or of a unit of its work (see [`Settings::value_is_per_work_unit`]).
    pub worth: f64,
    /// Whether its answers are streamed.
    pub is_streamed: bool,
    /// The zones to which its requests may be sent; `None`: all.
    pub zones: Option<Vec<u32>>,
    /// The machine kinds to which its requests may be sent; `None`: all.
    pub kinds: Option<Vec<u32>>,
}

impl Class {
    /// Whether its requests may be sent to the same endpoints as those of another class.
    pub fn has_same_placement(&self, other: &Class) -> bool {
        self.zones == other.zones && self.kinds == other.kinds
    }
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Quota in requests per second, over all proxies.
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
    pub proxy_index: u32,
    /// Whether the proxy must subscribe to the endpoint list; otherwise the list is pushed.
    pub must_subscribe: bool,
    /// Whether this is a cache-aside deployment, in which endpoints report a miss and the proxy itself sends
    /// to the origin. Otherwise the endpoints fetch from the origin (read-through).
    pub is_cache_aside: bool,
    /// The machine kind of the origin in a cache-aside deployment.
    pub origin_kind: Option<u32>,
    /// Value of a request beyond its tenant's quota, as a fraction of the value of its class.
    pub over_share_worth: f64,
    /// Whether [`Class::worth`] is the value of a unit of work; otherwise it is the value of a request.
    pub value_is_per_work_unit: bool,
    /// Maximum number of attempts of a request; 0 counts as 1.
    pub max_attempts: u32,
    /// Whether pending attempts may be cancelled.
    pub allows_cancel: bool,
    /// Whether requests may be hedged, so that two attempts of one request are pending at once.
    pub allows_hedging: bool,
    /// Maximum `Retry-After` of a rejection; 0: none is given.
    pub max_retry_after: Nanos,
    /// Idle connections are closed after this time.
    pub conn_idle: Nanos,
    /// Price of a new connection, charged for each first try.
    pub handshake_price: f64,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Slow start: the fraction of its capacity with which an endpoint starts.
    pub initial_capacity_fraction: f64,
    /// Slow start: an endpoint is warm after this time.
    pub warm_up_time: Nanos,
    /// A cold endpoint fails if it is sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this time.
    pub overload_window: Nanos,
    /// Idle connections to a draining endpoint must be closed within this time; 0: they may stay open.
    pub idle_close_limit: Nanos,
    /// Time within which a proxy without a subscription must request one.
    pub max_subscribe_delay: Nanos,
    /// Whether clients mark the tries that repeat an earlier one.
    pub marks_retry: bool,
}

/// State of an endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its open requests; no new ones may be sent to it.
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
    /// Time of its last start by the clock of this process; 0 if it started long ago.
    pub started_at: Nanos,
    /// Which of its processes it is, where clocks differ; `None`: the one that started at `started_at`.
    pub incarnation: Option<Incarnation>,
}

/// Names a process of an endpoint, or its return with a cold cache. It is the same wherever the endpoint is
/// listed, so it is compared for equality alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// When the process started, as stated, in milliseconds.
    pub started_ms: u64,
    /// When it returned to service with a cold cache by the control service's clock, in milliseconds; 0: it
    /// did not.
    pub cold_return_ms: u64,
}

impl Entry {
    /// Whether another entry is about the same process of the endpoint.
    pub fn is_same_incarnation(&self, other: &Entry) -> bool {
        match (self.incarnation, other.incarnation) {
            (Some(own), Some(other)) => own == other,
            _ => self.started_at == other.started_at,
        }
    }
}

/// What the entries of an endpoint-list event contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last known; it may be out of date.
    Cached,
    /// A call to discovery failed or the subscription broke; the last list stays in use.
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
    /// The endpoint has no value cached for the key (cache-aside deployments); no effect.
    Miss,
}

impl Status {
    /// Whether this status proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::Moot | Status::Miss)
    }
}

/// An arriving request.
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
    pub is_write: bool,
    /// Whether its client marked it as a repeat of an earlier try.
    pub is_marked_retry: bool,
    /// The endpoint to which operators pinned it; preferred whenever it is eligible.
    pub pinned: Option<ServerId>,
}

/// An event that the proxy reports to the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// A change of the endpoint list.
    List {
        /// What the entries contain.
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
    /// Bytes of an attempt's response have come, and it is not complete yet. Reported right before a hedge
    /// timer expires.
    ResponseProgress {
        /// Id of the request.
        id: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// When the last of them came.
        last_byte_at: Nanos,
        /// Whether its length is unknown, so that it may be a long answer that takes its time.
        may_be_long: bool,
    },
    /// A timer with this token has expired.
    Timer(u64),
    /// The client left; no answer is needed.
    ClientGone(RequestId),
    /// A streamed answer has begun.
    StreamStarted(RequestId),
}

/// An action that the proxy must take; actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// Id of the request.
        id: RequestId,
        /// The endpoint.
        server: ServerId,
        /// Timeout; 0: only the client's deadline applies.
        timeout: Nanos,
    },
    /// Cancel a pending attempt.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: rejected; the client may safely repeat the request.
    Reject {
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
        /// Token of the timer event.
        token: u64,
        /// Time from now.
        delay: Nanos,
    },
    /// Close the idle connections to an endpoint.
    Close(ServerId),
    /// Subscribe to the endpoint list.
    Subscribe,
}

/// Slow-start allowance of this proxy for a cold endpoint, as handed over from one process of the proxy to
/// the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdEndpointAllowance {
    /// The endpoint.
    pub server: ServerId,
    /// Start time of the endpoint by the clock of the process that hands over. The allowance is void if the
    /// endpoint has restarted since.
    pub started_at: Nanos,
    /// Which process of the endpoint it is for; `None`: the one that started at `started_at`.
    pub incarnation: Option<Incarnation>,
    /// Requests left; below 1 none may be sent at present.
    pub remaining_requests: f64,
}

impl ColdEndpointAllowance {
    /// The allowance for the endpoint of this entry, with `left` requests.
    pub fn of(entry: &Entry, remaining_requests: f64) -> Self {
        let Entry { server, started_at, incarnation, .. } = *entry;
        ColdEndpointAllowance { server, started_at, incarnation, remaining_requests }
    }

    /// Whether it is for the process of this entry. Start times have the millisecond precision of the list.
    pub fn is_for(&self, entry: &Entry) -> bool {
        match (self.incarnation, entry.incarnation) {
            (Some(own), Some(other)) => own == other,
            _ => self.started_at.abs_diff(entry.started_at) < NANOS_PER_MILLISECOND,
        }
    }
}
