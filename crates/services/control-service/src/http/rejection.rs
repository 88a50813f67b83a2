//! Maps errors of commands to HTTP responses.

use crate::error::{CommandError, PolicyCommandError};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::Json;
use rushquay_overrides::OverrideError;
use rushquay_policy::RecordError;
use rushquay_rollout::RegistryError;
use serde_json::json;

/// The response to a rejected request.
pub struct Rejection(Box<Response>);

impl Rejection {
    /// A response of this status with the error as JSON.
    pub fn new(status: StatusCode, error: impl ToString) -> Self {
        let body = Json(json!({"error": error.to_string()}));
        Rejection(Box::new((status, body).into_response()))
    }
}

impl IntoResponse for Rejection {
    fn into_response(self) -> Response {
        *self.0
    }
}

impl From<CommandError> for Rejection {
    fn from(error: CommandError) -> Self {
        Rejection::new(command_status(&error), error)
    }
}

fn command_status(error: &CommandError) -> StatusCode {
    match error {
        CommandError::Override(error) => override_status(error),
        CommandError::Rollout(error) => rollout_status(error),
        CommandError::Policy(error) => policy_status(error),
        CommandError::NotPersisted(_) => StatusCode::INSUFFICIENT_STORAGE,
        CommandError::NotLeader(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn override_status(error: &OverrideError) -> StatusCode {
    match error {
        OverrideError::Changed { .. } => StatusCode::PRECONDITION_FAILED,
        OverrideError::Field(..) => StatusCode::UNPROCESSABLE_ENTITY,
        OverrideError::InsufficientCapacity(_) => StatusCode::CONFLICT,
        OverrideError::Full(_) => StatusCode::INSUFFICIENT_STORAGE,
        OverrideError::Unknown(_) => StatusCode::NOT_FOUND,
    }
}

fn rollout_status(error: &RegistryError) -> StatusCode {
    match error {
        RegistryError::Changed { .. } => StatusCode::PRECONDITION_FAILED,
        RegistryError::Settings(_) | RegistryError::Plan(_) | RegistryError::Field(..) => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        _ => StatusCode::CONFLICT,
    }
}

fn policy_status(error: &PolicyCommandError) -> StatusCode {
    match error {
        PolicyCommandError::Record(RecordError::Changed { .. }) => StatusCode::PRECONDITION_FAILED,
        PolicyCommandError::Record(RecordError::Field(..))
        | PolicyCommandError::InvalidProposal(_)
        | PolicyCommandError::UnknownClass(..) => StatusCode::UNPROCESSABLE_ENTITY,
        PolicyCommandError::Record(_)
        | PolicyCommandError::RolloutRuns(_)
        | PolicyCommandError::PolicyUndecided(_)
        | PolicyCommandError::StoreBehind { .. }
        | PolicyCommandError::StoreComplete
        | PolicyCommandError::LeasesOutstanding(_) => StatusCode::CONFLICT,
        PolicyCommandError::UnknownProxy(_) => StatusCode::NOT_FOUND,
    }
}
