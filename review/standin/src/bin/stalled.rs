//! Long setpoint changes while the receiver stops reading and keeps the connection open.

use review_standin::*;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Lengths of the bodies in MiB.
const LENGTHS: [usize; 4] = [3, 4, 5, 6];
/// A body that is not written by then has not been taken.
const WRITE_PATIENCE: Duration = Duration::from_secs(3);
/// The client waits for 1 s; up to half a second later an answer is late and not lost.
const LATEST: Duration = Duration::from_millis(1500);
/// How long the case looks for an answer all the same.
const PATIENCE: Duration = Duration::from_secs(20);

fn main() {
    begin();
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
    // How much a system holds for a receiver that does not read differs between machines, so bodies of several lengths are sent.
    let clients: Vec<_> = LENGTHS
        .map(|mb| {
            let (to, record) = (proxy.addr, record.clone());
            thread::spawn(move || upload(to, mb, &record))
        })
        .into();
    let taken: Vec<bool> = clients.into_iter().filter_map(|c| c.join().expect("a client")).collect();
    if taken.is_empty() {
        cannot_run(&record, "no body was taken whole");
    }
    let lost = taken.iter().filter(|lost| **lost).count();
    let text = format!("{lost} of {} requests that were taken had no answer in time", taken.len());
    verdict(&record, lost > 0, &text);
}

/// Sends a body of so many MiB. Returns whether the request was lost; `None`: it was not taken.
fn upload(to: SocketAddr, mb: usize, record: &Record) -> Option<bool> {
    let length = mb << 20;
    let mut client = Client::to(to).ok()?;
    let head = format!(
        "PUT /setpoint-change/{mb:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Account: health-bldgs\r\nX-Correlation-Id: id-{mb}\r\n\
         Idempotency-Key: key-{mb}\r\nX-Time-Left: 1.000\r\nContent-Length: {length}\r\n\r\n"
    );
    let begun = Instant::now();
    let _ = client.stream.set_write_timeout(Some(WRITE_PATIENCE));
    if client.write(head.as_bytes()).and_then(|()| client.write(&vec![b'v'; length])).is_err() {
        record
            .line(format!("client: id=id-{mb}: the body of {length} bytes was not taken whole: not judged"));
        return None;
    }
    let sent = Instant::now();
    let took = begun.elapsed().as_secs_f64();
    record.line(format!("client: id=id-{mb}: last byte of {length} written {took:.3} s after the first"));
    let answer = client.answer(PATIENCE);
    let after = sent.elapsed();
    let text = match &answer {
        Ok(answer) => format!("answered {}", answer.status()),
        Err(why) => format!("no answer: {why}"),
    };
    record.line(format!("client: id=id-{mb}: {text}, {:.3} s after the last byte", after.as_secs_f64()));
    Some(answer.is_err() || after > LATEST)
}
