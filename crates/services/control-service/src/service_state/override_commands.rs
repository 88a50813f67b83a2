//! Overrides across components: commands of operators, expiry, and applying them to the endpoint list.

use super::{log_expired, ServiceState};
use crate::error::CommandError;
use rushquay_overrides::{Override, OverrideError, OverrideRequest, OverrideSet};
use tracing::info;

/// The result of an override command.
pub struct OverrideOutcome {
    /// The override that was set or lifted.
    pub value: Override,
    /// Why it is held only in memory; `None` if it is durable.
    pub not_durable: Option<String>,
}

impl ServiceState {
    /// Sets an override and publishes its effect. Blocks on the store.
    pub(crate) fn set_override(
        &self,
        request: OverrideRequest,
        expected_revision: Option<u64>,
    ) -> Result<OverrideOutcome, CommandError> {
        self.leader.require_leadership()?;
        let fleet = self.endpoints.fleet();
        let now = self.leader.unix_now();
        let outcome = self.change_overrides(|set| set.set(request, &fleet, now, expected_revision))?;
        let Override { id, author, effect, scope, reason, .. } = &outcome.value;
        info!(id, %author, %effect, on = %scope, %reason, "override set");
        self.apply_overrides();
        Ok(outcome)
    }

    /// Lifts an override and publishes the effect. Blocks on the store.
    pub(crate) fn lift_override(
        &self,
        id: u64,
        by: &str,
        expected_revision: Option<u64>,
    ) -> Result<OverrideOutcome, CommandError> {
        self.leader.require_leadership()?;
        let now = self.leader.unix_now();
        let outcome = self.change_overrides(|set| set.lift(id, by, now, expected_revision))?;
        info!(id, by, "override lifted");
        self.apply_overrides();
        Ok(outcome)
    }

    /// Changes the override set and persists it.
    fn change_overrides(
        &self,
        change: impl FnOnce(&mut OverrideSet) -> Result<Override, OverrideError>,
    ) -> Result<OverrideOutcome, CommandError> {
        let writer = self.overrides.writer();
        let snapshot = writer.snapshot();
        let value = change(&mut self.overrides.set())?;
        let written = self.overrides.persist(&self.leader.persistence);
        // Danger: a store that rejects the write does not renew the lease either, and the state in memory is lost with the lease. So a
        // change that was not persisted is rolled back, and the previous set is written again as soon as the store works.
        if let (Err(error), Some(_)) = (&written, self.leader.gate.leadership()) {
            writer.roll_back(snapshot);
            self.leader.gate.relinquish_if_fenced(error);
            self.leader.require_leadership()?;
            return Err(CommandError::not_persisted(error));
        }
        // Danger: a leader whose lease ended meanwhile would acknowledge a change that the next leader doesn't have.
        self.leader.require_leadership()?;
        Ok(OverrideOutcome { value, not_durable: written.err().map(|error| error.reason) })
    }

    /// Applies the live overrides to the endpoint list.
    pub(super) fn apply_overrides(&self) {
        let live_overrides = || {
            let set = self.overrides.set();
            (set.live().cloned().collect(), set.limits().cold_after)
        };
        self.endpoints.apply_overrides(live_overrides, || self.leader.unix_now());
    }

    /// Persists the override set; steps down if the write was fenced. A failure is retried by [`ServiceState::expire_overrides`].
    pub(super) fn persist_overrides(&self) {
        if let Err(error) = self.overrides.persist(&self.leader.persistence) {
            self.leader.gate.relinquish_if_fenced(&error);
        }
    }

    /// Removes overrides that have expired, and logs those that will expire soon. Only the leader does, since its set is authoritative.
    pub(crate) fn expire_overrides(&self) {
        if !self.leader.is_leading() {
            return;
        }
        let now = self.leader.unix_now();
        let (expired, expiring) = {
            let mut set = self.overrides.set();
            (set.expire(now), set.expiring(now))
        };
        for o in &expiring {
            let left = (o.until - now) / 1_000_000_000;
            info!(id = o.id, effect = %o.effect, on = %o.scope, left_s = left, "override expires soon");
        }
        expired.iter().for_each(log_expired);
        if !expired.is_empty() {
            self.apply_overrides();
        }
        // A failed write is retried until it succeeds.
        if !expired.is_empty() || self.overrides.has_unpersisted() {
            self.persist_overrides();
        }
    }
}
