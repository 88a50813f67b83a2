//! Many clients whose bodies come in small pieces: does the proxy stay within its memory?

use review_standin::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Clients hold a third of the 1,024 descriptors at most.
const CLIENTS: usize = 200;
/// Under 64 KiB: such bodies are held whole.
const LENGTH: usize = 64_000;
/// Bytes a second at which a client writes its body.
const RATE: usize = 64_000;
/// The pieces that the bodies come in, and without trouble.
const PIECE: usize = 256;
const LARGE_PIECE: usize = 16_000;

fn main() {
    begin();
    let record = Record::create(&std::env::args().nth(1).expect("record.txt"));
    let piece = if has_trouble() { PIECE } else { LARGE_PIECE };
    let pace = Duration::from_micros((1_000_000 * piece / RATE) as u64);
    record.line(format!(
        "{CLIENTS} clients, bodies of {LENGTH} bytes in pieces of {piece}, {RATE} bytes a second each"
    ));
    let noted = record.clone();
    let origin = node(move |request| {
        noted.line(format!(
            "origin: ran {} id={} ({} bytes)",
            request.line,
            request.id(),
            request.body.len()
        ));
        Reply::Answer(Duration::from_millis(20), "200 OK", "", "stored".into())
    });
    let cache = node(|_| {
        Reply::Answer(Duration::from_millis(5), "404 Not Found", "X-Lookup: miss\r\n", String::new())
    });
    let entries = [
        entry("cache-01", cache, "gandhinagar", "fast-1c", "ready"),
        entry("origin-1", origin, "gandhinagar", "origin", "ready"),
    ];
    let (_discovery, addr) = Discovery::start(&record, 41, list(41, &entries));
    let classes = [
        class("schedule-read", "safe", 500, 1000, 5000, 0.5),
        class("setpoint-change", "keyed", 300, 1000, 2000, 0.5),
    ];
    let settings = settings(&GSBHSB, &classes.join(","));
    let Some(proxy) = Proxy::start(&record, &settings, &list(41, &entries), addr, 1024) else {
        cannot_run(&record, "the proxy did not become ready");
    };
    // The platform kills a proxy that goes over its memory.
    let (platform, noted) = (proxy.clone(), record.clone());
    let watch = thread::spawn(move || {
        let (until, mut peak, mut told) = (Instant::now() + Duration::from_secs(6), 0, 0);
        while Instant::now() < until && platform.ended().is_none() {
            peak = platform.resident_bytes().max(peak);
            if peak >= told + (16 << 20) {
                told = peak;
                noted.line(format!("platform: the proxy has {} MB resident", peak >> 20));
            }
            if peak > MEMORY_MB << 20 {
                noted.line(format!(
                    "platform: {} MB resident, over the limit of {MEMORY_MB} MB: SIGKILL",
                    peak >> 20
                ));
                platform.signal("KILL");
                return peak;
            }
            thread::sleep(Duration::from_millis(5));
        }
        peak
    });
    let mut streams: Vec<TcpStream> = Vec::new();
    for n in 0..CLIENTS {
        let Ok(mut stream) = TcpStream::connect(proxy.addr) else {
            cannot_run(&record, "no connection to the proxy")
        };
        let _ = stream.set_nodelay(true);
        let head = format!(
            "PUT /setpoint-change/{n:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Account: health-bldgs\r\nX-Correlation-Id: id-{n}\r\n\
             Idempotency-Key: key-{n}\r\nX-Time-Left: 1.000\r\nContent-Length: {LENGTH}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            cannot_run(&record, "a head could not be written");
        }
        record.line(format!("client {n}: sent the head of PUT id=id-{n}, X-Time-Left=1.000"));
        streams.push(stream);
    }
    record.line(format!("clients: {CLIENTS} heads are written, the bodies begin"));
    let (body, begun) = (vec![b'v'; LENGTH], Instant::now());
    let mut cut_off = 0;
    for (n, part) in body.chunks(piece).enumerate() {
        thread::sleep((pace * n as u32).saturating_sub(begun.elapsed()));
        for stream in &mut streams {
            cut_off += usize::from(stream.write_all(part).is_err());
        }
    }
    record.line(format!(
        "clients: the last bytes are written {:.3} s after the first, {cut_off} pieces could not be written",
        begun.elapsed().as_secs_f64()
    ));
    let (mut served, mut refused, mut other, mut none) = (0, 0, 0, 0);
    for (n, stream) in streams.into_iter().enumerate() {
        let answer = Client::of(stream).answer(Duration::from_secs(2));
        let text =
            answer.as_ref().map_or_else(|why| (*why).to_owned(), |a| format!("answered {}", a.status()));
        record.line(format!("client {n}: id=id-{n} {text}"));
        match answer.as_ref().map(Message::status) {
            Ok(200) => served += 1,
            Ok(429 | 503) => refused += 1,
            Ok(_) => other += 1,
            Err(_) => none += 1,
        }
    }
    record.line(format!(
        "clients: {served} served, {refused} refused, {other} failed, {none} without an answer"
    ));
    let peak = watch.join().expect("the platform");
    let text = format!(
        "at most {:.1} MB resident of {MEMORY_MB} MB; {none} of {CLIENTS} without an answer",
        peak as f64 / f64::from(1 << 20)
    );
    verdict(&record, peak > MEMORY_MB << 20, &text);
}
