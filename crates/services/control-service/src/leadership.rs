//! Which instance leads, as far as this instance knows. The thread that campaigns for the lease is in [`crate::leadership_loop`].

use crate::sync::lock;
use rushquay_lease::LeaseTerms;
use rushquay_state::{SharedError, SharedState};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;
use tracing::info;

/// The leadership of this instance, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct LeadershipState {
    /// The leader's name, from the store's last response.
    pub leader: Option<String>,
    /// The epoch in which this instance leads; 0 if it does not.
    pub epoch: u64,
    /// How often this instance has taken over.
    pub takeovers: u64,
    /// How long the last takeover took, from winning the lease to publishing, in milliseconds.
    pub takeover_ms: u64,
    /// Why the store can't be reached or read; `None` while it can.
    pub fault: Option<String>,
}

/// State shared between the leadership thread and the rest of the service.
#[derive(Default)]
struct Inner {
    state: LeadershipState,
    is_ending: bool,
    /// A write was fenced because another instance holds the lease.
    is_fenced: bool,
}

/// The leadership state of one instance among several.
pub struct Leadership {
    /// The name of this instance.
    pub instance_name: String,
    /// The store of leases.
    pub store: Arc<dyn SharedState>,
    pub(crate) terms: LeaseTerms,
    inner: Mutex<Inner>,
    wake: Condvar,
    /// When the lease expires, by this instance's monotonic clock; 0 if it does not lead.
    lease_valid_until: AtomicU64,
}

impl Leadership {
    pub(crate) fn new(instance_name: String, store: Arc<dyn SharedState>, terms: LeaseTerms) -> Arc<Self> {
        Arc::new(Leadership {
            instance_name,
            store,
            terms,
            inner: Mutex::default(),
            wake: Condvar::new(),
            lease_valid_until: AtomicU64::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// A copy of the current state.
    pub fn state(&self) -> LeadershipState {
        self.lock().state.clone()
    }

    /// A hint for operators about the instance to which a command should be sent.
    pub(crate) fn leader_hint(&self) -> String {
        match self.lock().state.leader.clone() {
            Some(leader) if leader != self.instance_name => format!("{leader} leads, send the command there"),
            _ => "no instance leads yet, retry soon".into(),
        }
    }

    /// When the lease expires, by this instance's monotonic clock; 0 if it does not lead. Danger: a process that resumes after being
    /// suspended has not stepped down yet; only this time shows that its lease has expired.
    pub(crate) fn lease_valid_until(&self) -> u64 {
        self.lease_valid_until.load(Ordering::SeqCst)
    }

    pub(crate) fn set_lease_valid_until(&self, until: u64) {
        self.lease_valid_until.store(until, Ordering::SeqCst);
    }

    /// Waits for the timeout, or until the thread has to end or to step down.
    pub(crate) fn wait(&self, timeout: Duration) {
        let inner = self.lock();
        let keep_waiting = |inner: &mut Inner| !inner.is_ending && !inner.is_fenced;
        drop(self.wake.wait_timeout_while(inner, timeout, keep_waiting));
    }

    /// Whether the thread has to end.
    pub(crate) fn is_ending(&self) -> bool {
        self.lock().is_ending
    }

    /// Whether a write has been fenced since the last call.
    pub(crate) fn take_fenced(&self) -> bool {
        std::mem::take(&mut self.lock().is_fenced)
    }

    /// Another instance holds the lease.
    pub(crate) fn on_other_leader(&self, leader: &str) {
        let mut inner = self.lock();
        if inner.state.leader.as_deref() != Some(leader) {
            info!(leader, "another instance leads");
        }
        inner.state.leader = Some(leader.to_owned());
    }

    /// This instance has taken over.
    pub(crate) fn on_takeover(&self, epoch: u64, took_ms: u64) {
        let mut inner = self.lock();
        inner.state.leader = Some(self.instance_name.clone());
        inner.state.epoch = epoch;
        inner.state.takeovers += 1;
        inner.state.takeover_ms = took_ms;
        info!(leader = %self.instance_name, epoch, took_ms, "this instance leads");
    }

    /// This instance has stepped down, and the new leader is not known yet.
    pub(crate) fn on_step_down(&self) {
        let mut inner = self.lock();
        (inner.state.epoch, inner.state.leader) = (0, None);
    }

    /// Sets why the store can't be reached or read; `None` while it can.
    pub(crate) fn set_store_error(&self, error: Option<&SharedError>) {
        self.lock().state.fault = error.map(ToString::to_string);
    }

    /// A write was fenced: makes the thread step down.
    pub(crate) fn on_fenced(&self) {
        self.lock().is_fenced = true;
        self.wake.notify_all();
    }

    /// Makes the thread resign the lease and end.
    pub(crate) fn end(&self) {
        self.lock().is_ending = true;
        self.wake.notify_all();
    }
}
