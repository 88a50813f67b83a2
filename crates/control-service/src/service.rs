//! Starts the service and holds its parts together: the list comes in, the state decides, the hub hands out.

use crate::keeper::Keeper;
use crate::settings::{Settings, SourceOption};
use crate::{admin, discovery, file, log};
use rushquay_control::{Change, Control, NodeView, Origin, Taken};
use rushquay_nodes::Members;
use rushquay_overrides::{Ask, Book, Override, Refusal};
use rushquay_resources::{declare, declare_changed, Shape};
use rushquay_state::BookChange;
use rushquay_xds::Store;
use rushquay_xds_grpc::{require_tls_beyond_loopback, serve, Hub, Tls, TlsError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

const TICK: Duration = Duration::from_secs(1);
/// For so long after a start what was kept waits for the source's first word. Danger: handed out at once it might name
/// nodes that went while the service was down; never handed out it would be of no use while the source is down too.
const KEPT_WAITS: Duration = Duration::from_secs(5);

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where subscribers connect.
    pub listen: SocketAddr,
    /// Where the node list comes from.
    pub source: SourceOption,
    /// Where the admin page is.
    pub admin: Option<SocketAddr>,
    /// All else.
    pub settings: Settings,
    /// Where to keep what is known; `None`: in memory alone.
    pub state: Option<PathBuf>,
}

/// Why the service can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// TLS, or the lack of it.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// An address that can't be listened on.
    #[error("--{option} {addr}: {source}; give an address of this machine with a free port, or port 0")]
    Listen {
        /// Which option.
        option: &'static str,
        /// Which address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A node list that can't be used at the start.
    #[error("--nodes: {0}")]
    Nodes(String),
}

/// News of the list.
#[derive(Debug)]
pub enum Told {
    /// The whole, or what changed.
    List(Members),
    /// The source can't be reached or read.
    Lost(String),
}

/// How the source stands, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct SourceState {
    /// Why it can't be reached; `None`: it can.
    pub fault: Option<String>,
    /// Lists taken.
    pub lists: u64,
    /// Lists that weren't obeyed.
    pub refused: u64,
}

/// What the admin page shows beside the hub.
pub struct Shared {
    /// The subscribers' side.
    pub hub: Arc<Hub>,
    /// What is decided.
    pub control: Mutex<Control>,
    /// The source.
    pub source: Mutex<SourceState>,
    /// What it is.
    pub source_name: String,
    /// The file that outlives a restart.
    pub keeper: Option<Keeper>,
    /// Operators' overrides. Locked behind `control`, where both are.
    pub book: Mutex<Book>,
    /// The number of the last event of the book that was kept.
    kept_events: Mutex<u64>,
    /// When it started.
    started: std::time::Instant,
}

