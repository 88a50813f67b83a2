//! Nodes that give their answers slowly and don't tell how long they are: the client gets the first bytes in its time, and all that the
//! node gives.

mod client;
mod node;
#[path = "../rig/mod.rs"]
mod rig;

use client::{ask, ask_at, request, Received};
use node::{AnswerPlan, Ending, Framing, Plans};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rig::*;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 64;
/// A body is long if it has more bytes than this: then its first byte is timed, and its last one otherwise.
const LONGEST_SHORT_BODY: usize = 64 << 10;
/// An answer that is late by at most this earns nothing, and is not lost.
const GRACE: Duration = Duration::from_millis(500);
const NODES: usize = 3;
/// Long enough for a connection to a node to have rested: an attempt that waits for one is repeated too, for another reason.
const REST: Duration = Duration::from_millis(150);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Class, aim and the time that its clients wait.
const CLASSES: [(&str, Duration, Duration); 5] = [
    ("hasty", ms(50), ms(100)),
    ("read", ms(150), ms(300)),
    ("schedule", ms(500), ms(500)),
    ("history", ms(500), ms(2_000)),
    ("bulk", ms(10_000), ms(30_000)),
];

fn nanos(time: Duration) -> Value {
    json!(time.as_nanos() as u64)
}

/// Starts a proxy before three nodes and an origin that answer as planned.
fn start(plans: &Plans, change: impl Fn(&mut Value)) -> Arc<Proxy> {
    let (discovery, origin) = (Server::new(), Server::new());
    let mut servers = vec![member("o1", origin.addr, "origin", "ready")];
    plans.serve_as_origin(origin);
    for n in 0..NODES {
        let cache = Server::new();
        servers.push(member(&format!("c{n}"), cache.addr, "std", "ready"));
        plans.serve_as_cache(cache);
    }
    let mut config = config(discovery.addr, &servers);
    let categories = config["settings"]["categories"].as_array_mut().expect("classes");
    categories.retain(|c| c["name"] != "read");
    for (name, aim, deadline) in CLASSES {
        let mut class = class(name, "safe");
        (class["promise_ns"], class["deadline_ns"]) = (nanos(aim), nanos(deadline));
        categories.push(class);
    }
    change(&mut config);
    Arc::new(Proxy::new(&config))
}

fn wait_of(class: &str) -> Duration {
    CLASSES.iter().find(|(name, ..)| *name == class).expect("a class").2
}

