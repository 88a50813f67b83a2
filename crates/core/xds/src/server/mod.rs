//! One subscriber's stream at the server.
//!
//! An answer is made only when the transport has room for it, from what the store holds then: a subscriber that reads
//! slowly gets the newest state and never a backlog, and what is held for it is its subscription and one answer.

mod delta;
mod sotw;

pub use delta::DeltaRequest;
pub use sotw::SotwRequest;

use crate::{Kind, Nanos, Resource, Store, KINDS};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Bounds for one stream.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most names subscribed to of one kind.
    pub names: usize,
    /// A name, a version or a nonce is at most this long, in bytes.
    pub text: usize,
    /// A delta answer is cut after so many bytes of bodies; the rest follows in the next one.
    pub answer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        // Danger: a stream keeps a buffer as long as its longest answer; a megabyte each for a thousand subscribers is a
        // gigabyte that nobody uses.
        Limits { names: 4096, text: 1024, answer: 128 << 10 }
    }
}

/// Why a stream is ended. It is this peer's alone; others go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A type that isn't served, or another one than this stream's.
    #[error("type URL {0:?} is not served on this stream")]
    UnknownType(String),
    /// Too many names.
    #[error("more than {most} names of {kind:?}; subscribe to fewer, or to a collection")]
    TooManyNames {
        /// Of which kind.
        kind: Kind,
        /// How many are allowed.
        most: usize,
    },
    /// A name, a version or a nonce is too long.
    #[error("a name, version or nonce of over {0} bytes")]
    TooLong(usize),
    /// Removals that this subscriber has not heard of are forgotten: it has to come back with what it holds.
    #[error("too far behind; reconnect with initial_resource_versions")]
    TooFarBehind,
}

/// What a server sends.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The kind.
    pub kind: Kind,
    /// `version_info`, or `system_version_info` of a delta.
    pub version: String,
    /// Identifies the answer on its stream.
    pub nonce: String,
    /// What is new or changed; the whole subscription of a state-of-the-world stream.
    pub resources: Vec<Arc<Resource>>,
    /// Delta alone: what is gone.
    pub removed: Vec<Arc<str>>,
}

/// What is known of a subscriber for one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Version last acknowledged; empty: none.
    pub acked: String,
    /// Up to which sequence number of the store it has acknowledged.
    pub acked_seq: u64,
    /// Answers acknowledged.
    pub acks: u64,
    /// Answers refused.
    pub nacks: u64,
    /// What was said with the last refusal.
    pub last_error: String,
    /// An answer is out.
    pub waiting: bool,
    /// It subscribes to this kind.
    pub subscribed: bool,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A subscription, or a change of one.
    Subscribed,
    /// An answer was taken.
    Acked(Kind),
    /// An answer was refused, with what was said.
    Nacked(Kind, String),
    /// About an answer that isn't the last one.
    Stale(Kind),
}

/// An answer that is out.
#[derive(Clone, Debug)]
struct Out {
    nonce: String,
    version: String,
    /// Where the watch stood before the answer, and after it.
    before: u64,
    after: u64,
    /// The store's last change of the kind when it was made. Danger: what changes while the refusal is on its way is
    /// not refused by it.
    made_at: u64,
    /// What was sent because it was newly subscribed to, and what was removed on purpose late.
    fresh: Vec<Arc<str>>,
}

/// One kind on one stream.
#[derive(Default)]
struct Watch {
    begun: bool,
    patterns: BTreeSet<crate::Pattern>,
    /// All that is subscribed to and changed up to here was sent.
    at: u64,
    out: Option<Out>,
    /// The answer that was taken or refused last.
    replied: String,
    /// After a refusal nothing goes out before the store has changed from here.
    refused_at: Option<u64>,
    standing: Standing,
    delta: delta::Extra,
    sotw: sotw::Extra,
}

/// Which variant a stream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// State-of-the-world.
    Sotw,
    /// Incremental.
    Delta,
}

/// One stream.
pub struct Stream {
    variant: Variant,
    /// The only kind that the stream may ask for; `None`: all (ADS).
    only: Option<Kind>,
    limits: Limits,
    watches: [Watch; KINDS],
    answers: u64,
}

impl Stream {
    /// A new stream, for all kinds (ADS) or for one.
    pub fn new(variant: Variant, only: Option<Kind>, limits: Limits) -> Self {
        Stream { variant, only, limits, watches: Default::default(), answers: 0 }
    }

    /// What is known of the subscriber for each kind.
    pub fn standing(&self, kind: Kind) -> Standing {
        let watch = &self.watches[kind as usize];
        Standing {
            waiting: watch.out.is_some(),
            subscribed: !watch.patterns.is_empty(),
            ..watch.standing.clone()
        }
    }

    /// For how long the subscriber has lacked, or not acknowledged, something that it subscribes to. 0: it has all.
    pub fn lag(&self, store: &Store, now: Nanos) -> Nanos {
        let behind = Kind::ORDER.iter().filter_map(|&kind| {
            let watch = &self.watches[kind as usize];
            let acked = watch.standing.acked_seq;
            let lacks =
                store.changed(kind, acked).is_none_or(|mut c| c.any(|c| watch.matches(&c.resource.name)));
            (watch.begun && lacks).then(|| store.first_after(kind, acked)).flatten()
        });
        behind.min().map_or(0, |since| now.saturating_sub(since))
    }

