//! What the review has found besides its cases, to be run by hand: `further NAME RECORD`, with the same variables as a case.

use review_standin::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn main() {
    begin();
    let name = std::env::args().nth(1).expect("a name");
    let record = Record::create(&std::env::args().nth(2).expect("a record"));
    match name.as_str() {
        "answers" => answers(&record),
        "silent" => silent(&record),
        "deadline" => deadline(&record),
        "pipeline" => pipeline(&record),
        "chunks" => chunks(&record),
        "list" => long_list(&record),
        "late" => late(&record),
        other => cannot_run(&record, &format!("no {other}")),
    }
}

/// A proxy before one cache node and an origin.
fn start(
    record: &Arc<Record>,
    site: &Site,
    classes: &[String],
    cache: SocketAddr,
    origin: SocketAddr,
) -> Proxy {
    let (zone, kind) = (site.zones[0], site.kinds[0]);
    let entries =
        [entry("cache-01", cache, zone, kind, "ready"), entry("origin-1", origin, zone, "origin", "ready")];
    let (_discovery, addr) = Discovery::start(record, 41, list(41, &entries));
    let settings = settings(site, &classes.join(","));
    Proxy::start(record, &settings, &list(41, &entries), addr, 1024)
        .unwrap_or_else(|| cannot_run(record, "the proxy did not become ready"))
}

fn gsbhsb_classes() -> [String; 2] {
    [
        class("schedule-read", "safe", 500, 1000, 5000, 0.5),
        class("setpoint-change", "keyed", 300, 1000, 2000, 0.5),
    ]
}

fn missing() -> SocketAddr {
    node(|_| Reply::Answer(Duration::from_millis(5), "404 Not Found", "X-Lookup: miss\r\n", String::new()))
}

/// Answers of 60,000 bytes that come in pieces of 128 bytes over half a second, 200 at once: does the memory stay within the limit?
fn answers(record: &Arc<Record>) -> ! {
    let piece = if has_trouble() { 128 } else { 15_000 };
    let cache = listen(move |stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        let mut writer = stream;
        while read_message(&mut reader).is_some() {
            let head = b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 60000\r\n\r\n";
            let (body, begun) = ([b'v'; 60_000], Instant::now());
            if writer.write_all(head).is_err() {
                return;
            }
            for (n, part) in body.chunks(piece).enumerate() {
                let at = Duration::from_micros((n * piece * 500 / 60) as u64);
                thread::sleep(at.saturating_sub(begun.elapsed()));
                if writer.write_all(part).is_err() {
                    return;
                }
            }
        }
    });
    let proxy = start(record, &GSBHSB, &gsbhsb_classes(), cache, missing());
    let clients: Vec<_> = (0..200)
        .map(|n| {
            let to = proxy.addr;
            thread::spawn(move || {
                let mut client = Client::to(to).expect("a connection");
                let head = format!(
                    "GET /schedule-read/{n:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-{n}\r\n\
                     X-Time-Left: 1.000\r\n\r\n"
                );
                client.write(head.as_bytes()).expect("written");
                client.answer(Duration::from_secs(2)).map_or(0, |a| a.status())
            })
        })
        .collect();
    let (until, mut peak) = (Instant::now() + Duration::from_secs(2), 0);
    while Instant::now() < until {
        peak = proxy.resident_bytes().max(peak);
        thread::sleep(Duration::from_millis(5));
    }
    let served = clients
        .into_iter()
        .filter(|_| true)
        .map(|c| c.join().expect("a client"))
        .filter(|s| *s == 200)
        .count();
    verdict(record, peak > MEMORY_MB << 20, &format!("{} MB resident, {served} of 200 served", peak >> 20))
}

/// A body of 66,000 bytes whose receiver reads it whole and never answers: is it answered?
fn silent(record: &Arc<Record>) -> ! {
    let length = if has_trouble() { 66_000 } else { 60_000 };
    let origin = node(|_| Reply::Answer(Duration::from_secs(60), "200 OK", "", String::new()));
    let proxy = start(record, &GSBHSB, &gsbhsb_classes(), missing(), origin);
    let mut client = Client::to(proxy.addr).expect("a connection");
    let head = format!(
        "PUT /setpoint-change/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-1\r\n\
         Idempotency-Key: key-1\r\nX-Time-Left: 1.000\r\nContent-Length: {length}\r\n\r\n"
    );
    client.write(head.as_bytes()).and_then(|()| client.write(&vec![b'v'; length])).expect("written");
    let sent = Instant::now();
    let answer = client.answer(Duration::from_secs(20));
    let text = answer.as_ref().map_or_else(|why| (*why).to_owned(), |a| format!("answered {}", a.status()));
    let after = sent.elapsed().as_secs_f64();
    verdict(record, answer.is_err() || after > 1.5, &format!("{length} bytes: {text} after {after:.3} s"))
}

