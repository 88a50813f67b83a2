//! Why a change of policy is not begun or ended as asked, in words that say what to do.

use axum::http::StatusCode;
use rushquay_policy::{RecordError, UnfitPolicy};

/// Why a change of policy was not begun or ended as asked.
#[derive(Debug, thiserror::Error)]
pub enum PolicyCommandError {
    /// The record refuses it.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// It is no policy, or can't hold now.
    #[error(transparent)]
    Unfit(#[from] UnfitPolicy),
    /// The store is behind what was told.
    #[error(
        "the store stands at revision {stands}, and {who} has heard of {heard}: it was lost, or is an older copy, and nobody has leave. Put \
         back what was kept (rushquay control state restore), or go on from a new policy: rushquay policy propose --anew"
    )]
    Behind {
        /// Where the store stands.
        stands: u64,
        /// Who knows more.
        who: String,
        /// What it has heard of.
        heard: u64,
    },
    /// Nothing to begin anew.
    #[error("the store is whole: propose without --anew")]
    Whole,
    /// Somebody may still act by what is lost.
    #[error("somebody may still act by what is lost, for {0} s: ask again then")]
    TooSoon(u64),
    /// A class that no proxy has.
    #[error("policy: settings.categories: expected classes that proxies have, not {0:?}; they have {1}")]
    Class(String, String),
    /// A change in stages runs.
    #[error("change {0} of settings runs in stages; wait for its end, or take it back, and propose again")]
    RolloutRuns(u64),
    /// A policy is proposed.
    #[error("policy {0} is proposed and not decided yet; wait for its end, or abort it, and start again")]
    PolicyUndecided(u64),
    /// No such proxy was ever heard.
    #[error("no proxy {0:?} has asked for leave here; rushquay policy status names those that have")]
    Unknown(String),
}

impl PolicyCommandError {
    /// As an answer over HTTP.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            PolicyCommandError::Record(RecordError::Changed { .. }) => StatusCode::PRECONDITION_FAILED,
            PolicyCommandError::Record(RecordError::Field(..))
            | PolicyCommandError::Unfit(_)
            | PolicyCommandError::Class(..) => StatusCode::UNPROCESSABLE_ENTITY,
            PolicyCommandError::Record(_)
            | PolicyCommandError::RolloutRuns(_)
            | PolicyCommandError::PolicyUndecided(_)
            | PolicyCommandError::Behind { .. }
            | PolicyCommandError::Whole
            | PolicyCommandError::TooSoon(_) => StatusCode::CONFLICT,
            PolicyCommandError::Unknown(_) => StatusCode::NOT_FOUND,
        }
    }
}
