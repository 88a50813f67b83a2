//! Watches the endpoint list at discovery: one call after another, each when [`WatchSchedule`] says.

pub(crate) mod endpoint_list;

use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::observability::fleet_stats::{self, Kind};
use crate::proxy::upstream::socket::{Io, Socket};
use crate::proxy::Body;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{DATE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rushquay_endpoints::{
    CallFailure, CursorUpdate, EndpointList, ListCursor, NextCall, WatchMode, WatchSchedule,
};
use rushquay_sockets::connect;
use rushquay_xds::client::Outage;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Timeout of a connect.
const CONNECT: Duration = Duration::from_secs(1);
/// Descriptors that it may hold: one connection, and old ones that are just closing.
pub const DESCRIPTORS: usize = 4;
/// Longest list in bytes; a thousand entries take a fifth of it.
const LIST_MOST: usize = 1 << 20;

/// The result of a call.
struct ListAnswer {
    members: EndpointList,
    /// The response's date, in Unix time by discovery's clock; `None`: it has none.
    date: Option<u64>,
}

/// A date of HTTP as Unix time in nanoseconds.
fn unix(date: &str) -> Option<u64> {
    let date = jiff::fmt::rfc2822::DateTimeParser::new().parse_timestamp(date).ok()?;
    u64::try_from(date.as_nanosecond()).ok()
}

/// Why a call returned no list.
struct Failed {
    how: CallFailure,
    why: String,
}

impl Failed {
    fn broken(what: &str, why: impl fmt::Display) -> Self {
        Failed { how: CallFailure::Broken, why: format!("{what}: {why}") }
    }

    fn refused(why: impl fmt::Display) -> Self {
        Failed { how: CallFailure::Refused, why: why.to_string() }
    }

    fn silent(why: &str) -> Self {
        Failed { how: CallFailure::Silent, why: why.into() }
    }

    fn kind(&self) -> Kind {
        match self.how {
            CallFailure::Refused => Kind::ListRefused,
            CallFailure::Silent => Kind::ListSilent,
            CallFailure::Broken => Kind::ListBroken,
        }
    }
}

pub struct Discovery {
    addr: SocketAddr,
    /// What to request next.
    cursor: ListCursor,
    /// When to request it.
    follow: WatchSchedule,
    /// Danger: if these descriptors came from the clients' budget, a flood of clients would cut the proxy off from the endpoint list.
    descriptors: Rc<Descriptors>,
    sender: Option<SendRequest<Body>>,
    outage: Outage,
}

impl Discovery {
    /// `version`: of the list that is held.
    pub fn new(addr: SocketAddr, version: Option<u64>, manner: WatchMode) -> Self {
        Discovery {
            addr,
            cursor: ListCursor::at(version),
            follow: WatchSchedule::new(manner),
            descriptors: Descriptors::new(DESCRIPTORS),
            sender: None,
            outage: Outage::default(),
        }
    }

    /// Watches the list for as long as the process runs. An address from `moved` replaces the present one.
    pub async fn follow(mut self, nodes: Rc<EndpointFeed>, mut moved: mpsc::UnboundedReceiver<SocketAddr>) {
        loop {
            let step = self.follow.next(fastrand::f64);
            // Danger: a watch at the old address stays silent for many seconds before it fails.
            let called = tokio::select! {
                biased;
                Some(addr) = moved.recv() => {
                    self.move_to(addr);
                    continue;
                }
                called = self.call(step) => called,
            };
            match called {
                Ok(answer) => self.took(answer, &nodes),
                Err(failed) => self.failed(&failed, &nodes),
            }
        }
    }

    fn took(&mut self, answer: ListAnswer, nodes: &EndpointFeed) {
        let ListAnswer { members, date } = answer;
        date.into_iter().for_each(|date| nodes.dated(date));
        if self.cursor.saw(&members) == CursorUpdate::Doubted {
            fleet_stats::count(Kind::ListBroken, 1);
            crate::proxy::log(format_args!(
                "discovery at {}: a list of version {} with {} entries is no sequel to the one held, which stays; the \
                 whole list is asked for",
                self.addr,
                members.version,
                members.servers.len()
            ));
            return self.follow.doubted();
        }
        self.follow.answered();
        if let Some(n) = self.outage.over() {
            crate::proxy::log(format_args!("discovery at {} answers after {n} failures", self.addr));
        }
        fleet_stats::count(Kind::ListLines, members.servers.len() as u64);
        nodes.discovered(members);
    }

    fn failed(&mut self, failed: &Failed, nodes: &EndpointFeed) {
        fleet_stats::count(failed.kind(), 1);
        if let Some(n) = self.outage.failed(&failed.why) {
            crate::proxy::log(format_args!("discovery at {}: {} (failure {n})", self.addr, failed.why));
        }
        self.sender = None;
        if self.follow.failed(failed.how) {
            nodes.failed();
        }
    }

    /// Continues at this address with the complete list: its versions may differ.
    fn move_to(&mut self, addr: SocketAddr) {
        crate::proxy::log(format_args!("discovery is now at {addr}"));
        (self.addr, self.sender) = (addr, None);
        self.cursor.reset();
        self.follow.moved();
    }

    async fn call(&mut self, step: NextCall) -> Result<ListAnswer, Failed> {
        tokio::time::sleep(Duration::from_nanos(step.wait)).await;
        let called = tokio::time::timeout(Duration::from_nanos(step.limit), self.exchange(step.hold)).await;
        called.unwrap_or_else(|_| Err(Failed::silent("no answer in time")))
    }

    async fn exchange(&mut self, hold: u64) -> Result<ListAnswer, Failed> {
        let kept = match self.sender.take() {
            // A reused connection that was closed meanwhile says nothing about discovery.
            Some(mut sender) => sender.ready().await.is_ok().then_some(sender),
            None => None,
        };
        let mut sender = match kept {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let path = self.cursor.path(u128::from(hold / 1_000_000));
        fleet_stats::count(self.cursor.version().map_or(Kind::ListWhole, |_| Kind::ListWatch), 1);
        let request = Request::get(path).header(HOST, self.addr.to_string()).body(Body::default());
        let response = sender.send_request(request.map_err(Failed::refused)?).await;
        let (head, body) = response.map_err(|e| Failed::broken("no answer", e))?.into_parts();
        let body = Limited::new(body, LIST_MOST).collect().await;
        let body = body.map_err(|e| Failed::broken("broken answer", e))?;
        self.sender = Some(sender);
        if head.status != StatusCode::OK {
            return Err(Failed::refused(format_args!("answered {}", head.status.as_u16())));
        }
        let date = head.headers.get(DATE).and_then(|date| unix(date.to_str().ok()?));
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(members) => Ok(ListAnswer { members, date }),
            Err(e) => {
                self.cursor.spoilt();
                Err(Failed::refused(format_args!("not a list: {e}")))
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Body>, Failed> {
        let permit = self.descriptors.take().ok_or_else(|| Failed::refused("no descriptor left"))?;
        let connecting = tokio::time::timeout(CONNECT, connect(self.addr)).await;
        let stream = connecting.map_err(|_| Failed::silent("no connection in time"))?;
        let stream = stream.map_err(|e| Failed::broken("no connection", e.source()))?;
        let io = TokioIo::new(Io(Socket::new(stream, permit)));
        let (sender, connection) =
            http1::handshake(io).await.map_err(|e| Failed::broken("no connection", e))?;
        tokio::task::spawn_local(connection);
        Ok(sender)
    }
}
