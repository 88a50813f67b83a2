//! Uploads that cross the end of a process: each is answered, and refused only while no node has got it whole.

mod rig;

use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// The longest deadline of the proxy's classes, which SIGKILL waits for, and 0.7 s more.
const DEADLINE: Duration = Duration::from_secs(2);
const KILLED_AFTER: Duration = Duration::from_millis(2700);
/// What a client waits from its last byte on.
const TIME_LEFT: Duration = Duration::from_secs(1);
/// An answer so long after its time is late and not lost.
const GRACE: Duration = Duration::from_millis(500);
/// How long the origin takes.
const ORIGIN_TIME: Duration = Duration::from_millis(600);
/// A client's pieces come at this interval.
const PACE: Duration = Duration::from_millis(50);
/// How long before SIGTERM the uploads begin.
const AHEAD: Duration = Duration::from_millis(800);

/// A proxy whose classes have this deadline.
fn rig_with(deadline: Duration) -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(deadline.as_nanos() as u64);
    }
    Rig { proxy: Proxy::new(&config), cache, origin, discovery }
}

/// Reads one request. Returns its id if it came whole.
fn whole_request(node: &mut Peer) -> Option<String> {
    let head = node.read_head()?;
    node.read_body(head.length)?;
    Some(head.id)
}

