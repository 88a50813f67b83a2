//! Connections to cache nodes and the origin, and the exchange of one attempt on one of them.

pub(crate) mod attempt;
pub(crate) mod attempt_policy;
pub(crate) mod backend;
pub(crate) mod connection;
pub(crate) mod load_assignment;
pub(crate) mod socket;

use crate::api::{Entry, Nanos, ServerId, Settings, State, Status};
use crate::proxy::http::headers::TIME_LEFT;
use crate::proxy::http::request_body::{steady, LongAnswer, Returns};
use crate::proxy::http::response_reader::{read, ResponseReader};
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::observability::fleet_stats::{self, Kind};
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::upstream::attempt::{AttemptBody, AttemptOutcome, Cancellation, Span, UpstreamRequest};
use crate::proxy::upstream::socket::{FirstByte, Io, Socket};
use crate::proxy::{Body, BODY_MOST, BUFFER_MOST};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, CONNECTION, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rushquay_admin::{NodeCloseCause, RequestMetrics};
use rushquay_fleet_budget::Jitter;
use rushquay_invariants::{may_send, NodeStanding, SendDenied, SendFacts};
use rushquay_load_assignment::{Breakers, Importance, Trip};
use rushquay_sockets::{connect, ConnectError};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

/// Most bytes of one response: body, framing, and interim responses. Danger: hyper reads on for as long as interim responses
/// arrive, and reports none of them.
const ANSWER_MOST: usize = 2 * BODY_MOST;

/// Pause before a connect is retried that failed for lack of local ports, buffers or descriptors, and how many retries are made.
const SHORTAGE_WAIT: Duration = Duration::from_millis(3);
const SHORT_DIALS_MOST: u32 = 4;

/// When an attempt has to be over, begun, and worth nothing any more, on the clock of [`steady`].
#[derive(Clone, Copy)]
struct Due {
    whole: Nanos,
    begin: Option<Nanos>,
    client: Nanos,
    /// The most that is passed on to the node.
    told_most: Nanos,
}

impl Due {
    fn of(span: &Span, now: Nanos) -> Self {
        let at = |span: Duration| now.saturating_add(span.as_nanos() as Nanos);
        let told_most = span.told_most.map_or(Nanos::MAX, |most| most.as_nanos() as Nanos);
        Due { whole: at(span.whole), begin: span.begin.map(at), client: at(span.client), told_most }
    }
}

/// An open connection; dropping it closes it.
struct Connection {
    sender: SendRequest<Body>,
    socket: Rc<Socket>,
    driver: AbortHandle,
    /// Requests sent on it.
    uses: u32,
    /// The cause that would be counted if it closed now.
    cause: Cell<NodeCloseCause>,
    ledger: Arc<RequestMetrics>,
    _counted: [Counted; 2],
}

/// Increments a gauge until it is dropped.
struct Counted(Rc<Cell<u32>>);

