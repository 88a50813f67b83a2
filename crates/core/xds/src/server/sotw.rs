//! The state-of-the-world variant.

use super::{Draft, RequestOutcome, Stream, StreamError, Watch};
use crate::{Kind, Pattern, Resource, Store};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A request on a state-of-the-world stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SotwRequest {
    /// The type.
    pub type_url: String,
    /// The last accepted version; not used: on a new stream everything is sent again.
    pub version: String,
    /// All names subscribed to.
    pub names: Vec<String>,
    /// The nonce of the answer that is acknowledged; empty on the first request of a kind.
    pub nonce: String,
    /// Why the answer was rejected; `None`: it was accepted.
    pub error: Option<String>,
}

/// The state of a watch on a state-of-the-world stream.
#[derive(Default)]
pub(super) struct SotwState {
    /// Something was newly requested: an answer is due, changed or not.
    pub(super) is_due: bool,
    /// The last answer was rejected: all of it is due again, with the next change.
    pub(super) is_resend_due: bool,
    /// Removed resources that are still sent, until nothing refers to them.
    pending_removals: BTreeSet<Arc<str>>,
    /// Whether anything was sent.
    has_sent: bool,
}

impl Stream {
    /// Handles a request on a state-of-the-world stream.
    ///
    /// # Errors
    /// The stream has to be ended with the error; other streams are not affected.
    pub fn sotw(&mut self, request: SotwRequest) -> Result<RequestOutcome, StreamError> {
        let kind = self.kind(&request.type_url)?;
        if kind == Kind::Endpoint {
            // Collections are part of the incremental variant only ("LEDS").
            return Err(StreamError::UnknownType(request.type_url));
        }
        let names = request.names.iter().map(String::as_str);
        self.check_lengths(names.chain([request.nonce.as_str(), request.version.as_str()]))?;
        if request.names.len() > self.limits.names {
            return Err(StreamError::TooManyNames { kind, max_names: self.limits.names });
        }
        let watch = &mut self.watches[kind as usize];
        let outcome = watch.on_reply(kind, &request.nonce, request.error.as_deref());
        if let Some(RequestOutcome::Stale(_)) = outcome {
            // An answer is on its way that this request does not take into account; the request that follows that
            // answer names everything that is subscribed to then.
            if watch.is_started {
                return Ok(RequestOutcome::Stale(kind));
            }
        }
        let mut patterns: BTreeSet<Pattern> = request.names.iter().map(|n| Pattern::parse(n)).collect();
        // "How the client specifies what resources to return": no names mean all, until names have been given.
        let has_named_before = watch.is_started && !watch.patterns.contains(&Pattern::All);
        if patterns.is_empty() && kind.whole() && !has_named_before {
            patterns.insert(Pattern::All);
        }
        let is_first_request = !watch.is_started;
        watch.is_started = true;
        watch.sotw.is_due |= is_first_request || patterns.iter().any(|p| !watch.patterns.contains(p));
        watch.patterns = patterns;
        Ok(outcome.unwrap_or(RequestOutcome::Subscribed))
    }
}

impl Watch {
    pub(super) fn draft_sotw(
        &mut self,
        kind: Kind,
        store: &Store,
        may_remove_referenced: bool,
    ) -> Result<Option<Draft>, StreamError> {
        if self.is_waiting_for_change(kind, store) && !self.sotw.is_due {
            return Ok(None);
        }
        let mut is_due = self.sotw.is_due || self.sotw.is_resend_due;
        let position_after = store.last(kind).max(self.position);
        match store.changed(kind, self.position) {
            // Each answer is whole, so forgotten removals do not matter.
            None => is_due = true,
            Some(changes) => {
                let mut removed = Vec::new();
                for change in changes.filter(|c| self.matches(&c.resource.name)) {
                    // Where an answer is not whole, a missing name means nothing.
                    is_due |= change.is_live || kind.whole();
                    if !change.is_live && kind.whole() && kind.referred() && self.sotw.has_sent {
                        removed.push(change.resource.name.clone());
                    }
                }
                self.sotw.pending_removals.extend(removed);
            }
        }
        if may_remove_referenced {
            is_due |= !self.sotw.pending_removals.is_empty();
            self.sotw.pending_removals.clear();
        }
        if !is_due {
            self.position = position_after;
            self.standing.acked_seq = self.standing.acked_seq.max(position_after);
            return Ok(None);
        }
        let mut names: BTreeSet<Arc<str>> = BTreeSet::new();
        for pattern in &self.patterns {
            names.extend(store.names(kind, pattern).cloned());
        }
        let mut resources: Vec<Arc<Resource>> =
            names.iter().filter_map(|n| store.get(kind, n).cloned()).collect();
        let leaving = self.sotw.pending_removals.iter().filter(|n| !names.contains(*n));
        resources.extend(leaving.filter_map(|n| store.last_of(kind, n).cloned()));
        (self.sotw.is_due, self.sotw.is_resend_due) = (false, false);
        if resources.is_empty() && !kind.whole() {
            // "Knowing when a requested resource does not exist": the request is not answered before there is a
            // resource.
            self.position = position_after;
            return Ok(None);
        }
        self.sotw.has_sent = true;
        Ok(Some(Draft { resources, removed: Vec::new(), requested: Vec::new(), position_after }))
    }
}
