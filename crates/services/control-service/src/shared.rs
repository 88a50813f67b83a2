//! What the parts of the service share: the source's news go in, commands of operators go in, the hub hands out. With a
//! standby configured it does so only while it leads.

use crate::leadership::Leadership;
use crate::persistence::{DurableStore, PersistError, PersistFailure, Persistence, Records};
use crate::policy::{PolicyCommandError, PolicyController};
use crate::rollout::RolloutController;
use crate::settings::Settings;
use crate::time::{Clocks, ServiceClock};
use rushquay_control_state::{ControlState, EndpointChange, ListOutcome, NodeView, Origin};
use rushquay_endpoints::{EndpointList, Nanos};
use rushquay_lease::Epoch;
use rushquay_overrides::{Override, OverrideError, OverrideRequest, OverrideSet};
use rushquay_rollout::RegistryError;
use rushquay_state::{OverrideWrite, RecordWrite, StoredState};
use rushquay_xds::Store;
use rushquay_xds_grpc::Hub;
use rushquay_xds_resources::{declare, declare_changed, ClusterNames};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// For so long after a start what was kept waits for the source's first word. Danger: handed out at once it might name
/// nodes that went while the service was down; never handed out it would be of no use while the source is down too.
const KEPT_WAITS: Duration = Duration::from_secs(5);

