//! A change of policy that takes hold everywhere or nowhere (`docs/design-policy.md`). [`Coordinator`] is the leader's side: the
//! record in the store, who may still act by what, and when a change is decided. [`Member`] is a proxy's side: what it acts by now,
//! and for how long without word. [`meet`] is what a proxy obeys between old and new. No I/O; time is passed in.
#![forbid(unsafe_code)]

mod archive;
mod broadcast;
mod coordinator;
mod document;
mod intersection;
mod member;
mod messages;
mod overlay;
mod record;
mod strictness;

pub use archive::{PolicyArchive, UnfitPolicy};
pub use broadcast::{BroadcastError, PolicyBroadcast};
pub use coordinator::{BlockedReason, Coordinator, LeaseTerms};
pub use document::{FallbackPolicy, Policy, PolicyError};
pub use intersection::{intersect, looser_paths, Intersection, RejectedClass};
pub use member::{ActivePolicy, Member, MemberSnapshot, StartupPolicy};
pub use messages::{Incarnation, LeaseGrant, LeaseRequest, MessageError, PolicySet};
pub use overlay::{apply_overlay, Overlay};
pub use record::{
    ChangeOutcome, PendingChange, Phase, PolicyEvent, PolicyNumber, PolicyRecord, RecordError, Revision,
};
pub use strictness::{compare_strictness, Strictness};

/// A point in time or a span, in nanoseconds, on a steady clock that counts while the machine is suspended.
pub type Nanos = u64;
