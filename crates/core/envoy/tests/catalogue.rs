//! The changes that a catalogue derives from declared resources, for every order in which a server may send them.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_envoy::catalogue::{Catalogue, Change, ListenerSelector, ROUTES_WAIT};
use rushquay_envoy::resource::{decode, message_of, Resource};
use rushquay_envoy::text::{encode, parse};
use rushquay_envoy::{bootstrap, Notes, Source};
use rushquay_load_assignment::{EndpointUse, NodeChange};
use rushquay_xds::Kind;
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000_000;

const DYNAMIC: &str = "
dynamic_resources:
  cds_config: {ads: {}}
  lds_config: {ads: {}}
  ads_config: {api_type: DELTA_GRPC, transport_api_version: V3, grpc_services: [{envoy_grpc: {cluster_name: xds}}]}
static_resources:
  clusters: [{name: xds, http2_protocol_options: {}, load_assignment: {cluster_name: xds, endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: 1}}}}]}]}}]
";

fn resource(kind: Kind, yaml: &str) -> Resource {
    let encoded =
        encode(message_of(kind), &parse(yaml).expect("YAML"), "", &mut Notes::default()).expect("good");
    let (name, item) = decode(kind, &encoded, &mut Notes::default()).expect("good");
    Resource { name, version: "1".into(), item, encoded }
}

fn eds(name: &str) -> Resource {
    resource(Kind::Cluster, &format!("name: {name}\ntype: EDS\neds_cluster_config: {{eds_config: {{ads: {{}}, initial_fetch_timeout: 3s}}}}"))
}

fn endpoints(name: &str, list: &[u8]) -> Resource {
    let one = |i: &u8| {
        format!("{{endpoint: {{address: {{socket_address: {{address: 127.0.0.{i}, port_value: 80}}}}}}}}")
    };
    let list: Vec<String> = list.iter().map(one).collect();
    resource(
        Kind::Endpoints,
        &format!("cluster_name: {name}\nendpoints: [{{lb_endpoints: [{}]}}]", list.join(", ")),
    )
}

fn listener() -> Resource {
    resource(Kind::Listener, "name: l\naddress: {socket_address: {address: 127.0.0.1, port_value: 80}}\nfilter_chains: [{filters: [{name: h, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager, stat_prefix: s, rds: {route_config_name: r, config_source: {ads: {}}}, http_filters: [{name: r, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.http.router.v3.Router}}]}}]}]")
}

fn routes(to: &str) -> Resource {
    resource(Kind::Route, &format!("name: r\nvirtual_hosts: [{{name: h, domains: ['*'], routes: [{{match: {{prefix: /}}, route: {{cluster: {to}}}}}]}}]"))
}

/// A catalogue, and the state of a consumer that applies its changes.
struct Harness {
    catalogue: Catalogue,
    now: u64,
    clusters: BTreeMap<String, BTreeMap<String, EndpointUse>>,
    groups: BTreeMap<String, String>,
    splits: BTreeMap<String, Vec<(String, u32)>>,
    routes: Option<BTreeSet<String>>,
}

impl Harness {
    fn new(yaml: &str) -> Self {
        let catalogue = Catalogue::new(&bootstrap(yaml).expect("good"), ListenerSelector::default(), SECOND);
        let (clusters, groups, splits) = Default::default();
        let mut harness = Harness { catalogue, now: SECOND, clusters, groups, splits, routes: None };
        harness.settle();
        harness
    }

    fn receive(&mut self, kind: Kind, resources: Vec<Resource>, removed: &[&str]) {
        let removed: Vec<String> = removed.iter().map(|r| r.to_string()).collect();
        self.catalogue.apply(&Source::Ads, kind, resources, &removed, false, self.now);
        self.settle();
    }

    fn advance_to(&mut self, until: u64) {
        while let Some(wake) = self.catalogue.wake(self.now).filter(|w| *w <= until) {
            self.now = wake.max(self.now);
            self.settle();
            if wake == until {
                break;
            }
        }
        self.now = until;
        self.settle();
    }

