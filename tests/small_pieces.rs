//! Bodies that come in small pieces: the proxy's memory and work follow their bytes, not their pieces.

mod rig;

use rig::*;
use std::sync::mpsc;
use std::time::Duration;

const KB: usize = 1 << 10;
/// Bodies under way at the same time.
const TRANSFERS: usize = 32;
/// Bytes of a body: under 64 KiB, so that it is buffered.
const LENGTH: usize = 60_000;
/// Most memory per body: what the proxy counts on for a connection to its client and one to its node.
const MAX_HELD: usize = 2 * 128 * KB;

/// Memory of a process now, in bytes, without the pages of its program's file: those are mapped by and by, however many bodies there are.
fn resident(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a status");
    let kilobytes = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("its memory");
        line.trim().split(' ').next().and_then(|n| n.parse::<usize>().ok()).expect("a number")
    };
    (kilobytes("RssAnon:") + kilobytes("RssShmem:")) * KB
}

/// How the pieces of a body are framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

impl Framing {
    fn header(self) -> String {
        match self {
            Framing::Length => format!("Content-Length: {LENGTH}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".into(),
        }
    }

    /// All of a body's pieces but the last, which ends the body.
    fn pieces(self, length: usize) -> (Vec<String>, String) {
        let piece = "v".repeat(length);
        let (mut pieces, last) = match self {
            Framing::Length => (vec![piece; LENGTH / length], String::new()),
            Framing::Chunked => {
                (vec![format!("{length:x}\r\n{piece}\r\n"); LENGTH / length], "0\r\n\r\n".into())
            }
        };
        match self {
            Framing::Length => {
                let rest = "v".repeat(LENGTH % length + length);
                pieces.pop();
                (pieces, rest)
            }
            Framing::Chunked => (pieces, last),
        }
    }
}

/// Time for the proxy to read a piece of each body before the next ones come.
const PACE: Duration = Duration::from_millis(1);

/// Writes a piece to each peer in turn, so that the proxy reads them one by one.
fn write_in_turn(peers: &mut [Peer], pieces: &[String]) {
    for piece in pieces {
        for peer in &mut *peers {
            peer.write(piece);
        }
        std::thread::sleep(PACE);
    }
}

fn put(number: usize, framing: Framing) -> String {
    let headers = format!("Idempotency-Key: key-{number}\r\n{}", framing.header());
    get_as(&format!("put-{number}"), "set", &headers).replace("GET", "PUT")
}

/// A client whose pieces go out one by one.
fn client(proxy: &Proxy) -> Peer {
    let mut client = proxy.client();
    client.0.get_mut().set_nodelay(true).expect("no delay");
    client
}

/// Answers every request at the origin. Returns the lengths of their bodies.
fn store(origin: Server) -> mpsc::Receiver<usize> {
    let (told, lengths) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in origin.taken {
            let (mut node, told) = (Peer::new(stream), told.clone());
            std::thread::spawn(move || {
                while let Some(request) = node.read() {
                    let _ = told.send(request.body.len());
                    node.reply("200 OK", "", "stored");
                }
            });
        }
    });
    lengths
}

/// Returns the memory that a proxy has gained since `before` for each transfer.
fn held_each(proxy: &Proxy, before: usize) -> usize {
    resident(proxy).saturating_sub(before) / TRANSFERS
}

/// Guards against a proxy that is killed for its memory by clients that send short bodies in small pieces.
#[test]
fn request_bodies_in_small_pieces_take_memory_for_their_bytes() {
    for (framing, length) in [(Framing::Length, 256), (Framing::Length, 64), (Framing::Chunked, 40)] {
        let r = rig();
        let mut clients: Vec<Peer> = (0..TRANSFERS).map(|_| client(&r.proxy)).collect();
        let before = resident(&r.proxy);
        clients.iter_mut().enumerate().for_each(|(n, client)| client.write(&put(n, framing)));
        let (pieces, last) = framing.pieces(length);
        write_in_turn(&mut clients, &pieces);
        // Nothing has gone to the origin: all bodies are held.
        assert!(r.origin.none_came());
        let held = held_each(&r.proxy, before);
        let lengths = store(r.origin);
        write_in_turn(&mut clients, &[last]);
        // So many at once are more than the origin is trusted with: some may be refused, and none is lost.
        let answers: Vec<u16> = clients.iter_mut().map(|client| client.answer().status()).collect();
        assert!(answers.iter().all(|status| matches!(status, 200 | 503)), "{answers:?}");
        let stored: Vec<usize> = lengths.try_iter().collect();
        assert!(!stored.is_empty() && stored.iter().all(|length| *length == LENGTH), "{stored:?}");
        assert!(held <= MAX_HELD, "{framing:?} in pieces of {length}: {held} bytes held for each body");
    }
}

