use super::*;
use crate::api::Settings;
use crate::proxy::config::interner::Interner;
use crate::proxy::listener::descriptors::Descriptors;
use rushquay_admin::RequestMetrics;
use rushquay_control_service::Clocks;
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

type Answers = Arc<Mutex<Result<Vec<IpAddr>, String>>>;

/// A fake resolver: the one name resolves to the given answers, and queries are resolver_count.
struct FakeResolver(Answers, Arc<AtomicUsize>);

impl Resolver for FakeResolver {
    fn resolve(&self, name: &str) -> lookup::Lookup {
        assert_eq!(name, "plant.local");
        self.1.fetch_add(1, Ordering::SeqCst);
        let answer = self.0.lock().expect("locked").clone();
        Box::pin(async move { answer })
    }
}

const FILE: &str = "
static_resources:
  listeners:
    - name: l
      address: {socket_address: {address: 127.0.0.1, port_value: 0}}
      filter_chains: [{filters: [{name: h, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager, route_config: {name: r, virtual_hosts: [{name: h, domains: ['*'], routes: [{match: {prefix: /}, route: {cluster: c}}]}]}, http_filters: [{name: r, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.http.router.v3.Router}}]}}]}]
  clusters:
    - name: c
      type: STRICT_DNS
      dns_lookup_family: V4_ONLY
      dns_refresh_rate: 0.02s
      load_assignment: {cluster_name: c, endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: plant.local, port_value: 80}}}}]}]}
";

#[tokio::test(flavor = "current_thread")]
async fn names_are_looked_up_again_and_a_failure_keeps_what_was_found() {
    let work = async {
        let source = EnvoySource {
            bootstrap: Arc::new(rushquay_envoy::bootstrap(FILE).expect("good")),
            listener: None,
            backoff_ms: (10, 10),
            resources_most: 10,
            max_answer_bytes: 1 << 20,
        };
        let clock = Clock::by(&Clocks::default());
        let (settings, names) = (Settings::default(), Interner::default());
        let pools =
            ClusterSet::new(settings, names, 1, Descriptors::new(10), RequestMetrics::new(&[]), clock);
        let ips = |list: &[&str]| list.iter().map(|ip| ip.parse().expect("an address")).collect::<Vec<_>>();
        let answers: Answers = Arc::new(Mutex::new(Ok(ips(&["127.0.0.1", "127.0.0.2", "::1"]))));
        let listen = "127.0.0.1:1".parse().expect("an address");
        let me = ProxyIdentity { name: "p".into(), seed: 1, listen, clock };
        let (resolver_answers, lookup_count) = (answers.clone(), Arc::new(AtomicUsize::new(0)));
        let resolver_count = lookup_count.clone();
        let applying = follow_with(source, pools.clone(), me, || {
            Rc::new(FakeResolver(resolver_answers, resolver_count))
        });
        tokio::task::spawn_local(applying.expect("started"));
        let addresses = || {
            let mut found: Vec<String> = pools.stats().1.into_iter().map(|n| n.id.to_string()).collect();
            found.sort();
            found
        };
        let until = async |expected: &[&str]| {
            for _ in 0..10_000 {
                if addresses() == expected && pools.can_serve() != expected.is_empty() {
                    return;
                }
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            }
            panic!("{:?}; expected {expected:?}", addresses());
        };
        until(&["127.0.0.1:80", "127.0.0.2:80"]).await;
        *answers.lock().expect("locked") = Ok(ips(&["127.0.0.3"]));
        until(&["127.0.0.3:80"]).await;
        *answers.lock().expect("locked") = Err("no such name".into());
        let before = lookup_count.load(Ordering::SeqCst);
        while lookup_count.load(Ordering::SeqCst) < before + 3 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        until(&["127.0.0.3:80"]).await;
        *answers.lock().expect("locked") = Ok(Vec::new());
        until(&[]).await;
    };
    tokio::task::LocalSet::new().run_until(work).await;
}
