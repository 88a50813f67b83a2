//! How a request ends.

use super::Body;
use hyper::Response;
use rushquay_admin::End;
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
    pub fn end(&self) -> End {
        match self {
            Answer::Served(_) => End::Completed,
            Answer::Refused(_) => End::Rejected,
            Answer::Failed | Answer::Overdue => End::Failed,
        }
    }
}
