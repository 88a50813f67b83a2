//! One subscriber's stream at the server.
//!
//! An answer is made only when the transport has room for it, from the content of the store at that time: a slow
//! subscriber gets the newest state and never a backlog, and the memory for it is its subscription and one answer.

mod delta;
mod sotw;

pub use delta::DeltaRequest;
pub use sotw::SotwRequest;

use crate::{Kind, Nanos, Resource, Store, KINDS};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Limits for one stream.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most names subscribed to of one kind.
    pub names: usize,
    /// The longest name, version or nonce, in bytes.
    pub text: usize,
    /// A delta answer ends after this many bytes of bodies; the rest follows in the next one.
    pub answer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        // Danger: a stream keeps a buffer as long as its longest answer; with a megabyte each, a thousand subscribers
        // waste a gigabyte.
        Limits { names: 4096, text: 1024, answer: 128 << 10 }
    }
}

/// Why a stream is ended. Other streams are not affected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A type that is not served, or not on this stream.
    #[error("type URL {0:?} is not served on this stream")]
    UnknownType(String),
    /// Too many names.
    #[error("more than {max_names} names of {kind:?}; subscribe to fewer, or to a collection")]
    TooManyNames {
        /// The kind.
        kind: Kind,
        /// How many are allowed.
        max_names: usize,
    },
    /// A name, a version or a nonce is too long.
    #[error("a name, version or nonce of over {0} bytes")]
    TooLong(usize),
    /// Removals that this subscriber has not received are forgotten: it has to reconnect with its versions.
    #[error("too far behind; reconnect with initial_resource_versions")]
    TooFarBehind,
}

/// An answer of the server.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The kind.
    pub kind: Kind,
    /// `version_info`, or `system_version_info` of a delta.
    pub version: String,
    /// The nonce that identifies the answer on its stream.
    pub nonce: String,
    /// New and changed resources; the whole subscription on a state-of-the-world stream.
    pub resources: Vec<Arc<Resource>>,
    /// Delta only: the names of removed resources.
    pub removed: Vec<Arc<str>>,
}

/// The status of a subscriber for one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubscriptionStatus {
    /// The last acknowledged version; empty: none.
    pub acked: String,
    /// The sequence number of the store up to which it has acknowledged.
    pub acked_seq: u64,
    /// The number of ACKs.
    pub acks: u64,
    /// The number of NACKs.
    pub nacks: u64,
    /// The error of the last NACK.
    pub last_error: String,
    /// Whether an answer awaits its acknowledgement.
    pub waiting: bool,
    /// Whether it subscribes to this kind.
    pub subscribed: bool,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request subscribes, or changes subscriptions.
    Subscribed,
    /// An ACK.
    Acked(Kind),
    /// A NACK, with its error.
    Nacked(Kind, String),
    /// It is about an answer that is not the last one.
    Stale(Kind),
}

/// An answer that awaits its acknowledgement.
#[derive(Clone, Debug)]
struct PendingAnswer {
    nonce: String,
    version: String,
    /// The position of the watch before the answer, and after it.
    position_before: u64,
    position_after: u64,
    /// The store's last change of the kind when the answer was made. Danger: changes made while the NACK is on its
    /// way are not rejected by it.
    store_seq: u64,
    /// The names sent because they were newly requested, and the removals that were delayed on purpose.
    requested: Vec<Arc<str>>,
}

/// The subscription to one kind on one stream.
#[derive(Default)]
struct Watch {
    is_started: bool,
    patterns: BTreeSet<crate::Pattern>,
    /// Everything that is subscribed to and changed up to this sequence number was sent.
    position: u64,
    pending: Option<PendingAnswer>,
    /// The nonce of the last answer that was acknowledged or rejected.
    last_nonce: String,
    /// After a NACK nothing is sent before the store has changed after this sequence number.
    rejected_at: Option<u64>,
    standing: SubscriptionStatus,
    delta: delta::DeltaState,
    sotw: sotw::SotwState,
}

/// The variant of the protocol.
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
    /// The only kind that the stream serves; `None`: all (ADS).
    only: Option<Kind>,
    limits: Limits,
    watches: [Watch; KINDS],
    answers: u64,
}

impl Stream {
    /// Creates a stream, for all kinds (ADS) or for one.
    pub fn new(variant: Variant, only: Option<Kind>, limits: Limits) -> Self {
        Stream { variant, only, limits, watches: Default::default(), answers: 0 }
    }

    /// The status of the subscriber for a kind.
    pub fn standing(&self, kind: Kind) -> SubscriptionStatus {
        let watch = &self.watches[kind as usize];
        SubscriptionStatus {
            waiting: watch.pending.is_some(),
            subscribed: !watch.patterns.is_empty(),
            ..watch.standing.clone()
        }
    }

    /// How long the subscriber has not received, or not acknowledged, a change of something that it subscribes to. 0:
    /// it is up to date.
    pub fn lag(&self, store: &Store, now: Nanos) -> Nanos {
        let behind = Kind::ORDER.iter().filter_map(|&kind| {
            let watch = &self.watches[kind as usize];
            let acked = watch.standing.acked_seq;
            let is_missing =
                store.changed(kind, acked).is_none_or(|mut c| c.any(|c| watch.matches(&c.resource.name)));
            (watch.is_started && is_missing).then(|| store.first_after(kind, acked)).flatten()
        });
        behind.min().map_or(0, |since| now.saturating_sub(since))
    }

