//! The proxy process: starts its components, reports readiness, and hands its state over to a successor.

use crate::proxy::clock::Clock;
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::layers::ConfigLayers;
use crate::proxy::config::reload;
use crate::proxy::config::Config;
use crate::proxy::control::policy_client::PolicyClient;
use crate::proxy::control::rollout_client::RolloutClient;
use crate::proxy::control::subscription;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::discovery::node_starts::NodeStarts;
use crate::proxy::discovery::{self, Discovery};
use crate::proxy::engine::Engine;
use crate::proxy::envoy;
use crate::proxy::http::request_ids::RequestIds;
use crate::proxy::listener::admission::{Congestion, ConnectionLimits, ConnectionSlots};
use crate::proxy::listener::client_registry::ClientRegistry;
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::listener::listener_socket::{self, ListenSocket};
use crate::proxy::listener::pause_detection;
use crate::proxy::listener::shutdown_deadline::ShutdownDeadline;
use crate::proxy::observability::admin::{self, AdminListener};
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::process::handover::{self, HandoverServer, ListenerOwner};
use crate::proxy::process::shared_claims;
use crate::proxy::process::signals::SignalFlag;
use crate::proxy::process::slow_start;
use crate::proxy::process::startup::{Inherited, StartupPlan, TakeOver};
use crate::proxy::process::supervised::Supervised;
use crate::proxy::tasks::{record_panic, BackgroundTask, BackgroundTasks, TaskPanic};
use crate::proxy::upstream::backend::Backend;
use crate::proxy::upstream::load_assignment::ClusterSet;
use crate::proxy::upstream::Upstreams;
use rushquay_admin::{RequestMetrics, ServingState};
use rushquay_endpoints::WatchMode;
use rushquay_handover::{HandoverState, Incumbent, ResourceShare};
use rushquay_invariants::{may_serve, NotReady, ServeFacts};
use rushquay_lease::Epoch;
use rushquay_xds::client::Outage;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, Instant};

/// Interval of the sweep over idle upstream connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the check for stalled clients and of the status update.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Descriptors outside the budget: standard streams, the listener, those of the runtime and of discovery.
const OWN_DESCRIPTORS: usize = 20 + discovery::DESCRIPTORS;
/// A running proxy.
pub(crate) struct Server {
    pub backend: Backend,
    pub slots: ConnectionSlots,
    /// Descriptors outside the budget.
    reserved_descriptors: usize,
    /// Graceful shutdown has begun.
    pub draining: Cell<bool>,
    /// Connections are accepted: next to an incumbent once `may_serve` permits it, otherwise from the start. This is all that the supervisor
    /// checks. Danger: it kills a process that does not report this, and a process that waits for an endpoint or a policy lease must still
    /// be running when that arrives.
    serving: Cell<bool>,
    /// When a connection was last accepted.
    pub last_connection_at: Cell<Instant>,
    /// When this process ends.
    pub shutdown_deadline: ShutdownDeadline,
    pub clients: Rc<ClientRegistry>,
    /// Connections that were accepted and have no slot yet.
    pub waiting: RefCell<VecDeque<TcpStream>>,
    /// For how long connections have had to wait for slots.
    pub congestion: Congestion,
    /// Failures of accept for lack of descriptors or memory.
    pub shortage: RefCell<Outage>,
    pub request_ids: Rc<RequestIds>,
    /// The last connection number, for the request trace.
    connections: Cell<u64>,
    pub metrics: Arc<RequestMetrics>,
    /// `None` if this proxy takes no part in rollouts.
    pub rollout: Option<Rc<RolloutClient>>,
    /// `None` if this proxy uses no policy leases.
    pub policy: Option<Rc<PolicyClient>>,
}

