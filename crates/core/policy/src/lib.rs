//! Changes of policy that take effect everywhere or nowhere (`docs/design-policy.md`).
//!
//! [`Coordinator`] runs at the leader: it knows the stored record and which policies each member may still apply, and decides when a
//! change ends. [`Member`] runs in each proxy: it determines which policies the proxy applies now, and until when if its lease is not
//! renewed. While a change is pending, a proxy applies the intersection of the old and the new policy ([`intersect`]).
//!
//! The crate does no I/O; callers pass in the time.
#![forbid(unsafe_code)]

mod archive;
mod broadcast;
mod coordinator;
mod document;
mod intersection;
mod member;
mod messages;
mod overlay;
mod policy_set;
mod record;
mod strictness;

pub use archive::{PolicyArchive, ProposalError};
pub use broadcast::{BroadcastError, PolicyBroadcast};
pub use coordinator::{BlockingMember, Coordinator, LeaseTerms};
pub use document::{FallbackPolicy, Policy, PolicyError};
pub use intersection::{intersect, looser_paths, Intersection, RejectedClass};
pub use member::{ActivePolicy, Member, MemberSnapshot, StartupPolicy};
pub use messages::{LeaseGrant, LeaseRequest, MessageError};
pub use overlay::{apply_overlay, Overlay};
pub use policy_set::{Incarnation, PolicyNumber, PolicySet, Revision};
pub use record::{ChangeOutcome, PendingChange, Phase, PolicyEvent, PolicyRecord, RecordError};
pub use strictness::{strictness_of_field, Strictness};

/// A point in time or a duration in nanoseconds, on a monotonic clock that also counts while the machine is suspended.
pub type Nanos = u64;
