//! Whether this instance leads and its lease is still valid, and how it gives up leadership.

use crate::durable_store::{PersistError, PersistFailure};
use crate::error::CommandError;
use crate::leadership::Leadership;
use rushquay_xds_grpc::Hub;
use std::sync::Arc;

/// Decides whether this instance may publish and accept commands. A single instance always may.
pub struct LeadershipGate {
    hub: Arc<Hub>,
    leadership: Option<Arc<Leadership>>,
}

impl LeadershipGate {
    /// With standby instances configured, nothing is published until this one leads.
    pub fn new(hub: Arc<Hub>, leadership: Option<Arc<Leadership>>) -> Self {
        if leadership.is_some() {
            hub.suspend();
        }
        LeadershipGate { hub, leadership }
    }

    /// The leadership state; `None` if this is the only instance.
    pub fn leadership(&self) -> Option<&Arc<Leadership>> {
        self.leadership.as_ref()
    }

    /// Whether this instance publishes to subscribers.
    pub fn is_leading(&self) -> bool {
        self.hub.served().is_some()
    }

    /// Whether this instance holds a lease that is valid at `now`, by its own monotonic clock.
    pub fn holds_valid_lease(&self, now: u64) -> bool {
        self.is_leading() && self.leadership.as_ref().is_none_or(|l| now < l.lease_valid_until())
    }

    /// Rejects a command if this instance does not lead.
    pub fn require_leadership(&self) -> Result<(), CommandError> {
        match &self.leadership {
            Some(leadership) if !self.is_leading() => Err(CommandError::NotLeader(leadership.leader_hint())),
            _ => Ok(()),
        }
    }

    /// Stops leading, because the content of the store is unknown; the next leader reads it. Writes still in flight are bound to the
    /// old lease, which is no longer valid by then.
    pub fn relinquish_leadership(&self) {
        if let Some(leadership) = &self.leadership {
            self.hub.suspend();
            leadership.on_fenced();
        }
    }

    /// Stops leading if a write was fenced, which means that another instance holds the lease.
    pub fn relinquish_if_fenced(&self, error: &PersistError) {
        if error.failure == PersistFailure::Fenced {
            self.relinquish_leadership();
        }
    }
}
