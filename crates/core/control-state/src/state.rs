//! The declared state: from the node list to clusters of nodes.

use crate::ControlConfig;
use rushquay_endpoints::{
    Changes, Endpoint, EndpointList, EndpointMerger, EndpointState, MergeLimits, Nanos, Source,
    SourcedEndpoint,
};
use rushquay_overrides::{effective_overrides, FleetCapacity, Imposed, Node, Override, SECOND};
use std::collections::BTreeMap;

/// Where the list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Discovery: its versions mean the same to everybody who follows it.
    Discovery,
    /// A file, whose versions are its own.
    File,
}

/// What has to be declared anew.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointChange {
    /// By cluster (cache nodes, origin): what is new or changed.
    pub changed: [Vec<SourcedEndpoint>; 2],
    /// What is gone, as it was.
    pub gone: [Vec<SourcedEndpoint>; 2],
}

impl EndpointChange {
    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.changed.iter().chain(&self.gone).all(Vec::is_empty)
    }
}

/// What came of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListOutcome {
    /// The first list: all has to be declared, and can be handed out from now on.
    First,
    /// What changed, perhaps nothing.
    Changed(EndpointChange),
    /// A whole list without a node, where there were some. It isn't obeyed.
    EmptyRefused,
}

/// A node for the admin page.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// The cluster that it stands in.
    pub cluster: String,
    /// The node, with the weight handed out.
    pub stated: SourcedEndpoint,
    /// When its state or start last changed here; on the caller's clock.
    pub since: Nanos,
}

/// The control service's state.
pub struct ControlState {
    config: ControlConfig,
    origin: Origin,
    merge: EndpointMerger,
    clusters: [BTreeMap<String, SourcedEndpoint>; 2],
    since: BTreeMap<String, Nanos>,
    version: Option<u64>,
    overrides: Vec<Override>,
    /// Unix time, as last told.
    wall: Nanos,
    cold_after: Nanos,
}

/// For so long a node that came back from an override is declared with it, so that a proxy that comes later spares it as
/// well.
const RETURNED: Nanos = 600 * SECOND;

impl ControlState {
    /// Knows nothing yet, and declares nothing until the first list has come.
    pub fn new(config: ControlConfig, origin: Origin) -> Self {
        let hold = config.hold_s.saturating_mul(1_000_000_000);
        let merge = EndpointMerger::new(MergeLimits { hold, remembered: config.removals });
        ControlState {
            config,
            origin,
            merge,
            clusters: Default::default(),
            since: BTreeMap::new(),
            version: None,
            overrides: Vec::new(),
            wall: 0,
            cold_after: 0,
        }
    }

    /// The settings.
    pub fn config(&self) -> &ControlConfig {
        &self.config
    }

    /// Version of the list last taken.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The nodes by cluster: cache nodes, origin.
    pub fn clusters(&self) -> [&BTreeMap<String, SourcedEndpoint>; 2] {
        [&self.clusters[0], &self.clusters[1]]
    }

    /// The names of the clusters in the same order.
    pub fn names(&self) -> [&str; 2] {
        [&self.config.cluster, &self.config.origin_cluster]
    }

    /// All nodes for the admin page.
    pub fn nodes(&self) -> Vec<NodeView> {
        let view = |(cluster, nodes): (&str, &BTreeMap<String, SourcedEndpoint>)| {
            let since = |s: &SourcedEndpoint| self.since.get(&s.member.id).copied().unwrap_or(0);
            let view = |s: &SourcedEndpoint| NodeView {
                cluster: cluster.into(),
                stated: s.clone(),
                since: since(s),
            };
            nodes.values().map(view).collect::<Vec<_>>()
        };
        self.names().into_iter().zip(self.clusters()).flat_map(view).collect()
    }

    /// Takes a list, the whole or what changed.
    pub fn list(&mut self, list: &EndpointList, now: Nanos) -> ListOutcome {
        let live = |m: &&Endpoint| m.state != EndpointState::Gone;
        let nodes_before = self.clusters.iter().map(BTreeMap::len).sum::<usize>();
        // Danger: a discovery that has just started may answer before it knows anything, and would take every node
        // from every proxy with one word.
        if list.full && nodes_before > 0 && list.servers.iter().filter(live).count() == 0 {
            return ListOutcome::EmptyRefused;
        }
        let first = self.version.is_none();
        if first && !list.full {
            // What changed says nothing without the whole.
            return ListOutcome::Changed(EndpointChange::default());
        }
        let changes = self.merge.list(Source::Discovery, list, now);
        self.version = Some(list.version);
        let change = self.apply(changes, list.version, now);
        match first {
            true => ListOutcome::First,
            false => ListOutcome::Changed(change),
        }
    }

