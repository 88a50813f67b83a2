//! The last outcomes of a key bucket at one candidate, and pinning a bucket after consecutive cache hits.

use super::api::ServerId;
use super::candidates::{BucketId, CANDIDATES};
use super::Balancer;

/// Consecutive cache hits that pin a bucket to a candidate (TAU of Go-With-The-Winner).
const HITS_TO_PIN: u32 = 3;
/// A window in which every outcome was a hit.
const ALL_HITS: u32 = (1 << HITS_TO_PIN) - 1;

/// The last outcomes of the reads of a bucket at one candidate.
#[derive(Clone, Copy, Default)]
pub(super) struct OutcomeWindow {
    pub(super) server: ServerId,
    /// One bit per outcome, 1 for a hit; the latest is the lowest bit.
    pub(super) hits: u32,
    /// Number of outcomes in the window.
    len: u32,
}

impl OutcomeWindow {
    pub(super) fn new(server: ServerId) -> Self {
        OutcomeWindow { server, ..OutcomeWindow::default() }
    }

    fn push(&mut self, hit: bool) {
        self.hits = (self.hits << 1 | u32::from(hit)) & ALL_HITS;
        self.len = (self.len + 1).min(HITS_TO_PIN);
    }

    /// The expected miss ratio: Laplace's rule of succession for the outcomes in the window.
    pub(super) fn miss_ratio(&self) -> f64 {
        1.0 - (f64::from(self.hits.count_ones()) + 1.0) / (f64::from(self.len) + 2.0)
    }
}

/// The windows of a bucket, in the order of its candidates.
pub(super) type OutcomeWindows = [OutcomeWindow; CANDIDATES];

impl Balancer {
    /// Records the outcome of a read of a bucket, and pins the bucket to the first candidate whose window
    /// holds only hits.
    pub(super) fn record_read(&mut self, bucket: BucketId, server: ServerId, answered: bool, hit: bool) {
        let Some(bucket) = self.buckets.get_mut(bucket) else { return };
        (bucket.last_read_answered, bucket.was_read) = (answered, true);
        let mut windows = bucket.windows.iter_mut();
        let Some(window) = windows.find(|w| w.server == server && server != 0) else { return };
        window.push(answered && hit);
        if bucket.pinned.is_none() && window.hits == ALL_HITS {
            bucket.pinned = Some(server);
        }
    }
}
