//! What a server declares: resources with their versions, and in what order they last changed.

use crate::{Kind, Nanos, Pattern, KINDS};
use bytes::Bytes;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::ops::Bound;
use std::sync::Arc;

/// A resource as it is handed out: the body is an encoded message of the kind's type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// Its name.
    pub name: Arc<str>,
    /// Its version: a digest of what the body says. Danger: a counter starts over with the process, and the same number would
    /// then stand for two contents; a subscriber that comes back would be told that it has all.
    pub version: Arc<str>,
    /// The encoded message.
    pub body: Bytes,
}

/// A resource to declare: its version and its encoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declared {
    /// The version, from [`version_of`].
    pub version: Arc<str>,
    /// The encoded message.
    pub body: Bytes,
}

/// The version of a content, from a text that tells all of it in one order. Danger: encoded messages don't serve,
/// since protobuf gives the entries of a map in any order, and each encoding would pass for a change.
pub fn version_of(content: &[u8]) -> Arc<str> {
    let mut hasher = SipHasher13::new();
    hasher.write(content);
    format!("{:016x}", hasher.finish128().h1).into()
}

/// A resource, live or removed, and when it last changed.
struct Slot {
    seq: u64,
    at: Nanos,
    live: bool,
    resource: Arc<Resource>,
}

#[derive(Default)]
struct TypeTable {
    slots: BTreeMap<Arc<str>, Slot>,
    by_seq: BTreeMap<u64, Arc<str>>,
    /// Removals up to here are forgotten.
    floor: u64,
    removed: usize,
    /// Sequence number of its last change.
    last: u64,
}

/// All resources of a server. Each change gets the next sequence number; a name stands in the order of changes once,
/// at its last one, so what a subscriber lacks costs what changed and not what there is.
pub struct Store {
    shelves: [TypeTable; KINDS],
    seq: u64,
    ready: bool,
    incarnation: Arc<str>,
    remembered: usize,
}

/// A change as [`Store::changed`] tells it.
pub(crate) struct Change<'a> {
    pub seq: u64,
    pub live: bool,
    pub resource: &'a Arc<Resource>,
}

impl Store {
    /// An empty store, which hands out nothing until it is [`Store::open`]. `incarnation` names this process in every
    /// answer; of each kind at most `remembered` removed names are kept.
    pub fn new(incarnation: &str, remembered: usize) -> Self {
        Store {
            shelves: Default::default(),
            seq: 0,
            ready: false,
            incarnation: incarnation.into(),
            remembered,
        }
    }

    /// From now on what stands here is the truth. Danger: an empty store that answers takes every node from every
    /// subscriber that comes back after a restart.
    pub fn open(&mut self) {
        self.ready = true;
    }

    /// Whether it was opened.
    pub fn is_open(&self) -> bool {
        self.ready
    }

    /// The process that declares.
    pub fn incarnation(&self) -> &Arc<str> {
        &self.incarnation
    }

    /// Sequence number of the last change of any kind; 0: none yet.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Sequence number of the last change of a kind.
    pub fn last(&self, kind: Kind) -> u64 {
        self.shelves[kind as usize].last
    }

    /// Sets a resource; false if it stands so already, by its version.
    pub fn set(&mut self, kind: Kind, name: &str, declared: Declared, now: Nanos) -> bool {
        let shelf = &mut self.shelves[kind as usize];
        let Declared { version, body } = declared;
        let name = match shelf.slots.get(name) {
            Some(slot) if slot.live && slot.resource.version == version => return false,
            Some(slot) => slot.resource.name.clone(),
            None => Arc::from(name),
        };
        let resource = Arc::new(Resource { name, version, body });
        self.seq += 1;
        shelf.put(self.seq, Slot { seq: self.seq, at: now, live: true, resource });
        true
    }

    /// Removes a resource; false if it isn't there.
    pub fn remove(&mut self, kind: Kind, name: &str, now: Nanos) -> bool {
        let shelf = &mut self.shelves[kind as usize];
        let Some(slot) = shelf.slots.get(name).filter(|s| s.live) else { return false };
        let resource = slot.resource.clone();
        self.seq += 1;
        shelf.put(self.seq, Slot { seq: self.seq, at: now, live: false, resource });
        shelf.forget(self.remembered);
        true
    }

    /// Declares all resources of a kind: sets these and removes the others. Returns how many changed.
    pub fn declare(&mut self, kind: Kind, all: BTreeMap<String, Declared>, now: Nanos) -> usize {
        let gone: Vec<Arc<str>> =
            self.names(kind, &Pattern::All).filter(|n| !all.contains_key::<str>(n)).cloned().collect();
        let set = all.into_iter().filter(|(name, one)| self.set(kind, name, one.clone(), now)).count();
        set + gone.iter().filter(|name| self.remove(kind, name, now)).count()
    }

    /// A live resource.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.shelves[kind as usize].slots.get(name).filter(|s| s.live).map(|s| &s.resource)
    }

    /// A resource as it last was, removed or not.
    pub(crate) fn last_of(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.shelves[kind as usize].slots.get(name).map(|s| &s.resource)
    }

    /// The names of live resources that a pattern means.
    pub fn names<'a>(&'a self, kind: Kind, pattern: &'a Pattern) -> impl Iterator<Item = &'a Arc<str>> + 'a {
        let slots = &self.shelves[kind as usize].slots;
        let from: &str = match pattern {
            Pattern::All => "",
            Pattern::Under(start) | Pattern::Name(start) => start,
        };
        slots
            .range::<str, _>((Bound::Included(from), Bound::Unbounded))
            .take_while(move |(name, _)| name.starts_with(from))
            .filter(move |(name, slot)| slot.live && pattern.matches(name))
            .map(|(name, _)| name)
    }

    /// What changed after a sequence number, in order; `None` when removals since then have been forgotten.
    pub(crate) fn changed(&self, kind: Kind, after: u64) -> Option<impl Iterator<Item = Change<'_>>> {
        let shelf = &self.shelves[kind as usize];
        (after >= shelf.floor).then(|| {
            shelf.by_seq.range(after + 1..).filter_map(|(seq, name)| {
                let slot = shelf.slots.get(name)?;
                Some(Change { seq: *seq, live: slot.live, resource: &slot.resource })
            })
        })
    }

    /// When the first change of a kind after a sequence number was made.
    pub fn first_after(&self, kind: Kind, after: u64) -> Option<Nanos> {
        let shelf = &self.shelves[kind as usize];
        let (_, name) = shelf.by_seq.range(after + 1..).next()?;
        shelf.slots.get(name).map(|s| s.at)
    }
}

impl TypeTable {
    fn put(&mut self, seq: u64, slot: Slot) {
        let name = slot.resource.name.clone();
        self.removed += usize::from(!slot.live);
        if let Some(old) = self.slots.insert(name.clone(), slot) {
            self.by_seq.remove(&old.seq);
            self.removed -= usize::from(!old.live);
        }
        self.by_seq.insert(seq, name);
        self.last = seq;
    }

    /// Forgets the oldest removals beyond `most`; who stands before them has to come back with what it holds.
    fn forget(&mut self, most: usize) {
        while self.removed > most {
            let oldest = self.by_seq.iter().find(|(_, n)| self.slots.get(*n).is_some_and(|s| !s.live));
            let Some((seq, name)) = oldest.map(|(s, n)| (*s, n.clone())) else { return };
            self.by_seq.remove(&seq);
            self.slots.remove(&name);
            self.floor = seq;
            self.removed -= 1;
        }
    }
}