    /// The overrides that are live at this Unix time, all of them; and from how long an outage a node comes back cold.
    pub fn impose(&mut self, overrides: Vec<Override>, wall: Nanos, cold_after: Nanos) -> EndpointChange {
        (self.overrides, self.wall, self.cold_after) = (overrides, wall, cold_after);
        let mut change = EndpointChange::default();
        for at in 0..self.clusters.len() {
            let anew: Vec<SourcedEndpoint> = self.clusters[at]
                .values()
                .map(|s| SourcedEndpoint { imposed: self.imposed(&s.member, Some(&s.imposed)), ..s.clone() })
                .collect();
            for stated in anew {
                let id = stated.member.id.clone();
                if self.clusters[at].get(&id) != Some(&stated) {
                    self.clusters[at].insert(id, stated.clone());
                    change.changed[at].push(stated);
                }
            }
        }
        change
    }

    /// What the overrides come to on a node; `before` is what they came to until now.
    fn imposed(&self, member: &Endpoint, before: Option<&Imposed>) -> Imposed {
        let node = Node { id: &member.id, kind: &member.kind, zone: &member.zone };
        let (mut imposed, _) = effective_overrides(self.overrides.iter(), &node, self.wall);
        if imposed.out == (0, 0) {
            if let Some((since, until)) = before.map(|b| b.out).filter(|out| *out != (0, 0)) {
                // Over, or lifted.
                let until = until.min(self.wall);
                if self.wall.saturating_sub(until) < RETURNED {
                    imposed.out = (since, until);
                }
            }
        }
        if !imposed.is_empty() {
            imposed.cold_after = self.cold_after;
            imposed.present = Some((imposed.is_out(self.wall), imposed.factor(self.wall)));
        }
        imposed
    }

    /// The cache nodes as guard rails see them.
    pub fn fleet(&self) -> Vec<FleetCapacity> {
        let one = |s: &SourcedEndpoint| FleetCapacity {
            id: s.member.id.clone(),
            kind: s.member.kind.clone(),
            zone: s.member.zone.clone(),
            weight: s.member.weight,
            ready: s.member.state == EndpointState::Ready,
        };
        self.clusters[0].values().map(one).collect()
    }

    /// Goes on from what was kept before a restart. Danger: told anew by the newest list, every entry would pass for
    /// changed, and the whole would go to every subscriber again; and a drain that discovery forgot as well would be over.
    pub fn restore(&mut self, version: u64, nodes: Vec<SourcedEndpoint>, now: Nanos) {
        let listed: BTreeMap<String, (u64, bool)> =
            nodes.iter().map(|s| (s.member.id.clone(), (s.listed, s.shared))).collect();
        let changes = self.merge.restore(Source::Discovery, version, nodes, now);
        self.version = Some(version);
        self.apply(changes, version, now);
        for stated in self.clusters.iter_mut().flat_map(BTreeMap::values_mut) {
            if let Some((listed, shared)) = listed.get(&stated.member.id) {
                (stated.listed, stated.shared) = (*listed, *shared);
            }
        }
    }

    /// The nodes as a restart needs them: with the weights that the list tells.
    pub fn kept(&self) -> Vec<SourcedEndpoint> {
        let stated = |member: &Endpoint| {
            let at = usize::from(member.kind == self.config.origin_kind);
            let now = self.clusters[at].get(&member.id)?;
            Some(SourcedEndpoint { member: member.clone(), ..now.clone() })
        };
        let mut all: Vec<SourcedEndpoint> = self.merge.nodes().filter_map(|v| stated(v.member)).collect();
        all.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        all
    }

    /// The list as it stands, for another that goes on from it; `None`: none was taken.
    pub fn followed(&self) -> Option<EndpointList> {
        let servers = self.kept().into_iter().map(|s| s.member).collect();
        Some(EndpointList { version: self.version?, full: true, servers })
    }

    /// Lets what has been held for long enough go.
    pub fn tick(&mut self, now: Nanos) -> EndpointChange {
        let changes = self.merge.tick(now);
        let version = self.version.unwrap_or(0);
        self.apply(changes, version, now)
    }