/// A planned restart where a class has a deadline of 5 s: SIGKILL comes 3.7 s after SIGTERM, and the origin takes 4.1 s.
fn deadline(record: &Arc<Record>) -> ! {
    let origin = node(|_| Reply::Answer(Duration::from_millis(4100), "200 OK", "", "stored".into()));
    let classes = [
        class("consulta", "safe", 1500, 3000, 5000, 0.0),
        class("transferencia", "keyed", 2500, 5000, 5000, 0.0),
    ];
    let proxy = start(record, &MONTEVIDEO, &classes, missing(), origin);
    let mut client = Client::to(proxy.addr).expect("a connection");
    let head =
        "PUT /transferencia/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-1\r\n\
                Idempotency-Key: key-1\r\nX-Time-Left: 5.000\r\nContent-Length: 100000\r\n\r\n";
    client.write(head.as_bytes()).and_then(|()| client.write(&[b'v'; 100_000])).expect("written");
    let sent = Instant::now();
    thread::sleep(Duration::from_millis(100));
    if has_trouble() {
        proxy.signal("TERM");
        let platform = proxy.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3700));
            platform.signal("KILL");
        });
    }
    let answer = client.answer(Duration::from_millis(5500));
    let text = answer.as_ref().map_or_else(|why| (*why).to_owned(), |a| format!("answered {}", a.status()));
    verdict(record, answer.is_err(), &format!("{text} after {:.3} s", sent.elapsed().as_secs_f64()))
}

/// A client that sends 200 requests at once on one connection: are all answered up to half a second after their time?
fn pipeline(record: &Arc<Record>) -> ! {
    let count = if has_trouble() { 200 } else { 50 };
    let cache =
        node(|_| Reply::Answer(Duration::from_millis(50), "200 OK", "X-Lookup: hit\r\n", "value".into()));
    let proxy = start(record, &GSBHSB, &gsbhsb_classes(), cache, missing());
    let mut client = Client::to(proxy.addr).expect("a connection");
    let mut all = String::new();
    for n in 0..count {
        all += &format!(
            "GET /schedule-read/{:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-{n}\r\n\
             X-Account: health-bldgs\r\nX-Time-Left: 1.000\r\n\r\n",
            n * 7919
        );
    }
    client.write(all.as_bytes()).expect("written");
    let sent = Instant::now();
    let late = (0..count)
        .filter(|_| {
            client.answer(Duration::from_secs(10)).is_err() || sent.elapsed() > Duration::from_millis(1500)
        })
        .count();
    let last = sent.elapsed().as_secs_f64();
    verdict(
        record,
        late > 0,
        &format!("{late} of {count} later than 1.5 s after the last byte, the last after {last:.3} s"),
    )
}

/// Eight bodies of 64,000 bytes in chunks of one byte: are they answered in time?
fn chunks(record: &Arc<Record>) -> ! {
    let chunk = if has_trouble() { 1 } else { 1000 };
    let origin = node(|_| Reply::Answer(Duration::from_millis(20), "200 OK", "", "stored".into()));
    let proxy = start(record, &GSBHSB, &gsbhsb_classes(), missing(), origin);
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let to = proxy.addr;
            thread::spawn(move || {
                let mut client = Client::to(to).expect("a connection");
                let mut text = format!(
                    "PUT /setpoint-change/{n:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-{n}\r\n\
                     Idempotency-Key: key-{n}\r\nX-Time-Left: 1.000\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                (0..64_000 / chunk).for_each(|_| text += &format!("{chunk:x}\r\n{}\r\n", "v".repeat(chunk)));
                text += "0\r\n\r\n";
                client.write(text.as_bytes()).expect("written");
                let sent = Instant::now();
                let answer = client.answer(Duration::from_secs(30));
                (answer.map_or(0, |a| a.status()), sent.elapsed().as_secs_f64())
            })
        })
        .collect();
    let ends: Vec<(u16, f64)> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    let late = ends.iter().filter(|(status, after)| *status == 0 || *after > 1.5).count();
    verdict(record, late > 0, &format!("{late} of 8 lost: {ends:.3?}"))
}