/// Answers each whole request after `ORIGIN_TIME`. Returns the ids of those that came whole.
fn run_all(origin: Server) -> mpsc::Receiver<String> {
    let (told, ran) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in origin.taken {
            let (mut node, told) = (Peer::new(stream), told.clone());
            std::thread::spawn(move || {
                while let Some(id) = whole_request(&mut node) {
                    let _ = told.send(id);
                    std::thread::sleep(ORIGIN_TIME);
                    let _ = node.0.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    ran
}

/// A body and the time in which it is sent.
#[derive(Clone, Copy, Debug)]
struct Upload {
    length: usize,
    takes: Duration,
    is_chunked: bool,
}

/// What a client saw of its upload.
#[derive(Debug)]
struct Outcome {
    status: Option<u16>,
    /// From its last byte to the end of its answer.
    waited: Duration,
}

impl Upload {
    /// Sends all of it at an even pace, whatever is answered meanwhile, and then reads its answer.
    fn send(self, mut client: Peer, id: &str) -> Outcome {
        let framing = match self.is_chunked {
            true => "Transfer-Encoding: chunked\r\n".into(),
            false => format!("Content-Length: {}\r\n", self.length),
        };
        let headers =
            format!("Idempotency-Key: {id}\r\nX-Time-Left: {:.3}\r\n{framing}", TIME_LEFT.as_secs_f64());
        client.write(&get_as(id, "set", &headers).replace("GET", "PUT"));
        let rounds = (self.takes.as_millis() / PACE.as_millis()) as u32;
        let (begun, body) = (Instant::now(), vec![b'v'; self.length / rounds as usize + 1]);
        let mut left = self.length;
        for round in 0..=rounds {
            std::thread::sleep((PACE * round).saturating_sub(begun.elapsed()));
            let piece = &body[..left.min(body.len())];
            left -= piece.len();
            let stream = client.0.get_mut();
            let written = match self.is_chunked {
                false => stream.write_all(piece),
                true if round == rounds => stream.write_all(b"0\r\n\r\n"),
                true if piece.is_empty() => Ok(()),
                true => {
                    let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
                    stream.write_all(&chunk)
                }
            };
            if written.is_err() {
                break;
            }
        }
        let last_byte = Instant::now();
        let status = client.read().map(|answer| answer.status());
        Outcome { status, waited: last_byte.elapsed() }
    }
}

/// Plays these uploads over the end of a proxy. Returns what each client saw, and the ids that the origin got whole.
fn play(r: Rig, uploads: &[Upload]) -> (Vec<Outcome>, Vec<String>) {
    let Rig { mut proxy, origin, .. } = r;
    let ran = run_all(origin);
    let clients: Vec<_> = uploads
        .iter()
        .enumerate()
        .map(|(n, upload)| {
            let (client, upload) = (proxy.client(), *upload);
            std::thread::spawn(move || upload.send(client, &format!("up-{n}")))
        })
        .collect();
    std::thread::sleep(AHEAD);
    proxy.signal("-TERM");
    let told = Instant::now();
    let ended = proxy.child.wait().expect("ended");
    assert!(ended.success() && told.elapsed() < KILLED_AFTER, "{ended} after {:?}", told.elapsed());
    let outcomes = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    (outcomes, ran.try_iter().collect())
}

/// Guards against an upload that comes whole while its process ends: it ran, and nobody said so.
#[test]
fn uploads_that_cross_the_end_of_a_process_are_answered_or_refused_before_they_run() {
    // Their last bytes come from 0.3 s after SIGTERM on until long after the end of the process.
    let uploads: Vec<Upload> = (0..24)
        .map(|n| {
            let takes = AHEAD + Duration::from_millis(300 + 120 * n);
            // Long ones at 64 kB a second, and short ones, which are held until they are whole.
            let length = if n % 3 == 0 { 40_000 } else { takes.as_millis() as usize * 64 };
            Upload { length, takes, is_chunked: n % 2 == 0 }
        })
        .collect();
    let (outcomes, ran) = play(rig_with(DEADLINE), &uploads);
    let mut served = 0;
    for (upload, outcome) in uploads.iter().zip(&outcomes) {
        let whole_at = (upload.takes - AHEAD).as_millis();
        println!("{} bytes, whole {whole_at} ms after SIGTERM: {outcome:?}", upload.length);
    }
    assert!(outcomes.iter().all(|outcome| outcome.status.is_some()), "no answer: {outcomes:?}");
    for (n, (upload, outcome)) in uploads.iter().zip(&outcomes).enumerate() {
        let has_run = ran.contains(&format!("up-{n}"));
        let case = format!("{upload:?}: {outcome:?}, run: {has_run}");
        let Some(status) = outcome.status else { continue };
        assert!(!(has_run && matches!(status, 429 | 503)), "refused after it ran: {case}");
        assert!(outcome.waited < TIME_LEFT + GRACE, "late: {case}");
        served += usize::from(status == 200);
    }
    assert!(served > 0, "none of the early ones was served: {outcomes:?}");
}

/// Guards against a class with a longer deadline than the platform waits for, whose requests end with the process unanswered.
#[test]
fn requests_with_a_longer_deadline_than_the_process_has_are_answered_before_it_ends() {
    let Rig { mut proxy, origin, .. } = rig_with(Duration::from_secs(5));
    let (mut put, mut get) = (proxy.client(), proxy.client());
    put.write(
        &get_as("put", "set", "Idempotency-Key: k\r\nContent-Length: 100000\r\n").replace("GET", "PUT"),
    );
    put.0.get_mut().write_all(&[b'v'; 100_000]).expect("written");
    get.ask("order", "");
    // Both are taken, and the nodes say nothing.
    let mut node = origin.take();
    assert_eq!(node.request().body.len(), 100_000);
    proxy.signal("-TERM");
    let told = Instant::now();
    // A second signal neither hastens nor prolongs the end.
    proxy.logged("draining");
    proxy.signal("-TERM");
    for client in [&mut put, &mut get] {
        assert!(client.answer().status() >= 200);
    }
    let ended = proxy.child.wait().expect("ended");
    // SIGKILL comes 3 s and 0.7 s after SIGTERM, whatever the deadlines.
    assert!(ended.success() && told.elapsed() < Duration::from_millis(3700), "after {:?}", told.elapsed());
}

/// Guards against an answer that is delimited by the close of its connection and passes for whole when the process ends within it.
#[test]
fn an_answer_up_to_the_close_that_the_end_of_the_process_cuts_off_is_shown_to_be_broken() {
    let Rig { mut proxy, cache, .. } = rig_with(DEADLINE);
    let mut client = proxy.client();
    client.write("GET /read/1 HTTP/1.0\r\nX-Correlation-Id: old\r\n\r\n");
    let mut node = cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 1000000\r\n\r\n");
    node.0.get_mut().write_all(&[b'v'; 200_000]).expect("written");
    let mut begun = [0; 1000];
    client.0.read_exact(&mut begun).expect("the beginning");
    proxy.signal("-TERM");
    assert!(proxy.child.wait().expect("ended").success());
    let mut rest = Vec::new();
    assert!(client.0.read_to_end(&mut rest).is_err(), "{} bytes pass for a whole answer", rest.len());
}
