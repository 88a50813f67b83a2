//! A connection to a node, from the handshake to its close: what is counted and traced of it.

use crate::api::ServerId;
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::upstream::socket::{Io, Socket};
use crate::proxy::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rushquay_admin::{NodeCloseCause, RequestMetrics};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// An open connection, closed on drop.
pub(super) struct Connection {
    pub sender: SendRequest<Body>,
    pub socket: Rc<Socket>,
    pub driver: AbortHandle,
    /// Identifies the connection in the trace.
    pub number: u64,
    pub server: ServerId,
    /// Number of requests sent on it.
    pub uses: u32,
    /// Whether its last response allows another request.
    pub keeps_alive: Cell<bool>,
    /// The cause that is counted if the connection is closed now.
    pub cause: Cell<NodeCloseCause>,
    pub metrics: Arc<RequestMetrics>,
    pub _gauges: [GaugeGuard; 2],
}

/// Increments a gauge, and decrements it on drop.
pub(super) struct GaugeGuard(Rc<Cell<u32>>);

impl GaugeGuard {
    pub fn new(gauge: &Rc<Cell<u32>>) -> Self {
        gauge.set(gauge.get() + 1);
        GaugeGuard(gauge.clone())
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Connection {
    /// Returns whether the connection is open and no bytes follow the last response. Hyper closes a connection if it finds such bytes in
    /// its own buffer, before it returns the response; this checks the kernel's buffer.
    pub fn is_clean(&self) -> bool {
        !self.sender.is_closed() && self.socket.has_no_input()
    }

    /// Returns whether its node sent bytes behind the last response, which the response did not announce as its end.
    pub fn has_surplus(&self) -> bool {
        self.socket.has_unread_bytes()
            || self.keeps_alive.get() && self.sender.is_closed() && !self.socket.is_read_closed()
    }

    /// Closes the connection and counts this cause.
    pub fn close(self, cause: NodeCloseCause) {
        self.cause.set(cause);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.socket.unsolicited().is_some() {
            self.cause.set(NodeCloseCause::Unsolicited);
        }
        self.metrics.node_closes.one_more(self.cause.get());
        request_trace::event(|| Event::NodeClosed {
            node: self.server,
            connection: self.number,
            uses: self.uses,
            cause: self.cause.get(),
        });
        self.socket.close();
        self.driver.abort();
    }
}

/// Drives a connection until it ends. Returns how long after its last response the node sent bytes that no request had asked for;
/// `None`: it sent none.
pub(super) async fn drive(
    driver: http1::Connection<TokioIo<Io>, Body>,
    socket: Rc<Socket>,
) -> Option<Duration> {
    // An error reaches the attempt through its sender.
    let _ = driver.await;
    socket.unsolicited()
}
