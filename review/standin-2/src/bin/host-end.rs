//! A host's proxy hangs, and the host is told to end.

use review_standin_2::*;
use std::process::{Command, ExitCode};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The spans of the host's settings, in seconds: `hang_s`, `drain_s` and `watch_s`.
const HANG: u64 = 3;
const DRAIN: u64 = 6;
const WATCH: u64 = 2;
/// Beyond the time after which a process that was told to end is killed.
const AMPLE: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Arc<Record>, place: &Place) -> Result<Verdict, CannotRun> {
    let node = Node::start("cache-01", record)?;
    let origin = Node::start("origin-1", record)?;
    let entries =
        vec![Entry::of(&node, "gandhinagar", "std-1c"), Entry::of(&origin, "gandhinagar", "origin")];
    let discovery = Discovery::start(entries)?;
    let listen = free_addr()?;
    let known = discovery.known();
    let config =
        ProxyConfig { listen, discovery: discovery.addr, known: &known, sockets: 256, memory_mb: 192 };
    let config = place.write("config.json", &config.json())?;
    let (programs, folder) = (place.make("programs")?, place.folder.join("host"));
    let added = Command::new(place.program())
        .args(["host", "add"])
        .arg(place.program())
        .arg("--programs")
        .arg(&programs)
        .output()?;
    let digest = String::from_utf8_lossy(&added.stdout);
    let digest = digest.split_whitespace().find(|w| w.len() == 32).unwrap_or("").to_owned();
    let settings = place.write(
        "host.toml",
        &format!(
            "name = \"n0\"\ndir = \"{}\"\nprograms = \"{}\"\nprogram = \"{digest}\"\n[environment]\nPROXY_CONFIG = \"{}\"\n\
             [terms]\nhang_s = {HANG}.0\ndrain_s = {DRAIN}.0\nwatch_s = {WATCH}.0\n",
            folder.display(),
            programs.display(),
            config.display()
        ),
    )?;
    let command = format!("host run --config {}", settings.display());
    let mut host = Process::start(place, record, "host", &place.run(&command), &[])?;
    wait_for_health(listen, Duration::from_secs(30))?;
    let proxy = child_of(host.child.id())?;
    record.note(&format!("the proxy is process {proxy}"));
    let id = new_id();
    let read = get("schedule-read", "boiler-7", &id, 1.0, "");
    let asked = exchange(listen, read.as_bytes(), Duration::from_secs(2))?;
    record.note(&format!("client id={id}: {}", asked.as_ref().map_or("a close", |answer| &answer.first)));
    if asked.is_none_or(|answer| answer.status() != 200) {
        return Err(CannotRun("a read was not served before anything happened".into()));
    }
    // It has been heard for a while.
    thread::sleep(Duration::from_secs(2));
    if place.trouble {
        send_signal(proxy, "STOP")?;
        record.note("the proxy hangs (SIGSTOP)");
    }
    thread::sleep(Duration::from_millis(500));
    host.signal(record, "TERM")?;
    let told = Instant::now();
    let ended = host.wait(Duration::from_secs(DRAIN) + AMPLE)?;
    let took = told.elapsed().as_secs_f64();
    let text = match &ended {
        Some(how) => format!("the host ended {took:.1} s after SIGTERM ({how}); drain_s is {DRAIN}"),
        None => format!("the host has not ended {took:.1} s after SIGTERM; drain_s is {DRAIN}"),
    };
    record.note(&text);
    if ended.is_none() {
        // What the host would have had to do.
        send_signal(proxy, "KILL")?;
        let after = host.wait(Duration::from_secs(5))?;
        record.note(&format!("the case has killed the proxy; the host: {after:?}"));
    }
    Ok(if ended.is_none() { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// The one child of a process.
fn child_of(pid: u32) -> Result<u32, CannotRun> {
    for entry in std::fs::read_dir("/proc")?.flatten() {
        let Some(child) = entry.file_name().to_str().and_then(|n| n.parse::<u32>().ok()) else { continue };
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{child}/stat")) else { continue };
        // Behind the name: the state, then the parent.
        let parent = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1)?.parse().ok());
        if parent == Some(pid) {
            return Ok(child);
        }
    }
    Err(CannotRun("the host has no child".into()))
}
