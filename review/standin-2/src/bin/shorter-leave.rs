//! The control service is started again with a shorter `leave_s` while one proxy is cut off from it; then the policy is changed.
//!
//! Policy 1 forbids the reads the second data centre, policy 2 the third, and the floor allows the first alone. So a read in the second data
//! centre shows a proxy that acts by policy 2 alone, and one in the third a proxy that acts by policy 1 alone.

use review_standin_2::*;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["gandhinagar", "vadodara", "rajkot"];
/// `leave_s` before and after the restart.
const LEAVE: f64 = 24.0;
const SHORTER: f64 = 2.0;
/// Requests that are under way end by what they began with: the deadline of the class, and as much for the way and the machine.
const UNDER_WAY: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(25);

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Arc<Record>, place: &Place) -> Result<Verdict, CannotRun> {
    let nodes: Vec<Node> =
        ZONES.iter().map(|z| Node::start(&format!("cache-{z}"), record)).collect::<Result<_, _>>()?;
    let origin = Node::start("origin-1", record)?;
    let mut entries: Vec<Entry> = nodes.iter().zip(ZONES).map(|(n, z)| Entry::of(n, z, "std-1c")).collect();
    entries.push(Entry::of(&origin, "gandhinagar", "origin"));
    let discovery = Discovery::start(entries)?;
    let (xds, commands) = (free_addr()?, free_addr()?);
    let known = discovery.known();
    let state = place.folder.join("control.redb");
    let start_control = |name: &str, leave: f64| -> Result<Process, CannotRun> {
        let text = format!("[policy]\nleave_s = {leave:?}\nlimit_s = 100.0\nfloor_s = 600.0\nlook_ms = 50\n");
        let settings = place.write(&format!("{name}.toml"), &text)?;
        let command = format!(
            "control --listen {xds} --admin {commands} --discovery {} --state {} --config {}",
            discovery.addr,
            state.display(),
            settings.display()
        );
        record.note(&format!("{name} has leave_s = {leave:?}"));
        let control = Process::start(place, record, name, &place.run(&command), &[])?;
        wait_until("the control service has a list", || {
            let asked =
                exchange(commands, b"GET /healthz HTTP/1.1\r\nHost: control\r\n\r\n", Duration::from_secs(1));
            asked.is_ok_and(|answer| answer.is_some_and(|m| m.status() == 200))
        })?;
        Ok(control)
    };
    let control = start_control("control-1", LEAVE)?;
    // One leg to the control service for each proxy.
    let links = [Link::start(xds)?, Link::start(xds)?];
    let policy = place.write("policy.toml", "ask_ms = 500\n")?;
    let mut proxies = Vec::new();
    let mut listens = Vec::new();
    for (n, link) in links.iter().enumerate() {
        let listen = free_addr()?;
        let config =
            ProxyConfig { listen, discovery: discovery.addr, known: &known, sockets: 256, memory_mb: 192 };
        let config = config.json().replace("\"name\":\"n0\"", &format!("\"name\":\"n{n}\""));
        let config = place.write(&format!("config-{n}.json"), &config)?;
        let subscription = format!(
            "addresses = [\"{}\"]\nclusters = [\"cache-nodes\", \"origin\"]\nbackoff_ms = 100\nbackoff_most_ms = 1000\n",
            link.addr
        );
        let subscription = place.write(&format!("subscription-{n}.toml"), &subscription)?;
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_CONTROL", subscription.display().to_string()),
            ("PROXY_POLICY", policy.display().to_string()),
            ("TMPDIR", place.make(&format!("tmp-{n}"))?.display().to_string()),
        ];
        let name = format!("proxy-{n}");
        proxies.push(Process::start(place, record, &name, &place.run(""), &variables)?);
        listens.push(listen);
    }
    for listen in &listens {
        wait_for_health(*listen, Duration::from_secs(30))?;
    }
    let first = propose(record, place, commands, &[0, 2, 3])?;
    if !first {
        return Err(CannotRun("the first policy was not committed".into()));
    }
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = listens
        .iter()
        .enumerate()
        .map(|(n, listen)| {
            let (record, ends, listen) = (record.clone(), ends.clone(), *listen);
            thread::spawn(move || load(&record, n, listen, &ends))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    // All that was under way by the files alone is over.
    let begin = Instant::now();
    thread::sleep(Duration::from_secs(1));

    links[1].cut();
    record.note("the link of proxy-1 to the control service is cut");
    thread::sleep(Duration::from_millis(500));
    control.signal(record, "TERM")?;
    let mut control = control;
    if control.wait(Duration::from_secs(10))?.is_none() {
        return Err(CannotRun("the control service did not end".into()));
    }
    let _control = start_control("control-2", if place.trouble { SHORTER } else { LEAVE })?;
    let committed = propose(record, place, commands, &[0, 1, 3])?;
    thread::sleep(Duration::from_secs(8));
    ends.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| _ = c.join());
    if !committed {
        return Err(CannotRun("the second policy was not committed".into()));
    }

    let by = |zone: usize, proxy: usize| -> Vec<Instant> {
        let prefix = format!("p{proxy}-");
        let all = nodes[zone].requests().into_iter();
        all.filter(|(at, m)| {
            *at >= begin && m.header("x-correlation-id").is_some_and(|id| id.starts_with(&prefix))
        })
        .map(|(at, _)| at)
        .collect()
    };
    let Some(new_since) = by(1, 0).first().copied() else {
        return Err(CannotRun("proxy-0 never acted by the second policy".into()));
    };
    let old: Vec<Instant> = by(2, 1).into_iter().filter(|at| *at > new_since + UNDER_WAY).collect();
    let told = match old.last() {
        None => "no read of proxy-1 went by the first policy alone once proxy-0 acted by the second alone".to_owned(),
        Some(last) => format!(
            "{} reads of proxy-1 went by the first policy alone, up to {:.1} s after proxy-0 acted by the second alone",
            old.len(),
            (*last - new_since).as_secs_f64()
        ),
    };
    Ok(if old.is_empty() { Verdict::Held(told) } else { Verdict::Broken(told) })
}

