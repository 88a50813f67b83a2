//! Takes over when the instance that leads is gone, and stops when its own time is over: a thread that does what
//! [`Elector`] says, against a store of leases.

use crate::persistence::LeasedStore;
use crate::shared::Shared;
use rushquay_lease::{Action, Elector, Epoch, LeaseTerms, Role};
use rushquay_state::{Campaign, HeldLease, SharedError, SharedState};
use rushquay_xds::client::Outage;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tracing::{error, info, warn};

/// So often at least the thread looks whether it is to end.
const LOOK: Duration = Duration::from_millis(500);

/// How it stands, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct LeadershipState {
    /// Who leads, as the store last said.
    pub leader: Option<String>,
    /// The epoch in which this instance leads; 0: it does not.
    pub epoch: u64,
    /// How often this instance has taken over.
    pub takeovers: u64,
    /// How long the last takeover took, from the store's word that the lease is had to handing out, in milliseconds.
    pub takeover_ms: u64,
    /// Why the store can't be reached; `None`: it can.
    pub fault: Option<String>,
}

#[derive(Default)]
struct Inner {
    state: LeadershipState,
    ending: bool,
    /// A write was refused: the lease is another's.
    fenced: bool,
}

/// One instance of several.
pub struct Leadership {
    /// How it calls itself.
    pub me: String,
    /// The store.
    pub store: Arc<dyn SharedState>,
    terms: LeaseTerms,
    inner: Mutex<Inner>,
    wake: Condvar,
    /// Until when it may speak as the leader, by its own clock; 0: it does not lead.
    until: AtomicU64,
}

impl Leadership {
    pub(crate) fn new(me: String, store: Arc<dyn SharedState>, terms: LeaseTerms) -> Arc<Self> {
        let until = AtomicU64::new(0);
        Arc::new(Leadership { me, store, terms, inner: Mutex::default(), wake: Condvar::new(), until })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How it stands.
    pub fn state(&self) -> LeadershipState {
        self.lock().state.clone()
    }

    /// Whom to ask instead, in words.
    pub(crate) fn who_leads(&self) -> String {
        match self.lock().state.leader.clone() {
            Some(leader) if leader != self.me => format!("{leader} leads, ask there"),
            _ => "nobody leads yet, ask again soon".into(),
        }
    }

    /// Until when it may speak as the leader, by its own clock; 0: it does not lead. Danger: a process that was stopped and goes on has
    /// not stepped down yet, and its clock alone says that it must.
    pub(crate) fn leads_until(&self) -> u64 {
        self.until.load(Ordering::SeqCst)
    }

    /// A write was refused.
    pub(crate) fn fenced(&self) {
        self.lock().fenced = true;
        self.wake.notify_all();
    }

    /// Gives the lease back, and ends the thread.
    pub(crate) fn end(&self) {
        self.lock().ending = true;
        self.wake.notify_all();
    }
}

/// The thread's work, until the end.
pub(crate) fn run(shared: &Shared, standby: &Leadership) {
    let mut guard = LeadershipLoop {
        shared,
        standby,
        elector: Elector::new(standby.terms),
        held: None,
        outage: Outage::default(),
    };
    while !standby.lock().ending {
        guard.step();
    }
    if let Some(held) = guard.held {
        shared.step_down();
        match standby.store.resign(held) {
            Ok(()) => info!(epoch = held.epoch, "the lease is given back"),
            Err(e) => warn!(epoch = held.epoch, fault = %e, "the lease ends by itself"),
        }
    }
}

struct LeadershipLoop<'a> {
    shared: &'a Shared,
    standby: &'a Leadership,
    elector: Elector,
    held: Option<HeldLease>,
    outage: Outage,
}

