//! The ids of the requests of this proxy: which are open, and which may have run and so must not run again.

use crate::proxy::http::headers::CorrelationId;
use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::log;
use crate::proxy::process::shared_claims::SharedClaims;
use rushquay_request_ids::{ClaimRecord, ClaimedIds, RequestDigest};
use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// The ids of all requests that are open or may have run.
#[derive(Default)]
pub struct RequestIds {
    /// The ids of all unanswered requests. The hash is keyed, since clients choose the ids.
    open: RefCell<HashSet<CorrelationId>>,
    /// The ids of those requests that must not run twice.
    claimed: RefCell<ClaimedIds>,
    /// The claims that are shared with the other process of an upgrade; `None`: there is none.
    shared: RefCell<Option<SharedClaims>>,
    /// Where claims are shared; `None`: there is no place to hand over at.
    log_path: Option<PathBuf>,
}

impl RequestIds {
    /// Creates a registry without ids that shares its claims at this path.
    pub fn new(log_path: Option<PathBuf>) -> Rc<Self> {
        Rc::new(RequestIds { log_path, ..RequestIds::default() })
    }

    /// Opens a request; `None`: another one with its id is open.
    pub fn open(self: &Rc<Self>, id: &CorrelationId) -> Option<OpenRequestId> {
        let is_free = self.open.borrow_mut().insert(id.clone());
        is_free.then(|| OpenRequestId { ids: self.clone(), id: id.clone() })
    }

    /// Claims the id of a request that must not run twice; `None`: one with this id may have run, here or in the other process.
    pub fn claim(self: &Rc<Self>, id: &CorrelationId) -> Option<ExecutionClaim> {
        let digest = RequestDigest::of(id.as_str().as_bytes());
        self.claimed.borrow_mut().claim(digest, steady_nanos()).ok()?;
        let claim = ExecutionClaim { ids: self.clone(), digest, may_have_run: false };
        (!self.is_claimed_elsewhere(digest)).then_some(claim)
    }

    /// Begins to share all claims with a successor.
    pub fn share(&self) {
        let Some(path) = &self.log_path else { return };
        let created = SharedClaims::create(path, self.claimed.borrow().iter());
        *self.shared.borrow_mut() = logged("share", created);
    }

    /// Joins the incumbent, which shares its claims unless its program is too old for that.
    pub fn join(&self) {
        let Some(path) = self.log_path.as_ref().filter(|path| path.exists()) else { return };
        *self.shared.borrow_mut() = logged("join", SharedClaims::join(path));
        self.read_shared();
    }

    /// Stops sharing: the other process has ended.
    pub fn stop_sharing(&self) {
        self.read_shared();
        if self.shared.take().is_some() {
            // Whoever shares next replaces what is left behind.
            self.log_path.iter().for_each(|path| _ = std::fs::remove_file(path));
        }
    }

    /// Claims an id in the shared log, and takes note of what the other process has claimed. Returns whether it has claimed this id first.
    fn is_claimed_elsewhere(&self, digest: RequestDigest) -> bool {
        let mut shared = self.shared.borrow_mut();
        let Some(log) = shared.as_mut() else { return false };
        match logged("claim", log.claim(digest)) {
            Some((is_taken, appended)) => {
                self.remember_foreign(log, &appended);
                is_taken
            }
            // Refusing all changes for a folder that fails would cost more than it guards against.
            None => false,
        }
    }

    fn read_shared(&self) {
        if let Some(log) = self.shared.borrow_mut().as_mut() {
            let appended = logged("read", log.read_appended()).unwrap_or_default();
            self.remember_foreign(log, &appended);
        }
    }

    fn remember_foreign(&self, log: &SharedClaims, appended: &[ClaimRecord]) {
        let mut claimed = self.claimed.borrow_mut();
        let foreign = appended.iter().filter(|record| log.is_foreign(record));
        foreign.for_each(|record| claimed.remember(record.id, steady_nanos()));
    }
}

/// Logs a failure of the shared log.
fn logged<T>(what: &str, result: io::Result<T>) -> Option<T> {
    result.map_err(|e| log(format_args!("cannot {what} request ids with the other process: {e}"))).ok()
}

/// The id of an unanswered request; released on drop.
pub struct OpenRequestId {
    ids: Rc<RequestIds>,
    id: CorrelationId,
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
