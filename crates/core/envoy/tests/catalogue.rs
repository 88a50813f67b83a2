//! What follows from what is declared, in every order in which a server may declare it.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_envoy::catalogue::{Catalogue, Change, Choice, ROUTES_WAIT};
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

/// A catalogue, and what who hears its changes believes.
struct World {
    catalogue: Catalogue,
    now: u64,
    clusters: BTreeMap<String, BTreeMap<String, EndpointUse>>,
    groups: BTreeMap<String, String>,
    splits: BTreeMap<String, Vec<(String, u32)>>,
    routes: Option<BTreeSet<String>>,
}

impl World {
    fn new(yaml: &str) -> Self {
        let catalogue = Catalogue::new(&bootstrap(yaml).expect("good"), Choice::default(), SECOND);
        let (clusters, groups, splits) = Default::default();
        let mut world = World { catalogue, now: SECOND, clusters, groups, splits, routes: None };
        world.settle();
        world
    }

    fn tell(&mut self, kind: Kind, resources: Vec<Resource>, removed: &[&str]) {
        let removed: Vec<String> = removed.iter().map(|r| r.to_string()).collect();
        self.catalogue.take(&Source::Ads, kind, resources, &removed, false, self.now);
        self.settle();
    }

    fn wait(&mut self, until: u64) {
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
                    // Nothing is told of a cluster before it is there.
                    let nodes = self.clusters.get_mut(&*name).expect("the cluster is there");
                    for change in changes {
                        match change {
                            NodeChange::Put(n) => drop(nodes.insert(n.addr.ip().to_string(), n.standing)),
                            NodeChange::Gone(id) => nodes.retain(|ip, _| !id.contains(&format!("{ip}:"))),
                        }
                    }
                }
                Change::Shed(..) => {}
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
fn each_kind_is_asked_for_once_something_refers_to_it() {
    let mut world = World::new(DYNAMIC);
    let all = BTreeSet::from(["*".to_owned()]);
    assert_eq!(
        (world.catalogue.wanted(Kind::Cluster), world.catalogue.wanted(Kind::Listener)),
        (all.clone(), all)
    );
    assert!(
        world.catalogue.wanted(Kind::Endpoints).is_empty() && world.catalogue.wanted(Kind::Route).is_empty()
    );
    world.tell(Kind::Listener, vec![listener()], &[]);
    world.tell(Kind::Cluster, vec![eds("a"), eds("b")], &[]);
    assert_eq!(world.catalogue.wanted(Kind::Route), BTreeSet::from(["r".to_owned()]));
    assert_eq!(world.catalogue.wanted(Kind::Endpoints), BTreeSet::from(["a".to_owned(), "b".to_owned()]));
    assert_eq!(world.nodes("a"), None, "it has no endpoints yet");
    world.tell(Kind::Route, vec![routes("a")], &[]);
    assert!(world.routes.is_none(), "its cluster is not there yet");
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1, 2])], &[]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.1", "127.0.0.2"]));
    assert_eq!(world.routed(), ["a"]);
}

#[test]
fn an_answer_that_never_comes_is_waited_for_so_long() {
    let mut world = World::new(DYNAMIC);
    world.tell(Kind::Cluster, vec![eds("a")], &[]);
    world.wait(world.now + 3 * SECOND - 1);
    assert_eq!(world.nodes("a"), None);
    world.wait(world.now + 1);
    assert_eq!(world.nodes("a"), Some(vec![]), "it goes on without endpoints, and refuses");
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.1"]));
    // One that the server says does not exist is not waited for.
    world.tell(Kind::Cluster, vec![eds("b")], &[]);
    world.tell(Kind::Endpoints, vec![], &["b"]);
    assert_eq!(world.nodes("b"), Some(vec![]));
}

