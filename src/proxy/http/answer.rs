//! The final answer of a request.

use crate::proxy::Body;
use hyper::Response;
use rushquay_admin::RequestOutcome;
use std::time::Duration;

/// The final answer of a request.
pub enum Answer {
    Served(Response<Body>),
    /// Rejected: it had no effect and may be retried, after the advised wait.
    Refused(Duration),
    Failed,
    /// The module gave no answer in time.
    Overdue,
}

impl Answer {
    /// The outcome that the answer is counted under.
    pub fn end(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Completed,
            Answer::Refused(_) => RequestOutcome::Rejected,
            Answer::Failed | Answer::Overdue => RequestOutcome::Failed,
        }
    }
}
