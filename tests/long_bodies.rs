//! Request bodies of any length and framing, over nodes of any kind: one answer in time, a refusal only for what no node has got whole, and
//! no second run.

mod rig;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rig::*;
use std::collections::HashMap;
use std::io::{BufRead, Read, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SEED: u64 = 61;
/// What a client waits from its last byte on, and the half second in which a late answer is not lost.
const TIME_LEFT: Duration = Duration::from_millis(800);
const GRACE: Duration = Duration::from_millis(500);
/// A body that is not taken by then was never taken, and is owed nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// A client repeats what was refused so often.
const MAX_REPEATS: usize = 2;
/// Long enough for a connection to a node to have rested.
const PAUSE: Duration = Duration::from_millis(120);

/// What a node does with its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeKind {
    /// It answers what it has got whole.
    Sound,
    /// It reads everything and says nothing.
    Silent,
    /// It reads heads alone, and keeps its connections open.
    Stalled,
    /// It reads a few bytes from time to time.
    Trickling,
    /// It reads at a pace that it draws for each body, 100 kB to 1 MB a second, and answers.
    Slow,
}

/// The time between two reads of a slow node.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Reads a body of this length, or in chunks, slowly; `None`: it does not come whole.
fn read_slowly(node: &mut Peer, length: Option<usize>) -> Option<()> {
    let step = [2_000, 5_000, 10_000, 20_000][node.0.get_ref().peer_addr().ok()?.port() as usize % 4];
    let mut tail = Vec::new();
    let mut left = length.unwrap_or(usize::MAX);
    while left > 0 {
        std::thread::sleep(READ_INTERVAL);
        let mut part = vec![0; step.min(left)];
        let n = node.0.get_mut().read(&mut part).ok().filter(|n| *n > 0)?;
        left -= n;
        tail.extend_from_slice(&part[..n]);
        tail.drain(..tail.len().saturating_sub(7));
        if length.is_none() && tail.ends_with(b"\r\n0\r\n\r\n") {
            return Some(());
        }
    }
    Some(())
}

/// How often the node has got each request whole, by its path.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

fn serve(mut node: Peer, kind: NodeKind, runs: &Runs) -> Option<()> {
    loop {
        let RequestHead { path, length, .. } = node.read_head()?;
        match kind {
            NodeKind::Sound | NodeKind::Silent => node.read_body(length)?,
            NodeKind::Stalled => std::thread::sleep(LONG),
            NodeKind::Trickling => loop {
                std::thread::sleep(PAUSE);
                node.0.get_mut().read_exact(&mut [0; 10_000]).ok()?;
            },
            NodeKind::Slow => {
                // What came with the head is in the reader's buffer.
                let buffered = node.0.buffer().len();
                node.0.consume(buffered);
                let rest = length.map(|length| length.saturating_sub(buffered));
                read_slowly(&mut node, rest)?;
            }
        }
        *runs.lock().expect("runs").entry(path).or_default() += 1;
        if matches!(kind, NodeKind::Sound | NodeKind::Slow) {
            node.0.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
        }
    }
}

/// Starts the origin.
fn start_nodes(origin: Server, kind: NodeKind) -> Runs {
    let runs = Runs::default();
    let told = runs.clone();
    std::thread::spawn(move || {
        for stream in origin.taken {
            let (node, runs) = (Peer::new(stream), told.clone());
            std::thread::spawn(move || serve(node, kind, &runs));
        }
    });
    runs
}

/// A body to be sent.
#[derive(Clone, Copy, Debug)]
struct BodyPlan {
    length: usize,
    /// Bytes of a chunk; `None`: the length is told.
    chunk: Option<usize>,
    /// Whether the last bytes and the end of the body come in a write of their own.
    is_end_apart: bool,
}

impl BodyPlan {
    /// Draws a body whose length is near one of the constants that lengths are compared with: read buffers, the longest buffered body, and what
    /// may be read beyond it.
    fn draw(random: &mut Pcg64Mcg) -> Self {
        const CONSTANTS: [usize; 8] =
            [4 << 10, 8 << 10, 16 << 10, 64 << 10, 72 << 10, 80 << 10, 128 << 10, 300_000];
        let near = CONSTANTS[random.random_range(0..CONSTANTS.len())];
        let length = match random.random_range(0..3) {
            0 => near + random.random_range(0..3) - 1,
            1 => near + random.random_range(0..2_000),
            _ => random.random_range(1..320_000),
        };
        let chunk = match random.random_range(0..3) {
            0 => Some([1_000, 16_000, 70_000, 400_000][random.random_range(0..4)]),
            _ => None,
        };
        BodyPlan { length, chunk, is_end_apart: random.random_bool(0.3) }
    }

