//! The ids of the requests of this proxy: which are open, and which may have run and so must not run again.

use crate::proxy::http::request_body::steady_nanos;
use hyper::header::HeaderValue;
use rushquay_request_ids::{ClaimedIds, RequestDigest};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of all requests that are open or may have run.
#[derive(Default)]
pub struct RequestIds {
    /// The ids of all unanswered requests. The hash is keyed, since clients choose the ids.
    open: RefCell<HashSet<HeaderValue>>,
    /// The ids of those requests that must not run twice.
    claimed: RefCell<ClaimedIds>,
}

impl RequestIds {
    /// Opens a request; `None`: another one with its id is open.
    pub fn open(self: &Rc<Self>, id: &HeaderValue) -> Option<OpenRequestId> {
        let is_free = self.open.borrow_mut().insert(id.clone());
        is_free.then(|| OpenRequestId { ids: self.clone(), id: id.clone() })
    }

    /// Claims the id of a request that must not run twice; `None`: one with this id may have run.
    pub fn claim(self: &Rc<Self>, id: &HeaderValue) -> Option<ExecutionClaim> {
        let digest = RequestDigest::of(id.as_bytes());
        self.claimed.borrow_mut().claim(digest, steady_nanos()).ok()?;
        Some(ExecutionClaim { ids: self.clone(), digest, may_have_run: false })
    }
}

/// The id of an unanswered request; released on drop.
pub struct OpenRequestId {
    ids: Rc<RequestIds>,
    id: HeaderValue,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.ids.open.borrow_mut().remove(&self.id);
    }
}

/// The claim of a request that must not run twice. When it is dropped the id is free again, unless the request may have run.
pub struct ExecutionClaim {
    ids: Rc<RequestIds>,
    digest: RequestDigest,
    may_have_run: bool,
}

impl ExecutionClaim {
    /// Records that the request may have run.
    pub fn record_execution(&mut self) {
        self.may_have_run = true;
    }
}

impl Drop for ExecutionClaim {
    fn drop(&mut self) {
        let mut claimed = self.ids.claimed.borrow_mut();
        match self.may_have_run {
            true => claimed.remember(self.digest, steady_nanos()),
            false => claimed.release(self.digest),
        }
    }
}