/// A whole list of 3,200 cache nodes, indented by eight: does the proxy take it? Most of the nodes don't run; a key of a node that the
/// list has draining is asked for.
fn long_list(record: &Arc<Record>) -> ! {
    let cache =
        node(|_| Reply::Answer(Duration::from_millis(5), "200 OK", "X-Lookup: hit\r\n", "value".into()));
    let entries = |state: &str| -> Vec<String> {
        let numbered = |n: usize| {
            let state = if n == 0 { "ready" } else { state };
            entry(&format!("cache-{n:04}.vadodara.example.org"), cache, "vadodara", "fast-1c", state)
        };
        (0..3200).map(numbered).collect()
    };
    let indented = |text: String| {
        let (outer, inner) = (" ".repeat(16), " ".repeat(24));
        text.replace("{\"id\"", &format!("\n{outer}{{\n{inner}\"id\""))
            .replace(",\"", &format!(",\n{inner}\""))
            .replace("\":", "\": ")
            .replace('}', &format!("\n{outer}}}"))
    };
    let whole = list(42, &entries("draining"));
    let whole = if has_trouble() { indented(whole) } else { whole };
    let (discovery, addr) = Discovery::start(record, 41, list(41, &entries("ready")));
    let settings = settings(&GSBHSB, &gsbhsb_classes().join(","));
    let known = list(41, &entries("ready"));
    let Some(proxy) = Proxy::start(record, &settings, &known, addr, 1024) else {
        cannot_run(record, "the proxy did not become ready");
    };
    discovery.change(42, whole);
    thread::sleep(Duration::from_secs(8));
    let log = proxy.log();
    let line = log.lines().find(|l| l.contains("discovery")).unwrap_or("none").to_owned();
    verdict(record, line != "none", &format!("what the proxy says of discovery: {line}"))
}

/// A second copy of one answer in a hundred, LATE_MS behind it (16 unless set): is it served to another request?
fn late(record: &Arc<Record>) -> ! {
    let delay = std::env::var("LATE_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(16);
    let (begun, count) = (Instant::now(), Arc::new(AtomicU64::new(0)));
    let noted = record.clone();
    let cache = listen(move |stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().expect("a second handle"));
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(5));
            let body = request.id();
            let text =
                format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            let number = count.fetch_add(1, Ordering::Relaxed);
            // The nodes are sound for the first four seconds.
            if has_trouble() && begun.elapsed() > Duration::from_secs(4) && number.is_multiple_of(100) {
                noted.line(format!("node: a second answer of {body} follows after {delay} ms"));
                let mut copy = writer.try_clone().expect("a third handle");
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(delay));
                    let _ = copy.write_all(text.as_bytes());
                });
            }
        }
    });
    let proxy = start(record, &GSBHSB, &gsbhsb_classes(), cache, missing());
    let clients: Vec<_> = (0..16)
        .map(|c| {
            let (to, record) = (proxy.addr, record.clone());
            thread::spawn(move || {
                let (mut asked, mut wrong) = (0, 0);
                let mut client = Client::to(to).expect("a connection");
                while begun.elapsed() < Duration::from_secs(12) {
                    let id = format!("id-{c}-{asked:05}");
                    asked += 1;
                    let text = format!(
                        "GET /schedule-read/{:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\n\
                         X-Time-Left: 1.000\r\n\r\n",
                        c * 100 + asked % 50
                    );
                    let answer = client.write(text.as_bytes()).map_err(|_| "").and_then(|()| client.answer(Duration::from_secs(2)));
                    match answer {
                        Ok(answer) if answer.status() == 200 && answer.body != id.as_bytes() => {
                            wrong += 1;
                            record.line(format!("client: {id} got {}", String::from_utf8_lossy(&answer.body)));
                        }
                        Ok(_) => {}
                        Err(_) => client = Client::to(to).expect("a connection"),
                    }
                    thread::sleep(Duration::from_millis(asked as u64 * 7 % 40));
                }
                (asked, wrong)
            })
        })
        .collect();
    let ends: Vec<(usize, usize)> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    let (asked, wrong) = ends.iter().fold((0, 0), |(a, w), end| (a + end.0, w + end.1));
    verdict(record, wrong > 0, &format!("copies {delay} ms late: {wrong} of {asked} got another's answer"))
}
