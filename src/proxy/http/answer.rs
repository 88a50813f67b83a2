//! The final answer of a request.

use crate::proxy::Body;
use hyper::Response;
use rushquay_admin::RequestOutcome;
use std::time::Duration;

/// The final answer of a request.
pub enum Answer {
    /// A response from a node or the origin.
    Served(Response<Body>),
    /// Rejected: the request had no effect, and may be retried after the advised wait.
    Rejected(Duration),
    Failed,
    /// The decision module gave no answer in time.
    Overdue,
}

impl Answer {
    /// Returns the outcome that the answer is counted under.
    pub fn end(&self) -> RequestOutcome {
        match self {
            Answer::Served(_) => RequestOutcome::Completed,
            Answer::Rejected(_) => RequestOutcome::Rejected,
            Answer::Failed | Answer::Overdue => RequestOutcome::Failed,
        }
    }
}