impl Shared {
    pub(crate) fn nodes(&self) -> Vec<NodeView> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner).nodes()
    }

    fn take(&self, told: Told) {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        let list = match told {
            Told::Lost(fault) => {
                if source.fault.as_ref() != Some(&fault) {
                    log(format!("{fault}; the list stays as it is"));
                }
                source.fault = Some(fault);
                return;
            }
            Told::List(list) => list,
        };
        source.fault = None;
        source.lists += 1;
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.hub.now();
        match control.list(&list, now) {
            Taken::EmptyRefused => {
                source.refused += 1;
                log(format!("a list without any node (version {}) is not obeyed", list.version));
            }
            Taken::First => self.open(&control),
            // The first word after a restart that kept what it knew.
            Taken::Changed(_) if control.version().is_some() && !self.hub.store().is_open() => {
                self.open(&control);
            }
            Taken::Changed(change) => self.declare(&control, &change),
        }
        self.keep(&control);
    }

    /// Declares all, and hands out from now on.
    fn open(&self, control: &Control) {
        let shape = shape(control);
        let clusters = control.clusters();
        self.hub.change(|store, now| {
            declare(store, &shape, clusters, now);
            store.open();
        });
    }

    /// Unix time, in nanoseconds.
    pub(crate) fn wall(&self) -> rushquay_nodes::Nanos {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
    }

    pub(crate) fn book(&self) -> std::sync::MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets an override and hands it out; with why it is not kept on disk, where it is not. It waits for the disk.
    pub(crate) fn set(&self, ask: Ask, expected: Option<u64>) -> Result<(Override, Option<String>), Refusal> {
        let fleet = self.control.lock().unwrap_or_else(PoisonError::into_inner).fleet();
        let set = self.book().set(ask, &fleet, self.wall(), expected)?;
        let undurable = self.keep_book();
        log(format!(
            "override {} set by {}: {} on {}: {}",
            set.id, set.author, set.effect, set.scope, set.reason
        ));
        self.impose();
        Ok((set, undurable))
    }

    /// Lifts one.
    pub(crate) fn lift(
        &self,
        id: u64,
        by: &str,
        expected: Option<u64>,
    ) -> Result<(Override, Option<String>), Refusal> {
        let lifted = self.book().lift(id, by, self.wall(), expected)?;
        let undurable = self.keep_book();
        log(format!("override {id} lifted by {by}"));
        self.impose();
        Ok((lifted, undurable))
    }

    /// Keeps what has changed in the book; why not, where it is not.
    fn keep_book(&self) -> Option<String> {
        let Some(keeper) = &self.keeper else { return Some("no --state file is given".into()) };
        // One at a time, in the order of the book.
        let mut kept = self.kept_events.lock().unwrap_or_else(PoisonError::into_inner);
        let (change, last) = {
            let book = self.book();
            let mut events: Vec<_> = book.history().take_while(|e| e.number > *kept).cloned().collect();
            events.reverse();
            let last = events.last().map_or(*kept, |e| e.number);
            let change = BookChange {
                live: book.live().cloned().collect(),
                events,
                next: book.next_id(),
                revision: book.revision(),
                history: book.policy().history,
            };
            (change, last)
        };
        match keeper.keep_book(&change) {
            Ok(()) => {
                *kept = last;
                None
            }
            Err(e) => {
                log(format!("state: {e}; overrides are held in memory"));
                Some(e)
            }
        }
    }

    /// Declares what the overrides come to now.
    fn impose(&self) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        let (live, cold_after) = {
            let book = self.book();
            (book.live().cloned().collect(), book.policy().cold_after)
        };
        let change = control.impose(live, self.wall(), cold_after);
        // Nothing is handed out before the first list.
        if self.hub.store().is_open() {
            self.declare(&control, &change);
        }
    }

    /// Takes out what has expired, and announces what soon will.
    fn expire(&self) {
        let wall = self.wall();
        let (expired, soon) = {
            let mut book = self.book();
            (book.expire(wall), book.expiring(wall))
        };
        for o in &soon {
            let left = (o.until - wall) / 1_000_000_000;
            log(format!("override {} ({} on {}) expires in {left} s", o.id, o.effect, o.scope));
        }
        for o in &expired {
            log(format!("override {} ({} on {}) has expired", o.id, o.effect, o.scope));
        }
        if !expired.is_empty() {
            self.impose();
            // Retried with the next change where the disk refuses.
            let _ = self.keep_book();
        }
    }

    fn keep(&self, control: &Control) {
        if let (Some(keeper), Some(version)) = (&self.keeper, control.version()) {
            keeper.keep(version, control.kept());
        }
    }

    fn tick(&self) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        let change = control.tick(self.hub.now());
        self.declare(&control, &change);
        let waits = control.version().is_some() && !self.hub.store().is_open();
        if waits && self.started.elapsed() >= KEPT_WAITS {
            log("no list yet: serving what was kept".into());
            self.open(&control);
        }
        if !change.is_empty() {
            self.keep(&control);
        }
    }

    fn declare(&self, control: &Control, change: &Change) {
        if change.is_empty() {
            return;
        }
        self.hub.change(|store, now| {
            for (i, (cluster, nodes)) in control.names().into_iter().zip(control.clusters()).enumerate() {
                if !change.changed[i].is_empty() || !change.gone[i].is_empty() {
                    declare_changed(store, cluster, nodes, &change.changed[i], &change.gone[i], now);
                }
            }
        });
    }
}

fn shape(control: &Control) -> Shape {
    let [cluster, origin] = control.names();
    Shape { cluster: cluster.to_owned(), origin: origin.to_owned() }
}

/// A running service. Dropping it ends it.
pub struct ControlService {
    /// Where subscribers connect.
    pub xds: SocketAddr,
    /// Where the admin page is.
    pub admin: Option<SocketAddr>,
    shared: Arc<Shared>,
    again: mpsc::Sender<()>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlService {
    /// Reads the node file again.
    pub fn reread(&self) {
        let _ = self.again.try_send(());
    }

    /// The subscribers' side, for tests and measurements.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.shared.hub
    }

    /// Takes a list as if the source had told it, for tests and measurements: the moment is then known.
    pub fn tell(&self, list: Members) {
        self.shared.take(Told::List(list));
    }

