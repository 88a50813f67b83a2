//! A wall clock that is stepped while the proxy runs: spans of time are not measured by it.

use super::rules::Raw;
use super::*;
use rushquay_harness::{Faults, History, Process};
use rushquay_standins::proxy_config;
use rushquay_xds::server::Variant;
use serde_json::json;
use std::path::Path;

/// A proxy in a process of its own, whose wall clock the test can step.
struct SteppedProxy {
    addr: std::net::SocketAddr,
    folder: Folder,
    _process: Process,
}

impl SteppedProxy {
    /// Starts a proxy that follows a management server; its wall clock jumps by an hour when [`Self::step`] is called.
    fn start(management: &Management) -> Self {
        let folder = Folder::new();
        folder.put("bootstrap.yaml", &bootstrap(management.addr, Variant::Delta));
        let envoy = folder.put("envoy.toml", "bootstrap = 'bootstrap.yaml'\n");
        let mut config = proxy_config("p", "127.0.0.1:1".parse().expect("an address"), &[], &[]);
        config["discovery"] = json!(null);
        config["envoy"] = json!(envoy);
        // Without an origin writes go to the nodes.
        config["settings"]["family_info"] = json!(null);
        let config = folder.put("proxy.json", &config.to_string());
        let faults = Faults::new(39, "jump=3600").while_exists(&folder.0.join("stepped"));
        let mut variables = faults.variables();
        variables.push(("PROXY_CONFIG".into(), config.display().to_string()));
        let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        let program = Path::new(env!("CARGO_BIN_EXE_rushquay"));
        let process = Process::start("proxy", program, &[], &variables, &History::default());
        let addr = process.says("rushquay: listening on ").parse().expect("an address");
        SteppedProxy { addr, folder, _process: process }
    }

    /// Steps the wall clock by an hour.
    fn step(&self) {
        self.folder.put("stepped", "");
        // The library looks for the file every few milliseconds.
        std::thread::sleep(Duration::from_millis(20));
    }

    async fn reached(&self, step: u64) {
        let mut client = Client::to(self.addr).await;
        until(&format!("step {step} holds"), async || client.get("/step").await.body == step.to_string())
            .await;
    }
}

/// Danger: a cluster that is declared after the step would count its attempts by another clock than the change of its group, and a
/// repeat of what may have run would go to nodes that do not remember it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_request_is_not_repeated_in_another_group_after_the_wall_clock_was_stepped() {
    let (first, second) = (Raw::new().await, nodes(1, Duration::ZERO).await);
    let management = Management::start().await;
    let proxy = SteppedProxy::start(&management);
    management.declare(&[listener(), routes(1, &[])]);
    proxy.reached(1).await;
    proxy.step();
    // The second is a spare that takes nothing but what the first can't.
    let heavy = endpoint(first.addr, ", load_balancing_weight: 4000000000");
    let list = assignment("c", &[heavy, endpoint(second[0].addr, "")]);
    management.declare(&[cluster("c", ""), list, routes(2, &[&all_to("c")])]);
    proxy.reached(2).await;
    let mut client = Client::to(proxy.addr).await;
    let asked = tokio::spawn(async move { client.ask("PUT", "/set/7", &[("idempotency-key", "k")]).await });
    let taken = first.request().await;
    let other_group = ", metadata: {filter_metadata: {rushquay: {dedup_group: other}}}";
    management.declare(&[cluster("c", other_group), routes(3, &[&all_to("c")])]);
    proxy.reached(3).await;
    // The answer breaks off: it may have run.
    drop(taken);
    let status = tokio::time::timeout(LONG, asked).await.expect("in time").expect("asked").status;
    assert_eq!((status, second[0].count()), (502, 0), "failed, and never repeated");
}
