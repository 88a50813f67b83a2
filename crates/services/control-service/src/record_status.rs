//! What is known of a controller's record in the store after a write of it failed.

use crate::durable_store::{PersistError, PersistFailure};
use rushquay_xds::client::Outage;
use tracing::warn;

/// The outcome of the last writes of a record. A write that failed may still have taken effect, in full or in part; until the record that
/// counts is written again, the store's content is in doubt. Danger: taken for not written, the record would be acted on by the next
/// process that reads it, beside what is decided here.
#[derive(Default)]
pub struct RecordStatus {
    outage: Outage,
    is_in_doubt: bool,
}

impl RecordStatus {
    /// Whether the record that counts has to be written once more.
    pub fn is_in_doubt(&self) -> bool {
        self.is_in_doubt
    }

    /// The record was read from the store: what it holds is known.
    pub fn on_read(&mut self) {
        self.is_in_doubt = false;
    }

    /// The record was written.
    pub fn on_written(&mut self) {
        self.outage.over();
        self.is_in_doubt = false;
    }

    /// A write of the record failed. A run of failures is logged now and then.
    pub fn on_write_failed(&mut self, record: &'static str, error: &PersistError) {
        if let Some(failure) = self.outage.failed(&error.reason) {
            warn!(record, error = %error.reason, failure, "record not persisted; step not applied");
        }
        self.is_in_doubt = matches!(error.failure, PersistFailure::Unsure | PersistFailure::Failed);
    }
}
