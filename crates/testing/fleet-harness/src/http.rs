//! One call over HTTP.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// An answer that has not come by then is none.
const ANSWER: Duration = Duration::from_secs(15);

/// Calls an admin address; `tag` stands in `If-Match`. `None`: no answer.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    tag: Option<&str>,
    body: Option<Value>,
) -> Option<(u16, Value)> {
    let asked = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", "control");
        if let Some(tag) = tag {
            request = request.header("if-match", tag);
        }
        let text = body.map_or_else(String::new, |b| b.to_string());
        let request =
            request.header("content-type", "application/json").body(Full::new(Bytes::from(text))).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        driver.abort();
        let value = serde_json::from_slice(&bytes);
        Some((status, value.unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()))))
    };
    tokio::time::timeout(ANSWER, asked).await.ok().flatten()
}
