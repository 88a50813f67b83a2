//! What a control service knows, kept through restarts and crashes: node knowledge with its drains, and the version of
//! the list that it comes from. Records carry their form and a checksum; a transaction is there whole or not at all.
#![forbid(unsafe_code)]

mod record;
mod shared;
mod store;
mod succession;
mod text;

pub use record::{Kept, RecordError, FORM};
pub use shared::{Campaign, Held, SharedError, SharedFile, SharedState};
pub use store::{sealed, unsealed, BookChange, Change, RecordChange, Saved, StateError, StateStore};
pub use succession::newest_file;
pub use text::{dump, restore, Dumped};
