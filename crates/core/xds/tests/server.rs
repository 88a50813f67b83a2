//! One stream at the server, request by request.

use bytes::Bytes;
use rushquay_xds::server::{Answer, DeltaRequest, Heard, Limits, SotwRequest, Stream, StreamError, Variant};
use rushquay_xds::{version_of, Declared, Kind, Store};

const CDS: Kind = Kind::Cluster;
const EDS: Kind = Kind::Endpoints;
const LEDS: Kind = Kind::Endpoint;

fn body(text: &str) -> Declared {
    Declared { version: version_of(text.as_bytes()), body: Bytes::copy_from_slice(text.as_bytes()) }
}

fn store(of: &[(Kind, &str, &str)]) -> Store {
    let mut store = Store::new("here", 100);
    of.iter().for_each(|(kind, name, text)| assert!(store.set(*kind, name, body(text), 0)));
    store.open();
    store
}

fn delta() -> Stream {
    Stream::new(Variant::Delta, None, Limits::default())
}

fn subscribe(kind: Kind, names: &[&str]) -> DeltaRequest {
    let subscribe = names.iter().map(|n| n.to_string()).collect();
    DeltaRequest { type_url: kind.type_url().into(), subscribe, ..DeltaRequest::default() }
}

fn reply(a: &Answer, error: Option<&str>) -> DeltaRequest {
    let error = error.map(str::to_owned);
    DeltaRequest {
        type_url: a.kind.type_url().into(),
        nonce: a.nonce.clone(),
        error,
        ..DeltaRequest::default()
    }
}

fn next(stream: &mut Stream, store: &Store) -> Option<Answer> {
    stream.next(store).expect("the stream goes on")
}

fn names(a: &Answer) -> Vec<&str> {
    a.resources.iter().map(|r| &*r.name).collect()
}

/// Takes all that is due, acknowledging each answer.
fn drain(stream: &mut Stream, store: &Store) -> Vec<Answer> {
    let mut all = Vec::new();
    while let Some(answer) = next(stream, store) {
        stream.delta(reply(&answer, None)).expect("an ACK");
        all.push(answer);
        assert!(all.len() < 100, "no end of answers");
    }
    all
}

