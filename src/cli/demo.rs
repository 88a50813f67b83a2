//! `rushquay demo`: a small installation on loopback, a drain, and how soon each proxy stopped sending to the node.

use rushquay::proxy::local::LocalProxy;
use rushquay_control_service::{start, ControlService, Options, Settings, SourceOption};
use rushquay_test_servers::{entry, proxy_config, Discovery, Load, Node, Outcomes};
use std::future::Future;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["gandhinagar", "vadodara", "rajkot", "surat"];
const NODES: usize = 6;
const PROXIES: usize = 2;
/// The node that is drained.
const DRAINED_NODE: &str = "cache-03";
/// The duration of the load before the drain, and again after it.
const LOAD_DURATION: Duration = Duration::from_secs(2);
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// The running parts of the demo.
struct Installation {
    nodes: Vec<Node>,
    discovery: Discovery,
    control: ControlService,
    proxies: Vec<LocalProxy>,
    /// The origin and the discovery of the proxies, kept running until the end.
    _background: (Node, Discovery),
}

async fn install() -> Result<Installation, String> {
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        nodes.push(Node::start(&format!("cache-{number:02}"), Duration::from_millis(2)).await);
    }
    let origin = Node::start("origin", Duration::from_millis(20)).await;
    let mut list: Vec<_> = nodes
        .iter()
        .zip(ZONES.iter().cycle())
        .map(|(n, zone)| entry(n, zone, "std-1c", "ready", 0))
        .collect();
    list.push(entry(&origin, ZONES[0], "origin", "ready", 0));
    let discovery = Discovery::start(1, &list).await;
    // The proxies' own discovery never changes, so every change that they apply comes from the control service.
    let stale_discovery = Discovery::start(1, &list).await;
    let any = "127.0.0.1:0".parse().map_err(|e| format!("{e}"))?;
    let source = SourceOption::Discovery(discovery.addr);
    let options =
        Options { listen: any, source, admin: Some(any), settings: Settings::default(), state_file: None };
    let control = start(options).await.map_err(|e| e.to_string())?;
    let mut proxies = Vec::new();
    for number in 0..PROXIES {
        let config = proxy_config(&format!("proxy-{number}"), stale_discovery.addr, &[control.xds], &list);
        proxies.push(LocalProxy::start(&config.to_string())?);
    }
    let started_at = Instant::now();
    let ready = |s: &rushquay_xds_grpc::Subscriber| s.has_all(rushquay_xds::Kind::Endpoint);
    while control.hub().subscribers().iter().filter(|s| ready(s)).count() < PROXIES {
        if started_at.elapsed() > STARTUP_TIMEOUT {
            return Err("the proxies did not subscribe in time".into());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(Installation { nodes, discovery, control, proxies, _background: (origin, stale_discovery) })
}

/// Waits until the control service has published a change, and returns when it did.
async fn wait_for_declaration(control: &ControlService, seq: u64) -> Result<Instant, String> {
    let started_at = Instant::now();
    while control.hub().store().seq() <= seq {
        if started_at.elapsed() > STARTUP_TIMEOUT {
            return Err("the control service did not receive the drain in time".into());
        }
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    Ok(Instant::now())
}

/// Runs the demo. With `once` it ends by itself, otherwise at `stop`.
pub async fn demo(once: bool, stop: impl Future<Output = ()>) -> Result<(), String> {
    let mut stop = std::pin::pin!(stop);
    let installation = tokio::select! {
        () = stop.as_mut() => return Ok(()),
        installation = show() => installation?,
    };
    if !once {
        let proxy = installation.proxies[0].addr;
        println!("\ntry by hand (Ctrl-C ends it):");
        println!("  curl -i -H 'X-Correlation-Id: mine-1' http://{proxy}/read/7f3a9c21e0b4d655");
        if let Some(admin) = installation.control.admin {
            println!("  curl http://{admin}/status\n  curl http://{admin}/metrics");
        }
        println!("  curl http://{}/catalog/members", installation.discovery.addr);
        stop.await;
        println!("\nending");
    }
    let Installation { proxies, control, .. } = installation;
    // Dropping a proxy waits for its clients. This thread serves the test servers, so the proxies are dropped on another one.
    let ended = tokio::task::spawn_blocking(move || drop(proxies)).await;
    control.stop().await;
    ended.map_err(|e| e.to_string())
}

/// Sends load, drains a node and prints the result.
async fn show() -> Result<Installation, String> {
    let parts = install().await?;
    println!("control service   xds={}", parts.control.xds);
    println!("discovery         {}", parts.discovery.addr);
    for (number, proxy) in parts.proxies.iter().enumerate() {
        println!("proxy-{number}           {}", proxy.addr);
    }
    println!("\nsending requests for {} s ...", LOAD_DURATION.as_secs());
    let loads: Vec<Load> = parts
        .proxies
        .iter()
        .enumerate()
        .map(|(n, proxy)| Load::start(proxy.addr, &format!("proxy-{n}"), 8, Duration::from_millis(5)))
        .collect();
    tokio::time::sleep(LOAD_DURATION).await;
    let drained = parts.nodes.iter().find(|n| n.id == DRAINED_NODE).ok_or("no node to drain")?;
    let before = drained.count();
    println!("draining {DRAINED_NODE}, which has served {before} requests so far");
    let seq = parts.control.hub().store().seq();
    parts.discovery.set(DRAINED_NODE, "draining");
    let declared_at = wait_for_declaration(&parts.control, seq).await?;
    tokio::time::sleep(LOAD_DURATION).await;
    let mut total = Outcomes::default();
    for load in loads {
        let o = load.stop().await;
        total.asked += o.asked;
        total.served += o.served;
        total.refused += o.refused;
        total.failed += o.failed;
        total.lost += o.lost;
    }
    for number in 0..PROXIES {
        let prefix = format!("proxy-{number}-");
        let last = drained.last(&prefix).ok_or("a proxy never sent to the node")?;
        match last.checked_duration_since(declared_at) {
            Some(after) => println!(
                "  proxy-{number}: last sent to it {:.1} ms after the control service learned",
                after.as_secs_f64() * 1e3
            ),
            None => println!("  proxy-{number}: sent nothing to it after the control service learned"),
        }
    }
    println!(
        "{} requests: {} served, {} refused, {} failed, {} lost",
        total.asked, total.served, total.refused, total.failed, total.lost
    );
    if total.lost > 0 || total.served + total.refused + total.failed != total.asked {
        return Err("a request was left without a final answer".into());
    }
    Ok(parts)
}
