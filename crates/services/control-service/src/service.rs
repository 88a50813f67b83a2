//! Starts the service: binds its listeners, restores its state, and spawns its tasks.

use crate::leadership::{Leadership, LeadershipState};
use crate::service_state::ServiceState;
use crate::settings::{Settings, SourceOption, StandbyError};
use crate::state::SourceEvent;
use crate::time::Clocks;
use crate::{discovery, file, http, leadership_loop};
use rushquay_control_state::ListSource;
use rushquay_endpoints::EndpointList;
use rushquay_xds_grpc::{require_tls_beyond_loopback, serve, Hub, Tls, TlsError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// The period of the endpoint list's timers and of override expiry.
const TICK_PERIOD: Duration = Duration::from_secs(1);
/// Capacity of the queue of events from the endpoint source.
const SOURCE_EVENT_QUEUE: usize = 16;

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address of the xDS listener.
    pub listen: SocketAddr,
    /// The endpoint source.
    pub source: SourceOption,
    /// The address of the admin page, if there is one.
    pub admin: Option<SocketAddr>,
    /// The settings.
    pub settings: Settings,
    /// The state file; if `None`, the state is held only in memory.
    pub state_file: Option<PathBuf>,
}

/// The reason why the service can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// TLS files can't be used, or TLS is required and missing.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A listener can't be bound.
    #[error("--{option} {addr}: {source}; give an address of this machine with a free port, or port 0")]
    Listen {
        /// The option that names it.
        option: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The endpoint list file can't be used.
    #[error("--nodes: {0}")]
    Nodes(String),
    /// The settings for several instances can't be used.
    #[error("{0}")]
    Standby(String),
}

/// A running service. Dropping it stops the service.
pub struct ControlService {
    /// The bound address of the xDS listener.
    pub xds: SocketAddr,
    /// The bound address of the admin page, if there is one.
    pub admin: Option<SocketAddr>,
    state: Arc<ServiceState>,
    reload_endpoint_list: mpsc::Sender<()>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    leadership_thread: Option<std::thread::JoinHandle<()>>,
}

impl ControlService {
    /// Reads the endpoint list file again.
    pub fn reread(&self) {
        let _ = self.reload_endpoint_list.try_send(());
    }

    /// The xDS hub, for tests and measurements.
    pub fn hub(&self) -> &Arc<Hub> {
        &self.state.leader.hub
    }

    /// Processes a list as if the source had sent it, for tests and measurements that need to know the time of arrival.
    pub fn process_endpoint_list(&self, list: EndpointList) {
        self.state.on_source_event(SourceEvent::EndpointList(list));
    }

    /// The leadership state of this instance; `None` if it is the only one.
    pub fn leadership_state(&self) -> Option<LeadershipState> {
        self.state.leader.gate.leadership().map(|leadership| leadership.state())
    }

