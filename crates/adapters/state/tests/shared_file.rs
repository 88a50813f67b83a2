//! A store shared by instances on one machine: who leads, and that nobody else writes.

use rushquay_overrides::OverrideLimits;
use rushquay_state::{
    Campaign, EndpointWrite, HeldLease, RecordWrite, SharedError, SharedFile, SharedState, StateStore,
};
use serde_json::json;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const TTL: Duration = Duration::from_secs(5);

struct Fixture {
    path: PathBuf,
    now: Arc<AtomicU64>,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let path = std::env::temp_dir().join(format!("rushquay-shared-{name}-{}.redb", std::process::id()));
        let fixture = Fixture { path, now: Arc::new(AtomicU64::new(1)) };
        fixture.remove();
        fixture
    }

    fn instance(&self, boot: &str) -> SharedFile {
        let now = self.now.clone();
        SharedFile::new(&self.path, boot, move || now.load(Ordering::Relaxed))
    }

    fn pass(&self, time: Duration) {
        self.now.fetch_add(time.as_nanos() as u64, Ordering::Relaxed);
    }
}

impl Fixture {
    /// Removes the file and its successors.
    fn remove(&self) {
        let name = self.path.file_name().expect("a name").to_string_lossy().into_owned();
        let entries = std::fs::read_dir(std::env::temp_dir()).into_iter().flatten().flatten();
        let own = |e: &std::fs::DirEntry| e.file_name().to_string_lossy().starts_with(&name);
        entries.filter(own).for_each(|e| drop(std::fs::remove_file(e.path())));
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.remove();
    }
}

fn won(campaign: Result<Campaign, SharedError>) -> HeldLease {
    match campaign.expect("an answer") {
        Campaign::Won(held) => held,
        Campaign::Taken { by } => panic!("taken by {by}"),
    }
}

fn version(number: u64) -> EndpointWrite {
    EndpointWrite { version: Some(number), ..EndpointWrite::default() }
}

#[test]
fn a_former_leader_that_resumes_writes_nothing() {
    let fixture = Fixture::new("fenced");
    let (a, b) = (fixture.instance("boot"), fixture.instance("boot"));
    let old = won(a.campaign("a", TTL));
    a.keep(old, &version(41)).expect("kept");
    assert_eq!(b.campaign("b", TTL).expect("an answer"), Campaign::Taken { by: "a".into() });
    // Paused for minutes, while nobody took over: its lease has expired all the same.
    fixture.pass(Duration::from_secs(180));
    assert!(matches!(a.keep(old, &version(42)), Err(SharedError::Fenced(1))));
    let new = won(b.campaign("b", TTL));
    assert!(new.epoch > old.epoch);
    b.keep(new, &version(50)).expect("kept");
    assert!(matches!(a.keep(old, &version(43)), Err(SharedError::Fenced(1))));
    assert!(matches!(a.renew(old), Err(SharedError::Fenced(1))));
    assert!(matches!(a.resign(old), Err(SharedError::Fenced(1))));
    let (state, _) = a.load(OverrideLimits::default()).expect("read");
    assert_eq!(state.version, Some(50));
}

#[test]
fn a_lease_is_renewed_released_and_expired_by_a_reboot() {
    let fixture = Fixture::new("terms");
    let (a, b) = (fixture.instance("boot"), fixture.instance("boot"));
    let held = won(a.campaign("a", TTL));
    fixture.pass(TTL - Duration::from_secs(1));
    a.renew(held).expect("renewed");
    fixture.pass(TTL - Duration::from_secs(1));
    assert_eq!(b.campaign("b", TTL).expect("an answer"), Campaign::Taken { by: "a".into() });
    a.resign(held).expect("given back");
    let next = won(b.campaign("b", TTL));
    assert_eq!(next.epoch, held.epoch + 1);
    // The machine restarted, and its clock with it.
    fixture.now.store(1, Ordering::Relaxed);
    let c = fixture.instance("another boot");
    assert_eq!(won(c.campaign("c", TTL)).epoch, next.epoch + 1);
}

/// Also where all create the file at the same time: none may replace the file of another.
#[test]
fn one_of_several_concurrent_candidates_wins() {
    for round in 0..30 {
        let fixture = Fixture::new(&format!("turns-{round}"));
        let won: usize = std::thread::scope(|scope| {
            let request = |name: &'static str| {
                let instance = fixture.instance("boot");
                scope.spawn(move || {
                    let asked = (0..3).map(|_| instance.campaign(name, TTL).expect("an answer"));
                    asked.filter(|c| matches!(c, Campaign::Won(_))).count()
                })
            };
            ["a", "b", "c", "d"].map(request).into_iter().map(|t| t.join().expect("it ended")).sum()
        });
        assert_eq!(won, 1, "round {round}");
    }
}

