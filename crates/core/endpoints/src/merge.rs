//! Which of several sources of the node list wins: the proxy's own discovery, the control service, and what the
//! configuration knew at the start.
//!
//! The rules, in order, for each node:
//! 1. A statement about an older start of a node says nothing about a newer one.
//! 2. Of statements about the same start the most restrictive wins: gone, draining, ready.
//! 3. A node is sent to only while a source names it.
//! 4. A source that takes back a restriction is believed where its view is continuous (the process that made the
//!    restriction goes on speaking), where the entry is newer by the list's version, or after
//!    [`MergeLimits::hold`]. Danger: a control service that restarts, or an old one that wakes up, hands out a list
//!    from before the drain.
//! 5. What a lost source said stands, but a live source's newer word about the same start replaces it, where both
//!    have it from discovery.
//! 6. A node that a source stops naming is gone by its word where its view is continuous; another process that
//!    doesn't name it may just be older than the node, and only withdraws.
//! 7. What operators impose through the control service is applied on top, whatever start of the node it was set in, and
//!    only restricts: out of service counts as draining, a factor goes on the weight, and a node that comes back with a
//!    cold cache counts as started then. It ends by the clock, whoever can be reached.

use crate::{Endpoint, EndpointList, EndpointState, Imposed, Nanos, Pin};
use std::collections::{BTreeSet, HashMap};

/// Who says something about nodes. The order is that of precedence for addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The proxy's own discovery. An address may differ from one proxy to the next, so its own come first.
    Discovery,
    /// What the configuration knew at the start; counts until discovery's first whole list.
    Known,
    /// The control service. It decides on weights, so its own come first.
    Control,
}

const SOURCES: usize = 3;

/// A node with the version of discovery's list that it comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcedEndpoint {
    /// The node.
    pub member: Endpoint,
    /// The version of the list in which this entry was last told; 0: not told.
    pub listed: u64,
    /// The list was discovery's, so that its versions can be compared between sources.
    pub shared: bool,
    /// What operators' overrides add.
    pub imposed: Imposed,
}

/// News from one source.
#[derive(Clone, Debug)]
pub enum WatchEvent {
    /// All that the source names.
    Whole(Vec<SourcedEndpoint>),
    /// What has changed, a member in state gone included, and the ids that are no longer named.
    Changed(Vec<SourcedEndpoint>, Vec<String>),
    /// The source can't be reached; what it said stands.
    Lost,
}

/// Bounds of what is remembered.
#[derive(Clone, Copy, Debug)]
pub struct MergeLimits {
    /// How long a restriction stands against a source whose view isn't continuous.
    pub hold: Nanos,
    /// Most nodes remembered as gone or withdrawn for each source; the oldest are forgotten first.
    pub remembered: usize,
}

impl Default for MergeLimits {
    fn default() -> Self {
        MergeLimits { hold: 3_600_000_000_000, remembered: 4096 }
    }
}

/// What changed in the merged list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Nodes that are new or changed, as they are to be taken now.
    pub upserts: Vec<Endpoint>,
    /// Nodes that no list names any more, as they were.
    pub gone: Vec<Endpoint>,
}

impl Changes {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.gone.is_empty()
    }
}

/// A node of the merged list with where its state comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView<'a> {
    /// The node as it is taken.
    pub member: &'a Endpoint,
    /// The source whose word decided its state.
    pub decided: Source,
}

/// What one source says of one node.
#[derive(Clone, Debug)]
struct Said {
    member: Endpoint,
    listed: u64,
    shared: bool,
    imposed: Imposed,
    /// When the state was said first.
    at: Nanos,
    /// The view that it was said in.
    view: u64,
    /// The source still names the node; else this is a remembered restriction.
    names: bool,
    /// What the source says now, where that is not believed yet.
    doubted: Option<Box<SourcedEndpoint>>,
}

#[derive(Default)]
struct Table {
    said: HashMap<String, Said>,
    incarnation: String,
    /// Version of the last list, where lists have one.
    version: u64,
    /// Counts breaks in the source's view: another process, or a list older than the last.
    view: u64,
    lost: bool,
}

/// The merged list.
pub struct EndpointMerger {
    limits: MergeLimits,
    tables: [Table; SOURCES],
    merged: HashMap<String, (Endpoint, Source)>,
    /// When it was last told something, or the time.
    now: Nanos,
    /// When it was last told the time.
    ticked: Nanos,
}

impl EndpointMerger {
    /// No source has said anything yet.
    pub fn new(limits: MergeLimits) -> Self {
        EndpointMerger { limits, tables: Default::default(), merged: HashMap::new(), now: 0, ticked: 0 }
    }

