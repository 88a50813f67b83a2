//! What all connections of a relay share: the clock, the rules, the trace, and who is connected.

use crate::byte_counters::Ledger;
use crate::{Options, RelayError, Tap};
use rushquay_fault_injection::{Connection, Cut, Direction, Flow, Nanos, Performed, Plan, RuleSet, Trace};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::{mpsc, watch};

/// Deeds kept in memory; a file holds them all.
const TRACE_MOST: usize = 1_000_000;

/// What a connection is told from outside.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// The rules have changed.
    Rules,
    /// End it.
    Cut(Cut),
    /// Let nothing pass, or let it pass again.
    Pause(bool),
    /// Another turn has come, in a replay in order.
    Turn(u64),
}

/// A connection that is open.
#[derive(Clone, Debug, Serialize)]
pub struct Live {
    /// Its listener.
    pub listener: String,
    /// Its ordinal there, from 1.
    pub connection: u64,
    /// Who connected.
    pub peer: SocketAddr,
    /// Open for so many milliseconds.
    pub open_ms: u64,
    /// Bytes that came from who connected, and those that have gone on.
    pub up: (u64, u64),
    /// Bytes that came from the target, and those that have gone on.
    pub down: (u64, u64),
}

/// An open connection, as commands see it.
pub struct Entry {
    peer: SocketAddr,
    since: Instant,
    commands: mpsc::UnboundedSender<Command>,
    counts: Arc<[AtomicU64; 4]>,
}

struct Record {
    trace: Trace,
    file: Option<std::io::LineWriter<std::fs::File>>,
}