/// Serves until `stop`, then shuts down gracefully. On `hangup`, switches to another discovery if the configuration file names one. Calls
/// `on_listening` with the address it listens on.
///
/// # Errors
/// The process cannot start, for example because the address cannot be listened on.
pub async fn run(
    config: Config,
    stop: impl Future<Output = ()>,
    hangup: SignalFlag,
    on_listening: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    let mut config = config;
    let whole = ResourceShare { sockets: config.sockets, memory: config.memory };
    let handover_path = handover::meeting_place(config.listen);
    let plan = StartupPlan::find(&mut config, handover_path.as_deref(), whole).await?;
    let is_beside = plan.is_beside();
    let StartupPlan { listening, bound, share, mut predecessor, mut inherited } = plan;
    crate::proxy::log(format_args!("listening on {bound}"));
    crate::proxy::observability::fleet_stats::start();
    request_trace::start();
    request_trace::event(|| Event::State { state: "starting" });
    let metrics = RequestMetrics::new(&config.names.classes);
    let tasks = BackgroundTasks::new(metrics.clone());
    let mut stop = std::pin::pin!(tasks.stopped_or_failed(stop));
    let operators = config.admin.map(|admin| AdminListener::start(admin, metrics.clone())).transpose()?;
    if let Some(operators) = &operators {
        crate::proxy::log(format_args!("operators at {}", operators.addr));
    }
    let reserved = reserved_descriptors(&config, operators.is_some(), handover_path.is_some());
    let slots = ConnectionSlots::new(ConnectionLimits::of(share, reserved));
    // Danger: two clocks that are started before and after a step of the wall clock differ by that step forever, and timestamps of one
    // are compared with those of the other. All components share this clock.
    let clock = Clock::by(&config.clocks);
    let host = config.supervisor.as_ref().map(|h| h.socket.clone());
    let basis = ProcessBasis { clock, descriptors: &slots.served, metrics: &metrics, tasks: &tasks };
    let Components { front, rollout, policy } = match config.envoy.clone() {
        Some(source) => envoy_clusters(config, source, bound, &basis)?,
        None => single_cluster(config, &basis, hangup, &mut inherited)?,
    };
    // Danger: a caller that receives the address assumes that the process has started, so nothing that may fail at startup may follow.
    on_listening(bound);
    front.inherit_slow_start_allowances(&inherited.cold.iter().map(slow_start::read).collect::<Vec<_>>());
    tasks.spawn(BackgroundTask::PauseDetection, pause_detection::detect_pauses());
    tasks.spawn(BackgroundTask::IdleSweep, sweep_idle_connections(front.clone()));
    // The incumbent's configuration applies before the control service can be reached.
    if let (Some(given), Some(rollout)) = (inherited.settings, &rollout) {
        rollout.inherit(&given);
    }
    let server = Rc::new(Server {
        backend: front,
        slots,
        reserved_descriptors: reserved,
        draining: Cell::new(false),
        serving: Cell::new(false),
        last_connection_at: Cell::new(Instant::now()),
        shutdown_deadline: ShutdownDeadline::default(),
        clients: Rc::default(),
        waiting: RefCell::default(),
        congestion: Congestion::default(),
        shortage: RefCell::default(),
        request_ids: RequestIds::new(handover_path.as_deref().map(shared_claims::log_path)),
        connections: Cell::new(0),
        metrics: metrics.clone(),
        rollout,
        policy,
    });
    if predecessor.is_some() {
        server.request_ids.join();
    }
    server.publish_status();
    if let Some(socket) = host {
        let reporter = server.clone();
        let heartbeats = Supervised::send_heartbeats(socket, move || reporter.serving.get());
        tasks.spawn(BackgroundTask::Heartbeats, heartbeats);
    }
    tasks.spawn(BackgroundTask::ClientWatch, watch_clients(server.clone()));
    if is_beside {
        match server.wait_to_take_over(&mut stop, &mut predecessor).await {
            TakeOver::Stopped => return tasks.result(),
            TakeOver::Ready => {}
            TakeOver::PredecessorGone => predecessor = None,
        }
    }
    let listener = match listening {
        ListenSocket::Alone(listener) => listener,
        ListenSocket::Beside(socket) => {
            listener_socket::listen(socket).map_err(|e| format!("PROXY_LISTEN: {bound}: {e}"))?
        }
    };
    let listener = Rc::new(listener);
    let resource_holder = if is_beside { Incumbent::beside(whole, share) } else { Incumbent::new(whole) };
    let handover_server =
        HandoverServer::start(handover_path.as_deref(), listener.clone(), resource_holder, server.clone());
    server.succeed(predecessor, is_beside, handover_server.clone()).await;
    // Danger: once this process reports ready, the incumbent may be ended or the next version started immediately. Everything must be
    // ready before.
    server.serving.set(true);
    server.publish_status();
    request_trace::event(|| Event::State { state: "serving" });
    let mut accepting = Box::pin(server.clone().accept_connections(listener.clone()));
    tokio::select! {
        biased;
        () = &mut stop => {}
        never = &mut accepting => match never {},
    }
    server.drain(accepting, listener, &handover_server).await;
    tasks.result()
}

