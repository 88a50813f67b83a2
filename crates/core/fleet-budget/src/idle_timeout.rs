//! Adapts the idle timeout of upstream connections to the number of connections that endpoints accept.
//!
//! An endpoint accepts a limited number of connections and rejects any further one. A proxy that keeps a connection open saves
//! the next handshake, but occupies a slot that another proxy may need. With few proxies there are enough slots for all. With
//! a hundred, their idle connections use up the slots of every endpoint, and the endpoint rejects connections of other proxies
//! before it reads their requests. The limit of an endpoint is not known, so the idle timeout is controlled by the share of
//! new connections that are rejected: it shrinks after each rejected connection, grows a little after each accepted one, and
//! is in equilibrium when that share is [`TARGET_REJECTED_SHARE`].

use super::Nanos;

/// Share of rejected connections among new ones at which the idle timeout is in equilibrium.
const TARGET_REJECTED_SHARE: f64 = 0.1;
/// Factor applied to the idle timeout after a rejected connection.
const SHRINK_FACTOR: f64 = 0.8;
/// In a fleet of up to this many proxies, each proxy starts with the maximum idle timeout and shortens it only after one of
/// its connections has been rejected.
const SMALL_FLEET_PROXIES: f64 = 32.0;
/// Number of requests after which a connection is closed while the idle timeout is below its maximum.
const MAX_REQUESTS_WHEN_SCARCE: u32 = 16;
/// Minimum idle timeout as a share of the maximum.
const MIN_TIMEOUT_SHARE: f64 = 1.0 / 128.0;

/// Controls the idle timeout by the outcomes of new connections.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeout {
    max_timeout_ns: f64,
    timeout_ns: f64,
}

impl IdleTimeout {
    /// Creates a controller. `max_timeout` is the idle timeout that endpoints allow, and `proxies` the number of proxies that share
    /// the endpoints. In a large fleet the initial timeout is shorter, in inverse proportion to the number of proxies. Danger:
    /// otherwise a hundred proxies that start within one second use up the connections of every endpoint before any of them
    /// has had a connection rejected.
    pub fn new(max_timeout: Nanos, proxies: u32) -> Self {
        let max_timeout_ns = max_timeout as f64;
        IdleTimeout {
            max_timeout_ns,
            timeout_ns: max_timeout_ns
                * (SMALL_FLEET_PROXIES / f64::from(proxies.max(1))).clamp(MIN_TIMEOUT_SHARE, 1.0),
        }
    }

    /// Changes the maximum idle timeout and scales the current one in proportion.
    pub fn set_max(&mut self, max_timeout: Nanos) {
        let share = self.timeout_ns / self.max_timeout_ns.max(1.0);
        self.max_timeout_ns = max_timeout as f64;
        self.timeout_ns = self.max_timeout_ns * share;
    }

    /// Records that an endpoint accepted a new connection.
    pub fn connection_accepted(&mut self) {
        let growth_factor = SHRINK_FACTOR.powf(-TARGET_REJECTED_SHARE / (1.0 - TARGET_REJECTED_SHARE));
        self.timeout_ns = (self.timeout_ns * growth_factor).min(self.max_timeout_ns);
    }

    /// Records that an endpoint rejected a new connection because its connection limit was reached.
    pub fn connection_rejected(&mut self) {
        self.timeout_ns = (self.timeout_ns * SHRINK_FACTOR).max(self.max_timeout_ns * MIN_TIMEOUT_SHARE);
    }

    /// Returns the number of requests after which a connection is closed, even if it is never idle. Danger: at an endpoint that
    /// all proxies use often, a proxy with an open connection never opens another one. Without this limit it would never
    /// detect that connections are scarce, and the other proxies would get no connection for as long as the endpoint runs.
    pub fn max_requests(&self) -> u32 {
        if self.timeout_ns < self.max_timeout_ns {
            MAX_REQUESTS_WHEN_SCARCE
        } else {
            u32::MAX
        }
    }

    /// Returns the current idle timeout.
    pub fn timeout(&self) -> Nanos {
        self.timeout_ns as Nanos
    }
}
