//! Follows the list at discovery: the whole first, then a watch renewed at once.

use crate::state::SourceEvent;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rushquay_endpoints::{CursorUpdate, EndpointList, ListCursor};
use rushquay_sockets::{connect, RetryStream};
use rushquay_xds::client::Backoff;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const CONNECT: Duration = Duration::from_secs(1);
/// Danger: a connection whose other end vanished says nothing, as a watch does that has nothing to say. For as long as
/// it is asked to wait the service, and all its subscribers with it, would hear of no drain.
const HOLD: Duration = Duration::from_secs(2);
/// How long discovery may take beyond the wait that it was asked for, if any.
const GRACE: Duration = Duration::from_millis(1500);
/// The first wait after a failure, and the longest.
const AGAIN: (u64, u64) = (100_000_000, 2_000_000_000);
/// A list is at most this long; ten thousand entries take half of it.
const LIST_MOST: usize = 4 << 20;

/// Follows for good. After each break the whole list is asked for: a discovery that started anew counts from elsewhere.
pub async fn follow(addr: SocketAddr, told: mpsc::Sender<SourceEvent>) {
    let mut backoff = Backoff::new(AGAIN.0, AGAIN.1);
    loop {
        let Err(why) = watch(addr, &told, &mut backoff).await;
        if told.send(SourceEvent::Unavailable(format!("discovery at {addr}: {why}"))).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_nanos(backoff.failed(fastrand::f64()).wait)).await;
    }
}

async fn watch(
    addr: SocketAddr,
    told: &mpsc::Sender<SourceEvent>,
    backoff: &mut Backoff,
) -> Result<std::convert::Infallible, String> {
    let stream = timeout(CONNECT, connect(addr)).await.map_err(|_| "no connection in time")?;
    let stream = stream.map_err(|e| format!("no connection: {}", e.source()))?;
    let io = TokioIo::new(RetryStream::new(stream));
    let (mut sender, connection) = http1::handshake(io).await.map_err(|e| e.to_string())?;
    let driver = tokio::spawn(connection);
    let mut cursor = ListCursor::default();
    let done = loop {
        let hold = cursor.version().map_or(Duration::ZERO, |_| HOLD);
        match timeout(hold + GRACE, ask(&mut sender, addr, cursor)).await {
            Err(_) => break "no answer in time".to_owned(),
            Ok(Err(why)) => break why,
            Ok(Ok(list)) => {
                backoff.worked();
                if cursor.saw(&list) == CursorUpdate::Doubted {
                    continue;
                }
                if told.send(SourceEvent::EndpointList(list)).await.is_err() {
                    break "the service has ended".to_owned();
                }
            }
        }
    };
    driver.abort();
    Err(done)
}

async fn ask(
    sender: &mut SendRequest<Empty<Bytes>>,
    addr: SocketAddr,
    at: ListCursor,
) -> Result<EndpointList, String> {
    sender.ready().await.map_err(|e| format!("connection lost: {e}"))?;
    let request = Request::get(at.path(HOLD.as_millis())).header(HOST, addr.to_string()).body(Empty::new());
    let response = sender.send_request(request.map_err(|e| e.to_string())?).await;
    let (head, body) = response.map_err(|e| format!("no answer: {e}"))?.into_parts();
    let body = Limited::new(body, LIST_MOST).collect().await.map_err(|e| format!("broken answer: {e}"))?;
    if head.status != StatusCode::OK {
        return Err(format!("answered {}", head.status.as_u16()));
    }
    serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("not a list: {e}"))
}
