//! The connections to a node that are kept between requests, and which of them may carry the next one.

use crate::api::Nanos;
use crate::proxy::upstream::pooled_connection::Connection;
use rushquay_admin::NodeCloseCause;
use rushquay_invariants::{may_reuse, Reuse, ReuseFacts, PROBATION_REST};
use std::time::Duration;
use tokio::time::Instant;

/// A rest beyond which another connection is not preferred for having rested longer.
const PREFERRED_REST: Duration = Duration::from_nanos(PROBATION_REST);

/// A kept connection, and when its last response ended.
pub(super) struct Idle {
    pub connection: Connection,
    pub since: Instant,
}

/// The kept connections of a node, the most recently used last.
#[derive(Default)]
pub(super) struct IdleConnections(Vec<Idle>);

/// A kept connection for the next request.
pub(super) enum Taken {
    /// It may carry the request now, so long after its last response.
    Rested(Connection, Duration),
    /// It may carry the request after this time, if nothing arrives until then.
    Resting(Idle, Duration),
    /// One was closed: so long after its last response its node had sent bytes that no request had asked for.
    Unsolicited(Duration),
    /// None is kept.
    None,
}

impl IdleConnections {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns when the connection that has been idle the longest became idle.
    pub fn oldest_since(&self) -> Option<Instant> {
        self.0.first().map(|idle| idle.since)
    }

    /// Adds a connection.
    pub fn add(&mut self, idle: Idle) {
        let position = self.0.partition_point(|other| other.since <= idle.since);
        self.0.insert(position, idle);
    }

    /// Closes all connections for this cause.
    pub fn close_all(&mut self, cause: NodeCloseCause) {
        self.0.drain(..).for_each(|idle| idle.connection.close(cause));
    }

    /// Closes the connection that has been idle the longest. Returns false if there is none.
    pub fn close_oldest(&mut self, cause: NodeCloseCause) -> bool {
        if self.0.is_empty() {
            return false;
        }
        self.0.remove(0).connection.close(cause);
        true
    }

    /// Closes the connections that their peer has closed or that exceeded the idle timeout. Returns how many they are.
    pub fn sweep(&mut self, timeout: Duration) -> usize {
        let before = self.0.len();
        self.0.retain(|idle| {
            idle.connection.cause.set(NodeCloseCause::Idle);
            idle.since.elapsed() < timeout && !idle.connection.sender.is_closed()
        });
        before - self.0.len()
    }

    /// Takes a connection that has rested, or the one that will have rested first. Closes those found unusable.
    pub fn take(&mut self, timeout: Duration, required_rest: Nanos) -> Taken {
        let preferred_rest = PREFERRED_REST.max(Duration::from_nanos(required_rest));
        loop {
            if self.0.is_empty() {
                return Taken::None;
            }
            // The most recently used one of those whose rest is ample: the others become idle for good and are closed. If there is none,
            // the one that has rested the longest.
            let ample = self.0.partition_point(|idle| idle.since.elapsed() >= preferred_rest);
            let Idle { connection, since } = self.0.remove(ample.saturating_sub(1));
            let rested = since.elapsed();
            if rested >= timeout {
                connection.close(NodeCloseCause::Idle);
                continue;
            }
            let facts = ReuseFacts {
                has_input: !connection.is_clean(),
                rested: rested.as_nanos() as Nanos,
                required_rest,
            };
            match may_reuse(&facts) {
                Reuse::Never if connection.socket.has_unread_bytes() => {
                    connection.close(NodeCloseCause::Unsolicited);
                    return Taken::Unsolicited(rested);
                }
                Reuse::Never => connection.close(NodeCloseCause::NotClean),
                Reuse::Now => {
                    connection.cause.set(NodeCloseCause::Failed);
                    return Taken::Rested(connection, rested);
                }
                Reuse::After(remaining) => {
                    return Taken::Resting(Idle { connection, since }, Duration::from_nanos(remaining));
                }
            }
        }
    }
}