    fn apply(&mut self, changes: Changes, version: u64, now: Nanos) -> EndpointChange {
        let mut change = EndpointChange::default();
        for gone in changes.gone {
            for (nodes, gone_here) in self.clusters.iter_mut().zip(&mut change.gone) {
                gone_here.extend(nodes.remove(&gone.id));
            }
            self.since.remove(&gone.id);
        }
        for member in changes.upserts {
            let factor = self.config.weights.get(&member.kind).copied().unwrap_or(1.0);
            // Danger: a weight that is no number, or none at all, would make every sum over the cluster one.
            let weight =
                if member.weight.is_finite() { (member.weight * factor).clamp(1e-6, 1e6) } else { factor };
            let at = usize::from(member.kind == self.config.origin_kind);
            let before = self.clusters.iter().find_map(|nodes| nodes.get(&member.id)).map(|s| &s.imposed);
            let imposed = self.imposed(&member, before);
            let stated = SourcedEndpoint {
                member: Endpoint { weight, ..member },
                listed: version,
                shared: self.origin == Origin::Discovery,
                imposed,
            };
            let id = stated.member.id.clone();
            let moved = self.clusters[1 - at].remove(&id);
            change.gone[1 - at].extend(moved);
            let state = |s: &SourcedEndpoint| (s.member.state, s.member.started);
            let before = self.clusters[at].insert(id.clone(), stated.clone());
            if before.as_ref().map(state) != Some(state(&stated)) {
                self.since.insert(id, now);
            }
            // A node that moved to another zone stands there under another name.
            change.gone[at].extend(before.filter(|b| b.member.zone != stated.member.zone));
            change.changed[at].push(stated);
        }
        change
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(version: u64, full: bool, nodes: &str) -> EndpointList {
        let text = format!(r#"{{"version":{version},"full":{full},"servers":[{nodes}]}}"#);
        serde_json::from_str(&text).expect("a list")
    }

    fn node(id: &str, state: &str, more: &str) -> String {
        format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","zone":"z","kind":"k","state":"{state}"{more}}}"#)
    }

    fn control() -> ControlState {
        let weights = [("slow".to_owned(), 0.5)].into();
        ControlState::new(ControlConfig { weights, ..ControlConfig::default() }, Origin::Discovery)
    }

    #[test]
    fn nothing_is_declared_before_the_first_whole_list() {
        let mut c = control();
        assert_eq!(
            c.list(&list(4, false, &node("a", "gone", "")), 0),
            ListOutcome::Changed(EndpointChange::default())
        );
        assert_eq!(c.version(), None);
        assert_eq!(c.list(&list(5, true, &node("a", "ready", "")), 0), ListOutcome::First);
    }

    #[test]
    fn an_empty_list_does_not_take_every_node_away() {
        let mut c = control();
        c.list(&list(5, true, &node("a", "ready", "")), 0);
        assert_eq!(c.list(&list(6, true, ""), 1), ListOutcome::EmptyRefused);
        assert_eq!(c.clusters()[0].len(), 1);
    }

    #[test]
    fn an_old_list_does_not_undo_a_drain() {
        let mut c = control();
        c.list(&list(5, true, &node("a", "ready", "")), 0);
        c.list(&list(6, false, &node("a", "draining", "")), 1);
        c.list(&list(3, true, &node("a", "ready", "")), 2);
        assert_eq!(c.clusters()[0]["a"].member.state, EndpointState::Draining);
        c.list(&list(7, true, &node("a", "ready", "")), 3);
        assert_eq!(c.clusters()[0]["a"].member.state, EndpointState::Ready);
    }

    #[test]
    fn a_restart_goes_on_where_it_was() {
        let mut before = control();
        before.list(&list(5, true, &format!("{},{}", node("a", "ready", ""), node("b", "ready", ""))), 0);
        before.list(&list(6, false, &node("b", "draining", "")), 1);
        before.list(&list(7, false, &node("c", "ready", r#","weight":2"#)), 1);
        let mut after = control();
        after.restore(before.version().expect("a version"), before.kept(), 9);
        assert_eq!(after.clusters(), before.clusters());
        assert_eq!(after.kept(), before.kept());
        // The same list again changes nothing, an old one brings no drain back, a newer one does.
        let all = |b: &str| {
            format!(
                "{},{},{}",
                node("a", "ready", ""),
                node("b", b, ""),
                node("c", "ready", r#","weight":2"#)
            )
        };
        assert_eq!(
            after.list(&list(7, true, &all("draining")), 10),
            ListOutcome::Changed(EndpointChange::default())
        );
        after.list(&list(5, true, &all("ready")), 11);
        assert_eq!(after.clusters()[0]["b"].member.state, EndpointState::Draining);
        after.list(&list(8, true, &all("ready")), 12);
        assert_eq!(after.clusters()[0]["b"].member.state, EndpointState::Ready);
    }

    #[test]
    fn the_origin_is_a_cluster_of_its_own_and_kinds_have_their_weights() {
        let mut c = control();
        let slow = r#"{"id":"s","addr":"127.0.0.1:1","kind":"slow","state":"ready","weight":2}"#;
        let origin = r#"{"id":"o","addr":"127.0.0.1:1","kind":"origin","state":"ready"}"#;
        c.list(&list(5, true, &format!("{slow},{origin}")), 0);
        assert_eq!(c.clusters()[0]["s"].member.weight, 1.0);
        assert_eq!(c.clusters()[1].keys().collect::<Vec<_>>(), ["o"]);
        // One that turns out to be of another kind leaves the cluster that it stood in.
        let now = slow.replace("slow", "origin");
        let ListOutcome::Changed(change) = c.list(&list(6, false, &now), 1) else { panic!("not the first") };
        assert_eq!((change.gone[0].len(), change.changed[1].len(), c.clusters()[0].len()), (1, 1, 0));
    }
}
