//! The fleet as a rollout sees it.

use crate::Nanos;
use rushquay_config_version::Digest;
use rushquay_membership::MemberStatus;

/// A member as the rollout sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub zone: &'a str,
    /// Its membership status.
    pub status: MemberStatus,
    /// The config version that it applies.
    pub applied_version: Digest,
    /// Since when its reports have arrived without a gap.
    pub since: Nanos,
    /// How long ago its last report arrived.
    pub since_last_report: Nanos,
    /// A config version that it cannot apply, and why.
    pub refused: Option<(Digest, &'a str)>,
}
