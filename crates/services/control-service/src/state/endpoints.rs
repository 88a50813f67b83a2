//! The endpoint list: the state of its source, the control state that is derived from it, and its publication through the xDS hub.

use super::persistence_handle::PersistenceHandle;
use crate::sync::lock;
use rushquay_control_state::{
    ControlConfig, ControlState, EndpointChange, ListOutcome, ListSource, NodeView,
};
use rushquay_endpoints::{EndpointList, Nanos};
use rushquay_overrides::{FleetCapacity, Override};
use rushquay_state::StoredState;
use rushquay_xds_grpc::Hub;
use rushquay_xds_resources::{declare, declare_changed, ClusterNames};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long a restored list waits for the source's first list before it is published. Danger: published at once, it might name nodes
/// that were removed while the service was down; never published, it would be of no use while the source is down too.
const RESTORED_LIST_DELAY: Duration = Duration::from_secs(5);

/// An event from the endpoint source.
#[derive(Debug)]
pub enum SourceEvent {
    /// A complete list, or the changes since an earlier one.
    EndpointList(EndpointList),
    /// The source can't be reached or read.
    Unavailable(String),
}

/// The state of the endpoint source, for the admin page.
#[derive(Clone, Debug, Default)]
pub struct SourceState {
    /// Why the source can't be reached or read; `None` while it can.
    pub error: Option<String>,
    /// Lists received.
    pub lists: u64,
    /// Lists that were rejected.
    pub rejected: u64,
}

/// The endpoint list of this instance.
///
/// Lock order: source, control. The hub's store is locked under both.
pub struct Endpoints {
    hub: Arc<Hub>,
    source_name: String,
    list_source: ListSource,
    config: ControlConfig,
    source: Mutex<SourceState>,
    control: Mutex<ControlState>,
    /// When the wait of a restored list for the source began.
    restored_at: Mutex<Instant>,
}

/// The locked source state. Events of the source block while it is held.
pub struct SourceGuard<'a> {
    endpoints: &'a Endpoints,
    state: MutexGuard<'a, SourceState>,
}

impl<'a> SourceGuard<'a> {
    /// Locks the control state as well. The lock order requires the source to be locked first.
    pub fn lock_control(&self) -> ControlGuard<'a> {
        self.endpoints.lock_control()
    }
}

/// The locked control state, with the operations that publish and persist it.
pub struct ControlGuard<'a> {
    endpoints: &'a Endpoints,
    state: MutexGuard<'a, ControlState>,
}

impl Endpoints {
    pub fn new(hub: Arc<Hub>, config: ControlConfig, list_source: ListSource, source_name: String) -> Self {
        Endpoints {
            hub,
            source_name,
            list_source,
            control: Mutex::new(ControlState::new(config.clone(), list_source)),
            config,
            source: Mutex::default(),
            restored_at: Mutex::new(Instant::now()),
        }
    }

    /// The source of the list, as shown on the admin page.
    pub fn source_name(&self) -> &str {
        &self.source_name
    }

    pub fn source_state(&self) -> SourceState {
        lock(&self.source).clone()
    }

    /// The version of the current list; `None` before the first one.
    pub fn version(&self) -> Option<u64> {
        lock(&self.control).version()
    }

    pub fn nodes(&self) -> Vec<NodeView> {
        lock(&self.control).nodes()
    }

    /// The capacity of the fleet, against which override limits are checked.
    pub fn fleet(&self) -> Vec<FleetCapacity> {
        lock(&self.control).cache_capacities()
    }

