//! Whether the stored record of a controller is known after a failed write.

use crate::durable_store::{PersistError, PersistFailure};
use rushquay_xds::client::Outage;
use tracing::warn;

/// The outcome of the last writes of a record. A failed write may still have taken effect, in full or in part, so the store's content is
/// in doubt until the current record is written again. Danger: if the write were treated as without effect, the next process that reads
/// the store could act on that record, in conflict with the decisions made here.
#[derive(Default)]
pub struct RecordStatus {
    outage: Outage,
    is_in_doubt: bool,
}

impl RecordStatus {
    /// Whether the current record has to be written again.
    pub fn is_in_doubt(&self) -> bool {
        self.is_in_doubt
    }

    /// The record was read from the store, so its content is known.
    pub fn on_read(&mut self) {
        self.is_in_doubt = false;
    }

    /// The record was written.
    pub fn on_written(&mut self) {
        self.outage.over();
        self.is_in_doubt = false;
    }

    /// A write of the record failed. Logging of consecutive failures is rate-limited.
    pub fn on_write_failed(&mut self, record: &'static str, error: &PersistError) {
        if let Some(failure) = self.outage.failed(&error.reason) {
            warn!(record, error = %error.reason, failure, "record not persisted; step not applied");
        }
        self.is_in_doubt = matches!(error.failure, PersistFailure::Unsure | PersistFailure::Failed);
    }
}
