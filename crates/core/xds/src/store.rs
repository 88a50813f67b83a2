//! The resources that a server declares, with their versions and the order of their last changes.

use crate::{Kind, Nanos, Pattern, KINDS};
use bytes::Bytes;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::ops::Bound;
use std::sync::Arc;

/// A declared resource; the body is an encoded message of the kind's type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// The name.
    pub name: Arc<str>,
    /// The version: a digest of the body's content. Danger: a counter starts over with the process, and the same
    /// number would then be two contents; a subscriber that reconnects would be treated as up to date.
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

/// The version of a content, from a text that has all of it in one order. Danger: encoded messages can't serve as
/// that text, since protobuf writes the entries of a map in any order, and each encoding would count as a change.
pub fn version_of(content: &[u8]) -> Arc<str> {
    let mut hasher = SipHasher13::new();
    hasher.write(content);
    format!("{:016x}", hasher.finish128().h1).into()
}

/// A resource, live or removed, and its last change.
struct Slot {
    seq: u64,
    changed_at: Nanos,
    is_live: bool,
    resource: Arc<Resource>,
}

#[derive(Default)]
struct TypeTable {
    slots: BTreeMap<Arc<str>, Slot>,
    by_seq: BTreeMap<u64, Arc<str>>,
    /// Removals up to this sequence number are forgotten.
    forgotten_up_to: u64,
    removed: usize,
    /// The sequence number of the last change.
    last: u64,
}

/// All resources of a server. Each change gets the next sequence number; a name is in the order of changes once, at
/// its last change, so the cost of an update depends on what changed and not on the number of resources.
pub struct Store {
    tables: [TypeTable; KINDS],
    seq: u64,
    is_open: bool,
    incarnation: Arc<str>,
    max_removed: usize,
}

/// A change, from [`Store::changed`].
pub(crate) struct Change<'a> {
    pub seq: u64,
    pub is_live: bool,
    pub resource: &'a Arc<Resource>,
}

impl Store {
    /// Creates an empty store, which serves nothing before [`Store::open`]. `incarnation` names this process in every
    /// answer; of each kind at most `max_removed` removed names are remembered.
    pub fn new(incarnation: &str, max_removed: usize) -> Self {
        Store {
            tables: Default::default(),
            seq: 0,
            is_open: false,
            incarnation: incarnation.into(),
            max_removed,
        }
    }

    /// Declares the content complete. Danger: an empty store that answers would remove every endpoint from every
    /// subscriber that reconnects after a restart.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// Whether the store was opened.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// The incarnation of the process that declares.
    pub fn incarnation(&self) -> &Arc<str> {
        &self.incarnation
    }

    /// The sequence number of the last change of any kind; 0: none yet.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The sequence number of the last change of a kind.
    pub fn last(&self, kind: Kind) -> u64 {
        self.tables[kind as usize].last
    }

    /// Sets a resource; returns false where its version is unchanged.
    pub fn set(&mut self, kind: Kind, name: &str, declared: Declared, now: Nanos) -> bool {
        let table = &mut self.tables[kind as usize];
        let Declared { version, body } = declared;
        let name = match table.slots.get(name) {
            Some(slot) if slot.is_live && slot.resource.version == version => return false,
            Some(slot) => slot.resource.name.clone(),
            None => Arc::from(name),
        };
        let resource = Arc::new(Resource { name, version, body });
        self.seq += 1;
        table.put(self.seq, Slot { seq: self.seq, changed_at: now, is_live: true, resource });
        true
    }

    /// Removes a resource; returns false where there is none.
    pub fn remove(&mut self, kind: Kind, name: &str, now: Nanos) -> bool {
        let table = &mut self.tables[kind as usize];
        let Some(slot) = table.slots.get(name).filter(|s| s.is_live) else { return false };
        let resource = slot.resource.clone();
        self.seq += 1;
        table.put(self.seq, Slot { seq: self.seq, changed_at: now, is_live: false, resource });
        table.forget_oldest_removals(self.max_removed);
        true
    }

    /// Declares all resources of a kind: sets these and removes the others. Returns the number of changes.
    pub fn declare(&mut self, kind: Kind, all: BTreeMap<String, Declared>, now: Nanos) -> usize {
        let gone: Vec<Arc<str>> =
            self.names(kind, &Pattern::All).filter(|n| !all.contains_key::<str>(n)).cloned().collect();
        let set = all.into_iter().filter(|(name, one)| self.set(kind, name, one.clone(), now)).count();
        set + gone.iter().filter(|name| self.remove(kind, name, now)).count()
    }

    /// A live resource.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.tables[kind as usize].slots.get(name).filter(|s| s.is_live).map(|s| &s.resource)
    }

    /// The last content of a resource, removed or not.
    pub(crate) fn last_of(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.tables[kind as usize].slots.get(name).map(|s| &s.resource)
    }

    /// The names of live resources that a pattern matches.
    pub fn names<'a>(&'a self, kind: Kind, pattern: &'a Pattern) -> impl Iterator<Item = &'a Arc<str>> + 'a {
        let slots = &self.tables[kind as usize].slots;
        let from: &str = match pattern {
            Pattern::All => "",
            Pattern::Under(start) | Pattern::Name(start) => start,
        };
        slots
            .range::<str, _>((Bound::Included(from), Bound::Unbounded))
            .take_while(move |(name, _)| name.starts_with(from))
            .filter(move |(name, slot)| slot.is_live && pattern.matches(name))
            .map(|(name, _)| name)
    }

    /// The changes after a sequence number, in order; `None` when removals since then have been forgotten.
    pub(crate) fn changed(&self, kind: Kind, after: u64) -> Option<impl Iterator<Item = Change<'_>>> {
        let table = &self.tables[kind as usize];
        (after >= table.forgotten_up_to).then(|| {
            table.by_seq.range(after + 1..).filter_map(|(seq, name)| {
                let slot = table.slots.get(name)?;
                Some(Change { seq: *seq, is_live: slot.is_live, resource: &slot.resource })
            })
        })
    }

    /// The time of the first change of a kind after a sequence number.
    pub fn first_after(&self, kind: Kind, after: u64) -> Option<Nanos> {
        let table = &self.tables[kind as usize];
        let (_, name) = table.by_seq.range(after + 1..).next()?;
        table.slots.get(name).map(|s| s.changed_at)
    }
}

impl TypeTable {
    fn put(&mut self, seq: u64, slot: Slot) {
        let name = slot.resource.name.clone();
        self.removed += usize::from(!slot.is_live);
        if let Some(old) = self.slots.insert(name.clone(), slot) {
            self.by_seq.remove(&old.seq);
            self.removed -= usize::from(!old.is_live);
        }
        self.by_seq.insert(seq, name);
        self.last = seq;
    }

    /// Forgets the oldest removals beyond `max`; a subscriber that is behind them has to reconnect with its versions.
    fn forget_oldest_removals(&mut self, max: usize) {
        while self.removed > max {
            let oldest = self.by_seq.iter().find(|(_, n)| self.slots.get(*n).is_some_and(|s| !s.is_live));
            let Some((seq, name)) = oldest.map(|(s, n)| (*s, n.clone())) else { return };
            self.by_seq.remove(&seq);
            self.slots.remove(&name);
            self.forgotten_up_to = seq;
            self.removed -= 1;
        }
    }
}