    /// Blocks the source's events until the guard is dropped.
    pub fn lock_source(&self) -> SourceGuard<'_> {
        SourceGuard { endpoints: self, state: lock(&self.source) }
    }

    fn lock_control(&self) -> ControlGuard<'_> {
        ControlGuard { endpoints: self, state: lock(&self.control) }
    }

    /// Restores a persisted list, if there is one.
    pub fn restore(&self, stored: StoredState) {
        if let Some(version) = stored.version {
            info!(nodes = stored.nodes.len(), list = version, "endpoint list restored");
            lock(&self.control).restore(version, stored.nodes, self.hub.now());
        }
    }

    /// Processes an event of the source, and publishes the result if this instance leads.
    pub fn on_source_event(
        &self,
        event: SourceEvent,
        persistence: &PersistenceHandle,
        is_leading: impl Fn() -> bool,
    ) {
        let mut source = self.lock_source();
        let list = match event {
            SourceEvent::Unavailable(error) => {
                if source.state.error.as_ref() != Some(&error) {
                    let name = &self.source_name;
                    warn!(source = %name, %error, "endpoint source unavailable; last list stays in use");
                }
                source.state.error = Some(error);
                return;
            }
            SourceEvent::EndpointList(list) => list,
        };
        source.state.error = None;
        source.state.lists += 1;
        let mut control = source.lock_control();
        let now = self.hub.now();
        match control.state.process_list(&list, now) {
            ListOutcome::EmptyListIgnored => {
                source.state.rejected += 1;
                warn!(list = list.version, "endpoint list without any node rejected");
            }
            _ if !is_leading() => {}
            ListOutcome::First => control.publish_all(),
            // The first list after a restart that restored an earlier one.
            ListOutcome::Changed(_) if control.awaits_first_publication() => control.publish_all(),
            ListOutcome::Changed(change) => control.publish(&change),
        }
        control.persist(persistence);
    }

    /// Applies the live overrides to the list and publishes the endpoints that change.
    pub fn apply_overrides(
        &self,
        live_overrides: impl FnOnce() -> (Vec<Override>, Nanos),
        unix_now: impl FnOnce() -> Nanos,
    ) {
        let mut control = self.lock_control();
        let (live, cold_after) = live_overrides();
        let change = control.state.set_overrides(live, unix_now(), cold_after);
        // Nothing is published before the first list.
        if self.hub.store().is_open() {
            control.publish(&change);
        }
    }

    /// Advances the list's timers, and publishes the endpoints that change if this instance leads.
    pub fn tick(&self, persistence: &PersistenceHandle, is_leading: impl Fn() -> bool) {
        let mut control = self.lock_control();
        let change = control.state.tick(self.hub.now());
        if !is_leading() {
            return;
        }
        control.publish(&change);
        if control.awaits_first_publication() && lock(&self.restored_at).elapsed() >= RESTORED_LIST_DELAY {
            warn!("no endpoint list from the source yet; serving the restored list");
            control.publish_all();
        }
        if !change.is_empty() {
            control.persist(persistence);
        }
    }

    /// Restarts the wait for the source's first list.
    pub fn restart_restored_delay(&self) {
        *lock(&self.restored_at) = Instant::now();
    }
}

impl ControlGuard<'_> {
    /// The list that this instance received from the source while it did not lead.
    pub fn followed(&self) -> Option<EndpointList> {
        self.state.current_list()
    }

    /// A new control state, restored from a persisted list.
    pub fn restored_state(&self, stored: &StoredState, now: Nanos) -> ControlState {
        let mut state = ControlState::new(self.endpoints.config.clone(), self.endpoints.list_source);
        if let Some(version) = stored.version {
            state.restore(version, stored.nodes.clone(), now);
        }
        state
    }

    /// Replaces the control state.
    pub fn replace(&mut self, state: ControlState) {
        *self.state = state;
    }

    /// Whether there is a list and nothing has been published yet.
    fn awaits_first_publication(&self) -> bool {
        self.state.version().is_some() && !self.endpoints.hub.store().is_open()
    }

    /// Declares all endpoints and opens the store to subscribers.
    pub fn publish_all(&self) {
        let [cluster, origin] = self.state.cluster_names();
        let names = ClusterNames { cluster: cluster.to_owned(), origin: origin.to_owned() };
        let clusters = self.state.clusters();
        self.endpoints.hub.change(|store, now| {
            declare(store, &names, clusters, now);
            store.open();
        });
    }

    /// Declares the endpoints that changed.
    fn publish(&self, change: &EndpointChange) {
        if change.is_empty() {
            return;
        }
        self.endpoints.hub.change(|store, now| {
            let clusters = self.state.cluster_names().into_iter().zip(self.state.clusters());
            for (i, (cluster, nodes)) in clusters.enumerate() {
                if !change.changed[i].is_empty() || !change.removed[i].is_empty() {
                    declare_changed(store, cluster, nodes, &change.changed[i], &change.removed[i], now);
                }
            }
        });
    }

    /// Queues the list for the store's writer thread, without waiting for the write.
    pub fn persist(&self, persistence: &PersistenceHandle) {
        if let (Some(persistence), Some(version)) = (persistence.current(), self.state.version()) {
            persistence.write_endpoints(version, self.state.stored_endpoints());
        }
    }
}
