//! The thread that campaigns for the lease, renews it and steps down. It carries out the actions of [`Elector`] on a lease store.

use crate::durable_store::LeasedStore;
use crate::leadership::Leadership;
use crate::persistence::Records;
use crate::service_state::ServiceState;
use rushquay_lease::{Action, Elector, Epoch, Role};
use rushquay_overrides::OverrideSet;
use rushquay_state::{Campaign, HeldLease, SharedError, StoredState};
use rushquay_xds::client::Outage;
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info, warn};

/// The longest wait before the thread checks whether it has to end.
const MAX_WAIT: Duration = Duration::from_millis(500);

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Runs until [`Leadership::end`] is called.
pub(crate) fn run(service: &ServiceState, leadership: &Leadership) {
    let mut leadership_loop = LeadershipLoop {
        service,
        leadership,
        elector: Elector::new(leadership.terms),
        held: None,
        outage: Outage::default(),
        timing: RenewalTiming::default(),
    };
    while !leadership.is_ending() {
        leadership_loop.step();
    }
    if let Some(held) = leadership_loop.held {
        service.step_down();
        match leadership.store.resign(held) {
            Ok(()) => info!(epoch = held.epoch, "lease resigned"),
            Err(error) => warn!(epoch = held.epoch, %error, "lease not resigned; it expires by itself"),
        }
    }
}

/// The state of the thread.
struct LeadershipLoop<'a> {
    service: &'a ServiceState,
    leadership: &'a Leadership,
    elector: Elector,
    held: Option<HeldLease>,
    outage: Outage,
    timing: RenewalTiming,
}

/// When the last renewal was sent, how long it took, and how late the thread woke up, in nanoseconds. Logged when the leader steps down,
/// to distinguish a slow store from a thread that was not scheduled.
#[derive(Default)]
struct RenewalTiming {
    sent_at: u64,
    round_trip: u64,
    wake_up_delay: u64,
}

impl LeadershipLoop<'_> {
    fn now(&self) -> u64 {
        self.service.leader.monotonic_now()
    }

    fn step(&mut self) {
        if self.leadership.take_fenced() {
            self.leadership.set_lease_valid_until(0);
            self.step_down("a write was fenced");
            return;
        }
        let now = self.now();
        match self.elector.next_action(now) {
            Action::Wait(until) => self.wait(until.saturating_sub(now)),
            Action::StepDown => self.step_down("the lease has expired"),
            Action::Renew => self.renew(),
            Action::Campaign => self.campaign(),
        }
        let until = match self.elector.role() {
            Role::Leader { until, .. } if self.held.is_some() => *until,
            _ => 0,
        };
        self.leadership.set_lease_valid_until(until);
    }

    /// Waits at most this long: a standby until the lease is released, a leader until the service stops or a write is fenced.
    fn wait(&mut self, nanos: u64) {
        let timeout = Duration::from_nanos(nanos).min(MAX_WAIT);
        if matches!(self.elector.role(), Role::Standby { .. }) {
            self.leadership.store.wait(timeout);
            self.elector.lease_released(self.now());
            return;
        }
        let start = self.now();
        self.leadership.wait(timeout);
        let passed = self.now().saturating_sub(start);
        self.timing.wake_up_delay = passed.saturating_sub(timeout.as_nanos() as u64);
    }

    fn renew(&mut self) {
        let Some(held) = self.held else { return self.elector.lease_lost(self.now()) };
        let requested_at = self.now();
        let renewed = self.leadership.store.renew(held);
        self.timing.sent_at = requested_at;
        self.timing.round_trip = self.now().saturating_sub(requested_at);
        match renewed {
            Ok(()) => {
                self.on_store_reached();
                self.elector.lease_renewed(requested_at);
            }
            Err(SharedError::Fenced(_)) => self.step_down("another instance holds the lease"),
            Err(error) => self.on_store_unreachable(&error),
        }
    }

    fn campaign(&mut self) {
        let (requested_at, leadership) = (self.now(), self.leadership);
        let ttl = Duration::from_nanos(leadership.terms.ttl);
        match leadership.store.campaign(&leadership.instance_name, ttl) {
            Ok(Campaign::Taken { by }) => {
                self.on_store_reached();
                leadership.on_other_leader(&by);
                self.elector.lease_held_by_other(Some(by), self.now());
            }
            Ok(Campaign::Won(held)) => {
                self.on_store_reached();
                if self.elector.granted(Epoch(held.epoch), requested_at, self.now()) {
                    self.take_over(held);
                }
            }
            Err(error) => self.on_store_unreachable(&error),
        }
    }

    /// Takes over as the leader under a lease that was just won.
    fn take_over(&mut self, held: HeldLease) {
        let (start, leadership) = (self.now(), self.leadership);
        let (stored, overrides, records) = match self.load() {
            Ok(loaded) => loaded,
            Err(error) => {
                // Danger: a leader that started from an empty state would lose every drain and override.
                error!(epoch = held.epoch, %error, "stored state unreadable; lease resigned");
                let _ = leadership.store.resign(held);
                leadership.set_store_error(Some(&error));
                return self.elector.lease_lost(self.now());
            }
        };
        // The lease may have expired while the state was read, and nothing may be published under an expired lease.
        if !self.confirm(held) {
            return self.elector.lease_lost(self.now());
        }
        self.held = Some(held);
        let store = Arc::new(LeasedStore { store: leadership.store.clone(), held });
        self.service.lead(Epoch(held.epoch), stored, overrides, &records, store);
        leadership.on_takeover(held.epoch, (self.now() - start) / NANOS_PER_MILLI);
    }

    /// Reads the state that the previous leader persisted.
    fn load(&self) -> Result<(StoredState, OverrideSet, Records), SharedError> {
        let limits = *self.service.overrides.set().limits();
        let (stored, overrides) = self.leadership.store.load(limits)?;
        Ok((stored, overrides, self.leadership.store.load_records()?))
    }

    /// Renews a lease that was just won; returns whether this instance still leads.
    fn confirm(&mut self, held: HeldLease) -> bool {
        let requested_at = self.now();
        match self.leadership.store.renew(held) {
            Ok(()) => self.elector.lease_renewed(requested_at),
            Err(SharedError::Fenced(_)) => return false,
            Err(error) => self.on_store_unreachable(&error),
        }
        self.elector.leader_epoch(self.now()).is_some()
    }

    fn step_down(&mut self, reason: &str) {
        if let Some(held) = self.held.take() {
            self.service.step_down();
            let timing = &self.timing;
            let sent_ms_ago = self.now().saturating_sub(timing.sent_at) / NANOS_PER_MILLI;
            let took_ms = timing.round_trip / NANOS_PER_MILLI;
            let woke_late_ms = timing.wake_up_delay / NANOS_PER_MILLI;
            warn!(epoch = held.epoch, reason, sent_ms_ago, took_ms, woke_late_ms, "stepped down");
        }
        self.leadership.on_step_down();
        self.elector.lease_lost(self.now());
    }

    fn on_store_reached(&mut self) {
        if let Some(failures) = self.outage.over() {
            info!(store = %self.leadership.store.name(), failures, "lease store reachable again");
        }
        self.leadership.set_store_error(None);
    }

    fn on_store_unreachable(&mut self, error: &SharedError) {
        if let Some(failure) = self.outage.failed(&error.to_string()) {
            warn!(%error, failure, "lease store unreachable");
        }
        self.leadership.set_store_error(Some(error));
        self.elector.store_unavailable(self.now());
    }
}
