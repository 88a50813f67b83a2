//! One stream at the server, request by request.

use bytes::Bytes;
use rushquay_xds::server::{
    Answer, DeltaRequest, Limits, RequestOutcome, SotwRequest, Stream, StreamError, Variant,
};
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

/// Returns all answers that are due, and acknowledges each.
fn drain(stream: &mut Stream, store: &Store) -> Vec<Answer> {
    let mut all = Vec::new();
    while let Some(answer) = next(stream, store) {
        stream.delta(reply(&answer, None)).expect("an ACK");
        all.push(answer);
        assert!(all.len() < 100, "answers do not end");
    }
    all
}

#[test]
fn nothing_is_sent_before_the_store_is_open() {
    let mut store = Store::new("here", 100);
    let mut s = delta();
    s.delta(DeltaRequest { initial_versions: [("a".into(), "v".into())].into(), ..subscribe(CDS, &[]) })
        .expect("a valid request");
    assert_eq!(next(&mut s, &store), None, "an empty store would remove everything");
    store.set(CDS, "b", body("1"), 0);
    store.open();
    let all = drain(&mut s, &store);
    assert_eq!(all.iter().flat_map(names).collect::<Vec<_>>(), ["b"]);
    assert_eq!(all.iter().flat_map(|a| a.removed.iter().map(|n| &**n)).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_delta_answer_has_only_what_changed() {
    let mut store = store(&[
        (LEDS, "xdstp://x/e/c/z/a", "1"),
        (LEDS, "xdstp://x/e/c/z/b", "1"),
        (LEDS, "xdstp://x/e/d/z/a", "1"),
    ]);
    let mut s = delta();
    s.delta(subscribe(LEDS, &["xdstp://x/e/c/z/*"])).expect("a valid request");
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
fn a_reconnecting_subscriber_gets_only_what_it_is_missing() {
    let mut store = store(&[(CDS, "same", "1"), (CDS, "changed", "1"), (CDS, "gone", "1")]);
    let held = |store: &Store, n: &str| (n.to_owned(), store.get(CDS, n).expect("there").version.to_string());
    let initial_versions = ["same", "changed", "gone"].map(|n| held(&store, n)).into();
    store.set(CDS, "changed", body("2"), 1);
    store.remove(CDS, "gone", 1);
    let mut s = delta();
    s.delta(DeltaRequest { initial_versions, ..subscribe(CDS, &[]) }).expect("a valid request");
    let all = drain(&mut s, &store);
    assert_eq!(all.iter().flat_map(names).collect::<Vec<_>>(), ["changed"]);
    assert_eq!(all.iter().flat_map(|a| a.removed.clone()).collect::<Vec<_>>(), ["gone".into()]);
}

#[test]
fn a_rejected_answer_is_resent_whole_after_the_next_change() {
    let mut store = store(&[(CDS, "good", "1"), (CDS, "bad", "1")]);
    let mut s = delta();
    s.delta(subscribe(CDS, &[])).expect("a valid request");
    let first = next(&mut s, &store).expect("an answer");
    let heard = s.delta(reply(&first, Some("bad: no"))).expect("a NACK");
    assert_eq!(heard, RequestOutcome::Nacked(CDS, "bad: no".into()));
    assert_eq!(next(&mut s, &store), None, "the same answer would be rejected again");
    store.set(CDS, "bad", body("2"), 1);
    let again = next(&mut s, &store).expect("an answer");
    assert_eq!(names(&again), ["bad", "good"], "nothing of the rejected answer was accepted");
    s.delta(reply(&again, None)).expect("an ACK");
    assert_eq!((s.standing(CDS).acks, s.standing(CDS).nacks, s.lag(&store, 9)), (1, 1, 0));
}

#[test]
fn a_rejected_removal_is_resent() {
    let mut store = store(&[(LEDS, "a", "1"), (LEDS, "b", "1")]);
    let mut s = delta();
    s.delta(subscribe(LEDS, &["*"])).expect("a valid request");
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
    s.delta(subscribe(LEDS, &["*"])).expect("a valid request");
    let first = next(&mut s, &store).expect("an answer");
    for i in 1..1000 {
        store.set(LEDS, "a", body(&i.to_string()), i);
        assert_eq!(next(&mut s, &store), None, "an answer awaits its acknowledgement");
    }
    s.delta(reply(&first, None)).expect("an ACK");
    let rest = drain(&mut s, &store);
    assert_eq!((rest.len(), &rest[0].resources[0].body[..]), (1, &b"999"[..]));
}

#[test]
fn a_stale_nonce_acknowledges_nothing_and_its_subscriptions_apply() {
    let store = store(&[(EDS, "a", "1"), (EDS, "b", "1")]);
    let mut s = delta();
    s.delta(subscribe(EDS, &["a"])).expect("a valid request");
    let first = next(&mut s, &store).expect("an answer");
    // It subscribes to another name while the answer is on its way, with a nonce that was never issued.
    let mut request = subscribe(EDS, &["b"]);
    request.nonce = "77".into();
    assert_eq!(s.delta(request), Ok(RequestOutcome::Stale(EDS)));
    assert_eq!(next(&mut s, &store), None);
    s.delta(reply(&first, None)).expect("an ACK");
    assert_eq!(names(&drain(&mut s, &store)[0]), ["b"]);
}

#[test]
fn unsubscribed_resources_are_not_sent() {
    let mut store = store(&[(EDS, "a", "1"), (EDS, "b", "1")]);
    let mut s = delta();
    s.delta(subscribe(EDS, &["a", "b"])).expect("a valid request");
    drain(&mut s, &store);
    let unsubscribe = vec!["a".to_owned()];
    s.delta(DeltaRequest { unsubscribe, ..subscribe(EDS, &[]) }).expect("a valid request");
    store.set(EDS, "a", body("2"), 1);
    assert_eq!(drain(&mut s, &store), []);
    // A name that is subscribed to again is sent again, even unchanged.
    s.delta(subscribe(EDS, &["a", "none"])).expect("a valid request");
    let again = drain(&mut s, &store);
    assert_eq!((names(&again[0]), again[0].removed.clone()), (vec!["a"], vec!["none".into()]));
}

#[test]
fn an_empty_subscription_means_all_clusters_but_no_endpoints() {
    let store = store(&[(CDS, "a", "1"), (EDS, "a", "1")]);
    let mut s = delta();
    s.delta(subscribe(EDS, &[])).expect("a valid request");
    assert_eq!(drain(&mut s, &store), []);
    s.delta(subscribe(CDS, &[])).expect("a valid request");
    assert_eq!(drain(&mut s, &store).len(), 1);
    // Explicitly.
    s.delta(subscribe(EDS, &["*"])).expect("a valid request");
    assert_eq!(drain(&mut s, &store).len(), 1);
}

#[test]
fn clusters_are_added_first_and_removed_last() {
    let mut store = Store::new("here", 100);
    store.open();
    let mut s = delta();
    for kind in [Kind::Route, Kind::Listener, EDS, CDS] {
        s.delta(subscribe(kind, &["*"])).expect("a valid request");
    }
    for kind in [Kind::Route, Kind::Listener, EDS, CDS] {
        store.set(kind, "a", body("1"), 0);
    }
    let kinds = |all: &[Answer]| all.iter().map(|a| a.kind).collect::<Vec<_>>();
    assert_eq!(kinds(&drain(&mut s, &store)), [CDS, EDS, Kind::Listener, Kind::Route]);
    // The route changes to another cluster, and the old one is removed, all at once.
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
        "nothing is removed before the route is acknowledged"
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
        s.delta(subscribe(kind, &["*"])).expect("a valid request");
    }
    let first = next(&mut s, &store).expect("an answer");
    store.set(CDS, "b", body("1"), 1);
    store.set(Kind::Listener, "to-b", body("1"), 1);
    assert_eq!(next(&mut s, &store), None);
    // A drain does not wait for the acknowledgement.
    store.set(LEDS, "e", body("draining"), 2);
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(LEDS));
    s.delta(reply(&first, None)).expect("an ACK");
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(CDS));
    assert_eq!(next(&mut s, &store).map(|a| a.kind), Some(Kind::Listener));
}

