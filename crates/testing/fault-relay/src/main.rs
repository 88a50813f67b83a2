//! `rushquay-fault`: runs a script between sockets, checks one, or plays a trace again.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use rushquay_fault_relay::{Options, Relay, Script, Trace};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A relay between two sockets that delays, cuts, spoils and refuses on command or by script.
#[derive(Parser)]
#[command(name = "rushquay-fault", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Listens and relays as the script says, until Ctrl-C.
    Run {
        /// The script (TOML).
        script: PathBuf,
        /// Where commands are taken, on loopback: IP:PORT.
        #[arg(long, value_name = "ADDR")]
        admin: Option<SocketAddr>,
        /// Write what is done to this file.
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
        /// Do what this trace says, in place of the script's rules.
        #[arg(long, value_name = "FILE")]
        replay: Option<PathBuf>,
        /// In a replay: keep the order of deeds between connections.
        #[arg(long, requires = "replay")]
        ordered: bool,
    },
    /// Checks a script and names what is wrong.
    Check {
        /// The script (TOML).
        script: PathBuf,
    },
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Check { script } => read(&script).map(|s| {
            println!("{}: {} listeners, {} rules", script.display(), s.listeners.len(), s.rules.len());
        }),
        Command::Run { script, admin, trace, replay, ordered } => run(&script, admin, trace, replay, ordered),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("rushquay-fault: {e}");
            ExitCode::FAILURE
        }
    }
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn read(path: &Path) -> Result<Script, String> {
    Script::parse(&text(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(
    script: &Path,
    admin: Option<SocketAddr>,
    trace: Option<PathBuf>,
    replay: Option<PathBuf>,
    ordered: bool,
) -> Result<(), String> {
    let script = read(script)?;
    let replay = replay
        .map(|path| Trace::parse(&text(&path)?).map_err(|e| format!("{}: {e}", path.display())))
        .transpose()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async {
        let options = Options { trace, replay, ordered, admin, tap: None };
        let relay = Relay::start(script, options).await.map_err(|e| e.to_string())?;
        for (name, listen, target, _) in relay.control().listeners() {
            println!("listening {name} {listen} -> {target}");
        }
        if let Some(admin) = relay.admin() {
            println!("listening admin {admin}");
        }
        tokio::signal::ctrl_c().await.map_err(|e| e.to_string())
    })
}
