//! The leader's lease and the shared state in etcd, against a stand-in server.

use rushquay_endpoints::{Endpoint, EndpointState, SourcedEndpoint, StatedStart};
use rushquay_etcd::{EtcdShared, Prefix};
use rushquay_etcd_standin::Etcd;
use rushquay_overrides::{Effect, EventKind, Override, OverrideEvent, OverrideLimits, OverrideSet, Scope};
use rushquay_state::{
    Campaign, EndpointWrite, HeldLease, OverrideWrite, RecordWrite, SharedError, SharedState,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TTL: Duration = Duration::from_secs(1);
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn instance(etcd: &Etcd) -> Arc<EtcdShared> {
    let prefix = Prefix::new("/rushquay").expect("a prefix");
    Arc::new(EtcdShared::new(&[etcd.endpoint()], prefix, Duration::from_millis(500), None).expect("a client"))
}

async fn on<T: Send + 'static>(
    shared: &Arc<EtcdShared>,
    operation: impl FnOnce(&EtcdShared) -> T + Send + 'static,
) -> T {
    let shared = shared.clone();
    tokio::task::spawn_blocking(move || operation(&shared)).await.expect("it ended")
}

async fn won(shared: &Arc<EtcdShared>, me: &'static str) -> HeldLease {
    let start = Instant::now();
    loop {
        match on(shared, move |s| s.campaign(me, TTL)).await {
            Ok(Campaign::Won(held)) => return held,
            other => assert!(start.elapsed() < TEST_TIMEOUT, "{other:?}"),
        }
        on(shared, |s| s.wait(Duration::from_millis(200))).await;
    }
}

fn endpoint(i: usize) -> SourcedEndpoint {
    let member = Endpoint {
        id: format!("cache-{i:04}"),
        addr: None,
        zone: "rajkot".into(),
        kind: "k".into(),
        cell: 0,
        state: EndpointState::Draining,
        weight: 1.0,
        started: StatedStart::from_unix_nanos(7),
    };
    SourcedEndpoint { member, list_version: 41, is_from_discovery: true, imposed: Default::default() }
}

fn live_override(id: u64) -> Override {
    let (author, reason) = ("asha".into(), "boiler".into());
    Override { id, scope: Scope::Node("a".into()), effect: Effect::Out, since: 1, until: 2, author, reason }
}

fn override_write(
    live: Vec<Override>,
    events: std::ops::RangeInclusive<u64>,
    history: usize,
) -> OverrideWrite {
    let event = |number| OverrideEvent {
        number,
        at: 1,
        kind: EventKind::Set,
        by: "asha".into(),
        what: live_override(number),
    };
    let next = *events.end() + 1;
    OverrideWrite { live, events: events.map(event).collect(), next, revision: next, history }
}

