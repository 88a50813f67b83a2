//! A planned restart in the middle of a slow upload, which comes whole before the proxy ends.

use review_standin::*;
use std::thread;
use std::time::{Duration, Instant};

const LENGTH: usize = 200_000;
/// The client writes at 64 kB a second.
const PIECE: usize = 3_200;
const PACE: Duration = Duration::from_millis(50);
/// How long the origin takes for a write.
const ORIGIN_TIME: Duration = Duration::from_millis(600);
/// SIGTERM comes this long after the upload began.
const TERM_AT: Duration = Duration::from_millis(850);
/// SIGKILL comes the longest deadline (2 s here) and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(2700);
/// The client waits for 1 s; up to half a second later an answer is late and not lost.
const PATIENCE: Duration = Duration::from_millis(1500);

fn main() {
    begin();
    let record = Record::create(&std::env::args().nth(1).expect("record.txt"));
    let noted = record.clone();
    let origin = node(move |request| {
        noted.line(format!(
            "origin: runs {} id={} ({} bytes)",
            request.line,
            request.id(),
            request.body.len()
        ));
        Reply::Answer(ORIGIN_TIME, "200 OK", "", "stored".into())
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
        class("setpoint-read", "safe", 150, 300, 5000, 0.2),
        class("history-read", "safe", 500, 2000, 5000, 0.2),
        class("setpoint-change", "keyed", 300, 1000, 2000, 0.5),
    ];
    let settings = settings(&GSBHSB, &classes.join(","));
    let Some(proxy) = Proxy::start(&record, &settings, &list(41, &entries), addr, 1024) else {
        cannot_run(&record, "the proxy did not become ready");
    };
    let Ok(mut client) = Client::to(proxy.addr) else { cannot_run(&record, "no connection to the proxy") };
    let (to_writer, noted) = (client.stream.try_clone().expect("a second handle"), record.clone());
    let upload = thread::spawn(move || {
        let mut writer = Client::of(to_writer);
        let head = format!(
            "PUT /setpoint-change/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Account: health-bldgs\r\nX-Correlation-Id: id-1\r\n\
             Idempotency-Key: key-1\r\nX-Time-Left: 1.000\r\nContent-Length: {LENGTH}\r\n\r\n"
        );
        let begun = Instant::now();
        noted
            .line(format!("client: begins PUT id=id-1, {LENGTH} bytes at 64 kB a second, X-Time-Left=1.000"));
        writer.write(head.as_bytes())?;
        let body = vec![b'v'; LENGTH];
        for (n, piece) in body.chunks(PIECE).enumerate() {
            thread::sleep((PACE * n as u32).saturating_sub(begun.elapsed()));
            writer.write(piece)?;
        }
        noted.line("client: the last byte is written");
        Ok::<Instant, std::io::Error>(Instant::now())
    });
    thread::sleep(TERM_AT);
    let killer = if has_trouble() {
        record.line("platform: SIGTERM to the proxy");
        let told = Instant::now();
        proxy.signal("TERM");
        let noted = record.clone();
        Some(thread::spawn(move || {
            while told.elapsed() < KILL_AFTER {
                if let Some(status) = proxy.ended() {
                    let after = told.elapsed().as_secs_f64();
                    noted.line(format!("proxy: ended by itself {after:.3} s after SIGTERM, {status}"));
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
            noted.line("platform: SIGKILL to the proxy");
            proxy.signal("KILL");
        }))
    } else {
        None
    };
    let written = match upload.join().expect("the client") {
        Ok(written) => written,
        Err(e) => cannot_run(&record, &format!("the upload was cut off: {e}")),
    };
    let answer = client.answer(PATIENCE.saturating_sub(written.elapsed()));
    let after = written.elapsed().as_secs_f64();
    let text = match &answer {
        Ok(answer) => format!("answered {} {after:.3} s after the last byte", answer.status()),
        Err(why) => format!("no answer: {why}, {after:.3} s after the last byte"),
    };
    record.line(format!("client: id=id-1 {text}"));
    let _ended = killer.map(thread::JoinHandle::join);
    verdict(&record, answer.is_err(), &text);
}
