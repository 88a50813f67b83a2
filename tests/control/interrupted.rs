//! A control service whose calls are interrupted, or move a part.

use super::program::Running;
use super::*;
use rushquay_harness::Faults;

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
