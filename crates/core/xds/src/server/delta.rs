//! The incremental variant ("Incremental xDS").

use super::{Draft, Limits, RequestOutcome, Stream, StreamError, Watch};
use crate::{Kind, Pattern, Store};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A request on a delta stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaRequest {
    /// The type.
    pub type_url: String,
    /// The names to subscribe to.
    pub subscribe: Vec<String>,
    /// The names to unsubscribe from.
    pub unsubscribe: Vec<String>,
    /// The subscriber's versions by name, on the first request of a kind.
    pub initial_versions: HashMap<String, String>,
    /// The nonce of the answer that is acknowledged; empty: none.
    pub nonce: String,
    /// Why the answer was rejected; `None`: it was accepted.
    pub error: Option<String>,
}

/// The state of a watch on a delta stream.
#[derive(Default)]
pub(super) struct DeltaState {
    /// New patterns whose names have yet to be resolved.
    new_patterns: Vec<Pattern>,
    /// The names to send, changed or not.
    pub(super) requested: BTreeSet<Arc<str>>,
    /// The versions that the subscriber reconnected with, until its first answers are made.
    client_versions: HashMap<String, String>,
    /// The names whose removal waits until nothing refers to them.
    pending_removals: BTreeSet<Arc<str>>,
    /// Whether the watch has been initialized from the store since that was opened.
    is_synced: bool,
}

impl Stream {
    /// Handles a request on a delta stream.
    ///
    /// # Errors
    /// The stream has to be ended with the error; other streams are not affected.
    pub fn delta(&mut self, request: DeltaRequest) -> Result<RequestOutcome, StreamError> {
        let kind = self.kind(&request.type_url)?;
        let versions = request.initial_versions.iter().flat_map(|(n, v)| [n.as_str(), v.as_str()]);
        let names = request.subscribe.iter().chain(&request.unsubscribe).map(String::as_str);
        self.check_lengths(names.chain(versions).chain([request.nonce.as_str()]))?;
        let max_names = self.limits.names;
        let too_many = StreamError::TooManyNames { kind, max_names };
        // A subscriber may reconnect with all its versions, most of which may come from a collection.
        if request.subscribe.len() > max_names
            || request.initial_versions.len() > max_names.saturating_mul(16)
        {
            return Err(too_many);
        }
        let watch = &mut self.watches[kind as usize];
        let outcome = watch.on_reply(kind, &request.nonce, request.error.as_deref());
        let mut add: Vec<Pattern> = request.subscribe.iter().map(|n| Pattern::parse(n)).collect();
        if !watch.is_started {
            watch.is_started = true;
            // "How the client specifies what resources to return": the first request of a kind that names nothing
            // means all, where the kind has that.
            if add.is_empty() && kind.whole() {
                add.push(Pattern::All);
            }
            watch.delta.client_versions = request.initial_versions;
        }
        for pattern in add {
            // A name that is subscribed to again is sent again.
            watch.patterns.insert(pattern.clone());
            watch.delta.new_patterns.push(pattern);
        }
        for name in &request.unsubscribe {
            watch.patterns.remove(&Pattern::parse(name));
            watch.delta.new_patterns.retain(|p| *p != Pattern::parse(name));
        }
        if !request.unsubscribe.is_empty() {
            let patterns = std::mem::take(&mut watch.delta.requested);
            watch.delta.requested = patterns.into_iter().filter(|n| watch.matches(n)).collect();
            let leaving = std::mem::take(&mut watch.delta.pending_removals);
            watch.delta.pending_removals = leaving.into_iter().filter(|n| watch.matches(n)).collect();
        }
        if watch.patterns.len() > max_names || watch.delta.new_patterns.len() > max_names {
            return Err(too_many);
        }
        Ok(outcome.unwrap_or(RequestOutcome::Subscribed))
    }
}

impl Watch {
    /// Resolves new patterns, once the store is open.
    fn resolve_patterns(&mut self, kind: Kind, store: &Store) {
        if !self.delta.is_synced {
            self.delta.is_synced = true;
            self.position = store.seq();
            // Members of a collection may have been removed since the subscriber was connected last.
            let client_names = self.delta.client_versions.keys();
            let known: Vec<Arc<str>> =
                client_names.filter(|n| self.matches(n)).map(|n| n.as_str().into()).collect();
            self.delta.requested.extend(known);
        }
        for pattern in std::mem::take(&mut self.delta.new_patterns) {
            match &pattern {
                Pattern::Name(name) => drop(self.delta.requested.insert(name.clone())),
                wide => self.delta.requested.extend(store.names(kind, wide).cloned()),
            }
        }
    }

    pub(super) fn draft_delta(
        &mut self,
        kind: Kind,
        store: &Store,
        limits: &Limits,
        may_remove_referenced: bool,
    ) -> Result<Option<Draft>, StreamError> {
        let has_new_patterns = !self.delta.new_patterns.is_empty();
        self.resolve_patterns(kind, store);
        if self.is_waiting_for_change(kind, store) && !has_new_patterns {
            return Ok(None);
        }
        let mut draft = Draft {
            resources: Vec::new(),
            removed: Vec::new(),
            requested: Vec::new(),
            position_after: self.position,
        };
        let mut size = 0;
        while size < limits.answer {
            let Some(name) = self.delta.requested.pop_first() else { break };
            let client_version = self.delta.client_versions.remove(&*name);
            match store.get(kind, &name) {
                // The subscriber has this version.
                Some(resource) if client_version.as_deref() == Some(&*resource.version) => continue,
                Some(resource) => {
                    size += resource.body.len() + name.len();
                    draft.resources.push(resource.clone());
                }
                None if kind.referred() && client_version.is_some() && !may_remove_referenced => {
                    self.delta.pending_removals.insert(name);
                    continue;
                }
                None => draft.removed.push(name.clone()),
            }
            draft.requested.push(name);
        }
        let sent: BTreeSet<Arc<str>> = draft.requested.iter().cloned().collect();
        // After a NACK the requested names are queued again, so those of a rejected answer are sent twice at most.
        if self.delta.requested.is_empty() {
            // Danger: kept for the lifetime of the stream, these would be as large as the whole list for each
            // subscriber.
            self.delta.client_versions = HashMap::new();
            let changes = store.changed(kind, self.position).ok_or(StreamError::TooFarBehind)?;
            for change in changes {
                if size >= limits.answer {
                    break;
                }
                draft.position_after = change.seq;
                let name = &change.resource.name;
                if !self.matches(name) || sent.contains(name) {
                    continue;
                }
                if change.is_live {
                    size += change.resource.body.len() + name.len();
                    draft.resources.push(change.resource.clone());
                } else if kind.referred() && !may_remove_referenced {
                    self.delta.pending_removals.insert(name.clone());
                } else {
                    draft.removed.push(name.clone());
                }
            }
        }
        if may_remove_referenced {
            for name in std::mem::take(&mut self.delta.pending_removals) {
                if store.get(kind, &name).is_none() {
                    draft.requested.push(name.clone());
                    draft.removed.push(name);
                }
            }
        }
        if draft.resources.is_empty() && draft.removed.is_empty() {
            // None of the changes concern this subscriber.
            self.position = draft.position_after;
            self.standing.acked_seq = self.standing.acked_seq.max(self.position);
            return Ok(None);
        }
        Ok(Some(draft))
    }
}
