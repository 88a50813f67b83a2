//! Watches the endpoint list at discovery with one call after another, on the schedule of a [`WatchSchedule`].

pub(crate) mod endpoint_list;
pub(crate) mod node_starts;

use crate::api::Nanos;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::observability::fleet_stats::{self, Kind};
use crate::proxy::upstream::socket::{Io, Socket};
use crate::proxy::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{DATE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rushquay_endpoints::{
    CallFailure, CursorUpdate, EndpointList, ListCursor, NextCall, WatchMode, WatchSchedule,
};
use rushquay_http_body::collect;
use rushquay_sockets::connect;
use rushquay_xds::client::Outage;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Descriptors reserved for discovery: one connection, and old ones that are still closing.
pub const DESCRIPTORS: usize = 4;
/// Maximum size of a list in bytes; the largest fleet's takes a third of it, if it is indented.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The response to a call.
struct ListResponse {
    members: EndpointList,
    /// The `Date` header: Unix time in nanoseconds by discovery's clock; `None`: it is missing or invalid.
    date: Option<u64>,
    /// How long discovery was asked to hold the call, and how long the response took.
    hold: Nanos,
    elapsed: Nanos,
}

/// A connection that is kept for the next call.
struct KeptConnection {
    sender: SendRequest<Body>,
    socket: Rc<Socket>,
}

/// Parses an HTTP date to Unix time in nanoseconds.
fn parse_http_date(date: &str) -> Option<u64> {
    let date = jiff::fmt::rfc2822::DateTimeParser::new().parse_timestamp(date).ok()?;
    u64::try_from(date.as_nanosecond()).ok()
}

/// The failure of a call.
struct CallError {
    failure: CallFailure,
    reason: String,
}

impl CallError {
    fn broken(what: &str, reason: impl fmt::Display) -> Self {
        CallError { failure: CallFailure::Broken, reason: format!("{what}: {reason}") }
    }

    fn refused(reason: impl fmt::Display) -> Self {
        CallError { failure: CallFailure::Rejected, reason: reason.to_string() }
    }

    fn silent(reason: &str) -> Self {
        CallError { failure: CallFailure::TimedOut, reason: reason.into() }
    }

    fn stats_kind(&self) -> Kind {
        match self.failure {
            CallFailure::Rejected => Kind::ListRefused,
            CallFailure::TimedOut => Kind::ListSilent,
            CallFailure::Broken => Kind::ListBroken,
        }
    }
}

/// The client that watches discovery's endpoint list.
pub struct Discovery {
    addr: SocketAddr,
    /// The position in the list that the next request starts from.
    cursor: ListCursor,
    /// When the next request is due.
    schedule: WatchSchedule,
    /// Danger: if these descriptors came out of the clients' budget, a flood of clients would cut the proxy off from the endpoint list.
    descriptors: Rc<Descriptors>,
    /// The connection of the last call, kept for the next watch.
    kept: Option<KeptConnection>,
    outage: Outage,
}

impl Discovery {
    /// Creates a client. `version` is the version of the list that the proxy already has.
    pub fn new(addr: SocketAddr, version: Option<u64>, mode: WatchMode) -> Self {
        Discovery {
            addr,
            cursor: ListCursor::at(version),
            schedule: WatchSchedule::new(mode),
            descriptors: Descriptors::new(DESCRIPTORS),
            kept: None,
            outage: Outage::default(),
        }
    }

    /// Watches the list for as long as the process runs. An address from `new_addresses` replaces the current one.
    pub async fn follow(
        mut self,
        feed: Rc<EndpointFeed>,
        mut new_addresses: mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        loop {
            let next_call = self.schedule.next(fastrand::f64);
            // Danger: a watch at the old address may take many seconds to fail, so it is abandoned.
            let result = tokio::select! {
                biased;
                Some(addr) = new_addresses.recv() => {
                    self.move_to(addr);
                    continue;
                }
                result = self.call(next_call) => result,
            };
            match result {
                Ok(response) => self.on_list(response, &feed),
                Err(error) => self.on_failure(&error, &feed),
            }
        }
    }

    /// Passes a list on to the feed. A list that does not follow the current one is dropped, and the full list requested.
    fn on_list(&mut self, response: ListResponse, feed: &EndpointFeed) {
        let ListResponse { members, date, hold, elapsed } = response;
        if self.cursor.is_unsolicited(&members, hold, elapsed) {
            fleet_stats::count(Kind::ListBroken, 1);
            crate::proxy::log(format_args!(
                "discovery at {}: list version {} came {} ms into a watch for a newer one; it is dropped with its connection",
                self.addr,
                members.version,
                elapsed / 1_000_000
            ));
            self.kept = None;
            return self.schedule.answered();
        }
        date.into_iter().for_each(|date| feed.on_response_date(date));
        if self.cursor.accept(&members) == CursorUpdate::Rejected {
            fleet_stats::count(Kind::ListBroken, 1);
            crate::proxy::log(format_args!(
                "discovery at {}: list version {} with {} entries does not follow the current list, which is kept; \
                 requesting the full list",
                self.addr,
                members.version,
                members.servers.len()
            ));
            // Danger: the response to the next call is accepted unconditionally, so nothing that is still on its way may pass for it.
            self.kept = None;
            return self.schedule.list_rejected();
        }
        self.schedule.answered();
        if let Some(n) = self.outage.over() {
            crate::proxy::log(format_args!("discovery at {} responds again after {n} failures", self.addr));
        }
        fleet_stats::count(Kind::ListLines, members.servers.len() as u64);
        feed.on_discovery_list(&members);
    }

    /// Records a failed call, and tells the feed if discovery counts as unreachable.
    fn on_failure(&mut self, error: &CallError, feed: &EndpointFeed) {
        fleet_stats::count(error.stats_kind(), 1);
        if let Some(n) = self.outage.failed(&error.reason) {
            crate::proxy::log(format_args!("discovery at {}: {} (failure {n})", self.addr, error.reason));
        }
        self.kept = None;
        if self.schedule.failed(error.failure) {
            feed.on_discovery_failure();
        }
    }

    /// Continues at another address with the full list: versions there may differ.
    fn move_to(&mut self, addr: SocketAddr) {
        crate::proxy::log(format_args!("discovery is now at {addr}"));
        (self.addr, self.kept) = (addr, None);
        self.cursor.reset();
        self.schedule.address_changed();
    }

    /// Waits until the call is due and makes it, within its time limit.
    async fn call(&mut self, next_call: NextCall) -> Result<ListResponse, CallError> {
        tokio::time::sleep(Duration::from_nanos(next_call.delay)).await;
        let result =
            tokio::time::timeout(Duration::from_nanos(next_call.timeout), self.exchange(next_call.hold))
                .await;
        result.unwrap_or_else(|_| Err(CallError::silent("timed out waiting for a response")))
    }

    /// Requests the list, or changes to it that occur within `hold` nanoseconds, on the kept or a new connection.
    async fn exchange(&mut self, hold: u64) -> Result<ListResponse, CallError> {
        let mut connection = match self.take_kept().await {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let started = steady_nanos();
        let path = self.cursor.path(u128::from(hold / 1_000_000));
        fleet_stats::count(self.cursor.version().map_or(Kind::ListWhole, |_| Kind::ListWatch), 1);
        let request = Request::get(path).header(HOST, self.addr.to_string()).body(Body::default());
        let response = connection.sender.send_request(request.map_err(CallError::refused)?).await;
        let (head, body) = response.map_err(|e| CallError::broken("no response", e))?.into_parts();
        let body = collect(body, MAX_LIST_BYTES).await;
        let body = body.map_err(|e| CallError::broken("invalid response body", e))?;
        let elapsed = steady_nanos().saturating_sub(started);
        self.kept = Some(connection);
        if head.status != StatusCode::OK {
            return Err(CallError::refused(format_args!("answered {}", head.status.as_u16())));
        }
        let date = head.headers.get(DATE).and_then(|date| parse_http_date(date.to_str().ok()?));
        match serde_json::from_slice(&body) {
            Ok(members) => Ok(ListResponse { members, date, hold, elapsed }),
            Err(e) => {
                self.cursor.request_whole_list();
                Err(CallError::refused(format_args!("invalid endpoint list: {e}")))
            }
        }
    }

    /// Takes the kept connection if it can carry the next call. One that was closed in the meantime is no failure of discovery.
    async fn take_kept(&mut self) -> Option<KeptConnection> {
        let mut kept = self.kept.take()?;
        kept.sender.ready().await.ok()?;
        kept.socket.has_no_input().then_some(kept)
    }

    async fn connect(&self) -> Result<KeptConnection, CallError> {
        let permit =
            self.descriptors.take().ok_or_else(|| CallError::refused("no file descriptor available"))?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.addr)).await;
        let stream = connecting.map_err(|_| CallError::silent("connect timed out"))?;
        let stream = stream.map_err(|e| CallError::broken("connect failed", e.source()))?;
        let socket = Socket::new(stream, permit);
        let (sender, driver) = http1::handshake(TokioIo::new(Io(socket.clone())))
            .await
            .map_err(|e| CallError::broken("connect failed", e))?;
        tokio::task::spawn_local(driver);
        Ok(KeptConnection { sender, socket })
    }
}
