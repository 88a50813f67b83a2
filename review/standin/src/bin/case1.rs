//! Unsafe setpoint changes with bodies a little over 64 KiB: does the origin run one twice?

use review_standin::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CHANGES: usize = 10;
/// How long a client waits before it repeats; the site has 7.5 to 60 ms.
const BACKOFF: Duration = Duration::from_millis(60);

fn main() {
    begin();
    let record = Record::create(&std::env::args().nth(1).expect("record.txt"));
    let length = if has_trouble() { 66_000 } else { 60_000 };
    record.line(format!("bodies of {length} bytes"));
    // What the origin ran: by the object that a change names.
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let (ran, noted) = (runs.clone(), record.clone());
    let origin = node(move |request| {
        let change = request.path().to_owned();
        let times = {
            let mut ran = ran.lock().expect("runs");
            let times = ran.entry(change.clone()).or_default();
            *times += 1;
            *times
        };
        noted.line(format!(
            "origin: ran {change} ({} bytes) id={}, run {times}",
            request.body.len(),
            request.id()
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
        class("setpoint-change", "unsafe", 300, 1000, 2000, 0.5),
    ];
    let settings = settings(&GSBHSB, &classes.join(","));
    let Some(proxy) = Proxy::start(&record, &settings, &list(41, &entries), addr, 1024) else {
        cannot_run(&record, "the proxy did not become ready");
    };
    let Ok(mut client) = Client::to(proxy.addr) else { cannot_run(&record, "no connection to the proxy") };
    let body = vec![b'v'; length];
    let (mut number, mut served) = (0, 0);
    for change in 0..CHANGES {
        // A client repeats an unsafe change only after a refusal, which says that a repeat is harmless; twice at most.
        let begun = Instant::now();
        for repeat in 0..3 {
            number += 1;
            let left = Duration::from_secs(1).saturating_sub(begun.elapsed()).as_secs_f64();
            let mark = if repeat > 0 { "X-Repeat: 1\r\n" } else { "" };
            let head = format!(
                "PUT /setpoint-change/{change:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Account: health-bldgs\r\nX-Correlation-Id: id-{number}\r\n\
                 X-Time-Left: {left:.3}\r\n{mark}Content-Length: {length}\r\n\r\n"
            );
            record.line(format!("client: PUT change {change:016x} id=id-{number} repeat={repeat}"));
            let sent = client.write(head.as_bytes()).and_then(|()| client.write(&body));
            let answer = match sent {
                Ok(()) => client.answer(Duration::from_millis(1500)),
                Err(_) => Err("could not be written"),
            };
            let status = match answer {
                Ok(answer) => {
                    record.line(format!("client: id=id-{number} answered {}", answer.status()));
                    answer.status()
                }
                Err(why) => {
                    record.line(format!("client: id=id-{number}: {why}"));
                    0
                }
            };
            served += usize::from(status == 200);
            if status == 0 || status >= 400 {
                match Client::to(proxy.addr) {
                    Ok(new) => client = new,
                    Err(_) => cannot_run(&record, "no connection to the proxy"),
                }
            }
            if !matches!(status, 429 | 503) {
                break;
            }
            thread::sleep(BACKOFF);
        }
        thread::sleep(Duration::from_millis(300));
    }
    let runs = runs.lock().expect("runs");
    let twice = runs.values().filter(|times| **times > 1).count();
    if runs.is_empty() {
        cannot_run(&record, "the origin ran nothing");
    }
    let why = format!(
        "{twice} of {CHANGES} unsafe changes ran more than once at the origin; {served} answered 200"
    );
    verdict(&record, twice > 0, &why);
}
