//! `rushquay-emulate`: plays scenarios in virtual time.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use rushquay_scenario_runner::{play, Scenario};
use std::path::PathBuf;
use std::process::ExitCode;

/// Rehearses a bad morning: nodes, an origin, clients and faults in virtual time, against the proxy's decision module.
#[derive(Parser)]
#[command(name = "rushquay-emulate", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays scenarios and tells what came of them; ends with 1 where a rule was broken.
    Run {
        /// Scenarios (TOML).
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
        /// Print a line of JSON a second: outcomes, and the load of each node and of the origin.
        #[arg(long)]
        seconds: bool,
        /// Another seed than the scenario's.
        #[arg(long)]
        seed: Option<u64>,
    },
}

fn main() -> ExitCode {
    let Command::Run { scenarios, seconds, seed } = Cli::parse().command;
    let mut broken = false;
    for path in scenarios {
        let text = std::fs::read_to_string(&path).map_err(|e| e.to_string());
        let read = text.and_then(|t| Scenario::parse(&t).map_err(|e| e.to_string()));
        let played = read.and_then(|mut scenario| {
            scenario.seed = seed.unwrap_or(scenario.seed);
            Ok((play(&scenario).map_err(|e| e.to_string())?, scenario))
        });
        match played {
            Ok((figures, scenario)) => {
                println!("## {} (seed {})\n\n{}", scenario.name, scenario.seed, figures.table());
                for (at, what) in figures.marks.iter().take(40) {
                    println!("- {at:.1} s: {what}");
                }
                if seconds {
                    for second in &figures.seconds {
                        println!("{}", serde_json::to_string(second).unwrap_or_default());
                    }
                }
                broken |= !figures.breaches.is_empty();
            }
            Err(e) => {
                eprintln!("{}: {e}", path.display());
                broken = true;
            }
        }
    }
    if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
