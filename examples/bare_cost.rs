//! What a request costs a bare proxy in CPU time, for each binary given, in turn:
//! `cargo run --release --locked --example bare_cost -- target/release/rushquay [another ...]`. With `--policy` each is run once more with a
//! subscription to a control service alone, and once more with leave to act by a policy on top.

use rushquay_control_service::{start, Clocks, Options, PolicySettings, Settings, SourceOption};
use rushquay_test_servers::{entry, proxy_config, Discovery, Load, Node};
use serde_json::json;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const ROUNDS: usize = 4;
const TIME: Duration = Duration::from_secs(4);
const CLIENTS: usize = 32;

/// CPU time in microseconds, and resident memory in KiB.
fn used(process: u32) -> (f64, u64) {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let resident =
        read("status").lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().split(' ').next()?.parse().ok());
    ((ticks(11) + ticks(12)) * 10_000.0, resident.unwrap_or(0))
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() {
    let (flags, binaries): (Vec<String>, Vec<String>) =
        std::env::args().skip(1).partition(|arg| arg == "--policy");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let mut nodes = Vec::new();
        for i in 0..8 {
            nodes.push(Node::start(&format!("n{i}"), Duration::ZERO).await);
        }
        let listed: Vec<_> = nodes.iter().map(|n| entry(n, "rajkot", "std-1c", "ready", 1000)).collect();
        let discovery = Discovery::start(1, &listed).await;
        let config = std::env::temp_dir().join(format!("rushquay-cost-{}.json", std::process::id()));
        let listen: SocketAddr = {
            let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bound");
            free.local_addr().expect("an address")
        };
        let mut told = proxy_config("cost", discovery.addr, &[], &listed);
        told["listen"] = listen.to_string().into();
        let mut variants = vec![("bare", told.clone())];
        let state = config.with_extension("redb");
        let any = "127.0.0.1:0".parse().expect("an address");
        let settings = Settings { policy: Some(PolicySettings::default()), ..Settings::default() };
        let source = SourceOption::Discovery(discovery.addr);
        let options = Options { listen: any, source, admin: None, settings, state_file: Some(state.clone()) };
        let service = start(options).await.expect("a control service");
        if !flags.is_empty() {
            // What a request does for its leave: a look at this clock, and one comparison.
            let (clock, looks) = (Clocks::default().monotonic, 10_000_000u32);
            let start = std::time::Instant::now();
            let last = (0..looks).fold(0, |last, _| last.max(clock()));
            println!("a look at the clock: {:.1} ns ({last})\n", start.elapsed().as_nanos() as f64 / f64::from(looks));
            told["control_service"] = json!({"addresses": [service.xds.to_string()]});
            variants.push(("subscribed", told.clone()));
            told["policy"] = json!({});
            variants.push(("by a policy", told));
        }
        println!("| binary | how | round | requests | CPU a request, µs | resident, KiB |\n| --- | --- | ---: | ---: | ---: | ---: |");
        for round in 0..ROUNDS {
            for (binary, (how, told)) in binaries.iter().flat_map(|b| variants.iter().map(move |v| (b, v))) {
                std::fs::write(&config, told.to_string()).expect("written");
                let mut command = Command::new(binary);
                command.env("PROXY_CONFIG", &config).stderr(Stdio::null());
                let running = Running(command.spawn().expect("started"));
                while tokio::net::TcpStream::connect(listen).await.is_err() {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                // It serves once it has leave.
                tokio::time::sleep(Duration::from_secs(2)).await;
                let load = Load::start(listen, "w", CLIENTS, Duration::ZERO);
                tokio::time::sleep(Duration::from_secs(1)).await;
                let (before, from) = (load.outcomes().served, used(running.0.id()));
                tokio::time::sleep(TIME).await;
                let (after, to) = (load.outcomes().served, used(running.0.id()));
                let outcomes = load.stop().await;
                assert_eq!((outcomes.lost, outcomes.failed, outcomes.refused), (0, 0, 0));
                let (count, cpu) = (after - before, to.0 - from.0);
                println!("| {binary} | {how} | {round} | {count} | {:.2} | {} |", cpu / count as f64, to.1);
            }
        }
        let _ = std::fs::remove_file(&config);
        service.stop().await;
        let _ = std::fs::remove_file(&state);
    });
}
