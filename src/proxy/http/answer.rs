//! How a request ends.

use crate::proxy::Body;
use hyper::Response;
use rushquay_admin::RequestOutcome;
use std::time::Duration;

/// The final answer of a request.
pub enum Answer {
    Served(Response<Body>),
    /// Not done, a repeat is harmless; with the advised wait.
    Refused(Duration),
    Failed,
    /// The module had no answer in time.
    Overdue,
}

impl Answer {
    /// How the request ends with it.
    pub fn end(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Completed,
            Answer::Refused(_) => RequestOutcome::Rejected,
            Answer::Failed | Answer::Overdue => RequestOutcome::Failed,
        }
    }
}
