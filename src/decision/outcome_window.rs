//! The last outcomes of a bucket at one candidate.

use super::*;

/// Straight hits that pin a bucket.
pub(super) const TAU: u32 = 3;

#[derive(Clone, Copy, Default)]
pub(super) struct Window {
    pub(super) server: ServerId,
    pub(super) outcomes: u32,
    pub(super) seen: u32,
}

impl Balancer {
    pub(super) fn learn(&mut self, b: u32, server: ServerId, answered: bool, hit: bool) {
        let Some(bucket) = self.buckets.get_mut(&b) else { return };
        (bucket.held, bucket.read) = (answered, true);
        let hit = answered && hit;
        let Some(w) = bucket.windows.iter_mut().find(|w| w.server == server && server != 0) else { return };
        w.outcomes = (w.outcomes << 1 | u32::from(hit)) & ((1 << TAU) - 1);
        w.seen = (w.seen + 1).min(TAU);
        if bucket.pin.is_none() && w.outcomes == (1 << TAU) - 1 {
            bucket.pin = Some(server);
        }
    }
}