    /// Takes a list in discovery's form from discovery, or what the configuration knew. A whole list of a lower
    /// version than the last isn't continuous: it is an old one, or discovery started anew.
    pub fn list(&mut self, source: Source, list: &EndpointList, now: Nanos) -> Changes {
        let table = &mut self.tables[source as usize];
        table.view += u64::from(list.version < table.version);
        table.version = list.version;
        let stated = |m: &Endpoint| {
            let imposed = Imposed::default();
            SourcedEndpoint { member: m.clone(), listed: list.version, shared: true, imposed }
        };
        let all: Vec<SourcedEndpoint> = list.servers.iter().map(stated).collect();
        let news = if list.full { WatchEvent::Whole(all) } else { WatchEvent::Changed(all, Vec::new()) };
        let mut changes = self.take(source, news, now);
        if source == Source::Discovery && list.full && !self.tables[Source::Known as usize].said.is_empty() {
            let ids: BTreeSet<String> =
                self.tables[Source::Known as usize].said.drain().map(|(id, _)| id).collect();
            let more = self.settle(ids);
            changes.upserts.extend(more.upserts);
            changes.gone.extend(more.gone);
        }
        changes
    }

    /// What this source had said before a restart: its version and its entries, each from the list in which it was last
    /// told. A list of a lower version that comes next is an old one, as it would have been without the restart.
    pub fn restore(
        &mut self,
        source: Source,
        version: u64,
        all: Vec<SourcedEndpoint>,
        now: Nanos,
    ) -> Changes {
        self.tables[source as usize].version = version;
        self.take(source, WatchEvent::Whole(all), now)
    }

    /// Takes news from the control service; `incarnation` names the process that speaks. The view is continuous
    /// while it stays the same.
    pub fn control(&mut self, incarnation: &str, news: WatchEvent, now: Nanos) -> Changes {
        let table = &mut self.tables[Source::Control as usize];
        if table.incarnation != incarnation {
            incarnation.clone_into(&mut table.incarnation);
            table.view += 1;
        }
        self.take(Source::Control, news, now)
    }

    /// What the control service has said so far is the present process's word as well: it has had its say, and left
    /// standing what it didn't touch. What is doubted stays so.
    pub fn confirm(&mut self) {
        let table = &mut self.tables[Source::Control as usize];
        table.said.values_mut().filter(|s| s.doubted.is_none()).for_each(|s| s.view = table.view);
    }

    /// The source can't be reached.
    pub fn lost(&mut self, source: Source) {
        self.tables[source as usize].lost = true;
    }

    /// Believes what has been doubted for [`MergeLimits::hold`] and forgets what has been remembered for as long.
    pub fn tick(&mut self, now: Nanos) -> Changes {
        let hold = self.limits.hold;
        let (before, mut touched) = (std::mem::replace(&mut self.ticked, now), BTreeSet::new());
        self.now = self.now.max(now);
        let imposed = self.tables[Source::Control as usize].said.iter();
        let ends = |said: &Said| said.imposed.next(before).is_some_and(|end| end <= now);
        touched.extend(imposed.filter(|(_, said)| ends(said)).map(|(id, _)| id.clone()));
        for table in &mut self.tables {
            table.said.retain(|id, said| {
                if now.saturating_sub(said.at) < hold {
                    return true;
                }
                if let Some(doubted) = said.doubted.take() {
                    *said = Said::new(*doubted, now, table.view);
                    touched.insert(id.clone());
                } else if !said.names {
                    touched.insert(id.clone());
                    return false;
                }
                true
            });
        }
        // Where a source was lost, another's newer word may count now.
        if self.tables.iter().any(|t| t.lost) {
            touched.extend(self.merged.keys().cloned());
        }
        self.settle(touched)
    }

