//! The command line.

mod admin_client;
mod check;
mod demo;
mod events;
mod host;
mod output;
mod overrides;
mod policy;
mod rollout;
mod state;

use clap::{Parser, Subcommand};
use rushquay::proxy;
use rushquay::proxy::process::signals::SignalFlag;
use rushquay_control_service::{read_settings, start, Options, Settings, SourceOption};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A proxy for a fleet of cache nodes, and the control service that gives such proxies their endpoints.
#[derive(Parser)]
#[command(name = "rushquay", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a proxy, configured by the PROXY_* variables; the default without a command.
    Proxy {
        /// Subscribe to a control service, with the settings in this file (TOML).
        #[arg(long, value_name = "FILE")]
        control: Option<PathBuf>,
        /// Use clusters, endpoints and routes in Envoy's format in place of discovery, with the settings in this file (TOML).
        #[arg(long, value_name = "FILE", conflicts_with = "control")]
        envoy: Option<PathBuf>,
    },
    /// Runs the control service: follows the node list and serves it over xDS.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Control {
        /// The address for subscribers (xDS over gRPC); port 0 selects a free port.
        #[arg(long, value_name = "ADDR", required = true)]
        listen: Option<SocketAddr>,
        /// Follow the list of discovery at this address.
        #[arg(long, value_name = "ADDR", required_unless_present = "nodes", conflicts_with = "nodes")]
        discovery: Option<SocketAddr>,
        /// Follow the list in a file, in discovery's JSON format; reread when it changes and on SIGHUP.
        #[arg(long, value_name = "FILE")]
        nodes: Option<PathBuf>,
        /// Name of the cluster of cache nodes [default: cache-nodes, or what the settings say].
        #[arg(long, value_name = "NAME")]
        cluster: Option<String>,
        /// The address of the admin pages: /status, /metrics, /healthz.
        #[arg(long, value_name = "ADDR")]
        admin: Option<SocketAddr>,
        /// Further settings (TOML): weights, TLS, limits.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Persist the state in this file, and resume from it after a restart. Without this option: in memory only.
        #[arg(long, value_name = "FILE")]
        state: Option<PathBuf>,
        #[command(flatten)]
        events: events::EventArgs,
        #[command(subcommand)]
        command: Option<ControlCommand>,
    },
    /// Operators' overrides on nodes, each with an expiry: set, list, lift, history.
    Override(overrides::OverrideArgs),
    /// Supervises the proxy on a machine: starts it, replaces it by hand-over, watches it, rolls back on failure.
    Host(host::HostArgs),
    /// Rolls out changes of settings and of the program to the fleet in stages, and stops when a stage does worse.
    Rollout(rollout::RolloutArgs),
    /// Changes the policy of the fleet atomically: everywhere or nowhere.
    Policy(policy::PolicyArgs),
    /// Runs a small installation on loopback: requests, a drain, and how soon each proxy stopped sending to the node.
    Demo {
        /// Exit after the demonstration; otherwise Ctrl-C ends it.
        #[arg(long)]
        once: bool,
    },
    /// Sums the statistics that proxies wrote to their logs with PROXY_ACCOUNT=1: the requests and attempts of the fleet, by cause.
    Account {
        /// Seconds per column.
        #[arg(long, default_value_t = 5)]
        every: u64,
        /// The proxies' logs.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Checks a node list, a proxy's configuration, settings of either command, or an Envoy bootstrap file. Reports what is
    /// wrong, and for a bootstrap file what takes effect.
    Check {
        /// The file: .json, .yaml or .toml.
        #[arg(required_unless_present = "fields")]
        file: Option<PathBuf>,
        /// Print how every field of Envoy's format is handled, as Markdown.
        #[arg(long, conflicts_with = "file")]
        fields: bool,
    },
}

#[derive(Subcommand)]
enum ControlCommand {
    /// Inspects or replaces the content of the file that --state names. No service may have it open meanwhile.
    State {
        #[command(subcommand)]
        command: state::StateCommand,
    },
}

/// The failure of a command.
pub struct Failure {
    /// The message for people.
    pub text: String,
    /// The exit status.
    pub status: u8,
}

/// The exit status of a command that failed.
const FAILED: u8 = 1;
/// The exit status of a change that was applied, but is held in memory only for now.
pub const NOT_KEPT: u8 = 3;

