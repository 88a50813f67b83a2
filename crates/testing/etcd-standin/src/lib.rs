//! A stand-in for etcd on loopback, written from its published API reference (v3): KV (range, transactions), leases and
//! watches, with revisions as it counts them, its bound on transactions and its wording of faults. One member, in memory.
//! It is for tests: it can go away, answer late, or carry a call out and lose the answer.
#![forbid(unsafe_code)]

mod store;

use rushquay_etcd::messages::*;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use store::{Fault, Store};
use tokio::net::TcpListener;
use tokio::sync::broadcast;
use tokio::task::JoinHandle;
use tokio_stream::StreamExt as _;
use tonic::body::Body;
use tonic::codegen::http;
use tonic::server::{Grpc, NamedService};
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};
use tonic_prost::ProstCodec;
use tower_service::Service;

struct Shared {
    store: Mutex<Store>,
    news: broadcast::Sender<Event>,
    start: Instant,
    /// It answers nothing.
    away: AtomicBool,
    /// Calls yet to come that are carried out and not answered.
    lost: AtomicU64,
    /// Keep-alive calls yet to come that end without an answer.
    unanswered: AtomicU64,
    late_ms: AtomicU64,
}

impl Shared {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        store.tick(self.now());
        store
    }

    /// Does something to the store, and tells the watchers.
    fn carry_out<T>(&self, of: impl FnOnce(&mut Store, u64) -> T) -> T {
        let mut store = self.store();
        let done = of(&mut store, self.now());
        for event in std::mem::take(&mut store.events) {
            let _ = self.news.send(event);
        }
        done
    }

    /// Does something, tells the watchers, and answers as the tests want it.
    async fn answer<T>(
        &self,
        of: impl FnOnce(&mut Store, u64) -> Result<T, Fault>,
    ) -> Result<Response<T>, Status> {
        if self.away.load(Ordering::Relaxed) {
            return Err(Status::unavailable("etcdserver: no leader"));
        }
        let done = self.carry_out(of);
        let late = self.late_ms.load(Ordering::Relaxed);
        if late > 0 {
            tokio::time::sleep(Duration::from_millis(late)).await;
        }
        if take_one(&self.lost) {
            return Err(Status::unavailable("the answer was lost"));
        }
        done.map(Response::new).map_err(|fault| match fault {
            Fault::NoLease => Status::not_found("etcdserver: requested lease not found"),
            Fault::TooMany => Status::invalid_argument("etcdserver: too many operations in txn request"),
            Fault::Duplicate => Status::invalid_argument("etcdserver: duplicate key given in txn request"),
            Fault::Full => Status::resource_exhausted("etcdserver: mvcc: database space exceeded"),
        })
    }
}

type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// One of the services; `N` is its name.
#[derive(Clone)]
struct Of<const N: usize>(Arc<Shared>);

impl NamedService for Of<0> {
    const NAME: &'static str = "etcdserverpb.KV";
}
impl NamedService for Of<1> {
    const NAME: &'static str = "etcdserverpb.Lease";
}
impl NamedService for Of<2> {
    const NAME: &'static str = "etcdserverpb.Watch";
}

/// What a call with one question does to the store.
type Deed<A, B> = fn(&mut Store, u64, &A) -> Result<B, Fault>;

/// A call with one question and one answer.
struct Unary<A, B>(Arc<Shared>, Deed<A, B>);

impl<A: Send + Sync + 'static, B: Send + 'static> Service<Request<A>> for Unary<A, B> {
    type Response = Response<B>;
    type Error = Status;
    type Future = Pending<Result<Response<B>, Status>>;
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, request: Request<A>) -> Self::Future {
        let (of, deed, ask) = (self.0.clone(), self.1, request.into_inner());
        Box::pin(async move { of.answer(|store, now| deed(store, now, &ask)).await })
    }
}

type Answers<B> = Pin<Box<dyn tokio_stream::Stream<Item = Result<B, Status>> + Send>>;

