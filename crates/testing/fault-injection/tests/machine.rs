//! What the machine promises whatever the reads and the clock are like.

mod common;

use common::*;
use proptest::prelude::*;
use rushquay_fault_injection::{
    Connection, Cut, Direction, FaultAction, Opening, Transmit, HELD_MOST, MILLI,
};

fn message(body: &[u8], chunked: bool) -> Vec<u8> {
    let mut m = b"HTTP/1.1 200 OK\r\n".to_vec();
    if chunked {
        m.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        if !body.is_empty() {
            m.extend(format!("{:x}\r\n", body.len()).bytes());
            m.extend(body);
            m.extend(b"\r\n");
        }
        m.extend(b"0\r\n\r\n");
    } else {
        m.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
        m.extend(body);
    }
    m
}

/// Rules of every kind that a place can have.
fn rule(number: usize) -> impl Strategy<Value = String> {
    let at = prop_oneof![
        (0u64..300).prop_map(|n| format!("offset = {n}")),
        (1u64..4, 0i64..3).prop_map(|(n, p)| format!("text = 'ab', nth = {n}, plus = {p}")),
        (1u64..4).prop_map(|n| format!("text = '\\r\\n', every = {n}, edge = 'start'").replace('\'', "\"")),
        (1u64..5, -3i64..4).prop_map(|(n, p)| format!("http = 'end', every = {n}, plus = {p}")),
        (1u64..5, -3i64..20).prop_map(|(n, p)| format!("http = 'head', nth = {n}, plus = {p}")),
        (1u64..5).prop_map(|n| format!("http = 'length', every = {n}")),
        (1u64..5).prop_map(|n| format!("http = 'chunk-size', every = {n}")),
        (1u64..5, 0i64..9).prop_map(|(n, p)| format!("http = 'body', message = {n}, plus = {p}")),
    ];
    let act = prop_oneof![
        4 => (1u64..9).prop_map(|n| format!("garble = {n}")),
        4 => (1u64..9).prop_map(|n| format!("garble = {n}, with = 'digits'")),
        4 => (1u64..40).prop_map(|n| format!("drop = {n}")),
        4 => (1u64..40).prop_map(|n| format!("duplicate = {n}")),
        4 => Just("insert = 'XYZ'".to_owned()),
        2 => (1u64..30).prop_map(|n| format!("pause_ms = {n}, jitter_ms = 20")),
        1 => (1u64..30).prop_map(|n| format!("delay_ms = {n}")),
        1 => Just("bytes_per_s = 5000".to_owned()),
        1 => (1u64..30).prop_map(|n| format!("split = {n}, gap_ms = 1")),
        1 => (1u64..90).prop_map(|n| format!("merge = {n}, within_ms = 7")),
        1 => Just("half_close = true".to_owned()),
        1 => prop_oneof![Just("fin"), Just("rst"), Just("silence")].prop_map(|h| format!("cut = '{h}'")),
    ];
    let lane = prop_oneof![Just("up"), Just("down")];
    let seen = prop_oneof![3 => Just(String::new()), 1 => Just("seen = { text = 'a' }\n".to_owned())];
    (at, act, lane, seen, 0.3f64..1.0).prop_map(move |(at, act, lane, seen, chance)| {
        format!("[[rule]]\nname = 'r{number}'\nlane = '{lane}'\n{seen}at = {{ {at} }}\nchance = {chance}\ndo = {{ {act} }}\n")
    })
}

fn script() -> impl Strategy<Value = String> {
    let rules = (1usize..5).prop_flat_map(|n| (0..n).map(rule).collect::<Vec<_>>());
    (0u64..1000, rules).prop_map(|(seed, rules)| format!("seed = {seed}\n{}", rules.concat()))
}

fn stream() -> impl Strategy<Value = Vec<u8>> {
    let body = proptest::collection::vec(prop_oneof![Just(b'a'), Just(b'b'), Just(b'\r'), Just(b'7')], 0..60);
    let messages = proptest::collection::vec((body, any::<bool>()), 0..5);
    messages.prop_map(|all| all.iter().flat_map(|(body, chunked)| message(body, *chunked)).collect())
}

fn pieces() -> impl Strategy<Value = Vec<usize>> {
    proptest::collection::vec(prop_oneof![1usize..4, 1usize..200], 1..12)
}

