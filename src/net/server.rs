//! The listener, clients' connections and requests, their answers, and the drain.

use super::config::Config;
use super::control;
use super::discovery::{self, Discovery};
use super::engine::{Answer, Asked, Engine, Ticket};
use super::envoy;
use super::front::Front;
use super::gate::{Gate, Seen};
use super::nodes::NodeList;
use super::pools::Pools;
use super::routed::{Forward, Routed};
use super::socket::{Descriptors, Permit, Socket};
use super::upstream::{Job, Upstreams, TIME_LEFT};
use super::{Body, BODY_MOST, BUFFER_MOST};
use crate::api::{self, Effect, Nanos};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that belong to one connection and do not go on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
/// An id is at most this long.
const ID_MOST: usize = 128;
/// A connection that has asked nothing for so long since it came, whatever part of a head it sent, is closed.
const ASK_WITHIN: Duration = Duration::from_secs(2);
/// Within this time a new connection is expected to ask.
const ASK_SOON: Duration = Duration::from_millis(500);
/// More than this part of the clients' connections that ask nothing are a flood.
const SILENT_PART: usize = 4;
/// A connection that is to make room does so within this time, or another is asked to.
const YIELD_WITHIN: Duration = Duration::from_millis(2);
/// A head that has begun on a connection used before, or a body, comes whole within this time.
const COME_WITHIN: Duration = Duration::from_millis(1500);
/// The kernel takes the rest of an answer within this time.
const TAKE_WITHIN: Duration = Duration::from_secs(2);
/// A connection that has been without a request for so long is closed.
const IDLE_MOST: Duration = Duration::from_secs(10);
/// Idle connections to nodes are looked at so often.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Descriptors that are no sockets of the budget: standard streams, the listener, the runtime's own, discovery's.
const OWN_DESCRIPTORS: usize = 20 + discovery::DESCRIPTORS;
/// Memory that is no connection's.
const OWN_MEMORY: usize = 8 << 20;
/// New connections come for some time after SIGTERM; accepting goes on for at least the first span, until none
/// has come for the second, and ends after the third.
const ACCEPT_FOR: Duration = Duration::from_millis(450);
const QUIET_FOR: Duration = Duration::from_millis(100);
const ACCEPT_MOST: Duration = Duration::from_millis(600);
/// A proxy may be killed so long after the longest deadline after SIGTERM; it ends a little sooner.
const END_BEFORE: Duration = Duration::from_millis(600);

/// A client's connection, as others see it.
struct Client {
    socket: Rc<Socket>,
    seen: Rc<Seen>,
    busy: Cell<bool>,
    came: Instant,
    /// When it came or was last answered.
    since: Cell<Instant>,
    close: Notify,
    closing: Cell<bool>,
    /// Closing does not wait until an answer has been taken.
    dropped: Cell<bool>,
}

impl Client {
    fn new(stream: TcpStream, permit: Permit) -> Rc<Self> {
        let came = Instant::now();
        Rc::new(Client {
            socket: Socket::new(stream, permit),
            seen: Rc::default(),
            busy: Cell::new(false),
            came,
            since: Cell::new(came),
            close: Notify::new(),
            closing: Cell::new(false),
            dropped: Cell::new(false),
        })
    }

    /// Lets the connection end after the request that it has, if any.
    fn end(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }

    /// Danger: silence, a head that does not end and an answer that is not read would each hold a descriptor for
    /// good.
    fn look(&self, now: Instant) {
        if self.busy.get() {
            return;
        }
        let over = |from: Instant, most: Duration| now.saturating_duration_since(from) > most;
        let asked = self.seen.heads.get() > 0;
        let overdue = if asked {
            self.seen.head_since.get().is_some_and(|since| over(since, COME_WITHIN))
                || self.socket.stalled() && over(self.since.get(), TAKE_WITHIN)
        } else {
            over(self.came, ASK_WITHIN)
        };
        if overdue {
            self.dropped.set(true);
            self.end();
        } else if over(self.since.get(), IDLE_MOST) && self.socket.silent() {
            self.end();
        }
    }
}

struct Server {
    front: Front,
    descriptors: Rc<Descriptors>,
    /// Danger: clients that hold every descriptor could be answered by nobody. Of two they get one.
    clients_most: usize,
    settings: api::Settings,
    draining: Cell<bool>,
    clients: RefCell<Vec<Rc<Client>>>,
    /// The ids of all requests that lack their answer. Their hash is keyed, since clients choose them.
    ids: RefCell<HashSet<HeaderValue>>,
    left: Notify,
}

