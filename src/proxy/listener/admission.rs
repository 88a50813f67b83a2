//! How connections are admitted: how many there may be, and for how long one may wait for a slot before it is refused.

use crate::proxy::listener::descriptors::{Descriptors, Permit};
use crate::proxy::{MAX_BUFFERED_BODY, MAX_READ_AHEAD};
use rushquay_handover::ResourceShare;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Memory in bytes that does not belong to any connection.
const OWN_MEMORY: usize = 8 << 20;
/// Maximum memory of one connection in bytes: a buffered body with the piece that exceeds its limit, the read buffer that its headers are
/// part of, the one that is being read into, and input that is read ahead.
const MAX_CONNECTION_MEMORY: usize = MAX_BUFFERED_BODY + 4 * MAX_READ_AHEAD;
/// Maximum memory of a connection whose requests are refused: no body of it is read, and its answers are short.
const MAX_REFUSAL_MEMORY: usize = 3 * MAX_READ_AHEAD;
/// One connection in this many is reserved for refusals, within these bounds.
const REFUSAL_DIVISOR: usize = 8;
const MIN_REFUSALS: usize = 2;
const MAX_REFUSALS: usize = 32;
/// The fewest connections that a proxy needs to serve at all.
const MIN_CONNECTIONS: usize = 8;

/// How long connections may wait while no slot can be made: half of the half second by which an answer may be late without being lost.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(250);
/// The same while slots are made by closing connections that are not busy, each of which is spared for a moment.
const MAX_EVICTION_WAIT: Duration = Duration::from_millis(1000);

/// What a client connection was admitted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientRole {
    /// Its requests are served.
    Served,
    /// There was no slot for it in time: its requests are refused, and it is closed.
    Refused,
}

/// The admission of a connection.
pub struct Admission {
    /// What it is admitted for.
    pub role: ClientRole,
    /// Its descriptor.
    pub permit: Permit,
}

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of all kinds but refused ones.
    pub connections: usize,
    /// Connections whose requests are refused.
    pub refusals: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a share of the resources; `reserved` descriptors are used otherwise. Danger: every connection may hold as
    /// much as one can; the memory must suffice even if all of them do.
    pub fn of(share: ResourceShare, reserved: usize) -> Self {
        let sockets = share.sockets.saturating_sub(reserved);
        let memory = share.memory.saturating_sub(OWN_MEMORY);
        let refusals =
            (sockets.min(memory / MAX_CONNECTION_MEMORY) / REFUSAL_DIVISOR).clamp(MIN_REFUSALS, MAX_REFUSALS);
        let by_memory = memory.saturating_sub(refusals * MAX_REFUSAL_MEMORY) / MAX_CONNECTION_MEMORY;
        let connections = sockets.saturating_sub(refusals).min(by_memory).max(MIN_CONNECTIONS);
        ConnectionLimits { connections, refusals }
    }
}

/// The connections that may be open at the same time.
pub struct ConnectionSlots {
    /// Those of all connections but refused ones.
    pub served: Rc<Descriptors>,
    /// Those of refused ones.
    pub refused: Rc<Descriptors>,
}

impl ConnectionSlots {
    /// Creates the slots for these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        ConnectionSlots {
            served: Descriptors::new(limits.connections),
            refused: Descriptors::new(limits.refusals),
        }
    }

    /// Applies other limits. Slots that are taken beyond them are given back as their connections close.
    pub fn resize(&self, limits: ConnectionLimits) {
        self.served.resize(limits.connections);
        self.refused.resize(limits.refusals);
    }

    /// Returns the number of descriptors in use.
    pub fn taken(&self) -> usize {
        self.served.taken() + self.refused.taken()
    }
}

/// Whether slots can be made for the connections that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotSupply {
    /// Connections that are not busy can give way.
    Evictable,
    /// All connections are busy.
    AllBusy,
}

/// For how long connections have had to wait for slots without a break.
///
/// Nobody knows when a connection came that is accepted late. But whoever is in the queue came since it was last empty, so that none has
/// waited for longer than this.
#[derive(Default)]
pub struct Congestion {
    since: Cell<Option<Instant>>,
}

impl Congestion {
    /// Records that a connection has to wait for a slot.
    pub fn begin(&self, now: Instant) {
        if self.since.get().is_none() {
            self.since.set(Some(now));
        }
    }

    /// Records that no connection waits.
    pub fn end(&self) {
        self.since.set(None);
    }

    /// Returns since when connections have had to wait; `None`: they have not.
    pub fn since(&self) -> Option<Instant> {
        self.since.get()
    }

    /// Returns whether a connection that finds no slot now is to be refused.
    pub fn must_refuse(&self, now: Instant, supply: SlotSupply) -> bool {
        let max_wait = match supply {
            SlotSupply::Evictable => MAX_EVICTION_WAIT,
            SlotSupply::AllBusy => MAX_SLOT_WAIT,
        };
        self.since.get().is_some_and(|since| now.saturating_duration_since(since) >= max_wait)
    }
}

#[cfg(test)]
mod tests;
