//! Runs of one seed, and traces played again.

use super::*;
use rushquay_fault_relay::{Direction, Trace};
use std::sync::{Arc, Mutex};

/// What both ends of all connections saw.
type Seen = Vec<(Vec<u8>, Vec<u8>, bool)>;

const RULES: &str = "
[[rule]]
name = 'digits'
lane = 'down'
at = { http = 'length', every = 1 }
chance = 0.2
do = { garble = 1, with = 'digits' }
[[rule]]
name = 'cut'
lane = 'down'
at = { http = 'body', every = 1, plus = 3 }
chance = 0.2
do = { cut = 'fin' }
[[rule]]
name = 'half'
lane = 'down'
at = { http = 'head', nth = 3, plus = 20 }
chance = 0.5
do = { half_close = true }
[[rule]]
name = 'doubled'
at = { text = 'GET', nth = 2, edge = 'start' }
chance = 0.3
do = { duplicate = 7 }
[[rule]]
name = 'lost'
lane = 'down'
at = { text = 'HTTP/1.1 200', nth = 2 }
chance = 0.3
do = { drop = 4 }
";

/// Eight connections, one after another: three questions in one write, then the answers. `slow` makes both ends write a
/// few bytes at a time and wait between.
async fn run(options: Options, rules: &str, slow: bool) -> (Seen, Trace) {
    let (target, addr) = listener().await;
    let relay = Relay::between(addr, 42, rules, options).await.expect("a relay");
    let mut seen = Seen::new();
    for _ in 0..8 {
        let near = connect(relay.first()).await;
        let far = accept(&target).await;
        let asked = "GET /abc HTTP/1.1\r\nHost: x\r\n\r\n".repeat(3).into_bytes();
        let answered = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789".repeat(3);
        let ((mut near, ()), (mut far, up)) = tokio::join!(
            async move {
                let near = write(near, &asked, slow).await;
                (near, ())
            },
            async move {
                let mut far = far;
                let mut up = Vec::new();
                // All questions come before the first answer goes.
                let three = |up: &[u8]| up.windows(4).filter(|w| w == b"\r\n\r\n").count() == 3;
                while !three(&up) {
                    let n = within("questions came", far.read_buf(&mut up)).await.expect("read");
                    assert!(n > 0);
                }
                (write(far, &answered, slow).await, up)
            }
        );
        // The end of the answers is the target's to say.
        let _ = far.shutdown().await;
        let (down, in_order) = rest(&mut near).await;
        drop(near);
        let _ = rest(&mut far).await;
        seen.push((up, down, in_order));
    }
    (seen, relay.trace())
}

async fn write(mut stream: TcpStream, bytes: &[u8], slow: bool) -> TcpStream {
    let pieces = if slow { 7 } else { bytes.len() };
    for piece in bytes.chunks(pieces) {
        // It may have been cut.
        if stream.write_all(piece).await.is_err() {
            break;
        }
        if slow {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    stream
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hundred_runs_of_one_seed_are_one_and_the_same() {
    let (seen, trace) = run(Options::default(), RULES, false).await;
    assert!(trace.performed.len() >= 8, "{trace:?}");
    let names: std::collections::BTreeSet<_> = trace.performed.iter().map(|p| p.rule.as_str()).collect();
    assert!(names.len() >= 4, "{names:?}");
    for number in 1..100 {
        let again = run(Options::default(), RULES, number % 10 == 0).await;
        assert_eq!(again, (seen.clone(), trace.clone()), "run {number}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_trace_is_replayed_to_the_byte_also_slowly_and_in_order() {
    let file = std::env::temp_dir().join(format!("rushquay-trace-{}", std::process::id()));
    let options = Options { trace: Some(file.clone()), ..Options::default() };
    let (seen, trace) = run(options, RULES, false).await;
    let written = std::fs::read_to_string(&file).expect("a trace");
    std::fs::remove_file(&file).expect("removed");
    let read = Trace::parse(&written).expect("a trace");
    assert_eq!(read, trace);
    for (slow, ordered) in [(false, false), (true, false), (true, true)] {
        // The rules of the script count for nothing now.
        let options = Options { replay: Some(read.clone()), ordered, ..Options::default() };
        let other = "[[rule]]\nname = 'x'\nat = { offset = 0 }\ndo = { cut = 'rst' }";
        assert_eq!(run(options, other, slow).await, (seen.clone(), trace.clone()), "{slow} {ordered}");
    }
}

/// What a command did when it came is done at the same bytes again.
#[tokio::test]
async fn a_cut_by_command_is_replayed_at_its_bytes() {
    let (relay, mut near, mut far) = pair("").await;
    exchange(&mut near, &mut far, b"question").await;
    exchange(&mut far, &mut near, b"half").await;
    assert_eq!(relay.control().cut(Some("l"), Some(1), rushquay_fault_relay::Cut::Rst), 1);
    assert_eq!(rest(&mut near).await, (vec![], false));
    let trace = relay.trace();

    let (target, addr) = listener().await;
    let options = Options { replay: Some(trace.clone()), ..Options::default() };
    let relay = Relay::between(addr, 0, "", options).await.expect("a relay");
    let mut near = connect(relay.first()).await;
    let mut far = accept(&target).await;
    near.write_all(b"question, and more").await.expect("written");
    let mut got = [0; 8];
    far.read_exact(&mut got).await.expect("read");
    assert_eq!(&got, b"question");
    far.write_all(b"half of it").await.expect("written");
    assert_eq!(rest(&mut near).await, (b"half".to_vec(), false));
    assert_eq!(rest(&mut far).await, (vec![], false));
    assert_eq!(relay.trace(), trace);
}

#[derive(Default)]
struct Tapped(Mutex<[Vec<u8>; 2]>);

impl rushquay_fault_relay::Tap for Tapped {
    fn came(&self, passage: rushquay_fault_relay::Passage<'_>, bytes: &[u8]) {
        let all = &mut self.0.lock().expect("a lock")[passage.lane as usize];
        assert_eq!(all.len() as u64, passage.offset);
        all.extend_from_slice(bytes);
    }
}

/// A tap sees what came, not what was made of it.
#[tokio::test]
async fn a_tap_sees_what_comes_in() {
    let (target, addr) = listener().await;
    let tap = Arc::new(Tapped::default());
    let options = Options { tap: Some(tap.clone()), ..Options::default() };
    let rules = "[[rule]]\nname = 'd'\nat = { offset = 1 }\ndo = { drop = 2 }";
    let relay = Relay::between(addr, 1, rules, options).await.expect("a relay");
    let mut near = connect(relay.first()).await;
    let mut far = accept(&target).await;
    near.write_all(b"abcdef").await.expect("written");
    near.shutdown().await.expect("ended");
    assert_eq!(rest(&mut far).await, (b"adef".to_vec(), true));
    assert_eq!(tap.0.lock().expect("a lock")[Direction::Up as usize], b"abcdef");
}