/// Guards against the same from the nodes' side: answers in small pieces.
#[test]
fn answers_in_small_pieces_take_memory_for_their_bytes() {
    for length in [128, 16] {
        let r = rig();
        let mut clients: Vec<Peer> = (0..TRANSFERS).map(|_| r.proxy.client()).collect();
        clients
            .iter_mut()
            .enumerate()
            .for_each(|(n, client)| client.write(&get_as(&format!("get-{n}"), "read", "")));
        let mut nodes: Vec<Peer> = (0..TRANSFERS).map(|_| r.cache.take()).collect();
        for node in &mut nodes {
            node.0.get_mut().set_nodelay(true).expect("no delay");
            node.request();
        }
        let before = resident(&r.proxy);
        let head = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{}\r\n", Framing::Length.header());
        let (pieces, last) = Framing::Length.pieces(length);
        write_in_turn(&mut nodes, &[head]);
        write_in_turn(&mut nodes, &pieces);
        let held = held_each(&r.proxy, before);
        write_in_turn(&mut nodes, &[last]);
        for mut client in clients {
            let answer = client.answer();
            assert_eq!((answer.status(), answer.body.len()), (200, LENGTH));
        }
        assert!(held <= MAX_HELD, "pieces of {length}: {held} bytes held for each answer");
    }
}

/// Guards against a list of endpoints in small pieces that takes the proxy over its memory.
#[test]
fn a_list_in_small_pieces_takes_memory_for_its_bytes() {
    let r = rig();
    let mut watch = r.discovery.take();
    watch.0.get_mut().set_nodelay(true).expect("no delay");
    watch.request();
    let before = resident(&r.proxy);
    let padding = " ".repeat(500 * KB);
    let body = list(42, true, &[member("c1", r.cache.addr, "std", "ready")]).to_string() + &padding;
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for piece in body.as_bytes().chunks(50) {
        watch.write(&format!("{:x}\r\n{}\r\n", piece.len(), String::from_utf8_lossy(piece)));
        // Time to be read before the next one comes.
        std::thread::sleep(Duration::from_micros(50));
    }
    watch.write("0\r\n\r\n");
    // The next watch says that the list has been taken.
    assert!(watch.request().line.contains("from=42"));
    let gained = resident(&r.proxy).saturating_sub(before);
    assert!(gained <= 4 * body.len(), "{gained} bytes for a list of {}", body.len());
}

/// Processor time that a process has used, in ticks.
fn processor_ticks(proxy: &Proxy) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", proxy.child.id())).expect("its times");
    // The name, in brackets, may hold blanks; the times are the 14th and 15th fields of the line.
    let fields = stat.rsplit(") ").next().expect("fields").split(' ').skip(11).take(2);
    fields.map(|ticks| ticks.parse::<u64>().expect("ticks")).sum()
}

/// Sends one body in chunks of one byte. Returns the processor time that the proxy used for it.
fn upload_in_single_bytes(r: &Rig, chunks: usize) -> u64 {
    let before = processor_ticks(&r.proxy);
    let mut client = client(&r.proxy);
    let headers =
        format!("Idempotency-Key: key-{chunks}\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n");
    client.write(&get_as(&format!("put-{chunks}"), "set", &headers).replace("GET", "PUT"));
    client.write(&("1\r\nv\r\n".repeat(chunks) + "0\r\n\r\n"));
    let mut node = r.origin.take();
    assert_eq!(node.request().body.len(), chunks);
    node.reply("200 OK", "Connection: close\r\n", "stored");
    assert_eq!(client.answer().status(), 200);
    processor_ticks(&r.proxy) - before
}

/// Guards against work for each piece that grows with the pieces before it, which holds up all clients for seconds.
#[test]
fn the_work_for_a_body_grows_with_its_pieces_and_not_with_their_square() {
    let r = rig();
    let few = upload_in_single_bytes(&r, 6_000);
    let many = upload_in_single_bytes(&r, 60_000);
    // Ten times as many pieces; a hundred times the work if it grows with their square.
    assert!(many <= 30 * few.max(1), "{few} ticks for 6,000 pieces, {many} for 60,000");
}

/// Guards against an answer that is dropped for the framing of its small chunks, which takes more bytes than the body.
#[test]
fn an_answer_in_chunks_of_two_bytes_is_read_to_its_end() {
    const CHUNKS: usize = 30_000;
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut cache = r.cache.take();
    cache.request();
    cache.write("HTTP/1.1 404 Not Found\r\nX-Lookup: miss\r\nTransfer-Encoding: chunked\r\n\r\n");
    cache.write(&("2\r\nno\r\n".repeat(CHUNKS) + "0\r\n\r\n"));
    let mut origin = r.origin.take();
    origin.request();
    origin.reply("200 OK", "", "served");
    assert_eq!(client.answer().body, b"served");
}