/// A request's id, taken while its answer is due.
struct OpenId<'a> {
    server: &'a Server,
    id: HeaderValue,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.server.ids.borrow_mut().remove(&self.id);
    }
}

/// Serves until `stop`, then drains; follows another discovery when the file names one at a `hangup`. `told` hears
/// where it listens.
///
/// # Errors
/// An address that can't be listened on.
pub async fn run(
    config: Config,
    stop: impl Future<Output = ()>,
    hangup: Signal,
    told: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    let listen = config.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("PROXY_LISTEN: {listen}: {e}"))?;
    let bound = listener.local_addr().map_err(|e| format!("PROXY_LISTEN: {listen}: {e}"))?;
    super::log(format_args!("listening on {bound}"));
    super::account::start();
    told(bound);
    // Danger: each connection may come to hold a body and what is read ahead of it. So many are taken as there is
    // room for, even if all of them do.
    let room = config.memory.saturating_sub(OWN_MEMORY) / (BODY_MOST + 2 * BUFFER_MOST);
    let own = OWN_DESCRIPTORS
        + config.control.as_ref().map_or(0, |_| control::DESCRIPTORS)
        + config.envoy.as_ref().map_or(0, |_| envoy::DESCRIPTORS);
    let descriptors = Descriptors::new(config.sockets.saturating_sub(own).min(room).max(8));
    let clients_most = descriptors.free() / 2;
    let settings = config.settings.clone();
    let front = match config.envoy.clone() {
        Some(source) => {
            let pools = Pools::new(settings.clone(), config.names, config.seed, descriptors.clone());
            let me = envoy::Me { name: config.name, seed: config.seed, listen: bound };
            envoy::follow(source, pools.clone(), me)?;
            Front::Pools(pools)
        }
        None => one(config, descriptors.clone(), hangup)?,
    };
    let sweeper = front.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(SWEEP_EVERY).await;
            sweeper.sweep();
        }
    });
    let server = Rc::new(Server {
        front,
        descriptors,
        clients_most,
        settings,
        draining: Cell::new(false),
        clients: RefCell::default(),
        ids: RefCell::default(),
        left: Notify::new(),
    });
    let watched = server.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(LOOK_EVERY).await;
            let now = Instant::now();
            watched.clients.borrow().iter().for_each(|c| c.look(now));
        }
    });
    tokio::select! {
        biased;
        () = stop => {}
        never = server.accept_all(&listener) => match never {},
    }
    server.drain(listener).await;
    Ok(())
}

/// One decision module on the list of the proxy's own discovery, with a control service's where one is subscribed to.
fn one(config: Config, descriptors: Rc<Descriptors>, mut hangup: Signal) -> Result<Front, String> {
    let discovery = config.discovery.ok_or("discovery is missing, and PROXY_DISCOVERY is not set")?;
    let settings = config.settings.clone();
    let upstreams = Upstreams::new(descriptors, config.connect_timeout, &settings);
    let (watch, asked) = mpsc::unbounded_channel();
    let (subscription, known) = (control::Subscription::of(&config), config.known);
    let discovery =
        Discovery::new(discovery, known.as_ref().map(|known| known.version), settings.must_ask_in);
    let listed = known.as_ref().map_or(&[][..], |known| &known.servers);
    let names = Rc::new(config.names);
    let engine = Engine::new(settings, names, config.seed, listed, upstreams.clone(), watch);
    let nodes = NodeList::new(engine.clone(), subscription.as_ref().map(|s| s.limits()), known.as_ref());
    let (moves, moved) = mpsc::unbounded_channel();
    tokio::task::spawn_local(discovery.follow(nodes.clone(), asked, moved));
    if let Some(subscription) = subscription {
        tokio::task::spawn_local(subscription.follow(nodes));
    }
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match Config::again() {
                // The receiver is gone only when the proxy ends.
                Ok(config) => drop(config.discovery.map(|discovery| moves.send(discovery))),
                Err(e) => super::log(format_args!("the settings stay as they are: {e}")),
            }
        }
    });
    Ok(Front::One { engine, upstreams })
}