/// Proposes a policy that allows the reads these data centres, with a floor of the first alone, and waits for the decision. Returns whether it
/// was committed.
fn propose(record: &Record, place: &Place, commands: SocketAddr, allowed: &[u32]) -> Result<bool, CannotRun> {
    let settings = |allowed: &[u32]| {
        format!("{{\"categories\": [{{\"name\": \"schedule-read\", \"allowed_in\": {allowed:?}}}]}}")
    };
    let (file, floor) =
        (place.write("settings.json", &settings(allowed))?, place.write("floor.json", &settings(&[0]))?);
    let path = |path: &Path| path.display().to_string();
    let arguments =
        ["policy", "propose", "--settings", &path(&file), "--floor", &path(&floor), "--author", "ravi"];
    let began = Instant::now();
    let done = Command::new(place.program())
        .args(arguments)
        .args(["--reason", "review", "--wait", "--admin", &commands.to_string()])
        .output()?;
    let words = String::from_utf8_lossy(&done.stdout).into_owned() + &String::from_utf8_lossy(&done.stderr);
    // The last line tells the decision, those before it whom it waited for.
    let words = words.trim().lines().last().unwrap_or("").to_owned();
    let took = began.elapsed().as_secs_f64();
    record.note(&format!("proposed {allowed:?}, decided after {took:.1} s, {}: {words}", done.status));
    Ok(done.status.success())
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) -> Result<(), CannotRun> {
    let start = Instant::now();
    while !is_so() {
        if start.elapsed() > Duration::from_secs(15) {
            return Err(CannotRun(format!("not within 15 s: {what}")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Reads one key after another through a proxy.
fn load(record: &Record, proxy: usize, listen: SocketAddr, ends: &AtomicBool) {
    let mut n = 0;
    while !ends.load(Ordering::Relaxed) {
        n += 1;
        let id = format!("p{proxy}-{}", new_id());
        let request = get("schedule-read", &format!("boiler-{}", n % 150), &id, 1.0, "");
        let status = exchange(listen, request.as_bytes(), Duration::from_secs(2))
            .ok()
            .flatten()
            .map_or(0, |m| m.status());
        record.note(&format!("client of proxy-{proxy} id={id}: {status}"));
        thread::sleep(PAUSE);
    }
}
