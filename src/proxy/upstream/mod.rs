//! Pooled connections to cache nodes and the origin, and the exchange of an attempt on one of them.

pub(crate) mod attempt;
pub(crate) mod attempt_policy;
pub(crate) mod backend;
mod idle_connections;
pub(crate) mod load_assignment;
mod pooled_connection;
pub(crate) mod request_progress;
pub(crate) mod response_hold;
mod reuse;
pub(crate) mod socket;

use crate::api::{Entry, Incarnation, Nanos, ServerId, Settings, State, Status};
use crate::proxy::http::headers::TIME_LEFT;
use crate::proxy::http::request_body::{steady_nanos, ReturnConnection, StreamedResponse};
use crate::proxy::http::response_reader::{read, ResponseReader};
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::observability::fleet_stats::{self, Kind};
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::upstream::attempt::{
    AttemptBody, AttemptHandle, AttemptLimits, AttemptOutcome, UpstreamRequest,
};
use crate::proxy::upstream::idle_connections::IdleConnections;
use crate::proxy::upstream::pooled_connection::{drive, Connection, GaugeGuard};
use crate::proxy::upstream::request_progress::RequestProgress;
use crate::proxy::upstream::socket::{FirstByte, Io, Socket};
use crate::proxy::{Body, MAX_BUFFERED_BODY, MAX_READ_AHEAD};
use hyper::client::conn::http1;
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::{Request, Response, Version};
use hyper_util::rt::TokioIo;
use rushquay_admin::{NodeCloseCause, RequestMetrics};
use rushquay_fleet_budget::IdleTimeout;
use rushquay_invariants::{may_send, NodeStanding, ResponseHistory, SendDenied, SendFacts};
use rushquay_load_assignment::{BreakerLimit, Breakers, RoutePriority};
use rushquay_sockets::{connect, ConnectError};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Maximum size of a response's head with the interim responses before it, and of what is read along with it. Danger: hyper keeps reading
/// for as long as interim responses arrive, and reports none of them.
const MAX_HEAD_BYTES: usize = 2 * MAX_BUFFERED_BODY;

/// Delay before retrying a connect that failed for lack of local ports, buffers or descriptors, and the maximum number of connects.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(3);
const MAX_SHORTAGE_DIALS: u32 = 4;

/// The deadlines of an attempt, on the clock of [`steady`].
#[derive(Clone, Copy)]
struct AttemptDeadlines {
    /// When the attempt must be complete.
    total: Nanos,
    /// When the beginning of a response must be passed on at the latest.
    answer_due: Nanos,
    /// When its first byte must have been written; `None`: no limit besides `total`.
    first_byte: Option<Nanos>,
    /// When the client stops waiting, after which its response is useless.
    client: Nanos,
    /// Maximum time left that is announced to the node.
    max_node_deadline: Nanos,
}

impl AttemptDeadlines {
    fn from_limits(limits: &AttemptLimits, now: Nanos) -> Self {
        let at = |limit: Duration| now.saturating_add(limit.as_nanos() as Nanos);
        let max_node_deadline = limits.max_node_deadline.map_or(Nanos::MAX, |max| max.as_nanos() as Nanos);
        AttemptDeadlines {
            total: at(limits.total),
            answer_due: at(limits.answer_due),
            first_byte: limits.first_byte.map(at),
            client: at(limits.client),
            max_node_deadline,
        }
    }
}

/// The address of a node that accepts requests, with the epoch in which it was read.
struct Target {
    addr: SocketAddr,
    kind: u32,
    epoch: u64,
}

/// Where an attempt is sent.
struct ExchangeTarget {
    server: ServerId,
    kind: u32,
    epoch: u64,
    /// Its connection has carried another request before.
    reused: bool,
}

/// A listed endpoint and its idle connections.
struct Node {
    addr: Option<SocketAddr>,
    kind: u32,
    started: Nanos,
    incarnation: Option<Incarnation>,
    ready: bool,
    /// Changes with every event that makes older connections unusable: a restart, a new address, a drain.
    epoch: u64,
    idle: IdleConnections,
    /// When the node joined its deduplication group; 0: when it was first listed.
    group_since: Nanos,
    stats: Rc<ConnectionStats>,
}

