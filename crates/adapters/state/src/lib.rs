//! What a control service knows, kept through restarts and crashes: node knowledge with its drains, and the version of
//! the list that it comes from. Records carry their form and a checksum; a transaction is there whole or not at all.
#![forbid(unsafe_code)]

mod dump;
mod record;
mod shared;
mod store;
mod succession;

pub use dump::{dump, restore, Dump};
pub use record::{RecordError, StoredEndpoint, FORMAT_VERSION};
pub use shared::{Campaign, HeldLease, SharedError, SharedFile, SharedState};
pub use store::{
    sealed, unsealed, EndpointWrite, OverrideWrite, RecordWrite, StateError, StateStore, StoredState,
};
pub use succession::newest_file;