#[test]
fn a_route_switched_to_an_unknown_cluster_waits_and_the_old_one_goes_on() {
    let mut world = World::new(DYNAMIC);
    world.tell(Kind::Listener, vec![listener()], &[]);
    world.tell(Kind::Cluster, vec![eds("a")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    world.tell(Kind::Route, vec![routes("a")], &[]);
    world.tell(Kind::Route, vec![routes("b")], &[]);
    assert_eq!(world.routed(), ["a"]);
    assert_eq!(world.catalogue.missing(), BTreeSet::from(["b".into()]));
    world.tell(Kind::Cluster, vec![eds("b")], &[]);
    assert_eq!(world.routed(), ["a"], "it has no endpoints yet");
    world.tell(Kind::Endpoints, vec![endpoints("b", &[2])], &[]);
    assert_eq!(world.routed(), ["b"]);
    // A cluster that never comes is not waited for without end.
    world.tell(Kind::Route, vec![routes("c")], &[]);
    world.wait(world.now + ROUTES_WAIT);
    assert_eq!(world.routed(), ["c"]);
    // And routes that are taken back meanwhile change nothing.
    world.tell(Kind::Route, vec![routes("b")], &[]);
    world.tell(Kind::Route, vec![routes("d")], &[]);
    world.tell(Kind::Route, vec![routes("b")], &[]);
    world.wait(world.now + ROUTES_WAIT);
    assert_eq!(world.routed(), ["b"]);
}

#[test]
fn endpoints_that_come_before_their_cluster_are_asked_for_again() {
    let mut world = World::new(DYNAMIC);
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    assert!(world.catalogue.kept().is_empty(), "nothing refers to them");
    world.tell(Kind::Cluster, vec![eds("a")], &[]);
    assert_eq!(world.catalogue.wanted(Kind::Endpoints), BTreeSet::from(["a".to_owned()]));
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.1"]));
}

#[test]
fn endpoints_that_grow_old_get_nothing_new_by_themselves() {
    let mut world = World::new(DYNAMIC);
    let calm = "name: a\ntype: EDS\ncommon_lb_config: {healthy_panic_threshold: {value: 0}}\neds_cluster_config: {eds_config: {ads: {}}}";
    world.tell(Kind::Cluster, vec![resource(Kind::Cluster, calm)], &[]);
    let list = "cluster_name: a\npolicy: {endpoint_stale_after: 5s}\nendpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: 127.0.0.1, port_value: 80}}}}]}]";
    world.tell(Kind::Endpoints, vec![resource(Kind::Endpoints, list)], &[]);
    let start = world.now;
    world.wait(start + 5 * SECOND - 1);
    assert_eq!(world.clusters["a"]["127.0.0.1"], EndpointUse::Serves);
    world.wait(start + 5 * SECOND);
    assert_eq!(world.clusters["a"]["127.0.0.1"], EndpointUse::Drains);
    world.tell(Kind::Endpoints, vec![resource(Kind::Endpoints, list)], &[]);
    assert_eq!(world.clusters["a"]["127.0.0.1"], EndpointUse::Serves);
}

#[test]
fn a_cluster_is_renamed() {
    let mut world = World::new(DYNAMIC);
    world.tell(Kind::Listener, vec![listener()], &[]);
    world.tell(Kind::Cluster, vec![eds("old")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("old", &[1])], &[]);
    world.tell(Kind::Route, vec![routes("old")], &[]);
    // Make before break.
    world.tell(Kind::Cluster, vec![eds("new")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("new", &[1])], &[]);
    world.tell(Kind::Route, vec![routes("new")], &[]);
    world.tell(Kind::Cluster, vec![], &["old"]);
    assert_eq!(
        (world.routed(), world.nodes("new"), world.nodes("old")),
        (vec!["new"], Some(vec!["127.0.0.1"]), None)
    );
    assert_eq!(world.catalogue.wanted(Kind::Endpoints), BTreeSet::from(["new".to_owned()]));
    // Break before make: the old one goes at once, the routes follow when the new one is there.
    world.tell(Kind::Cluster, vec![eds("newer")], &["new"]);
    assert_eq!((world.nodes("new"), world.routed()), (None, vec!["new"]));
    world.tell(Kind::Route, vec![routes("newer")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("newer", &[1])], &[]);
    assert_eq!((world.routed(), world.nodes("newer")), (vec!["newer"], Some(vec!["127.0.0.1"])));
}

/// A server need not tell endpoints again that have not changed, whatever becomes of their cluster's other fields.
#[test]
fn an_update_of_a_cluster_keeps_its_endpoints() {
    let mut world = World::new(DYNAMIC);
    world.tell(Kind::Cluster, vec![eds("a")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1, 2])], &[]);
    let other = "name: a\ntype: EDS\nconnect_timeout: 1s\nmetadata: {filter_metadata: {rushquay: {dedup_group: g}}}\neds_cluster_config: {eds_config: {ads: {}}}";
    world.tell(Kind::Cluster, vec![resource(Kind::Cluster, other)], &[]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.1", "127.0.0.2"]));
    assert_eq!(world.groups["a"], "g");
    // Another service name: the endpoints of the old one stand until the new ones come.
    let moved = "name: a\ntype: EDS\neds_cluster_config: {service_name: s, eds_config: {ads: {}}}";
    world.tell(Kind::Cluster, vec![resource(Kind::Cluster, moved)], &[]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.1", "127.0.0.2"]));
    world.tell(Kind::Endpoints, vec![endpoints("s", &[3])], &[]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.3"]));
    // The stream breaks, the server forgets: what was told stands.
    world.tell(Kind::Endpoints, vec![], &["s"]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.3"]));
}

#[test]
fn a_listener_that_goes_takes_its_routes_along() {
    let mut world = World::new(DYNAMIC);
    world.tell(Kind::Listener, vec![listener()], &[]);
    world.tell(Kind::Cluster, vec![eds("a")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("a", &[1])], &[]);
    world.tell(Kind::Route, vec![routes("a")], &[]);
    assert_eq!(world.routed(), ["a"]);
    world.tell(Kind::Listener, vec![], &["l"]);
    assert_eq!(world.routes, None);
    world.tell(Kind::Listener, vec![listener()], &[]);
    assert_eq!(world.routes, None, "its routes are asked for anew");
    world.tell(Kind::Route, vec![routes("a")], &[]);
    assert_eq!(world.routed(), ["a"]);
}

#[test]
fn what_stands_in_the_file_can_not_be_replaced() {
    let yaml = DYNAMIC.replace("clusters: [", "clusters: [{name: a, load_assignment: {cluster_name: a, endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: 127.0.0.9, port_value: 1}}}}]}]}}, ");
    let mut world = World::new(&yaml);
    world.tell(Kind::Cluster, vec![eds("a")], &[]);
    world.tell(Kind::Cluster, vec![], &["a"]);
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.9"]));
    world.catalogue.take(&Source::Ads, Kind::Cluster, vec![], &[], true, world.now);
    world.settle();
    assert_eq!(world.nodes("a"), Some(vec!["127.0.0.9"]), "nor by a whole list without it");
}

#[test]
fn an_aggregate_follows_the_health_of_its_clusters_and_an_origin_stands_behind() {
    let mut world = World::new(DYNAMIC);
    let aggregate = "name: both\nlb_policy: CLUSTER_PROVIDED\ncluster_type: {name: envoy.clusters.aggregate, typed_config: {'@type': type.googleapis.com/envoy.extensions.clusters.aggregate.v3.ClusterConfig, clusters: [near, far]}}";
    let near = "name: near\ntype: EDS\nmetadata: {filter_metadata: {rushquay: {origin: db}}}\neds_cluster_config: {eds_config: {ads: {}}}";
    world.tell(
        Kind::Cluster,
        vec![resource(Kind::Cluster, aggregate), resource(Kind::Cluster, near), eds("far"), eds("db")],
        &[],
    );
    world.tell(Kind::Endpoints, vec![endpoints("far", &[2])], &[]);
    assert_eq!(world.splits["both"], [("near".into(), 0), ("far".into(), 100)], "near is not there yet");
    world.tell(Kind::Endpoints, vec![endpoints("near", &[1]), endpoints("db", &[8])], &[]);
    assert_eq!(world.splits["both"], [("near".into(), 100), ("far".into(), 0)]);
    assert_eq!(world.nodes("near"), Some(vec!["127.0.0.1", "127.0.0.8"]), "the origin is among its nodes");
    world.tell(Kind::Endpoints, vec![endpoints("db", &[7])], &[]);
    assert_eq!(world.nodes("near"), Some(vec!["127.0.0.1", "127.0.0.7"]));
    world.tell(Kind::Cluster, vec![], &["near"]);
    assert_eq!(world.splits["both"], [("near".into(), 0), ("far".into(), 100)]);
    world.tell(Kind::Cluster, vec![], &["far"]);
    assert_eq!(world.splits["both"], [("near".into(), 0), ("far".into(), 0)]);
}

/// Aggregates that name one another must not hang anything.
#[test]
fn aggregates_in_a_circle_lead_nowhere() {
    let mut world = World::new(DYNAMIC);
    let one = |name: &str, of: &str| {
        resource(Kind::Cluster, &format!("name: {name}\ncluster_type: {{name: x, typed_config: {{'@type': type.googleapis.com/envoy.extensions.clusters.aggregate.v3.ClusterConfig, clusters: [{of}]}}}}"))
    };
    world.tell(Kind::Cluster, vec![one("a", "b"), one("b", "a, c"), eds("c")], &[]);
    world.tell(Kind::Endpoints, vec![endpoints("c", &[1])], &[]);
    assert_eq!(world.splits["a"], [("c".into(), 100)]);
}

#[derive(Clone, Debug)]
enum Step {
    Cluster(u8),
    NoCluster(u8),
    Endpoints(u8, Vec<u8>),
    Routes(u8),
    Listener(bool),
    Wait(u8),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(0xca7a), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever came before, who hears the changes knows in the end what is declared then.
    #[test]
    fn changes_lead_to_what_is_declared(steps in prop::collection::vec(prop_oneof![
        (0u8..4).prop_map(Step::Cluster),
        (0u8..4).prop_map(Step::NoCluster),
        (0u8..4, prop::collection::btree_set(1u8..6, 0..4)).prop_map(|(n, l)| Step::Endpoints(n, l.into_iter().collect())),
        (0u8..4).prop_map(Step::Routes),
        any::<bool>().prop_map(Step::Listener),
        (0u8..6).prop_map(Step::Wait),
    ], 0..40)) {
        let mut world = World::new(DYNAMIC);
        let mut clusters: BTreeMap<String, Option<Vec<u8>>> = BTreeMap::new();
        let mut routed: Option<u8> = None;
        let mut listens = false;
        for step in steps {
            match step {
                Step::Cluster(n) => {
                    clusters.entry(format!("c{n}")).or_default();
                    world.tell(Kind::Cluster, vec![eds(&format!("c{n}"))], &[]);
                }
                Step::NoCluster(n) => {
                    clusters.remove(&format!("c{n}"));
                    world.tell(Kind::Cluster, vec![], &[&format!("c{n}")]);
                }
                // A server tells what was asked for.
                Step::Endpoints(n, list) if clusters.contains_key(&format!("c{n}")) => {
                    clusters.insert(format!("c{n}"), Some(list.clone()));
                    world.tell(Kind::Endpoints, vec![endpoints(&format!("c{n}"), &list)], &[]);
                }
                Step::Endpoints(..) => {}
                Step::Routes(n) if listens => {
                    routed = Some(n);
                    world.tell(Kind::Route, vec![routes(&format!("c{n}"))], &[]);
                }
                Step::Routes(_) => {}
                Step::Listener(there) => {
                    if !there {
                        routed = None;
                    }
                    listens = there;
                    let (put, gone) = if there { (vec![listener()], vec![]) } else { (vec![], vec!["l"]) };
                    world.tell(Kind::Listener, put, &gone);
                }
                Step::Wait(s) => world.wait(world.now + u64::from(s) * SECOND),
            }
        }
        world.wait(world.now + 20 * SECOND);
        let declared: BTreeMap<String, Vec<String>> = clusters.iter()
            .map(|(n, list)| (n.clone(), list.iter().flatten().map(|i| format!("127.0.0.{i}")).collect()))
            .collect();
        let believed: BTreeMap<String, Vec<String>> = world.clusters.iter().map(|(n, l)| (n.clone(), l.keys().cloned().collect())).collect();
        prop_assert_eq!(believed, declared);
        prop_assert!(world.clusters.values().flat_map(|c| c.values()).all(|s| *s == EndpointUse::Serves));
        let routed: Vec<String> = routed.iter().map(|n| format!("c{n}")).collect();
        prop_assert_eq!(world.routed(), routed.iter().map(String::as_str).collect::<Vec<_>>());
    }
}
