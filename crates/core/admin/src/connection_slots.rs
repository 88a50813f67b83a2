//! Which of the callers that have not sent their line yet gives way to a new one.

use std::collections::VecDeque;

/// A caller's place; its number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// The places of callers. Danger: callers that send nothing, or half a line, would keep a true one out for as long as they
/// stay; a true one sends its line at once, so whoever has waited for longest gives way.
#[derive(Debug)]
pub struct ConnectionSlots {
    most: usize,
    next: u64,
    waiting: VecDeque<Ticket>,
}

impl ConnectionSlots {
    /// So many callers at once, at least one.
    pub fn new(most: usize) -> Self {
        ConnectionSlots { most: most.max(1), next: 0, waiting: VecDeque::new() }
    }

    /// A caller has come; also tells who has to go for it.
    pub fn come(&mut self) -> (Ticket, Option<Ticket>) {
        let gives_way = if self.waiting.len() >= self.most { self.waiting.pop_front() } else { None };
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.push_back(ticket);
        (ticket, gives_way)
    }

    /// A caller has gone.
    pub fn left(&mut self, ticket: Ticket) {
        self.waiting.retain(|t| *t != ticket);
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