/// News of the list.
#[derive(Debug)]
pub enum SourceEvent {
    /// The whole, or what changed.
    EndpointList(EndpointList),
    /// The source can't be reached or read.
    Unavailable(String),
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

/// Why a command was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The book refuses it.
    #[error(transparent)]
    Override(#[from] OverrideError),
    /// Another instance leads.
    #[error("this control service stands by: {0}")]
    NotLeader(String),
    /// The board of changes refuses it.
    #[error(transparent)]
    Rollout(#[from] RegistryError),
    /// A change of policy can't be made or ended so.
    #[error(transparent)]
    Policy(#[from] PolicyCommandError),
    /// What can't be kept is not done.
    #[error("not done, since it can't be kept: {0}")]
    NotPersisted(String),
}

impl CommandError {
    /// Something was not kept, as far as that is known.
    pub(crate) fn not_persisted(e: &PersistError) -> Self {
        CommandError::NotPersisted(match e.failure {
            PersistFailure::NoStore | PersistFailure::Fenced => e.why.clone(),
            PersistFailure::Unsure => {
                format!("{}; whether it stands is for the next leader to find: look again", e.why)
            }
            PersistFailure::Failed => {
                format!("{}; what held before is written again once the store works: look again", e.why)
            }
        })
    }
}

/// What the parts share.
pub struct Shared {
    /// The subscribers' side.
    pub hub: Arc<Hub>,
    /// What is decided.
    pub control: Mutex<ControlState>,
    /// The source. Locked before `control`.
    pub source: Mutex<SourceState>,
    /// What it is.
    pub source_name: String,
    /// Operators' overrides. Locked behind `control`, where both are.
    pub book: Mutex<OverrideSet>,
    /// Where instances take over from one another; `None`: this one is alone.
    pub standby: Option<Arc<Leadership>>,
    /// Changes in stages; `None`: none are taken.
    pub rollout: Option<RolloutController>,
    /// Changes of policy; `None`: none are taken.
    pub policies: Option<PolicyController>,
    /// One change is begun at a time, of whichever kind. Locked before all else.
    pub change_lock: Mutex<()>,
    /// One change of the book at a time: it is made, kept, and only then counts. Locked before `book`.
    override_write_lock: Mutex<()>,
    /// The time.
    pub clock: Arc<ServiceClock>,
    settings: Settings,
    origin: Origin,
    /// What outlives a restart. Locked last.
    keeper: Mutex<Option<Arc<Persistence>>>,
    /// The number of the last event of the book that was kept. Locked before `book`.
    last_persisted_event: Mutex<u64>,
    /// The book was to be kept and is not.
    unkept: AtomicBool,
    /// Since when what was kept waits for the source.
    since: Mutex<Instant>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Knows nothing yet. Where it stands by for others it hands out nothing before it leads.
    pub(crate) fn new(
        settings: Settings,
        origin: Origin,
        source_name: String,
        standby: Option<Arc<Leadership>>,
        clocks: Clocks,
    ) -> Arc<Shared> {
        let clock = Arc::new(ServiceClock::new(clocks));
        let unix = clock.clone();
        let store = Store::new(&incarnation_name(Epoch(0)), settings.control.removals);
        let hub = Hub::with_clock(store, settings.limits(), Box::new(move || unix.now()));
        if standby.is_some() {
            hub.suspend();
        }
        let rollout = settings.rollout.map(RolloutController::new);
        let policies = settings.policy.clone().map(PolicyController::new);
        let shared = Arc::new(Shared {
            hub,
            control: Mutex::new(ControlState::new(settings.control.clone(), origin)),
            source: Mutex::default(),
            source_name,
            book: Mutex::new(OverrideSet::new(settings.overrides.policy())),
            standby,
            clock,
            settings,
            origin,
            keeper: Mutex::default(),
            last_persisted_event: Mutex::default(),
            unkept: AtomicBool::new(false),
            since: Mutex::new(Instant::now()),
            rollout,
            policies,
            change_lock: Mutex::default(),
            override_write_lock: Mutex::default(),
        });
        if shared.rollout.is_some() || shared.policies.is_some() {
            let hears = Arc::downgrade(&shared);
            shared.hub.on_stream_event(move |node, word| {
                let Some(shared) = hears.upgrade() else { return };
                let now = shared.unix_now();
                shared.policies.iter().for_each(|p| p.hear(node, &word));
                shared.rollout.iter().for_each(|r| r.hear(node, word.clone(), now));
            });
        }
        shared
    }

    /// How often the fleet is looked at; `None`: never.
    pub(crate) fn rollout_every(&self) -> Option<Duration> {
        self.settings.rollout.map(|r| r.every())
    }

    /// How often policies are looked at; `None`: never.
    pub(crate) fn policy_every(&self) -> Option<Duration> {
        self.policies.as_ref().map(PolicyController::every)
    }

    pub(crate) fn nodes(&self) -> Vec<NodeView> {
        lock(&self.control).nodes()
    }

    /// Whether overrides are held in memory that were to be kept.
    pub(crate) fn unkept(&self) -> bool {
        self.unkept.load(Ordering::SeqCst)
    }

    pub(crate) fn keeper(&self) -> Option<Arc<Persistence>> {
        lock(&self.keeper).clone()
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, OverrideSet> {
        lock(&self.book)
    }

    /// Whether it hands out.
    pub(crate) fn leads(&self) -> bool {
        self.hub.served().is_some()
    }

    /// Whether it may speak as the leader at this moment, by its own clock.
    pub(crate) fn holds_valid_lease(&self) -> bool {
        let now = self.clock.steady();
        self.leads() && self.standby.as_ref().is_none_or(|s| now < s.leads_until())
    }

    /// Leads no longer, since it can't tell what stands in the store: whoever leads next reads it. What is still on its way is bound to a
    /// lease that is over by then.
    pub(crate) fn relinquish_leadership(&self) {
        if let Some(standby) = &self.standby {
            self.hub.suspend();
            standby.fenced();
        }
    }

    /// Unix time, in nanoseconds.
    pub(crate) fn unix_now(&self) -> Nanos {
        self.clock.now()
    }

    /// Goes on from what was kept, alone.
    pub(crate) fn restore(
        &self,
        saved: StoredState,
        book: OverrideSet,
        records: &Records,
        keeper: Persistence,
    ) {
        if let Some(version) = saved.version {
            info!(nodes = saved.nodes.len(), list = version, "going on from what was kept");
            lock(&self.control).restore(version, saved.nodes, self.hub.now());
        }
        *lock(&self.last_persisted_event) = book.history().next().map_or(0, |e| e.number);
        *self.book() = book;
        *lock(&self.keeper) = Some(Arc::new(keeper));
        self.rollout.iter().for_each(|r| r.lead(records, self.unix_now()));
        self.policies.iter().for_each(|p| p.lead(records, self));
        // What expired while the service was down is over, and the rest holds before anything is handed out.
        self.expire();
        self.apply_overrides();
    }

    /// Leads from now on, going on from what the last leader kept. What this instance has followed itself meanwhile comes on
    /// top, as the first list after a restart would.
    pub(crate) fn lead(
        &self,
        epoch: Epoch,
        saved: StoredState,
        mut book: OverrideSet,
        records: &Records,
        durable: Arc<dyn DurableStore>,
    ) {
        // Nothing comes from the source meanwhile.
        let source = lock(&self.source);
        let mut kept_events = lock(&self.last_persisted_event);
        let mut control = lock(&self.control);
        let (now, wall) = (self.hub.now(), self.unix_now());
        let followed = control.followed();
        let mut new = ControlState::new(self.settings.control.clone(), self.origin);
        if let Some(version) = saved.version {
            new.restore(version, saved.nodes.clone(), now);
        }
        *kept_events = book.history().next().map_or(0, |e| e.number);
        for over in book.expire(wall) {
            info!(id = over.id, effect = %over.effect, on = %over.scope, "override has expired");
        }
        let _ = new.impose(book.live().cloned().collect(), wall, book.policy().cold_after);
        *self.book() = book;
        if let Some(list) = &followed {
            let _ = new.list(list, now);
        }
        *control = new;
        *lock(&self.keeper) = Some(Arc::new(Persistence::on(durable, saved)));
        *lock(&self.since) = Instant::now();
        // What another lease left unkept is not this one's.
        self.unkept.store(false, Ordering::SeqCst);
        self.rollout.iter().for_each(|r| r.lead(records, wall));
        self.policies.iter().for_each(|p| p.lead(records, self));
        self.hub.serve(Store::new(&incarnation_name(epoch), self.settings.control.removals));
        if followed.is_some() {
            self.open(&control);
        }
        self.persist_endpoints(&control);
        drop((control, kept_events, source));
        self.override_write_error(self.persist_overrides());
    }

    /// Hands out nothing more, and takes no commands. It goes on following the source.
    pub(crate) fn step_down(&self) {
        self.hub.suspend();
        self.rollout.iter().for_each(RolloutController::step_down);
        self.policies.iter().for_each(PolicyController::step_down);
        let keeper = lock(&self.keeper).take();
        // Its thread may be at a write, which ends by itself.
        drop(keeper);
        *self.book() = OverrideSet::new(self.settings.overrides.policy());
    }

    pub(crate) fn on_source_event(&self, told: SourceEvent) {
        let mut source = lock(&self.source);
        let list = match told {
            SourceEvent::Unavailable(fault) => {
                if source.fault.as_ref() != Some(&fault) {
                    warn!(source = %self.source_name, %fault, "no node list: the last one stays");
                }
                source.fault = Some(fault);
                return;
            }
            SourceEvent::EndpointList(list) => list,
        };
        source.fault = None;
        source.lists += 1;
        let mut control = lock(&self.control);
        let now = self.hub.now();
        match control.list(&list, now) {
            ListOutcome::EmptyRefused => {
                source.refused += 1;
                warn!(list = list.version, "a list without any node is not obeyed");
            }
            _ if !self.leads() => {}
            ListOutcome::First => self.open(&control),
            // The first word after a restart that kept what it knew.
            ListOutcome::Changed(_) if control.version().is_some() && !self.hub.store().is_open() => {
                self.open(&control);
            }
            ListOutcome::Changed(change) => self.declare(&control, &change),
        }
        self.persist_endpoints(&control);
    }

    /// Declares all, and hands out from now on.
    fn open(&self, control: &ControlState) {
        let [cluster, origin] = control.names();
        let shape = ClusterNames { cluster: cluster.to_owned(), origin: origin.to_owned() };
        let clusters = control.clusters();
        self.hub.change(|store, now| {
            declare(store, &shape, clusters, now);
            store.open();
        });
    }

    /// Whether commands are taken here.
    pub(crate) fn require_leadership(&self) -> Result<(), CommandError> {
        match &self.standby {
            Some(standby) if !self.leads() => Err(CommandError::NotLeader(standby.who_leads())),
            _ => Ok(()),
        }
    }

    /// What became of a write of the book, for who asked for it; `Err`: nothing of it counts.
    fn override_write_error(&self, kept: Result<(), PersistError>) -> Option<String> {
        match kept {
            Ok(()) => None,
            Err(e) => {
                if let (PersistFailure::Fenced, Some(standby)) = (e.failure, &self.standby) {
                    self.hub.suspend();
                    standby.fenced();
                }
                Some(e.why)
            }
        }
    }

    /// Sets an override and hands it out; with why it is not kept on disk, where it is not. It waits for the disk.
    pub(crate) fn set(
        &self,
        ask: OverrideRequest,
        expected: Option<u64>,
    ) -> Result<(Override, Option<String>), CommandError> {
        self.require_leadership()?;
        let fleet = lock(&self.control).fleet();
        let wall = self.unix_now();
        let (set, undurable) = self.change_overrides(|book| book.set(ask, &fleet, wall, expected))?;
        let Override { id, author, effect, scope, reason, .. } = &set;
        info!(id, %author, %effect, on = %scope, %reason, "override set");
        self.apply_overrides();
        Ok((set, undurable))
    }

    /// Lifts one.
    pub(crate) fn lift(
        &self,
        id: u64,
        by: &str,
        expected: Option<u64>,
    ) -> Result<(Override, Option<String>), CommandError> {
        self.require_leadership()?;
        let wall = self.unix_now();
        let (lifted, undurable) = self.change_overrides(|book| book.lift(id, by, wall, expected))?;
        info!(id, by, "override lifted");
        self.apply_overrides();
        Ok((lifted, undurable))
    }

    /// Changes the book and keeps it; with why it is held in memory alone, where it is.
    fn change_overrides<T>(
        &self,
        change: impl FnOnce(&mut OverrideSet) -> Result<T, OverrideError>,
    ) -> Result<(T, Option<String>), CommandError> {
        let _turn = lock(&self.override_write_lock);
        let before = self.book().clone();
        let done = change(&mut self.book())?;
        let kept = self.persist_overrides();
        // Danger: the store that does not keep it does not keep the lease either, and with the lease what is held in memory goes.
        // What was not kept is not done; the book from before is written again as soon as that can be.
        if let (Err(e), Some(_)) = (&kept, &self.standby) {
            *self.book() = before;
            self.override_write_error(kept.clone());
            self.require_leadership()?;
            return Err(CommandError::not_persisted(e));
        }
        // Danger: a leader whose lease ended meanwhile would acknowledge what its successor doesn't know.
        self.require_leadership()?;
        Ok((done, self.override_write_error(kept)))
    }

    /// Keeps what has changed in the book; why not, where it is not.
    fn persist_overrides(&self) -> Result<(), PersistError> {
        // One at a time, in the order of the book.
        let mut kept = lock(&self.last_persisted_event);
        let Some(keeper) = self.keeper() else {
            return Err(PersistError {
                why: "no --state file is given".into(),
                failure: PersistFailure::NoStore,
            });
        };
        let (change, last) = {
            let book = self.book();
            let mut events: Vec<_> = book.history().take_while(|e| e.number > *kept).cloned().collect();
            events.reverse();
            let last = events.last().map_or(*kept, |e| e.number);
            let change = OverrideWrite {
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
                if self.unkept.swap(false, Ordering::SeqCst) {
                    info!(overrides = change.live.len(), "overrides are kept again");
                }
                Ok(())
            }
            Err(e) => {
                // The disk may have lost more than this write: all of the book is written next time.
                *kept = 0;
                if !self.unkept.swap(true, Ordering::SeqCst) {
                    warn!(fault = %e.why, "overrides are held in memory");
                }
                Err(e)
            }
        }
    }

    /// Keeps records of other parts, and steps down where another leads. It waits for the disk.
    pub(crate) fn persist_records(&self, change: &RecordWrite) -> Result<(), PersistError> {
        let Some(keeper) = self.keeper() else {
            let why = "no --state file and no [standby] is given: a change would not outlive this process";
            return Err(PersistError { why: why.into(), failure: PersistFailure::NoStore });
        };
        let kept = keeper.keep_records(change);
        self.override_write_error(kept.clone());
        kept
    }

    /// Declares what the overrides come to now.
    fn apply_overrides(&self) {
        let mut control = lock(&self.control);
        let (live, cold_after) = {
            let book = self.book();
            (book.live().cloned().collect(), book.policy().cold_after)
        };
        let change = control.impose(live, self.unix_now(), cold_after);
        // Nothing is handed out before the first list.
        if self.hub.store().is_open() {
            self.declare(&control, &change);
        }
    }

    /// Takes out what has expired, and announces what soon will. A standby's book is the leader's to look after.
    pub(crate) fn expire(&self) {
        if !self.leads() {
            return;
        }
        let wall = self.unix_now();
        let (expired, soon) = {
            let mut book = self.book();
            (book.expire(wall), book.expiring(wall))
        };
        for o in &soon {
            let left = (o.until - wall) / 1_000_000_000;
            info!(id = o.id, effect = %o.effect, on = %o.scope, left_s = left, "override expires soon");
        }
        for o in &expired {
            info!(id = o.id, effect = %o.effect, on = %o.scope, "override has expired");
        }
        if !expired.is_empty() {
            self.apply_overrides();
        }
        // What could not be kept is owed until it is.
        if !expired.is_empty() || self.unkept.load(Ordering::SeqCst) {
            self.override_write_error(self.persist_overrides());
        }
    }

    fn persist_endpoints(&self, control: &ControlState) {
        if let (Some(keeper), Some(version)) = (self.keeper(), control.version()) {
            keeper.keep(version, control.kept());
        }
    }

    pub(crate) fn tick(&self) {
        self.clock.look();
        let mut control = lock(&self.control);
        let change = control.tick(self.hub.now());
        if !self.leads() {
            return;
        }
        self.declare(&control, &change);
        let waits = control.version().is_some() && !self.hub.store().is_open();
        if waits && lock(&self.since).elapsed() >= KEPT_WAITS {
            warn!("no list yet: serving what was kept");
            self.open(&control);
        }
        if !change.is_empty() {
            self.persist_endpoints(&control);
        }
    }

    fn declare(&self, control: &ControlState, change: &EndpointChange) {
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

/// Names this process, its turn at leading, and no other. Danger: subscribers tell an old process from a new one by it.
fn incarnation_name(epoch: Epoch) -> String {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    epoch.name(&format!("rushquay-{:x}-{:x}-{number}", now.as_nanos(), std::process::id()))
}
