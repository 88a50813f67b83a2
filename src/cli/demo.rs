//! `rushquay demo`: a small installation on loopback, a drain, and how soon each proxy left the node.

use rushquay::proxy::local::LocalProxy;
use rushquay_control_service::{start, ControlService, Options, Settings, SourceOption};
use rushquay_test_servers::{entry, proxy_config, Discovery, Load, Node, Outcomes};
use std::future::Future;
use std::time::{Duration, Instant};

const ZONES: [&str; 4] = ["gandhinagar", "vadodara", "rajkot", "surat"];
const NODES: usize = 6;
const PROXIES: usize = 2;
/// The node that is drained.
const DRAINED: &str = "cache-03";
/// Load before the drain, and after.
const FOR: Duration = Duration::from_secs(2);
const STARTED_WITHIN: Duration = Duration::from_secs(30);

struct Installation {
    nodes: Vec<Node>,
    discovery: Discovery,
    control: ControlService,
    proxies: Vec<LocalProxy>,
    /// Held up until the end.
    _rest: (Node, Discovery),
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
    // The proxies' own discovery hears of nothing, so that what they do comes from the control service.
    let behind = Discovery::start(1, &list).await;
    let any = "127.0.0.1:0".parse().map_err(|e| format!("{e}"))?;
    let source = SourceOption::Discovery(discovery.addr);
    let options =
        Options { listen: any, source, admin: Some(any), settings: Settings::default(), state: None };
    let control = start(options).await.map_err(|e| e.to_string())?;
    let mut proxies = Vec::new();
    for number in 0..PROXIES {
        let config = proxy_config(&format!("proxy-{number}"), behind.addr, &[control.xds], &list);
        proxies.push(LocalProxy::start(&config.to_string())?);
    }
    let begun = Instant::now();
    let ready = |s: &rushquay_xds_grpc::Subscriber| s.has_all(rushquay_xds::Kind::Endpoint);
    while control.hub().subscribers().iter().filter(|s| ready(s)).count() < PROXIES {
        if begun.elapsed() > STARTED_WITHIN {
            return Err("the proxies did not subscribe in time".into());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(Installation { nodes, discovery, control, proxies, _rest: (origin, behind) })
}

/// Waits until the control service has declared a change; when it did.
async fn declared(control: &ControlService, seq: u64) -> Result<Instant, String> {
    let begun = Instant::now();
    while control.hub().store().seq() <= seq {
        if begun.elapsed() > STARTED_WITHIN {
            return Err("the control service did not hear of the drain in time".into());
        }
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    Ok(Instant::now())
}

/// Runs the demo; with `once` it ends by itself, else at `stop`.
pub async fn demo(once: bool, stop: impl Future<Output = ()>) -> Result<(), String> {
    let mut stop = std::pin::pin!(stop);
    let shown = tokio::select! {
        () = stop.as_mut() => return Ok(()),
        shown = show() => shown?,
    };
    if !once {
        let proxy = shown.proxies[0].addr;
        println!("\ntry by hand (Ctrl-C ends it):");
        println!("  curl -i -H 'X-Correlation-Id: mine-1' http://{proxy}/read/7f3a9c21e0b4d655");
        if let Some(admin) = shown.control.admin {
            println!("  curl http://{admin}/status\n  curl http://{admin}/metrics");
        }
        println!("  curl http://{}/catalog/members", shown.discovery.addr);
        stop.await;
        println!("\nending");
    }
    let Installation { proxies, control, .. } = shown;
    // Each waits for its clients; off this thread, which serves the stand-ins.
    let ended = tokio::task::spawn_blocking(move || drop(proxies)).await;
    control.stop().await;
    ended.map_err(|e| e.to_string())
}

async fn show() -> Result<Installation, String> {
    let all = install().await?;
    println!("control service   xds={}", all.control.xds);
    println!("discovery         {}", all.discovery.addr);
    for (number, proxy) in all.proxies.iter().enumerate() {
        println!("proxy-{number}           {}", proxy.addr);
    }
    println!("\nsending requests for {} s ...", FOR.as_secs());
    let loads: Vec<Load> = all
        .proxies
        .iter()
        .enumerate()
        .map(|(n, proxy)| Load::start(proxy.addr, &format!("proxy-{n}"), 8, Duration::from_millis(5)))
        .collect();
    tokio::time::sleep(FOR).await;
    let drained = all.nodes.iter().find(|n| n.id == DRAINED).ok_or("no node to drain")?;
    let before = drained.count();
    println!("draining {DRAINED}, which has served {before} requests so far");
    let seq = all.control.hub().store().seq();
    all.discovery.set(DRAINED, "draining");
    let learned = declared(&all.control, seq).await?;
    tokio::time::sleep(FOR).await;
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
        match last.checked_duration_since(learned) {
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
    Ok(all)
}