    /// Draws a body that a node which stops reading may hold up: in the buffers between them, or beyond.
    fn draw_long(random: &mut Pcg64Mcg) -> Self {
        const MB: usize = 1 << 20;
        let length = [66_000, 200_000, MB, 3 * MB, 5 * MB, 7 * MB, 9 * MB][random.random_range(0..7)];
        BodyPlan { length, ..BodyPlan::draw(random) }
    }

    fn header(self) -> String {
        match self.chunk {
            Some(_) => "Transfer-Encoding: chunked\r\n".into(),
            None => format!("Content-Length: {}\r\n", self.length),
        }
    }

    /// The body as it is written, in one or two parts.
    fn parts(self) -> Vec<Vec<u8>> {
        let body = vec![b'v'; self.length];
        let mut wire = match self.chunk {
            None => body,
            Some(chunk) => {
                let framed =
                    |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
                body.chunks(chunk).flat_map(framed).collect()
            }
        };
        let end: &[u8] = if self.chunk.is_some() { b"0\r\n\r\n" } else { b"" };
        if !self.is_end_apart {
            wire.extend(end);
            return vec![wire];
        }
        let last = match end.is_empty() {
            true => wire.split_off(wire.len() - wire.len().min(7)),
            false => end.to_vec(),
        };
        vec![wire, last]
    }
}

