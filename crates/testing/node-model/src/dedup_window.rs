//! What a node keeps: so many keys, each for so long, the least recently used going first.

use crate::Nanos;
use lru::LruCache;
use std::num::NonZeroUsize;

/// The kept set.
pub struct DedupWindow {
    keys: LruCache<u64, Nanos>,
    lasts: Nanos,
}

impl DedupWindow {
    /// For so many keys, each for so long after it was stored.
    pub fn new(room: NonZeroUsize, lasts: Nanos) -> Self {
        DedupWindow { keys: LruCache::new(room), lasts }
    }

    /// Whether the key is there; it is then the last that goes.
    pub fn has(&mut self, key: u64, now: Nanos) -> bool {
        match self.keys.get(&key) {
            Some(until) if *until > now => true,
            Some(_) => {
                self.keys.pop(&key);
                false
            }
            None => false,
        }
    }

    /// Keeps a key from now on.
    pub fn store(&mut self, key: u64, now: Nanos) {
        self.keys.put(key, now.saturating_add(self.lasts));
    }

    /// Drops one.
    pub fn drop(&mut self, key: u64) {
        self.keys.pop(&key);
    }

    /// How many there are, those whose time is over among them.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}

#[cfg(test)]
mod tests;
