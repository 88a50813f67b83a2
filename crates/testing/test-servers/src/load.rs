//! Clients that ask a proxy again and again and keep count of the answers.

use crate::Body;
use http_body_util::BodyExt;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// An answer is waited for so long: far longer than any request's time.
const ANSWER: Duration = Duration::from_secs(30);

/// What came of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Asked.
    pub asked: u64,
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Not answered: the connection ended, or nothing came in time.
    pub lost: u64,
}

#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
    stop: AtomicBool,
}

/// A few clients of one proxy.
pub struct Load {
    counts: Arc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// So many clients, each of which asks every `pause` after its last answer, for keys all over. The ids begin with
    /// `prefix`.
    pub fn start(proxy: SocketAddr, prefix: &str, clients: usize, pause: Duration) -> Self {
        let counts = Arc::new(Counts::default());
        let client =
            |i| tokio::spawn(client(proxy, format!("{prefix}-{i}"), i as u64, pause, counts.clone()));
        Load { tasks: (0..clients).map(client).collect(), counts }
    }

    /// The counts so far.
    pub fn outcomes(&self) -> Outcomes {
        let c = &self.counts;
        Outcomes {
            asked: c.asked.load(Relaxed),
            served: c.served.load(Relaxed),
            refused: c.refused.load(Relaxed),
            failed: c.failed.load(Relaxed),
            lost: c.lost.load(Relaxed),
        }
    }

    /// Lets each client have its last answer, and gives the counts.
    pub async fn stop(mut self) -> Outcomes {
        self.counts.stop.store(true, Relaxed);
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
        self.outcomes()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn client(proxy: SocketAddr, prefix: String, mut random: u64, pause: Duration, counts: Arc<Counts>) {
    let mut connection: Option<SendRequest<Body>> = None;
    let mut number = 0u64;
    while !counts.stop.load(Relaxed) {
        number += 1;
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let id = format!("{prefix}-{number}");
        let asked = tokio::time::timeout(ANSWER, ask(proxy, &mut connection, &id, random >> 20));
        counts.asked.fetch_add(1, Relaxed);
        let kept = match asked.await {
            Ok(Some(200)) => &counts.served,
            Ok(Some(429 | 503)) => &counts.refused,
            Ok(Some(_)) => &counts.failed,
            Ok(None) | Err(_) => {
                connection = None;
                &counts.lost
            }
        };
        kept.fetch_add(1, Relaxed);
        tokio::time::sleep(pause).await;
    }
}

/// One request; a connection that the proxy closed between requests is replaced once.
async fn ask(proxy: SocketAddr, kept: &mut Option<SendRequest<Body>>, id: &str, key: u64) -> Option<u16> {
    for _ in 0..2 {
        let mut sender = match kept.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(proxy).await?,
        };
        if sender.ready().await.is_err() {
            continue;
        }
        let request = Request::get(format!("/read/{key:016x}"))
            .header("host", "proxy.local")
            .header("x-correlation-id", id)
            .header("x-account", "demo")
            .header("x-time-left", "20.0")
            .body(Body::default())
            .ok()?;
        let Ok(response) = sender.send_request(request).await else { continue };
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        *kept = Some(sender);
        return Some(status);
    }
    None
}

async fn connect(proxy: SocketAddr) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(proxy).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