pub struct Shared {
    start: Instant,
    rules: Mutex<RuleSet>,
    plan: Option<(Plan, bool)>,
    record: Mutex<Record>,
    ledger: Mutex<Ledger>,
    connections: Mutex<BTreeMap<(String, u64), Entry>>,
    passed: Mutex<HashMap<String, [u64; 2]>>,
    pub tap: Option<Arc<dyn Tap>>,
    /// Closed when the relay ends.
    over: watch::Sender<bool>,
}

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub fn new(
        seed: u64,
        rules: RuleSet,
        plan: Option<(Plan, bool)>,
        options: &Options,
    ) -> Result<Arc<Self>, RelayError> {
        let file = match &options.trace {
            None => None,
            Some(path) => {
                let failed = |e| RelayError::Trace(path.clone(), e);
                let mut file = std::io::LineWriter::new(std::fs::File::create(path).map_err(failed)?);
                file.write_all(Trace::header(seed).as_bytes()).map_err(failed)?;
                Some(file)
            }
        };
        Ok(Arc::new(Shared {
            start: Instant::now(),
            rules: Mutex::new(rules),
            plan,
            record: Mutex::new(Record { trace: Trace { seed, performed: Vec::new() }, file }),
            ledger: Mutex::default(),
            connections: Mutex::default(),
            passed: Mutex::default(),
            tap: options.tap.clone(),
            over: watch::Sender::new(false),
        }))
    }

    /// Time of the run.
    pub fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    /// The moment of a time of the run.
    pub fn moment(&self, at: Nanos) -> Instant {
        self.start + std::time::Duration::from_nanos(at)
    }

    /// A connection has come. Its rules are those of this moment.
    pub fn begin(&self, listener: &str, ordinal: u64, peer: SocketAddr) -> (Connection, Joined<'_>) {
        let (commands, told) = mpsc::unbounded_channel();
        let counts: Arc<[AtomicU64; 4]> = Arc::default();
        let key = (listener.to_owned(), ordinal);
        let entry = Entry { peer, since: Instant::now(), commands, counts: counts.clone() };
        // In the register first, so that no change of the rules is missed between.
        lock(&self.connections).insert(key.clone(), entry);
        let mut machine = match &self.plan {
            Some((plan, ordered)) => Connection::replay(listener, ordinal, plan, *ordered, self.now()),
            None => Connection::new(listener, ordinal, &lock(&self.rules), self.now()),
        };
        machine.turn(lock(&self.ledger).next());
        (machine, Joined { shared: self, key, told, counts })
    }

    pub fn flow(&self, listener: &str, ordinal: u64) -> Flow {
        match &self.plan {
            Some((plan, _)) => Flow::replay(listener, ordinal, plan),
            None => Flow::new(listener, ordinal, &lock(&self.rules)),
        }
    }

    pub fn rules(&self) -> RuleSet {
        lock(&self.rules).clone()
    }

    pub fn change_rules(&self, change: impl FnOnce(&mut RuleSet)) {
        change(&mut lock(&self.rules));
        self.command(None, None, Command::Rules);
    }

    /// Tells the connections meant; how many there were.
    pub fn command(&self, listener: Option<&str>, ordinal: Option<u64>, command: Command) -> usize {
        let connections = lock(&self.connections);
        let meant = connections.iter().filter(|((l, o), _)| {
            listener.is_none_or(|listener| listener == l) && ordinal.is_none_or(|ordinal| ordinal == *o)
        });
        meant.filter(|(_, entry)| entry.commands.send(command).is_ok()).count()
    }

    /// Keeps what was done.
    pub fn note(&self, performed: Vec<Performed>) {
        if performed.is_empty() {
            return;
        }
        let record = &mut *lock(&self.record);
        for p in performed {
            if let Some(file) = &mut record.file {
                if let Err(e) = file.write_all(Trace::line(&p).as_bytes()) {
                    eprintln!("rushquay-fault: the trace ends here: {e}");
                    record.file = None;
                }
            }
            if record.trace.performed.len() < TRACE_MOST {
                record.trace.performed.push(p);
            }
        }
    }

    pub fn trace(&self) -> Trace {
        lock(&self.record).trace.clone()
    }

    /// Turns were taken, or never will be.
    pub fn took(&self, turns: impl IntoIterator<Item = u64>) {
        let next = {
            let mut ledger = lock(&self.ledger);
            let before = ledger.next();
            turns.into_iter().for_each(|turn| ledger.took(turn));
            (ledger.next() != before).then(|| ledger.next())
        };
        if let Some(next) = next {
            self.command(None, None, Command::Turn(next));
        }
    }

    pub fn count(&self, listener: &str, lane: Direction, bytes: u64) {
        let mut passed = lock(&self.passed);
        if let Some(counts) = passed.get_mut(listener) {
            counts[lane as usize] += bytes;
        } else {
            let mut counts = [0; 2];
            counts[lane as usize] = bytes;
            passed.insert(listener.to_owned(), counts);
        }
    }

    pub fn passed(&self, listener: &str, lane: Direction) -> u64 {
        let open: u64 = lock(&self.connections)
            .iter()
            .filter(|((l, _), _)| l == listener)
            .map(|(_, e)| e.counts[2 * lane as usize + 1].load(Relaxed))
            .sum();
        open + lock(&self.passed).get(listener).map_or(0, |counts| counts[lane as usize])
    }

    pub fn connections(&self) -> Vec<Live> {
        let live = |((listener, connection), e): (&(String, u64), &Entry)| {
            let count = |i: usize| e.counts[i].load(Relaxed);
            Live {
                listener: listener.clone(),
                connection: *connection,
                peer: e.peer,
                open_ms: e.since.elapsed().as_millis() as u64,
                up: (count(0), count(1)),
                down: (count(2), count(3)),
            }
        };
        lock(&self.connections).iter().map(live).collect()
    }

    /// Ends all connections.
    pub fn end(&self) {
        self.over.send_replace(true);
    }

    /// Returns once the relay has ended.
    pub async fn over(&self) {
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }
}

/// A connection's place among those that are open; given back when dropped.
pub struct Joined<'a> {
    shared: &'a Shared,
    key: (String, u64),
    /// Commands.
    pub told: mpsc::UnboundedReceiver<Command>,
    counts: Arc<[AtomicU64; 4]>,
}

impl Joined<'_> {
    /// Takes down how far the connection is.
    pub fn count(&self, machine: &Connection) {
        for lane in Direction::BOTH {
            let (came, went) = machine.counts(lane);
            self.counts[2 * lane as usize].store(came, Relaxed);
            self.counts[2 * lane as usize + 1].store(went, Relaxed);
        }
    }
}

impl Drop for Joined<'_> {
    fn drop(&mut self) {
        lock(&self.shared.connections).remove(&self.key);
        for lane in Direction::BOTH {
            let went = self.counts[2 * lane as usize + 1].load(Relaxed);
            self.shared.count(&self.key.0, lane, went);
        }
    }
}
