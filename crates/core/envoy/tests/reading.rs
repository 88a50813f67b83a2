//! What is accepted and what is rejected, with which path, for YAML and the wire format.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_envoy::resource::{decode, file, message_of, Item};
use rushquay_envoy::text::{encode, parse, show};
use rushquay_envoy::{bootstrap, fields, wire, Members, Notes, Source, BOOTSTRAP};
use rushquay_load_assignment::Health;
use rushquay_xds::Kind;

const EXAMPLE: &str = include_str!("../../../../examples/envoy/bootstrap.yaml");

fn encoded(kind: Kind, yaml: &str) -> Result<Vec<u8>, String> {
    let json = parse(yaml).map_err(|e| e.to_string())?;
    encode(message_of(kind), &json, "", &mut Notes::default()).map_err(|e| e.to_string())
}

fn read(kind: Kind, yaml: &str) -> Result<Item, String> {
    let body = encoded(kind, yaml)?;
    decode(kind, &body, &mut Notes::default()).map(|(_, item)| item).map_err(|e| e.to_string())
}

/// The error text; panics if the resource is accepted.
fn error_of(kind: Kind, yaml: &str) -> String {
    match read(kind, yaml) {
        Ok(item) => panic!("it was accepted: {item:?}"),
        Err(e) => e,
    }
}

#[test]
fn the_example_bootstrap_is_parsed() {
    let read = bootstrap(EXAMPLE).expect("good");
    let names: Vec<&str> = read.clusters.iter().map(|(c, _)| &*c.name).collect();
    assert_eq!(names, ["cache-nodes", "cache-trial", "plant-db"]);
    let (nodes, _) = &read.clusters[0];
    assert_eq!(nodes.origin.as_deref(), Some("plant-db"));
    assert_eq!((nodes.rules.sharing.panic, nodes.rules.sharing.by_locality), (40.0, true));
    assert_eq!(nodes.limits.map(|l| (l[0].requests, l[0].retries, l[1].requests)), Some((500, 3, u32::MAX)));
    let Members::Static(assignment) = &nodes.members else { panic!("not static") };
    let weights: Vec<u32> = assignment.endpoints().map(|(_, e)| e.weight.get()).collect();
    assert_eq!(weights, [3, 1, 1, 1]);
    assert_eq!(
        read.notes.ignored.iter().map(|(p, _)| p.rsplit('.').next().unwrap_or_default()).collect::<Vec<_>>(),
        ["stat_prefix"]
    );
    assert_eq!(read.admin.map(|a| a.port()), Some(19901));
    assert!(read.node.windows(11).any(|w| w == b"gandhinagar"));
}

