//! What happens when, in virtual time.

use crate::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Due<T> {
    at: Nanos,
    order: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl<T> Eq for Due<T> {}
impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Things that are due, the earliest first; of one moment in the order in which they were put in. Danger: without that
/// order two runs of one seed may differ.
pub struct Timeline<T> {
    due: BinaryHeap<Reverse<Due<T>>>,
    put: u64,
    now: Nanos,
}

impl<T> Default for Timeline<T> {
    fn default() -> Self {
        Timeline { due: BinaryHeap::new(), put: 0, now: 0 }
    }
}

impl<T> Timeline<T> {
    /// Has something happen at this time, or now if that is past.
    pub fn put(&mut self, at: Nanos, what: T) {
        self.put += 1;
        self.due.push(Reverse(Due { at: at.max(self.now), order: self.put, what }));
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Nanos> {
        self.due.peek().map(|d| d.0.at)
    }

    /// The next that is due by this time.
    pub fn take(&mut self, by: Nanos) -> Option<(Nanos, T)> {
        if self.next()? > by {
            return None;
        }
        let Reverse(due) = self.due.pop()?;
        self.now = due.at;
        Some((due.at, due.what))
    }

    /// Forgets all that is due.
    pub fn clear(&mut self) {
        self.due.clear();
    }
}

#[cfg(test)]
mod tests;
