//! Request accounting: each request is counted exactly once when it ends, each attempt once it is fully written.

use crate::{Cause, ClockOffsets, LabelCounter, NodeCloseCause, StatementSource, TurnedAway};
use rushquay_invariants::{CloseCause, SendDenied, Violation};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// How an accepted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Completed,
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
}

/// A number that one thread updates and any thread may read.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets the value.
    pub fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    /// Increments the value by one.
    pub fn one_more(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn one_less(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state that a process reports on STATUS.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// Not ready to serve yet.
    Starting,
    /// Ready to serve.
    Serving,
    /// Shutting down gracefully.
    Draining,
}

/// Outcome counters of one request class.
#[derive(Debug, Default)]
struct ClassCounters {
    completed: Counter,
    rejected: Counter,
    failed: Counter,
}

/// The metrics of one process, starting at zero. Threads other than the proxy's may read them at any time.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    class_names: Vec<String>,
    classes: Vec<ClassCounters>,
    taken: Counter,
    client_gone: Counter,
    pending: Counter,
    /// Attempts whose last byte has been written.
    pub attempts: Counter,
    /// Cache nodes in the endpoint list.
    pub members: Counter,
    /// Of these, the ones that the proxy avoids at present.
    pub unavailable: Counter,
    /// Retries, by how the preceding attempt ended.
    pub retries: LabelCounter<Cause>,
    /// Rejected requests, by how their last attempt ended.
    pub refusals: LabelCounter<Cause>,
    /// Failed requests, by how their last attempt ended.
    pub failures: LabelCounter<Cause>,
    /// Requests and connections that were rejected before the request's class was known, by reason.
    pub turned_away: LabelCounter<TurnedAway>,
    /// Attempts denied by the final check before their first byte, by reason.
    pub denied: LabelCounter<SendDenied>,
    /// Closed client connections, by reason.
    pub closes: LabelCounter<CloseCause>,
    /// Closed upstream connections, by reason.
    pub node_closes: LabelCounter<NodeCloseCause>,
    /// Violated invariants, by rule.
    pub violations: LabelCounter<Violation>,
    /// Restrictions of endpoints that are not followed, since another source states a later start, by who said them.
    pub passed_over: LabelCounter<StatementSource>,
    /// How far other machines' clocks are from this process's.
    pub clock_offsets: ClockOffsets,
    serving_state: Counter,
}

impl RequestMetrics {
    /// Creates empty metrics for requests of these classes.
    pub fn new(classes: &[String]) -> Arc<Self> {
        let counters = classes.iter().map(|_| ClassCounters::default()).collect();
        Arc::new(RequestMetrics {
            class_names: classes.to_vec(),
            classes: counters,
            ..RequestMetrics::default()
        })
    }

    /// Records that a request of `class` was accepted. With an index past the last class it has no outcome counters: when it
    /// ends, it is counted with the requests whose client had gone.
    pub fn take(self: &Arc<Self>, class: usize) -> Entry {
        self.taken.one_more();
        self.pending.one_more();
        Entry { metrics: self.clone(), class, outcome: None }
    }

    /// Names of the request classes.
    pub fn classes(&self) -> &[String] {
        &self.class_names
    }

    /// Number of requests of `class` that ended with `outcome`.
    pub fn ended(&self, class: usize, outcome: RequestOutcome) -> u64 {
        self.classes.get(class).map_or(0, |counters| counters.count(outcome).get())
    }

    /// Number of accepted requests.
    pub fn taken(&self) -> u64 {
        self.taken.get()
    }

    /// Number of accepted requests that have not ended.
    pub fn pending(&self) -> u64 {
        self.pending.get()
    }

    /// Number of requests that ended because their client had gone.
    pub fn gone(&self) -> u64 {
        self.client_gone.get()
    }

    /// Sets the state reported on STATUS.
    pub fn stand(&self, state: ServingState) {
        self.serving_state.set(state as u64);
    }

    /// The state reported on STATUS.
    pub fn standing(&self) -> ServingState {
        match self.serving_state.get() {
            state if state == ServingState::Serving as u64 => ServingState::Serving,
            state if state == ServingState::Draining as u64 => ServingState::Draining,
            _ => ServingState::Starting,
        }
    }
}

impl ClassCounters {
    fn count(&self, outcome: RequestOutcome) -> &Counter {
        match outcome {
            RequestOutcome::Completed => &self.completed,
            RequestOutcome::Rejected => &self.rejected,
            RequestOutcome::Failed => &self.failed,
        }
    }
}

/// An accepted request. Dropping it counts the request's end: with the outcome recorded last, or, if none was recorded, as
/// one whose client had gone.
#[derive(Debug)]
pub struct Entry {
    metrics: Arc<RequestMetrics>,
    class: usize,
    outcome: Option<RequestOutcome>,
}

impl Entry {
    /// Records the final outcome; the request stays pending while its response is being forwarded.
    pub fn answered(&mut self, outcome: RequestOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.metrics.pending.one_less();
        match (self.outcome, self.metrics.classes.get(self.class)) {
            (Some(outcome), Some(class)) => class.count(outcome).one_more(),
            _ => self.metrics.client_gone.one_more(),
        }
    }
}