impl Node {
    /// Whether an entry of the list says nothing else of it than before.
    fn is_same(&self, entry: &Entry, addr: Option<SocketAddr>) -> bool {
        let is_same_incarnation = match entry.incarnation {
            Some(incarnation) => self.incarnation == Some(incarnation),
            None => self.started == entry.started_at,
        };
        is_same_incarnation && self.addr == addr && self.ready == (entry.state == State::Ready)
    }
}

/// Connection and attempt counters of a node.
#[derive(Default)]
pub struct ConnectionStats {
    /// Connections that are open or being established.
    pub connections: Rc<Cell<u32>>,
    /// Attempts in flight.
    pub in_flight: Rc<Cell<u32>>,
    /// Attempts since it was listed.
    pub attempts: Cell<u64>,
    /// Attempts without a usable response; misses do not count.
    pub failed: Cell<u64>,
}

/// Connection limits of a cluster.
pub struct ConnectionLimits {
    /// Connect timeout.
    pub connect_timeout: Duration,
    /// Idle timeout.
    pub idle_timeout: Duration,
    /// Number of proxies that share the nodes' connection capacity.
    pub proxies: u32,
    /// Maximum number of connections to one node.
    pub max_node_connections: u32,
    /// Circuit breakers for open and pending connections; `None`: only the descriptors limit them.
    pub breakers: Option<Breakers>,
}

/// The connection pools of all listed endpoints.
pub struct Upstreams {
    nodes: RefCell<FxHashMap<ServerId, Node>>,
    descriptors: Rc<Descriptors>,
    metrics: Arc<RequestMetrics>,
    limits: RefCell<ConnectionLimits>,
    /// Adaptive idle timeout per machine kind: kinds differ in when they close idle connections.
    idle_timeouts: RefCell<FxHashMap<u32, IdleTimeout>>,
    /// What followed the responses of each machine kind: nodes of a kind run the same program.
    histories: RefCell<FxHashMap<u32, ResponseHistory>>,
    open: Rc<Cell<u32>>,
    epochs: Cell<u64>,
    /// Number of connections that were opened; it numbers them in the trace.
    opened: Cell<u64>,
    /// Number of nodes that accept requests. Danger: counting thousands of nodes on each request would slow all requests.
    ready: Cell<usize>,
}

/// Returns the idle timeout for connections that the node closes after at most `limit`; 0: unknown.
/// Danger: a request written to a connection that its node is just closing is reset, and may have run. The node counts from its
/// own last byte, so a quarter of the limit is kept as a margin.
pub fn idle_timeout_for(limit: Nanos) -> Duration {
    match limit {
        0 => Duration::from_secs(5),
        limit => Duration::from_nanos(limit / 4 * 3),
    }
}

impl Upstreams {
    /// Creates pools that are limited by the descriptors alone.
    pub fn new(
        descriptors: Rc<Descriptors>,
        metrics: Arc<RequestMetrics>,
        connect_timeout: Duration,
        settings: &Settings,
    ) -> Rc<Self> {
        let (idle_timeout, proxies) = (idle_timeout_for(settings.conn_idle), settings.proxies);
        let limits = ConnectionLimits {
            connect_timeout,
            idle_timeout,
            proxies,
            max_node_connections: u32::MAX,
            breakers: None,
        };
        Self::with_limits(descriptors, metrics, limits)
    }

    /// Creates pools with the given connection limits.
    pub fn with_limits(
        descriptors: Rc<Descriptors>,
        metrics: Arc<RequestMetrics>,
        limits: ConnectionLimits,
    ) -> Rc<Self> {
        let (nodes, open, epochs, opened, ready) = Default::default();
        let (idle_timeouts, histories) = Default::default();
        Rc::new(Upstreams {
            nodes,
            descriptors,
            metrics,
            limits: RefCell::new(limits),
            idle_timeouts,
            histories,
            open,
            epochs,
            opened,
            ready,
        })
    }

    /// Returns the metrics of all requests and connections.
    pub fn ledger(&self) -> &RequestMetrics {
        &self.metrics
    }