    /// The merged list, in no order.
    pub fn nodes(&self) -> impl Iterator<Item = EndpointView<'_>> {
        self.merged.values().map(|(member, decided)| EndpointView { member, decided: *decided })
    }

    /// What is bound to which node. A node that no list names has no pins.
    pub fn pins(&self) -> impl Iterator<Item = (&str, &Pin)> {
        let said = self.tables[Source::Control as usize].said.iter();
        let named = said.filter(|(id, _)| self.merged.contains_key(*id));
        named.flat_map(|(id, said)| said.imposed.pins.iter().map(move |pin| (id.as_str(), pin)))
    }

    /// Whether a source can't be reached.
    pub fn is_lost(&self, source: Source) -> bool {
        self.tables[source as usize].lost
    }

    fn take(&mut self, source: Source, news: WatchEvent, now: Nanos) -> Changes {
        self.now = self.now.max(now);
        let (limits, table) = (self.limits, &mut self.tables[source as usize]);
        let mut touched = BTreeSet::new();
        let (stated, removed) = match news {
            WatchEvent::Lost => {
                table.lost = true;
                return Changes::default();
            }
            WatchEvent::Whole(all) => {
                let named: BTreeSet<&str> = all.iter().map(|s| s.member.id.as_str()).collect();
                let missing = |(id, said): (&String, &Said)| {
                    ((said.names || said.doubted.is_some()) && !named.contains(id.as_str()))
                        .then(|| id.clone())
                };
                let missing: Vec<String> = table.said.iter().filter_map(missing).collect();
                (all, missing)
            }
            WatchEvent::Changed(changed, removed) => (changed, removed),
        };
        table.lost = false;
        for id in removed {
            table.remove(&id, now);
            touched.insert(id);
        }
        for one in stated {
            touched.insert(one.member.id.clone());
            table.say(one, now, limits.hold);
        }
        table.forget(limits.remembered, &mut touched);
        self.settle(touched)
    }

    /// Works out the merged state of some nodes, and what changed by it.
    fn settle(&mut self, ids: BTreeSet<String>) -> Changes {
        let mut changes = Changes::default();
        for id in ids {
            let now = self.decide(&id);
            let before = self.merged.get(&id).map(|(m, _)| m);
            match (now, before) {
                (None, Some(_)) => changes.gone.extend(self.merged.remove(&id).map(|(m, _)| m)),
                (None, None) => {}
                (Some((member, source)), before) => {
                    if before != Some(&member) {
                        changes.upserts.push(member.clone());
                    }
                    self.merged.insert(id, (member, source));
                }
            }
        }
        changes
    }

    fn decide(&self, id: &str) -> Option<(Endpoint, Source)> {
        let order = [Source::Discovery, Source::Known, Source::Control];
        let said: Vec<(Source, &Said)> =
            order.iter().filter_map(|s| Some((*s, self.tables[*s as usize].said.get(id)?))).collect();
        // Rule 1.
        let newest = said.iter().map(|(_, s)| s.member.started).max()?;
        let mut said: Vec<(Source, &Said)> =
            said.into_iter().filter(|(_, s)| s.member.started == newest).collect();
        // Rule 5.
        let live =
            said.iter().filter(|(source, s)| !self.is_lost(*source) && s.shared).map(|(_, s)| s.listed);
        let live = live.max().unwrap_or(0);
        said.retain(|(source, s)| !(self.is_lost(*source) && s.shared && s.listed < live));
        // Rule 2; the first of equals decides.
        let (decided, worst) = said
            .iter()
            .map(|(s, said)| (*s, said.member.state))
            .reduce(|worst, other| if other.1 > worst.1 { other } else { worst })?;
        // Rule 3.
        if worst == EndpointState::Gone || !said.iter().any(|(_, s)| s.names) {
            return None;
        }
        let named = || said.iter().filter(|(_, s)| s.names);
        let first = named().next().map(|(_, s)| &s.member)?;
        let control = named().find(|(s, _)| *s == Source::Control).map(|(_, s)| &s.member);
        let mut member = Endpoint {
            addr: named().find_map(|(_, s)| s.member.addr),
            state: worst,
            weight: control.unwrap_or(first).weight,
            ..first.clone()
        };
        // Rule 7.
        if let Some(imposed) = self.tables[Source::Control as usize].said.get(id).map(|s| &s.imposed) {
            if imposed.is_out(self.now) {
                member.state = member.state.max(EndpointState::Draining);
            }
            member.weight *= imposed.factor(self.now);
            member.started = member.started.max(imposed.returned(self.now));
        }
        Some((member, decided))
    }
}

impl Said {
    fn new(stated: SourcedEndpoint, at: Nanos, view: u64) -> Self {
        let names = stated.member.state != EndpointState::Gone;
        let SourcedEndpoint { member, listed, shared, imposed } = stated;
        Said { member, listed, shared, imposed, at, view, names, doubted: None }
    }
}

impl Table {
    fn say(&mut self, new: SourcedEndpoint, now: Nanos, hold: Nanos) {
        let view = self.view;
        let Some(old) = self.said.get_mut(&new.member.id) else {
            self.said.insert(new.member.id.clone(), Said::new(new, now, view));
            return;
        };
        let continuous = old.view == view;
        let newer = new.listed > old.listed && old.listed > 0;
        let believed = if new.member.started == old.member.started {
            new.member.state >= old.member.state || newer || continuous
        } else {
            new.member.started > old.member.started || newer && continuous
        };
        if believed || now.saturating_sub(old.at) >= hold {
            let same = (new.member.started, new.member.state) == (old.member.started, old.member.state);
            let at = if same { old.at } else { now };
            *old = Said::new(new, at, view);
        } else {
            // Operators' word is no matter of the list's age.
            old.imposed = new.imposed.clone();
            old.doubted = Some(Box::new(new));
        }
    }

    fn remove(&mut self, id: &str, now: Nanos) {
        let Some(said) = self.said.get_mut(id) else { return };
        said.names = false;
        said.doubted = None;
        if said.view == self.view {
            said.member.state = EndpointState::Gone;
            said.at = now;
        } else if said.member.state == EndpointState::Ready {
            self.said.remove(id);
        }
    }

    /// Danger: nodes that come and go under ever new ids would be remembered without end.
    fn forget(&mut self, most: usize, touched: &mut BTreeSet<String>) {
        let remembered = self.said.values().filter(|s| !s.names).count();
        if remembered <= most {
            return;
        }
        let mut old: Vec<(Nanos, String)> =
            self.said.iter().filter(|(_, s)| !s.names).map(|(id, s)| (s.at, id.clone())).collect();
        old.sort();
        for (_, id) in old.into_iter().take(remembered - most) {
            self.said.remove(&id);
            touched.insert(id);
        }
    }
}
