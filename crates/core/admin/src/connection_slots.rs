//! Limits the admin connections that have not sent their line yet, and picks the one to evict for a new one.

use std::collections::VecDeque;

/// Identifies a waiting connection; numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// The slots of waiting connections. Danger: clients that send nothing, or half a line, would lock out a genuine one for as
/// long as they stay connected. A genuine client sends its line at once, so the longest-waiting connection is evicted.
#[derive(Debug)]
pub struct ConnectionSlots {
    capacity: usize,
    next_ticket: u64,
    waiting: VecDeque<Ticket>,
}

impl ConnectionSlots {
    /// Allows `most` waiting connections, at least one.
    pub fn new(most: usize) -> Self {
        ConnectionSlots { capacity: most.max(1), next_ticket: 0, waiting: VecDeque::new() }
    }

    /// Admits a new connection; also returns the connection to evict for it, if any.
    pub fn come(&mut self) -> (Ticket, Option<Ticket>) {
        let evicted = if self.waiting.len() >= self.capacity { self.waiting.pop_front() } else { None };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(ticket);
        (ticket, evicted)
    }

    /// Releases the slot of a connection; one that was evicted already has none.
    pub fn left(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    /// Number of waiting connections.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
