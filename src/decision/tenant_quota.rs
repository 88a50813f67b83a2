//! Tenant quotas: whether a tenant is within this proxy's even part of its quota.

use super::api::{Nanos, Settings};
use super::token_bucket::TokenBucket;

/// The answers that each tenant may still receive within its quota; indexed by tenant.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize) -> Self {
        TenantQuotas { buckets: vec![TokenBucket::ONE_TOKEN; tenants] }
    }

    /// Renumbers the tenants; `former` gives the former index of each, if it had one.
    pub(super) fn renumber(&mut self, former: &[Option<usize>]) {
        let bucket = |tenant: &Option<usize>| {
            tenant.and_then(|t| self.buckets.get(t).copied()).unwrap_or(TokenBucket::ONE_TOKEN)
        };
        self.buckets = former.iter().map(bucket).collect();
    }

    /// Charges `served` answers to a tenant, and returns whether it is within this proxy's even part of its
    /// quota. Danger: if attempts were charged as well, retries after rejections by overloaded endpoints
    /// would use up the quota.
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

    /// Whether a tenant is within this proxy's even part of its quota.
    pub(super) fn is_within(&mut self, settings: &Settings, now: Nanos, tenant: Option<usize>) -> bool {
        self.charge(settings, now, tenant, 0.0)
    }
}
