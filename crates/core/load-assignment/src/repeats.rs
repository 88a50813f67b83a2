//! Whether a keyed request may be retried although the group of endpoints that deduplicates it may have changed meanwhile.
//!
//! The decision module compares the zones and cells of the current endpoint list. It cannot see that a cluster now names
//! another store, or that an endpoint moved here from another group and knows nothing of requests sent to this one.

use crate::Nanos;

/// An earlier attempt of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tried {
    /// When it was sent.
    pub sent: Nanos,
    /// Whether the attempt has executed, may have executed or may yet execute.
    pub may_have_run: bool,
}

/// Returns `true` if a further attempt may go to an endpoint: no attempt that may have executed was sent before the cluster
/// got its present group (`group_since`) or before the endpoint joined it (`node_since`, [`crate::Node::grouped`]).
pub fn may_repeat(group_since: Nanos, node_since: Nanos, mut attempts: impl Iterator<Item = Tried>) -> bool {
    let since = group_since.max(node_since);
    attempts.all(|attempt| !attempt.may_have_run || attempt.sent >= since)
}
