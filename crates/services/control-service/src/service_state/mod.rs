//! State that the tasks of the control service share. Endpoint lists arrive from the source and commands from the admin API; the xDS
//! hub publishes the result. Among several instances only the leader publishes and accepts commands.
//!
//! The lock order is documented in [`crate::state`].

mod override_commands;

pub use override_commands::OverrideOutcome;

use crate::durable_store::DurableStore;
use crate::leadership::Leadership;
use crate::persistence::{Persistence, Records};
use crate::policy::PolicyController;
use crate::rollout::RolloutController;
use crate::settings::Settings;
use crate::state::{
    ChangeLock, Endpoints, LeaderContext, LeadershipGate, Overrides, PersistenceHandle, SourceEvent,
};
use crate::time::{Clocks, ServiceClock};
use rushquay_control_state::ListSource;
use rushquay_lease::Epoch;
use rushquay_overrides::{Override, OverrideSet};
use rushquay_state::StoredState;
use rushquay_xds::Store;
use rushquay_xds_grpc::Hub;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::info;

/// All components of the service.
pub struct ServiceState {
    /// The hub, the clock, the lease and the store, which controllers use.
    pub leader: LeaderContext,
    /// The endpoint list.
    pub endpoints: Endpoints,
    /// The operators' overrides.
    pub overrides: Overrides,
    /// Rollouts; `None` if they are disabled.
    pub rollout: Option<RolloutController>,
    /// Policy changes; `None` if they are disabled.
    pub policies: Option<PolicyController>,
    /// Serializes the start of rollouts and policy changes.
    pub change_lock: ChangeLock,
    settings: Settings,
}

impl ServiceState {
    /// An empty state. With standby instances configured, nothing is published until this one leads.
    pub(crate) fn new(
        settings: Settings,
        list_source: ListSource,
        source_name: String,
        leadership: Option<Arc<Leadership>>,
        clocks: Clocks,
    ) -> Arc<ServiceState> {
        let clock = Arc::new(ServiceClock::new(clocks));
        let hub_clock = clock.clone();
        let store = Store::new(&incarnation_name(Epoch(0)), settings.control.removals);
        let hub = Hub::with_clock(store, settings.limits(), Box::new(move || hub_clock.now()));
        let gate = LeadershipGate::new(hub.clone(), leadership);
        let state = Arc::new(ServiceState {
            endpoints: Endpoints::new(hub.clone(), settings.control.clone(), list_source, source_name),
            overrides: Overrides::new(settings.overrides.policy()),
            rollout: settings.rollout.map(RolloutController::new),
            policies: settings.policy.clone().map(PolicyController::new),
            change_lock: ChangeLock::default(),
            leader: LeaderContext { hub, clock, gate, persistence: PersistenceHandle::default() },
            settings,
        });
        state.subscribe_to_streams();
        state
    }

    /// Subscribes the controllers to the events of subscribers' streams.
    fn subscribe_to_streams(self: &Arc<Self>) {
        if self.rollout.is_none() && self.policies.is_none() {
            return;
        }
        // Weak, because the state owns the hub: a strong reference would be a cycle.
        let subscriber = Arc::downgrade(self);
        self.leader.hub.on_stream_event(move |node, event| {
            let Some(state) = subscriber.upgrade() else { return };
            let now = state.leader.unix_now();
            state.policies.iter().for_each(|p| p.on_stream_event(node, &event));
            state.rollout.iter().for_each(|r| r.on_stream_event(node, event.clone(), now));
        });
    }

    /// The period of the rollout controller; `None` if rollouts are disabled.
    pub(crate) fn rollout_period(&self) -> Option<Duration> {
        self.settings.rollout.map(|r| r.period())
    }

    /// The period of the policy controller; `None` if policy changes are disabled.
    pub(crate) fn policy_period(&self) -> Option<Duration> {
        self.policies.as_ref().map(PolicyController::period)
    }