impl Server {
    async fn accept_all(self: &Rc<Self>, listener: &TcpListener) -> Infallible {
        loop {
            let accepted = listener.accept().await;
            self.accepted(accepted).await;
        }
    }

    /// Takes in a connection, once there is a descriptor for it. The one that it has meanwhile is the server's own.
    async fn accepted(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Danger: without descriptors accept fails at once, and again, and again.
                super::log(format_args!("accept: {e}"));
                self.front.yield_idle();
                sleep(Duration::from_millis(10)).await;
                return;
            }
        };
        let permit = loop {
            if self.clients.borrow().len() >= self.clients_most {
                if !self.one_leaves() {
                    self.yield_client(false);
                }
            } else if let Some(permit) = self.descriptors.take() {
                break permit;
            } else if !self.front.yield_idle() && !self.one_leaves() {
                self.yield_client(false);
            }
            // Danger: who was sent away may have asked just then and stays until it has its answer; the next one
            // must not wait for that.
            let _ = timeout(YIELD_WITHIN, self.descriptors.freed()).await;
        };
        self.clone().connected(stream, permit);
        // Danger: clients too have only so many connections; those that they ask once on and keep would leave
        // them none to ask on.
        let staying = self.clients.borrow().iter().filter(|c| !c.closing.get()).count();
        if staying > self.clients_most / 2 {
            self.yield_client(true);
        }
    }

    /// Ends the client's connection that has been without a request for longest; `spare` leaves what has just come,
    /// and all while a flood comes.
    /// Danger: a flood of connections that say nothing must push out one another, and not those that ask; but what
    /// has just come and is about to ask must not go before those that have their answer.
    fn yield_client(&self, spare: bool) {
        let clients = self.clients.borrow();
        let mut idle: Vec<_> = clients.iter().filter(|c| !c.busy.get() && !c.closing.get()).collect();
        let now = Instant::now();
        let asks = |c: &Client| c.seen.heads.get() > 0 && c.seen.head_since.get().is_none();
        let flood = idle.iter().filter(|c| !asks(c)).count() > self.clients_most / SILENT_PART;
        let about_to_ask = |c: &Client| !asks(c) && !flood && now - c.since.get() < ASK_SOON;
        if spare && flood {
            return;
        }
        idle.retain(|c| !(spare && about_to_ask(c)));
        idle.sort_by_key(|c| (about_to_ask(c), asks(c), c.since.get()));
        if let Some(client) = idle.iter().find(|c| c.socket.silent()).or(idle.first()) {
            client.end();
        }
    }

    /// Whether a connection is about to leave its place. Danger: to send another away for each that comes
    /// before it has left would empty the house of those that ask.
    fn one_leaves(&self) -> bool {
        let leaves = |c: &Rc<Client>| c.closing.get() && !c.busy.get() && !c.socket.stalled();
        self.clients.borrow().iter().any(leaves)
    }

    fn connected(self: Rc<Self>, stream: TcpStream, permit: Permit) {
        let client = Client::new(stream, permit);
        self.clients.borrow_mut().push(client.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                client.busy.set(true);
                let fault = client.seen.fault.take();
                let (server, client) = (&self, &client);
                async move {
                    let mut response = match fault {
                        Some(why) => bad(StatusCode::BAD_REQUEST, why),
                        None => server.respond(request, &client.socket).await,
                    };
                    if server.draining.get() || client.closing.get() || client.seen.last.get() {
                        closing(&mut response);
                    }
                    client.busy.set(false);
                    client.since.set(Instant::now());
                    Ok::<_, Infallible>(response)
                }
            });
            // Danger: by default hyper drops the request of a client that has ended its sending and still waits,
            // and lets one connection hold some 400 KB.
            let gate = Gate::new(client.socket.clone(), client.seen.clone());
            let connection = http1::Builder::new()
                .half_close(true)
                .max_buf_size(BUFFER_MOST)
                .serve_connection(TokioIo::new(gate), service);
            let mut connection = std::pin::pin!(connection);
            loop {
                // What has come in is read before the connection is asked to end.
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    () = client.close.notified() => {
                        // Danger: hyper waits without end for the rest of a head. Nothing is owed for one.
                        if !client.busy.get() && (client.dropped.get() || !client.socket.stalled()) {
                            break;
                        }
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
            self.clients.borrow_mut().retain(|c| !Rc::ptr_eq(c, &client));
            self.left.notify_one();
        });
    }

    /// Answers what comes and asks clients away, then ends idle connections, and waits for the rest.
    async fn drain(self: &Rc<Self>, listener: TcpListener) {
        super::log("draining");
        self.draining.set(true);
        let start = Instant::now();
        let mut until = start + ACCEPT_FOR;
        while let Ok(accepted) = timeout_at(until.min(start + ACCEPT_MOST), listener.accept()).await {
            self.accepted(accepted).await;
            until = until.max(Instant::now() + QUIET_FOR);
        }
        drop(listener);
        self.clients.borrow().iter().for_each(|c| c.end());
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let end = start + Duration::from_nanos(longest) + END_BEFORE;
        while !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.left.notified() => {}
                () = sleep_until(end) => {
                    super::log("ended with clients still connected");
                    return;
                }
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>, socket: &Rc<Socket>) -> Response<Body> {
        if request.uri().path() == "/_health" {
            let ready = !self.draining.get() && self.front.can_serve();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let may_ask = request.version() == Version::HTTP_11;
        let (mut head, body) = request.into_parts();
        // What is held here lives until the answer has been given, the cluster among it.
        let forward = match &self.front {
            Front::One { .. } => None,
            Front::Pools(pools) => match pools.route(&mut head, fastrand::f64) {
                Routed::Answered(answer) => return answer,
                Routed::Forward(forward) => Some(forward),
            },
        };
        let engine = match (&self.front, &forward) {
            (_, Some(forward)) => &forward.cluster.engine,
            (Front::One { engine, .. }, None) => engine,
            (Front::Pools(_), None) => return plain(StatusCode::NOT_FOUND, "no such route"),
        };
        let asked = match self.asked(engine, head, body, forward.as_deref()).await {
            Ok(asked) => asked,
            Err((status, why)) => {
                let mut response = bad(status, why);
                if status == StatusCode::METHOD_NOT_ALLOWED {
                    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, PUT"));
                }
                return response;
            }
        };
        // Danger: nodes and the bookkeeping of repeats know a request by its id; a second one that bears it is
        // somebody else's, and must not disturb the first.
        let id = asked.job.headers[CORRELATION_ID].clone();
        if !self.ids.borrow_mut().insert(id.clone()) {
            return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
        }
        let _open = OpenId { server: self, id };
        let mut ticket: Ticket = engine.arrive(asked);
        let mut response = tokio::select! {
            biased;
            answer = ticket.answer() => respond_with(answer),
            // Nobody is left to read this.
            () = socket.hung_up(may_ask) => plain(StatusCode::BAD_GATEWAY, "the client has gone"),
        };
        if let Some(forward) = &forward {
            forward.dress(&mut response);
        }
        response
    }

    /// Reads a request into the module's terms, or says what is wrong with it.
    async fn asked(
        &self,
        engine: &Engine,
        head: Parts,
        body: Incoming,
        forward: Option<&Forward>,
    ) -> Result<Asked, (StatusCode, &'static str)> {
        let mut parts = head.uri.path().strip_prefix('/').unwrap_or("").split('/');
        let first = parts.next().unwrap_or("");
        let name = forward.and_then(|f| f.class.as_deref()).unwrap_or(first);
        let class = engine.names().classes.iter().position(|c| c == name);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class"))?;
        let write = match head.method {
            Method::GET => false,
            Method::PUT => true,
            _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "only GET and PUT")),
        };
        let settings = &self.settings.classes[class];
        let only = |name: &HeaderName, why| match head.headers.get_all(name).iter().count() {
            0 => Ok(None),
            1 => Ok(head.headers.get(name)),
            _ => Err((StatusCode::BAD_REQUEST, why)),
        };
        let patience = match only(&TIME_LEFT, "more than one X-Time-Left")? {
            None => settings.deadline,
            // Danger: what is kept for a request is kept for so long.
            Some(told) => {
                time_left(told).ok_or((StatusCode::BAD_REQUEST, "bad X-Time-Left"))?.min(settings.deadline)
            }
        };
        let patience = forward.and_then(|f| f.timeout).map_or(patience, |most| patience.min(most));
        let id = only(&CORRELATION_ID, "more than one X-Correlation-Id")?;
        if !id.is_some_and(well_formed) {
            return Err((StatusCode::BAD_REQUEST, "no X-Correlation-Id, or a bad one"));
        }
        let key_of_repeats = only(&IDEMPOTENCY_KEY, "more than one Idempotency-Key")?;
        if write && settings.effect == Effect::Keyed && key_of_repeats.is_none_or(|k| k.is_empty()) {
            return Err((StatusCode::BAD_REQUEST, "no Idempotency-Key"));
        }
        let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");
        if body.size_hint().lower() > BODY_MOST as u64 {
            return Err(too_large);
        }
        // Danger: a client that stalls in the midst of its body would keep its connection, which counts as busy.
        let within = Duration::from_nanos(patience).min(COME_WITHIN);
        let read = timeout(within, Limited::new(body, BODY_MOST).collect()).await;
        let read = read.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"))?;
        let body = read.map(|b| b.to_bytes()).map_err(|e| match e.is::<LengthLimitError>() {
            true => too_large,
            false => (StatusCode::BAD_REQUEST, "the body is broken"),
        })?;
        let tenant = head.headers.get(ACCOUNT).and_then(|a| a.to_str().ok());
        let tenant = tenant.and_then(|a| engine.names().tenants.iter().position(|t| t == a));
        let key_text = parts.next_back().filter(|k| !k.is_empty());
        let request = api::Request {
            id: 0,
            class: class as u32,
            tenant: tenant.map(|t| t as u32),
            key: key_text.map(key),
            pinned: key_text.and_then(|k| engine.pinned(name, k)),
            remaining: patience,
            write,
            retry: head.headers.get(REPEAT).is_some_and(|v| v == "1"),
        };
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let uri = path.parse().map_err(|_| (StatusCode::BAD_REQUEST, "bad path"))?;
        let mut headers = head.headers;
        strip(&mut headers);
        // The body is passed on with the length that it has.
        headers.remove(header::CONTENT_LENGTH);
        let terms = forward.map(|f| f.terms.clone());
        Ok(Asked { request, job: Job { method: head.method, uri, headers, body }, terms })
    }
}

