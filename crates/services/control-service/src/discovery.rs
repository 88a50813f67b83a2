//! The endpoint list at discovery: the whole list first, then a watch that is renewed at once.

use crate::state::SourceEvent;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rushquay_endpoints::{CursorUpdate, EndpointList, ListCursor};
use rushquay_sockets::{connect, ConnectError, RetryStream};
use rushquay_xds::client::Backoff;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long discovery holds a watch without a change. Danger: a connection whose other end vanished is as silent as a watch without a
/// change. For as long as it is held the service, and all its subscribers with it, would learn of no drain.
const WATCH_HOLD: Duration = Duration::from_secs(2);
/// How long discovery may take beyond the hold that it was asked for, if any.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The first backoff after a failure, and the longest.
const MIN_BACKOFF_NANOS: u64 = 100_000_000;
const MAX_BACKOFF_NANOS: u64 = 2_000_000_000;
/// The longest list; ten thousand entries take half of it.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no connection: {}", .0.source())]
    Connect(ConnectError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("connection lost: {0}")]
    ConnectionLost(#[source] hyper::Error),
    #[error("no answer in time")]
    ResponseTimeout,
    #[error("no answer: {0}")]
    NoResponse(#[source] hyper::Error),
    #[error("broken answer: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(u16),
    #[error("not a list: {0}")]
    Malformed(#[source] serde_json::Error),
    #[error("the service has ended")]
    ServiceEnded,
}

/// Follows discovery for good. After each break the whole list is requested: a discovery that was restarted counts versions from
/// elsewhere.
pub async fn follow(addr: SocketAddr, events: mpsc::Sender<SourceEvent>) {
    let mut backoff = Backoff::new(MIN_BACKOFF_NANOS, MAX_BACKOFF_NANOS);
    loop {
        let Err(error) = watch(addr, &events, &mut backoff).await;
        let reason = format!("discovery at {addr}: {error}");
        if events.send(SourceEvent::Unavailable(reason)).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_nanos(backoff.failed(fastrand::f64()).wait)).await;
    }
}

/// Connects and watches until that fails.
async fn watch(
    addr: SocketAddr,
    events: &mpsc::Sender<SourceEvent>,
    backoff: &mut Backoff,
) -> Result<Infallible, WatchError> {
    let stream = timeout(CONNECT_TIMEOUT, connect(addr)).await.map_err(|_| WatchError::ConnectTimeout)?;
    let stream = stream.map_err(WatchError::Connect)?;
    let io = TokioIo::new(RetryStream::new(stream));
    let (mut sender, connection) = http1::handshake(io).await?;
    let driver = tokio::spawn(connection);
    let ended = watch_on(&mut sender, addr, events, backoff).await;
    driver.abort();
    ended
}

/// Watches over a connection until that fails.
async fn watch_on(
    sender: &mut SendRequest<Empty<Bytes>>,
    addr: SocketAddr,
    events: &mpsc::Sender<SourceEvent>,
    backoff: &mut Backoff,
) -> Result<Infallible, WatchError> {
    let mut cursor = ListCursor::default();
    loop {
        let hold = cursor.version().map_or(Duration::ZERO, |_| WATCH_HOLD);
        let response = timeout(hold + RESPONSE_TIMEOUT, request_list(sender, addr, cursor)).await;
        let list = response.map_err(|_| WatchError::ResponseTimeout)??;
        backoff.worked();
        if cursor.accept(&list) == CursorUpdate::Rejected {
            continue;
        }
        if events.send(SourceEvent::EndpointList(list)).await.is_err() {
            return Err(WatchError::ServiceEnded);
        }
    }
}

/// Requests the whole list, or what has changed since the cursor.
async fn request_list(
    sender: &mut SendRequest<Empty<Bytes>>,
    addr: SocketAddr,
    cursor: ListCursor,
) -> Result<EndpointList, WatchError> {
    sender.ready().await.map_err(WatchError::ConnectionLost)?;
    let path = cursor.path(WATCH_HOLD.as_millis());
    let request = Request::get(path).header(HOST, addr.to_string()).body(Empty::new())?;
    let response = sender.send_request(request).await.map_err(WatchError::NoResponse)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_LIST_BYTES).collect().await.map_err(WatchError::Body)?;
    if head.status != StatusCode::OK {
        return Err(WatchError::Status(head.status.as_u16()));
    }
    serde_json::from_slice(&body.to_bytes()).map_err(WatchError::Malformed)
}