    /// Restores the state file of a single instance after a restart.
    pub(crate) fn restore_from(&self, path: &Path) {
        let limits = self.settings.overrides.policy();
        let (persistence, stored, overrides, records) = Persistence::open(path, limits);
        self.endpoints.restore(stored);
        self.overrides.lock_persisted_mark().reset_to(&overrides);
        self.overrides.replace(overrides);
        self.leader.persistence.install(persistence);
        self.rollout.iter().for_each(|r| r.lead(&records, self.leader.unix_now()));
        self.policies.iter().for_each(|p| p.lead(&records, &self.leader));
        // Removes overrides that expired while the service was down, and applies the others before anything is published.
        self.expire_overrides();
        self.apply_overrides();
    }

    /// Takes over as the leader from the state that the previous leader persisted. The list that this instance received from the source
    /// meanwhile is processed on top, like the first list after a restart.
    pub(crate) fn lead(
        &self,
        epoch: Epoch,
        stored: StoredState,
        mut overrides: OverrideSet,
        records: &Records,
        store: Arc<dyn DurableStore>,
    ) {
        // Blocks events of the source during the takeover.
        let source = self.endpoints.lock_source();
        let mut persisted_mark = self.overrides.lock_persisted_mark();
        let mut control = source.lock_control();
        let (now, unix_now) = (self.leader.hub.now(), self.leader.unix_now());
        let followed = control.followed();
        let mut new_state = control.restored_state(&stored, now);
        persisted_mark.reset_to(&overrides);
        overrides.expire(unix_now).iter().for_each(log_expired);
        let cold_after = overrides.limits().cold_after;
        let _ = new_state.set_overrides(overrides.live().cloned().collect(), unix_now, cold_after);
        self.overrides.replace(overrides);
        if let Some(list) = &followed {
            let _ = new_state.process_list(list, now);
        }
        control.replace(new_state);
        self.leader.persistence.install(Persistence::on(store, stored));
        self.endpoints.restart_restored_delay();
        // A write that failed under an earlier lease does not concern this one.
        self.overrides.clear_unpersisted();
        self.rollout.iter().for_each(|r| r.lead(records, unix_now));
        self.policies.iter().for_each(|p| p.lead(records, &self.leader));
        self.leader.hub.serve(Store::new(&incarnation_name(epoch), self.settings.control.removals));
        if followed.is_some() {
            control.publish_all();
        }
        control.persist(&self.leader.persistence);
        drop((control, persisted_mark, source));
        self.persist_overrides();
    }

    /// Stops publishing and accepting commands, and keeps following the source.
    pub(crate) fn step_down(&self) {
        self.leader.hub.suspend();
        self.rollout.iter().for_each(RolloutController::step_down);
        self.policies.iter().for_each(PolicyController::step_down);
        self.leader.persistence.remove();
        self.overrides.replace(OverrideSet::new(self.settings.overrides.policy()));
    }

    /// Processes an event of the endpoint source.
    pub(crate) fn on_source_event(&self, event: SourceEvent) {
        self.endpoints.on_source_event(event, &self.leader.persistence, || self.leader.is_leading());
    }

    /// Advances the list's timers and checks the clock for jumps.
    pub(crate) fn tick(&self) {
        self.leader.clock.check_for_jump();
        self.endpoints.tick(&self.leader.persistence, || self.leader.is_leading());
    }
}

fn log_expired(expired: &Override) {
    info!(id = expired.id, effect = %expired.effect, on = %expired.scope, "override has expired");
}

/// A name that is unique to this process and its term as the leader. Danger: subscribers distinguish an old process from a new one by it.
fn incarnation_name(epoch: Epoch) -> String {
    static STARTED: AtomicU64 = AtomicU64::new(0);
    #[expect(clippy::disallowed_methods, reason = "names an incarnation; no duration is measured by it")]
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    epoch.name(&format!("rushquay-{:x}-{:x}-{number}", now.as_nanos(), std::process::id()))
}
