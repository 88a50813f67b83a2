//! Whether this instance leads: who publishes, whether the lease is still valid, and giving up leadership.

use crate::durable_store::{PersistError, PersistFailure};
use crate::error::CommandError;
use crate::leadership::Leadership;
use rushquay_xds_grpc::Hub;
use std::sync::Arc;

/// Decides whether this instance may publish and take commands. Without other instances it always may.
pub struct LeadershipGate {
    hub: Arc<Hub>,
    leadership: Option<Arc<Leadership>>,
}

impl LeadershipGate {
    /// With other instances configured, nothing is published before this one leads.
    pub fn new(hub: Arc<Hub>, leadership: Option<Arc<Leadership>>) -> Self {
        if leadership.is_some() {
            hub.suspend();
        }
        LeadershipGate { hub, leadership }
    }

    /// This instance among several; `None`: it is the only one.
    pub fn leadership(&self) -> Option<&Arc<Leadership>> {
        self.leadership.as_ref()
    }

    /// Whether this instance publishes to subscribers.
    pub fn is_leading(&self) -> bool {
        self.hub.served().is_some()
    }

    /// Whether this instance may act as the leader at `now`, by its own monotonic clock.
    pub fn holds_valid_lease(&self, now: u64) -> bool {
        self.is_leading() && self.leadership.as_ref().is_none_or(|l| now < l.lease_valid_until())
    }

    /// Rejects a command where another instance leads.
    pub fn require_leadership(&self) -> Result<(), CommandError> {
        match &self.leadership {
            Some(leadership) if !self.is_leading() => Err(CommandError::NotLeader(leadership.leader_hint())),
            _ => Ok(()),
        }
    }

    /// Stops leading, because what the store holds is unknown: the next leader reads it. Writes still in flight are bound to a lease
    /// that is over by then.
    pub fn relinquish_leadership(&self) {
        if let Some(leadership) = &self.leadership {
            self.hub.suspend();
            leadership.on_fenced();
        }
    }

    /// Stops leading where a write was refused because another instance holds the lease.
    pub fn relinquish_if_fenced(&self, error: &PersistError) {
        if error.failure == PersistFailure::Fenced {
            self.relinquish_leadership();
        }
    }
}
