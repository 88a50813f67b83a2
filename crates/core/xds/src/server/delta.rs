//! The incremental variant ("Incremental xDS").

use super::{Draft, Heard, Limits, Stream, StreamError, Watch};
use crate::{Kind, Pattern, Store};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A request on a delta stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaRequest {
    /// The type.
    pub type_url: String,
    /// Names subscribed to from now on.
    pub subscribe: Vec<String>,
    /// Names no longer subscribed to.
    pub unsubscribe: Vec<String>,
    /// What the subscriber holds, on the first request of a kind: versions by name.
    pub initial_versions: HashMap<String, String>,
    /// The answer that this is about; empty: none.
    pub nonce: String,
    /// Why it was refused; `None`: it was taken.
    pub error: Option<String>,
}

/// What a watch holds on a delta stream alone.
#[derive(Default)]
pub(super) struct Extra {
    /// Patterns whose names have yet to be looked up.
    new: Vec<Pattern>,
    /// Names to tell of, changed or not.
    pub(super) fresh: BTreeSet<Arc<str>>,
    /// Versions that the subscriber came with, until its first answers are made.
    held: HashMap<String, String>,
    /// Names whose removal waits until nothing refers to them.
    leaving: BTreeSet<Arc<str>>,
    /// The watch stands at the store's end: it was looked up after the store was opened.
    synced: bool,
}

impl Stream {
    /// Takes a request on a delta stream.
    ///
    /// # Errors
    /// The stream has to be ended with the error; other streams aren't touched.
    pub fn delta(&mut self, request: DeltaRequest) -> Result<Heard, StreamError> {
        let kind = self.kind(&request.type_url)?;
        let versions = request.initial_versions.iter().flat_map(|(n, v)| [n.as_str(), v.as_str()]);
        let names = request.subscribe.iter().chain(&request.unsubscribe).map(String::as_str);
        self.fits(names.chain(versions).chain([request.nonce.as_str()]))?;
        let most = self.limits.names;
        let too_many = StreamError::TooManyNames { kind, most };
        // A subscriber may come back with all that it holds, which a collection may have brought it.
        if request.subscribe.len() > most || request.initial_versions.len() > most.saturating_mul(16) {
            return Err(too_many);
        }
        let watch = &mut self.watches[kind as usize];
        let heard = watch.reply(kind, &request.nonce, request.error.as_deref());
        let mut add: Vec<Pattern> = request.subscribe.iter().map(|n| Pattern::parse(n)).collect();
        if !watch.begun {
            watch.begun = true;
            // "How the client specifies what resources to return": the first request of a kind that names nothing
            // means all, where the kind has that.
            if add.is_empty() && kind.whole() {
                add.push(Pattern::All);
            }
            watch.delta.held = request.initial_versions;
        }
        for pattern in add {
            // A name that is subscribed to again is told of again.
            watch.patterns.insert(pattern.clone());
            watch.delta.new.push(pattern);
        }
        for name in &request.unsubscribe {
            watch.patterns.remove(&Pattern::parse(name));
            watch.delta.new.retain(|p| *p != Pattern::parse(name));
        }
        if !request.unsubscribe.is_empty() {
            let patterns = std::mem::take(&mut watch.delta.fresh);
            watch.delta.fresh = patterns.into_iter().filter(|n| watch.matches(n)).collect();
            let leaving = std::mem::take(&mut watch.delta.leaving);
            watch.delta.leaving = leaving.into_iter().filter(|n| watch.matches(n)).collect();
        }
        if watch.patterns.len() > most || watch.delta.new.len() > most {
            return Err(too_many);
        }
        Ok(heard.unwrap_or(Heard::Subscribed))
    }
}

impl Watch {
    /// Looks up what was newly subscribed to, once the store can tell.
    fn look_up(&mut self, kind: Kind, store: &Store) {
        if !self.delta.synced {
            self.delta.synced = true;
            self.at = store.seq();
            // What a collection brought the subscriber last time may be gone by now.
            let held = self.delta.held.keys();
            let known: Vec<Arc<str>> = held.filter(|n| self.matches(n)).map(|n| n.as_str().into()).collect();
            self.delta.fresh.extend(known);
        }
        for pattern in std::mem::take(&mut self.delta.new) {
            match &pattern {
                Pattern::Name(name) => drop(self.delta.fresh.insert(name.clone())),
                wide => self.delta.fresh.extend(store.names(kind, wide).cloned()),
            }
        }
    }

    pub(super) fn draft_delta(
        &mut self,
        kind: Kind,
        store: &Store,
        limits: &Limits,
        quiet: bool,
    ) -> Result<Option<Draft>, StreamError> {
        let asked_anew = !self.delta.new.is_empty();
        self.look_up(kind, store);
        if self.rests(kind, store) && !asked_anew {
            return Ok(None);
        }
        let mut draft =
            Draft { resources: Vec::new(), removed: Vec::new(), fresh: Vec::new(), after: self.at };
        let mut size = 0;
        while size < limits.answer {
            let Some(name) = self.delta.fresh.pop_first() else { break };
            let held = self.delta.held.remove(&*name);
            match store.get(kind, &name) {
                // It has that already.
                Some(resource) if held.as_deref() == Some(&*resource.version) => continue,
                Some(resource) => {
                    size += resource.body.len() + name.len();
                    draft.resources.push(resource.clone());
                }
                None if kind.referred() && held.is_some() && !quiet => {
                    self.delta.leaving.insert(name);
                    continue;
                }
                None => draft.removed.push(name.clone()),
            }
            draft.fresh.push(name);
        }
        let sent: BTreeSet<Arc<str>> = draft.fresh.iter().cloned().collect();
        // What is refused goes back to where it was, so the fresh of a refused answer are sent twice at most.
        if self.delta.fresh.is_empty() {
            // Danger: kept for good, these would be as much as the whole list for each subscriber.
            self.delta.held = HashMap::new();
            let changes = store.changed(kind, self.at).ok_or(StreamError::TooFarBehind)?;
            for change in changes {
                if size >= limits.answer {
                    break;
                }
                draft.after = change.seq;
                let name = &change.resource.name;
                if !self.matches(name) || sent.contains(name) {
                    continue;
                }
                if change.live {
                    size += change.resource.body.len() + name.len();
                    draft.resources.push(change.resource.clone());
                } else if kind.referred() && !quiet {
                    self.delta.leaving.insert(name.clone());
                } else {
                    draft.removed.push(name.clone());
                }
            }
        }
        if quiet {
            for name in std::mem::take(&mut self.delta.leaving) {
                if store.get(kind, &name).is_none() {
                    draft.fresh.push(name.clone());
                    draft.removed.push(name);
                }
            }
        }
        if draft.resources.is_empty() && draft.removed.is_empty() {
            // Nothing of it is this subscriber's.
            self.at = draft.after;
            self.standing.acked_seq = self.standing.acked_seq.max(self.at);
            return Ok(None);
        }
        Ok(Some(draft))
    }
}