    fn settle(&mut self) {
        for change in self.catalogue.settle(self.now) {
            match change {
                Change::Cluster(spec) => {
                    self.clusters.entry(spec.name.to_string()).or_default();
                    self.groups.insert(spec.name.to_string(), spec.group.to_string());
                }
                Change::Nodes(name, changes) => {
                    // A cluster is reported before its nodes.
                    let nodes = self.clusters.get_mut(&*name).expect("the cluster is there");
                    for change in changes {
                        match change {
                            NodeChange::Put(n) => drop(nodes.insert(n.addr.ip().to_string(), n.standing)),
                            NodeChange::Gone(id) => nodes.retain(|ip, _| !id.contains(&format!("{ip}:"))),
                        }
                    }
                }
                Change::DropOverloads(..) => {}
                Change::Split(name, parts) => {
                    drop(self.splits.insert(
                        name.to_string(),
                        parts.into_iter().map(|(n, p)| (n.as_ref().to_owned(), p)).collect(),
                    ));
                }
                Change::Routes(table) => {
                    self.routes = table.map(|t| t.clusters().into_iter().map(|c| c.to_string()).collect());
                }
                Change::Gone(name) => drop(self.clusters.remove(&*name)),
            }
        }
    }

    fn nodes(&self, name: &str) -> Option<Vec<&str>> {
        self.clusters.get(name).map(|n| n.keys().map(String::as_str).collect())
    }

    fn routed(&self) -> Vec<&str> {
        self.routes.iter().flatten().map(String::as_str).collect()
    }
}

#[test]
fn each_kind_is_requested_once_something_refers_to_it() {
    let mut harness = Harness::new(DYNAMIC);
    let all = BTreeSet::from(["*".to_owned()]);
    assert_eq!(
        (harness.catalogue.wanted(Kind::Cluster), harness.catalogue.wanted(Kind::Listener)),
        (all.clone(), all)
    );
    assert!(
        harness.catalogue.wanted(Kind::Endpoints).is_empty()
            && harness.catalogue.wanted(Kind::Route).is_empty()
    );
    harness.receive(Kind::Listener, vec![listener()], &[]);
    harness.receive(Kind::Cluster, vec![eds("a"), eds("b")], &[]);
    assert_eq!(harness.catalogue.wanted(Kind::Route), BTreeSet::from(["r".to_owned()]));
    assert_eq!(harness.catalogue.wanted(Kind::Endpoints), BTreeSet::from(["a".to_owned(), "b".to_owned()]));
    assert_eq!(harness.nodes("a"), None, "the cluster has no endpoints yet");
    harness.receive(Kind::Route, vec![routes("a")], &[]);
    assert!(harness.routes.is_none(), "the route's cluster is not active yet");
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1, 2])], &[]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.1", "127.0.0.2"]));
    assert_eq!(harness.routed(), ["a"]);
}

#[test]
fn a_cluster_becomes_active_without_endpoints_after_the_initial_fetch_timeout() {
    let mut harness = Harness::new(DYNAMIC);
    harness.receive(Kind::Cluster, vec![eds("a")], &[]);
    harness.advance_to(harness.now + 3 * SECOND - 1);
    assert_eq!(harness.nodes("a"), None);
    harness.advance_to(harness.now + 1);
    assert_eq!(harness.nodes("a"), Some(vec![]), "active without endpoints; it rejects requests");
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.1"]));
    // The catalogue does not wait for an assignment that the server reports as non-existent.
    harness.receive(Kind::Cluster, vec![eds("b")], &[]);
    harness.receive(Kind::Endpoints, vec![], &["b"]);
    assert_eq!(harness.nodes("b"), Some(vec![]));
}

