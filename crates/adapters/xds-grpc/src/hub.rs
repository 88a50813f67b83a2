//! The state shared by all streams of a server: the store, the notification of its changes, and the subscribers. Lock
//! order: `store`, `entries`, then the stream of an entry.

use rushquay_xds::client::Topic;
use rushquay_xds::server::{Limits, Stream, SubscriptionStatus, Variant};
use rushquay_xds::{Kind, Nanos, Store};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The most streams at once.
    pub streams: usize,
    /// The longest message from a subscriber, in bytes.
    pub message: usize,
    /// The limits of one stream.
    pub stream: Limits,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits { streams: 8192, message: 1 << 20, stream: Limits::default() }
    }
}

/// A snapshot of a subscriber.
#[derive(Clone, Debug)]
pub struct Subscriber {
    /// The id of its node, by its own account.
    pub node: String,
    /// The address that it connects from.
    pub peer: Option<SocketAddr>,
    /// The variant that it uses.
    pub variant: Variant,
    /// Its status, by kind.
    pub standing: Vec<(Kind, SubscriptionStatus)>,
    /// How long it has been missing a change, in nanoseconds; 0: it is up to date.
    pub lag: Nanos,
}

impl Subscriber {
    /// Whether it subscribes to this kind and is up to date. Danger: a stream subscribes to one kind after another,
    /// and lacks nothing of what it has not subscribed to yet.
    pub fn has_all(&self, kind: Kind) -> bool {
        self.lag == 0 && self.standing.iter().any(|(k, _)| *k == kind)
    }
}

/// The registration of a stream, removed when it ends.
pub(crate) struct Registration {
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

/// A longer node id is truncated.
const MAX_NODE_CHARS: usize = 200;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Answers sent.
    pub answers: AtomicU64,
    /// Bytes of resource bodies in them.
    pub bytes: AtomicU64,
    /// Answers acknowledged.
    pub acks: AtomicU64,
    /// Answers rejected.
    pub nacks: AtomicU64,
    /// Streams opened.
    pub opened: AtomicU64,
    /// Streams ended because of an error of the peer.
    pub faults: AtomicU64,
}

/// The state shared by all streams.
pub struct Hub {
    store: RwLock<Store>,
    changed: watch::Sender<u64>,
    entries: Mutex<BTreeMap<u64, Entry>>,
    next_stream: AtomicU64,
    /// The limits.
    pub limits: ServerLimits,
    /// The counters.
    pub counters: Counters,
    start: Instant,
    /// The number of the store that is served, counted from 1; 0: none.
    served: AtomicU64,
    store_count: AtomicU64,
    unix: Box<dyn Fn() -> Nanos + Send + Sync>,
    listener: OnceLock<Listener>,
}

/// The listener for metadata of subscribers.
type Listener = Box<dyn Fn(&str, StreamEvent) + Send + Sync>;

/// An event of a subscriber's stream. Streams are numbered in the order in which they opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Metadata that the subscriber sent about itself.
    Metadata(u64, Topic, String),
    /// Its stream has ended.
    Ended(u64),
}

/// Locks a mutex, also after a panic under it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The machine's Unix time in nanoseconds.
#[expect(clippy::disallowed_methods, reason = "the clock of a hub that is given none")]
fn unix_now() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}

impl Hub {
    /// Creates a hub that serves this store.
    pub fn new(store: Store, limits: ServerLimits) -> Arc<Self> {
        Hub::with_clock(store, limits, Box::new(unix_now))
    }

    /// The same, with the clock for the ends of overrides: Unix time in nanoseconds.
    pub fn with_clock(
        store: Store,
        limits: ServerLimits,
        unix: Box<dyn Fn() -> Nanos + Send + Sync>,
    ) -> Arc<Self> {
        Arc::new(Hub {
            store: RwLock::new(store),
            changed: watch::Sender::new(0),
            entries: Mutex::default(),
            next_stream: AtomicU64::new(0),
            limits,
            counters: Counters::default(),
            start: Instant::now(),
            served: AtomicU64::new(1),
            store_count: AtomicU64::new(1),
            unix,
            listener: OnceLock::new(),
        })
    }

