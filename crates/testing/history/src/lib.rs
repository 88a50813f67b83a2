//! Books of what clients asked and got, what a proxy sent to which node, what nodes ran and what the proxy was told; and
//! the [`History::check`] that holds them against the four rules. It believes nothing that the proxy says of itself: all
//! entries are made by the ends, or by taps on the way.
#![forbid(unsafe_code)]

mod check;

use std::collections::BTreeMap;

/// A point in time or a span, in nanoseconds. All entries are by one clock.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MILLI: Nanos = 1_000_000;

/// May a request run again?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// As often as one likes.
    Safe,
    /// Nodes drop repeats of its token for a while.
    Keyed,
    /// At most once.
    Unsafe,
}

/// A final answer, as a client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200.
    Served,
    /// 429 or 503: trying again is harmless.
    Refused,
    /// Anything else.
    Failed,
}

/// Something that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A client's request was written whole to the proxy.
    Asked {
        /// Its correlation id.
        id: String,
        /// What a repeat of it does.
        effect: Effect,
        /// For so long the client waits, in nanoseconds.
        within: Nanos,
    },
    /// A whole answer came from the proxy, on its side of any fault.
    Final {
        /// The request.
        id: String,
        /// What it says.
        answer: Answer,
        /// Who made it, where it was served: the node's name stands in its body.
        by: Option<String>,
    },
    /// The client's own side broke: nothing is owed to it any more.
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
    /// A node ran it, and did not drop it as a repeat.
    Ran {
        /// The request.
        id: String,
        /// The node.
        node: String,
    },
    /// The proxy was told that the node takes nothing new.
    Drained {
        /// The node.
        node: String,
    },
    /// The proxy was told that it does again.
    Ready {
        /// The node.
        node: String,
    },
}

/// What is still no breach. Danger: the proxy's own figures are exact; what is seen of it passes through a kernel and a
/// scheduler that may be busy with other tests.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Beyond a client's time, in nanoseconds.
    pub late: Nanos,
    /// From being told of a drain to the last byte of new work, in nanoseconds: the rule's grace and what is allowed
    /// beyond it.
    pub drain: Nanos,
    /// Between a final answer and an attempt that was sent before it and seen after it, in nanoseconds.
    pub crossing: Nanos,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Violation {
    /// No request is lost.
    #[error("{0} has no final answer")]
    Unanswered(String),
    /// One final answer.
    #[error("{0} has {1} final answers")]
    Answers(String, usize),
    /// In time.
    #[error("{id} was answered {} ms after its client had gone", .by / MILLI)]
    Late {
        /// The request.
        id: String,
        /// How late, in nanoseconds.
        by: Nanos,
    },
    /// After that nothing more goes out for it.
    #[error("{id} was sent to {node} {} ms after its final answer", .by / MILLI)]
    SentAfterFinal {
        /// The request.
        id: String,
        /// Where to.
        node: String,
        /// How long after, in nanoseconds.
        by: Nanos,
    },
    /// No effect happens twice.
    #[error("{0} ran {1} times")]
    Doubled(String, usize),
    /// A refusal tells that it has not run.
    #[error("{0} was refused and has run at {1}")]
    RefusedAfterRun(String, String),
    /// An answer counts only if a node made it for this request.
    #[error("{0} was served by {1}, which never ran it")]
    Forged(String, String),
    /// Drains are kept.
    #[error("{id} was sent to {node} {} ms after it was told to drain", .by / MILLI)]
    SentToDrained {
        /// The request.
        id: String,
        /// Where to.
        node: String,
        /// How long after, in nanoseconds.
        by: Nanos,
    },
    /// Nothing is made up.
    #[error("{0} was sent to {1}, and no client asked for it")]
    Unasked(String, String),
}

/// What was seen of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    requests: BTreeMap<String, Request>,
    /// By node: when it was told to drain, and when to serve again.
    told: BTreeMap<String, Vec<(Nanos, bool)>>,
    entries: usize,
}

#[derive(Clone, Debug, Default)]
struct Request {
    asked: Option<(Nanos, Effect, Nanos)>,
    finals: Vec<(Nanos, Answer, Option<String>)>,
    excused: bool,
    sent: Vec<(Nanos, String)>,
    ran: Vec<(Nanos, String)>,
}

fn of(requests: &mut BTreeMap<String, Request>, id: String) -> &mut Request {
    requests.entry(id).or_default()
}

impl History {
    /// Enters something that was seen at this time. Entries may come in any order.
    pub fn record(&mut self, at: Nanos, entry: Entry) {
        self.entries += 1;
        let requests = &mut self.requests;
        match entry {
            Entry::Asked { id, effect, within } => of(requests, id).asked = Some((at, effect, within)),
            Entry::Final { id, answer, by } => of(requests, id).finals.push((at, answer, by)),
            Entry::Excused { id } => of(requests, id).excused = true,
            Entry::Sent { id, node } => of(requests, id).sent.push((at, node)),
            Entry::Ran { id, node } => of(requests, id).ran.push((at, node)),
            Entry::Drained { node } => self.told.entry(node).or_default().push((at, true)),
            Entry::Ready { node } => self.told.entry(node).or_default().push((at, false)),
        }
    }

    /// How many entries were made.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// How many requests were asked and not excused, and how many final answers of each kind they had: served, refused,
    /// failed.
    pub fn counts(&self) -> (usize, [usize; 3]) {
        let mut answers = [0; 3];
        let owed = self.requests.values().filter(|r| r.asked.is_some() && !r.excused);
        let owed = owed.inspect(|r| r.finals.iter().for_each(|(_, a, _)| answers[*a as usize] += 1));
        (owed.count(), answers)
    }

    /// The longest that a request waited for its final answer beyond its client's time, in nanoseconds; 0 where none did.
    pub fn latest(&self) -> Nanos {
        let late = |r: &Request| {
            let (asked, _, within) = r.asked.filter(|_| !r.excused)?;
            let at = r.finals.iter().map(|(at, ..)| *at).min()?;
            Some(at.saturating_sub(asked + within))
        };
        self.requests.values().filter_map(late).max().unwrap_or(0)
    }

    /// How many requests this node ran.
    pub fn ran_at(&self, node: &str) -> usize {
        self.requests.values().flat_map(|r| &r.ran).filter(|(_, n)| n == node).count()
    }
}