    /// The next answer, if one is due. Call it when the transport can take one, until it gives none.
    ///
    /// # Errors
    /// [`StreamError::TooFarBehind`]: the stream has to be ended.
    pub fn next(&mut self, store: &Store) -> Result<Option<Answer>, StreamError> {
        if !store.is_open() {
            return Ok(None);
        }
        // Make before break: clusters and their endpoints ahead of the listeners and routes that name them, and
        // nothing that is named goes until all of that has been taken.
        for kind in Kind::ORDER {
            let watch = &mut self.watches[kind as usize];
            if let Some(draft) = watch.draft(self.variant, kind, store, &self.limits, false)? {
                return Ok(Some(self.send(kind, store, draft)));
            }
            let held = watch.begun && watch.out.is_some() && watch.owes(kind, store);
            if held && matches!(kind, Kind::Cluster | Kind::Endpoints) {
                // Danger: what refers to these must not overtake them; endpoints, which nothing refers to, may.
                let watch = &mut self.watches[Kind::Endpoint as usize];
                let draft = watch.draft(self.variant, Kind::Endpoint, store, &self.limits, false)?;
                return Ok(draft.map(|draft| self.send(Kind::Endpoint, store, draft)));
            }
        }
        if self.watches.iter().any(|w| w.out.is_some()) {
            return Ok(None);
        }
        for kind in Kind::ORDER.into_iter().rev() {
            let watch = &mut self.watches[kind as usize];
            if let Some(draft) = watch.draft(self.variant, kind, store, &self.limits, true)? {
                return Ok(Some(self.send(kind, store, draft)));
            }
        }
        Ok(None)
    }

    fn send(&mut self, kind: Kind, store: &Store, draft: Draft) -> Answer {
        self.answers += 1;
        let nonce = self.answers.to_string();
        let watch = &mut self.watches[kind as usize];
        let version = format!("{}/{}", store.incarnation(), draft.after);
        watch.out = Some(Out {
            nonce: nonce.clone(),
            version: version.clone(),
            before: watch.at,
            after: draft.after,
            made_at: store.last(kind),
            fresh: draft.fresh,
        });
        watch.at = draft.after;
        watch.refused_at = None;
        Answer { kind, version, nonce, resources: draft.resources, removed: draft.removed }
    }

    fn kind(&self, type_url: &str) -> Result<Kind, StreamError> {
        let kind = Kind::of(type_url).filter(|k| self.only.is_none_or(|only| only == *k));
        // A stream for one kind may leave the type out.
        let kind = kind.or(self.only.filter(|_| type_url.is_empty()));
        kind.ok_or_else(|| StreamError::UnknownType(type_url.chars().take(200).collect()))
    }

    fn fits<'a>(&self, mut texts: impl Iterator<Item = &'a str>) -> Result<(), StreamError> {
        match texts.any(|t| t.len() > self.limits.text) {
            true => Err(StreamError::TooLong(self.limits.text)),
            false => Ok(()),
        }
    }
}

/// An answer before it has its nonce.
struct Draft {
    resources: Vec<Arc<Resource>>,
    removed: Vec<Arc<str>>,
    fresh: Vec<Arc<str>>,
    after: u64,
}

impl Watch {
    fn matches(&self, name: &str) -> bool {
        self.patterns.contains(&crate::Pattern::All)
            || self.patterns.contains(&crate::Pattern::Name(name.into()))
            || self.patterns.iter().any(|p| matches!(p, crate::Pattern::Under(_)) && p.matches(name))
    }

    /// Whether something that it subscribes to has changed since its last answer, or was newly asked for.
    fn owes(&self, kind: Kind, store: &Store) -> bool {
        let new = !self.delta.fresh.is_empty() || self.sotw.asked;
        let lacks = |change: crate::store::Change<'_>| change.live && self.matches(&change.resource.name);
        new || store.changed(kind, self.at).is_none_or(|mut changes| changes.any(lacks))
    }

    fn draft(
        &mut self,
        variant: Variant,
        kind: Kind,
        store: &Store,
        limits: &Limits,
        quiet: bool,
    ) -> Result<Option<Draft>, StreamError> {
        if !self.begun || self.out.is_some() {
            return Ok(None);
        }
        match variant {
            Variant::Delta => self.draft_delta(kind, store, limits, quiet),
            Variant::Sotw => self.draft_sotw(kind, store, quiet),
        }
    }

    /// Takes what a peer says of an answer. `None`: it says nothing of one.
    fn reply(&mut self, kind: Kind, nonce: &str, error: Option<&str>) -> Option<Heard> {
        // Danger: a request that names the last answer again, which has been taken, is a new subscription and not a
        // stale one.
        if nonce.is_empty() || self.out.is_none() && nonce == self.replied {
            return None;
        }
        // "Resource update, acknowledgement and negative acknowledgement": a nonce that isn't the last one's is stale.
        let Some(out) = self.out.take_if(|out| out.nonce == nonce) else { return Some(Heard::Stale(kind)) };
        self.replied = out.nonce.clone();
        let Some(error) = error else {
            self.standing.acks += 1;
            self.standing.acked = out.version;
            self.standing.acked_seq = out.after;
            return Some(Heard::Acked(kind));
        };
        self.standing.nacks += 1;
        self.standing.last_error = error.chars().take(500).collect();
        self.refused_at = Some(out.made_at);
        self.refused(out);
        Some(Heard::Nacked(kind, self.standing.last_error.clone()))
    }

    /// Danger: a subscriber that refuses an answer takes nothing of it, the good resources beside the bad one
    /// included. All of it is owed again, with the next change.
    fn refused(&mut self, out: Out) {
        self.at = out.before;
        self.sotw.owed = true;
        self.delta.fresh.extend(out.fresh);
    }

    /// After a refusal the same again would only be refused again.
    fn rests(&self, kind: Kind, store: &Store) -> bool {
        self.refused_at.is_some_and(|at| store.last(kind) <= at)
    }
}