/// Asks for all of these at the same time, on a connection each.
fn play(proxy: &Arc<Proxy>, plans: &Plans, cases: &[(&'static str, AnswerPlan)]) -> Vec<(usize, Received)> {
    let threads: Vec<_> = cases
        .iter()
        .map(|(class, plan)| {
            let (class, number, proxy) = (*class, plans.add(*plan), proxy.clone());
            std::thread::sleep(ms(20));
            std::thread::spawn(move || {
                (number, ask(&proxy, &request("GET", class, number, wait_of(class), ""), b""))
            })
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().expect("a client")).collect()
}

/// Checks that a long answer began in time and came whole.
fn assert_whole(class: &str, plan: &AnswerPlan, received: &Received) {
    let case = format!("{class}, {plan:?}: {received:?}");
    assert_eq!(received.status, 200, "{case}");
    assert!(received.is_whole && received.bytes == plan.length, "{case}");
    assert!(received.began < wait_of(class) + GRACE, "{case}");
}

/// Draws a long answer that comes slowly, and the class of its request.
fn draw(random: &mut Pcg64Mcg) -> (&'static str, AnswerPlan) {
    let class = CLASSES[random.random_range(0..CLASSES.len())].0;
    let framing = [Framing::Chunked, Framing::Close][random.random_range(0..2)];
    let length = LONGEST_SHORT_BODY + [1, 500, 5_000, 75_000, 120_000, 160_000][random.random_range(0..6)];
    let rate = [30_000, 64_000, 91_000, 100_000, 150_000, 400_000][random.random_range(0..6)];
    let plan = match random.random_range(0..4) {
        0 => AnswerPlan::in_lumps(framing, length, rate, ms(400)),
        1 => AnswerPlan::in_lumps(framing, length, rate, ms(random.random_range(50..2_000))),
        2 => AnswerPlan::steady(framing, length, rate).with_first_gap(ms(random.random_range(0..2_000))),
        _ => AnswerPlan::steady(framing, length, rate),
    };
    (class, plan.missed(random.random_bool(0.3)))
}

/// Guards against a long answer that is cut off because its length is not told and its client's time ends while the beginning is held.
#[test]
fn long_answers_that_come_slowly_begin_in_time_and_come_whole() {
    println!("seed {SEED}");
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    for _ in 0..3 {
        let cases: Vec<_> = (0..20).map(|_| draw(&mut random)).collect();
        for ((class, plan), (_, received)) in cases.iter().zip(play(&proxy, &plans, &cases)) {
            assert_whole(class, plan, &received);
        }
    }
}

/// Guards against an attempt that is repeated, and held against its node, though its answer arrives all the while.
#[test]
fn an_answer_that_arrives_is_no_reason_for_another_attempt() {
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    for framing in [Framing::Chunked, Framing::Close] {
        let plan = AnswerPlan::steady(framing, 100_000, 91_000);
        for _ in 0..5 {
            let cases = [("read", plan), ("schedule", plan)];
            for ((class, plan), (number, received)) in cases.iter().zip(play(&proxy, &plans, &cases)) {
                assert_whole(class, plan, &received);
                assert_eq!(plans.attempts(number), 1, "{class}, {plan:?}");
            }
            std::thread::sleep(REST);
        }
    }
}

/// Guards against nodes that are avoided, so that later requests are refused, for giving long answers in lumps.
#[test]
fn nodes_that_give_long_answers_in_lumps_are_not_avoided() {
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    let clients: Vec<_> = (0..10)
        .map(|n| {
            let framing = [Framing::Chunked, Framing::Close][n % 2];
            let plan = AnswerPlan::in_lumps(framing, 139_252, 100_000, ms(400));
            let (proxy, number) = (proxy.clone(), plans.add(plan));
            std::thread::sleep(ms(100));
            std::thread::spawn(move || {
                let received = ask(&proxy, &request("GET", "read", number, wait_of("read"), ""), b"");
                assert_whole("read", &plan, &received);
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
}

/// Guards against a bound on one side of which an answer of untold length is dropped: at the longest short body, and a byte beyond.
#[test]
fn answers_on_both_sides_of_the_longest_short_body_are_passed_on() {
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    let lengths = [LONGEST_SHORT_BODY - 1, LONGEST_SHORT_BODY, LONGEST_SHORT_BODY + 1];
    let framings = [Framing::Chunked, Framing::Close];
    // It ends within half a second behind its client's time.
    let cases: Vec<_> = lengths
        .iter()
        .flat_map(|length| framings.map(|framing| ("schedule", AnswerPlan::steady(framing, *length, 90_000))))
        .collect();
    for ((class, plan), (_, received)) in cases.iter().zip(play(&proxy, &plans, &cases)) {
        assert_whole(class, plan, &received);
    }
}

/// Guards against an upload whose answer is cut off while it comes, because the client's time runs from the upload's last byte.
#[test]
fn the_long_answer_to_an_upload_begins_in_time_and_comes_whole() {
    let plans = Plans::default();
    let proxy = start(&plans, |config| {
        let mut write = class("store", "unsafe");
        write["deadline_ns"] = nanos(ms(500));
        write["promise_ns"] = nanos(ms(300));
        config["settings"]["categories"].as_array_mut().expect("classes").push(write);
    });
    for framing in [Framing::Chunked, Framing::Close] {
        for length in [1_000, 200_000] {
            let plan = AnswerPlan::steady(framing, 150_000, 91_000);
            let number = plans.add(plan);
            let head = request("PUT", "store", number, ms(500), &format!("Content-Length: {length}\r\n"));
            let received = ask(&proxy, &head, &vec![b'v'; length]);
            let case = format!("{length} bytes, {plan:?}: {received:?}");
            assert!(received.status == 200 && received.is_whole && received.bytes == plan.length, "{case}");
            assert!(received.began < ms(500) + GRACE, "{case}");
            assert_eq!(plans.attempts(number), 1, "{case}");
        }
    }
}

/// Guards against a client that takes a broken answer for the whole, when it was passed on before it was known to break.
#[test]
fn a_client_can_tell_that_an_answer_broke_after_it_had_begun() {
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    for framing in [Framing::Chunked, Framing::Close] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let plan = AnswerPlan::steady(framing, 50_000, 91_000).ending(Ending::Reset);
            let number = plans.add(plan);
            let head = request("GET", "read", number, ms(300), "").replace("HTTP/1.1", version);
            let received = ask_at(proxy.client(), &head, b"");
            let case = format!("{version}, {plan:?}: {received:?}");
            assert!(received.status != 200 || !received.is_whole, "{case}");
            assert!(received.began < ms(300) + GRACE, "{case}");
        }
    }
}

/// Guards against a client that is left without an answer, or gets a second one, by a node that stops within its answer or gives another
/// status slowly.
#[test]
fn answers_that_stop_or_are_no_success_get_one_answer_in_time() {
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    let mut cases = Vec::new();
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        let slow = AnswerPlan::steady(framing, 50_000, 40_000);
        cases.push(("read", AnswerPlan::steady(framing, 9_000, 91_000).ending(Ending::Silence)));
        for status in ["404 Not Found", "500 Error", "503 Unavailable", "503 Unavailable\r\nX-Unprocessed: 1"]
        {
            cases.push(("schedule", slow.with_status(status)));
        }
    }
    for ((class, plan), (_, received)) in cases.iter().zip(play(&proxy, &plans, &cases)) {
        let case = format!("{class}, {plan:?}: {received:?}");
        assert!(received.status >= 200, "{case}");
        assert!(received.began < wait_of(class) + GRACE, "{case}");
    }
}

/// Guards against an answer that is cut off while it comes, because the process ends on its own before the answer does.
#[test]
fn a_stop_passes_on_what_a_node_still_gives() {
    let plans = Plans::default();
    let proxy = start(&plans, |_| {});
    let mut clients = Vec::new();
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for length in [100_000, 280_000] {
            let number = plans.add(AnswerPlan::steady(framing, length, 40_000));
            let proxy = proxy.clone();
            clients.push(std::thread::spawn(move || {
                (length, ask(&proxy, &request("GET", "bulk", number, ms(30_000), ""), b""))
            }));
        }
    }
    std::thread::sleep(ms(200));
    proxy.signal("-TERM");
    for client in clients {
        let (length, received) = client.join().expect("a client");
        assert!(received.status == 200 && received.is_whole && received.bytes == length, "{received:?}");
    }
}
