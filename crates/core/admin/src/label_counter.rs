//! Counters keyed by a metric label.

use crate::Counter;
use rushquay_invariants::Label;
use std::fmt;
use std::marker::PhantomData;

/// One counter per value of a label. A single thread writes; any thread may read.
pub struct LabelCounter<L> {
    counts: Vec<Counter>,
    label: PhantomData<fn() -> L>,
}

impl<L: Label> Default for LabelCounter<L> {
    fn default() -> Self {
        LabelCounter { counts: L::ALL.iter().map(|_| Counter::default()).collect(), label: PhantomData }
    }
}

impl<L: Label> fmt::Debug for LabelCounter<L> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.counted().map(|(label, count)| (label.name(), count))).finish()
    }
}

impl<L: Label> LabelCounter<L> {
    /// Increments the counter of `label`.
    pub fn one_more(&self, label: L) {
        self.counts[label.index()].one_more();
    }

    /// Count of `label`.
    pub fn get(&self, label: L) -> u64 {
        self.counts[label.index()].get()
    }

    /// Sum over all labels.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(Counter::get).sum()
    }

    /// Labels with a non-zero count, each with its count.
    pub fn counted(&self) -> impl Iterator<Item = (L, u64)> + '_ {
        let all = L::ALL.iter().map(|label| (*label, self.get(*label)));
        all.filter(|(_, count)| *count > 0)
    }
}
