//! Stand-ins on loopback for what surrounds the program: cache nodes and an origin ([`Node`]), [`Discovery`], clients
//! ([`Load`]). For the demo and the tests; all ports are free ones.
#![forbid(unsafe_code)]

mod config;
mod discovery;
mod load;
mod node;

pub use config::proxy_config;
pub use discovery::{entry, Discovery};
pub use load::{Load, Outcomes};
pub use node::Node;

use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

type Body = http_body_util::Full<Bytes>;

/// Serves HTTP/1.1 on a free port until the task is aborted, its connections with it. `None` from `answer` breaks the
/// connection off.
async fn http<F, A>(answer: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Fn(Request<hyper::body::Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    http_at(([127, 0, 0, 1], 0).into(), answer).await
}

/// The same at an address that must be free.
async fn http_at<F, A>(addr: SocketAddr, answer: F) -> (SocketAddr, JoinHandle<()>)
where
    F: Fn(Request<hyper::body::Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await.expect("a free port on loopback");
    let addr = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            connections.spawn(async move {
                let service = service_fn(|request| {
                    let answered = answer(request);
                    async move { answered.await.ok_or("broken off") }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    (addr, task)
}

fn reply(status: u16, headers: &[(&'static str, &str)], body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(Body::new(body.into())).unwrap_or_default()
}
