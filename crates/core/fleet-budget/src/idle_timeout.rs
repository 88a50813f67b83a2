//! Adapts the idle timeout of upstream connections to the room that endpoints have.
//!
//! An endpoint holds a limited number of connections and rejects any further one. A proxy that keeps a connection open saves
//! the next handshake, but occupies a slot that another proxy may need. With few proxies there are slots for all; with a
//! hundred, their idle connections fill every endpoint, and requests of proxies that have no connection there are rejected
//! before the endpoint reads them. The limit of an endpoint is not known. The idle timeout is therefore controlled by the
//! share of new connections that are rejected: it shrinks at each rejected one, grows a little at each accepted one, and is
//! in equilibrium where that share is [`TARGET_REJECTED_SHARE`].

use super::Nanos;

/// Share of new connections that are rejected at which the idle timeout is in equilibrium.
const TARGET_REJECTED_SHARE: f64 = 0.1;
/// Factor applied to the idle timeout after a rejected connection.
const SHRINK_FACTOR: f64 = 0.8;
/// Up to this many proxies start with the longest idle timeout, and shorten it only once one of their connections is
/// rejected.
const SMALL_FLEET: f64 = 32.0;
/// Number of requests that a connection carries before it is closed while the idle timeout is below its longest.
const SCARCE_USES: u32 = 16;
/// The idle timeout never falls below this share of the longest.
const MIN_SHARE: f64 = 1.0 / 128.0;

/// Controls the idle timeout by the outcomes of new connections.
#[derive(Clone, Copy, Debug)]
pub struct Jitter {
    longest_ns: f64,
    timeout_ns: f64,
}

impl Jitter {
    /// `longest` is the idle timeout that endpoints allow, `proxies` the number of proxies that share the endpoints. In a large
    /// fleet the initial timeout is reduced in proportion. Danger: a hundred proxies that start within one second would
    /// otherwise fill every endpoint before the first of them has a connection rejected.
    pub fn new(longest: Nanos, proxies: u32) -> Self {
        let longest_ns = longest as f64;
        Jitter {
            longest_ns,
            timeout_ns: longest_ns * (SMALL_FLEET / f64::from(proxies.max(1))).clamp(MIN_SHARE, 1.0),
        }
    }

    /// Changes the longest idle timeout; the current one is scaled in proportion.
    pub fn limit(&mut self, longest: Nanos) {
        let share = self.timeout_ns / self.longest_ns.max(1.0);
        self.longest_ns = longest as f64;
        self.timeout_ns = self.longest_ns * share;
    }

    /// Records that an endpoint accepted a new connection.
    pub fn taken(&mut self) {
        let growth_factor = SHRINK_FACTOR.powf(-TARGET_REJECTED_SHARE / (1.0 - TARGET_REJECTED_SHARE));
        self.timeout_ns = (self.timeout_ns * growth_factor).min(self.longest_ns);
    }

    /// Records that an endpoint rejected a new connection for lack of room.
    pub fn turned_away(&mut self) {
        self.timeout_ns = (self.timeout_ns * SHRINK_FACTOR).max(self.longest_ns * MIN_SHARE);
    }

    /// Number of requests that a connection carries before it is closed, whether in use or not. Danger: at an endpoint that
    /// all proxies use often, those that hold a connection never open another one. They would never learn that there is no
    /// room, and the other proxies would get no connection for as long as the endpoint lives.
    pub fn uses(&self) -> u32 {
        if self.timeout_ns < self.longest_ns {
            SCARCE_USES
        } else {
            u32::MAX
        }
    }

    /// The current idle timeout.
    pub fn span(&self) -> Nanos {
        self.timeout_ns as Nanos
    }
}
