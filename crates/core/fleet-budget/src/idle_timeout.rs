//! For how long a connection that nobody uses is kept.
//!
//! A node holds so many connections and turns away whoever brings one more. A proxy that keeps what it opened spares
//! itself the next handshake and takes the place of another's. With few proxies nobody is short; with a hundred the idle
//! connections of all fill every node, and the requests of whoever has none there are turned away before they are seen.
//! How many a node holds is not told. So the span is steered by the part of the new connections that are turned away: it
//! shrinks at each of these and grows by a little at each that is taken, and rests where that part is [`TURNED_AWAY`].

use super::Nanos;

/// The part of new connections that are turned away at which the span rests.
const TURNED_AWAY: f64 = 0.1;
/// What is left of the span after one is turned away.
const SHRINK: f64 = 0.8;
/// So many proxies keep connections for as long as their nodes do, until one of them is turned away.
const FEW: f64 = 32.0;
/// A connection to a node short of room carries so many requests, then it is given up.
const USES: u32 = 16;
/// The span never falls below this part of the longest.
const LEAST: f64 = 1.0 / 128.0;

/// Steers the span by what new connections meet.
#[derive(Clone, Copy, Debug)]
pub struct Jitter {
    longest: f64,
    span: f64,
}

impl Jitter {
    /// `longest`: what nodes allow. `proxies`: how many share the nodes; with many the first span is their even part of
    /// what a few would keep. Danger: a hundred that start in one second fill every node before the first of them has
    /// been turned away.
    pub fn new(longest: Nanos, proxies: u32) -> Self {
        let longest = longest as f64;
        Jitter { longest, span: longest * (FEW / f64::from(proxies.max(1))).clamp(LEAST, 1.0) }
    }

    /// Another longest span.
    pub fn limit(&mut self, longest: Nanos) {
        let part = self.span / self.longest.max(1.0);
        self.longest = longest as f64;
        self.span = self.longest * part;
    }

    /// A node took a new connection.
    pub fn taken(&mut self) {
        let grow = SHRINK.powf(-TURNED_AWAY / (1.0 - TURNED_AWAY));
        self.span = (self.span * grow).min(self.longest);
    }

    /// A node had no room for a new connection.
    pub fn turned_away(&mut self) {
        self.span = (self.span * SHRINK).max(self.longest * LEAST);
    }

    /// How many requests a connection carries before it is given up, in use or not. Danger: at a node that all ask often
    /// those who hold a connection never open one, so they never learn that there is no room, and the others get none
    /// for as long as the node stands.
    pub fn uses(&self) -> u32 {
        if self.span < self.longest {
            USES
        } else {
            u32::MAX
        }
    }

    /// For how long an idle connection is kept now.
    pub fn span(&self) -> Nanos {
        self.span as Nanos
    }
}
