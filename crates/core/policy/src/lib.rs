//! Changes of policy that take effect everywhere or nowhere (`docs/design-policy.md`).
//!
//! [`Coordinator`] is the leader's side: the stored record, which members may still apply what, and when a change is decided.
//! [`Member`] is a proxy's side: what it applies now, and for how long without a new lease. [`intersect`] is what a proxy applies
//! between the old and the new policy. No I/O; the time is passed in.
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

pub use archive::{PolicyArchive, UnfitPolicy};
pub use broadcast::{BroadcastError, PolicyBroadcast};
pub use coordinator::{BlockedReason, Coordinator, LeaseTerms};
pub use document::{FallbackPolicy, Policy, PolicyError};
pub use intersection::{intersect, looser_paths, Intersection, RejectedClass};
pub use member::{ActivePolicy, Member, MemberSnapshot, StartupPolicy};
pub use messages::{LeaseGrant, LeaseRequest, MessageError};
pub use overlay::{apply_overlay, Overlay};
pub use policy_set::{Incarnation, PolicyNumber, PolicySet, Revision};
pub use record::{ChangeOutcome, PendingChange, Phase, PolicyEvent, PolicyRecord, RecordError};
pub use strictness::{compare_strictness, Strictness};

/// A point in time or a duration in nanoseconds, on a monotonic clock that also counts while the machine is suspended.
pub type Nanos = u64;