/// One of two runs did in this direction what the other did, as far as it got; both got as far if the direction cut both of them.
fn alike(one: &Run, two: &Run, lane: Direction) -> Result<(), String> {
    let deeds = |run: &Run| -> Vec<(u64, String, FaultAction)> {
        let here = run.performed.iter().filter(|p| p.lane == lane);
        here.map(|p| (p.offset, p.rule.clone(), p.deed.clone())).collect()
    };
    let (one_did, two_did) = (deeds(one), deeds(two));
    let (out, other) = (&one.out[lane as usize], &two.out[lane as usize]);
    let cuts = |did: &[(u64, String, FaultAction)]| {
        did.last().is_some_and(|(_, _, deed)| matches!(deed, FaultAction::Cut(_)))
    };
    let same = match cuts(&one_did) && cuts(&two_did) {
        true => one_did == two_did && out == other,
        false => {
            let most = one_did.len().min(two_did.len());
            one_did[..most] == two_did[..most] && (out.starts_with(other) || other.starts_with(out))
        }
    };
    same.then_some(()).ok_or_else(|| format!("{lane:?}: {one_did:?} {out:?}, and {two_did:?} {other:?}"))
}

/// A rule a byte before the second head: that byte ends the first message, which waits for nobody. Whether the two came in one
/// read changes nothing.
#[test]
fn before_a_message_is_no_earlier_than_the_end_of_the_one_before() {
    let up = b"GET /abab HTTP/1.1\r\nA: ab\r\n\r\nPUT /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd".to_vec();
    for place in ["http = 'head', nth = 2", "resp = 'reply', nth = 2"] {
        let text = format!(
            "[[rule]]\nname = 'r'\nlane = 'up'\nat = {{ {place}, plus = -1 }}\ndo = {{ garble = 1 }}"
        );
        let rules = rules(&text);
        let up = if place.starts_with("resp") { b"+OK\r\n+OK\r\n".to_vec() } else { up.clone() };
        let drive = |size| drive(fresh(&rules, 1), &up, b"", &mut Pieces(vec![size], 0), MILLI);
        let one = drive(1);
        assert_eq!(one.performed.len(), 1, "{place}");
        for size in 2..60 {
            assert_eq!(one, drive(size), "{place} in reads of {size}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, failure_persistence: None, ..ProptestConfig::default() })]

    /// Reads cut otherwise, on a machine five times as slow: the same bytes, the same deeds; once a direction cuts the connection, the
    /// other one has got as far as the clock let it, with the same up to there. And a replay of the trace does the same again.
    #[test]
    fn what_happens_hangs_on_offsets_alone(
        text in script(), down in stream(), one in pieces(), two in pieces(), step in 1u64..5, ordinal in 1u64..50
    ) {
        let up = b"GET /abab HTTP/1.1\r\nA: ab\r\n\r\nPUT /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd".to_vec();
        let rules = rules(&text);
        let first = drive(fresh(&rules, ordinal), &up, &down, &mut Pieces(one.clone(), 0), step * MILLI / 5);
        let second = drive(fresh(&rules, ordinal), &up, &down, &mut Pieces(two.clone(), 0), step * MILLI);
        if let (None, None) = (first.cut, second.cut) {
            prop_assert_eq!(&first, &second, "{}", text);
        }
        for lane in Direction::BOTH {
            alike(&first, &second, lane).map_err(|what| TestCaseError::fail(format!("{what}: {text}")))?;
        }
        let third = drive(again(&first.performed, ordinal), &up, &down, &mut Pieces(two, 3), step * MILLI);
        prop_assert_eq!(&first, &third, "replay of {}", text);
    }

    /// Whatever the rules: no direction holds more than its bound, and each ends up with nothing left to wait for.
    #[test]
    fn what_is_held_is_bounded(text in script(), ordinal in 1u64..50) {
        let rules = rules(&text);
        let mut c = fresh(&rules, ordinal);
        let block = b"ab\r\n".repeat(2048);
        for now in 0..200 {
            let taken = c.offer(Direction::Up, &block, now);
            prop_assert!(taken <= block.len() && c.held(Direction::Up) <= HELD_MOST + 4096, "{}: {}", text, c.held(Direction::Up));
        }
    }
}

/// Two thousand connections under one script: what each gets hangs on its ordinal, not on the order in which they come.
#[test]
fn chance_is_a_matter_of_the_connection() {
    let rules = rules("seed = 9\n[[rule]]\nname = 'r'\nlane = 'down'\nat = { offset = 3 }\nchance = 0.25\ndo = { cut = 'rst' }");
    let cut = |n: u64| whole(fresh(&rules, n), b"a", b"abcdef").cut.is_some();
    let forwards: Vec<bool> = (1..=2000).map(cut).collect();
    let backwards: Vec<bool> = (1..=2000).rev().map(cut).collect();
    assert_eq!(forwards, backwards.into_iter().rev().collect::<Vec<_>>());
    let count = forwards.iter().filter(|c| **c).count();
    assert!((400..600).contains(&count), "{count} of 2000 at a chance of a quarter");
}

#[test]
fn at_most_so_often_over_all_connections() {
    let rules = rules("[[rule]]\nname = 'r'\nat = { offset = 0 }\nmost = 3\ndo = { cut = 'fin' }");
    let cut = (1..=10).filter(|n| fresh_cut(&rules, *n)).count();
    assert_eq!((cut, rules.acted("r")), (3, Some(3)));
}

fn fresh_cut(rules: &rushquay_fault_injection::RuleSet, n: u64) -> bool {
    whole(fresh(rules, n), b"a", b"").cut.is_some()
}

#[test]
fn connects_are_refused_stalled_or_late() {
    for (act, opening) in [
        ("refuse = true", Opening::Refuse),
        ("stall = true", Opening::Stall),
        ("pause_ms = 20", Opening::Lead(20 * MILLI)),
    ] {
        let rules = rules(&format!(
            "[[rule]]\nname = 'r'\nconnections = '2..3'\nat = {{ connect = true }}\ndo = {{ {act} }}"
        ));
        assert_eq!(fresh(&rules, 1).opening(), Opening::Lead(0));
        let mut second = fresh(&rules, 2);
        assert_eq!(second.opening(), opening);
        let performed = second.take_performed();
        assert_eq!(performed.len(), 1);
        if opening != Opening::Lead(20 * MILLI) {
            assert_eq!(again(&performed, 2).opening(), opening);
        }
    }
}

/// Takes all that can be written.
fn drain(c: &mut Connection, lane: Direction, now: u64) -> Vec<u8> {
    let mut out = Vec::new();
    loop {
        let n = match c.transmit(lane, now) {
            Transmit::Write(bytes) => {
                out.extend_from_slice(bytes);
                bytes.len()
            }
            _ => return out,
        };
        c.sent(lane, n, now);
    }
}

#[test]
fn a_frozen_link_holds_both_ways_and_lets_go() {
    let rules = rules("[[rule]]\nname = 'z'\nat = { from_ms = 10, to_ms = 30 }\ndo = { freeze = true }");
    let mut c = fresh(&rules, 1);
    c.offer(Direction::Up, b"one", 0);
    assert_eq!((drain(&mut c, Direction::Up, 0), c.wake()), (b"one".to_vec(), Some(10 * MILLI)));
    c.tick(10 * MILLI);
    c.offer(Direction::Up, b"two", 11 * MILLI);
    c.offer(Direction::Down, b"back", 11 * MILLI);
    assert_eq!(drain(&mut c, Direction::Up, 12 * MILLI), b"");
    assert_eq!((drain(&mut c, Direction::Down, 12 * MILLI), c.wake()), (b"".to_vec(), Some(30 * MILLI)));
    c.tick(30 * MILLI);
    assert_eq!(drain(&mut c, Direction::Up, 30 * MILLI), b"two");
    assert_eq!(drain(&mut c, Direction::Down, 30 * MILLI), b"back");
    // One that comes meanwhile is frozen too; one that comes later is not.
    let mut later = Connection::new("l", 2, &rules, 20 * MILLI);
    later.tick(20 * MILLI);
    later.offer(Direction::Up, b"x", 20 * MILLI);
    assert_eq!(drain(&mut later, Direction::Up, 20 * MILLI), b"");
    let mut free = Connection::new("l", 3, &rules, 40 * MILLI);
    free.tick(40 * MILLI);
    free.offer(Direction::Up, b"x", 40 * MILLI);
    assert_eq!(drain(&mut free, Direction::Up, 40 * MILLI), b"x");
}

/// What a clock or a command cut is cut at the same bytes of both directions in the replay, though these now come in
/// another order and at other times.
#[test]
fn a_cut_by_the_clock_is_replayed_at_its_offsets() {
    let rules = rules("[[rule]]\nname = 'c'\nlane = 'down'\nat = { after_ms = 10 }\ndo = { cut = 'rst' }");
    let mut c = fresh(&rules, 1);
    c.offer(Direction::Up, b"question one", 0);
    c.offer(Direction::Down, b"answer", 0);
    assert_eq!(drain(&mut c, Direction::Up, 1).len() + drain(&mut c, Direction::Down, 1).len(), 18);
    c.offer(Direction::Up, b", question two", 5);
    assert_eq!(drain(&mut c, Direction::Up, 6).len(), 14);
    c.tick(10 * MILLI);
    assert_eq!(c.cut(), Some(Cut::Rst));
    let performed = c.take_performed();
    assert_eq!((performed[0].offset, performed[0].other), (6, Some(26)));
    let mut c = again(&performed, 1);
    c.offer(Direction::Down, b"answer and more", 0);
    assert_eq!((drain(&mut c, Direction::Down, 0), c.cut()), (b"answer".to_vec(), None));
    c.offer(Direction::Up, b"question one, question two, question three", 99);
    assert_eq!((drain(&mut c, Direction::Up, 99).len(), c.cut()), (26, None));
    assert_eq!((drain(&mut c, Direction::Down, 99), c.cut()), (b"".to_vec(), Some(Cut::Rst)));
    assert_eq!(c.take_performed(), performed);
}

/// In a replay in order a deed waits for the one before it, though that is another connection's.
#[test]
fn order_between_connections_is_kept() {
    let rules = rules("[[rule]]\nname = 'c'\nat = { offset = 2 }\ndo = { insert = '!' }");
    let mut performed = Vec::new();
    for ordinal in [2, 1] {
        performed.extend(whole(fresh(&rules, ordinal), b"abc", b"").performed);
    }
    let plan = rushquay_fault_injection::Plan::new(performed);
    let mut first = Connection::replay("l", 1, &plan, true, 0);
    let mut second = Connection::replay("l", 2, &plan, true, 0);
    first.offer(Direction::Up, b"abc", 0);
    assert_eq!(drain(&mut first, Direction::Up, 0), b"ab");
    second.offer(Direction::Up, b"abc", 0);
    assert_eq!((drain(&mut second, Direction::Up, 0), second.take_passed()), (b"ab!c".to_vec(), vec![0]));
    assert_eq!(drain(&mut first, Direction::Up, 0), b"");
    first.turn(1);
    assert_eq!((drain(&mut first, Direction::Up, 0), first.take_passed()), (b"!c".to_vec(), vec![1]));
}

#[test]
fn rules_may_come_and_go_on_a_live_connection() {
    let mut rules = rules("[[rule]]\nname = 'slow'\nat = { offset = 0 }\ndo = { pause_ms = 5 }");
    let mut c = fresh(&rules, 1);
    assert_eq!(drain(&mut c, Direction::Up, 0), b"");
    c.offer(Direction::Up, b"abc", 0);
    assert_eq!(drain(&mut c, Direction::Up, 5 * MILLI), b"abc");
    rules.add(
        common::rules("[[rule]]\nname = 'f'\nat = { from_ms = 0 }\ndo = { freeze = true }").rules().cloned(),
    );
    c.update(&rules);
    c.tick(6 * MILLI);
    c.offer(Direction::Up, b"def", 6 * MILLI);
    assert_eq!(drain(&mut c, Direction::Up, 6 * MILLI), b"");
    assert!(rules.lift("f"));
    c.update(&rules);
    assert_eq!(drain(&mut c, Direction::Up, 6 * MILLI), b"def");
    c.pause(true, 7 * MILLI);
    c.offer(Direction::Up, b"ghi", 7 * MILLI);
    assert_eq!(drain(&mut c, Direction::Up, 7 * MILLI), b"");
    c.pause(false, 7 * MILLI);
    assert_eq!(drain(&mut c, Direction::Up, 7 * MILLI), b"ghi");
    c.cut_now(Cut::Silence, 8 * MILLI);
    assert_eq!((c.cut(), c.wants(Direction::Up)), (Some(Cut::Silence), 0));
    assert!(c.take_performed().iter().any(|p| p.deed == FaultAction::Cut(Cut::Silence) && p.offset == 9));
}