#[test]
fn unsupported_fields_are_refused_with_their_path() {
    for (yaml, path) in [
        ("name: a\nlb_subset_config: {fallback_policy: ANY_ENDPOINT}", "lb_subset_config: refused"),
        ("name: a\nunheard_of: 1", "unheard_of: no field"),
        ("name: a\ntype: LOGICAL_DNS", "type: LOGICAL_DNS"),
        ("name: a\ntype: EDS", "eds_cluster_config: missing"),
        ("name: a\ntype: EDS\neds_cluster_config: {eds_config: {api_config_source: {api_type: REST}}}", "eds_cluster_config.eds_config.api_config_source: refused"),
        ("name: a\ntype: EDS\neds_cluster_config: {eds_config: {ads: {}, resource_api_version: V2}}", "eds_cluster_config.eds_config.resource_api_version"),
        ("name: a\nconnect_timeout: 0s\nload_assignment: {cluster_name: a}", "connect_timeout: 0"),
        ("name: a\nconnect_timeout: soon", "connect_timeout: expected seconds"),
        ("name: a\nload_assignment: {cluster_name: a}\ntransport_socket: {name: tls}", "transport_socket: TLS is not spoken"),
        ("name: a\nload_assignment: {cluster_name: a}\nhttp2_protocol_options: {}", "typed_extension_protocol_options: only HTTP/1.1"),
        ("name: a\nload_assignment: {cluster_name: a}\nmetadata: {filter_metadata: {rushquay: {orgin: x}}}", "metadata.filter_metadata.rushquay.orgin"),
        ("name: a\nload_assignment: {cluster_name: a}\ncircuit_breakers: {thresholds: [{}, {max_requests: 1}]}", "circuit_breakers.thresholds[1].priority: stands twice"),
        ("name: a\nload_assignment: {cluster_name: a}\ncommon_lb_config: {healthy_panic_threshold: {value: 101}}", "common_lb_config.healthy_panic_threshold"),
        ("name: a\ncluster_type: {name: x, typed_config: {'@type': type.googleapis.com/envoy.extensions.clusters.redis.v3.RedisClusterConfig}}", "cluster_type.typed_config: \"envoy.extensions.clusters.redis"),
        ("name: a\ncluster_type: {name: x, typed_config: {'@type': type.googleapis.com/envoy.extensions.clusters.aggregate.v3.ClusterConfig, clusters: [a]}}", "cluster_type.typed_config.clusters"),
        ("name: a\nload_assignment: {cluster_name: a}\nlb_policy: 99", "lb_policy"),
    ] {
        let why = error_of(Kind::Cluster, yaml);
        assert!(why.starts_with(path), "{yaml}\n{why}");
    }
    let endpoint = |more: &str| {
        format!("cluster_name: a\nendpoints: [{{lb_endpoints: [{{endpoint: {{address: {{socket_address: {{address: 127.0.0.1, port_value: 80}}}}}}}}, {{endpoint: {{address: {{socket_address: {{address: 127.0.0.2, port_value: 80}}}}}}{more}}}]}}]")
    };
    for (more, path) in [
        (", load_balancing_weight: 0", "endpoints[0].lb_endpoints[1].load_balancing_weight: 0"),
        (
            ", load_balancing_weight: 4294967296",
            "endpoints[0].lb_endpoints[1].load_balancing_weight: expected a whole number",
        ),
        (", health_status: 9", "endpoints[0].lb_endpoints[1].health_status: 9"),
        (", health_status: POORLY", "endpoints[0].lb_endpoints[1].health_status: expected one of UNKNOWN"),
        (
            ", metadata: {filter_metadata: {rushquay: {cell: nine}}}",
            "endpoints[0].lb_endpoints[1].metadata.filter_metadata.rushquay.cell",
        ),
    ] {
        let why = error_of(Kind::Endpoints, &endpoint(more));
        assert!(why.starts_with(path), "{more}\n{why}");
    }
    for (yaml, path) in [
        ("cluster_name: a\nendpoints: [{leds_cluster_locality_config: {leds_collection_name: x}}]", "endpoints[0].leds_cluster_locality_config: refused"),
        ("cluster_name: a\nendpoints: [{priority: 128}]", "endpoints[0].priority"),
        ("cluster_name: a\nendpoints: [{load_balancing_weight: 0}]", "endpoints[0].load_balancing_weight: 0"),
        ("cluster_name: a\npolicy: {overprovisioning_factor: 0}", "policy.overprovisioning_factor"),
        ("cluster_name: a\nendpoints: [{lb_endpoints: [{endpoint: {address: {pipe: {path: /x}}}}]}]", "endpoints[0].lb_endpoints[0].endpoint.address.pipe: refused"),
        ("cluster_name: a\nendpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: plant.example.org, port_value: 80}}}}]}]", "endpoints[0].lb_endpoints[0].endpoint.address.socket_address.address"),
        ("cluster_name: ''", "cluster_name: empty"),
    ] {
        let why = error_of(Kind::Endpoints, yaml);
        assert!(why.starts_with(path), "{yaml}\n{why}");
    }
}

