//! What a controller needs in order to act as the leader: the hub, the clock, the lease and durable records.

use super::leadership_gate::LeadershipGate;
use super::persistence_handle::PersistenceHandle;
use crate::durable_store::{PersistError, PersistFailure};
use crate::error::CommandError;
use crate::time::ServiceClock;
use rushquay_endpoints::Nanos;
use rushquay_state::RecordWrite;
use rushquay_xds_grpc::Hub;
use std::sync::Arc;

/// The leader's means, without the endpoint list, the overrides or any controller.
pub struct LeaderContext {
    /// The xDS side.
    pub hub: Arc<Hub>,
    /// Unix and monotonic time.
    pub clock: Arc<ServiceClock>,
    /// Who may publish and take commands.
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

    /// Whether this instance may act as the leader at this moment, by its own clock.
    pub fn holds_valid_lease(&self) -> bool {
        self.gate.holds_valid_lease(self.monotonic_now())
    }

    /// Rejects a command where another instance leads.
    pub fn require_leadership(&self) -> Result<(), CommandError> {
        self.gate.require_leadership()
    }

    /// Writes records of the controllers and returns once they are durable; steps down where the write was fenced. Blocks on the store.
    pub fn persist_records(&self, write: &RecordWrite) -> Result<(), PersistError> {
        let Some(persistence) = self.persistence.current() else {
            let reason = "no --state file and no [standby] is given: a change would not outlive this process";
            return Err(PersistError { reason: reason.into(), failure: PersistFailure::NoStore });
        };
        let written = persistence.write_records(write);
        if let Err(error) = &written {
            self.gate.relinquish_if_fenced(error);
        }
        written
    }

    /// The error of a command whose record was not written. Gives up leadership where the write may still take effect. Danger: taken for
    /// not written, a decision that is in the store could be made once more, another way.
    pub fn reject_unpersisted(&self, error: &PersistError) -> CommandError {
        if error.failure == PersistFailure::Unsure {
            self.gate.relinquish_leadership();
        }
        CommandError::not_persisted(error)
    }
}
