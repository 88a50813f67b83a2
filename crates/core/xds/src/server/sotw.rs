//! The state-of-the-world variant.

use super::{Draft, Heard, Stream, StreamError, Watch};
use crate::{Kind, Pattern, Resource, Store};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A request on a state-of-the-world stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SotwRequest {
    /// The type.
    pub type_url: String,
    /// The version last taken; told, not used: on a new stream all is sent again.
    pub version: String,
    /// All names subscribed to.
    pub names: Vec<String>,
    /// The answer that this is about; empty on the first request of a kind.
    pub nonce: String,
    /// Why it was refused; `None`: it was taken.
    pub error: Option<String>,
}

/// What a watch holds on a state-of-the-world stream alone.
#[derive(Default)]
pub(super) struct Extra {
    /// Something was newly asked for: an answer is due, changed or not.
    pub(super) asked: bool,
    /// The last answer was refused: all of it is owed, with the next change.
    pub(super) owed: bool,
    /// Removed resources that still stand in the answers, until nothing refers to them.
    leaving: BTreeSet<Arc<str>>,
    /// Something has been sent.
    sent: bool,
}

impl Stream {
    /// Takes a request on a state-of-the-world stream.
    ///
    /// # Errors
    /// The stream has to be ended with the error; other streams aren't touched.
    pub fn sotw(&mut self, request: SotwRequest) -> Result<Heard, StreamError> {
        let kind = self.kind(&request.type_url)?;
        if kind == Kind::Endpoint {
            // Collections are part of the incremental variant alone ("LEDS").
            return Err(StreamError::UnknownType(request.type_url));
        }
        let names = request.names.iter().map(String::as_str);
        self.fits(names.chain([request.nonce.as_str(), request.version.as_str()]))?;
        if request.names.len() > self.limits.names {
            return Err(StreamError::TooManyNames { kind, most: self.limits.names });
        }
        let watch = &mut self.watches[kind as usize];
        let heard = watch.reply(kind, &request.nonce, request.error.as_deref());
        if let Some(Heard::Stale(_)) = heard {
            // An answer is on its way, and this request doesn't know of it; the request that will follow that answer
            // names all that is wanted then.
            if watch.begun {
                return Ok(Heard::Stale(kind));
            }
        }
        let mut patterns: BTreeSet<Pattern> = request.names.iter().map(|n| Pattern::parse(n)).collect();
        // "How the client specifies what resources to return": no names mean all, until names have been given.
        let named_before = watch.begun && !watch.patterns.contains(&Pattern::All);
        if patterns.is_empty() && kind.whole() && !named_before {
            patterns.insert(Pattern::All);
        }
        let first = !watch.begun;
        watch.begun = true;
        watch.sotw.asked |= first || patterns.iter().any(|p| !watch.patterns.contains(p));
        watch.patterns = patterns;
        Ok(heard.unwrap_or(Heard::Subscribed))
    }
}

impl Watch {
    pub(super) fn draft_sotw(
        &mut self,
        kind: Kind,
        store: &Store,
        quiet: bool,
    ) -> Result<Option<Draft>, StreamError> {
        if self.rests(kind, store) && !self.sotw.asked {
            return Ok(None);
        }
        let mut due = self.sotw.asked || self.sotw.owed;
        let after = store.last(kind).max(self.at);
        match store.changed(kind, self.at) {
            // Each answer is whole, so what has been forgotten doesn't matter.
            None => due = true,
            Some(changes) => {
                let mut removed = Vec::new();
                for change in changes.filter(|c| self.matches(&c.resource.name)) {
                    // Where an answer isn't the whole, one that lacks a name says nothing.
                    due |= change.live || kind.whole();
                    if !change.live && kind.whole() && kind.referred() && self.sotw.sent {
                        removed.push(change.resource.name.clone());
                    }
                }
                self.sotw.leaving.extend(removed);
            }
        }
        if quiet {
            due |= !self.sotw.leaving.is_empty();
            self.sotw.leaving.clear();
        }
        if !due {
            self.at = after;
            self.standing.acked_seq = self.standing.acked_seq.max(after);
            return Ok(None);
        }
        let mut names: BTreeSet<Arc<str>> = BTreeSet::new();
        for pattern in &self.patterns {
            names.extend(store.names(kind, pattern).cloned());
        }
        let mut resources: Vec<Arc<Resource>> =
            names.iter().filter_map(|n| store.get(kind, n).cloned()).collect();
        let leaving = self.sotw.leaving.iter().filter(|n| !names.contains(*n));
        resources.extend(leaving.filter_map(|n| store.last_of(kind, n).cloned()));
        (self.sotw.asked, self.sotw.owed) = (false, false);
        if resources.is_empty() && !kind.whole() {
            // "Knowing when a requested resource does not exist": it is not answered until there is something.
            self.at = after;
            return Ok(None);
        }
        self.sotw.sent = true;
        Ok(Some(Draft { resources, removed: Vec::new(), fresh: Vec::new(), after }))
    }
}
