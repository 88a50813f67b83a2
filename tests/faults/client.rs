//! Clients of the rig: one request after another on a connection, a new connection where one broke.

use super::wire::{Messages, WITHIN};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Longer than any answer may take: who waits in vain for so long has lost its request.
const GIVE_UP: Duration = Duration::from_millis(2500);

/// The order of connects, which is that of the relay's ordinals.
pub type Ordinals = Arc<Mutex<u64>>;

pub struct Client {
    name: String,
    proxy: SocketAddr,
    ordinals: Ordinals,
    connection: Option<TcpStream>,
    number: usize,
    /// Whole answers, and requests without one.
    pub answered: usize,
    pub broken: usize,
}

impl Client {
    pub fn new(name: String, proxy: SocketAddr, ordinals: Ordinals) -> Self {
        Client { name, proxy, ordinals, connection: None, number: 0, answered: 0, broken: 0 }
    }

    /// Asks so many times: reads, some of which nodes lack, and writes of both kinds in between.
    pub async fn ask(&mut self, times: usize) {
        for _ in 0..times {
            let request = self.request();
            match tokio::time::timeout(WITHIN + GIVE_UP, self.exchange(&request)).await {
                Ok(Some(true)) => self.answered += 1,
                Ok(Some(false)) => {
                    self.answered += 1;
                    self.connection = None;
                }
                Ok(None) | Err(_) => {
                    self.broken += 1;
                    self.connection = None;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn request(&mut self) -> Vec<u8> {
        self.number += 1;
        let (name, n) = (&self.name, self.number);
        let id = format!("{name}-{n}");
        // Keys spread over all nodes.
        let key = (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ u64::from(name.as_bytes()[name.len() - 1]) << 20;
        let (method, class, more) = match n % 4 {
            1 => ("GET", "read", String::new()),
            2 => ("PUT", "set", format!("Idempotency-Key: t-{id}\r\nContent-Length: 7\r\n")),
            3 => ("GET", "lack", String::new()),
            _ => ("PUT", "order", "Content-Length: 7\r\n".to_owned()),
        };
        let body = if method == "PUT" { "value-7" } else { "" };
        let left = WITHIN.as_secs_f64();
        format!(
            "{method} /{class}/{key:016x} HTTP/1.1\r\nHost: proxy.local\r\nX-Correlation-Id: {id}\r\nX-Account: demo\r\n\
             X-Time-Left: {left:.3}\r\n{more}\r\n{body}"
        )
        .into_bytes()
    }

    /// Whether the connection goes on; `None` without a whole answer.
    async fn exchange(&mut self, request: &[u8]) -> Option<bool> {
        // One that the proxy closed between requests is replaced, as clients do.
        if self.connection.as_ref().is_some_and(|s| matches!(s.try_read(&mut [0]), Ok(0))) {
            self.connection = None;
        }
        let stream = match &mut self.connection {
            Some(stream) => stream,
            None => {
                let mut ordinals = self.ordinals.lock().await;
                let stream = TcpStream::connect(self.proxy).await.ok()?;
                *ordinals += 1;
                stream.set_nodelay(true).ok()?;
                self.connection.insert(stream)
            }
        };
        stream.write_all(request).await.ok()?;
        let (mut messages, mut part) = (Messages::default(), [0; 4096]);
        loop {
            let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
            let all = messages.take(&part[..n], Instant::now(), true);
            if let Some(last) = all.iter().find(|m| m.status >= 200) {
                let closes = last.headers.get("connection").is_some_and(|c| c == "close");
                return Some(!closes);
            }
        }
    }
}
