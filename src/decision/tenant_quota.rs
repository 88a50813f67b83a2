//! Quotas of tenants.

use super::*;

impl Balancer {
    /// Whether a tenant is within this proxy's even part of its share, by what was served to it. Danger:
    /// counting what was only tried uses a share up with retries of what full servers turned away.
    pub(super) fn within_share(&mut self, now: Nanos, tenant: Option<usize>, served: f64) -> bool {
        let Some(t) = tenant.filter(|&t| t < self.share_left.len()) else { return true };
        let rate = self.settings.tenants[t].quota_rps.max(0.0) / f64::from(self.settings.proxies.max(1));
        self.share_left[t].earn(now, rate, rate.max(1.0));
        self.share_left[t].left -= served;
        self.share_left[t].left >= 0.0
    }
}