#[test]
fn nothing_is_said_before_the_store_is_open() {
    let mut store = Store::new("here", 100);
    let mut s = delta();
    s.delta(DeltaRequest { initial_versions: [("a".into(), "v".into())].into(), ..subscribe(CDS, &[]) })
        .expect("heard");
    assert_eq!(next(&mut s, &store), None, "an empty start would take everything away");
    store.set(CDS, "b", body("1"), 0);
    store.open();
    let all = drain(&mut s, &store);
    assert_eq!(all.iter().flat_map(names).collect::<Vec<_>>(), ["b"]);
    assert_eq!(all.iter().flat_map(|a| a.removed.iter().map(|n| &**n)).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_delta_holds_what_changed_alone() {
    let mut store = store(&[
        (LEDS, "xdstp://x/e/c/z/a", "1"),
        (LEDS, "xdstp://x/e/c/z/b", "1"),
        (LEDS, "xdstp://x/e/d/z/a", "1"),
    ]);
    let mut s = delta();
    s.delta(subscribe(LEDS, &["xdstp://x/e/c/z/*"])).expect("heard");
    let first = drain(&mut s, &store);
    assert_eq!(names(&first[0]), ["xdstp://x/e/c/z/a", "xdstp://x/e/c/z/b"]);
    store.set(LEDS, "xdstp://x/e/c/z/b", body("2"), 1);
    store.set(LEDS, "xdstp://x/e/d/z/a", body("2"), 1);
    store.set(LEDS, "xdstp://x/e/c/z/deeper/a", body("2"), 1);
    let second = drain(&mut s, &store);
    assert_eq!((second.len(), names(&second[0])), (1, vec!["xdstp://x/e/c/z/b"]));
    store.remove(LEDS, "xdstp://x/e/c/z/a", 2);
    assert_eq!(&*drain(&mut s, &store)[0].removed[0], "xdstp://x/e/c/z/a");
}

#[test]
fn who_comes_back_is_told_of_what_it_lacks_alone() {
    let mut store = store(&[(CDS, "same", "1"), (CDS, "changed", "1"), (CDS, "gone", "1")]);
    let held = |store: &Store, n: &str| (n.to_owned(), store.get(CDS, n).expect("there").version.to_string());
    let initial_versions = ["same", "changed", "gone"].map(|n| held(&store, n)).into();
    store.set(CDS, "changed", body("2"), 1);
    store.remove(CDS, "gone", 1);
    let mut s = delta();
    s.delta(DeltaRequest { initial_versions, ..subscribe(CDS, &[]) }).expect("heard");
    let all = drain(&mut s, &store);
    assert_eq!(all.iter().flat_map(names).collect::<Vec<_>>(), ["changed"]);
    assert_eq!(all.iter().flat_map(|a| a.removed.clone()).collect::<Vec<_>>(), ["gone".into()]);
}

#[test]
fn a_refused_answer_is_owed_again_whole_but_only_after_a_change() {
    let mut store = store(&[(CDS, "good", "1"), (CDS, "bad", "1")]);
    let mut s = delta();
    s.delta(subscribe(CDS, &[])).expect("heard");
    let first = next(&mut s, &store).expect("an answer");
    let heard = s.delta(reply(&first, Some("bad: no"))).expect("a NACK");
    assert_eq!(heard, Heard::Nacked(CDS, "bad: no".into()));
    assert_eq!(next(&mut s, &store), None, "the same again would be refused again");
    store.set(CDS, "bad", body("2"), 1);
    let again = next(&mut s, &store).expect("an answer");
    assert_eq!(names(&again), ["bad", "good"], "nothing of the refused answer was taken");
    s.delta(reply(&again, None)).expect("an ACK");
    assert_eq!((s.standing(CDS).acks, s.standing(CDS).nacks, s.lag(&store, 9)), (1, 1, 0));
}

#[test]
fn a_refused_removal_is_owed_again() {
    let mut store = store(&[(LEDS, "a", "1"), (LEDS, "b", "1")]);
    let mut s = delta();
    s.delta(subscribe(LEDS, &["*"])).expect("heard");
    drain(&mut s, &store);
    store.remove(LEDS, "a", 1);
    let removal = next(&mut s, &store).expect("an answer");
    s.delta(reply(&removal, Some("not now"))).expect("a NACK");
    store.set(LEDS, "b", body("2"), 2);
    let again = next(&mut s, &store).expect("an answer");
    assert_eq!((names(&again), again.removed.clone()), (vec!["b"], vec!["a".into()]));
}

#[test]
fn a_slow_subscriber_gets_the_newest_state_and_no_backlog() {
    let mut store = store(&[(LEDS, "a", "0")]);
    let mut s = delta();
    s.delta(subscribe(LEDS, &["*"])).expect("heard");
    let first = next(&mut s, &store).expect("an answer");
    for i in 1..1000 {
        store.set(LEDS, "a", body(&i.to_string()), i);
        assert_eq!(next(&mut s, &store), None, "one answer is out");
    }
    s.delta(reply(&first, None)).expect("an ACK");
    let rest = drain(&mut s, &store);
    assert_eq!((rest.len(), &rest[0].resources[0].body[..]), (1, &b"999"[..]));
}

#[test]
fn a_stale_nonce_takes_nothing_back_and_its_subscriptions_count() {
    let store = store(&[(EDS, "a", "1"), (EDS, "b", "1")]);
    let mut s = delta();
    s.delta(subscribe(EDS, &["a"])).expect("heard");
    let first = next(&mut s, &store).expect("an answer");
    // It subscribes to another while the answer is on its way, with a nonce that was never given.
    let mut request = subscribe(EDS, &["b"]);
    request.nonce = "77".into();
    assert_eq!(s.delta(request), Ok(Heard::Stale(EDS)));
    assert_eq!(next(&mut s, &store), None);
    s.delta(reply(&first, None)).expect("an ACK");
    assert_eq!(names(&drain(&mut s, &store)[0]), ["b"]);
}

#[test]
fn what_is_unsubscribed_from_is_not_told_of() {
    let mut store = store(&[(EDS, "a", "1"), (EDS, "b", "1")]);
    let mut s = delta();
    s.delta(subscribe(EDS, &["a", "b"])).expect("heard");
    drain(&mut s, &store);
    let unsubscribe = vec!["a".to_owned()];
    s.delta(DeltaRequest { unsubscribe, ..subscribe(EDS, &[]) }).expect("heard");
    store.set(EDS, "a", body("2"), 1);
    assert_eq!(drain(&mut s, &store), []);
    // Subscribed to again it is told of again, also unchanged.
    s.delta(subscribe(EDS, &["a", "none"])).expect("heard");
    let again = drain(&mut s, &store);
    assert_eq!((names(&again[0]), again[0].removed.clone()), (vec!["a"], vec!["none".into()]));
}

#[test]
fn an_empty_request_means_all_clusters_but_no_endpoints() {
    let store = store(&[(CDS, "a", "1"), (EDS, "a", "1")]);
    let mut s = delta();
    s.delta(subscribe(EDS, &[])).expect("heard");
    assert_eq!(drain(&mut s, &store), []);
    s.delta(subscribe(CDS, &[])).expect("heard");
    assert_eq!(drain(&mut s, &store).len(), 1);
    // Explicitly.
    s.delta(subscribe(EDS, &["*"])).expect("heard");
    assert_eq!(drain(&mut s, &store).len(), 1);
}

#[test]
fn clusters_come_first_and_go_last() {
    let mut store = Store::new("here", 100);
    store.open();
    let mut s = delta();
    for kind in [Kind::Route, Kind::Listener, EDS, CDS] {
        s.delta(subscribe(kind, &["*"])).expect("heard");
    }
    for kind in [Kind::Route, Kind::Listener, EDS, CDS] {
        store.set(kind, "a", body("1"), 0);
    }
    let kinds = |all: &[Answer]| all.iter().map(|a| a.kind).collect::<Vec<_>>();
    assert_eq!(kinds(&drain(&mut s, &store)), [CDS, EDS, Kind::Listener, Kind::Route]);
    // The route moves on to another cluster, and the old one goes, all at once.
    store.remove(CDS, "a", 1);
    store.remove(EDS, "a", 1);
    store.set(CDS, "b", body("1"), 1);
    store.set(EDS, "b", body("1"), 1);
    store.set(Kind::Route, "a", body("2"), 1);
    let mut seen = Vec::new();
    let mut out = Vec::new();
    while let Some(answer) = next(&mut s, &store) {
        seen.push((answer.kind, answer.resources.len(), answer.removed.len()));
        out.push(answer);
    }
    assert_eq!(
        seen,
        [(CDS, 1, 0), (EDS, 1, 0), (Kind::Route, 1, 0)],
        "nothing goes before the route was taken"
    );
    for answer in &out {
        s.delta(reply(answer, None)).expect("an ACK");
    }
    let last: Vec<_> = drain(&mut s, &store).iter().map(|a| (a.kind, a.removed.len())).collect();
    assert_eq!(last, [(EDS, 1), (CDS, 1)]);
}

#[test]
fn a_listener_does_not_overtake_a_cluster_that_waits_for_an_acknowledgement() {
    let mut store = store(&[(CDS, "a", "1")]);
    let mut s = delta();
    for kind in [CDS, Kind::Listener, LEDS] {
        s.delta(subscribe(kind, &["*"])).expect("heard");
    }
    let first = next(&mut s, &store).expect("an answer");
    store.set(CDS, "b", body("1"), 1);
    store.set(Kind::Listener, "to-b", body("1"), 1);
    assert_eq!(next(&mut s, &store), None);
    // A drain does not wait for it.
    store.set(LEDS, "e", body("draining"), 2);
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(LEDS));
    s.delta(reply(&first, None)).expect("an ACK");
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(CDS));
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(Kind::Listener));
}