    /// Replaces the connection limits, from the next connection on.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        let max = limits.idle_timeout.as_nanos() as Nanos;
        self.idle_timeouts.borrow_mut().values_mut().for_each(|jitter| jitter.set_max(max));
        *self.limits.borrow_mut() = limits;
    }

    /// Adjusts the idle timeout of connections to nodes of this machine kind.
    fn adjust_idle_timeout(&self, kind: u32, step: impl FnOnce(&mut IdleTimeout)) {
        let limits = self.limits.borrow();
        let initial = || IdleTimeout::new(limits.idle_timeout.as_nanos() as Nanos, limits.proxies);
        step(self.idle_timeouts.borrow_mut().entry(kind).or_insert_with(initial));
    }

    /// Returns the current idle timeout of connections to nodes of this machine kind.
    fn idle_timeout(&self, kind: u32) -> Duration {
        let mut timeout = 0;
        self.adjust_idle_timeout(kind, |jitter| timeout = jitter.timeout());
        Duration::from_nanos(timeout)
    }

    /// Applies an endpoint list. If `full`, nodes that are not in `entries` are removed.
    pub fn update(&self, full: bool, entries: &[(Entry, Option<SocketAddr>)]) {
        let mut nodes = self.nodes.borrow_mut();
        if full {
            let named: FxHashSet<ServerId> = entries.iter().map(|(e, _)| e.server).collect();
            nodes.retain(|server, node| {
                let listed = named.contains(server);
                if !listed {
                    node.idle.close_all(NodeCloseCause::NodeChanged);
                }
                listed
            });
        }
        for (entry, addr) in entries {
            if entry.state == State::Gone {
                if let Some(mut node) = nodes.remove(&entry.server) {
                    node.idle.close_all(NodeCloseCause::NodeChanged);
                }
                continue;
            }
            let ready = entry.state == State::Ready;
            let mut old = nodes.get_mut(&entry.server);
            if let Some(known) = old.as_mut().filter(|node| node.is_same(entry, *addr)) {
                // Its age may have been corrected.
                known.started = entry.started_at;
                continue;
            }
            old.iter_mut().for_each(|n| n.idle.close_all(NodeCloseCause::NodeChanged));
            self.epochs.set(self.epochs.get() + 1);
            let epoch = self.epochs.get();
            let (stats, group_since) = old.map(|n| (n.stats.clone(), n.group_since)).unwrap_or_default();
            let Entry { server, kind, started_at: started, incarnation, .. } = *entry;
            let (addr, idle) = (*addr, IdleConnections::default());
            let node = Node { addr, kind, started, incarnation, ready, epoch, idle, group_since, stats };
            nodes.insert(server, node);
        }
        self.ready.set(nodes.values().filter(|n| n.ready && n.addr.is_some()).count());
    }

    /// Records when a node joined its deduplication group from another one.
    pub fn set_group_since(&self, server: ServerId, since: Nanos) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.group_since = since;
        }
    }

    /// Returns when a node joined its deduplication group; 0: when it was first listed.
    pub fn group_since(&self, server: ServerId) -> Nanos {
        self.nodes.borrow().get(&server).map_or(0, |n| n.group_since)
    }

    /// Retires all connections that are open now: none is used for another request.
    pub fn retire_connections(&self) {
        for node in self.nodes.borrow_mut().values_mut() {
            self.epochs.set(self.epochs.get() + 1);
            node.epoch = self.epochs.get();
            node.idle.close_all(NodeCloseCause::NodeChanged);
        }
    }

    /// Returns a node's machine kind and when it started.
    pub fn kind(&self, server: ServerId) -> Option<(u32, Nanos)> {
        self.nodes.borrow().get(&server).map(|n| (n.kind, n.started))
    }

    /// Returns the counters of a node.
    pub fn stats(&self, server: ServerId) -> Option<Rc<ConnectionStats>> {
        self.nodes.borrow().get(&server).map(|n| n.stats.clone())
    }

    /// Returns how many connections are open or being established.
    pub fn connections(&self) -> u32 {
        self.open.get()
    }

    /// Returns when the connection that has been idle the longest became idle.
    pub fn oldest_idle_since(&self) -> Option<Instant> {
        self.nodes.borrow().values().filter_map(|n| n.idle.oldest_since()).min()
    }

    /// Returns whether any node accepts requests.
    pub fn any_ready(&self) -> bool {
        self.ready.get() > 0
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.idle.close_all(NodeCloseCause::NodeChanged);
        }
    }

    /// Closes idle connections that their peer has closed or that exceeded the idle timeout.
    pub fn sweep(&self) {
        for node in self.nodes.borrow_mut().values_mut().filter(|n| !n.idle.is_empty()) {
            let closed = node.idle.sweep(self.idle_timeout(node.kind));
            fleet_stats::count(Kind::ClosedIdle, closed as u64);
        }
    }

    /// Closes the connection that has been idle the longest, to free its descriptor. Returns false if no connection is idle.
    pub fn close_oldest_idle(&self) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let oldest = nodes.values_mut().filter(|n| !n.idle.is_empty()).min_by_key(|n| n.idle.oldest_since());
        oldest.is_some_and(|node| node.idle.close_oldest(NodeCloseCause::MadeRoom))
    }

    /// Closes a connection to this node that is kept, to make room for a new one. Returns false if there is none.
    fn close_resting(&self, server: ServerId) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        nodes.get_mut(&server).is_some_and(|node| node.idle.close_oldest(NodeCloseCause::MadeRoom))
    }

    /// Sends one attempt and returns its outcome.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        upstream_request: &UpstreamRequest,
        limits: AttemptLimits,
        handle: &Rc<AttemptHandle>,
        importance: RoutePriority,
    ) -> AttemptOutcome {
        let Some(stats) = self.stats(server) else { return Status::Moot.into() };
        let _in_flight = GaugeGuard::new(&stats.in_flight);
        let outcome = self.attempt_with_timeout(server, upstream_request, limits, handle, importance).await;
        if outcome.status != Status::Moot {
            stats.attempts.set(stats.attempts.get() + 1);
            let served = matches!(outcome.status, Status::Ok | Status::Miss);
            stats.failed.set(stats.failed.get() + u64::from(!served));
        }
        outcome
    }

    /// Runs an attempt until it times out.
    async fn attempt_with_timeout(
        self: &Rc<Self>,
        server: ServerId,
        upstream_request: &UpstreamRequest,
        limits: AttemptLimits,
        handle: &Rc<AttemptHandle>,
        importance: RoutePriority,
    ) -> AttemptOutcome {
        let deadlines = AttemptDeadlines::from_limits(&limits, steady_nanos());
        tokio::select! {
            biased;
            outcome = self.exchange(server, upstream_request, deadlines, handle, importance) => outcome,
            () = timed_out(handle, &limits) => match handle.is_written() {
                true => Status::Timeout.into(),
                // A request that was not written completely has not run.
                false => Status::ConnectFailed.into(),
            },
        }
    }

    /// Collects the facts that decide whether an attempt may be written now. `epoch` is the node's epoch when it was chosen.
    fn facts(
        &self,
        server: ServerId,
        epoch: u64,
        deadlines: AttemptDeadlines,
        handle: &AttemptHandle,
    ) -> SendFacts {
        let same = self.target(server).is_some_and(|target| target.epoch == epoch);
        SendFacts {
            now: steady_nanos(),
            request: handle.request_state(),
            node: if same { NodeStanding::Ready } else { NodeStanding::Left },
            deadline: deadlines.total,
            retry_deadline: deadlines.first_byte,
            // The socket knows.
            has_input: false,
        }
    }

    /// Returns the outcome of an attempt that must not be written. It does not count against the node.
    fn denied_outcome(
        &self,
        upstream_request: &UpstreamRequest,
        server: ServerId,
        denied: SendDenied,
    ) -> AttemptOutcome {
        request_trace::event(|| Event::Denied { request: upstream_request.id(), node: server, denied });
        Status::Moot.into()
    }

    /// Sends an attempt on an idle or new connection and reads its response. If a reused connection turns out to be closed before
    /// the request was written completely, the next one is tried.
    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        upstream_request: &UpstreamRequest,
        deadlines: AttemptDeadlines,
        handle: &Rc<AttemptHandle>,
        importance: RoutePriority,
    ) -> AttemptOutcome {
        loop {
            let Some(Target { addr, kind, epoch }) = self.target(server) else { return Status::Moot.into() };
            let latest =
                deadlines.first_byte.map_or(deadlines.total, |first_byte| first_byte.min(deadlines.total));
            let (mut connection, reused) = match self.take_rested(server, kind, epoch, latest, handle).await {
                Some(connection) => (connection, true),
                None => match self.connect(server, addr, kind, importance).await {
                    Ok(connection) => (connection, false),
                    Err(status) => return status.into(),
                },
            };
            let target = ExchangeTarget { server, kind, epoch, reused };
            if connection.sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Status::ConnectFailed.into();
            }
            // Danger: while the connection was being established, the node may have started to drain or restarted, the request may
            // have been answered or abandoned, or the deduplication window of a retry may have passed. This is checked again when
            // the first byte is written.
            if let Err(denied) = may_send(&self.facts(server, epoch, deadlines, handle)) {
                self.metrics.denied.one_more(denied);
                connection.close(NodeCloseCause::NodeChanged);
                return self.denied_outcome(upstream_request, server, denied);
            }
            let time_left = deadlines.total.saturating_sub(steady_nanos()).min(deadlines.max_node_deadline);
            let (pool, task_handle) = (self.clone(), handle.clone());
            let facts = Box::new(move || SendFacts {
                deadline: deadlines.client,
                ..pool.facts(server, epoch, deadlines, &task_handle)
            });
            let rested = connection.socket.rested();
            request_trace::event(|| Event::Carried {
                request: upstream_request.id(),
                node: server,
                connection: connection.number,
                uses: connection.uses,
                rested,
            });
            let progress =
                connection.socket.begin_message(MAX_HEAD_BYTES, Some(FirstByte { facts, time_left }));
            connection.uses += 1;
            handle.set_socket(&connection.socket);
            let request = build_request(upstream_request, addr, time_left, progress);
            let sent = connection.sender.send_request(request).await;
            request_trace::event(|| Event::Response {
                request: upstream_request.id(),
                connection: connection.number,
                status: sent.as_ref().map_or(0, |response| response.status().as_u16()),
                waited: connection.socket.response_delay(),
            });
            let Ok(response) = sent else {
                match self.unanswered_outcome(&target, connection, rested, upstream_request) {
                    Some(outcome) => return outcome,
                    None => continue,
                }
            };
            // Danger: a response that came before the last byte of the request is another's. It would pass for proof of what became of
            // a request that has not run, and will not once its connection is closed.
            if reused && !connection.socket.is_written() {
                self.record_unsolicited(server, kind, Duration::ZERO);
                connection.close(NodeCloseCause::Unsolicited);
                return Status::ConnectFailed.into();
            }
            handle.record_response();
            let is_closing = response.headers().get(CONNECTION).is_some_and(|v| v == "close");
            connection.keeps_alive.set(!is_closing && response.version() == Version::HTTP_11);
            // What is buffered of the body is bounded by its own bytes, however many its framing takes.
            connection.socket.lift_read_limit();
            let response = read(response, &handle.response_hold, deadlines.answer_due).await;
            if let Some((_, beginning, ..)) = &response.long {
                request_trace::event(|| Event::PassedOn {
                    request: upstream_request.id(),
                    connection: connection.number,
                    bytes: beginning.len(),
                    held: handle.response_hold.held_for(),
                });
            }
            return self.finish_response(&target, is_closing, connection, response);
        }
    }

    /// Returns the outcome of an attempt that got no response; `None`: its request was not written completely on a reused connection,
    /// and the next one is tried.
    fn unanswered_outcome(
        &self,
        target: &ExchangeTarget,
        connection: Connection,
        rested: Option<Duration>,
        upstream_request: &UpstreamRequest,
    ) -> Option<AttemptOutcome> {
        let unwritten = (!target.reused).then(|| Status::ConnectFailed.into());
        match connection.socket.denied() {
            Some(SendDenied::UnreadInput) => {
                self.close_unclean(target.server, target.kind, connection, rested);
                unwritten
            }
            Some(denied) => Some(self.denied_outcome(upstream_request, target.server, denied)),
            // Danger: once its last byte is written the request may have run, and must not be retried here.
            None if connection.socket.is_written() => Some(Status::Reset.into()),
            // The node has no part in it.
            None if upstream_request.upload().is_some_and(|upload| upload.is_broken()) => {
                Some(Status::Moot.into())
            }
            None => unwritten,
        }
    }

    /// Returns the outcome of a response that was read, and its connection to the pool if it can be reused.
    fn finish_response(
        self: &Rc<Self>,
        target: &ExchangeTarget,
        is_closing: bool,
        connection: Connection,
        response: ResponseReader,
    ) -> AttemptOutcome {
        let &ExchangeTarget { server, kind, epoch, reused } = target;
        let ResponseReader { mut ended, reusable, long } = response;
        if !reused && ended.status == Status::Full && is_closing {
            // Danger: a node whose connection table is full answers a new connection like this and closes it, while it serves its
            // existing ones. That is a failed connect, not a full request queue.
            self.on_connection_rejected(kind);
            ended.status = Status::ConnectFailed;
        } else if !reused {
            self.adjust_idle_timeout(kind, IdleTimeout::connection_accepted);
        }
        let mut max_uses = 0;
        self.adjust_idle_timeout(kind, |idle_timeout| max_uses = idle_timeout.max_requests());
        let reusable = reusable && connection.uses < max_uses;
        if let Some((head, buffered, rest, length)) = long {
            let to = reusable.then(|| (self.clone(), server, epoch));
            let returning = ReturnToPool { connection: Some(connection), to };
            let answer = StreamedResponse::new(buffered, rest, length, returning);
            ended.response = Some(Response::from_parts(head, Body::answer(answer)));
        } else if reusable && connection.socket.is_written() {
            self.return_idle(server, epoch, connection);
        } else {
            connection.close(NodeCloseCause::Finished);
        }
        ended
    }

    /// Returns the address of a node if it accepts requests.
    fn target(&self, server: ServerId) -> Option<Target> {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&server).filter(|n| n.ready)?;
        Some(Target { addr: node.addr?, kind: node.kind, epoch: node.epoch })
    }

    /// Closes a connection that had ended, or on which bytes had arrived, before the request was written. `rested`: the time since its
    /// last response; `None`: it was new, and the node's connection table is full.
    fn close_unclean(&self, server: ServerId, kind: u32, connection: Connection, rested: Option<Duration>) {
        if !connection.socket.has_unread_bytes() {
            return connection.close(NodeCloseCause::NotClean);
        }
        match rested {
            Some(rested) => self.record_unsolicited(server, kind, rested),
            None => self.on_connection_rejected(kind),
        }
        connection.close(NodeCloseCause::Unsolicited);
    }

    /// Records that a node has rejected a new connection because its connection table is full.
    fn on_connection_rejected(&self, kind: u32) {
        fleet_stats::count(Kind::TurnedAway, 1);
        self.adjust_idle_timeout(kind, IdleTimeout::connection_rejected);
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// The outcome of the attempt.
    async fn connect(
        self: &Rc<Self>,
        server: ServerId,
        addr: SocketAddr,
        kind: u32,
        importance: RoutePriority,
    ) -> Result<Connection, Status> {
        let stats = self.stats(server).ok_or(Status::Moot)?;
        let (timeout, max_node_connections, breakers) = {
            let limits = self.limits.borrow();
            (limits.connect_timeout, limits.max_node_connections, limits.breakers.clone())
        };
        // An attempt over a limit was never sent, and does not count against the node.
        if stats.connections.get() >= max_node_connections && !self.close_resting(server) {
            return Err(Status::Moot);
        }
        let _pending = match &breakers {
            None => None,
            Some(breakers) => {
                while self.open.get() >= breakers.connections(importance) {
                    if !self.close_oldest_idle() {
                        return Err(Status::Moot);
                    }
                }
                Some(breakers.acquire(importance, BreakerLimit::Pending).map_err(|_| Status::Moot)?)
            }
        };
        let gauges = [GaugeGuard::new(&self.open), GaugeGuard::new(&stats.connections)];
        let permit = loop {
            match self.descriptors.take() {
                Some(permit) => break permit,
                None if self.close_oldest_idle() => tokio::task::yield_now().await,
                // Danger: reporting this as a failed connect would blame the node for this machine's shortage.
                None => return Err(Status::Moot),
            }
        };
        let first = stats.connections.get() == 1;
        fleet_stats::count(if first { Kind::HandshakeNew } else { Kind::HandshakeBusy }, 1);
        let until = Instant::now() + timeout;
        let stream = self.dial(addr, until).await?;
        let socket = Socket::with_metrics(stream, permit, self.metrics.clone());
        // Danger: by default hyper accepts a response head of up to some 400 KB.
        let handshake =
            http1::Builder::new().max_buf_size(MAX_READ_AHEAD).handshake(TokioIo::new(Io(socket.clone())));
        let (sender, driver) = handshake.await.map_err(|_| Status::ConnectFailed)?;
        self.opened.set(self.opened.get() + 1);
        let number = self.opened.get();
        let (pool, driven) = (Rc::downgrade(self), socket.clone());
        let driving = async move {
            if let Some(delay) = drive(driver, driven).await {
                request_trace::event(|| Event::Unsolicited { node: server, connection: number, delay });
                pool.upgrade().into_iter().for_each(|pool| pool.record_unsolicited(server, kind, delay));
            }
        };
        let driver = tokio::task::spawn_local(driving).abort_handle();
        let (cause, metrics) = (Cell::new(NodeCloseCause::Failed), self.metrics.clone());
        let keeps_alive = Cell::new(true);
        Ok(Connection {
            sender,
            socket,
            driver,
            number,
            server,
            uses: 0,
            keeps_alive,
            cause,
            metrics,
            _gauges: gauges,
        })
    }

    /// Connects to a node, and retries while this machine is short of resources. Danger: counted as connect failures, a local shortage
    /// would have all nodes avoided at once.
    async fn dial(&self, addr: SocketAddr, until: Instant) -> Result<TcpStream, Status> {
        for _ in 0..MAX_SHORTAGE_DIALS {
            match timeout_at(until, connect(addr)).await {
                Ok(Ok(stream)) => return Ok(stream),
                Ok(Err(ConnectError::Shortage(_))) => {
                    self.close_oldest_idle();
                    tokio::time::sleep_until(until.min(Instant::now() + SHORTAGE_RETRY_DELAY)).await;
                }
                Ok(Err(ConnectError::Unreached(_))) | Err(_) => return Err(Status::ConnectFailed),
            }
        }
        Err(Status::Moot)
    }
}