impl From<String> for Failure {
    fn from(text: String) -> Self {
        Failure { text, status: FAILED }
    }
}

/// Runs the command on the command line.
pub fn run() -> Result<(), Failure> {
    match Cli::parse().command {
        Command::Override(args) => threads()?.block_on(overrides::run(args)),
        other => run_other(other).map_err(Failure::from),
    }
}

fn run_other(command: Command) -> Result<(), String> {
    match command {
        // Handled by `run`, since its failures have their own exit statuses.
        Command::Override(_) => Ok(()),
        Command::Proxy { control, envoy } => proxy(control, envoy),
        Command::Control { command: Some(ControlCommand::State { command }), .. } => state::run(command),
        Command::Control {
            listen,
            discovery,
            nodes,
            cluster,
            admin,
            config,
            state,
            events,
            command: None,
        } => {
            events.start()?;
            let listen = listen.ok_or("--listen is needed")?;
            let mut settings = config.as_deref().map(read_settings).transpose().map_err(|e| e.to_string())?;
            let settings: &mut Settings = settings.get_or_insert_default();
            if let Some(cluster) = cluster {
                settings.control.cluster = cluster;
            }
            settings.control.check().map_err(|e| format!("--cluster: {e}"))?;
            let source = match (discovery, nodes) {
                (Some(addr), _) => SourceOption::Discovery(addr),
                (None, Some(path)) => SourceOption::Nodes(path),
                (None, None) => return Err("--discovery or --nodes is needed".into()),
            };
            control(Options { listen, source, admin, settings: settings.clone(), state_file: state })
        }
        Command::Rollout(args) => threads()?.block_on(rollout::run(args)),
        Command::Policy(args) => threads()?.block_on(policy::run(args)),
        Command::Host(args) => host::run(args),
        Command::Demo { once } => threads()?.block_on(async { demo::demo(once, ending()?).await }),
        Command::Account { every, logs } => {
            print!("{}", proxy::observability::fleet_stats::table(&logs, every)?);
            Ok(())
        }
        Command::Check { file: Some(file), .. } => {
            println!("{}", check::check(&file)?);
            Ok(())
        }
        Command::Check { file: None, .. } => {
            print!("{}", rushquay_envoy::fields::page());
            Ok(())
        }
    }
}

/// A future that completes on SIGTERM or SIGINT.
fn ending() -> Result<impl Future<Output = ()>, String> {
    let ending = SignalFlag::terminate()?;
    Ok(async move { ending.raised().await })
}

/// Runs a proxy on one thread. It rereads its file on SIGHUP and ends on SIGTERM or SIGINT.
pub fn proxy(control: Option<PathBuf>, envoy: Option<PathBuf>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    let run = async {
        // Danger: SIGHUP ends the process until a handler is registered, so register it first.
        let hangup = SignalFlag::reload()?;
        let envoy = envoy.map(|path| (proxy::config::ENVOY, path.display().to_string()));
        let mut config = proxy::config::Config::from_env_with(envoy.as_slice())?;
        if let Some(path) = control {
            config.control = Some(
                proxy::control::settings::ControlSource::read(&path)
                    .map_err(|e| format!("--control: {e}"))?,
            );
        }
        proxy::server::run(config, ending()?, hangup, |_| {}).await
    };
    tokio::task::LocalSet::new().block_on(&runtime, run)
}

/// A runtime with a few worker threads.
fn threads() -> Result<tokio::runtime::Runtime, String> {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().clamp(2, 8));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    runtime.map_err(|e| format!("the runtime: {e}"))
}

/// Runs the control service on a few threads.
fn control(options: Options) -> Result<(), String> {
    threads()?.block_on(async {
        let hangup = SignalFlag::reload()?;
        let mut ending = std::pin::pin!(ending()?);
        let service = start(options).await.map_err(|e| e.to_string())?;
        let admin = service.admin.map_or_else(|| "none".to_owned(), |a| a.to_string());
        println!("listening xds={} admin={admin}", service.xds);
        loop {
            tokio::select! {
                () = ending.as_mut() => break,
                () = hangup.raised() => service.reread(),
            }
        }
        service.stop().await;
        Ok(())
    })
}