#[test]
fn unsupported_routes_are_refused_with_their_path() {
    let route = |r: &str| format!("name: t\nvirtual_hosts: [{{name: h, domains: ['*'], routes: [{r}]}}]");
    let at = "virtual_hosts[0].routes[0].";
    for (text, path) in [
        ("{match: {prefix: /}, redirect: {path_redirect: /x}}", "redirect: refused"),
        ("{match: {prefix: /}}", "action: expected route or direct_response"),
        ("{match: {connect_matcher: {}}, route: {cluster: a}}", "match.connect_matcher: refused"),
        ("{match: {safe_regex: {regex: '('}}, route: {cluster: a}}", "match.safe_regex.regex"),
        ("{match: {safe_regex: {regex: '.*'}}, route: {cluster: a, prefix_rewrite: /x}}", "route.prefix_rewrite"),
        ("{match: {prefix: /}, route: {cluster: a, metadata_match: {}}}", "route.metadata_match: refused: subsets"),
        ("{match: {prefix: /}, route: {cluster: a, request_mirror_policies: [{cluster: b}]}}", "route.request_mirror_policies"),
        ("{match: {prefix: /}, route: {cluster: a, retry_policy: {retry_on: 'whim'}}}", "route.retry_policy.retry_on: \"whim\""),
        ("{match: {prefix: /}, route: {cluster: ''}}", "route.cluster"),
        ("{match: {prefix: /}, route: {weighted_clusters: {clusters: [{name: a}]}}}", "route.weighted_clusters.clusters"),
        ("{match: {prefix: /}, direct_response: {status: 99}}", "direct_response.status"),
        ("{match: {prefix: /}, route: {cluster: a}, request_headers_to_remove: [Idempotency-Key]}", "request_headers_to_remove[0]: idempotency-key may not be changed"),
        ("{match: {prefix: /}, route: {cluster: a}, request_headers_to_add: [{header: {key: x-time-left, value: '9'}}]}", "request_headers_to_add[0].header.key: x-time-left may not be changed"),
        ("{match: {prefix: /}, route: {cluster: a}, request_headers_to_add: [{header: {key: x, value: '%HOSTNAME%'}}]}", "request_headers_to_add[0].header.value: holds a command"),
        ("{match: {prefix: /}, route: {cluster: a, regex_rewrite: {pattern: {regex: 'a'}, substitution: '\\3'}}}", "route.regex_rewrite.substitution"),
        ("{match: {prefix: /}, route: {cluster: a}, typed_per_filter_config: {x: {'@type': type.googleapis.com/a.B}}}", "typed_per_filter_config: refused"),
    ] {
        let why = error_of(Kind::Route, &route(text));
        assert!(why.starts_with(&format!("{at}{path}")), "{text}\n{why}");
    }
    let twice = "name: t\nvirtual_hosts: [{name: a, domains: [x]}, {name: b, domains: [y, X]}]";
    assert!(
        error_of(Kind::Route, twice).contains("virtual_hosts[1].domains[1]"),
        "{}",
        error_of(Kind::Route, twice)
    );
    // Refused fields are accepted with their default value.
    let fine = route(
        "{match: {prefix: /}, route: {cluster: a, auto_host_rewrite: false, include_vh_rate_limits: false}}",
    );
    assert!(read(Kind::Route, &fine).is_ok());
}

#[test]
fn a_listener_needs_the_connection_manager_with_a_router() {
    let manager = |more: &str| {
        format!("name: l\naddress: {{socket_address: {{address: 127.0.0.1, port_value: 80}}}}\nfilter_chains: [{{filters: [{{name: h, typed_config: {{'@type': type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager, stat_prefix: s, rds: {{route_config_name: r, config_source: {{ads: {{}}}}}}{more}}}}}]}}]")
    };
    let router = "{name: r, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.http.router.v3.Router}}";
    let unknown = "name: x, typed_config: {'@type': type.googleapis.com/a.b.C}";
    assert!(read(Kind::Listener, &manager(&format!(", http_filters: [{router}]"))).is_ok());
    assert!(read(
        Kind::Listener,
        &manager(&format!(", http_filters: [{{{unknown}, is_optional: true}}, {router}]"))
    )
    .is_ok());
    let at = "filter_chains[0].filters[0].typed_config.";
    for (more, path) in [
        ("".to_owned(), "http_filters: expected envoy.filters.http.router"),
        (
            format!(", http_filters: [{{{unknown}}}, {router}]"),
            "http_filters[0].typed_config: \"a.b.C\" is not read here",
        ),
        (format!(", http_filters: [{router}, {router}]"), "http_filters[0]"),
        (
            format!(", normalize_path: true, http_filters: [{router}]"),
            "normalize_path: refused: paths are matched as they come",
        ),
        (format!(", codec_type: HTTP2, http_filters: [{router}]"), "codec_type"),
    ] {
        let why = error_of(Kind::Listener, &manager(&more));
        assert!(why.starts_with(&format!("{at}{path}")), "{more}\n{why}");
    }
}

