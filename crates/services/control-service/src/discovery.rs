//! Follows the endpoint list of a discovery service: requests the whole list first, then long-polls for changes.

use crate::state::SourceEvent;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rushquay_endpoints::{CursorUpdate, EndpointList, ListCursor, Nanos};
use rushquay_http_body::{collect, CollectError};
use rushquay_sockets::{connect, ConnectError, RetryStream};
use rushquay_xds::client::Backoff;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long discovery holds a watch request if there is no change. Danger: a connection whose peer vanished is as silent as a watch
/// without changes. Until the hold ends, the service and all its subscribers would miss every drain.
const WATCH_HOLD: Duration = Duration::from_secs(2);
/// How long a response may take beyond the requested hold, if any.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The first backoff after a failure; the maximum follows.
const MIN_BACKOFF_NANOS: u64 = 100_000_000;
const MAX_BACKOFF_NANOS: u64 = 2_000_000_000;
/// The maximum size of a list; ten thousand entries take half of it.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connection timed out")]
    ConnectTimeout,
    #[error("connection failed: {}", .0.source())]
    Connect(ConnectError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("connection lost: {0}")]
    ConnectionLost(#[source] hyper::Error),
    #[error("response timed out")]
    ResponseTimeout,
    #[error("no response: {0}")]
    NoResponse(#[source] hyper::Error),
    #[error("response body: {0}")]
    Body(#[source] CollectError<hyper::Error>),
    #[error("response status {0}")]
    Status(u16),
    #[error("malformed list: {0}")]
    Malformed(#[source] serde_json::Error),
    #[error("the service has ended")]
    ServiceEnded,
}

/// Follows discovery until the receiver of `events` is dropped. After each failure the whole list is requested, because a restarted
/// discovery numbers its versions anew.
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

/// Watches on one connection after another until an error occurs.
async fn watch(
    addr: SocketAddr,
    events: &mpsc::Sender<SourceEvent>,
    backoff: &mut Backoff,
) -> Result<Infallible, WatchError> {
    let mut cursor = ListCursor::default();
    loop {
        let stream = timeout(CONNECT_TIMEOUT, connect(addr)).await.map_err(|_| WatchError::ConnectTimeout)?;
        let stream = stream.map_err(WatchError::Connect)?;
        let io = TokioIo::new(RetryStream::new(stream));
        let (mut sender, connection) = http1::handshake(io).await?;
        let driver = tokio::spawn(connection);
        let ended = watch_on(&mut sender, addr, &mut cursor, events, backoff).await;
        driver.abort();
        ended?;
    }
}

/// Watches over a connection until an error occurs, or a list comes that is not the response to the last request. Danger: the true
/// response may still come, and would be taken for the response to the next request.
async fn watch_on(
    sender: &mut SendRequest<Empty<Bytes>>,
    addr: SocketAddr,
    cursor: &mut ListCursor,
    events: &mpsc::Sender<SourceEvent>,
    backoff: &mut Backoff,
) -> Result<(), WatchError> {
    loop {
        let hold = cursor.version().map_or(Duration::ZERO, |_| WATCH_HOLD);
        let started = Instant::now();
        let response = timeout(hold + RESPONSE_TIMEOUT, request_list(sender, addr, *cursor)).await;
        let list = response.map_err(|_| WatchError::ResponseTimeout)??;
        backoff.worked();
        let elapsed = started.elapsed().as_nanos() as Nanos;
        if cursor.is_unsolicited(&list, hold.as_nanos() as Nanos, elapsed)
            || cursor.accept(&list) == CursorUpdate::Rejected
        {
            return Ok(());
        }
        if events.send(SourceEvent::EndpointList(list)).await.is_err() {
            return Err(WatchError::ServiceEnded);
        }
    }
}

/// Requests the whole list, or the changes since the cursor.
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
    let body = collect(body, MAX_LIST_BYTES).await.map_err(WatchError::Body)?;
    if head.status != StatusCode::OK {
        return Err(WatchError::Status(head.status.as_u16()));
    }
    serde_json::from_slice(&body).map_err(WatchError::Malformed)
}

#[cfg(test)]
mod tests;