/// Returns when an attempt has timed out: its node has been silent for as long as it may be, or the answer is due and there is nothing
/// that could be passed on.
async fn timed_out(handle: &AttemptHandle, limits: &AttemptLimits) {
    let started = Instant::now();
    let answer_due = started + limits.answer_due;
    let mut until = started + limits.total;
    loop {
        sleep_until(until).await;
        if handle.response_hold.is_holding() {
            // It is passed on when the answer is due.
            return std::future::pending().await;
        }
        // Danger: a node that is answering is not silent, however slowly it answers.
        match handle.last_response_byte().map(|last| (last + limits.total).min(answer_due)) {
            Some(later) if later > until => until = later,
            _ => return,
        }
    }
}

/// A connection with a streamed response in progress. It returns to the pool when the response is complete, and is closed on drop.
struct ReturnToPool {
    /// `None`: the response is complete.
    connection: Option<Connection>,
    /// The pool, node and node epoch to return to; `None`: not reusable.
    to: Option<(Rc<Upstreams>, ServerId, u64)>,
}

impl ReturnConnection for ReturnToPool {
    fn return_connection(mut self: Box<Self>) {
        let Some(connection) = self.connection.take() else { return };
        request_trace::event(|| Event::PassedOnEnd { connection: connection.number, is_whole: true });
        if let Some((upstreams, server, epoch)) = self.to.take().filter(|_| connection.socket.is_written()) {
            upstreams.return_idle(server, epoch, connection);
        }
    }
}

impl Drop for ReturnToPool {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            request_trace::event(|| Event::PassedOnEnd { connection: connection.number, is_whole: false });
        }
    }
}

/// Builds the request of one attempt, with its time left and host. Its body reports to `progress`.
fn build_request(
    upstream_request: &UpstreamRequest,
    addr: SocketAddr,
    time_left: Nanos,
    progress: Rc<RequestProgress>,
) -> Request<Body> {
    let body = match &upstream_request.body {
        AttemptBody::Buffered(bytes) => Body::new(bytes.clone()),
        AttemptBody::Streamed(upload) => Body::upload(upload),
    };
    let mut request = Request::new(body.reporting_to(progress));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    let headers = request.headers_mut();
    *headers = upstream_request.headers.clone();
    let seconds_left = Duration::from_nanos(time_left).as_secs_f64();
    if let Ok(left) = HeaderValue::try_from(format!("{seconds_left:.4}")) {
        headers.insert(TIME_LEFT, left);
    }
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::try_from(addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    request
}

#[cfg(test)]
mod tests;
