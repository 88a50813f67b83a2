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

/// A proxy for a fleet of cache nodes, and the control service that hands such proxies their nodes.
#[derive(Parser)]
#[command(name = "rushquay", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One proxy, as the PROXY_* variables say; the same as no command at all.
    Proxy {
        /// Subscribe to a control service as this file (TOML) says.
        #[arg(long, value_name = "FILE")]
        control: Option<PathBuf>,
        /// Take clusters, endpoints and routes in Envoy's form as this file (TOML) says, in place of discovery.
        #[arg(long, value_name = "FILE", conflicts_with = "control")]
        envoy: Option<PathBuf>,
    },
    /// The control service: follows the node list and hands it out as xDS.
    #[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
    Control {
        /// Where subscribers connect (xDS over gRPC); port 0 takes a free one.
        #[arg(long, value_name = "ADDR", required = true)]
        listen: Option<SocketAddr>,
        /// Follow the list at discovery.
        #[arg(long, value_name = "ADDR", required_unless_present = "nodes", conflicts_with = "nodes")]
        discovery: Option<SocketAddr>,
        /// Follow the list in a file, in discovery's JSON form; read again when it changes and on SIGHUP.
        #[arg(long, value_name = "FILE")]
        nodes: Option<PathBuf>,
        /// Name of the cluster of cache nodes [default: cache-nodes, or what the settings say].
        #[arg(long, value_name = "NAME")]
        cluster: Option<String>,
        /// Where the admin page is: /status, /metrics, /healthz.
        #[arg(long, value_name = "ADDR")]
        admin: Option<SocketAddr>,
        /// Further settings (TOML): weights, TLS, limits.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Keep what is known in this file, and go on from it after a restart. Without: in memory alone.
        #[arg(long, value_name = "FILE")]
        state: Option<PathBuf>,
        #[command(flatten)]
        events: events::EventArgs,
        #[command(subcommand)]
        command: Option<ControlCommand>,
    },
    /// Operators' overrides on nodes, each with an expiry: set, list, lift, history.
    Override(overrides::OverrideArgs),
    /// Runs the proxy on a machine: starts it, replaces it by hand-over, watches it, goes back by itself.
    Host(host::HostArgs),
    /// Changes of settings and of the program over the fleet in stages, stopped when a stage does worse.
    Rollout(rollout::RolloutArgs),
    /// Changes of policy that take hold everywhere or nowhere.
    Policy(policy::PolicyArgs),
    /// A small installation on loopback: requests, a drain, and how soon each proxy left the node.
    Demo {
        /// End when it has been shown; else Ctrl-C ends it.
        #[arg(long)]
        once: bool,
    },
    /// Sums the accounts that proxies wrote into their logs with PROXY_ACCOUNT=1: what the fleet is asked for, by cause.
    Account {
        /// Seconds in a column.
        #[arg(long, default_value_t = 5)]
        every: u64,
        /// The proxies' logs.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Checks a node list, a proxy's configuration, settings of either command, or an Envoy bootstrap file; names what is
    /// wrong, and of a bootstrap file what will be obeyed.
    Check {
        /// The file: .json, .yaml or .toml.
        #[arg(required_unless_present = "fields")]
        file: Option<PathBuf>,
        /// Print what becomes of every field of Envoy's form, as Markdown.
        #[arg(long, conflicts_with = "file")]
        fields: bool,
    },
}

#[derive(Subcommand)]
enum ControlCommand {
    /// Looks into the file that --state names, or replaces what it holds. No service may hold it meanwhile.
    State {
        #[command(subcommand)]
        command: state::StateCommand,
    },
}

/// Why a command ends otherwise than well.
pub struct Failure {
    /// For people.
    pub text: String,
    /// The exit status.
    pub status: u8,
}

/// What was asked for could not be done.
const FAILED: u8 = 1;
/// It was done, and is held in memory alone for now.
pub const NOT_KEPT: u8 = 3;

impl From<String> for Failure {
    fn from(text: String) -> Self {
        Failure { text, status: FAILED }
    }
}

/// Does what the command line says.
pub fn run() -> Result<(), Failure> {
    match Cli::parse().command {
        Command::Override(args) => threads()?.block_on(overrides::run(args)),
        other => run_other(other).map_err(Failure::from),
    }
}

fn run_other(command: Command) -> Result<(), String> {
    match command {
        // Its failures have statuses of their own.
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
            control(Options { listen, source, admin, settings: settings.clone(), state })
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

/// SIGTERM or SIGINT.
fn ending() -> Result<impl Future<Output = ()>, String> {
    let ending = SignalFlag::ending()?;
    Ok(async move { ending.raised().await })
}

/// One proxy, on one thread. It rereads its file on SIGHUP and ends on SIGTERM or SIGINT.
pub fn proxy(control: Option<PathBuf>, envoy: Option<PathBuf>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    let run = async {
        // Danger: until it is handled this signal ends the process.
        let hangup = SignalFlag::hang_up()?;
        let envoy = envoy.map(|path| (proxy::config::ENVOY, path.display().to_string()));
        let mut config = proxy::config::Config::from_env_and(envoy.as_slice())?;
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

fn threads() -> Result<tokio::runtime::Runtime, String> {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().clamp(2, 8));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    runtime.map_err(|e| format!("the runtime: {e}"))
}

/// The control service, on a few threads.
fn control(options: Options) -> Result<(), String> {
    threads()?.block_on(async {
        let hangup = SignalFlag::hang_up()?;
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
