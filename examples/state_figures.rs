//! Figures of overrides and of state that survives, printed as Markdown.
//!
//! - `cargo run --release --locked --example state_figures -- takeover [ROUNDS]`: the leader of two control services is killed;
//!   how soon the other leads, and how soon forty proxies have all from it. Needs `target/release/rushquay`, which it starts.
//! - `cargo run --release --locked --example state_figures -- store`: changes a second that the store takes, and a start with a
//!   hundred thousand events.
//! - `cargo run --release --locked --example state_figures -- overrides`: what ten thousand live overrides cost a proxy, and what
//!   pins cost a request.

use rushquay::proxy::local::LocalProxy;
use rushquay_endpoints::{
    Endpoint, EndpointMerger, EndpointState, Imposed, MergeLimits, MergeTime, MonotonicTime, OverrideTime,
    Pin, Pins, Source, SourcedEndpoint, WatchEvent,
};
use rushquay_overrides::{
    Effect, FleetCapacity, OverrideLimits, OverrideRequest, OverrideSet, Scope, SECOND,
};
use rushquay_state::{OverrideWrite, StateStore};
use rushquay_test_servers::{entry, proxy_config, Discovery, Node};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(60);
const PROXIES: usize = 40;

fn millis(d: Duration) -> f64 {
    d.as_secs_f64() * 1e3
}

/// A file that is gone at the end.
struct File(PathBuf);