#[test]
fn a_route_switched_to_an_unknown_cluster_waits_and_the_old_one_goes_on() {
    let mut harness = Harness::new(DYNAMIC);
    harness.receive(Kind::Listener, vec![listener()], &[]);
    harness.receive(Kind::Cluster, vec![eds("a")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    harness.receive(Kind::Route, vec![routes("a")], &[]);
    harness.receive(Kind::Route, vec![routes("b")], &[]);
    assert_eq!(harness.routed(), ["a"]);
    assert_eq!(harness.catalogue.missing(), BTreeSet::from(["b".into()]));
    harness.receive(Kind::Cluster, vec![eds("b")], &[]);
    assert_eq!(harness.routed(), ["a"], "the cluster has no endpoints yet");
    harness.receive(Kind::Endpoints, vec![endpoints("b", &[2])], &[]);
    assert_eq!(harness.routed(), ["b"]);
    // The wait for a cluster that never arrives is bounded.
    harness.receive(Kind::Route, vec![routes("c")], &[]);
    harness.advance_to(harness.now + ROUTES_WAIT);
    assert_eq!(harness.routed(), ["c"]);
    // Routes that are reverted while they wait change nothing.
    harness.receive(Kind::Route, vec![routes("b")], &[]);
    harness.receive(Kind::Route, vec![routes("d")], &[]);
    harness.receive(Kind::Route, vec![routes("b")], &[]);
    harness.advance_to(harness.now + ROUTES_WAIT);
    assert_eq!(harness.routed(), ["b"]);
}

#[test]
fn endpoints_that_arrive_before_their_cluster_are_requested_again() {
    let mut harness = Harness::new(DYNAMIC);
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    assert!(harness.catalogue.kept().is_empty(), "nothing refers to them");
    harness.receive(Kind::Cluster, vec![eds("a")], &[]);
    assert_eq!(harness.catalogue.wanted(Kind::Endpoints), BTreeSet::from(["a".to_owned()]));
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.1"]));
}

#[test]
fn stale_endpoints_drain_without_an_update_from_the_server() {
    let mut harness = Harness::new(DYNAMIC);
    let no_panic = "name: a\ntype: EDS\ncommon_lb_config: {healthy_panic_threshold: {value: 0}}\neds_cluster_config: {eds_config: {ads: {}}}";
    harness.receive(Kind::Cluster, vec![resource(Kind::Cluster, no_panic)], &[]);
    let list = "cluster_name: a\npolicy: {endpoint_stale_after: 5s}\nendpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: 80}}}}]}]";
    harness.receive(Kind::Endpoints, vec![resource(Kind::Endpoints, list)], &[]);
    let start = harness.now;
    harness.advance_to(start + 5 * SECOND - 1);
    assert_eq!(harness.clusters["a"]["127.0.0.1"], EndpointUse::Serves);
    harness.advance_to(start + 5 * SECOND);
    assert_eq!(harness.clusters["a"]["127.0.0.1"], EndpointUse::Drains);
    harness.receive(Kind::Endpoints, vec![resource(Kind::Endpoints, list)], &[]);
    assert_eq!(harness.clusters["a"]["127.0.0.1"], EndpointUse::Serves);
}

#[test]
fn a_renamed_cluster_takes_over_endpoints_and_routes() {
    let mut harness = Harness::new(DYNAMIC);
    harness.receive(Kind::Listener, vec![listener()], &[]);
    harness.receive(Kind::Cluster, vec![eds("old")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("old", &[1])], &[]);
    harness.receive(Kind::Route, vec![routes("old")], &[]);
    // Make before break.
    harness.receive(Kind::Cluster, vec![eds("new")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("new", &[1])], &[]);
    harness.receive(Kind::Route, vec![routes("new")], &[]);
    harness.receive(Kind::Cluster, vec![], &["old"]);
    assert_eq!(
        (harness.routed(), harness.nodes("new"), harness.nodes("old")),
        (vec!["new"], Some(vec!["127.0.0.1"]), None)
    );
    assert_eq!(harness.catalogue.wanted(Kind::Endpoints), BTreeSet::from(["new".to_owned()]));
    // Break before make: the old cluster is removed at once, the routes follow when the new one is active.
    harness.receive(Kind::Cluster, vec![eds("newer")], &["new"]);
    assert_eq!((harness.nodes("new"), harness.routed()), (None, vec!["new"]));
    harness.receive(Kind::Route, vec![routes("newer")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("newer", &[1])], &[]);
    assert_eq!((harness.routed(), harness.nodes("newer")), (vec!["newer"], Some(vec!["127.0.0.1"])));
}

/// A server need not resend unchanged endpoints when other fields of their cluster change.
#[test]
fn an_update_of_a_cluster_keeps_its_endpoints() {
    let mut harness = Harness::new(DYNAMIC);
    harness.receive(Kind::Cluster, vec![eds("a")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1, 2])], &[]);
    let other = "name: a\ntype: EDS\nconnect_timeout: 1s\nmetadata: {filter_metadata: {rushquay: {dedup_group: g}}}\neds_cluster_config: {eds_config: {ads: {}}}";
    harness.receive(Kind::Cluster, vec![resource(Kind::Cluster, other)], &[]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.1", "127.0.0.2"]));
    assert_eq!(harness.groups["a"], "g");
    // After a change of the service name the old endpoints stay until the new ones arrive.
    let moved = "name: a\ntype: EDS\neds_cluster_config: {service_name: s, eds_config: {ads: {}}}";
    harness.receive(Kind::Cluster, vec![resource(Kind::Cluster, moved)], &[]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.1", "127.0.0.2"]));
    harness.receive(Kind::Endpoints, vec![endpoints("s", &[3])], &[]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.3"]));
    // The server has lost its state after a broken stream: known endpoints stay.
    harness.receive(Kind::Endpoints, vec![], &["s"]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.3"]));
}

#[test]
fn removing_a_listener_removes_its_routes() {
    let mut harness = Harness::new(DYNAMIC);
    harness.receive(Kind::Listener, vec![listener()], &[]);
    harness.receive(Kind::Cluster, vec![eds("a")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    harness.receive(Kind::Route, vec![routes("a")], &[]);
    assert_eq!(harness.routed(), ["a"]);
    harness.receive(Kind::Listener, vec![], &["l"]);
    assert_eq!(harness.routes, None);
    harness.receive(Kind::Listener, vec![listener()], &[]);
    assert_eq!(harness.routes, None, "its routes are requested again");
    harness.receive(Kind::Route, vec![routes("a")], &[]);
    assert_eq!(harness.routed(), ["a"]);
}

#[test]
fn static_resources_cannot_be_replaced() {
    let yaml = DYNAMIC.replace("clusters: [", "clusters: [{name: a, load_assignment: {cluster_name: a, endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: 127.0.0.9, port_value: 1}}}}]}]}}, ");
    let mut harness = Harness::new(&yaml);
    harness.receive(Kind::Cluster, vec![eds("a")], &[]);
    harness.receive(Kind::Cluster, vec![], &["a"]);
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.9"]));
    harness.catalogue.apply(&Source::Ads, Kind::Cluster, vec![], &[], true, harness.now);
    harness.settle();
    assert_eq!(harness.nodes("a"), Some(vec!["127.0.0.9"]), "nor removed by a full list without it");
}

#[test]
fn an_aggregate_follows_the_health_of_its_clusters_and_origin_nodes_are_included() {
    let mut harness = Harness::new(DYNAMIC);
    let aggregate = "name: both\nlb_policy: CLUSTER_PROVIDED\ncluster_type: {name: envoy.clusters.aggregate, typed_config: {'@type': type.googleapis.com/envoy.extensions.clusters.aggregate.v3.ClusterConfig, clusters: [near, far]}}";
    let near = "name: near\ntype: EDS\nmetadata: {filter_metadata: {rushquay: {origin: db}}}\neds_cluster_config: {eds_config: {ads: {}}}";
    harness.receive(
        Kind::Cluster,
        vec![resource(Kind::Cluster, aggregate), resource(Kind::Cluster, near), eds("far"), eds("db")],
        &[],
    );
    harness.receive(Kind::Endpoints, vec![endpoints("far", &[2])], &[]);
    assert_eq!(harness.splits["both"], [("near".into(), 0), ("far".into(), 100)], "near is not active yet");
    harness.receive(Kind::Endpoints, vec![endpoints("near", &[1]), endpoints("db", &[8])], &[]);
    assert_eq!(harness.splits["both"], [("near".into(), 100), ("far".into(), 0)]);
    assert_eq!(harness.nodes("near"), Some(vec!["127.0.0.1", "127.0.0.8"]), "the origin is among its nodes");
    harness.receive(Kind::Endpoints, vec![endpoints("db", &[7])], &[]);
    assert_eq!(harness.nodes("near"), Some(vec!["127.0.0.1", "127.0.0.7"]));
    harness.receive(Kind::Cluster, vec![], &["near"]);
    assert_eq!(harness.splits["both"], [("near".into(), 0), ("far".into(), 100)]);
    harness.receive(Kind::Cluster, vec![], &["far"]);
    assert_eq!(harness.splits["both"], [("near".into(), 0), ("far".into(), 0)]);
}

/// Aggregates that refer to one another must not cause endless recursion.
#[test]
fn cyclic_aggregates_terminate() {
    let mut harness = Harness::new(DYNAMIC);
    let one = |name: &str, of: &str| {
        resource(Kind::Cluster, &format!("name: {name}\ncluster_type: {{name: x, typed_config: {{'@type': type.googleapis.com/envoy.extensions.clusters.aggregate.v3.ClusterConfig, clusters: [{of}]}}}}"))
    };
    harness.receive(Kind::Cluster, vec![one("a", "b"), one("b", "a, c"), eds("c")], &[]);
    harness.receive(Kind::Endpoints, vec![endpoints("c", &[1])], &[]);
    assert_eq!(harness.splits["a"], [("c".into(), 100)]);
}

#[derive(Clone, Debug)]
enum Step {
    Cluster(u8),
    RemoveCluster(u8),
    Endpoints(u8, Vec<u8>),
    Routes(u8),
    Listener(bool),
    Wait(u8),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(0xca7a), failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of updates, a consumer of the changes ends up with the declared state.
    #[test]
    fn changes_converge_to_the_declared_state(steps in prop::collection::vec(prop_oneof![
        (0u8..4).prop_map(Step::Cluster),
        (0u8..4).prop_map(Step::RemoveCluster),
        (0u8..4, prop::collection::btree_set(1u8..6, 0..4)).prop_map(|(n, l)| Step::Endpoints(n, l.into_iter().collect())),
        (0u8..4).prop_map(Step::Routes),
        any::<bool>().prop_map(Step::Listener),
        (0u8..6).prop_map(Step::Wait),
    ], 0..40)) {
        let mut harness = Harness::new(DYNAMIC);
        let mut clusters: BTreeMap<String, Option<Vec<u8>>> = BTreeMap::new();
        let mut routed: Option<u8> = None;
        let mut listens = false;
        for step in steps {
            match step {
                Step::Cluster(n) => {
                    clusters.entry(format!("c{n}")).or_default();
                    harness.receive(Kind::Cluster, vec![eds(&format!("c{n}"))], &[]);
                }
                Step::RemoveCluster(n) => {
                    clusters.remove(&format!("c{n}"));
                    harness.receive(Kind::Cluster, vec![], &[&format!("c{n}")]);
                }
                // A server sends only what was subscribed to.
                Step::Endpoints(n, list) if clusters.contains_key(&format!("c{n}")) => {
                    clusters.insert(format!("c{n}"), Some(list.clone()));
                    harness.receive(Kind::Endpoints, vec![endpoints(&format!("c{n}"), &list)], &[]);
                }
                Step::Endpoints(..) => {}
                Step::Routes(n) if listens => {
                    routed = Some(n);
                    harness.receive(Kind::Route, vec![routes(&format!("c{n}"))], &[]);
                }
                Step::Routes(_) => {}
                Step::Listener(there) => {
                    if !there {
                        routed = None;
                    }
                    listens = there;
                    let (put, gone) = if there { (vec![listener()], vec![]) } else { (vec![], vec!["l"]) };
                    harness.receive(Kind::Listener, put, &gone);
                }
                Step::Wait(s) => harness.advance_to(harness.now + u64::from(s) * SECOND),
            }
        }
        harness.advance_to(harness.now + 20 * SECOND);
        let declared: BTreeMap<String, Vec<String>> = clusters.iter()
            .map(|(n, list)| (n.clone(), list.iter().flatten().map(|i| format!("127.0.0.{i}")).collect()))
            .collect();
        let applied: BTreeMap<String, Vec<String>> = harness.clusters.iter().map(|(n, l)| (n.clone(), l.keys().cloned().collect())).collect();
        prop_assert_eq!(applied, declared);
        prop_assert!(harness.clusters.values().flat_map(|c| c.values()).all(|s| *s == EndpointUse::Serves));
        let routed: Vec<String> = routed.iter().map(|n| format!("c{n}")).collect();
        prop_assert_eq!(harness.routed(), routed.iter().map(String::as_str).collect::<Vec<_>>());
    }
}
