//! What all streams of a server share: the store, the news that it changed, and who subscribes.

use rushquay_xds::client::Topic;
use rushquay_xds::server::{Limits, Stream, SubscriptionStatus, Variant};
use rushquay_xds::{Kind, Nanos, Store};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Most streams at once.
    pub streams: usize,
    /// A message from a subscriber is at most this long, in bytes.
    pub message: usize,
    /// Bounds of one stream.
    pub stream: Limits,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits { streams: 8192, message: 1 << 20, stream: Limits::default() }
    }
}

/// A subscriber as others see it.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The id of its node, as it says.
    pub node: String,
    /// Where it connects from.
    pub peer: Option<SocketAddr>,
    /// The variant that it speaks.
    pub variant: Variant,
    /// What it has taken, by kind.
    pub standing: Vec<(Kind, SubscriptionStatus)>,
    /// For how long it has lacked something, in nanoseconds; 0: it has all.
    pub lag: Nanos,
}

impl Subscriber {
    /// Whether it subscribes to this kind and lacks nothing. Danger: a stream subscribes to one kind after another, and lacks
    /// nothing of what it has not asked for yet.
    pub fn has_all(&self, kind: Kind) -> bool {
        self.lag == 0 && self.standing.iter().any(|(k, _)| *k == kind)
    }
}

/// A stream's place among the subscribers, given back when it ends.
pub(crate) struct Place {
    hub: Arc<Hub>,
    number: u64,
    pub stream: Arc<Mutex<Stream>>,
}

struct Entry {
    node: String,
    peer: Option<SocketAddr>,
    variant: Variant,
    stream: Arc<Mutex<Stream>>,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Answers sent.
    pub answers: AtomicU64,
    /// Bytes of resource bodies in them.
    pub bytes: AtomicU64,
    /// Answers acknowledged.
    pub acks: AtomicU64,
    /// Answers refused.
    pub nacks: AtomicU64,
    /// Streams opened.
    pub opened: AtomicU64,
    /// Streams ended for a peer's fault.
    pub faults: AtomicU64,
}

/// What all streams share.
pub struct Hub {
    store: RwLock<Store>,
    changed: watch::Sender<u64>,
    entries: Mutex<BTreeMap<u64, Entry>>,
    next: AtomicU64,
    /// Bounds.
    pub limits: ServerLimits,
    /// Counters.
    pub counters: Counters,
    start: Instant,
    /// The number of the store that is served, counted from 1; 0: none is.
    served: AtomicU64,
    stores: AtomicU64,
    unix: Box<dyn Fn() -> Nanos + Send + Sync>,
    ear: OnceLock<Ear>,
}

/// Who hears what subscribers tell of themselves.
type Ear = Box<dyn Fn(&str, StreamEvent) + Send + Sync>;

/// What a stream says of its subscriber. Streams are numbered in the order in which they opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// What it tells of itself.
    Metadata(u64, Topic, String),
    /// Its stream has ended.
    Ended(u64),
}

/// The machine's Unix time in nanoseconds.
fn wall() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}

impl Hub {
    /// Hands out what stands in the store.
    pub fn new(store: Store, limits: ServerLimits) -> Arc<Self> {
        Hub::with_clock(store, limits, Box::new(wall))
    }

    /// The same, with the clock that overrides end by: Unix time in nanoseconds.
    pub fn with_clock(
        store: Store,
        limits: ServerLimits,
        unix: Box<dyn Fn() -> Nanos + Send + Sync>,
    ) -> Arc<Self> {
        Arc::new(Hub {
            store: RwLock::new(store),
            changed: watch::Sender::new(0),
            entries: Mutex::default(),
            next: AtomicU64::new(0),
            limits,
            counters: Counters::default(),
            start: Instant::now(),
            served: AtomicU64::new(1),
            stores: AtomicU64::new(1),
            unix,
            ear: OnceLock::new(),
        })
    }

