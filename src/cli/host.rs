//! `rushquay host`: the supervisor of the proxy on a machine.

use super::ending;
use clap::{Args, Subcommand};
use rushquay::supervisor::{
    add_program, file_digest, find_processes, run as host, Files, SupervisorSettings,
};
use std::path::PathBuf;

#[derive(Args)]
pub struct HostArgs {
    #[command(subcommand)]
    command: HostCommand,
}

#[derive(Subcommand)]
enum HostCommand {
    /// Runs the proxy, replaces it by hand-over as a control service or the settings request, and rolls back on failure.
    Run {
        /// The settings of the host (TOML); see deploy/host.toml.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Shows the processes under a host, its last good program, and the program that it rolled back from.
    Status {
        /// The host's settings.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Prints the digest that identifies a program.
    Digest {
        /// The program.
        file: PathBuf,
    },
    /// Copies a program into a directory under its digest, and prints the digest.
    Add {
        /// The program.
        file: PathBuf,
        /// The directory that the settings of hosts name as `programs`.
        #[arg(long, value_name = "FOLDER")]
        programs: PathBuf,
    },
}

/// Runs the command.
pub fn run(args: HostArgs) -> Result<(), String> {
    match args.command {
        HostCommand::Run { config } => {
            let settings = SupervisorSettings::read(&config)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
            let running = async { host(settings, ending()?).await };
            tokio::task::LocalSet::new().block_on(&runtime, running)
        }
        HostCommand::Status { config } => {
            print!("{}", status(&SupervisorSettings::read(&config)?)?);
            Ok(())
        }
        HostCommand::Digest { file } => {
            println!("{}", file_digest(&file)?);
            Ok(())
        }
        HostCommand::Add { file, programs } => {
            println!("{}", add_program(&file, &programs)?);
            Ok(())
        }
    }
}

fn status(settings: &SupervisorSettings) -> Result<String, String> {
    let files = Files::open(settings)?;
    let mut out = format!("{}: its own file says {}\n", settings.name, settings.program);
    let found = find_processes(&files.socket());
    for one in found.map_err(|e| format!("the processes of this machine can't be looked up: {e}"))? {
        out += &format!("process {} runs {}\n", one.id.pid, one.program);
    }
    let Some(record) = files.read_record()? else {
        out += "no host has run here yet\n";
        return Ok(out);
    };
    out += &format!("good: {}\n", record.good.program);
    if let Some(wanted) = &record.wanted {
        out += &format!(
            "told: {} by generation {}, in epoch {}\n",
            wanted.program, wanted.generation, record.epoch
        );
    }
    if let Some(trying) = &record.trying {
        out += &format!("tried beside it: {}\n", trying.program);
    }
    if let Some(before) = &record.before {
        out += &format!("before: {}\n", before.program);
    }
    if let Some(failed) = &record.failed {
        out += &format!("gone back from {}, {} times: {}\n", failed.target.program, failed.times, failed.why);
    }
    Ok(out)
}
