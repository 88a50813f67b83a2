//! The account that each request passes through exactly once at its end, and each attempt when it has been written whole.

use crate::{Cause, NodeCloseCause, Tally, TurnedAway};
use rushquay_invariants::{CloseCause, SendDenied, Violation};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// How a request that was taken ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was served.
    Completed,
    /// It was refused.
    Rejected,
    /// It was failed.
    Failed,
}

/// A number that one thread moves and others read.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
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
pub enum Standing {
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
    completed: Count,
    rejected: Count,
    failed: Count,
}

/// The account of one process, from 0 at its start. Threads other than the proxy's read it at any time.
#[derive(Debug, Default)]
pub struct Ledger {
    names: Vec<String>,
    classes: Vec<Class>,
    taken: Count,
    gone: Count,
    pending: Count,
    /// Attempts whose last byte has been written.
    pub attempts: Count,
    /// Cache nodes in the list.
    pub members: Count,
    /// Of these, those that the proxy avoids now.
    pub unavailable: Count,
    /// Further attempts, by how the one before ended.
    pub retries: Tally<Cause>,
    /// Refused requests, by how their last attempt ended.
    pub refusals: Tally<Cause>,
    /// Failed requests, by how their last attempt ended.
    pub failures: Tally<Cause>,
    /// Requests and connections that were turned away before a class was known, by reason.
    pub turned_away: Tally<TurnedAway>,
    /// Attempts that were denied at their last look, by reason.
    pub denied: Tally<SendDenied>,
    /// Clients' connections that ended, by reason.
    pub closes: Tally<CloseCause>,
    /// Connections to nodes that ended, by reason.
    pub node_closes: Tally<NodeCloseCause>,
    /// Rules that were broken.
    pub violations: Tally<Violation>,
    standing: Count,
}

impl Ledger {
    /// An empty account of requests of these classes.
    pub fn new(classes: &[String]) -> Arc<Self> {
        let figures = classes.iter().map(|_| Class::default()).collect();
        Arc::new(Ledger { names: classes.to_vec(), classes: figures, ..Ledger::default() })
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
    pub fn ended(&self, class: usize, end: End) -> u64 {
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
    pub fn stand(&self, standing: Standing) {
        self.standing.set(standing as u64);
    }

    /// What the process answers on STATUS.
    pub fn standing(&self) -> Standing {
        match self.standing.get() {
            n if n == Standing::Serving as u64 => Standing::Serving,
            n if n == Standing::Draining as u64 => Standing::Draining,
            _ => Standing::Starting,
        }
    }
}

impl Class {
    fn count(&self, end: End) -> &Count {
        match end {
            End::Completed => &self.completed,
            End::Rejected => &self.rejected,
            End::Failed => &self.failed,
        }
    }
}

/// A request in the account. It ends when it is dropped: as was said last, or, if nothing was, since its client had gone.
#[derive(Debug)]
pub struct Entry {
    ledger: Arc<Ledger>,
    class: usize,
    end: Option<End>,
}

impl Entry {
    /// Its final answer is known; it is pending for as long as the answer is passed on.
    pub fn answered(&mut self, end: End) {
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
