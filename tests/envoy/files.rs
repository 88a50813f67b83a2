//! Files in place of a stream, the admin page, and the program itself.

use super::*;
use serde_json::Value;
use std::process::Command;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn files_are_followed_and_a_broken_one_changes_nothing() {
    let nodes = nodes(3, Duration::ZERO).await;
    let folder = Folder::new();
    let path = |name: &str| folder.0.join(name).display().to_string();
    let any = |kind: rushquay_xds::Kind, yaml: &str| {
        format!("resources: [{{'@type': {}, {}", kind.type_url(), &yaml[1..]) + "]"
    };
    let eds =
        |nodes: &[rushquay_test_servers::Node]| any(rushquay_xds::Kind::Endpoints, &of_nodes("c", nodes).2);
    let table = |step| any(rushquay_xds::Kind::Route, &routes(step, &[&all_to("c")]).2);
    folder.put("eds.yaml", &eds(&nodes[..1]));
    folder.put("rds.yaml", &table(1));
    let in_file = |name: &str| format!("{{path_config_source: {{path: {}}}}}", path(name));
    folder.put(
        "cds.yaml",
        &any(rushquay_xds::Kind::Cluster, &cluster("c", "").2.replace("{ads: {}}", &in_file("eds.yaml"))),
    );
    folder.put(
        "lds.yaml",
        &any(rushquay_xds::Kind::Listener, &listener().2.replace("{ads: {}}", &in_file("rds.yaml"))),
    );
    let bootstrap = format!(
        "dynamic_resources: {{cds_config: {}, lds_config: {}}}",
        in_file("cds.yaml"),
        in_file("lds.yaml")
    );
    let proxy = Proxy::start(&bootstrap);
    proxy.reached(1).await;
    let mut client = proxy.client().await;
    assert_eq!(client.get("/read/1").await.body, "n0");
    folder.put("eds.yaml", &eds(&nodes[1..2]));
    until("the new list holds", async || client.get(&format!("/read/{}", key())).await.body == "n1").await;
    // Neither half a file nor one that says what can't be obeyed changes anything; a later good one does.
    folder.put("eds.yaml", "resources: [{");
    folder.put("cds.yaml", &any(rushquay_xds::Kind::Cluster, "{name: c, type: ORIGINAL_DST}"));
    folder.put("rds.yaml", &table(2));
    proxy.reached(2).await;
    assert_eq!(client.get(&format!("/read/{}", key())).await.body, "n1");
    folder.put("eds.yaml", &eds(&nodes[2..]));
    until("the mended list holds", async || client.get(&format!("/read/{}", key())).await.body == "n2").await;
    // A cluster that its file no longer names is gone.
    folder.put("cds.yaml", "resources: []");
    until("it is gone", async || client.get("/read/1").await.status == 503).await;
}

/// Danger: a change that is written while the machine lacks descriptors would be missed until the file changes again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_file_that_changes_while_it_cannot_be_opened_is_taken_later() {
    let resources = Folder::new();
    let any = |kind: rushquay_xds::Kind, yaml: &str| {
        format!("resources: [{{'@type': {}, {}", kind.type_url(), &yaml[1..]) + "]"
    };
    let table = |step| any(rushquay_xds::Kind::Route, &routes(step, &[]).2);
    let rds = resources.put("rds.yaml", &table(1)).display().to_string();
    let in_file = format!("{{path_config_source: {{path: {rds}}}}}");
    let lds = any(rushquay_xds::Kind::Listener, &listener().2.replace("{ads: {}}", &in_file));
    let lds = resources.put("lds.yaml", &lds).display().to_string();
    let bootstrap = format!("dynamic_resources: {{lds_config: {{path_config_source: {{path: {lds}}}}}}}");
    let proxy = FaultyProxy::start(&bootstrap, "open:ENFILE=1");
    proxy.reached(1).await;
    proxy.begin_faults();
    resources.put("rds.yaml", &table(2));
    // The file is looked at ten times a second.
    tokio::time::sleep(Duration::from_secs(1)).await;
    proxy.end_faults();
    proxy.reached(2).await;
}

