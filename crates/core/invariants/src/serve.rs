//! May the process take requests now?

use crate::{labels, Violation};

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

/// The guard of the words that say "this process serves": health, STATUS and the yes of a hand-over. Signs of life to
/// a host say less: that connections are accepted, which beside another process stands behind the same guard.
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

/// Checks the word that this process serves at the moment in which it is given to whoever then ends the process before it.
pub fn check_said_serving(facts: &ServeFacts) -> Option<Violation> {
    may_serve(facts).is_err().then_some(Violation::SaidServingUnready)
}