    /// Ends the service: no new streams, and those that are open are cut.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for ControlService {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A number from 0 up to 1, for waits alone.
pub(crate) fn chance() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let random = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (random >> 11) as f64 / (1u64 << 53) as f64
}

/// Names this process and no other. Danger: subscribers tell an old process from a new one by it.
fn incarnation() -> String {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    format!("rushquay-{:x}-{:x}-{number}", now.as_nanos(), std::process::id())
}

/// Starts the service on the runtime that this is called on.
///
/// # Errors
/// See [`StartError`]; nothing is left running.
pub async fn start(options: Options) -> Result<ControlService, StartError> {
    let tls = options.settings.tls.as_ref().map(Tls::read).transpose()?;
    require_tls_beyond_loopback("--listen", options.listen, tls.is_some())?;
    if let Some(admin) = options.admin {
        // The admin page speaks plain HTTP.
        require_tls_beyond_loopback("--admin", admin, false)?;
    }
    let first = match &options.source {
        SourceOption::Nodes(path) => Some(file::read(path).map_err(StartError::Nodes)?),
        SourceOption::Discovery(_) => None,
    };
    let listen = async |option, addr: SocketAddr| {
        let listener = TcpListener::bind(addr).await;
        let bound = listener.and_then(|l| l.local_addr().map(|a| (l, a)));
        bound.map_err(|source| StartError::Listen { option, addr, source })
    };
    let (xds_listener, xds) = listen("listen", options.listen).await?;
    let admin_listener = match options.admin {
        Some(addr) => Some(listen("admin", addr).await?),
        None => None,
    };

    let origin = match options.source {
        SourceOption::Discovery(_) => Origin::Discovery,
        SourceOption::Nodes(_) => Origin::File,
    };
    let store = Store::new(&incarnation(), options.settings.control.removals);
    let hub = Hub::new(store, options.settings.limits(), log);
    let mut control = Control::new(options.settings.control.clone(), origin);
    let policy = options.settings.overrides.policy();
    let (mut keeper, mut book) = (None, Book::new(policy));
    if let Some(path) = options.state {
        // Reading a file of a fleet takes a millisecond, and nothing runs yet.
        let (opened, saved, kept) = Keeper::open(&path, policy);
        book = kept;
        if let Some(version) = saved.version {
            log(format!("state: {} nodes kept, list version {version}", saved.nodes.len()));
            control.restore(version, saved.nodes, hub.now());
        }
        keeper = Some(opened);
    }
    let source_name = match &options.source {
        SourceOption::Discovery(addr) => format!("discovery {addr}"),
        SourceOption::Nodes(path) => format!("file {}", path.display()),
    };
    let (control, source) = (Mutex::new(control), Mutex::default());
    let started = std::time::Instant::now();
    let kept_events = Mutex::new(book.history().next().map_or(0, |e| e.number));
    let book = Mutex::new(book);
    let shared = Arc::new(Shared {
        hub: hub.clone(),
        control,
        source,
        source_name,
        keeper,
        started,
        kept_events,
        book,
    });
    // What expired while the service was down is over, and the rest holds before anything is handed out.
    shared.expire();
    shared.impose();
    if let Some(list) = first {
        shared.take(Told::List(list));
    }

    let (told, mut news) = mpsc::channel(16);
    let (again, asked) = mpsc::channel(1);
    let (stop, stopped) = watch::channel(false);
    let mut tasks = Vec::new();
    tasks.push(match options.source {
        SourceOption::Discovery(addr) => tokio::spawn(discovery::follow(addr, told)),
        SourceOption::Nodes(path) => tokio::spawn(file::follow(path, told, asked)),
    });
    let taking = shared.clone();
    tasks.push(tokio::spawn(async move {
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                Some(told) = news.recv() => taking.take(told),
                _ = tick.tick() => {
                    taking.tick();
                    // It may wait for the disk.
                    let expiring = taking.clone();
                    let _ = tokio::task::spawn_blocking(move || expiring.expire()).await;
                }
            }
        }
    }));
    let mut ending = stopped.clone();
    tasks.push(tokio::spawn(async move {
        let stop = async move { drop(ending.wait_for(|stop| *stop).await) };
        if let Err(e) = serve(xds_listener, hub, tls.as_ref(), stop).await {
            log(format!("xDS ends: {e}"));
        }
    }));
    let admin = admin_listener.as_ref().map(|(_, addr)| *addr);
    if let Some((listener, _)) = admin_listener {
        tasks.push(tokio::spawn(admin::serve(listener, shared.clone())));
    }
    Ok(ControlService { xds, admin, shared, again, stop, tasks })
}
