//! Whether a keyed request may be retried if the group of endpoints that deduplicates it may have changed since an earlier
//! attempt.
//!
//! The decision module compares only the zones and cells of the current endpoint list. It cannot detect that a cluster now
//! refers to another store, or that an endpoint has moved here from another group and has no record of requests sent to
//! this one.

use crate::Nanos;

/// An earlier attempt of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierAttempt {
    /// When the attempt was sent.
    pub sent: Nanos,
    /// Whether the attempt has executed, may have executed or may yet execute.
    pub may_have_run: bool,
}

/// Returns `true` if a further attempt may be sent to an endpoint: no attempt that may have executed was sent before the
/// cluster got its current group (`group_since`) or before the endpoint joined that group (`node_since`,
/// [`crate::Node::group_changed_at`]).
pub fn may_retry(
    group_since: Nanos,
    node_since: Nanos,
    mut attempts: impl Iterator<Item = EarlierAttempt>,
) -> bool {
    let since = group_since.max(node_since);
    attempts.all(|attempt| !attempt.may_have_run || attempt.sent >= since)
}