/// A bootstrap file whose admin page is at this address.
fn with_admin_page(management: &Management, admin: std::net::SocketAddr) -> String {
    bootstrap(management.addr, rushquay_xds::server::Variant::Delta).replace(
        "address: 127.0.0.1, port_value: 0}",
        &format!("address: {}, port_value: {}}}", admin.ip(), admin.port()),
    )
}

#[tokio::test]
async fn a_proxy_whose_admin_page_cannot_listen_says_so_at_its_start() {
    let management = Management::start().await;
    let taken = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let taken = taken.local_addr().map(|addr| (taken, addr)).expect("an address");
    let started = Proxy::try_start(&with_admin_page(&management, taken.1), |_| {});
    let why = started.err().expect("it must not pass for started");
    assert!(why.contains(&format!("admin.address: {}", taken.1)), "{why}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_clusters_with_effective_weights_and_all_that_came() {
    let nodes = nodes(2, Duration::ZERO).await;
    let management = Management::start().await;
    let (_reservation, free) = reserved_address().await;
    let proxy = Proxy::start(&with_admin_page(&management, free));
    let list = [endpoint(nodes[0].addr, ", load_balancing_weight: 3"), endpoint(nodes[1].addr, "")];
    management.declare(&[cluster("c", ""), assignment("c", &list), listener(), routes(1, &[&all_to("c")])]);
    proxy.reached(1).await;
    let mut client = proxy.client().await;
    for _ in 0..40 {
        assert_eq!(client.get(&format!("/read/{}", key())).await.status, 200);
    }
    let mut admin = Client::to(free).await;
    let text = admin.get("/clusters").await.body;
    assert!(text.contains(&format!("c::{}::effective_weight::0.75\n", nodes[0].addr)), "{text}");
    assert!(text.contains(&format!("c::{}::health_flags::HEALTHY\n", nodes[1].addr)), "{text}");
    assert!(
        text.contains("c::rq_total::40\n") && text.contains("c::priority_0::load_healthy_percent::100\n"),
        "{text}"
    );
    let shown: Value = serde_json::from_str(&admin.get("/clusters?format=json").await.body).expect("JSON");
    let hosts = shown["cluster_statuses"][0]["host_statuses"].as_array().expect("hosts");
    let total: u64 = hosts.iter().filter_map(|h| h["rq_total"].as_u64()).sum();
    assert_eq!((hosts.len(), total), (2, 40));
    let dump: Value = serde_json::from_str(&admin.get("/config_dump").await.body).expect("JSON");
    let clusters = &dump["configs"][0]["dynamic_active_clusters"];
    assert_eq!(
        (&clusters[0]["name"], &clusters[0]["cluster"]["connect_timeout"]),
        (&Value::from("c"), &Value::from("1s"))
    );
    assert!(!clusters[0]["version_info"].as_str().unwrap_or_default().is_empty());
    assert_eq!(admin.get("/ready").await.status, 200);
}

#[test]
fn the_program_tells_what_it_will_obey() {
    let run = |args: &[&str]| {
        let done = Command::new(env!("CARGO_BIN_EXE_rushquay"))
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .args(args)
            .output()
            .expect("run");
        (
            done.status.success(),
            String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr),
        )
    };
    let (good, told) = run(&["check", "deploy/envoy.toml"]);
    assert!(good && told.contains("127.0.0.1:19101 zone \"gandhinagar\" priority 0: 50.00 %"), "{told}");
    let folder = Folder::new();
    let bad = folder.put(
        "bad.yaml",
        "static_resources: {clusters: [{name: a, lb_subset_config: {fallback_policy: ANY_ENDPOINT}}]}",
    );
    let (good, told) = run(&["check", &bad.display().to_string()]);
    assert!(
        !good
            && told
                .contains("static_resources.clusters[0].lb_subset_config: refused: subsets are not formed"),
        "{told}"
    );
    let (good, told) = run(&["check", "--fields"]);
    assert!(good && told.contains("| `lb_subset_config` | refused |"), "{told}");
}