/// Returns the number of descriptors outside the budget for connections.
fn reserved_descriptors(config: &Config, has_operators: bool, has_handover: bool) -> usize {
    OWN_DESCRIPTORS
        + config.control.as_ref().map_or(0, |_| subscription::DESCRIPTORS)
        + config.envoy.as_ref().map_or(0, |_| envoy::DESCRIPTORS)
        + if has_operators { admin::DESCRIPTORS } else { 0 }
        + if has_handover { handover::DESCRIPTORS } else { 0 }
}

/// Closes connections to nodes that have been idle for too long, for as long as the process runs.
async fn sweep_idle_connections(backend: Backend) {
    loop {
        sleep(IDLE_SWEEP_INTERVAL).await;
        backend.sweep();
    }
}

/// Closes stalled client connections and publishes the status, for as long as the process runs.
async fn watch_clients(server: Rc<Server>) {
    loop {
        sleep(STATUS_INTERVAL).await;
        let now = Instant::now();
        server.clients.borrow().iter().for_each(|client| client.close_if_stalled(now));
        server.publish_status();
    }
}

impl ListenerOwner for Server {
    fn on_alone(&self) {
        self.request_ids.stop_sharing();
    }

    fn record_panic(&self, panic: &TaskPanic) {
        record_panic(&self.metrics, "a hand-over", panic);
    }

    fn used_descriptors(&self) -> usize {
        self.reserved_descriptors + self.slots.taken()
    }

    fn handover_state(&self) -> HandoverState {
        // Danger: the successor reads it as soon as it has the offer.
        self.request_ids.share();
        let settings = self.rollout.as_ref().and_then(|r| r.assignment_text());
        let cold = self.backend.release_slow_start_allowances().iter().map(slow_start::offered).collect();
        let policy = self.policy.as_ref().map(|p| p.handover().text());
        let control = self.backend.control_handover();
        let list = self.backend.endpoint_list();
        let starts = self.backend.start_clock_handover();
        let mut state = HandoverState { list, settings, policy, cold, control, starts };
        let dropped = state.fit_message();
        if dropped > 0 {
            crate::proxy::log(format_args!(
                "hand-over: {dropped} statements of the control service do not fit; the new process has to hear them itself"
            ));
        }
        state
    }

    fn apply_share(&self, share: ResourceShare) {
        self.slots.resize(ConnectionLimits::of(share, self.reserved_descriptors));
        while self.slots.served.taken() > self.slots.served.most() && self.backend.close_oldest_idle() {}
    }
}

/// The components that answer requests, and those that take part in rollouts and policies.
struct Components {
    front: Backend,
    rollout: Option<Rc<RolloutClient>>,
    policy: Option<Rc<PolicyClient>>,
}

/// What all components of the process share.
struct ProcessBasis<'a> {
    clock: Clock,
    descriptors: &'a Rc<Descriptors>,
    metrics: &'a Arc<RequestMetrics>,
    tasks: &'a Rc<BackgroundTasks>,
}

/// Starts the clusters of an Envoy configuration.
fn envoy_clusters(
    config: Config,
    source: envoy::EnvoySource,
    listen: SocketAddr,
    basis: &ProcessBasis<'_>,
) -> Result<Components, String> {
    let (descriptors, metrics, clock) = (basis.descriptors.clone(), basis.metrics.clone(), basis.clock);
    let pools = ClusterSet::new(config.settings, config.names, config.seed, descriptors, metrics, clock);
    let me = envoy::ProxyIdentity { name: config.name, seed: config.seed, listen, clock };
    let applying = envoy::follow(source, pools.clone(), me)?;
    basis.tasks.spawn(BackgroundTask::EnvoyClusters, applying);
    Ok(Components { front: Backend::Clusters(pools), rollout: None, policy: None })
}