#[test]
fn a_long_answer_is_split() {
    let mut store = Store::new("here", 100);
    for i in 0..100 {
        store.set(LEDS, &format!("{i:03}"), body(&format!("{i:0100}")), 0);
    }
    store.open();
    let mut s = Stream::new(Variant::Delta, None, Limits { answer: 1000, ..Limits::default() });
    s.delta(subscribe(LEDS, &["*"])).expect("a valid request");
    let all = drain(&mut s, &store);
    assert!(all.len() >= 10 && all.iter().all(|a| a.resources.len() <= 10));
    assert_eq!(all.iter().map(|a| a.resources.len()).sum::<usize>(), 100);
    // Changes as well, each with the newest content, and none twice.
    for i in 0..100 {
        store.set(LEDS, &format!("{i:03}"), body(&format!("{:0100}", i + 1)), 1);
    }
    let all = drain(&mut s, &store);
    assert_eq!(all.iter().map(|a| a.resources.len()).sum::<usize>(), 100);
}

#[test]
fn a_subscriber_behind_forgotten_removals_has_to_reconnect() {
    let mut store = Store::new("here", 10);
    store.set(LEDS, "stays", body("1"), 0);
    store.open();
    let mut s = delta();
    s.delta(subscribe(LEDS, &["*"])).expect("a valid request");
    drain(&mut s, &store);
    for i in 0..50 {
        store.set(LEDS, &i.to_string(), body("1"), 0);
        store.remove(LEDS, &i.to_string(), 0);
    }
    assert_eq!(s.next(&store), Err(StreamError::TooFarBehind));
}

