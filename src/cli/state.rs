//! `rushquay control state`: what a control service keeps, as text and back.

use clap::Subcommand;
use rushquay_state::{dump, restore, StateStore};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum StateCommand {
    /// Prints all that the file holds, a line of JSON each: a backup.
    Dump {
        /// The file.
        file: PathBuf,
    },
    /// Reads every record and checks it.
    Verify {
        /// The file.
        file: PathBuf,
    },
    /// Puts a dump in place of what the file holds.
    Restore {
        /// The file; begun where there is none.
        file: PathBuf,
        /// The dump.
        dump: PathBuf,
    },
}

/// Does what the command says.
pub fn run(command: StateCommand) -> Result<(), String> {
    match command {
        StateCommand::Dump { file } => print!("{}", dump(&read(&file)?)),
        StateCommand::Verify { file } => {
            let saved = read(&file)?;
            let version = saved.version.map_or_else(|| "none".to_owned(), |v| v.to_string());
            println!("{}: {} nodes, list version {version}", file.display(), saved.nodes.len());
        }
        StateCommand::Restore { file, dump } => {
            let text = std::fs::read_to_string(&dump).map_err(|e| format!("{}: {e}", dump.display()))?;
            let change = restore(&text).map_err(|e| format!("{}: {e}", dump.display()))?;
            let store = StateStore::open(&file).map_err(|e| e.to_string())?;
            store.keep(&change).map_err(|e| e.to_string())?;
            println!("{}: {} nodes", file.display(), change.set.len());
        }
    }
    Ok(())
}

fn read(file: &Path) -> Result<rushquay_state::Saved, String> {
    if !file.exists() {
        return Err(format!("{}: no such file; name the one that --state names", file.display()));
    }
    StateStore::open(file).and_then(|s| s.read()).map_err(|e| e.to_string())
}