/// An id is printable and has no blanks: anything else may be read otherwise by who it is passed on to.
fn well_formed(id: &HeaderValue) -> bool {
    (1..=ID_MOST).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
}

/// Seconds with decimals, as nanoseconds.
fn time_left(told: &HeaderValue) -> Option<Nanos> {
    let text = told.to_str().ok()?.trim();
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| plain)?;
    Some((seconds.min(3600.0) * 1e9) as Nanos)
}

/// A key as a number: hex as on the simulator's wire, anything else hashed.
pub(super) fn key(text: &str) -> u64 {
    let hex = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok());
    hex.flatten().unwrap_or_else(|| api::server_id(text))
}

/// Takes out what belongs to one connection alone.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

pub(super) fn respond_with(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Served(response) => {
            let (mut head, body) = response.into_parts();
            strip(&mut head.headers);
            // Danger: hyper believes a length that stands here; the body held has one of its own.
            head.headers.remove(header::CONTENT_LENGTH);
            head.version = Version::HTTP_11;
            Response::from_parts(head, Body::new(body))
        }
        Answer::Refused(wait) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if !wait.is_zero() {
                if let Ok(advice) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
                    response.headers_mut().insert(header::RETRY_AFTER, advice);
                }
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::Overdue => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

/// Turns away what is malformed or too large. Danger: a client that sends the like again and again on one connection
/// costs more than one that has to connect for it; and what follows on it may be the rest of this one.
fn bad(status: StatusCode, why: &'static str) -> Response<Body> {
    let mut response = plain(status, why);
    closing(&mut response);
    response
}

fn closing(response: &mut Response<Body>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn advice_to_wait_reaches_the_client_as_seconds() {
        for (wait, advice) in [(1500, Some("1.500")), (0, None)] {
            let answer = respond_with(Answer::Refused(Duration::from_millis(wait)));
            let told = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
            assert_eq!((answer.status(), told), (StatusCode::SERVICE_UNAVAILABLE, advice));
        }
    }

    #[test]
    fn a_key_is_read_as_the_simulator_reads_it() {
        assert_eq!(key("7f3a9c21e0b4d655"), 0x7f3a_9c21_e0b4_d655);
        assert_ne!(key("boiler-7"), key("boiler-8"));
    }
}
