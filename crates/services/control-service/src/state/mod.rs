//! The components of the service's state, each with its own locks. [`ServiceState`](crate::service_state::ServiceState) joins them.
//!
//! Lock order, outermost first; each component documents the order of its own locks:
//!
//! 1. [`ChangeLock`]: held while a rollout or policy change is started, and passed on as a [`ChangeGuard`].
//! 2. [`Overrides`]: the write lock of a command.
//! 3. [`Endpoints`]: the source state. [`SourceGuard`](endpoints::SourceGuard) gives access to 5 while it is held.
//! 4. [`Overrides`]: the number of the last durable event.
//! 5. [`Endpoints`]: the control state.
//! 6. [`Overrides`]: the set itself.
//! 7. [`PersistenceHandle`]: a leaf lock, like the one of the time at which a restored list began to wait.
//!
//! A takeover holds 3, 4 and 5 while it restores the controllers and until the new store is served. A controller never takes locks 2 to
//! 6; its own locks come after them. The hub's store may be locked under all of these.

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
