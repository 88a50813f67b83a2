//! A long setpoint change while the receiver stops reading and keeps the connection open.

use review_standin::*;
use std::io::BufReader;
use std::thread;
use std::time::{Duration, Instant};

/// Over what the proxy's system holds back for a receiver that does not read, and little enough for the client to write all of it.
const LENGTH: usize = 4 << 20;
/// The client waits for 1 s; up to half a second later an answer is late and not lost.
const LATEST: Duration = Duration::from_millis(1500);
/// How long the case looks for an answer all the same.
const PATIENCE: Duration = Duration::from_secs(20);

fn main() {
    end_on_panic();
    let record = Record::create(&std::env::args().nth(1).expect("record.txt"));
    let noted = record.clone();
    let origin = listen(move |stream| {
        if has_trouble() {
            // Reads the head, and then nothing more.
            let mut reader = BufReader::with_capacity(512, stream);
            if let Some(head) = read_head(&mut reader) {
                noted.line(format!(
                    "origin: got the head of {} id={}, and reads no more",
                    head.line,
                    head.id()
                ));
                thread::sleep(Duration::from_secs(60));
            }
            return;
        }
        let noted = noted.clone();
        serve_requests(stream, &move |request: &Message| {
            noted.line(format!(
                "origin: ran {} id={} ({} bytes)",
                request.line,
                request.id(),
                request.body.len()
            ));
            Reply::Answer(Duration::from_millis(20), "200 OK", "", "stored".into())
        });
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
    let Ok(mut client) = Client::to(proxy.addr) else { cannot_run(&record, "no connection to the proxy") };
    let body = vec![b'v'; LENGTH];
    let head = format!(
        "PUT /setpoint-change/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: id-1\r\n\
         Idempotency-Key: key-1\r\nX-Time-Left: 1.000\r\nContent-Length: {LENGTH}\r\n\r\n"
    );
    let begun = Instant::now();
    let _ = client.stream.set_write_timeout(Some(Duration::from_secs(5)));
    if let Err(e) = client.write(head.as_bytes()).and_then(|()| client.write(&body)) {
        // Then the request has not been taken, and the rule says nothing.
        cannot_run(&record, &format!("the body was not taken whole: {e}"));
    }
    record.line(format!(
        "client: last byte of {LENGTH} written {:.3} s after the first",
        begun.elapsed().as_secs_f64()
    ));
    let sent = Instant::now();
    let answer = client.answer(PATIENCE);
    let after = sent.elapsed().as_secs_f64();
    let text = match &answer {
        Ok(answer) => format!("answered {} {after:.3} s after the last byte", answer.status()),
        Err(why) => format!("no answer: {why}, {after:.3} s after the last byte"),
    };
    record.line(format!("client: id=id-1 {text}"));
    verdict(&record, answer.is_err() || after > LATEST.as_secs_f64(), &text);
}