    /// Has this called for what subscribers tell of themselves, from now on; the first who asks hears. It is called on the
    /// stream's own task and must not wait.
    pub fn on_stream_event(&self, ear: impl Fn(&str, StreamEvent) + Send + Sync + 'static) {
        let _ = self.ear.set(Box::new(ear));
    }

    fn say(&self, node: &str, word: StreamEvent) {
        if let Some(ear) = self.ear.get().filter(|_| !node.is_empty()) {
            ear(node, word);
        }
    }

    /// Stands by: streams end, and new ones are refused until [`Hub::serve`].
    pub fn suspend(&self) {
        self.served.store(0, Ordering::SeqCst);
        self.changed.send_modify(|_| {});
    }

    /// Hands out what stands in another store. Streams that were told from the one before end.
    pub fn serve(&self, store: Store) {
        // No stream may read the new store for the old one.
        self.suspend();
        *self.store.write().unwrap_or_else(PoisonError::into_inner) = store;
        self.served.store(self.stores.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
    }

    /// The number of the store that is served; `None`: it stands by.
    pub fn served(&self) -> Option<u64> {
        Some(self.served.load(Ordering::SeqCst)).filter(|n| *n > 0)
    }

    /// Unix time in nanoseconds, by the clock that overrides end by.
    pub fn unix(&self) -> Nanos {
        (self.unix)()
    }

    /// Time since the start, in nanoseconds; the store's times are on this clock.
    pub fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    /// Changes the store and tells the streams.
    pub fn change<T>(&self, change: impl FnOnce(&mut Store, Nanos) -> T) -> T {
        let now = self.now();
        let mut store = self.store.write().unwrap_or_else(PoisonError::into_inner);
        let done = change(&mut store, now);
        let seq = store.seq();
        drop(store);
        self.changed.send_modify(|seen| *seen = seq);
        done
    }

    /// The store as it is.
    pub fn store(&self) -> RwLockReadGuard<'_, Store> {
        self.store.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// All subscribers.
    pub fn subscribers(&self) -> Vec<Subscriber> {
        let now = self.now();
        let store = self.store();
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let view = |e: &Entry| {
            let stream = e.stream.lock().unwrap_or_else(PoisonError::into_inner);
            let standing =
                Kind::ORDER.map(|k| (k, stream.standing(k))).into_iter().filter(|(_, s)| s.subscribed);
            Subscriber {
                node: e.node.clone(),
                peer: e.peer,
                variant: e.variant,
                standing: standing.collect(),
                lag: stream.lag(&store, now),
            }
        };
        entries.values().map(view).collect()
    }

    /// How many streams are open.
    pub fn open_streams(&self) -> usize {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Takes a stream in; `None` when there are too many.
    pub(crate) fn enter(
        self: &Arc<Self>,
        variant: Variant,
        only: Option<Kind>,
        peer: Option<SocketAddr>,
    ) -> Option<Place> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let stream = Arc::new(Mutex::new(Stream::new(variant, only, self.limits.stream)));
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() >= self.limits.streams {
            return None;
        }
        entries.insert(number, Entry { node: String::new(), peer, variant, stream: stream.clone() });
        self.counters.opened.fetch_add(1, Ordering::Relaxed);
        Some(Place { hub: self.clone(), number, stream })
    }
}

impl Place {
    /// The subscriber has said who it is.
    pub fn name(&self, node: &str) {
        let mut entries = self.hub.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = entries.get_mut(&self.number) {
            entry.node = node.chars().filter(|c| !c.is_control()).take(200).collect();
        }
    }

    /// The subscriber tells of itself.
    pub fn told(&self, topic: Topic, told: String) {
        self.hub.say(&self.node(), StreamEvent::Metadata(self.number, topic, told));
    }

    /// Who it is.
    pub fn node(&self) -> String {
        let entries = self.hub.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(&self.number).map(|e| e.node.clone()).unwrap_or_default()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let entry = self.hub.entries.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.number);
        if let Some(entry) = entry {
            self.hub.say(&entry.node, StreamEvent::Ended(self.number));
        }
    }
}