/// What a call does that is a stream either way.
type Talk<A, B> = fn(Arc<Shared>, Streaming<A>) -> Pending<Result<Response<Answers<B>>, Status>>;

struct Streamed<A, B>(Arc<Shared>, Talk<A, B>);

impl<A: 'static, B: 'static> Service<Request<Streaming<A>>> for Streamed<A, B> {
    type Response = Response<Answers<B>>;
    type Error = Status;
    type Future = Pending<Result<Response<Answers<B>>, Status>>;
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, request: Request<Streaming<A>>) -> Self::Future {
        (self.1)(self.0.clone(), request.into_inner())
    }
}

async fn unary<A, B>(of: Arc<Shared>, request: http::Request<Body>, deed: Deed<A, B>) -> http::Response<Body>
where
    A: prost::Message + Default + Send + Sync + 'static,
    B: prost::Message + Default + Send + Sync + 'static,
{
    Grpc::new(ProstCodec::<B, A>::default()).unary(Unary(of, deed), request).await
}

async fn streamed<A, B>(
    of: Arc<Shared>,
    request: http::Request<Body>,
    talk: Talk<A, B>,
) -> http::Response<Body>
where
    A: prost::Message + Default + Send + Sync + 'static,
    B: prost::Message + Default + Send + Sync + 'static,
{
    Grpc::new(ProstCodec::<B, A>::default()).streaming(Streamed(of, talk), request).await
}

impl<const N: usize> Service<http::Request<Body>> for Of<N> {
    type Response = http::Response<Body>;
    type Error = std::convert::Infallible;
    type Future = Pending<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let of = self.0.clone();
        Box::pin(async move {
            Ok(match request.uri().path() {
                path::RANGE => unary(of, request, |s, _, ask| Ok(s.range(ask))).await,
                path::TXN => unary(of, request, |s, _, ask| s.txn(ask)).await,
                path::LEASE_GRANT => {
                    unary(of, request, |s, now, ask: &LeaseGrantRequest| Ok(s.grant(ask.ttl, now))).await
                }
                path::LEASE_REVOKE => {
                    unary(of, request, |s, _, ask: &LeaseRevokeRequest| s.revoke(ask.id)).await
                }
                path::LEASE_KEEP_ALIVE => streamed(of, request, |of, asks| Box::pin(alive(of, asks))).await,
                path::WATCH => streamed(of, request, |of, asks| Box::pin(watch(of, asks))).await,
                _ => Status::unimplemented("not in this stand-in").into_http(),
            })
        })
    }
}

/// Whether one of these was left; it is taken.
fn take_one(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_ok()
}

/// Leases that run on, one for each question.
async fn alive(
    of: Arc<Shared>,
    mut asks: Streaming<LeaseKeepAliveRequest>,
) -> Result<Response<Answers<LeaseKeepAliveResponse>>, Status> {
    let Some(first) = asks.message().await? else { return Err(Status::invalid_argument("no question")) };
    if take_one(&of.unanswered) {
        return Ok(Response::new(Box::pin(tokio_stream::empty())));
    }
    let answered = of.answer(|s, now| Ok(s.keep_alive(first.id, now))).await?;
    let rest = asks.then(move |ask| {
        let of = of.clone();
        async move {
            let id = ask?.id;
            Ok(of.answer(|s, now| Ok(s.keep_alive(id, now))).await?.into_inner())
        }
    });
    let all = tokio_stream::once(Ok(answered.into_inner())).chain(rest);
    Ok(Response::new(Box::pin(all)))
}