    /// The next answer, if one is due. Call it when the transport can send one, until it returns `None`.
    ///
    /// # Errors
    /// [`StreamError::TooFarBehind`]: the stream has to be ended.
    pub fn next(&mut self, store: &Store) -> Result<Option<Answer>, StreamError> {
        if !store.is_open() {
            return Ok(None);
        }
        // Make before break: clusters and their endpoints go before the listeners and routes that refer to them, and
        // nothing that is referred to is removed until all of that has been acknowledged.
        for kind in Kind::ORDER {
            let watch = &mut self.watches[kind as usize];
            if let Some(draft) = watch.draft(self.variant, kind, store, &self.limits, false)? {
                return Ok(Some(self.send(kind, store, draft)));
            }
            let is_blocked =
                watch.is_started && watch.pending.is_some() && watch.has_unsent_changes(kind, store);
            if is_blocked && matches!(kind, Kind::Cluster | Kind::Endpoints) {
                // Danger: resources that refer to these must not overtake them; endpoints, which nothing refers to,
                // may.
                let watch = &mut self.watches[Kind::Endpoint as usize];
                let draft = watch.draft(self.variant, Kind::Endpoint, store, &self.limits, false)?;
                return Ok(draft.map(|draft| self.send(Kind::Endpoint, store, draft)));
            }
        }
        if self.watches.iter().any(|w| w.pending.is_some()) {
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
        let version = format!("{}/{}", store.incarnation(), draft.position_after);
        watch.pending = Some(PendingAnswer {
            nonce: nonce.clone(),
            version: version.clone(),
            position_before: watch.position,
            position_after: draft.position_after,
            store_seq: store.last(kind),
            requested: draft.requested,
        });
        watch.position = draft.position_after;
        watch.rejected_at = None;
        Answer { kind, version, nonce, resources: draft.resources, removed: draft.removed }
    }

    fn kind(&self, type_url: &str) -> Result<Kind, StreamError> {
        let kind = Kind::of(type_url).filter(|k| self.only.is_none_or(|only| only == *k));
        // A stream for one kind may omit the type.
        let kind = kind.or(self.only.filter(|_| type_url.is_empty()));
        kind.ok_or_else(|| StreamError::UnknownType(type_url.chars().take(200).collect()))
    }

    fn check_lengths<'a>(&self, mut texts: impl Iterator<Item = &'a str>) -> Result<(), StreamError> {
        match texts.any(|t| t.len() > self.limits.text) {
            true => Err(StreamError::TooLong(self.limits.text)),
            false => Ok(()),
        }
    }
}

/// An answer without its nonce.
struct Draft {
    resources: Vec<Arc<Resource>>,
    removed: Vec<Arc<str>>,
    requested: Vec<Arc<str>>,
    position_after: u64,
}

impl Watch {
    fn matches(&self, name: &str) -> bool {
        self.patterns.contains(&crate::Pattern::All)
            || self.patterns.contains(&crate::Pattern::Name(name.into()))
            || self.patterns.iter().any(|p| matches!(p, crate::Pattern::Under(_)) && p.matches(name))
    }

    /// Whether something that it subscribes to has changed since its last answer, or was newly requested.
    fn has_unsent_changes(&self, kind: Kind, store: &Store) -> bool {
        let has_requested = !self.delta.requested.is_empty() || self.sotw.is_due;
        let is_missing =
            |change: crate::store::Change<'_>| change.is_live && self.matches(&change.resource.name);
        has_requested || store.changed(kind, self.position).is_none_or(|mut changes| changes.any(is_missing))
    }

    fn draft(
        &mut self,
        variant: Variant,
        kind: Kind,
        store: &Store,
        limits: &Limits,
        may_remove_referenced: bool,
    ) -> Result<Option<Draft>, StreamError> {
        if !self.is_started || self.pending.is_some() {
            return Ok(None);
        }
        match variant {
            Variant::Delta => self.draft_delta(kind, store, limits, may_remove_referenced),
            Variant::Sotw => self.draft_sotw(kind, store, may_remove_referenced),
        }
    }

    /// Handles the ACK or NACK in a request. `None`: there is none.
    fn on_reply(&mut self, kind: Kind, nonce: &str, error: Option<&str>) -> Option<RequestOutcome> {
        // Danger: a request that names the last answer again, which has been acknowledged, is a new subscription and
        // not a stale one.
        if nonce.is_empty() || self.pending.is_none() && nonce == self.last_nonce {
            return None;
        }
        // "Resource update, acknowledgement and negative acknowledgement": a nonce other than that of the last answer
        // is stale.
        let Some(pending) = self.pending.take_if(|pending| pending.nonce == nonce) else {
            return Some(RequestOutcome::Stale(kind));
        };
        self.last_nonce = pending.nonce.clone();
        let Some(error) = error else {
            self.standing.acks += 1;
            self.standing.acked = pending.version;
            self.standing.acked_seq = pending.position_after;
            return Some(RequestOutcome::Acked(kind));
        };
        self.standing.nacks += 1;
        self.standing.last_error = error.chars().take(500).collect();
        self.rejected_at = Some(pending.store_seq);
        self.requeue(pending);
        Some(RequestOutcome::Nacked(kind, self.standing.last_error.clone()))
    }

    /// Danger: a subscriber that rejects an answer accepts nothing of it, the valid resources beside the invalid one
    /// included. All of it is sent again, with the next change.
    fn requeue(&mut self, pending: PendingAnswer) {
        self.position = pending.position_before;
        self.sotw.is_resend_due = true;
        self.delta.requested.extend(pending.requested);
    }

    /// Whether the store is unchanged since a NACK: the same answer would only be rejected again.
    fn is_waiting_for_change(&self, kind: Kind, store: &Store) -> bool {
        self.rejected_at.is_some_and(|at| store.last(kind) <= at)
    }
}