impl Counted {
    fn new(of: &Rc<Cell<u32>>) -> Self {
        of.set(of.get() + 1);
        Counted(of.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connection {
    /// Whether no bytes follow the last response. Danger: responses carry no id, so leftover bytes would pass for the response to the
    /// next request. Hyper closes a connection when it finds such bytes in its own buffer, before it returns the response; the
    /// kernel's buffer is checked here.
    fn clean(&self) -> bool {
        !self.sender.is_closed() && self.socket.silent()
    }

    /// Closes it for this cause.
    fn end(self, cause: NodeCloseCause) {
        self.cause.set(cause);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.ledger.node_closes.one_more(self.cause.get());
        self.socket.close();
        self.driver.abort();
    }
}

/// Where a node accepts new requests, and since which change of its state.
struct Place {
    addr: SocketAddr,
    kind: u32,
    epoch: u64,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

struct Node {
    addr: Option<SocketAddr>,
    kind: u32,
    started: Nanos,
    ready: bool,
    /// Incremented by what makes older connections unusable: a restart, a new address, a drain.
    epoch: u64,
    idle: Vec<Idle>,
    /// Since when it belongs to its group; 0: since it came.
    grouped: Nanos,
    figures: Rc<ConnectionStats>,
}

impl Node {
    /// Ends its idle connections for this reason.
    fn end_idle(&mut self, cause: NodeCloseCause) {
        self.idle.drain(..).for_each(|idle| idle.connection.end(cause));
    }
}

/// Counters of a node.
#[derive(Default)]
pub struct ConnectionStats {
    /// Connections that are open or being established.
    pub connections: Rc<Cell<u32>>,
    /// Attempts in flight.
    pub out: Rc<Cell<u32>>,
    /// Attempts since it was listed.
    pub attempts: Cell<u64>,
    /// Those of them without a usable response; misses do not count.
    pub failed: Cell<u64>,
}

/// A cluster's limits on its connections.
pub struct Bounds {
    /// Connect timeout.
    pub connect_timeout: Duration,
    /// Idle timeout.
    pub idle_most: Duration,
    /// How many proxies share the nodes' connection capacity.
    pub proxies: u32,
    /// Most connections to one node.
    pub node_most: u32,
    /// Limits on those that are open and that come up; `None`: the descriptors are the limit.
    pub breakers: Option<Breakers>,
}

/// All cache nodes that the list names.
pub struct Upstreams {
    nodes: RefCell<FxHashMap<ServerId, Node>>,
    descriptors: Rc<Descriptors>,
    ledger: Arc<RequestMetrics>,
    bounds: RefCell<Bounds>,
    /// Idle timeout by machine kind: kinds differ in when they close idle connections.
    keeps: RefCell<FxHashMap<u32, Jitter>>,
    open: Rc<Cell<u32>>,
    epochs: Cell<u64>,
    /// How many nodes accept requests. Danger: counting thousands of nodes at each request would slow all of them.
    ready: Cell<usize>,
}

/// How long an idle connection is kept if its node closes it after `limit` at the latest; 0: unknown.
/// Danger: a request that is written to a connection which its node is just closing is reset, and may have run. The node
/// counts from its own last byte, so a good part of the time is left as a margin.
pub fn idle_most(limit: Nanos) -> Duration {
    match limit {
        0 => Duration::from_secs(5),
        limit => Duration::from_nanos(limit / 4 * 3),
    }
}

impl Upstreams {
    pub fn new(
        descriptors: Rc<Descriptors>,
        ledger: Arc<RequestMetrics>,
        connect_timeout: Duration,
        settings: &Settings,
    ) -> Rc<Self> {
        let (idle_most, proxies) = (idle_most(settings.conn_idle), settings.proxies);
        let bounds = Bounds { connect_timeout, idle_most, proxies, node_most: u32::MAX, breakers: None };
        Self::bounded(descriptors, ledger, bounds)
    }

    /// With bounds of its own.
    pub fn bounded(descriptors: Rc<Descriptors>, ledger: Arc<RequestMetrics>, bounds: Bounds) -> Rc<Self> {
        let (nodes, open, epochs, ready) = Default::default();
        let keeps = RefCell::default();
        Rc::new(Upstreams {
            nodes,
            descriptors,
            ledger,
            bounds: RefCell::new(bounds),
            keeps,
            open,
            epochs,
            ready,
        })
    }

    /// Where all is counted.
    pub fn ledger(&self) -> &RequestMetrics {
        &self.ledger
    }

    /// Other bounds for connections from now on.
    pub fn bound(&self, bounds: Bounds) {
        let longest = bounds.idle_most.as_nanos() as Nanos;
        self.keeps.borrow_mut().values_mut().for_each(|keep| keep.limit(longest));
        *self.bounds.borrow_mut() = bounds;
    }

    /// Steers for how long idle connections to nodes of a kind are kept.
    fn steer(&self, kind: u32, step: impl FnOnce(&mut Jitter)) {
        let bounds = self.bounds.borrow();
        let first = || Jitter::new(bounds.idle_most.as_nanos() as Nanos, bounds.proxies);
        step(self.keeps.borrow_mut().entry(kind).or_insert_with(first));
    }

    /// For how long idle connections to nodes of a kind are kept now.
    fn span(&self, kind: u32) -> Duration {
        let mut span = 0;
        self.steer(kind, |keep| span = keep.span());
        Duration::from_nanos(span)
    }

    /// Takes news of the list; `whole` when nodes that it does not name are gone.
    pub fn update(&self, whole: bool, entries: &[(Entry, Option<SocketAddr>)]) {
        let mut nodes = self.nodes.borrow_mut();
        if whole {
            let named: FxHashSet<ServerId> = entries.iter().map(|(e, _)| e.server).collect();
            nodes.retain(|server, node| {
                let stays = named.contains(server);
                if !stays {
                    node.end_idle(NodeCloseCause::NodeChanged);
                }
                stays
            });
        }
        for (entry, addr) in entries {
            if entry.state == State::Gone {
                if let Some(mut node) = nodes.remove(&entry.server) {
                    node.end_idle(NodeCloseCause::NodeChanged);
                }
                continue;
            }
            let ready = entry.state == State::Ready;
            let mut old = nodes.get_mut(&entry.server);
            if old.as_ref().is_some_and(|n| n.addr == *addr && n.started == entry.started && n.ready == ready)
            {
                continue;
            }
            old.iter_mut().for_each(|n| n.end_idle(NodeCloseCause::NodeChanged));
            self.epochs.set(self.epochs.get() + 1);
            let epoch = self.epochs.get();
            let (figures, grouped) = old.map(|n| (n.figures.clone(), n.grouped)).unwrap_or_default();
            let (addr, kind, started, idle) = (*addr, entry.kind, entry.started, Vec::new());
            nodes.insert(entry.server, Node { addr, kind, started, ready, epoch, idle, grouped, figures });
        }
        self.ready.set(nodes.values().filter(|n| n.ready && n.addr.is_some()).count());
    }

    /// A node came over from another group at this time.
    pub fn regroup(&self, server: ServerId, since: Nanos) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.grouped = since;
        }
    }

    /// Since when a node belongs to its group; 0: since it came.
    pub fn grouped(&self, server: ServerId) -> Nanos {
        self.nodes.borrow().get(&server).map_or(0, |n| n.grouped)
    }

    /// No connection that is open now is used for another request.
    pub fn renew(&self) {
        for node in self.nodes.borrow_mut().values_mut() {
            self.epochs.set(self.epochs.get() + 1);
            node.epoch = self.epochs.get();
            node.end_idle(NodeCloseCause::NodeChanged);
        }
    }

    /// A node's machine kind, and when it started.
    pub fn kind(&self, server: ServerId) -> Option<(u32, Nanos)> {
        self.nodes.borrow().get(&server).map(|n| (n.kind, n.started))
    }

    /// Counters of a node.
    pub fn figures(&self, server: ServerId) -> Option<Rc<ConnectionStats>> {
        self.nodes.borrow().get(&server).map(|n| n.figures.clone())
    }

    /// How many connections are open or come up.
    pub fn connections(&self) -> u32 {
        self.open.get()
    }

    /// Since when the connection has been idle that has been for longest.
    pub fn longest_idle(&self) -> Option<Instant> {
        self.nodes.borrow().values().filter_map(|n| n.idle.first()).map(|i| i.since).min()
    }

    /// Whether any node takes work.
    pub fn any_ready(&self) -> bool {
        self.ready.get() > 0
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.end_idle(NodeCloseCause::NodeChanged);
        }
    }

    /// Closes idle connections that were closed by their peer or idle for too long.
    pub fn sweep(&self) {
        for node in self.nodes.borrow_mut().values_mut().filter(|n| !n.idle.is_empty()) {
            let (most, before) = (self.span(node.kind), node.idle.len());
            node.idle.retain(|i| {
                i.connection.cause.set(NodeCloseCause::Idle);
                i.since.elapsed() < most && !i.connection.sender.is_closed()
            });
            fleet_stats::count(Kind::ClosedIdle, (before - node.idle.len()) as u64);
        }
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; false if there is none.
    pub fn yield_idle(&self) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let oldest = nodes.values_mut().filter(|n| !n.idle.is_empty()).min_by_key(|n| n.idle[0].since);
        oldest.map(|n| n.idle.remove(0).connection.end(NodeCloseCause::MadeRoom)).is_some()
    }

    /// Sends one attempt and returns its outcome.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        job: &UpstreamRequest,
        span: Span,
        cancellation: &Rc<Cancellation>,
        importance: Importance,
    ) -> AttemptOutcome {
        let Some(figures) = self.figures(server) else { return Status::Moot.into() };
        let _out = Counted::new(&figures.out);
        let ended = self.timed(server, job, span, cancellation, importance).await;
        if ended.status != Status::Moot {
            figures.attempts.set(figures.attempts.get() + 1);
            let served = matches!(ended.status, Status::Ok | Status::Miss);
            figures.failed.set(figures.failed.get() + u64::from(!served));
        }
        ended
    }