#[test]
fn health_statuses_are_mapped() {
    let states = ["UNKNOWN", "HEALTHY", "UNHEALTHY", "DRAINING", "TIMEOUT", "DEGRADED"];
    let one = |(i, s): (usize, &&str)| {
        format!("{{health_status: {s}, endpoint: {{address: {{socket_address: {{address: 127.0.0.{}, port_value: 80}}}}}}}}", i + 1)
    };
    let list: Vec<String> = states.iter().enumerate().map(one).collect();
    let yaml = format!("cluster_name: a\nendpoints: [{{lb_endpoints: [{}]}}]", list.join(", "));
    let Ok(Item::Endpoints(assignment)) = read(Kind::Endpoints, &yaml) else { panic!("refused") };
    let health: Vec<Health> = assignment.endpoints().map(|(_, e)| e.health).collect();
    use Health::*;
    assert_eq!(health, [Healthy, Healthy, Unhealthy, Draining, Unhealthy, Degraded]);
}

/// A field number that the tables don't contain is refused on the wire, as unknown names are in a file.
#[test]
fn unknown_field_numbers_are_refused() {
    let mut body = encoded(Kind::Endpoints, "cluster_name: a").expect("encoded");
    body.extend([0xfa, 0x3e, 0x01, 0x00]);
    let why = decode(Kind::Endpoints, &body, &mut Notes::default()).expect_err("field 1007").to_string();
    assert!(
        why.contains("field 1007 of envoy.config.endpoint.v3.ClusterLoadAssignment is not known here"),
        "{why}"
    );
}

