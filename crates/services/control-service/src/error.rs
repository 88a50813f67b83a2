//! Errors of operator commands. The HTTP status of each is chosen in [`crate::http`].

use crate::durable_store::{PersistError, PersistFailure};
use rushquay_overrides::OverrideError;
use rushquay_policy::{ProposalError, RecordError};
use rushquay_rollout::RegistryError;

/// Why an operator's command was rejected.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The override set rejected it.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// Another instance leads.
    #[error("this control service stands by: {0}")]
    NotLeader(String),
    /// The rollout registry rejected it.
    #[error(transparent)]
    Rollout(#[from] RegistryError),
    /// A policy change could not be proposed or withdrawn.
    #[error(transparent)]
    Policy(#[from] PolicyCommandError),
    /// The command was rejected because its record could not be written durably.
    #[error("not done, since it can't be kept: {0}")]
    NotPersisted(String),
}

impl CommandError {
    /// The error for a failed write, with what is known of the state that the store is left in.
    pub(crate) fn not_persisted(error: &PersistError) -> Self {
        let reason = &error.reason;
        CommandError::NotPersisted(match error.failure {
            PersistFailure::NoStore | PersistFailure::Fenced => reason.clone(),
            PersistFailure::Unsure => {
                format!("{reason}; whether it stands is for the next leader to find: look again")
            }
            PersistFailure::Failed => {
                format!("{reason}; what held before is written again once the store works: look again")
            }
        })
    }
}

/// Why a policy change was not proposed or withdrawn.
#[derive(Debug, thiserror::Error)]
pub enum PolicyCommandError {
    /// The policy record rejected it.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// It is no valid policy, or can't hold now.
    #[error(transparent)]
    Unfit(#[from] ProposalError),
    /// The store lacks a revision that was already broadcast.
    #[error(
        "the store stands at revision {store_revision}, and {proxy} has heard of {known_revision}: \
         it was lost, or is an older copy, and nobody has leave. Put back what was kept \
         (rushquay control state restore), or go on from a new policy: rushquay policy propose --anew"
    )]
    Behind {
        /// The revision in the store.
        store_revision: u64,
        /// A proxy that knows a later one.
        proxy: String,
        /// The revision that it knows.
        known_revision: u64,
    },
    /// The store lacks nothing, so there is nothing to begin anew.
    #[error("the store is whole: propose without --anew")]
    StoreComplete,
    /// A lease for a policy that is lost may still run, for this many seconds.
    #[error("somebody may still act by what is lost, for {0} s: ask again then")]
    TooSoon(u64),
    /// A class that no proxy has, and those that proxies have.
    #[error("policy: settings.categories: expected classes that proxies have, not {0:?}; they have {1}")]
    UnknownClass(String, String),
    /// A rollout of this id is running.
    #[error("change {0} of settings runs in stages; wait for its end, or take it back, and propose again")]
    RolloutRuns(u64),
    /// A policy of this number is proposed and not decided.
    #[error("policy {0} is proposed and not decided yet; wait for its end, or abort it, and start again")]
    PolicyUndecided(u64),
    /// A proxy of this name has never requested a lease.
    #[error("no proxy {0:?} has asked for leave here; rushquay policy status names those that have")]
    UnknownProxy(String),
}
