//! Whether a keyed request may be sent once more, when the group that drops its repeats has changed meanwhile.
//!
//! The decision module compares the zones and cells that stand in the list. What it can't see is that a cluster now stands
//! for another store, or that a node came over from another group and remembers nothing of this one.

use crate::Nanos;

/// An attempt of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tried {
    /// When it was sent.
    pub sent: Nanos,
    /// It has run, or may have, or may yet.
    pub may_have_run: bool,
}

/// Whether a further attempt may go to a node: no attempt that may have run was sent before the cluster's group became what
/// it is (`group_since`) or before the node joined it (`node_since`, [`crate::Node::grouped`]).
pub fn may_repeat(group_since: Nanos, node_since: Nanos, mut tried: impl Iterator<Item = Tried>) -> bool {
    let since = group_since.max(node_since);
    tried.all(|t| !t.may_have_run || t.sent >= since)
}
