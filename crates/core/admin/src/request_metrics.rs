//! The account that each request passes through exactly once at its end, and each attempt when it has been written whole.

use crate::{Cause, LabelCounter, NodeCloseCause, TurnedAway};
use rushquay_invariants::{CloseCause, SendDenied, Violation};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// How a request that was taken ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Completed,
    /// It was refused.
    Rejected,
    /// It was failed.
    Failed,
}

/// A number that one thread moves and others read.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// What it stands at.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets it.
    pub fn set(&self, to: u64) {
        self.0.store(to, Ordering::Relaxed);
    }

    /// One more.
    pub fn one_more(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn one_less(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a process may answer on STATUS.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It has not come so far that it could serve.
    Starting,
    /// It can serve.
    Serving,
    /// It was told to end.
    Draining,
}

/// The figures of one class.
#[derive(Debug, Default)]
struct Class {
    completed: Counter,
    rejected: Counter,
    failed: Counter,
}

/// The account of one process, from 0 at its start. Threads other than the proxy's read it at any time.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    names: Vec<String>,
    classes: Vec<Class>,
    taken: Counter,
    gone: Counter,
    pending: Counter,
    /// Attempts whose last byte has been written.
    pub attempts: Counter,
    /// Cache nodes in the list.
    pub members: Counter,
    /// Of these, those that the proxy avoids now.
    pub unavailable: Counter,
    /// Further attempts, by how the one before ended.
    pub retries: LabelCounter<Cause>,
    /// Refused requests, by how their last attempt ended.
    pub refusals: LabelCounter<Cause>,
    /// Failed requests, by how their last attempt ended.
    pub failures: LabelCounter<Cause>,
    /// Requests and connections that were turned away before a class was known, by reason.
    pub turned_away: LabelCounter<TurnedAway>,
    /// Attempts that were denied at their last look, by reason.
    pub denied: LabelCounter<SendDenied>,
    /// Clients' connections that ended, by reason.
    pub closes: LabelCounter<CloseCause>,
    /// Connections to nodes that ended, by reason.
    pub node_closes: LabelCounter<NodeCloseCause>,
    /// Rules that were broken.
    pub violations: LabelCounter<Violation>,
    standing: Counter,
}

impl RequestMetrics {
    /// An empty account of requests of these classes.
    pub fn new(classes: &[String]) -> Arc<Self> {
        let figures = classes.iter().map(|_| Class::default()).collect();
        Arc::new(RequestMetrics { names: classes.to_vec(), classes: figures, ..RequestMetrics::default() })
    }

    /// A request of this class has been taken; past the last class it is counted as pending alone.
    pub fn take(self: &Arc<Self>, class: usize) -> Entry {
        self.taken.one_more();
        self.pending.one_more();
        Entry { ledger: self.clone(), class, end: None }
    }

    /// The classes' names.
    pub fn classes(&self) -> &[String] {
        &self.names
    }

    /// How many requests of a class ended so.
    pub fn ended(&self, class: usize, end: RequestOutcome) -> u64 {
        self.classes.get(class).map_or(0, |c| c.count(end).get())
    }

    /// How many requests were taken.
    pub fn taken(&self) -> u64 {
        self.taken.get()
    }

    /// How many were taken and have not ended.
    pub fn pending(&self) -> u64 {
        self.pending.get()
    }

    /// How many ended since their client had gone.
    pub fn gone(&self) -> u64 {
        self.gone.get()
    }

    /// What the process answers on STATUS from now on.
    pub fn stand(&self, standing: ServingState) {
        self.standing.set(standing as u64);
    }

    /// What the process answers on STATUS.
    pub fn standing(&self) -> ServingState {
        match self.standing.get() {
            n if n == ServingState::Serving as u64 => ServingState::Serving,
            n if n == ServingState::Draining as u64 => ServingState::Draining,
            _ => ServingState::Starting,
        }
    }
}

impl Class {
    fn count(&self, end: RequestOutcome) -> &Counter {
        match end {
            RequestOutcome::Completed => &self.completed,
            RequestOutcome::Rejected => &self.rejected,
            RequestOutcome::Failed => &self.failed,
        }
    }
}

/// A request in the account. It ends when it is dropped: as was said last, or, if nothing was, since its client had gone.
#[derive(Debug)]
pub struct Entry {
    ledger: Arc<RequestMetrics>,
    class: usize,
    end: Option<RequestOutcome>,
}

impl Entry {
    /// Its final answer is known; it is pending for as long as the answer is passed on.
    pub fn answered(&mut self, end: RequestOutcome) {
        self.end = Some(end);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.ledger.pending.one_less();
        match (self.end, self.ledger.classes.get(self.class)) {
            (Some(end), Some(class)) => class.count(end).one_more(),
            _ => self.ledger.gone.one_more(),
        }
    }
}
