//! An operator takes a node out of service; the control service is lost; the proxy is replaced by a new version under load.

use review_standin_2::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The pause between two requests of a client, and the clients.
const PAUSE: Duration = Duration::from_millis(20);
const CLIENTS: usize = 2;
const TIME_LEFT: f64 = 1.0;
/// What is told binds so long after the yes of a new version, and then nothing new goes out after the grace, with the 50 ms of the protocol page.
const BINDS_AFTER: Duration = Duration::from_secs(2);
const GRACE: Duration = Duration::from_millis(550);
/// How long the node is watched then.
const WATCHED: Duration = Duration::from_secs(10);

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Arc<Record>, place: &Place) -> Result<Verdict, CannotRun> {
    let names = ["cache-01", "cache-02", "cache-03", "cache-04"];
    let nodes: Vec<Node> = names.iter().map(|n| Node::start(n, record)).collect::<Result<_, _>>()?;
    let origin = Node::start("origin-1", record)?;
    let mut entries: Vec<Entry> = nodes.iter().map(|n| Entry::of(n, "gandhinagar", "std-1c")).collect();
    entries.push(Entry::of(&origin, "gandhinagar", "origin"));
    let discovery = Discovery::start(entries)?;
    let (listen, xds, commands) = (free_addr()?, free_addr()?, free_addr()?);
    let known = discovery.known();
    let config =
        ProxyConfig { listen, discovery: discovery.addr, known: &known, sockets: 256, memory_mb: 192 };
    let config = place.write("config.json", &config.json())?;
    let subscription = place.write(
        "subscription.toml",
        &format!("addresses = [\"{xds}\"]\nclusters = [\"cache-nodes\", \"origin\"]\n"),
    )?;
    let state = place.folder.join("control.redb");
    let control = format!(
        "control --listen {xds} --admin {commands} --discovery {} --state {}",
        discovery.addr,
        state.display()
    );
    let mut control = Process::start(place, record, "control", &place.run(&control), &[])?;
    wait_until("the control service has a list", || {
        let asked =
            exchange(commands, b"GET /healthz HTTP/1.1\r\nHost: control\r\n\r\n", Duration::from_secs(1));
        asked.is_ok_and(|answer| answer.is_some_and(|m| m.status() == 200))
    })?;
    let folder = place.make("tmp")?;
    let start = |name: &str, operators: SocketAddr| {
        let variables = [
            ("PROXY_CONFIG", config.display().to_string()),
            ("PROXY_CONTROL", subscription.display().to_string()),
            ("PROXY_ADMIN_ADDR", operators.to_string()),
            ("TMPDIR", folder.display().to_string()),
        ];
        Process::start(place, record, name, &place.run(""), &variables)
    };
    let mut old = start("old", free_addr()?)?;
    wait_for_health(listen, Duration::from_secs(30))?;
    let load = Load::start(record, listen);
    let out = &nodes[0];
    wait_until("the node gets requests", || out.count() >= 5)?;

    let arguments = "override set --node cache-01 --out --for 10m --author asha --reason boiler-room --admin";
    let set = Command::new(place.program()).args(arguments.split(' ')).arg(commands.to_string()).output()?;
    let told = String::from_utf8_lossy(&set.stdout).trim().to_owned();
    record.note(&format!("override set: {told:?}, {}", set.status));
    if !set.status.success() {
        return Err(CannotRun(format!("the override was not set: {}", String::from_utf8_lossy(&set.stderr))));
    }
    // A second is ample for a subscriber.
    thread::sleep(Duration::from_secs(1));
    let held = Instant::now();
    thread::sleep(Duration::from_secs(2));
    if place.trouble {
        control.child.kill()?;
        control.child.wait()?;
        record.note("the control service is lost (SIGKILL)");
    }
    thread::sleep(Duration::from_secs(3));
    let early = out.count_since(held);
    record.note(&format!(
        "{early} requests reached cache-01 while the old version served, also without the control service"
    ));
    if early > 0 {
        return Err(CannotRun("the override did not take hold before the new version came".into()));
    }

    let operators = free_addr()?;
    let _new = start("new", operators)?;
    let asked = Instant::now();
    while !says_yes(operators) {
        if asked.elapsed() > Duration::from_secs(6) {
            return Err(CannotRun("the new version did not say yes within 6 s".into()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let yes = Instant::now();
    record.note("the new version says yes");
    old.signal(record, "TERM")?;
    match old.wait(Duration::from_secs(10))? {
        Some(how) => record.note(&format!("the old version has ended: {how}")),
        None => return Err(CannotRun("the old version did not end".into())),
    }
    let bound = yes + BINDS_AFTER + GRACE;
    thread::sleep(bound.saturating_duration_since(Instant::now()) + WATCHED);
    let (sent, unserved) = load.stop();
    let late = out.count_since(bound);
    let all: usize = nodes.iter().map(|n| n.count_since(bound)).sum();
    let told = format!(
        "{late} of {all} requests reached cache-01, which is out of service until 10 minutes after the command, from \
         {:.2} s after the yes of the new version on ({sent} requests in all, {unserved} not served)",
        (BINDS_AFTER + GRACE).as_secs_f64()
    );
    if all == 0 {
        return Err(CannotRun("no node got requests at the end".into()));
    }
    Ok(if late > 0 { Verdict::Broken(told) } else { Verdict::Held(told) })
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

/// Asks the operators' address for `STATUS`.
fn says_yes(operators: SocketAddr) -> bool {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&operators, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"STATUS\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    ask().is_ok_and(|answer| answer.starts_with("+OK"))
}

/// Usual clients that read one key after another.
struct Load {
    ends: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    unserved: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(record: &Arc<Record>, listen: SocketAddr) -> Self {
        let (ends, sent, unserved) =
            (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let clients = (0..CLIENTS)
            .map(|client| {
                let (record, ends, sent, unserved) =
                    (record.clone(), ends.clone(), sent.clone(), unserved.clone());
                thread::spawn(move || {
                    let mut n = 0;
                    while !ends.load(Ordering::Relaxed) {
                        n += 1;
                        let id = new_id();
                        let request =
                            get("schedule-read", &format!("boiler-{client}-{}", n % 150), &id, TIME_LEFT, "");
                        let got = exchange(listen, request.as_bytes(), Duration::from_secs(2));
                        let status = got.ok().flatten().map_or(0, |answer| answer.status());
                        record.note(&format!("client id={id}: {status}"));
                        sent.fetch_add(1, Ordering::Relaxed);
                        unserved.fetch_add(usize::from(status != 200), Ordering::Relaxed);
                        thread::sleep(PAUSE);
                    }
                })
            })
            .collect();
        Load { ends, sent, unserved, clients }
    }

    /// Ends the clients; returns how many requests they sent, and how many were not served.
    fn stop(self) -> (usize, usize) {
        self.ends.store(true, Ordering::Relaxed);
        self.clients.into_iter().for_each(|c| _ = c.join());
        (self.sent.load(Ordering::Relaxed), self.unserved.load(Ordering::Relaxed))
    }
}