impl LeadershipLoop<'_> {
    fn now(&self) -> u64 {
        self.shared.clock.steady()
    }

    fn step(&mut self) {
        if std::mem::take(&mut self.standby.lock().fenced) {
            self.standby.until.store(0, Ordering::SeqCst);
            self.step_down("a write was refused");
            return;
        }
        let now = self.now();
        match self.elector.act(now) {
            Action::Wait(until) => self.wait(until.saturating_sub(now)),
            Action::StepDown => self.step_down("its time is over"),
            Action::Renew => self.renew(),
            Action::Campaign => self.campaign(),
        }
        let until = match self.elector.role() {
            Role::Leader { until, .. } if self.held.is_some() => *until,
            _ => 0,
        };
        self.standby.until.store(until, Ordering::SeqCst);
    }

    fn wait(&mut self, nanos: u64) {
        let most = Duration::from_nanos(nanos).min(LOOK);
        if matches!(self.elector.role(), Role::Standby { .. }) {
            self.standby.store.wait(most);
            self.elector.free(self.now());
            return;
        }
        let inner = self.standby.lock();
        let quiet = |inner: &mut Inner| !inner.ending && !inner.fenced;
        drop(self.standby.wake.wait_timeout_while(inner, most, quiet));
    }

    fn renew(&mut self) {
        let Some(held) = self.held else { return self.elector.lost(self.now()) };
        let asked = self.now();
        match self.standby.store.renew(held) {
            Ok(()) => {
                self.reached();
                self.elector.renewed(asked);
            }
            Err(SharedError::Fenced(_)) => self.step_down("another has the lease"),
            Err(e) => self.unreached(&e),
        }
    }

    fn campaign(&mut self) {
        let (asked, standby) = (self.now(), self.standby);
        match standby.store.campaign(&standby.me, Duration::from_nanos(standby.terms.ttl)) {
            Ok(Campaign::Taken { by }) => {
                self.reached();
                let mut inner = standby.lock();
                if inner.state.leader.as_ref() != Some(&by) {
                    info!(leader = %by, "another instance leads");
                }
                inner.state.leader = Some(by.clone());
                drop(inner);
                self.elector.beaten(Some(by), self.now());
            }
            Ok(Campaign::Won(held)) => {
                self.reached();
                if self.elector.won(Epoch(held.epoch), asked, self.now()) {
                    self.take_over(held);
                }
            }
            Err(e) => self.unreached(&e),
        }
    }

    fn take_over(&mut self, held: HeldLease) {
        let (start, standby) = (self.now(), self.standby);
        let policy = *self.shared.book().policy();
        let loaded = standby.store.load(policy).and_then(|kept| Ok((kept, standby.store.load_records()?)));
        let ((saved, book), records) = match loaded {
            Ok(loaded) => loaded,
            Err(e) => {
                // Danger: leading on from nothing would forget every drain and override.
                error!(epoch = held.epoch, fault = %e, "what was kept can't be read: the lease is given back");
                let _ = standby.store.resign(held);
                standby.lock().state.fault = Some(e.to_string());
                return self.elector.lost(self.now());
            }
        };
        // What was read took its time; nothing is handed out in a lease that is over.
        let asked = self.now();
        match standby.store.renew(held) {
            Ok(()) => self.elector.renewed(asked),
            Err(SharedError::Fenced(_)) => return self.elector.lost(self.now()),
            Err(e) => self.unreached(&e),
        }
        if self.elector.leads(self.now()).is_none() {
            return self.elector.lost(self.now());
        }
        self.held = Some(held);
        let durable = Arc::new(LeasedStore { store: standby.store.clone(), held });
        self.shared.lead(Epoch(held.epoch), saved, book, &records, durable);
        let took = (self.now() - start) / 1_000_000;
        let mut inner = standby.lock();
        inner.state.leader = Some(standby.me.clone());
        inner.state.epoch = held.epoch;
        inner.state.takeovers += 1;
        inner.state.takeover_ms = took;
        info!(leader = %standby.me, epoch = held.epoch, took_ms = took, "this instance leads");
    }

    fn step_down(&mut self, why: &str) {
        if let Some(held) = self.held.take() {
            self.shared.step_down();
            warn!(epoch = held.epoch, why, "stepped down");
        }
        let mut inner = self.standby.lock();
        (inner.state.epoch, inner.state.leader) = (0, None);
        drop(inner);
        self.elector.lost(self.now());
    }

    fn reached(&mut self) {
        if let Some(n) = self.outage.over() {
            info!(store = %self.standby.store.name(), failures = n, "the store of leases answers again");
        }
        self.standby.lock().state.fault = None;
    }

    fn unreached(&mut self, e: &SharedError) {
        if let Some(n) = self.outage.failed(&e.to_string()) {
            warn!(fault = %e, failure = n, "the store of leases does not answer");
        }
        self.standby.lock().state.fault = Some(e.to_string());
        self.elector.unknown(self.now());
    }
}
