//! The proxy process: its components, when it reports ready, and what it hands over to a successor.

use crate::api::ColdEndpointAllowance;
use crate::proxy::clock::Clock;
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::layers::ConfigLayers;
use crate::proxy::config::reload;
use crate::proxy::config::Config;
use crate::proxy::control::policy_client::{PolicyClient, PolicyHandover};
use crate::proxy::control::rollout_client::RolloutClient;
use crate::proxy::control::subscription;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::discovery::{self, Discovery};
use crate::proxy::engine::Engine;
use crate::proxy::envoy;
use crate::proxy::listener::client_connection::Client;
use crate::proxy::listener::descriptors::Descriptors;
use crate::proxy::listener::listener_socket::{self, ListenSocket};
use crate::proxy::listener::pause_detection;
use crate::proxy::observability::admin::{self, AdminListener};
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::process::handover::{self, HandoverServer, Listening};
use crate::proxy::process::signals::SignalFlag;
use crate::proxy::process::startup::{StartupPlan, TakeOver};
use crate::proxy::process::supervised::Supervised;
use crate::proxy::upstream::backend::Backend;
use crate::proxy::upstream::load_assignment::ClusterSet;
use crate::proxy::upstream::Upstreams;
use crate::proxy::{BODY_MOST, BUFFER_MOST};
use hyper::header::HeaderValue;
use rushquay_admin::{RequestMetrics, ServingState};
use rushquay_endpoints::WatchMode;
use rushquay_handover::{HandoverState, Incumbent, ResourceShare, SlowStartAllowance};
use rushquay_invariants::{may_serve, NotReady, ServeFacts};
use rushquay_xds::client::Outage;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
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
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Descriptors outside the budget: standard streams, the listener, the runtime's own, discovery's.
const OWN_DESCRIPTORS: usize = 20 + discovery::DESCRIPTORS;
/// Memory in bytes that does not belong to any connection.
const OWN_MEMORY: usize = 8 << 20;
/// A running proxy.
pub(crate) struct Server {
    pub backend: Backend,
    pub descriptors: Rc<Descriptors>,
    /// Descriptors outside the budget.
    reserved_descriptors: usize,
    /// Graceful shutdown has begun.
    pub draining: Cell<bool>,
    /// Connections are accepted: next to an incumbent once `may_serve` permits it, otherwise from the start. The supervisor decides by this
    /// alone. Danger: it kills a process that does not report this, and one that waits for an endpoint or a policy lease must still be there
    /// when that arrives.
    serving: Cell<bool>,
    /// When a connection was last accepted.
    pub last_connection_at: Cell<Instant>,
    /// When this process ends; set when graceful shutdown begins.
    pub ends_at: Cell<Option<Instant>>,
    pub clients: RefCell<Vec<Rc<Client>>>,
    /// Connections that were accepted and have no descriptor permit yet.
    pub waiting: RefCell<VecDeque<TcpStream>>,
    /// Failures of accept for lack of descriptors or memory.
    pub shortage: RefCell<Outage>,
    /// The ids of all unanswered requests. The hash is keyed, since clients choose the ids.
    pub open_request_ids: RefCell<HashSet<HeaderValue>>,
    /// Notified when a client connection has closed.
    pub client_left: Notify,
    /// The last connection number, for the request trace.
    connections: Cell<u64>,
    pub metrics: Arc<RequestMetrics>,
    /// Its part in rollouts; `None`: it has none.
    pub rollout: Option<Rc<RolloutClient>>,
    /// Its part in policies; `None`: it has none.
    pub policy: Option<Rc<PolicyClient>>,
}