    async fn timed(
        self: &Rc<Self>,
        server: ServerId,
        job: &UpstreamRequest,
        span: Span,
        cancellation: &Rc<Cancellation>,
        importance: Importance,
    ) -> AttemptOutcome {
        let due = Due::of(&span, steady());
        let until = Instant::now() + span.whole;
        match timeout_at(until, self.exchange(server, job, due, cancellation, importance)).await {
            Ok(ended) => ended,
            // A request that was not written completely has not run.
            Err(_) if cancellation.written() => Status::Timeout.into(),
            Err(_) => Status::ConnectFailed.into(),
        }
    }

    /// What is known of an attempt that is to be written now at this state of its node.
    fn facts(&self, server: ServerId, epoch: u64, due: Due, cancellation: &Cancellation) -> SendFacts {
        let same = self.open_to(server).is_some_and(|place| place.epoch == epoch);
        SendFacts {
            now: steady(),
            request: cancellation.request(),
            node: if same { NodeStanding::Ready } else { NodeStanding::Left },
            deadline: due.whole,
            repeat_by: due.begin,
        }
    }

    /// The outcome of an attempt that must not be written: it says nothing about its node.
    fn denied(&self, job: &UpstreamRequest, server: ServerId, denied: SendDenied) -> AttemptOutcome {
        request_trace::event(|| Event::Denied { request: job.id(), node: server, denied });
        Status::Moot.into()
    }

    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        job: &UpstreamRequest,
        due: Due,
        cancellation: &Rc<Cancellation>,
        importance: Importance,
    ) -> AttemptOutcome {
        loop {
            let Some(Place { addr, kind, epoch }) = self.open_to(server) else { return Status::Moot.into() };
            let (mut connection, reused) = match self.newest(server) {
                Some(connection) => (connection, true),
                None => match self.connect(server, addr, importance).await {
                    Ok(connection) => (connection, false),
                    Err(status) => return status.into(),
                },
            };
            if connection.sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Status::ConnectFailed.into();
            }
            // Danger: while the connection was established, the node may have begun to drain or have restarted, the request may
            // have been answered or its client have gone, or the deduplication of its retry have expired. This is checked once more
            // where its first byte is written.
            if let Err(denied) = may_send(&self.facts(server, epoch, due, cancellation)) {
                self.ledger.denied.one_more(denied);
                connection.end(NodeCloseCause::NodeChanged);
                return self.denied(job, server, denied);
            }
            let told_left = due.whole.saturating_sub(steady()).min(due.told_most);
            let (pool, looks_at) = (self.clone(), cancellation.clone());
            let facts = Box::new(move || SendFacts {
                deadline: due.client,
                ..pool.facts(server, epoch, due, &looks_at)
            });
            connection.socket.begin(ANSWER_MOST, Some(FirstByte { facts, told_left }));
            connection.uses += 1;
            cancellation.on(&connection.socket);
            let sent = connection.sender.send_request(request(job, addr, told_left)).await;
            let Ok(response) = sent else {
                if let Some(denied) = connection.socket.denied() {
                    return self.denied(job, server, denied);
                }
                // Danger: after its last byte the request may have run, and must not be retried here.
                if connection.socket.whole() {
                    return Status::Reset.into();
                }
                if reused {
                    continue;
                }
                return Status::ConnectFailed.into();
            };
            return self.answered(server, kind, epoch, connection, reused, response).await;
        }
    }

    /// Reads a response, and keeps its connection if it can be reused.
    async fn answered(
        self: &Rc<Self>,
        server: ServerId,
        kind: u32,
        epoch: u64,
        connection: Connection,
        reused: bool,
        response: Response<hyper::body::Incoming>,
    ) -> AttemptOutcome {
        let closing = response.headers().get(CONNECTION).is_some_and(|v| v == "close");
        let ResponseReader { mut ended, reusable, long } = read(response).await;
        if !reused && ended.status == Status::Full && closing {
            // Danger: a node whose connection table is full answers a new connection so and closes it, while it serves
            // its existing ones. That is a failed connection, not a full request queue.
            fleet_stats::count(Kind::TurnedAway, 1);
            self.steer(kind, Jitter::turned_away);
            ended.status = Status::ConnectFailed;
        } else if !reused {
            self.steer(kind, Jitter::taken);
        }
        let mut uses = 0;
        self.steer(kind, |keep| uses = keep.uses());
        let reusable = reusable && connection.uses < uses;
        if let Some((head, held, rest, length)) = long {
            // From here on the client's reading bounds what is received.
            connection.socket.unbound();
            let to = reusable.then(|| (self.clone(), server, epoch));
            let answer = LongAnswer::new(held, rest, length, Returning { connection, to });
            ended.answer = Some(Response::from_parts(head, Body::answer(answer)));
        } else if reusable && connection.socket.whole() {
            self.keep(server, epoch, connection);
        } else {
            connection.end(NodeCloseCause::Finished);
        }
        ended
    }

    /// Where a node accepts new requests.
    fn open_to(&self, server: ServerId) -> Option<Place> {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&server).filter(|n| n.ready)?;
        Some(Place { addr: node.addr?, kind: node.kind, epoch: node.epoch })
    }

    fn newest(&self, server: ServerId) -> Option<Connection> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.get_mut(&server)?;
        let most = self.span(node.kind);
        while let Some(Idle { connection, since }) = node.idle.pop() {
            if since.elapsed() >= most {
                connection.end(NodeCloseCause::Idle);
            } else if connection.clean() {
                connection.cause.set(NodeCloseCause::Failed);
                return Some(connection);
            } else {
                connection.end(NodeCloseCause::NotClean);
            }
        }
        None
    }

    fn keep(&self, server: ServerId, epoch: u64, connection: Connection) {
        if !connection.clean() {
            return connection.end(NodeCloseCause::NotClean);
        }
        match self.nodes.borrow_mut().get_mut(&server).filter(|n| n.epoch == epoch && n.ready) {
            Some(node) => node.idle.push(Idle { connection, since: Instant::now() }),
            None => connection.end(NodeCloseCause::NodeChanged),
        }
    }

    /// Opens a new connection; an error is the outcome of the attempt.
    async fn connect(
        &self,
        server: ServerId,
        addr: SocketAddr,
        importance: Importance,
    ) -> Result<Connection, Status> {
        let figures = self.figures(server).ok_or(Status::Moot)?;
        let (timeout, node_most, breakers) = {
            let bounds = self.bounds.borrow();
            (bounds.connect_timeout, bounds.node_most, bounds.breakers.clone())
        };
        // An attempt over a limit was never sent, and does not count against the node.
        if figures.connections.get() >= node_most {
            return Err(Status::Moot);
        }
        let _pending = match &breakers {
            None => None,
            Some(breakers) => {
                while self.open.get() >= breakers.connections(importance) {
                    if !self.yield_idle() {
                        return Err(Status::Moot);
                    }
                }
                Some(breakers.take(importance, Trip::Pending).map_err(|_| Status::Moot)?)
            }
        };
        let counted = [Counted::new(&self.open), Counted::new(&figures.connections)];
        let permit = loop {
            match self.descriptors.take() {
                Some(permit) => break permit,
                None if self.yield_idle() => tokio::task::yield_now().await,
                // Danger: reporting this as a failed connection would blame the node for this machine's shortage.
                None => return Err(Status::Moot),
            }
        };
        let first = figures.connections.get() == 1;
        fleet_stats::count(if first { Kind::HandshakeNew } else { Kind::HandshakeBusy }, 1);
        let until = Instant::now() + timeout;
        let stream = self.dial(addr, until).await?;
        let socket = Socket::counted(stream, permit, self.ledger.clone());
        // Danger: by default hyper reads a head of some 400 KB before it gives up.
        let shaken =
            http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(TokioIo::new(Io(socket.clone())));
        let (sender, driver) = shaken.await.map_err(|_| Status::ConnectFailed)?;
        let driver = tokio::task::spawn_local(driver).abort_handle();
        let (cause, ledger) = (Cell::new(NodeCloseCause::Failed), self.ledger.clone());
        Ok(Connection { sender, socket, driver, uses: 0, cause, ledger, _counted: counted })
    }

    /// Connects to a node. Danger: a shortage of this machine would count against all nodes, and all would be avoided at once.
    async fn dial(&self, addr: SocketAddr, until: Instant) -> Result<TcpStream, Status> {
        for _ in 0..SHORT_DIALS_MOST {
            match timeout_at(until, connect(addr)).await {
                Ok(Ok(stream)) => return Ok(stream),
                Ok(Err(ConnectError::Shortage(_))) => {
                    self.yield_idle();
                    tokio::time::sleep_until(until.min(Instant::now() + SHORTAGE_WAIT)).await;
                }
                Ok(Err(ConnectError::Unreached(_))) | Err(_) => return Err(Status::ConnectFailed),
            }
        }
        Err(Status::Moot)
    }
}

/// A connection with a response in progress; closed on drop.
struct Returning {
    connection: Connection,
    to: Option<(Rc<Upstreams>, ServerId, u64)>,
}

impl Returns for Returning {
    fn back(self: Box<Self>) {
        let Returning { connection, to } = *self;
        if let Some((upstreams, server, epoch)) = to.filter(|_| connection.socket.whole()) {
            upstreams.keep(server, epoch, connection);
        }
    }
}

fn request(job: &UpstreamRequest, addr: SocketAddr, told_left: Nanos) -> Request<Body> {
    let mut request = Request::new(match &job.body {
        AttemptBody::Whole(bytes) => Body::new(bytes.clone()),
        AttemptBody::Long(upload) => Body::upload(upload),
    });
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let headers = request.headers_mut();
    *headers = job.headers.clone();
    let left = Duration::from_nanos(told_left).as_secs_f64();
    if let Ok(left) = HeaderValue::try_from(format!("{left:.4}")) {
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