    /// Sets the listener for stream events; only the first call has an effect. It is called on the stream's own task
    /// and must not block.
    pub fn on_stream_event(&self, listener: impl Fn(&str, StreamEvent) + Send + Sync + 'static) {
        let _ = self.listener.set(Box::new(listener));
    }

    fn notify(&self, node: &str, event: StreamEvent) {
        if let Some(listener) = self.listener.get().filter(|_| !node.is_empty()) {
            listener(node, event);
        }
    }

    /// Goes into standby: streams end, and new ones are rejected until [`Hub::serve`].
    pub fn suspend(&self) {
        self.served.store(0, Ordering::SeqCst);
        self.changed.send_modify(|_| {});
    }

    /// Serves another store. Streams of the previous store end.
    pub fn serve(&self, store: Store) {
        // No stream may take the new store for the old one.
        self.suspend();
        *self.store.write().unwrap_or_else(PoisonError::into_inner) = store;
        self.served.store(self.store_count.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
    }

    /// The number of the store that is served; `None`: the hub is in standby.
    pub fn served(&self) -> Option<u64> {
        Some(self.served.load(Ordering::SeqCst)).filter(|n| *n > 0)
    }

    /// Unix time in nanoseconds, by the clock for the ends of overrides.
    pub fn unix(&self) -> Nanos {
        (self.unix)()
    }

    /// The time since the start in nanoseconds, which is the clock of the store.
    pub fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    /// Changes the store and notifies the streams.
    pub fn change<T>(&self, change: impl FnOnce(&mut Store, Nanos) -> T) -> T {
        let now = self.now();
        let mut store = self.store.write().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut store, now);
        let seq = store.seq();
        drop(store);
        self.changed.send_modify(|last| *last = seq);
        result
    }

    /// The present store.
    pub fn store(&self) -> RwLockReadGuard<'_, Store> {
        self.store.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn subscribe_changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// All subscribers.
    pub fn subscribers(&self) -> Vec<Subscriber> {
        let now = self.now();
        let store = self.store();
        let entries = lock(&self.entries);
        let view = |e: &Entry| {
            let stream = lock(&e.stream);
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

    /// The number of open streams.
    pub fn open_streams(&self) -> usize {
        lock(&self.entries).len()
    }

    /// Registers a stream; `None` when there are too many.
    pub(crate) fn register(
        self: &Arc<Self>,
        variant: Variant,
        only: Option<Kind>,
        peer: Option<SocketAddr>,
    ) -> Option<Registration> {
        let number = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let stream = Arc::new(Mutex::new(Stream::new(variant, only, self.limits.stream)));
        let mut entries = lock(&self.entries);
        if entries.len() >= self.limits.streams {
            return None;
        }
        entries.insert(number, Entry { node: String::new(), peer, variant, stream: stream.clone() });
        self.counters.opened.fetch_add(1, Ordering::Relaxed);
        Some(Registration { hub: self.clone(), number, stream })
    }
}

impl Registration {
    /// Sets the id of the subscriber's node.
    pub fn set_node(&self, node: &str) {
        let mut entries = lock(&self.hub.entries);
        if let Some(entry) = entries.get_mut(&self.number) {
            entry.node = node.chars().filter(|c| !c.is_control()).take(MAX_NODE_CHARS).collect();
        }
    }

    /// Passes metadata of the subscriber to the listener.
    pub fn on_metadata(&self, topic: Topic, text: String) {
        self.hub.notify(&self.node(), StreamEvent::Metadata(self.number, topic, text));
    }

    /// The id of the subscriber's node.
    pub fn node(&self) -> String {
        let entries = lock(&self.hub.entries);
        entries.get(&self.number).map(|e| e.node.clone()).unwrap_or_default()
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let entry = lock(&self.hub.entries).remove(&self.number);
        if let Some(entry) = entry {
            self.hub.notify(&entry.node, StreamEvent::Ended(self.number));
        }
    }
}
