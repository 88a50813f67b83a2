//! Keeps connections between requests, and chooses the one that may carry the next request.

use crate::api::{Nanos, ServerId};
use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::upstream::attempt::AttemptHandle;
use crate::proxy::upstream::idle_connections::{Idle, Taken};
use crate::proxy::upstream::pooled_connection::Connection;
use crate::proxy::upstream::Upstreams;
use rushquay_admin::NodeCloseCause;
use rushquay_invariants::Rest;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Upstreams {
    /// Takes a kept connection that has rested. If all still rest, waits for one of them unless that takes longer than a new connection
    /// is worth, or than until `latest`; another attempt cannot take it meanwhile.
    pub(super) async fn take_rested(
        self: &Rc<Self>,
        server: ServerId,
        kind: u32,
        epoch: u64,
        latest: Nanos,
        handle: &AttemptHandle,
    ) -> Option<Connection> {
        let (reserved, remaining) = match self.take_idle(server, kind) {
            Taken::Rested(connection, _) => return Some(connection),
            Taken::Unsolicited(_) | Taken::None => return None,
            Taken::Resting(idle, remaining) => (Reserved::new(self, server, epoch, idle), remaining),
        };
        let time_left = latest.saturating_sub(steady_nanos());
        if remaining > Duration::from_nanos(self.rest(kind).max_wait.min(time_left)) {
            return None;
        }
        tokio::time::sleep(remaining).await;
        handle.add_rest_wait(remaining);
        drop(reserved);
        match self.take_idle(server, kind) {
            Taken::Rested(connection, _) => Some(connection),
            Taken::Resting(idle, _) => {
                drop(Reserved::new(self, server, epoch, idle));
                None
            }
            Taken::Unsolicited(_) | Taken::None => None,
        }
    }

    /// Takes a kept connection, and closes those found unusable.
    fn take_idle(&self, server: ServerId, kind: u32) -> Taken {
        let timeout = self.idle_timeout(kind);
        loop {
            let required_rest = self.rest(kind).required;
            let taken = match self.nodes.borrow_mut().get_mut(&server) {
                Some(node) => node.idle.take(timeout, required_rest),
                None => Taken::None,
            };
            match taken {
                Taken::Unsolicited(delay) => self.record_unsolicited(server, kind, delay),
                Taken::Rested(_, rested) => {
                    let mut histories = self.histories.borrow_mut();
                    histories.entry(kind).or_default().record_silence(rested.as_nanos() as Nanos);
                    return taken;
                }
                Taken::Resting(..) | Taken::None => return taken,
            }
        }
    }

    /// Returns how long connections to nodes of this machine kind rest between two requests.
    pub(super) fn rest(&self, kind: u32) -> Rest {
        let history = self.histories.borrow().get(&kind).copied().unwrap_or_default();
        history.rest(steady_nanos())
    }

    /// Records that a node sent bytes that no request had asked for, this long after its last response on that connection.
    pub(super) fn record_unsolicited(&self, server: ServerId, kind: u32, delay: Duration) {
        let before = self.rest(kind).required;
        let mut histories = self.histories.borrow_mut();
        histories.entry(kind).or_default().record_unsolicited(steady_nanos(), delay.as_nanos() as Nanos);
        drop(histories);
        let required = self.rest(kind).required;
        if required != before {
            crate::proxy::log(format_args!(
                "node {server:016x} sent an unsolicited response {} ms after the last one; connections to nodes of its kind \
                 now rest {} ms between requests",
                delay.as_millis(),
                required / 1_000_000
            ));
        }
    }

    /// Keeps a connection for another request if it can be reused.
    pub(super) fn return_idle(&self, server: ServerId, epoch: u64, connection: Connection) {
        if connection.has_surplus() {
            if let Some((kind, _)) = self.kind(server) {
                self.record_unsolicited(server, kind, Duration::ZERO);
            }
            return connection.close(NodeCloseCause::Unsolicited);
        }
        if !connection.is_clean() {
            return connection.close(NodeCloseCause::NotClean);
        }
        connection.socket.begin_rest();
        self.keep(server, epoch, Idle { connection, since: Instant::now() });
    }

    /// Keeps an idle connection unless the node has changed since `epoch`.
    fn keep(&self, server: ServerId, epoch: u64, idle: Idle) {
        match self.nodes.borrow_mut().get_mut(&server).filter(|n| n.epoch == epoch && n.ready) {
            Some(node) => node.idle.add(idle),
            None => idle.connection.close(NodeCloseCause::NodeChanged),
        }
    }
}

/// A connection that rests for one attempt. It returns to the pool on drop.
struct Reserved {
    pool: Rc<Upstreams>,
    server: ServerId,
    epoch: u64,
    idle: Option<Idle>,
}

impl Reserved {
    fn new(pool: &Rc<Upstreams>, server: ServerId, epoch: u64, idle: Idle) -> Self {
        Reserved { pool: pool.clone(), server, epoch, idle: Some(idle) }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if let Some(idle) = self.idle.take() {
            self.pool.keep(self.server, self.epoch, idle);
        }
    }
}
