//! Starts the service and holds its parts together: the list comes in, the state decides, the hub hands out.

use crate::leadership::{self, Leadership, LeadershipState};
use crate::persistence::Persistence;
use crate::settings::{Settings, SourceOption};
use crate::shared::{Shared, SourceEvent};
use crate::time::Clocks;
use crate::{admin, discovery, file};
use rushquay_control_state::Origin;
use rushquay_endpoints::EndpointList;
use rushquay_xds_grpc::{require_tls_beyond_loopback, serve, Hub, Tls, TlsError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

const TICK: Duration = Duration::from_secs(1);
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
    /// Instances that share state, and what they are to share.
    #[error("{0}")]
    Standby(String),
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
    guard: Option<std::thread::JoinHandle<()>>,
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
    pub fn tell(&self, list: EndpointList) {
        self.shared.on_source_event(SourceEvent::EndpointList(list));
    }

    /// How it stands among several instances; `None`: it is alone.
    pub fn standby(&self) -> Option<LeadershipState> {
        self.shared.standby.as_ref().map(|s| s.state())
    }

    /// Ends the service: no new streams, and those that are open are cut. A lease is given back.
    pub async fn stop(mut self) {
        if let (Some(standby), Some(guard)) = (&self.shared.standby, self.guard.take()) {
            standby.end();
            let _ = tokio::task::spawn_blocking(move || guard.join()).await;
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
        if let Some(standby) = &self.shared.standby {
            standby.end();
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// What is done at each look.
type Look = fn(&Shared);

/// Looks so often, for good.
async fn looks(shared: Arc<Shared>, every: Duration, does: Look) {
    let mut look = tokio::time::interval(every);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        look.tick().await;
        // It may wait for the disk.
        let of = shared.clone();
        let _ = tokio::task::spawn_blocking(move || does(&of)).await;
    }
}

/// Starts the service on the runtime that this is called on.
///
/// # Errors
/// See [`StartError`]; nothing is left running.
pub async fn start(options: Options) -> Result<ControlService, StartError> {
    start_by(options, Clocks::default()).await
}

/// The same, by these clocks.
///
/// # Errors
/// See [`StartError`]; nothing is left running.
pub async fn start_by(options: Options, clocks: Clocks) -> Result<ControlService, StartError> {
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
    let standby = match &options.settings.standby {
        Some(_) if options.state.is_some() => {
            let why = "--state and [standby] name two places for one state; give one of them";
            return Err(StartError::Standby(why.into()));
        }
        Some(told) => {
            let terms = told.terms().map_err(|e| StartError::Standby(format!("standby.{e}")))?;
            Some(Leadership::new(told.name.clone(), told.store(&clocks).map_err(StartError::Standby)?, terms))
        }
        None => None,
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
    let source_name = match &options.source {
        SourceOption::Discovery(addr) => format!("discovery {addr}"),
        SourceOption::Nodes(path) => format!("file {}", path.display()),
    };
    let policy = options.settings.overrides.policy();
    let shared = Shared::new(options.settings, origin, source_name, standby.clone(), clocks);
    let hub = shared.hub.clone();
    if let Some(path) = options.state {
        // Reading a file of a fleet takes a millisecond, and nothing runs yet.
        let (keeper, saved, book, records) = Persistence::open(&path, policy);
        shared.restore(saved, book, &records, keeper);
    }
    if let Some(list) = first {
        shared.on_source_event(SourceEvent::EndpointList(list));
    }
    let guard = standby.clone().map(|standby| {
        let of = shared.clone();
        std::thread::spawn(move || leadership::run(&of, &standby))
    });

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
                Some(told) = news.recv() => taking.on_source_event(told),
                _ = tick.tick() => {
                    taking.tick();
                    // It may wait for the disk.
                    let expiring = taking.clone();
                    let _ = tokio::task::spawn_blocking(move || expiring.expire()).await;
                }
            }
        }
    }));
    let look_at_policies: Look = |of| of.policies.iter().for_each(|p| p.tick(of));
    let look_at_changes: Look = |of| of.rollout.iter().for_each(|r| r.tick(of));
    for (every, does) in
        [(shared.policy_every(), look_at_policies), (shared.rollout_every(), look_at_changes)]
    {
        tasks.extend(every.map(|every| tokio::spawn(looks(shared.clone(), every, does))));
    }
    let mut ending = stopped.clone();
    tasks.push(tokio::spawn(async move {
        let stop = async move { drop(ending.wait_for(|stop| *stop).await) };
        if let Err(e) = serve(xds_listener, hub, tls.as_ref(), stop).await {
            tracing::error!(fault = %e, "xDS ends");
        }
    }));
    let admin = admin_listener.as_ref().map(|(_, addr)| *addr);
    if let Some((listener, _)) = admin_listener {
        tasks.push(tokio::spawn(admin::serve(listener, shared.clone())));
    }
    Ok(ControlService { xds, admin, shared, again, stop, tasks, guard })
}