#[test]
fn a_long_answer_is_cut_and_goes_on() {
    let mut store = Store::new("here", 100);
    for i in 0..100 {
        store.set(LEDS, &format!("{i:03}"), body(&format!("{i:0100}")), 0);
    }
    store.open();
    let mut s = Stream::new(Variant::Delta, None, Limits { answer: 1000, ..Limits::default() });
    s.delta(subscribe(LEDS, &["*"])).expect("heard");
    let all = drain(&mut s, &store);
    assert!(all.len() >= 10 && all.iter().all(|a| a.resources.len() <= 10));
    assert_eq!(all.iter().map(|a| a.resources.len()).sum::<usize>(), 100);
    // Changes too, each at its newest, and none twice.
    for i in 0..100 {
        store.set(LEDS, &format!("{i:03}"), body(&format!("{:0100}", i + 1)), 1);
    }
    let all = drain(&mut s, &store);
    assert_eq!(all.iter().map(|a| a.resources.len()).sum::<usize>(), 100);
}

#[test]
fn who_missed_removals_that_are_forgotten_is_sent_back() {
    let mut store = Store::new("here", 10);
    store.set(LEDS, "stays", body("1"), 0);
    store.open();
    let mut s = delta();
    s.delta(subscribe(LEDS, &["*"])).expect("heard");
    drain(&mut s, &store);
    for i in 0..50 {
        store.set(LEDS, &i.to_string(), body("1"), 0);
        store.remove(LEDS, &i.to_string(), 0);
    }
    assert_eq!(s.next(&store), Err(StreamError::TooFarBehind));
}

