//! Persistent state of the control service: the endpoint list with its drains, operators' overrides, and records of
//! other components, in an embedded store ([`StateStore`]) that survives restarts and crashes. Records carry a format
//! version and a checksum; a transaction is there whole or not at all.
//!
//! Instances on one machine may share a store ([`SharedFile`]); a lease decides which of them writes. This crate does
//! not decide what is written, and does not serve it.
#![forbid(unsafe_code)]

mod dump;
mod error;
mod record;
mod shared;
mod store;
mod succession;
mod writes;

pub use dump::{dump, restore, Dump, RestoreError};
pub use error::StateError;
pub use record::{sealed, unsealed, RecordError, StoredEndpoint, FORMAT_VERSION};
pub use shared::{Campaign, HeldLease, SharedError, SharedFile, SharedState};
pub use store::StateStore;
pub use succession::newest_file;
pub use writes::{EndpointWrite, OverrideWrite, RecordWrite, StoredState};
