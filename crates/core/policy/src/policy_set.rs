//! Identifiers of policies, revisions and processes, and the set of policies that is in force.

use serde::{Deserialize, Serialize};

/// The number of a policy. It is never reused: proposing the same content again creates another policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PolicyNumber(pub u64);

/// The revision of the record, incremented with each change. 0 precedes all revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// Identifies one process of a member. Each process has a different incarnation, including those that run under the same member name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// The policies that a member applies at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicySet {
    /// One policy alone.
    Pure(PolicyNumber),
    /// The old and the new policy: their intersection applies.
    Joint(PolicyNumber, PolicyNumber),
}

impl PolicySet {
    /// Whether a member that applies this set complies with `policy`.
    pub fn includes(self, policy: PolicyNumber) -> bool {
        match self {
            PolicySet::Pure(one) => one == policy,
            PolicySet::Joint(one, two) => one == policy || two == policy,
        }
    }

    /// The policies of the set, the old one first.
    pub fn numbers(self) -> impl Iterator<Item = PolicyNumber> {
        let (first, second) = match self {
            PolicySet::Pure(only) => (only, None),
            PolicySet::Joint(old, new) => (old, Some(new)),
        };
        std::iter::once(first).chain(second)
    }
}