#[test]
fn limits_end_the_stream_that_breaks_them() {
    let names: Vec<String> = (0..10_000).map(|i| format!("n{i}")).collect();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let too_many = StreamError::TooManyNames { kind: EDS, most: 4096 };
    assert_eq!(delta().delta(subscribe(EDS, &refs)), Err(too_many.clone()));
    let mut s = delta();
    let piecemeal: Vec<_> = refs.chunks(1000).map(|part| s.delta(subscribe(EDS, part))).collect();
    assert!(piecemeal.contains(&Err(too_many.clone())), "bit by bit too");
    let mut s = Stream::new(Variant::Sotw, None, Limits::default());
    let request =
        SotwRequest { type_url: EDS.type_url().into(), names: names.clone(), ..SotwRequest::default() };
    assert_eq!(s.sotw(request), Err(too_many));
    let long = "x".repeat(2000);
    assert_eq!(delta().delta(subscribe(EDS, &[&long])), Err(StreamError::TooLong(1024)));
    let unknown = DeltaRequest { type_url: "type.googleapis.com/none".into(), ..DeltaRequest::default() };
    assert!(matches!(delta().delta(unknown), Err(StreamError::UnknownType(_))));
    let mut cds = Stream::new(Variant::Delta, Some(CDS), Limits::default());
    assert!(matches!(cds.delta(subscribe(EDS, &[])), Err(StreamError::UnknownType(_))));
}

// ---- state-of-the-world ----

fn sotw() -> Stream {
    Stream::new(Variant::Sotw, None, Limits::default())
}

fn ask(kind: Kind, names: &[&str], nonce: &str) -> SotwRequest {
    let names = names.iter().map(|n| n.to_string()).collect();
    SotwRequest { type_url: kind.type_url().into(), names, nonce: nonce.into(), ..SotwRequest::default() }
}

