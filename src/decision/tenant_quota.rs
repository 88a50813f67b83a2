//! Quotas of tenants: whether a tenant is within this proxy's part of its share.

use super::api::{Nanos, Settings};
use super::token_bucket::TokenBucket;

/// What each tenant may still be served within its share; indexed by tenant.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize) -> Self {
        TenantQuotas { buckets: vec![TokenBucket::ONE_TOKEN; tenants] }
    }

    /// Renumbers the tenants: `former` gives the number that each had before, if any.
    pub(super) fn renumber(&mut self, former: &[Option<usize>]) {
        let bucket = |tenant: &Option<usize>| {
            tenant.and_then(|t| self.buckets.get(t).copied()).unwrap_or(TokenBucket::ONE_TOKEN)
        };
        self.buckets = former.iter().map(bucket).collect();
    }

    /// Counts `served` answers of a tenant, and tells whether it is within this proxy's even part of its
    /// share. Danger: counting what was only tried would use up a share by retries of what full endpoints
    /// rejected.
    pub(super) fn charge(
        &mut self,
        settings: &Settings,
        now: Nanos,
        tenant: Option<usize>,
        served: f64,
    ) -> bool {
        let Some(tenant) = tenant.filter(|&t| t < self.buckets.len()) else { return true };
        let rate = settings.tenants[tenant].quota_rps.max(0.0) / f64::from(settings.proxies.max(1));
        let bucket = &mut self.buckets[tenant];
        bucket.refill(now, rate, rate.max(1.0));
        bucket.tokens -= served;
        bucket.tokens >= 0.0
    }

    /// Whether a tenant is within this proxy's even part of its share.
    pub(super) fn is_within(&mut self, settings: &Settings, now: Nanos, tenant: Option<usize>) -> bool {
        self.charge(settings, now, tenant, 0.0)
    }
}
