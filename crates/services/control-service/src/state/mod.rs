//! The components of the service's state, each with its own locks. [`ServiceState`](crate::service_state::ServiceState) joins them.
//!
//! Lock order, outermost first; each component documents the order of its own locks:
//!
//! 1. [`ChangeLock`]: held while a rollout or policy change is started, and handed on as a [`ChangeGuard`].
//! 2. Of [`Overrides`]: the write lock of a command.
//! 3. Of [`Endpoints`]: the source. [`SourceGuard`](endpoints::SourceGuard) gives access to 5 while it is held.
//! 4. Of [`Overrides`]: the mark of the last durable event.
//! 5. Of [`Endpoints`]: the decided list.
//! 6. Of [`Overrides`]: the set itself.
//! 7. [`PersistenceHandle`]: a leaf. So is the time since which a restored list waits.
//!
//! A takeover holds 3, 4 and 5 until the new store is served, and has the controllers restored under them. A controller never locks any
//! of 2 to 6; its own locks come after them. The hub's store may be locked under all of these.

mod change_lock;
mod endpoints;
mod leader_context;
mod leadership_gate;
mod overrides;
mod persistence_handle;

pub use change_lock::{ChangeGuard, ChangeLock};
pub use endpoints::{Endpoints, SourceEvent, SourceState};
pub use leader_context::LeaderContext;
pub use leadership_gate::LeadershipGate;
pub use overrides::Overrides;
pub use persistence_handle::PersistenceHandle;