#[test]
fn each_state_of_the_world_answer_is_whole() {
    let mut store = store(&[(CDS, "a", "1"), (CDS, "b", "1")]);
    let mut s = sotw();
    s.sotw(ask(CDS, &[], "")).expect("heard");
    let first = next(&mut s, &store).expect("an answer");
    assert_eq!(names(&first), ["a", "b"]);
    assert_eq!(s.sotw(ask(CDS, &[], &first.nonce)), Ok(Heard::Acked(CDS)));
    assert_eq!(next(&mut s, &store), None);
    store.set(CDS, "b", body("2"), 1);
    assert_eq!(names(&next(&mut s, &store).expect("an answer")), ["a", "b"]);
}

#[test]
fn a_removed_cluster_stays_in_the_answers_until_all_else_was_taken() {
    let mut store = store(&[(CDS, "a", "1"), (Kind::Route, "r", "to a")]);
    let mut s = sotw();
    s.sotw(ask(CDS, &[], "")).expect("heard");
    s.sotw(ask(Kind::Route, &["r"], "")).expect("heard");
    for _ in 0..2 {
        let a = next(&mut s, &store).expect("an answer");
        let request = ask(a.kind, if a.kind == CDS { &[] } else { &["r"] }, &a.nonce);
        s.sotw(request).expect("an ACK");
    }
    store.remove(CDS, "a", 1);
    store.set(CDS, "b", body("1"), 1);
    store.set(Kind::Route, "r", body("to b"), 1);
    let clusters = next(&mut s, &store).expect("clusters");
    assert_eq!(names(&clusters), ["b", "a"]);
    let routes = next(&mut s, &store).expect("routes");
    assert_eq!(routes.kind, Kind::Route);
    s.sotw(ask(CDS, &[], &clusters.nonce)).expect("an ACK");
    assert_eq!(next(&mut s, &store), None, "the route isn't taken yet");
    s.sotw(ask(Kind::Route, &["r"], &routes.nonce)).expect("an ACK");
    assert_eq!(names(&next(&mut s, &store).expect("clusters")), ["b"]);
}

#[test]
fn names_given_with_a_stale_nonce_wait_for_the_next_request() {
    let store = store(&[(EDS, "a", "1"), (EDS, "b", "1")]);
    let mut s = sotw();
    s.sotw(ask(EDS, &["a"], "")).expect("heard");
    let first = next(&mut s, &store).expect("an answer");
    assert_eq!(s.sotw(ask(EDS, &["a", "b"], "old")), Ok(Heard::Stale(EDS)));
    assert_eq!(s.sotw(ask(EDS, &["a", "b"], &first.nonce)), Ok(Heard::Acked(EDS)));
    assert_eq!(names(&next(&mut s, &store).expect("an answer")), ["a", "b"]);
}

#[test]
fn a_refusal_keeps_the_last_good_version_and_holds_back_nothing_else() {
    let mut store = store(&[(CDS, "a", "1"), (EDS, "a", "1")]);
    let mut s = sotw();
    s.sotw(ask(CDS, &[], "")).expect("heard");
    s.sotw(ask(EDS, &["a"], "")).expect("heard");
    let (clusters, endpoints) = (next(&mut s, &store).expect("c"), next(&mut s, &store).expect("e"));
    s.sotw(ask(CDS, &[], &clusters.nonce)).expect("an ACK");
    s.sotw(ask(EDS, &["a"], &endpoints.nonce)).expect("an ACK");
    store.set(CDS, "a", body("bad"), 1);
    let bad = next(&mut s, &store).expect("an answer");
    let nack = SotwRequest { error: Some("no".into()), ..ask(CDS, &[], &bad.nonce) };
    s.sotw(nack).expect("a NACK");
    assert_eq!(s.standing(CDS).acked, clusters.version);
    assert_eq!(next(&mut s, &store), None);
    store.set(EDS, "a", body("2"), 2);
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(EDS));
    store.set(CDS, "a", body("good"), 3);
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(CDS));
}
