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
use tokio::task::AbortHandle;
use tokio::time::Instant;

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
    /// Returns whether the connection is open and no bytes follow the last response. Danger: responses carry no id, so leftover bytes
    /// would be taken for the response to the next request. Hyper closes a connection if it finds such bytes in its own buffer,
    /// before it returns the response; this checks the kernel's buffer.
    pub fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && self.socket.has_no_input()
    }

    /// Closes the connection and counts this cause.
    pub fn close(self, cause: NodeCloseCause) {
        self.cause.set(cause);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
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

/// An idle connection, and when it became idle.
pub(super) struct Idle {
    pub connection: Connection,
    pub since: Instant,
}

/// Drives a connection until it ends, and traces bytes that its node sent while no request was outstanding.
pub(super) async fn drive(
    driver: http1::Connection<TokioIo<Io>, Body>,
    server: ServerId,
    number: u64,
    socket: Rc<Socket>,
) {
    let _ = driver.await;
    if let Some(delay) = socket.unsolicited() {
        request_trace::event(|| Event::Unsolicited { node: server, connection: number, delay });
    }
}