#[test]
fn exceeding_a_limit_ends_the_stream() {
    let names: Vec<String> = (0..10_000).map(|i| format!("n{i}")).collect();
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let too_many = StreamError::TooManyNames { kind: EDS, max_names: 4096 };
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
    s.sotw(ask(CDS, &[], "")).expect("a valid request");
    let first = next(&mut s, &store).expect("an answer");
    assert_eq!(names(&first), ["a", "b"]);
    assert_eq!(s.sotw(ask(CDS, &[], &first.nonce)), Ok(RequestOutcome::Acked(CDS)));
    assert_eq!(next(&mut s, &store), None);
    store.set(CDS, "b", body("2"), 1);
    assert_eq!(names(&next(&mut s, &store).expect("an answer")), ["a", "b"]);
}

#[test]
fn a_removed_cluster_stays_in_answers_until_all_others_are_acknowledged() {
    let mut store = store(&[(CDS, "a", "1"), (Kind::Route, "r", "to a")]);
    let mut s = sotw();
    s.sotw(ask(CDS, &[], "")).expect("a valid request");
    s.sotw(ask(Kind::Route, &["r"], "")).expect("a valid request");
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
fn names_with_a_stale_nonce_wait_for_the_next_request() {
    let store = store(&[(EDS, "a", "1"), (EDS, "b", "1")]);
    let mut s = sotw();
    s.sotw(ask(EDS, &["a"], "")).expect("a valid request");
    let first = next(&mut s, &store).expect("an answer");
    assert_eq!(s.sotw(ask(EDS, &["a", "b"], "old")), Ok(RequestOutcome::Stale(EDS)));
    assert_eq!(s.sotw(ask(EDS, &["a", "b"], &first.nonce)), Ok(RequestOutcome::Acked(EDS)));
    assert_eq!(names(&next(&mut s, &store).expect("an answer")), ["a", "b"]);
}

#[test]
fn a_rejection_keeps_the_last_accepted_version_and_delays_nothing_else() {
    let mut store = store(&[(CDS, "a", "1"), (EDS, "a", "1")]);
    let mut s = sotw();
    s.sotw(ask(CDS, &[], "")).expect("a valid request");
    s.sotw(ask(EDS, &["a"], "")).expect("a valid request");
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
