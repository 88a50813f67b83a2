//! Errors of operator commands. The HTTP status of each is chosen in [`crate::http`].

use crate::durable_store::{PersistError, PersistFailure};
use rushquay_overrides::OverrideError;
use rushquay_policy::{ProposalError, RecordError};
use rushquay_rollout::RegistryError;

/// The reason why an operator's command was rejected.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The override set rejected it.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// This instance does not lead.
    #[error("this control service stands by: {0}")]
    NotLeader(String),
    /// The rollout registry rejected it.
    #[error(transparent)]
    Rollout(#[from] RegistryError),
    /// A policy change could not be proposed or withdrawn.
    #[error(transparent)]
    Policy(#[from] PolicyCommandError),
    /// The command was rejected because its record could not be persisted.
    #[error("not done, because the change can't be kept: {0}")]
    NotPersisted(String),
}

impl CommandError {
    /// The error for a failed write, with what is known about the content of the store.
    pub(crate) fn not_persisted(error: &PersistError) -> Self {
        let reason = &error.reason;
        CommandError::NotPersisted(match error.failure {
            PersistFailure::NoStore | PersistFailure::Fenced => reason.clone(),
            PersistFailure::Unsure => {
                format!(
                    "{reason}; the write may have taken effect, which the next leader finds out: check again"
                )
            }
            PersistFailure::Failed => {
                format!("{reason}; the previous state is written again once the store works: check again")
            }
        })
    }
}

/// The reason why a policy change could not be proposed or withdrawn.
#[derive(Debug, thiserror::Error)]
pub enum PolicyCommandError {
    /// The policy record rejected it.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The policy is not valid, or can't be put in force now.
    #[error(transparent)]
    InvalidProposal(#[from] ProposalError),
    /// The store lacks a revision that was already broadcast.
    #[error(
        "the store is at revision {store_revision}, and {proxy} has heard of {known_revision}: \
         it was lost, or is an older copy, and no policy leases are granted. Restore a backup \
         (rushquay control state restore), or continue with a new policy: rushquay policy propose --anew"
    )]
    StoreBehind {
        /// The revision in the store.
        store_revision: u64,
        /// A proxy that knows a later one.
        proxy: String,
        /// The revision that it knows.
        known_revision: u64,
    },
    /// The store is complete, so there is no reason to start anew.
    #[error("the store is complete: propose without --anew")]
    StoreComplete,
    /// A lease for a lost policy may be valid for this many more seconds.
    #[error("a proxy may still act under a lost policy for {0} s: retry after that")]
    LeasesOutstanding(u64),
    /// No proxy has the class; the second field lists the classes that proxies have.
    #[error("policy: settings.categories: expected classes that proxies have, not {0:?}; they have {1}")]
    UnknownClass(String, String),
    /// The rollout with this id is running.
    #[error("change {0} of settings runs in stages; wait until it ends, or roll it back, and propose again")]
    RolloutRuns(u64),
    /// The policy with this number is proposed and not decided yet.
    #[error(
        "policy {0} is proposed and not decided yet; wait for the decision, or abort it, and start again"
    )]
    PolicyUndecided(u64),
    /// A proxy of this name has never requested a lease.
    #[error(
        "no proxy {0:?} has requested a policy lease here; rushquay policy status lists those that have"
    )]
    UnknownProxy(String),
}
