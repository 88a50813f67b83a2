//! Records the events of a test run and checks them against the four delivery rules.
//!
//! A [`History`] holds what clients requested and received, what a proxy sent to which node, what nodes executed, and which
//! drains the proxy was notified of; [`History::audit`] returns the [`Violation`]s. It trusts nothing that the proxy reports
//! about itself: all entries are recorded by clients and nodes, or by taps on the connections between them.
#![forbid(unsafe_code)]

mod check;

use std::collections::BTreeMap;

/// A point in time or a duration, in nanoseconds. All entries use the same clock.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MILLI: Nanos = 1_000_000;

/// Whether a request may be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Nodes drop repeats of its idempotency token for a while.
    Keyed,
    /// At most once.
    Unsafe,
}

/// A final response, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200.
    Served,
    /// 429 or 503: the request had no effect and can be retried safely.
    Refused,
    /// Any other response.
    Failed,
}

/// An observed event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A client's request was written in full to the proxy.
    Asked {
        /// Its correlation id.
        id: String,
        /// Whether it may be executed again.
        effect: Effect,
        /// How long the client waits, in nanoseconds.
        within: Nanos,
    },
    /// A complete response left the proxy, observed on the proxy's side of any injected fault.
    Final {
        /// The request.
        id: String,
        /// The kind of response.
        answer: Answer,
        /// The node that made it, if it was served: its name is in the response body.
        by: Option<String>,
    },
    /// The client's own side failed: the proxy owes it nothing any more.
    Excused {
        /// The request.
        id: String,
    },
    /// The first byte of an attempt left the proxy.
    Sent {
        /// The request.
        id: String,
        /// The node.
        node: String,
    },
    /// A node executed the request, and did not drop it as a repeat.
    Ran {
        /// The request.
        id: String,
        /// The node.
        node: String,
    },
    /// The proxy was notified that the node accepts no new work.
    Drained {
        /// The node.
        node: String,
    },
    /// The proxy was notified that the node accepts new work again.
    Ready {
        /// The node.
        node: String,
    },
}

/// Deviations that do not count as violations. Danger: the proxy's own measurements are exact, but what is observed of it
/// passes through a kernel and a scheduler that may be busy with other tests.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Time after a client's deadline, in nanoseconds.
    pub late: Nanos,
    /// Time from the notification of a drain to the last byte of new work, in nanoseconds: the grace period of the rule plus
    /// what is tolerated beyond it.
    pub drain: Nanos,
    /// Time between a final response and an attempt that was sent before it but observed after it, in nanoseconds.
    pub crossing: Nanos,
}

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Violation {
    /// No request is lost.
    #[error("{0} has no final answer")]
    Unanswered(String),
    /// There is exactly one final response.
    #[error("{0} has {1} final answers")]
    Answers(String, usize),
    /// The final response is in time.
    #[error("{id} was answered {} ms after its client had gone", .by / MILLI)]
    Late {
        /// The request.
        id: String,
        /// How late, in nanoseconds.
        by: Nanos,
    },
    /// After its final response nothing more is sent for a request.
    #[error("{id} was sent to {node} {} ms after its final answer", .by / MILLI)]
    SentAfterFinal {
        /// The request.
        id: String,
        /// The destination.
        node: String,
        /// How long after, in nanoseconds.
        by: Nanos,
    },
    /// No effect happens twice.
    #[error("{0} ran {1} times")]
    Doubled(String, usize),
    /// A rejected request has not been executed.
    #[error("{0} was refused and has run at {1}")]
    RefusedAfterRun(String, String),
    /// A response is genuine only if a node made it for this request.
    #[error("{0} was served by {1}, which never ran it")]
    Forged(String, String),
    /// Drains are respected.
    #[error("{id} was sent to {node} {} ms after it was told to drain", .by / MILLI)]
    SentToDrained {
        /// The request.
        id: String,
        /// The destination.
        node: String,
        /// How long after, in nanoseconds.
        by: Nanos,
    },
    /// Nothing is sent that no client requested.
    #[error("{0} was sent to {1}, and no client asked for it")]
    Unasked(String, String),
}

/// The events of one test run.
#[derive(Clone, Debug, Default)]
pub struct History {
    requests: BTreeMap<String, Request>,
    /// By node: the times of drain notifications (`true`) and of ready notifications (`false`).
    drain_notifications: BTreeMap<String, Vec<(Nanos, bool)>>,
    entries: usize,
}

#[derive(Clone, Debug, Default)]
struct Request {
    /// When it was written, whether it may be executed again, and how long the client waits.
    requested: Option<(Nanos, Effect, Nanos)>,
    /// When each final response came, its kind, and the node that made it.
    final_responses: Vec<(Nanos, Answer, Option<String>)>,
    is_excused: bool,
    /// When each attempt was sent, and to which node.
    sent: Vec<(Nanos, String)>,
    /// When each execution was observed, and at which node.
    executions: Vec<(Nanos, String)>,
}

fn request_mut(requests: &mut BTreeMap<String, Request>, id: String) -> &mut Request {
    requests.entry(id).or_default()
}

impl History {
    /// Records an event observed at `at`. Events may be recorded in any order.
    pub fn record(&mut self, at: Nanos, entry: Entry) {
        self.entries += 1;
        let requests = &mut self.requests;
        match entry {
            Entry::Asked { id, effect, within } => {
                request_mut(requests, id).requested = Some((at, effect, within));
            }
            Entry::Final { id, answer, by } => {
                request_mut(requests, id).final_responses.push((at, answer, by));
            }
            Entry::Excused { id } => request_mut(requests, id).is_excused = true,
            Entry::Sent { id, node } => request_mut(requests, id).sent.push((at, node)),
            Entry::Ran { id, node } => request_mut(requests, id).executions.push((at, node)),
            Entry::Drained { node } => self.drain_notifications.entry(node).or_default().push((at, true)),
            Entry::Ready { node } => self.drain_notifications.entry(node).or_default().push((at, false)),
        }
    }

    /// Number of recorded events.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Number of requests that were sent by clients and not excused, and their numbers of final responses by kind: served,
    /// refused, failed.
    pub fn counts(&self) -> (usize, [usize; 3]) {
        let mut answers = [0; 3];
        let owed =
            self.requests.values().filter(|request| request.requested.is_some() && !request.is_excused);
        let owed = owed.inspect(|request| {
            request.final_responses.iter().for_each(|(_, answer, _)| answers[*answer as usize] += 1);
        });
        (owed.count(), answers)
    }

    /// The longest time after a client's deadline at which its final response came, in nanoseconds; 0 if none was late.
    pub fn latest(&self) -> Nanos {
        let lateness = |request: &Request| {
            let (requested_at, _, within) = request.requested.filter(|_| !request.is_excused)?;
            let at = request.final_responses.iter().map(|(at, ..)| *at).min()?;
            Some(at.saturating_sub(requested_at + within))
        };
        self.requests.values().filter_map(lateness).max().unwrap_or(0)
    }

    /// Number of executions at this node.
    pub fn ran_at(&self, node: &str) -> usize {
        self.requests
            .values()
            .flat_map(|request| &request.executions)
            .filter(|(_, executing_node)| executing_node == node)
            .count()
    }
}