    /// Stops the service: accepts no new streams, closes the open ones, and resigns the lease if it holds one.
    pub async fn stop(mut self) {
        let thread = self.leadership_thread.take();
        if let (Some(leadership), Some(thread)) = (self.state.leader.gate.leadership(), thread) {
            leadership.end();
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
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
        if let Some(leadership) = self.state.leader.gate.leadership() {
            leadership.end();
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The tick of a controller.
type ControllerTick = fn(&ServiceState);

/// Ticks a controller at this period. Does not return.
async fn run_controller(state: Arc<ServiceState>, period: Duration, controller_tick: ControllerTick) {
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        // It may block on the store.
        let state = state.clone();
        let _ = tokio::task::spawn_blocking(move || controller_tick(&state)).await;
    }
}

/// Starts the service on the current runtime.
///
/// # Errors
/// See [`StartError`]; nothing is left running.
pub async fn start(options: Options) -> Result<ControlService, StartError> {
    start_with_clocks(options, Clocks::default()).await
}

/// Like [`start`], with the given clocks.
///
/// # Errors
/// See [`StartError`]; nothing is left running.
pub async fn start_with_clocks(options: Options, clocks: Clocks) -> Result<ControlService, StartError> {
    let tls = options.settings.tls.as_ref().map(Tls::read).transpose()?;
    require_tls_beyond_loopback("--listen", options.listen, tls.is_some())?;
    if let Some(admin) = options.admin {
        // The admin page is plain HTTP.
        require_tls_beyond_loopback("--admin", admin, false)?;
    }
    let first_list = match &options.source {
        SourceOption::Nodes(path) => Some(file::read(path).map_err(|e| StartError::Nodes(e.to_string()))?),
        SourceOption::Discovery(_) => None,
    };
    let leadership = leadership(&options, &clocks)?;
    let (xds_listener, xds) = listen("listen", options.listen).await?;
    let (admin_listener, admin) = match options.admin {
        Some(addr) => listen("admin", addr).await.map(|(listener, addr)| (Some(listener), Some(addr)))?,
        None => (None, None),
    };

    let (list_source, source_name) = describe_source(&options.source);
    let state = ServiceState::new(options.settings, list_source, source_name, leadership.clone(), clocks);
    if let Some(path) = options.state_file {
        // Blocks, but reading the state of a fleet takes a millisecond, and no task runs yet.
        state.restore_from(&path);
    }
    if let Some(list) = first_list {
        state.on_source_event(SourceEvent::EndpointList(list));
    }
    let leadership_thread = leadership.map(|leadership| {
        let state = state.clone();
        std::thread::spawn(move || leadership_loop::run(&state, &leadership))
    });

    let (reread, reread_requests) = mpsc::channel(1);
    let (stop, stopped) = watch::channel(false);
    let mut tasks = spawn_source(&state, options.source, reread_requests);
    tasks.extend(spawn_controllers(&state));
    tasks.push(spawn_xds(xds_listener, state.leader.hub.clone(), tls, stopped));
    if let Some(listener) = admin_listener {
        tasks.push(tokio::spawn(http::serve(listener, state.clone())));
    }
    Ok(ControlService { xds, admin, state, reload_endpoint_list: reread, stop, tasks, leadership_thread })
}

async fn listen(option: &'static str, addr: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = TcpListener::bind(addr).await;
    let bound = listener.and_then(|l| l.local_addr().map(|a| (l, a)));
    bound.map_err(|source| StartError::Listen { option, addr, source })
}

/// The leadership state, if the settings configure several instances.
fn leadership(options: &Options, clocks: &Clocks) -> Result<Option<Arc<Leadership>>, StartError> {
    let Some(standby) = &options.settings.standby else { return Ok(None) };
    if options.state_file.is_some() {
        let reason = "--state and [standby] both configure the state's store; give only one of them";
        return Err(StartError::Standby(reason.into()));
    }
    let unusable = |error: StandbyError| StartError::Standby(error.to_string());
    let terms = standby.terms().map_err(|e| unusable(e.into()))?;
    let store = standby.store(clocks).map_err(unusable)?;
    Ok(Some(Leadership::new(standby.name.clone(), store, terms)))
}

fn describe_source(source: &SourceOption) -> (ListSource, String) {
    match source {
        SourceOption::Discovery(addr) => (ListSource::Discovery, format!("discovery {addr}")),
        SourceOption::Nodes(path) => (ListSource::File, format!("file {}", path.display())),
    }
}

/// Spawns the task that follows the endpoint source, and the one that processes its events.
fn spawn_source(
    state: &Arc<ServiceState>,
    source: SourceOption,
    reread_requests: mpsc::Receiver<()>,
) -> Vec<JoinHandle<()>> {
    let (events, received) = mpsc::channel(SOURCE_EVENT_QUEUE);
    let follower = match source {
        SourceOption::Discovery(addr) => tokio::spawn(discovery::follow(addr, events)),
        SourceOption::Nodes(path) => tokio::spawn(file::follow(path, events, reread_requests)),
    };
    vec![follower, tokio::spawn(process_events(state.clone(), received))]
}

/// Processes the events of the endpoint source, and runs the periodic tick.
async fn process_events(state: Arc<ServiceState>, mut events: mpsc::Receiver<SourceEvent>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    loop {
        tokio::select! {
            Some(event) = events.recv() => state.on_source_event(event),
            _ = interval.tick() => {
                state.tick();
                // It may block on the store.
                let state = state.clone();
                let _ = tokio::task::spawn_blocking(move || state.expire_overrides()).await;
            }
        }
    }
}

fn spawn_controllers(state: &Arc<ServiceState>) -> Vec<JoinHandle<()>> {
    let policy_tick: ControllerTick = |state| state.policies.iter().for_each(|p| p.tick(&state.leader));
    let rollout_tick: ControllerTick = |state| state.rollout.iter().for_each(|r| r.tick(&state.leader));
    [(state.policy_period(), policy_tick), (state.rollout_period(), rollout_tick)]
        .into_iter()
        .filter_map(|(period, tick)| Some(tokio::spawn(run_controller(state.clone(), period?, tick))))
        .collect()
}

fn spawn_xds(
    listener: TcpListener,
    hub: Arc<Hub>,
    tls: Option<Tls>,
    mut stopped: watch::Receiver<bool>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let stop = async move { drop(stopped.wait_for(|is_stopped| *is_stopped).await) };
        if let Err(error) = serve(listener, hub, tls.as_ref(), stop).await {
            tracing::error!(%error, "xDS server ended");
        }
    })
}