/// Sends one unsafe change, and repeats it as long as it is refused. Returns the statuses of its answers.
fn change(proxy: &Proxy, client: &mut Peer, id: &str, plan: BodyPlan) -> Vec<u16> {
    let mut statuses = Vec::new();
    for repeat in 0..=MAX_REPEATS {
        let head = format!(
            "PUT /order/{id} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}-{repeat}\r\nX-Time-Left: {:.3}\r\n{}\r\n",
            TIME_LEFT.as_secs_f64(),
            plan.header()
        );
        client.0.get_mut().set_write_timeout(Some(WRITE_TIMEOUT)).expect("time-out");
        client.write(&head);
        let written = plan.parts().iter().try_for_each(|part| client.0.get_mut().write_all(part));
        let last_byte = Instant::now();
        let answer = client.read();
        let waited = last_byte.elapsed();
        if written.is_ok() {
            let status = answer.as_ref().map(Message::status);
            assert!(status.is_some_and(|status| status >= 200), "no answer to {id}, {plan:?}");
            assert!(waited < TIME_LEFT + GRACE, "{id}, {plan:?}: {status:?} after {waited:?}");
        }
        let status = answer.as_ref().map_or(0, Message::status);
        statuses.push(status);
        if status != 200 || plan.chunk.is_some() {
            *client = proxy.client();
        }
        if !matches!(status, 429 | 503) {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    statuses
}

/// Plays drawn changes of several clients against nodes of one kind.
fn play(kind: NodeKind, clients: usize, changes: usize) {
    play_drawn(kind, clients, changes, BodyPlan::draw);
}

/// Plays changes of several clients, each with a body drawn by `draw`.
fn play_drawn(kind: NodeKind, clients: usize, changes: usize, draw: fn(&mut Pcg64Mcg) -> BodyPlan) {
    println!("seed {SEED}, {kind:?}");
    let Rig { proxy, origin, .. } = rig();
    let runs = start_nodes(origin, kind);
    let proxy = Arc::new(proxy);
    let threads: Vec<_> = (0..clients)
        .map(|n| {
            let (proxy, runs) = (proxy.clone(), runs.clone());
            std::thread::spawn(move || {
                let mut random = Pcg64Mcg::seed_from_u64(SEED * 1000 + n as u64);
                let mut client = proxy.client();
                for number in 0..changes {
                    let (id, plan) = (format!("{kind:?}-{n}-{number}"), draw(&mut random));
                    let statuses = change(&proxy, &mut client, &id, plan);
                    let times = runs.lock().expect("runs").get(&format!("/order/{id}")).copied().unwrap_or(0);
                    let case = format!("{id}, {plan:?}: answered {statuses:?}, got whole {times} times");
                    assert!(times <= 1, "ran twice: {case}");
                    let is_refused = statuses.last().is_some_and(|status| matches!(status, 429 | 503));
                    assert!(!(is_refused && times > 0), "refused after it ran: {case}");
                    if kind == NodeKind::Sound {
                        assert!(times == 1 || is_refused, "not served by a sound node: {case}");
                    }
                    // The node's connection rests, and carries the next one.
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("a client"));
}

/// Guards against a change that is refused after it ran, because its body ended where nobody looked for its end.
#[test]
fn unsafe_changes_of_any_length_run_once_at_sound_nodes() {
    play(NodeKind::Sound, 6, 20);
}

/// Guards against a client that waits without end behind a body whose last byte was not noticed.
#[test]
fn bodies_of_any_length_that_a_silent_node_has_read_are_answered_in_time() {
    play(NodeKind::Silent, 8, 3);
}

/// Guards against a client that waits without end behind a node that takes nothing, or next to nothing, of its body.
#[test]
fn bodies_that_a_node_does_not_take_are_answered_in_time() {
    play_drawn(NodeKind::Stalled, 8, 3, BodyPlan::draw_long);
}

/// The same with a node that goes on reading, far too slowly.
#[test]
fn bodies_that_a_node_takes_too_slowly_are_answered_in_time() {
    play_drawn(NodeKind::Trickling, 8, 3, BodyPlan::draw_long);
}

/// Guards against a final answer seconds after its time behind a large request that a node reads slowly.
#[test]
fn bodies_that_a_node_reads_slowly_are_answered_in_time() {
    play_drawn(NodeKind::Slow, 8, 4, BodyPlan::draw_long);
}

/// Guards against a client that is given up while it still sends, because its node's connection comes up late.
#[test]
fn a_client_that_still_sends_while_its_node_s_connection_comes_up_is_not_given_up() {
    const LENGTH: usize = 160_000;
    /// More than is buffered, so that an attempt begins.
    const BEGINNING: usize = 70_000;
    for is_chunked in [false, true] {
        let (cache, discovery, (listener, filler)) = (Server::new(), Server::new(), full_backlog());
        let origin = listener.local_addr().expect("an address");
        let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin, "origin", "ready")];
        let proxy = Proxy::new(&config(discovery.addr, &servers));
        let mut client = proxy.client();
        let plan = BodyPlan { length: LENGTH, chunk: is_chunked.then_some(1000), is_end_apart: false };
        let headers = format!("X-Time-Left: {:.3}\r\n{}", TIME_LEFT.as_secs_f64(), plan.header());
        client.write(&get("order", &headers).replace("GET", "PUT"));
        let body = plan.parts().concat();
        client.0.get_mut().write_all(&body[..BEGINNING]).expect("written");
        let upload = std::thread::spawn(move || {
            let pieces: Vec<&[u8]> = body[BEGINNING..].chunks(2_000).collect();
            for piece in &pieces {
                // Twice as long as the client waits behind its last byte.
                std::thread::sleep(TIME_LEFT * 2 / pieces.len() as u32);
                client.0.get_mut().write_all(piece).expect("written");
            }
            client.answer().status()
        });
        std::thread::sleep(TIME_LEFT / 4);
        // The proxy's system tries again a second after its first try.
        let _full = listener.accept().expect("the filler's connection");
        drop(filler);
        let mut node = Peer::new(listener.accept().expect("the proxy's connection").0);
        let length = node.read_head().expect("a head").length;
        node.read_body(length).expect("a body");
        node.reply("200 OK", "", "");
        assert_eq!(upload.join().expect("a client"), 200, "chunked: {is_chunked}");
    }
}

/// Guards against a change that counts as run before its last byte was written: it could be tried again, and is failed.
#[test]
fn a_change_whose_connection_breaks_within_its_body_is_refused() {
    let r = rig();
    for (framing, length) in [("Content-Length: 300000\r\n", 300_000), ("Transfer-Encoding: chunked\r\n", 0)]
    {
        let mut client = r.proxy.client();
        client.write(&get("order", framing).replace("GET", "PUT"));
        if length == 0 {
            client.write("493e0\r\n");
        }
        client.0.get_mut().write_all(&[b'v'; 200_000]).expect("written");
        let mut node = r.origin.take();
        node.read_head().expect("a head");
        node.0.read_exact(&mut [0; 100_000]).expect("a part");
        drop(node);
        assert_eq!(client.answer().status(), 503, "{framing}");
    }
}

/// Guards against an answer that came before its request's last byte, and so belongs to another one, on a connection that is reused.
#[test]
fn an_answer_before_the_last_byte_on_a_reused_connection_is_not_believed() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&get("order", "Content-Length: 70000\r\n").replace("GET", "PUT"));
    client.0.get_mut().write_all(&[b'v'; 70_000]).expect("written");
    let mut node = r.origin.take();
    let length = node.read_head().expect("a head").length;
    node.read_body(length).expect("a body");
    node.reply("200 OK", "", "first");
    assert_eq!(client.answer().body, b"first");
    std::thread::sleep(PAUSE);
    client.write(&get("order", "Content-Length: 300000\r\n").replace("GET", "PUT"));
    client.0.get_mut().write_all(&[b'v'; 200_000]).expect("written");
    node.read_head().expect("a head");
    node.0.read_exact(&mut [0; 150_000]).expect("a part");
    node.reply("200 OK", "", "another's");
    let answer = client.answer();
    assert_ne!(answer.body, b"another's");
    assert_eq!(answer.status(), 503);
    let mut rest = Vec::new();
    let _ = node.0.read_to_end(&mut rest);
    assert!(rest.len() < 150_000, "nothing more goes out for it");
}
