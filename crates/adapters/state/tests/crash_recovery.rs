//! Crashes at every write: a storage that loses what was not synced, in part, torn and out of order.

use redb::StorageBackend;
use rushquay_endpoints::{Endpoint, EndpointState, SourcedEndpoint, StatedStart};
use rushquay_overrides::{Effect, OverrideLimits, OverrideRequest, OverrideSet, Scope};
use rushquay_state::{
    dump, restore, EndpointWrite, OverrideWrite, RecordWrite, StateError, StateStore, StoredState,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A simulated disk: what is synced, and the writes since.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    synced: Vec<u8>,
    seen: Vec<u8>,
    pending: Vec<(u64, Vec<u8>)>,
    /// Operations left before the machine crashes; `None`: it does not.
    left: Option<u64>,
    /// Whether writes fail with a full disk.
    full: bool,
    operations: u64,
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        self.operations += 1;
        match &mut self.left {
            Some(0) => Err(io::Error::other("the machine is dead")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().expect("a lock").seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.0.lock().expect("a lock");
        let at = offset as usize;
        let from = inner.seen.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(from);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let inner = &mut *self.0.lock().expect("a lock");
        inner.step()?;
        if inner.full && len > inner.seen.len() as u64 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        inner.seen.resize(len as usize, 0);
        // A file's length is journaled by the file system.
        inner.synced.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let inner = &mut *self.0.lock().expect("a lock");
        inner.step()?;
        inner.synced.clone_from(&inner.seen);
        inner.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let inner = &mut *self.0.lock().expect("a lock");
        inner.step()?;
        if inner.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let at = offset as usize;
        inner.seen[at..at + data.len()].copy_from_slice(data);
        inner.pending.push((offset, data.to_vec()));
        Ok(())
    }

    fn close(&self) -> io::Result<()> {
        Ok(())
    }
}

impl Disk {
    /// The disk after a crash: of the writes since the last sync some, in any order, and one of them torn.
    fn after_crash(&self, seed: u64) -> Disk {
        let inner = self.0.lock().expect("a lock");
        let mut data = inner.synced.clone();
        let mut random = seed;
        let mut draw = |n: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) % n.max(1)
        };
        let mut writes: Vec<&(u64, Vec<u8>)> = inner.pending.iter().collect();
        for i in (1..writes.len()).rev() {
            writes.swap(i, draw(i as u64 + 1) as usize);
        }
        for (offset, bytes) in writes {
            let part = match draw(4) {
                0 => 0,
                // Torn, between sectors or within one.
                1 => draw(bytes.len() as u64) as usize,
                _ => bytes.len(),
            };
            let at = *offset as usize;
            if let Some(to) = data.get_mut(at..at + part) {
                to.copy_from_slice(&bytes[..part]);
            }
        }
        Disk(Arc::new(Mutex::new(Inner { seen: data.clone(), synced: data, ..Inner::default() })))
    }
}

fn node(id: usize, listed: u64) -> SourcedEndpoint {
    let member = Endpoint {
        id: format!("cache-{id:02}"),
        addr: "127.0.0.1:9001".parse().ok(),
        zone: "vadodara".into(),
        kind: "std-1c".into(),
        cell: 1,
        state: if listed.is_multiple_of(3) { EndpointState::Draining } else { EndpointState::Ready },
        weight: 1.5,
        started: StatedStart::from_unix_nanos(1_700_000_000_123_456_789),
    };
    SourcedEndpoint { member, list_version: listed, is_from_discovery: true, imposed: Default::default() }
}

/// The changes of a run: endpoints are added, change, drain and are removed.
fn change(number: u64) -> EndpointWrite {
    let n = number as usize;
    let set = (0..1 + n % 4).map(|i| node((n * 7 + i * 3) % 20, number)).collect();
    let gone = if n % 5 == 4 { vec![format!("cache-{:02}", n % 20)] } else { Vec::new() };
    EndpointWrite { whole: n % 11 == 10, version: Some(number), set, gone }
}

