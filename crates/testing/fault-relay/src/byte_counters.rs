//! The order of deeds in a replay that keeps it.

use std::collections::BTreeSet;

/// Whose turn it is. No I/O.
#[derive(Debug, Default)]
pub struct Ledger {
    next: u64,
    /// Taken ahead of others: by connections that have ended, and will not act.
    ahead: BTreeSet<u64>,
}

impl Ledger {
    /// A turn was taken, or never will be.
    pub fn took(&mut self, turn: u64) {
        if turn >= self.next {
            self.ahead.insert(turn);
        }
        while self.ahead.remove(&self.next) {
            self.next += 1;
        }
    }

    /// The next turn.
    pub fn next(&self) -> u64 {
        self.next
    }
}

#[cfg(test)]
mod tests;