/// One watch of one key or range, from now on.
async fn watch(
    of: Arc<Shared>,
    mut asks: Streaming<WatchRequest>,
) -> Result<Response<Answers<WatchResponse>>, Status> {
    let Some(WatchRequest { request: Some(WatchAsk::Create(create)) }) = asks.message().await? else {
        return Err(Status::invalid_argument("a watch begins with its creation"));
    };
    let news = of.news.subscribe();
    let created = of.answer(|s, _| Ok(s.header())).await?.into_inner();
    let created = WatchResponse { header: created, created: true, ..WatchResponse::default() };
    let changes = tokio_stream::wrappers::UnboundedReceiverStream::new(forward(of, news, create, asks));
    let all = tokio_stream::once(Ok(created)).chain(changes);
    Ok(Response::new(Box::pin(all)))
}

fn forward(
    of: Arc<Shared>,
    mut news: broadcast::Receiver<Event>,
    create: WatchCreateRequest,
    asks: Streaming<WatchRequest>,
) -> tokio::sync::mpsc::UnboundedReceiver<Result<WatchResponse, Status>> {
    let (to, from) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        // Kept: dropped it would end the call.
        let _asks = asks;
        while let Ok(event) = news.recv().await {
            let key = event.kv.as_ref().map(|kv| kv.key.clone()).unwrap_or_default();
            let one = create.range_end.is_empty() && key == create.key;
            let many = !create.range_end.is_empty() && key >= create.key && key < create.range_end;
            if of.away.load(Ordering::Relaxed) || !(one || many) {
                continue;
            }
            let told = WatchResponse { events: vec![event], ..WatchResponse::default() };
            if to.send(Ok(told)).is_err() {
                return;
            }
        }
    });
    from
}

/// A stand-in that runs until it is dropped.
pub struct Etcd {
    /// Where it is.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

impl Etcd {
    /// Starts one on a free port of loopback.
    pub async fn start() -> Etcd {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port on loopback");
        let addr = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            store: Mutex::default(),
            news: broadcast::channel(1024).0,
            start: Instant::now(),
            away: AtomicBool::new(false),
            lost: AtomicU64::new(0),
            unanswered: AtomicU64::new(0),
            late_ms: AtomicU64::new(0),
        });
        let (kv, lease, watch) = (Of::<0>(shared.clone()), Of::<1>(shared.clone()), Of::<2>(shared.clone()));
        let serving = tokio::spawn(async move {
            let server = tonic::transport::Server::builder().add_service(kv).add_service(lease);
            let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
            let _ = server.add_service(watch).serve_with_incoming(incoming).await;
        });
        let of = shared.clone();
        // Leases end by themselves, also while nobody asks.
        let ticking = tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(20)).await;
                // Danger: this is no call, and must not take the place of one whose answer is to be lost.
                of.carry_out(|_, _| ());
            }
        });
        Etcd { addr, shared, tasks: [serving, ticking] }
    }

    /// As clients name it.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// It answers nothing but that it can't, or does again. Leases run on.
    pub fn away(&self, away: bool) {
        self.shared.away.store(away, Ordering::Relaxed);
    }

    /// The next calls are carried out, and their answers lost.
    pub fn lose_answers(&self, calls: u64) {
        self.shared.lost.store(calls, Ordering::Relaxed);
    }

    /// The next calls that are to keep a lease alive end well and without an answer; the lease is not renewed.
    pub fn leave_keep_alives_unanswered(&self, calls: u64) {
        self.shared.unanswered.store(calls, Ordering::Relaxed);
    }

    /// Its space is used up: it puts nothing more, or does again. Leases, reads and deletes go on.
    pub fn full(&self, full: bool) {
        self.shared.store().full = full;
    }

    /// Answers so late.
    pub fn late(&self, by: Duration) {
        self.shared.late_ms.store(by.as_millis() as u64, Ordering::Relaxed);
    }

    /// Transactions that wrote something.
    pub fn transactions(&self) -> u64 {
        self.shared.store().transactions
    }

    /// Keys under a prefix with their values, in their order.
    pub fn entries(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        self.shared.store().entries_under(prefix)
    }

    /// Puts a key that goes with no lease.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        self.shared.store().put_entry(key, value);
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> usize {
        self.shared.store().keys_under(prefix)
    }
}

impl Drop for Etcd {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}