/// The expected state after this many changes.
fn model(changes: u64) -> StoredState {
    let mut nodes: BTreeMap<String, SourcedEndpoint> = BTreeMap::new();
    for number in 1..=changes {
        let change = change(number);
        if change.whole {
            nodes.clear();
        }
        nodes.extend(change.set.into_iter().map(|s| (s.member.id.clone(), s)));
        change.gone.iter().for_each(|id| drop(nodes.remove(id)));
    }
    StoredState { version: (changes > 0).then_some(changes), nodes: nodes.into_values().collect() }
}

const CHANGES: u64 = 30;

/// A disk with an empty store: a file is put in place as such a store, or not at all.
fn new_disk_with_store() -> Disk {
    let disk = Disk::default();
    drop(StateStore::open_backend(disk.clone()).expect("a store"));
    disk.0.lock().expect("a lock").operations = 0;
    disk
}

/// Runs until the machine crashes; returns how many changes were acknowledged.
fn run(disk: &Disk) -> u64 {
    let Ok(store) = StateStore::open_backend(disk.clone()) else { return 0 };
    let mut kept = 0;
    for number in 1..=CHANGES {
        if store.keep(&change(number)).is_err() {
            break;
        }
        kept = number;
    }
    kept
}

/// Acknowledged changes are there; the one that was not acknowledged is whole or absent.
#[test]
fn endpoint_writes_survive_a_crash_at_every_operation() {
    let counting = new_disk_with_store();
    assert_eq!(run(&counting), CHANGES);
    let operations = counting.0.lock().expect("a lock").operations;
    // RUSHQUAY_CRASHES simulates more ways to crash at each write.
    let seeds = std::env::var("RUSHQUAY_CRASHES").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    let mut points = 0;
    for left in 0..operations {
        for seed in 0..seeds {
            let disk = new_disk_with_store();
            disk.0.lock().expect("a lock").left = Some(left);
            let kept = run(&disk);
            let found = disk.after_crash(seed * 1000 + left);
            points += 1;
            let state = StateStore::open_backend(found)
                .and_then(|s| s.read())
                .unwrap_or_else(|e| panic!("killed at {left}, seed {seed}: {e}"));
            let whole = [kept, kept + 1].iter().any(|n| state == model(*n));
            assert!(
                whole,
                "killed at {left}, seed {seed}: {kept} acknowledged, found version {:?}",
                state.version
            );
        }
    }
    println!("{points} kill points");
    assert!(points > 1000, "{points} kill points");
}

#[test]
fn a_full_disk_keeps_the_last_state_and_is_usable_afterwards() {
    let disk = Disk::default();
    let store = StateStore::open_backend(disk.clone()).expect("a store");
    for number in 1..=5 {
        store.keep(&change(number)).expect("kept");
    }
    disk.0.lock().expect("a lock").full = true;
    let e = store.keep(&change(6)).expect_err("no room");
    assert!(matches!(e, StateError::Full(_)), "{e}");
    drop(store);
    disk.0.lock().expect("a lock").full = false;
    let store = StateStore::open_backend(disk.after_crash(1)).expect("a store");
    assert_eq!(store.read().expect("read"), model(5));
    store.keep(&change(6)).expect("kept");
    assert_eq!(store.read().expect("read"), model(6));
}