fn ids(overrides: &OverrideSet) -> Vec<u64> {
    overrides.live().map(|o| o.id).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_former_leader_writes_nothing_after_its_lease_has_expired() {
    let etcd = Etcd::start().await;
    let (a, b) = (instance(&etcd), instance(&etcd));
    let old = won(&a, "a").await;
    let taken = on(&b, |s| s.campaign("b", TTL)).await.expect("an answer");
    assert_eq!(taken, Campaign::Taken { by: "a".into() });
    on(&a, move |s| s.keep(old, &EndpointWrite { version: Some(41), ..EndpointWrite::default() }))
        .await
        .expect("kept");
    // The former leader is paused: nobody renews the lease.
    let new = won(&b, "b").await;
    assert!(new.epoch > old.epoch, "{new:?} after {old:?}");
    let override_write = EndpointWrite { version: Some(42), ..EndpointWrite::default() };
    let late = on(&a, move |s| s.keep(old, &override_write)).await;
    assert!(matches!(late, Err(SharedError::Fenced(_))), "{late:?}");
    assert!(matches!(on(&a, move |s| s.renew(old)).await, Err(SharedError::Fenced(_))));
    let (state, _) = on(&b, |s| s.load(OverrideLimits::default())).await.expect("read");
    assert_eq!(state.version, Some(41));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_released_lease_is_available_at_once() {
    let etcd = Etcd::start().await;
    let (a, b) = (instance(&etcd), instance(&etcd));
    let held = match on(&a, |s| s.campaign("a", Duration::from_secs(60))).await.expect("an answer") {
        Campaign::Won(held) => held,
        other => panic!("{other:?}"),
    };
    let waiting = {
        let b = b.clone();
        tokio::spawn(async move { on(&b, |s| s.wait(TEST_TIMEOUT)).await })
    };
    on(&a, move |s| s.resign(held)).await.expect("given back");
    tokio::time::timeout(TEST_TIMEOUT / 2, waiting)
        .await
        .expect("told before the wait was over")
        .expect("it ended");
    assert!(won(&b, "b").await.epoch > held.epoch);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_campaign_whose_response_was_lost_is_resumed() {
    let etcd = Etcd::start().await;
    let a = instance(&etcd);
    // A grant and a transaction: the second is carried out and its response lost.
    let first = on(&a, |s| s.campaign("a", TTL)).await.expect("an answer");
    let Campaign::Won(held) = first else { panic!("{first:?}") };
    etcd.lose_answers(1);
    // The stand-in's own clock, which ticks meanwhile, is no call.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let lost =
        on(&a, move |s| s.keep(held, &EndpointWrite { version: Some(7), ..EndpointWrite::default() })).await;
    assert!(matches!(lost, Err(SharedError::Unreachable(_))), "{lost:?}");
    // A new campaign under the same lease finds it still the leader, in the same epoch.
    let again = on(&a, |s| s.campaign("a", TTL)).await.expect("an answer");
    assert_eq!(again, Campaign::Won(held));
    // The unacknowledged write is whole.
    let (state, _) = on(&a, |s| s.load(OverrideLimits::default())).await.expect("read");
    assert_eq!(state.version, Some(7));
    etcd.away(true);
    assert!(matches!(on(&a, move |s| s.renew(held)).await, Err(SharedError::Unreachable(_))));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_writes_are_split_and_read_in_pages() {
    let etcd = Etcd::start().await;
    let a = instance(&etcd);
    let held = won(&a, "a").await;
    let set: Vec<SourcedEndpoint> = (0..2300).map(endpoint).collect();
    let expected = set.clone();
    let before = etcd.transactions();
    on(&a, move |s| s.keep(held, &EndpointWrite { version: Some(41), set, ..EndpointWrite::default() }))
        .await
        .expect("kept");
    assert_eq!(etcd.transactions() - before, 24);
    let (state, _) = on(&a, |s| s.load(OverrideLimits::default())).await.expect("read");
    assert_eq!((state.version, state.nodes.len()), (Some(41), 2300));
    assert!(state.nodes == expected);
    let gone = EndpointWrite { gone: vec!["cache-0003".into()], ..EndpointWrite::default() };
    on(&a, move |s| s.keep(held, &gone)).await.expect("kept");
    assert_eq!(etcd.keys("/rushquay/nodes/"), 2299);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overrides_are_persisted_and_their_history_is_bounded() {
    let etcd = Etcd::start().await;
    let a = instance(&etcd);
    let held = won(&a, "a").await;
    let kept = override_write(vec![live_override(1), live_override(2)], 1..=2, 5);
    on(&a, move |s| s.keep_book(held, &kept)).await.expect("kept");
    for number in 3..=20 {
        let kept = override_write(vec![live_override(2), live_override(number)], number..=number, 5);
        on(&a, move |s| s.keep_book(held, &kept)).await.expect("kept");
    }
    let (_, overrides) = on(&a, |s| s.load(OverrideLimits::default())).await.expect("read");
    assert_eq!((ids(&overrides), overrides.revision(), overrides.next_id()), (vec![2, 20], 21, 21));
    assert_eq!(overrides.history().map(|e| e.number).collect::<Vec<_>>(), [20, 19, 18, 17, 16]);
    assert_eq!(etcd.keys("/rushquay/history/"), 5);
}

/// Records of other components, more than fit in one transaction: the next leader reads what was persisted and not
/// what was removed, and a former leader writes nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn record_writes_require_the_lease() {
    let etcd = Etcd::start().await;
    let (a, b) = (instance(&etcd), instance(&etcd));
    let old = won(&a, "a").await;
    let name = |n: usize| format!("roster/p{n}");
    let set = (0..250).map(|n| (name(n), serde_json::json!({"boot": n}))).collect();
    on(&a, move |s| s.keep_records(old, &RecordWrite { set, gone: Vec::new() })).await.expect("kept");
    let gone = vec![name(7)];
    on(&a, move |s| s.keep_records(old, &RecordWrite { gone, ..RecordWrite::default() }))
        .await
        .expect("kept");
    on(&a, move |s| s.resign(old)).await.expect("given back");
    let new = won(&b, "b").await;
    let read = on(&b, |s| s.load_records()).await.expect("read");
    assert_eq!(read.len(), 249);
    assert_eq!((read.get(&name(8)), read.get(&name(7))), (Some(&serde_json::json!({"boot": 8})), None));
    let late = RecordWrite { set: [(name(8), serde_json::Value::Null)].into(), gone: Vec::new() };
    let refused = on(&a, move |s| s.keep_records(old, &late)).await;
    assert!(matches!(refused, Err(SharedError::Fenced(_))), "{refused:?}");
    assert_eq!(on(&b, |s| s.load_records()).await.expect("read"), read);
    on(&b, move |s| s.resign(new)).await.expect("given back");
}

/// Guards against a keep-alive that ends without an answer passing for a lease that has expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keep_alive_without_an_answer_is_no_lost_lease() {
    let etcd = Etcd::start().await;
    let a = instance(&etcd);
    let held = won(&a, "a").await;
    etcd.leave_keep_alives_unanswered(1);
    let renewed = on(&a, move |s| s.renew(held)).await;
    assert!(matches!(renewed, Err(SharedError::Unreachable(_))), "{renewed:?}");
    assert!(on(&a, move |s| s.renew(held)).await.is_ok());
    // One that says that the lease has expired is believed.
    on(&a, move |s| s.resign(held)).await.expect("resigned");
    let renewed = on(&a, move |s| s.renew(held)).await;
    assert!(matches!(renewed, Err(SharedError::Fenced(_))), "{renewed:?}");
}
