//! May the process take requests now?

use crate::labels;

/// What is known of a process that is to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServeFacts {
    /// A node that takes work is known.
    pub node_known: bool,
    /// The policy that it acts by, or that policy's floor, lets it serve.
    pub policy_permits: bool,
    /// It was told to end.
    pub draining: bool,
}

labels! {
    /// Why a process must not say that it serves.
    pub enum NotReady {
        /// It was told to end.
        Draining = "draining",
        /// It knows no node that takes work.
        NoNode = "no_node",
        /// Neither a policy nor its floor lets it serve.
        Policy = "policy",
    }
}

/// The guard of the words that say "this process serves": health and STATUS. Signs of life to a host and the yes of a hand-over do not
/// ask it yet.
///
/// # Errors
/// Why it must not be said.
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