#[test]
fn errors_name_the_unusable_file() {
    let folder = std::env::temp_dir().join(format!("rushquay-state-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("state.redb");
    let first = StateStore::open(&path).expect("a store");
    first.keep(&change(1)).expect("kept");
    let second = StateStore::open(&path).map(drop).expect_err("held");
    assert!(matches!(&second, StateError::Locked(p) if *p == path), "{second}");
    drop(first);
    assert_eq!(StateStore::open(&path).expect("a store").read().expect("read"), model(1));
    // Killed while the store was created: the file left beside the path does no harm.
    let other = folder.join("other.redb");
    std::fs::write(folder.join("other.redb.new"), vec![0; 4096]).expect("written");
    assert_eq!(StateStore::open(&other).expect("a store").read().expect("read"), StoredState::default());
    std::fs::write(&path, vec![7; 8192]).expect("written");
    let spoilt = StateStore::open(&path).map(drop).expect_err("no store");
    assert!(matches!(spoilt, StateError::Corrupt(..)), "{spoilt}");
    let nowhere =
        StateStore::open(&folder.join("no/such/folder/state.redb")).map(drop).expect_err("no folder");
    assert!(nowhere.to_string().contains("no/such/folder"), "{nowhere}");
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[test]
fn a_dump_restores_the_same_state_and_a_truncated_one_is_rejected() {
    let store = StateStore::open_backend(Disk::default()).expect("a store");
    (1..=9).for_each(|n| store.keep(&change(n)).expect("kept"));
    let state = store.read().expect("read");
    let mut overrides = OverrideSet::new(OverrideLimits::default());
    let (author, reason) = ("asha".to_owned(), "boiler".to_owned());
    let request = OverrideRequest {
        scope: Scope::All,
        effect: Effect::Weight(0.5),
        until: 1_000_000_000_000,
        author,
        reason,
        force: true,
    };
    for _ in 0..3 {
        let set = overrides.set(request.clone(), &[], 0, None).expect("set");
        overrides.lift(set.id, "ravi", 1, None).expect("lifted");
    }
    overrides.set(request, &[], 0, None).expect("set");
    let records = BTreeMap::from([("policy/holds".to_owned(), json!({"revision": 7}))]);
    let text = dump(&state, &overrides, &records);
    let other = StateStore::open_backend(Disk::default()).expect("a store");
    other.keep(&change(3)).expect("kept");
    let stale = BTreeMap::from([("rollout/board".to_owned(), json!(1))]);
    other.keep_records(&RecordWrite { set: stale, gone: Vec::new() }).expect("kept");
    other.replace(&restore(&text).expect("a dump")).expect("kept");
    assert_eq!(other.read_records().expect("read"), records);
    assert_eq!(other.read().expect("read"), state);
    let read = other.read_book(OverrideLimits::default()).expect("read");
    assert!(read.live().eq(overrides.live()) && read.history().eq(overrides.history()));
    assert_eq!((read.next_id(), read.revision()), (overrides.next_id(), overrides.revision()));
    assert_eq!(dump(&state, &read, &records), text);
    let lines: Vec<&str> = text.lines().collect();
    let cut = lines[..lines.len() - 1].join("\n");
    assert!(restore(&cut).expect_err("cut").to_string().contains("cut off"));
    assert!(restore("{}").expect_err("no dump").to_string().starts_with("line 1"));
    // A dump from before there were overrides.
    let node = text.lines().nth(1).expect("a node");
    let old = format!("{{\"rushquay_state\":2,\"version\":7,\"nodes\":1}}\n{node}\n");
    let older = restore(&old).expect("an older dump");
    assert_eq!((older.nodes.version, older.nodes.set.len(), older.book.live.len()), (Some(7), 1, 0));
    assert!(older.records.is_empty());
    let newer = old.replace(":2,", ":9,");
    assert!(restore(&newer).expect_err("newer").to_string().contains("form 9"));
}

/// Overrides at each write: what was acknowledged is there, with its history and its counters.
#[test]
fn override_writes_survive_a_crash_at_every_operation() {
    let policy = OverrideLimits { history: 5, ..OverrideLimits::default() };
    // Sets and lifts alternate; the overrides after each, and the write that persists them.
    let mut overrides = OverrideSet::new(policy);
    let (mut books, mut changes) = (vec![OverrideSet::new(policy)], Vec::new());
    let mut kept = 0;
    for step in 0..10u64 {
        if step.is_multiple_of(3) && step > 0 {
            let first = overrides.live().next().map_or(0, |o| o.id);
            overrides.lift(first, "ravi", step, None).expect("lifted");
        } else {
            let (author, reason) = ("asha".to_owned(), "boiler room".to_owned());
            let (scope, effect) = (Scope::Zone("surat".into()), Effect::Weight(0.5));
            let request =
                OverrideRequest { scope, effect, until: 1_000_000_000_000, author, reason, force: true };
            overrides.set(request, &[], step, None).expect("set");
        }
        let mut events: Vec<_> = overrides.history().take_while(|e| e.number > kept).cloned().collect();
        events.reverse();
        kept = events.last().map_or(kept, |e| e.number);
        let live: Vec<_> = overrides.live().cloned().collect();
        let (next, revision) = (overrides.next_id(), overrides.revision());
        let change = OverrideWrite { live: live.clone(), events, next, revision, history: policy.history };
        changes.push(change);
        let mut history: Vec<_> = overrides.history().cloned().collect();
        history.reverse();
        books.push(OverrideSet::restore(policy, live, history, next, revision));
    }
    let run = |disk: &Disk| {
        let Ok(store) = StateStore::open_backend(disk.clone()) else { return 0 };
        changes.iter().take_while(|change| store.keep_book(change).is_ok()).count()
    };
    let counting = new_disk_with_store();
    assert_eq!(run(&counting), changes.len());
    let operations = counting.0.lock().expect("a lock").operations;
    for left in 0..operations {
        let disk = new_disk_with_store();
        disk.0.lock().expect("a lock").left = Some(left);
        let acknowledged = run(&disk);
        let found = StateStore::open_backend(disk.after_crash(left)).and_then(|s| s.read_book(policy));
        let found = format!("{:?}", found.unwrap_or_else(|e| panic!("killed at {left}: {e}")));
        let mut whole = books.iter().skip(acknowledged).take(2);
        assert!(whole.any(|b| format!("{b:?}") == found), "killed at {left}: {acknowledged} kept, {found}");
    }
    assert!(operations > 50, "{operations} kill points");
}

/// Records of other components at each write, as a policy change persists them: the record of the policy in force and
/// the policy that it names are there together or not at all, and what was acknowledged is there.
#[test]
fn record_writes_survive_a_crash_at_every_operation() {
    let (mut states, mut changes) = (vec![BTreeMap::new()], Vec::new());
    for step in 0..10u64 {
        let mut set = BTreeMap::from([("policy/holds".to_owned(), json!({"revision": step}))]);
        set.insert(format!("policy/number/{step}"), json!({"settings": {}, "floor": "nobody"}));
        let gone: Vec<String> =
            step.checked_sub(3).map(|n| format!("policy/number/{n}")).into_iter().collect();
        let mut state = states[states.len() - 1].clone();
        state.extend(set.clone());
        gone.iter().for_each(|name| drop(state.remove(name)));
        states.push(state);
        changes.push(RecordWrite { set, gone });
    }
    let run = |disk: &Disk| {
        let Ok(store) = StateStore::open_backend(disk.clone()) else { return 0 };
        changes.iter().take_while(|change| store.keep_records(change).is_ok()).count()
    };
    let counting = new_disk_with_store();
    assert_eq!(run(&counting), changes.len());
    let operations = counting.0.lock().expect("a lock").operations;
    for left in 0..operations {
        let disk = new_disk_with_store();
        disk.0.lock().expect("a lock").left = Some(left);
        let acknowledged = run(&disk);
        let found = StateStore::open_backend(disk.after_crash(left)).and_then(|s| s.read_records());
        let found = found.unwrap_or_else(|e| panic!("killed at {left}: {e}"));
        let mut whole = states.iter().skip(acknowledged).take(2);
        assert!(whole.any(|s| *s == found), "killed at {left}: {acknowledged} kept, {found:?}");
    }
    assert!(operations > 50, "{operations} kill points");
}
