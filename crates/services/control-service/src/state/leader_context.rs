//! What a controller needs to act as the leader: the hub, the clock, the lease and durable records.

use super::leadership_gate::LeadershipGate;
use super::persistence_handle::PersistenceHandle;
use crate::durable_store::{PersistError, PersistFailure};
use crate::error::CommandError;
use crate::time::ServiceClock;
use rushquay_endpoints::Nanos;
use rushquay_state::RecordWrite;
use rushquay_xds_grpc::Hub;
use std::sync::Arc;

/// The shared services that a controller is given. It has no access to the endpoint list, the overrides or other controllers.
pub struct LeaderContext {
    /// The hub that publishes resources to xDS subscribers.
    pub hub: Arc<Hub>,
    /// Unix and monotonic time.
    pub clock: Arc<ServiceClock>,
    /// Whether this instance may publish and accept commands.
    pub gate: LeadershipGate,
    /// The store that writes go to.
    pub persistence: PersistenceHandle,
}

impl LeaderContext {
    /// Unix time, in nanoseconds.
    pub fn unix_now(&self) -> Nanos {
        self.clock.now()
    }

    /// Monotonic time, in nanoseconds.
    pub fn monotonic_now(&self) -> Nanos {
        self.clock.steady()
    }

    /// Whether this instance publishes to subscribers.
    pub fn is_leading(&self) -> bool {
        self.gate.is_leading()
    }

    /// Whether this instance holds a lease that has not expired by its own monotonic clock.
    pub fn holds_valid_lease(&self) -> bool {
        self.gate.holds_valid_lease(self.monotonic_now())
    }

    /// Rejects a command if this instance does not lead.
    pub fn require_leadership(&self) -> Result<(), CommandError> {
        self.gate.require_leadership()
    }

    /// Writes records of the controllers and returns once they are durable; steps down if the write was fenced. Blocks on the store.
    pub fn persist_records(&self, write: &RecordWrite) -> Result<(), PersistError> {
        let Some(persistence) = self.persistence.current() else {
            let reason =
                "no --state file and no [standby] is given: a change would be lost when this process ends";
            return Err(PersistError { reason: reason.into(), failure: PersistFailure::NoStore });
        };
        let written = persistence.write_records(write);
        if let Err(error) = &written {
            self.gate.relinquish_if_fenced(error);
        }
        written
    }

    /// The error of a command whose record could not be written. Gives up leadership if the write may still take effect. Danger: if such
    /// a write were treated as failed, a decision that is already in the store could be made again with a different result.
    pub fn reject_unpersisted(&self, error: &PersistError) -> CommandError {
        if error.failure == PersistFailure::Unsure {
            self.gate.relinquish_leadership();
        }
        CommandError::not_persisted(error)
    }
}
