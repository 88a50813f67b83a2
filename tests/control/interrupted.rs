//! A control service whose calls are interrupted, or move a part.

use super::program::Running;
use super::*;
use rushquay_fleet_harness::Faults;

const SEED: u64 = 43;
const INTERRUPTIONS: &str = "recv:EINTR=0.1;send:EINTR=0.1;recv:short=0.2;send:short=0.2;poll:EINTR=0.05;\
                             accept:EINTR=0.2;accept:ECONNABORTED=0.2;connect:EINTR=0.2";

/// Danger: an interrupted call would end a stream, and a short one wait for news that is there: drains would come late, or after the
/// next connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drains_arrive_on_one_stream_under_interrupted_calls() {
    println!("seed {SEED}");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let faults = Faults::new(SEED, INTERRUPTIONS);
    let service = Running::with(&["--discovery", &discovery.addr.to_string()], &faults.variables());
    let silent = Discovery::start(41, &ready(&fleet)).await;
    let xds = service.xds.parse().expect("an address");
    let proxy = proxy("p", silent.addr, &[xds], &ready(&fleet));
    silent.down(true);
    assert_eq!(served_by(&proxy, 150).await.len(), 3);
    for _ in 0..10 {
        discovery.set("b", "draining");
        let start = Instant::now();
        while served_by(&proxy, 20).await.contains_key("b") {
            assert!(start.elapsed() < LONG, "the drain never arrived");
        }
        discovery.set("b", "ready");
        let start = Instant::now();
        while !served_by(&proxy, 60).await.contains_key("b") {
            assert!(start.elapsed() < LONG, "the node never came back");
        }
    }
    let (_, metrics) = service.get("/metrics");
    let opened = metrics.lines().find(|l| l.starts_with("rushquay_control_streams_total"));
    assert!(opened.is_some_and(|l| l.ends_with(" 1")), "{opened:?} streams were opened:\n{metrics}");
}

/// Danger: a read of the store of leases that is cut short would wait in vain, and the lease run out over it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_keeps_its_lease_in_etcd_under_interrupted_calls() {
    println!("seed {SEED}");
    let etcd = rushquay_etcd_standin::Etcd::start().await;
    let folder = super::program::Folder::new("interrupted-etcd");
    let settings = format!(
        "[standby]\nname = 'only'\nttl_s = 1.0\netcd = ['{}']\nprefix = '/rushquay'\n",
        etcd.endpoint()
    );
    let settings = folder.write("control.toml", &settings);
    let fleet = nodes(&["a", "b"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let (settings, addr) = (settings.to_str().expect("a path"), discovery.addr.to_string());
    let faults = Faults::new(SEED, INTERRUPTIONS);
    let service = Running::with(&["--discovery", &addr, "--config", settings], &faults.variables());
    let standby = || {
        let status: Value = serde_json::from_str(&service.get("/status").1).expect("JSON");
        status["standby"].clone()
    };
    until("it leads", || standby()["takeovers"] == 1).await;
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(6) {
        let now = standby();
        assert_eq!(
            (&now["leads"], &now["takeovers"], &now["fault"]),
            (&json!(true), &json!(1), &json!(null))
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
