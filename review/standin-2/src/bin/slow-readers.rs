//! Clients that read long answers slowly hold all places; usual clients come on new connections.

use review_standin_2::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the proxy, and the readers: under a third of the descriptors.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 512;
const READERS: usize = 120;
/// A long answer, a short one, and how a reader reads: about 12 s for a long one.
const LONG: usize = 24_000_000;
const SHORT: usize = 60_000;
const PIECE: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(32);
/// Usual requests, the pause between two, and what their clients wait.
const REQUESTS: usize = 12;
const EVERY: Duration = Duration::from_millis(250);
const TIME_LEFT: f64 = 1.0;
/// Up to half a second after its time an answer is late and not lost; 50 ms more by the protocol page.
const LOST_AFTER: f64 = TIME_LEFT + 0.5 + 0.05;

fn main() -> ExitCode {
    run_case(case)
}

fn case(record: &Arc<Record>, place: &Place) -> Result<Verdict, CannotRun> {
    let bytes = if place.trouble { LONG } else { SHORT };
    let long = Some(("history-read", bytes));
    let nodes: Vec<Node> = ["cache-01", "cache-02", "cache-03"]
        .iter()
        .map(|n| Node::start_with(n, record, long))
        .collect::<Result<_, _>>()?;
    let origin = Node::start("origin-1", record)?;
    let mut entries: Vec<Entry> = nodes.iter().map(|n| Entry::of(n, "gandhinagar", "std-1c")).collect();
    entries.push(Entry::of(&origin, "gandhinagar", "origin"));
    let discovery = Discovery::start(entries)?;
    let listen = free_addr()?;
    let known = discovery.known();
    let config = ProxyConfig {
        listen,
        discovery: discovery.addr,
        known: &known,
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
    };
    let config = place.write("config.json", &config.json())?;
    let variables = [
        ("PROXY_CONFIG", config.display().to_string()),
        ("TMPDIR", place.make("tmp")?.display().to_string()),
    ];
    let mut proxy = Process::start(place, record, "proxy", &place.run(""), &variables)?;
    wait_for_health(listen, Duration::from_secs(30))?;
    let before = ask(record, listen, "before");
    if before != Told::Answered {
        return Err(CannotRun("a usual request had no answer before anything happened".into()));
    }

    let begun = Arc::new(AtomicUsize::new(0));
    let readers: Vec<_> = (0..READERS)
        .map(|n| {
            thread::sleep(Duration::from_millis(4));
            let (record, begun) = (record.clone(), begun.clone());
            thread::spawn(move || read_slowly(&record, listen, n, bytes, &begun))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    record.note(&format!(
        "{} of {READERS} readers have the beginning of an answer",
        begun.load(Ordering::Relaxed)
    ));
    let usual: Vec<_> = (0..REQUESTS)
        .map(|_| {
            thread::sleep(EVERY);
            let record = record.clone();
            thread::spawn(move || ask(&record, listen, "beside the readers"))
        })
        .collect();
    let told: Vec<Told> = usual.into_iter().filter_map(|u| u.join().ok()).collect();
    let whole = readers.into_iter().filter_map(|r| r.join().ok()).filter(|whole| *whole).count();
    record.note(&format!("{whole} of {READERS} readers got their answer whole"));
    if let Some(status) = proxy.child.try_wait()? {
        return Ok(Verdict::Broken(format!("the proxy has ended: {status}")));
    }
    let lost = told.iter().filter(|t| **t == Told::Nothing).count();
    let text = format!(
        "{lost} of {} usual requests on new connections had neither an answer nor a close within {LOST_AFTER} s, beside \
         {READERS} readers",
        told.len()
    );
    Ok(if lost > 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// What a usual client is told in time.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    Answered,
    Closed,
    Nothing,
}

/// Sends a usual request on a new connection.
fn ask(record: &Record, listen: SocketAddr, when: &str) -> Told {
    let id = new_id();
    let sent = Instant::now();
    let request = get("schedule-read", "boiler-7", &id, TIME_LEFT, "");
    let got = exchange(listen, request.as_bytes(), Duration::from_secs_f64(LOST_AFTER));
    let (told, text) = match &got {
        Ok(Some(answer)) => (Told::Answered, answer.first.clone()),
        Ok(None) => (Told::Closed, "a close".to_owned()),
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            (Told::Nothing, format!("nothing: {e}"))
        }
        Err(e) => (Told::Closed, format!("an end: {e}")),
    };
    record
        .note(&format!("usual client ({when}) id={id}: {text} after {:.3} s", sent.elapsed().as_secs_f64()));
    told
}

/// Asks for an answer and reads it at a steady pace. Returns whether it came whole.
fn read_slowly(
    record: &Record,
    listen: SocketAddr,
    number: usize,
    bytes: usize,
    begun: &AtomicUsize,
) -> bool {
    let id = new_id();
    let read = || -> std::io::Result<usize> {
        let mut stream = TcpStream::connect(listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.write_all(
            get("history-read", &format!("boiler-{number}"), &id, 2.0, "Connection: close\r\n").as_bytes(),
        )?;
        let (mut piece, mut total) = (vec![0; PIECE], 0);
        loop {
            let n = stream.read(&mut piece)?;
            if n == 0 {
                return Ok(total);
            }
            if total == 0 {
                begun.fetch_add(1, Ordering::Relaxed);
            }
            total += n;
            thread::sleep(PAUSE);
        }
    };
    let got = read();
    record.note(&format!("reader {number} id={id}: {got:?} bytes, with the head"));
    got.is_ok_and(|total| total >= bytes)
}