impl File {
    fn new(name: &str) -> File {
        let path = std::env::temp_dir().join(format!("rushquay-figures-{name}-{}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

// ---- takeover ----

struct Instance {
    child: Child,
    xds: SocketAddr,
    admin: SocketAddr,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Killed, not asked: it gives no lease back.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn instance(program: &Path, name: &str, discovery: SocketAddr, shared: &Path, listen: &str) -> Instance {
    let config = File::new(&format!("{name}.toml"));
    let text = format!("[standby]\nname = '{name}'\nttl_s = 5.0\nfile = '{}'\n", shared.display());
    std::fs::write(&config.0, text).expect("written");
    let mut child = Command::new(program)
        .args([
            "control",
            "--admin",
            "127.0.0.1:0",
            "--listen",
            listen,
            "--discovery",
            &discovery.to_string(),
        ])
        .arg("--config")
        .arg(&config.0)
        .env("RUSHQUAY_LOG", "off")
        .stdout(Stdio::piped())
        .spawn()
        .expect("target/release/rushquay: cargo build --release --locked");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
    let addr = |what: &str| {
        let found = line.split_whitespace().find_map(|part| part.strip_prefix(what));
        found.and_then(|a| a.parse().ok()).expect("an address")
    };
    Instance { child, xds: addr("xds="), admin: addr("admin=") }
}

impl Instance {
    async fn status(&self) -> Option<Value> {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let mut stream = tokio::net::TcpStream::connect(self.admin).await.ok()?;
        stream.write_all(b"GET /status HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
    }

    /// Until it leads and so many subscribers have all from it.
    async fn has(&self, subscribers: usize) {
        let start = Instant::now();
        loop {
            if let Some(status) = self.status().await {
                let has = |s: &&Value| s["lag_ms"] == 0.0 && !s["kinds"]["Endpoint"].is_null();
                let have = status["subscribers"].as_array().into_iter().flatten().filter(has).count();
                if status["standby"]["leads"] == true && status["open"] == true && have >= subscribers {
                    return;
                }
            }
            assert!(start.elapsed() < LONG, "it never came that {subscribers} have all");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn takeover(rounds: usize) {
    let program = std::env::current_exe().expect("a path");
    let program = program.ancestors().nth(2).expect("a folder").join("rushquay");
    let mut nodes = Vec::new();
    for i in 0..12 {
        nodes.push(Node::start(&format!("n{i}"), Duration::ZERO).await);
    }
    let list: Vec<Value> = nodes.iter().map(|n| entry(n, "rajkot", "std-1c", "ready", 1000)).collect();
    let discovery = Discovery::start(1, &list).await;
    let shared = File::new("shared.redb");
    let mut leader = instance(&program, "a0", discovery.addr, &shared.0, "127.0.0.1:0");
    leader.has(0).await;
    let mut other = instance(&program, "b0", discovery.addr, &shared.0, "127.0.0.1:0");
    let proxy = |i| {
        let config = proxy_config(&format!("p{i}"), discovery.addr, &[leader.xds, other.xds], &list);
        LocalProxy::start(&config.to_string()).expect("a proxy")
    };
    let _proxies: Vec<LocalProxy> = (0..PROXIES).map(proxy).collect();
    println!(
        "| round | the other leads after ms | all {PROXIES} proxies have all after ms |\n| --- | --- | --- |"
    );
    for round in 1..=rounds {
        leader.has(PROXIES).await;
        // Killed at any time between two renewals.
        tokio::time::sleep(Duration::from_millis(137 * round as u64 % 1250)).await;
        let (listen, killed) = (leader.xds.to_string(), Instant::now());
        drop(leader);
        other.has(0).await;
        let leads = killed.elapsed();
        other.has(PROXIES).await;
        println!("| {round} | {:.0} | {:.0} |", millis(leads), millis(killed.elapsed()));
        let name = format!("i{round}");
        leader = std::mem::replace(&mut other, instance(&program, &name, discovery.addr, &shared.0, &listen));
    }
}

// ---- the store ----

fn fleet() -> Vec<FleetCapacity> {
    let node = |i| {
        let (kind, zone) = ("std-1c".to_owned(), "rajkot".to_owned());
        FleetCapacity { id: format!("cache-{i:02}"), kind, zone, weight: 1.0, ready: true }
    };
    (0..45).map(node).collect()
}

fn ask(node: usize, effect: Effect) -> OverrideRequest {
    let (author, reason) = ("figures".to_owned(), "to measure".to_owned());
    OverrideRequest {
        scope: Scope::Node(format!("cache-{node:02}")),
        effect,
        until: 1_000 * SECOND,
        author,
        reason,
        force: true,
    }
}

fn kept(book: &OverrideSet, events: usize) -> OverrideWrite {
    let mut events: Vec<_> = book.history().take(events).cloned().collect();
    events.reverse();
    let (next, revision, history) = (book.next_id(), book.revision(), book.limits().history);
    OverrideWrite { live: book.live().cloned().collect(), events, next, revision, history }
}

fn store() {
    let file = File::new("store.redb");
    let mut book = OverrideSet::new(OverrideLimits::default());
    let nodes = fleet();
    let held = StateStore::open(&file.0).expect("a store");
    let (changes, mut times) = (500, Vec::new());
    for i in 0..changes {
        let set = book.set(ask(i % 45, Effect::Weight(0.9)), &nodes, SECOND, None).expect("set");
        book.lift(set.id, "figures", SECOND, None).expect("lifted");
        let begun = Instant::now();
        held.keep_book(&kept(&book, 2)).expect("kept");
        times.push(begun.elapsed());
    }
    times.sort();
    let all: Duration = times.iter().sum();
    println!("| figure | value |\n| --- | --- |");
    println!("| changes a second, each on disk | {:.0} |", changes as f64 / all.as_secs_f64());
    println!("| a change, median and 99% | {:.2} and {:.2} ms |", millis(times[250]), millis(times[495]));
    for _ in 0..50_000 {
        let set = book.set(ask(7, Effect::Weight(0.9)), &nodes, SECOND, None).expect("set");
        book.lift(set.id, "figures", SECOND, None).expect("lifted");
    }
    held.keep_book(&kept(&book, 100_000)).expect("kept");
    drop(held);
    let size = std::fs::metadata(&file.0).map_or(0, |m| m.len());
    let begun = Instant::now();
    let held = StateStore::open(&file.0).expect("a store");
    let read = held.read_book(OverrideLimits::default()).expect("read");
    let took = begun.elapsed();
    println!(
        "| start with {} events, {} MB on disk | {:.0} ms |",
        read.history().count(),
        size >> 20,
        millis(took)
    );
}

// ---- live overrides at a proxy ----

fn stated(i: usize, imposed: Imposed) -> SourcedEndpoint {
    let member = Endpoint {
        id: format!("cache-{i:05}"),
        addr: None,
        zone: "rajkot".into(),
        kind: "std-1c".into(),
        cell: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started: rushquay_endpoints::StatedStart::UNKNOWN,
    };
    SourcedEndpoint { member, list_version: 1, is_from_discovery: true, imposed }
}

/// This moment on both clocks.
fn at(nanos: u64) -> MergeTime {
    MergeTime { monotonic: MonotonicTime::from_nanos(nanos), overrides: OverrideTime::from_unix_nanos(nanos) }
}

fn overrides() {
    println!("| nodes, each with an override | an idle tick | a tick that ends one |\n| --- | --- | --- |");
    for count in [45, 1_000, 10_000] {
        let mut merge = EndpointMerger::new(MergeLimits::default());
        let one = |i: usize| {
            let weights = vec![((1_000 + i as u64) * SECOND, 0.5)];
            stated(i, Imposed { weights, ..Imposed::default() })
        };
        let _ =
            merge.apply_control_event("one", WatchEvent::Whole((0..count).map(one).collect()), at(SECOND));
        assert!(!merge.is_lost(Source::Control));
        let idle = Instant::now();
        for i in 0..20u64 {
            assert!(merge.tick(at(2 * SECOND + i)).is_empty());
        }
        let idle = idle.elapsed() / 20;
        let ending = Instant::now();
        for i in 0..20u64 {
            assert_eq!(merge.tick(at((1_000 + i) * SECOND)).upserts.len(), 1);
        }
        println!(
            "| {count} | {:.0} us | {:.0} us |",
            millis(idle) * 1e3,
            millis(ending.elapsed() / 20) * 1e3
        );
    }
    println!("\n| pins | a request that none is on |\n| --- | --- |");
    for count in [0, 1, 10, 100] {
        let pin = |i: u64| {
            let keys = Some(format!("setpoint-{i}-*"));
            (Pin { number: i, until: 1_000 * SECOND, class: Some("read".into()), keys }, i)
        };
        let pins = Pins::new((0..count).map(pin));
        let (times, begun) = (200_000, Instant::now());
        for i in 0..times {
            std::hint::black_box(pins.find("read", "history-of-boiler-7", SECOND + i));
        }
        println!("| {count} | {:.0} ns |", begun.elapsed().as_nanos() as f64 / times as f64);
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    match args.first().map(String::as_str) {
        Some("takeover") => {
            runtime.block_on(takeover(args.get(1).and_then(|n| n.parse().ok()).unwrap_or(10)));
        }
        Some("store") => store(),
        Some("overrides") => overrides(),
        _ => {
            eprintln!("takeover [ROUNDS], store or overrides");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
