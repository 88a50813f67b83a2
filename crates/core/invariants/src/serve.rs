//! Decides whether the process may report that it serves.

use crate::{labels, Violation};

/// What is known about a process that is about to report that it serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServeFacts {
    /// At least one endpoint that accepts work is known.
    pub node_known: bool,
    /// The active policy, or its fallback policy, permits serving.
    pub policy_permits: bool,
    /// The process is shutting down.
    pub draining: bool,
}

labels! {
    /// Why a process must not report that it serves.
    pub enum NotReady {
        /// The process is shutting down.
        Draining = "draining",
        /// No endpoint that accepts work is known.
        NoNode = "no_node",
        /// Neither the policy nor its fallback permits serving.
        Policy = "policy",
    }
}

/// Decides whether the process may report that it serves: on health checks, on STATUS, and when it agrees to a hand-over.
/// Heartbeats to a supervisor claim less, namely that connections are accepted; while another process runs beside this one,
/// that claim depends on the same rule.
///
/// # Errors
/// Returns why it must not.
pub fn may_serve(facts: &ServeFacts) -> Result<(), NotReady> {
    if facts.draining {
        return Err(NotReady::Draining);
    }
    if !facts.node_known {
        return Err(NotReady::NoNode);
    }
    if !facts.policy_permits {
        return Err(NotReady::Policy);
    }
    Ok(())
}

/// Checks the report that this process serves, at the moment when it is sent to whoever then stops the incumbent.
pub fn check_said_serving(facts: &ServeFacts) -> Option<Violation> {
    may_serve(facts).is_err().then_some(Violation::SaidServingUnready)
}