/// The wire format is checked by the same rules as a file, and default values of refused fields are accepted.
#[test]
fn the_wire_format_is_checked_field_by_field() {
    use envoy_types::pb::envoy::config::cluster::v3::{cluster::LbSubsetConfig, Cluster};
    use envoy_types::pb::envoy::config::route::v3::{route_action::HostRewriteSpecifier, *};
    use envoy_types::pb::google::protobuf::{Any, BoolValue};
    use prost::Message as _;
    let decode_body = |kind, body: Vec<u8>| {
        decode(kind, &body, &mut Notes::default()).map(|_| ()).map_err(|e| e.to_string())
    };
    let subsets =
        Cluster { name: "a".into(), lb_subset_config: Some(LbSubsetConfig::default()), ..Cluster::default() };
    let why = decode_body(Kind::Cluster, subsets.encode_to_vec()).expect_err("refused");
    assert!(why.starts_with("lb_subset_config: refused: subsets"), "{why}");
    let any = Any { type_url: "type.googleapis.com/a.B".into(), value: vec![] };
    let options =
        Cluster { typed_extension_protocol_options: [("x".to_owned(), any)].into(), ..Cluster::default() };
    let why = decode_body(Kind::Cluster, options.encode_to_vec()).expect_err("refused");
    assert!(why.starts_with("typed_extension_protocol_options.x: \"a.B\" is not read here"), "{why}");
    let table = |rewrite: bool| {
        let host = HostRewriteSpecifier::AutoHostRewrite(BoolValue { value: rewrite });
        let action = RouteAction {
            cluster_specifier: Some(route_action::ClusterSpecifier::Cluster("a".into())),
            host_rewrite_specifier: Some(host),
            ..RouteAction::default()
        };
        let matcher = RouteMatch {
            path_specifier: Some(route_match::PathSpecifier::Prefix("/".into())),
            ..RouteMatch::default()
        };
        let route =
            Route { r#match: Some(matcher), action: Some(route::Action::Route(action)), ..Route::default() };
        let host = VirtualHost {
            name: "h".into(),
            domains: vec!["*".into()],
            routes: vec![route],
            ..VirtualHost::default()
        };
        RouteConfiguration { name: "t".into(), virtual_hosts: vec![host], ..RouteConfiguration::default() }
            .encode_to_vec()
    };
    assert_eq!(decode_body(Kind::Route, table(false)), Ok(()));
    let why = decode_body(Kind::Route, table(true)).expect_err("refused");
    assert!(why.starts_with("virtual_hosts[0].routes[0].route.auto_host_rewrite: refused"), "{why}");
}

#[test]
fn a_file_has_one_kind_and_unique_names() {
    let cla = |name: &str| {
        format!("  - {{'@type': type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment, cluster_name: {name}}}\n")
    };
    let good = format!("version_info: '7'\nresources:\n{}{}", cla("a"), cla("b"));
    let read = file(Kind::Endpoints, &good, &mut Notes::default()).expect("good");
    assert_eq!(
        read.iter().map(|r| (r.name.as_str(), r.version.as_str())).collect::<Vec<_>>(),
        [("a", "7"), ("b", "7")]
    );
    let twice = format!("resources:\n{}{}", cla("a"), cla("a"));
    assert!(file(Kind::Endpoints, &twice, &mut Notes::default())
        .expect_err("twice")
        .to_string()
        .starts_with("resources[1]"));
    assert!(file(Kind::Cluster, &good, &mut Notes::default()).is_err());
}

#[test]
fn a_stream_needs_a_static_cluster_that_speaks_http2() {
    let file = |cluster: &str| {
        format!("dynamic_resources:\n  lds_config: {{ads: {{}}}}\n  ads_config: {{api_type: DELTA_GRPC, transport_api_version: V3, grpc_services: [{{envoy_grpc: {{cluster_name: xds}}}}]}}\nstatic_resources: {{clusters: [{cluster}]}}")
    };
    let load = |ip: &str| {
        format!("load_assignment: {{cluster_name: xds, endpoints: [{{lb_endpoints: [{{endpoint: {{address: {{socket_address: {{address: {ip}, port_value: 18000}}}}}}}}]}}]}}")
    };
    let good =
        bootstrap(&file(&format!("{{name: xds, http2_protocol_options: {{}}, {}}}", load("127.0.0.1"))))
            .expect("good");
    let ads = good.ads.expect("a stream");
    assert_eq!((ads.addresses, ads.sotw), (vec!["127.0.0.1:18000".parse().expect("an address")], false));
    assert!(good.clusters.is_empty(), "the control services' cluster is not a pool");
    assert_eq!(good.lds.map(|l| l.source), Some(Source::Ads));
    for (cluster, why) in [
        (format!("{{name: xds, {}}}", load("127.0.0.1")), "does not speak HTTP/2"),
        (
            format!("{{name: xds, http2_protocol_options: {{}}, {}}}", load("10.0.0.1")),
            "beyond loopback and has no TLS",
        ),
        (format!("{{name: other, {}}}", load("127.0.0.1")), "no static cluster"),
    ] {
        let error = bootstrap(&file(&cluster)).expect_err("refused").to_string();
        assert!(
            error.starts_with("dynamic_resources.ads_config.grpc_services[0]") && error.contains(why),
            "{error}"
        );
    }
    let lacks = "dynamic_resources: {lds_config: {ads: {}}}";
    assert!(bootstrap(lacks)
        .expect_err("refused")
        .to_string()
        .starts_with("dynamic_resources.ads_config: missing"));
}

#[test]
fn shown_json_round_trips() {
    let body = encode(BOOTSTRAP, &parse(EXAMPLE).expect("YAML"), "", &mut Notes::default()).expect("good");
    let shown = show(BOOTSTRAP, &body);
    assert_eq!(shown["static_resources"]["clusters"][0]["connect_timeout"], "0.25s");
    let again = encode(BOOTSTRAP, &shown, "", &mut Notes::default()).expect("good");
    assert_eq!(show(BOOTSTRAP, &again), shown);
    assert_eq!(again.len(), body.len());
}

#[test]
fn the_field_documentation_is_up_to_date() {
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../../docs/envoy-fields.md"))
        .expect("the page");
    let table = page.split_once("\n### ").map(|(_, rest)| format!("\n### {rest}")).unwrap_or_default();
    assert!(table == fields::page(), "regenerate it: cargo run --release -- check --fields");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(0xe7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes are accepted or rejected without a panic.
    #[test]
    fn arbitrary_bytes_do_not_panic(noise in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..3000, flip: u8) {
        for kind in Kind::ORDER {
            let _ = decode(kind, &noise, &mut Notes::default());
        }
        static BODY: std::sync::LazyLock<Vec<u8>> = std::sync::LazyLock::new(|| {
            encode(BOOTSTRAP, &parse(EXAMPLE).expect("YAML"), "", &mut Notes::default()).expect("good")
        });
        let mut body = BODY.clone();
        let at = at % body.len();
        body[at] ^= flip;
        let _ = wire::check(BOOTSTRAP, &body, "", &mut Notes::default());
        let _ = show(BOOTSTRAP, &body);
    }
}