/// Records of other components are bound to the lease, as all other state is.
#[test]
fn record_writes_require_the_lease() {
    let fixture = Fixture::new("records");
    let (a, b) = (fixture.instance("boot"), fixture.instance("boot"));
    let old = won(a.campaign("a", TTL));
    let record =
        |n: u64| RecordWrite { set: [("board".into(), json!({"revision": n}))].into(), gone: Vec::new() };
    assert_eq!(a.load_records().expect("read").len(), 0);
    a.keep_records(old, &record(1)).expect("kept");
    fixture.pass(TTL + TTL);
    let new = won(b.campaign("b", TTL));
    assert_eq!(b.load_records().expect("read")["board"], json!({"revision": 1}));
    assert!(matches!(a.keep_records(old, &record(2)), Err(SharedError::Fenced(_))));
    b.keep_records(new, &record(3)).expect("kept");
    assert_eq!(a.load_records().expect("read")["board"], json!({"revision": 3}));
    b.keep_records(new, &RecordWrite { gone: vec!["board".into()], ..RecordWrite::default() }).expect("kept");
    assert_eq!(b.load_records().expect("read").len(), 0);
}

/// Danger: an instance that is stopped in the middle of a call (SIGSTOP, a suspended machine, a disk that hangs)
/// holds the file for as long as it is stopped, and there would be no leader meanwhile.
#[test]
fn a_stopped_instance_that_holds_the_file_does_not_prevent_failover() {
    let fixture = Fixture::new("stopped");
    let (a, b) = (fixture.instance("boot"), fixture.instance("boot"));
    let old = won(a.campaign("a", TTL));
    a.keep(old, &version(41)).expect("kept");
    let record = |n: u64| RecordWrite { set: [("change".to_owned(), json!(n))].into(), gone: Vec::new() };
    a.keep_records(old, &record(1)).expect("kept");
    // What a stopped process holds: the open file, in the middle of a call.
    let held = StateStore::open(&fixture.path).expect("opened");
    fixture.pass(TTL + Duration::from_secs(1));
    let start = std::time::Instant::now();
    let new = loop {
        match b.campaign("b", TTL) {
            Ok(Campaign::Won(held)) => break held,
            other => assert!(start.elapsed() < Duration::from_secs(20), "{other:?}"),
        }
    };
    assert!(new.epoch > old.epoch);
    assert_eq!(b.load(OverrideLimits::default()).expect("loaded").0.version, Some(41));
    b.keep_records(new, &record(2)).expect("kept");
    // It resumes: its pending write has no effect.
    held.keep_records(&record(3)).expect("written to what nobody reads");
    drop(held);
    assert!(matches!(a.renew(old), Err(SharedError::Fenced(_))));
    assert!(matches!(a.keep_records(old, &record(4)), Err(SharedError::Fenced(_))));
    assert_eq!(a.load_records().expect("loaded")["change"], json!(2));
    b.renew(new).expect("renewed");
}

/// Many continue from the same file at once: one copy becomes valid, one instance leads, and whoever leads after it
/// has a higher epoch.
#[test]
fn one_leads_when_many_instances_succeed_a_file_at_once() {
    let fixture = Fixture::new("many");
    let first = fixture.instance("boot");
    let old = won(first.campaign("first", TTL));
    first.keep(old, &version(41)).expect("kept");
    let held = StateStore::open(&fixture.path).expect("opened");
    fixture.pass(TTL + Duration::from_secs(1));
    let names = ["a", "b", "c", "d", "e", "f"];
    let outcomes: Vec<Campaign> = std::thread::scope(|scope| {
        let instances: Vec<SharedFile> = names.iter().map(|_| fixture.instance("boot")).collect();
        let threads: Vec<_> = names
            .iter()
            .zip(instances)
            .map(|(name, instance)| scope.spawn(move || instance.campaign(name, TTL).expect("an answer")))
            .collect();
        threads.into_iter().map(|t| t.join().expect("done")).collect()
    });
    let winners: Vec<HeldLease> = outcomes
        .iter()
        .filter_map(|c| match c {
            Campaign::Won(held) => Some(*held),
            Campaign::Taken { .. } => None,
        })
        .collect();
    assert_eq!(winners.len(), 1, "{outcomes:?}");
    assert!(winners[0].epoch > old.epoch);
    drop(held);
    let next = fixture.instance("boot");
    assert_eq!(next.load(OverrideLimits::default()).expect("loaded").0.version, Some(41));
}