/// Starts one decision module on the endpoint list of the proxy's own discovery, merged with the control service's list if it subscribes to
/// one.
fn single_cluster(
    config: Config,
    basis: &ProcessBasis<'_>,
    hangup: SignalFlag,
    inherited: &mut Inherited,
) -> Result<Components, String> {
    let metrics = basis.metrics.clone();
    let discovery = config.discovery.ok_or("discovery is missing, and PROXY_DISCOVERY is not set")?;
    let subscription = subscription::ControlSubscription::of(&config);
    let acting = Rc::new(ActiveConfig::new(config.settings, config.names));
    let settings = &acting.settings;
    let watch_mode = match settings.must_subscribe {
        true => WatchMode::Polled { within: settings.max_subscribe_delay },
        false => WatchMode::Pushed { grace: config.drain_grace },
    };
    let upstreams =
        Upstreams::new(basis.descriptors.clone(), metrics.clone(), config.connect_timeout, settings);
    let known = config.known;
    let discovery = Discovery::new(discovery, known.as_ref().map(|known| known.version), watch_mode);
    let now = basis.clock.now();
    let mut starts = NodeStarts::inherited(inherited.starts.as_ref(), &inherited.cold, now);
    let servers = starts.first_listed(known.as_ref(), now);
    let engine = Engine::new(acting, config.seed, &servers, upstreams.clone(), basis.clock);
    let nodes = EndpointFeed::new(
        engine.clone(),
        metrics.clone(),
        subscription.as_ref().map(|s| s.limits()),
        known.as_ref(),
        starts,
    );
    let inherited_control = inherited.control.take();
    let known_epoch = inherited_control.as_ref().map(|control| Epoch::from_name(&control.view.process));
    inherited_control.into_iter().for_each(|control| nodes.inherit_control(control));
    let (discovery_changes, changed) = mpsc::unbounded_channel();
    basis.tasks.spawn(BackgroundTask::Discovery, discovery.follow(nodes.clone(), changed));
    let hosted = config.supervisor;
    let (layers, wake_up) = (ConfigLayers::new(engine.clone(), config.own), Arc::new(Notify::new()));
    let rollout = config
        .rollout
        .map(|source| RolloutClient::new(source, hosted, layers.clone(), metrics, wake_up.clone()));
    let policy = config.policy.map(|source| {
        PolicyClient::new(source, layers, config.clocks, inherited.policy.take(), wake_up.clone())
    });
    if let Some(subscription) = subscription {
        let parts =
            subscription::StreamClients { rollout: rollout.clone(), policy: policy.clone(), wake: wake_up };
        basis.tasks.spawn(
            BackgroundTask::ControlSubscription,
            subscription.follow(nodes.clone(), parts, known_epoch),
        );
    }
    basis.tasks.spawn(BackgroundTask::Reload, reload::follow(hangup, discovery_changes));
    Ok(Components { front: Backend::Single { engine, upstreams, nodes }, rollout, policy })
}

impl Server {
    /// Returns the number of the next connection.
    pub fn next_connection(&self) -> u64 {
        self.connections.set(self.connections.get() + 1);
        self.connections.get()
    }

    /// Updates the status, and the gauges that change over time without an event.
    pub fn publish_status(&self) {
        let (listed, avoided) = self.backend.endpoint_counts();
        self.metrics.members.set(listed as u64);
        self.metrics.unavailable.set(avoided as u64);
        self.metrics.stand(match self.readiness() {
            Err(NotReady::Draining) => ServingState::Draining,
            Ok(()) if self.serving.get() => ServingState::Serving,
            _ => ServingState::Starting,
        });
    }

    /// Returns whether this process may report that it serves, or else the reason.
    pub fn readiness(&self) -> Result<(), NotReady> {
        may_serve(&self.serve_facts())
    }

    /// Returns the facts that `may_serve` decides by.
    pub fn serve_facts(&self) -> ServeFacts {
        ServeFacts {
            node_known: self.backend.can_serve(),
            policy_permits: self.policy.as_ref().is_none_or(|p| p.permits_serving()),
            draining: self.draining.get(),
        }
    }
}
