//! Decides whether the process may report that it serves requests.

use crate::{labels, Violation};

/// The facts about a process that is about to report that it serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServeFacts {
    /// At least one endpoint that accepts new requests is known.
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
        /// No endpoint that accepts new requests is known.
        NoNode = "no_node",
        /// Neither the active policy nor its fallback policy permits serving.
        Policy = "policy",
    }
}

/// Decides whether the process may report that it serves: in response to health checks and STATUS, and when it agrees to a
/// hand-over. A heartbeat to the supervisor only reports that connections are accepted, but while another process of this proxy
/// runs on the machine, heartbeats are subject to the same rule.
///
/// # Errors
/// The process must not report that it serves; the error says why.
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

/// Checks a report that this process serves, when it is sent to the recipient that then stops the incumbent.
pub fn check_reported_serving(facts: &ServeFacts) -> Option<Violation> {
    may_serve(facts).is_err().then_some(Violation::SaidServingUnready)
}
