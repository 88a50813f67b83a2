//! Bad clients name `X-Correlation-Id` in their `Connection` header; usual clients come when all of them have gone.

use review_standin_2::*;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bad clients in all, and how many of them at once.
const BAD_CLIENTS: usize = 200;
const AT_ONCE: usize = 40;
/// What such a client is owed an error or a close in; then it closes its connection.
const OWED_WITHIN: Duration = Duration::from_secs(3);
/// Usual requests when all bad clients have gone.
const REQUESTS: usize = 12;
/// How long a usual client waits, and what more an answer may take without being lost, with the 50 ms of the protocol page.
const TIME_LEFT: f64 = 1.0;
const LOST_AFTER: f64 = TIME_LEFT + 0.5 + 0.05;

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Arc<Record>, place: &Place) -> Result<Verdict, CannotRun> {
    let nodes: Vec<Node> = ["cache-01", "cache-02", "cache-03"]
        .iter()
        .map(|n| Node::start(n, record))
        .collect::<Result<_, _>>()?;
    let origin = Node::start("origin-1", record)?;
    let mut entries: Vec<Entry> = nodes.iter().map(|n| Entry::of(n, "gandhinagar", "std-1c")).collect();
    entries.push(Entry::of(&origin, "gandhinagar", "origin"));
    let discovery = Discovery::start(entries)?;
    let listen = free_addr()?;
    let known = discovery.known();
    let config =
        ProxyConfig { listen, discovery: discovery.addr, known: &known, sockets: 256, memory_mb: 192 };
    let config = place.write("config.json", &config.json())?;
    let variables = [
        ("PROXY_CONFIG", config.display().to_string()),
        ("TMPDIR", place.make("tmp")?.display().to_string()),
    ];
    let mut proxy = Process::start(place, record, "proxy", &place.run(""), &variables)?;
    wait_for_health(listen, Duration::from_secs(30))?;

    let before = usual(record, listen, "before", 10);
    if before != 0 {
        return Err(CannotRun(format!(
            "{before} of 10 usual requests had no answer before anything happened"
        )));
    }
    let mut unanswered = 0;
    for wave in 0..BAD_CLIENTS / AT_ONCE {
        let trouble = place.trouble;
        let clients: Vec<_> = (0..AT_ONCE)
            .map(|n| {
                let record = record.clone();
                thread::spawn(move || bad_client(&record, listen, wave * AT_ONCE + n, trouble))
            })
            .collect();
        unanswered += clients.into_iter().map(|c| usize::from(!c.join().unwrap_or(false))).sum::<usize>();
    }
    record.note(&format!(
        "{unanswered} of {BAD_CLIENTS} clients got neither an answer nor a close; all have closed"
    ));
    // No connection is open now; the proxy has had time to see that.
    thread::sleep(Duration::from_secs(3));
    let lost = usual(record, listen, "after", REQUESTS);
    if let Some(status) = proxy.child.try_wait()? {
        return Ok(Verdict::Broken(format!("the proxy has ended: {status}")));
    }
    let told =
        format!("{lost} of {REQUESTS} usual requests on new connections had no answer within {LOST_AFTER} s");
    Ok(if lost > 0 { Verdict::Broken(told) } else { Verdict::Held(told) })
}

/// Sends one request as a bad client does, waits for what it is owed, and closes. Returns whether it got an answer or a close.
fn bad_client(record: &Record, listen: SocketAddr, number: usize, trouble: bool) -> bool {
    let id = new_id();
    let more = if trouble { "Connection: X-Correlation-Id\r\n" } else { "" };
    let got =
        exchange(listen, get("schedule-read", "boiler-7", &id, TIME_LEFT, more).as_bytes(), OWED_WITHIN);
    let (is_answered, text) = match got {
        Ok(Some(answer)) => (true, answer.first),
        Ok(None) => (true, "a close".to_owned()),
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => (true, "a reset".to_owned()),
        Err(e) => (false, format!("nothing: {e}")),
    };
    record.note(&format!("client {number} id={id} named={trouble}: {text}"));
    is_answered
}

/// Sends usual requests, one after another, each on a new connection. Returns how many are lost.
fn usual(record: &Record, listen: SocketAddr, when: &str, count: usize) -> usize {
    let mut lost = 0;
    for n in 0..count {
        let id = new_id();
        let request = get("schedule-read", &format!("boiler-{n}"), &id, TIME_LEFT, "");
        let sent = Instant::now();
        let got = exchange(listen, request.as_bytes(), Duration::from_secs_f64(LOST_AFTER));
        let text = match &got {
            Ok(Some(answer)) => answer.first.clone(),
            Ok(None) => "a close and no answer".to_owned(),
            Err(e) => format!("no answer: {e}"),
        };
        lost += usize::from(!matches!(got, Ok(Some(_))));
        let took = sent.elapsed().as_secs_f64();
        record.note(&format!("usual client ({when}) id={id}: {text} after {took:.3} s"));
    }
    lost
}