/// Serves until `stop`, then shuts down gracefully; on `hangup` follows another discovery if the file names one. `told` is called
/// with the address it listens on.
///
/// # Errors
/// An address that can't be listened on.
pub async fn run(
    config: Config,
    stop: impl Future<Output = ()>,
    hangup: SignalFlag,
    told: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    let mut stop = std::pin::pin!(stop);
    let mut config = config;
    let whole = ResourceShare { sockets: config.sockets, memory: config.memory };
    let meeting = handover::meeting_place(config.listen);
    let beginning = StartupPlan::find(&mut config, meeting.as_deref(), whole).await?;
    let is_beside = beginning.is_beside();
    let StartupPlan { listening, bound, share, mut predecessor, inherited } = beginning;
    crate::proxy::log(format_args!("listening on {bound}"));
    crate::proxy::observability::fleet_stats::start();
    request_trace::start();
    request_trace::event(|| Event::State { state: "starting" });
    let ledger = RequestMetrics::new(&config.names.classes);
    let operators = config.admin.map(|admin| AdminListener::start(admin, ledger.clone())).transpose()?;
    if let Some(operators) = &operators {
        crate::proxy::log(format_args!("operators at {}", operators.addr));
    }
    let own = reserved_descriptors(&config, operators.is_some(), meeting.is_some());
    let descriptors = Descriptors::new(capacity(share, own));
    // Danger: two clocks that are started around a step of the wall clock differ by that step forever, and timestamps of one are
    // compared with those of the other.
    let clock = Clock::by(&config.clocks);
    let host = config.hosted.as_ref().map(|h| h.socket.clone());
    let Components { front, rollout, policy } = match config.envoy.clone() {
        Some(source) => {
            let (settings, names) = (config.settings, config.names);
            let pools =
                ClusterSet::new(settings, names, config.seed, descriptors.clone(), ledger.clone(), clock);
            let me = envoy::Me { name: config.name, seed: config.seed, listen: bound, clock };
            envoy::follow(source, pools.clone(), me)?;
            Components { front: Backend::Clusters(pools), rollout: None, policy: None }
        }
        None => single_cluster(config, clock, descriptors.clone(), ledger.clone(), hangup, inherited.policy)?,
    };
    // Danger: a caller that is told the address takes the process for started; nothing that may fail follows.
    told(bound);
    let left = |c: SlowStartAllowance| ColdEndpointAllowance {
        server: c.node,
        started_at: c.started,
        remaining_requests: c.left,
    };
    front.inherit_slow_start_allowances(&inherited.cold.into_iter().map(left).collect::<Vec<_>>());
    tokio::task::spawn_local(pause_detection::watch());
    tokio::task::spawn_local(sweep_idle_connections(front.clone()));
    // The incumbent's configuration applies before the control service can be reached.
    if let (Some(given), Some(rollout)) = (inherited.settings, &rollout) {
        rollout.inherit(&given);
    }
    let server = Rc::new(Server {
        backend: front,
        descriptors,
        reserved_descriptors: own,
        draining: Cell::new(false),
        serving: Cell::new(false),
        last_connection_at: Cell::new(Instant::now()),
        ends_at: Cell::new(None),
        clients: RefCell::default(),
        waiting: RefCell::default(),
        shortage: RefCell::default(),
        open_request_ids: RefCell::default(),
        client_left: Notify::new(),
        connections: Cell::new(0),
        metrics: ledger.clone(),
        rollout,
        policy,
    });
    server.publish_status();
    if let Some(socket) = host {
        let lives = server.clone();
        tokio::task::spawn_local(Supervised::send_heartbeats(socket, move || lives.serving.get()));
    }
    tokio::task::spawn_local(watch_clients(server.clone()));
    if is_beside {
        match server.wait_to_take_over(&mut stop, &mut predecessor).await {
            TakeOver::Stopped => return Ok(()),
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
    let holder = if is_beside { Incumbent::beside(whole, share) } else { Incumbent::new(whole) };
    let keeper = HandoverServer::start(meeting.as_deref(), listener.clone(), holder, server.clone());
    server.succeed(predecessor, is_beside, keeper.clone()).await;
    // Danger: whoever sees this process ready may immediately end the incumbent or start the next version. Everything must be ready.
    server.serving.set(true);
    server.publish_status();
    request_trace::event(|| Event::State { state: "serving" });
    let mut accepting = Box::pin(server.clone().accept_all(listener.clone()));
    tokio::select! {
        biased;
        () = stop => {}
        never = &mut accepting => match never {},
    }
    server.drain(accepting, listener, &keeper).await;
    Ok(())
}

/// Descriptors outside the budget for connections.
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

/// Looks after slow clients and publishes the status, for as long as the process runs.
async fn watch_clients(server: Rc<Server>) {
    loop {
        sleep(STATUS_INTERVAL).await;
        let now = Instant::now();
        server.clients.borrow().iter().for_each(|client| client.look(now));
        server.publish_status();
    }
}

/// How many connections fit. Danger: each of them may hold a whole body and input that is read ahead; the bound is such that
/// memory suffices even if all of them do.
fn capacity(share: ResourceShare, own: usize) -> usize {
    let room = share.memory.saturating_sub(OWN_MEMORY) / (BODY_MOST + 2 * BUFFER_MOST);
    share.sockets.saturating_sub(own).min(room).max(8)
}

impl Listening for Server {
    fn held(&self) -> usize {
        self.reserved_descriptors + self.descriptors.taken()
    }

    fn known(&self) -> HandoverState {
        let settings = self.rollout.as_ref().and_then(|r| r.assignment_text());
        let cold = |c: ColdEndpointAllowance| SlowStartAllowance {
            node: c.server,
            started: c.started_at,
            left: c.remaining_requests,
        };
        let cold = self.backend.release_slow_start_allowances().into_iter().map(cold).collect();
        let policy = self.policy.as_ref().map(|p| p.handover().text());
        HandoverState { list: self.backend.endpoint_list(), settings, policy, cold }
    }

    fn hold(&self, share: ResourceShare) {
        self.descriptors.resize(capacity(share, self.reserved_descriptors));
        while self.descriptors.taken() > self.descriptors.most() && self.backend.close_oldest_idle() {}
    }
}

/// What answers requests, and what takes part in rollouts and policies.
struct Components {
    front: Backend,
    rollout: Option<Rc<RolloutClient>>,
    policy: Option<Rc<PolicyClient>>,
}

/// One decision module on the endpoint list of the proxy's own discovery, merged with a control service's if it subscribes to one.
fn single_cluster(
    config: Config,
    clock: Clock,
    descriptors: Rc<Descriptors>,
    ledger: Arc<RequestMetrics>,
    hangup: SignalFlag,
    handed: Option<PolicyHandover>,
) -> Result<Components, String> {
    let discovery = config.discovery.ok_or("discovery is missing, and PROXY_DISCOVERY is not set")?;
    let subscription = subscription::ControlSubscription::of(&config);
    let acting = Rc::new(ActiveConfig::new(config.settings, config.names));
    let settings = &acting.settings;
    let manner = match settings.must_subscribe {
        true => WatchMode::Polled { within: settings.max_subscribe_delay },
        false => WatchMode::Pushed { grace: config.drain_grace },
    };
    let upstreams = Upstreams::new(descriptors, ledger.clone(), config.connect_timeout, settings);
    let known = config.known;
    let discovery = Discovery::new(discovery, known.as_ref().map(|known| known.version), manner);
    let listed = known.as_ref().map_or(&[][..], |known| &known.servers);
    let engine = Engine::new(acting, config.seed, listed, upstreams.clone(), clock);
    let nodes = EndpointFeed::new(engine.clone(), subscription.as_ref().map(|s| s.limits()), known.as_ref());
    let (moves, moved) = mpsc::unbounded_channel();
    tokio::task::spawn_local(discovery.follow(nodes.clone(), moved));
    let hosted = config.hosted;
    let (layers, news) = (ConfigLayers::new(engine.clone(), config.own), Arc::new(Notify::new()));
    let rollout =
        config.rollout.map(|source| RolloutClient::new(source, hosted, layers.clone(), ledger, news.clone()));
    let policy =
        config.policy.map(|source| PolicyClient::new(source, layers, config.clocks, handed, news.clone()));
    if let Some(subscription) = subscription {
        let parts =
            subscription::StreamClients { rollout: rollout.clone(), policy: policy.clone(), wake: news };
        tokio::task::spawn_local(subscription.follow(nodes.clone(), parts));
    }
    tokio::task::spawn_local(reload::follow(hangup, moves));
    Ok(Components { front: Backend::Single { engine, upstreams, nodes }, rollout, policy })
}

impl Server {
    /// The number of the next connection.
    pub fn next_connection(&self) -> u64 {
        self.connections.set(self.connections.get() + 1);
        self.connections.get()
    }

    /// Updates the status and gauges that change with time alone.
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

    /// Whether this process may report that it serves, and why not.
    pub fn readiness(&self) -> Result<(), NotReady> {
        may_serve(&self.serve_facts())
    }

    /// The facts that `may_serve` decides by.
    pub fn serve_facts(&self) -> ServeFacts {
        ServeFacts {
            node_known: self.backend.can_serve(),
            policy_permits: self.policy.as_ref().is_none_or(|p| p.permits_serving()),
            draining: self.draining.get(),
        }
    }
}
