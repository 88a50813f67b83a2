//! Calls to the admin address of a control service, as the commands for operators make them.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rushquay_http_body::collect;
use serde_json::Value;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// A control service that has not answered by then is taken for unreachable.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an answer in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// The admin address of a control service.
#[derive(Clone, Copy)]
pub struct AdminClient {
    address: SocketAddr,
}

/// A successful answer.
pub struct AdminResponse {
    /// The revision that the answer shows; a change sends it back in `If-Match`.
    pub etag: Option<String>,
    /// The answer's JSON.
    pub body: Value,
}

impl AdminClient {
    /// A client of the control service at this address. Each call opens a connection of its own.
    pub fn new(address: SocketAddr) -> Self {
        AdminClient { address }
    }

    /// Reads a page.
    pub async fn get(&self, path: &str) -> Result<AdminResponse, String> {
        self.call(Method::GET, path, None, None).await
    }

    /// Asks for something that changes nothing.
    pub async fn query(&self, path: &str, body: Value) -> Result<AdminResponse, String> {
        self.call(Method::POST, path, None, Some(body)).await
    }

    /// Changes something, on the revision that `etag` names.
    pub async fn post(&self, path: &str, etag: Option<String>, body: Value) -> Result<AdminResponse, String> {
        self.call(Method::POST, path, etag, Some(body)).await
    }

    /// Removes something, on the revision that `etag` names.
    pub async fn delete(&self, path: &str, etag: Option<String>) -> Result<AdminResponse, String> {
        self.call(Method::DELETE, path, etag, None).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        etag: Option<String>,
        body: Option<Value>,
    ) -> Result<AdminResponse, String> {
        let exchange = self.exchange(method, path, etag, body);
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        response.map_err(|_| self.unreachable(&"no answer"))?
    }

    fn unreachable(&self, error: &dyn Display) -> String {
        format!("control service at {}: {error}; --admin names its admin address", self.address)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        etag: Option<String>,
        body: Option<Value>,
    ) -> Result<AdminResponse, String> {
        let unreachable = |error: &dyn Display| self.unreachable(error);
        let stream = TcpStream::connect(self.address).await.map_err(|e| unreachable(&e))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| unreachable(&e))?;
        tokio::spawn(connection);
        let request = request(self.address, method, path, etag, body)?;
        let response = sender.send_request(request).await.map_err(|e| unreachable(&e))?;
        let (head, body) = response.into_parts();
        let body = collect(body, MAX_RESPONSE_BYTES).await.map_err(|e| unreachable(&e))?;
        let etag = head.headers.get("etag").and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body: Value = serde_json::from_slice(&body)
            .map_err(|_| format!("{}: {}", head.status, String::from_utf8_lossy(&body).trim()))?;
        match head.status.is_success() {
            true => Ok(AdminResponse { etag, body }),
            false => Err(body["error"].as_str().map_or_else(|| body.to_string(), str::to_owned)),
        }
    }
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    etag: Option<String>,
    body: Option<Value>,
) -> Result<Request<Full<Bytes>>, String> {
    let mut request = Request::builder().method(method).uri(path).header("host", address.to_string());
    if let Some(etag) = etag {
        request = request.header("if-match", etag);
    }
    let body = body.map_or_else(String::new, |body| body.to_string());
    let request = request.header("content-type", "application/json").body(Full::new(Bytes::from(body)));
    request.map_err(|e| e.to_string())
}
