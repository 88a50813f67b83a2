//! `rushquay control state`: dumps, verifies and restores the state file of a control service.

use clap::Subcommand;
use rushquay_overrides::{OverrideLimits, OverrideSet};
use rushquay_state::{dump, newest_file, restore, StateStore, StoredState};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum StateCommand {
    /// Prints the whole content of the file as a backup, one line of JSON per record.
    Dump {
        /// The file.
        file: PathBuf,
    },
    /// Reads every record and checks it.
    Verify {
        /// The file.
        file: PathBuf,
    },
    /// Replaces the content of the file with a dump.
    Restore {
        /// The file; created if it does not exist.
        file: PathBuf,
        /// The dump.
        dump: PathBuf,
    },
}

/// Runs the command.
pub fn run(command: StateCommand) -> Result<(), String> {
    match command {
        StateCommand::Dump { file } => {
            let (saved, book, records) = read(&file)?;
            print!("{}", dump(&saved, &book, &records));
        }
        StateCommand::Verify { file } => {
            let (saved, book, records) = read(&file)?;
            let version = saved.version.map_or_else(|| "none".to_owned(), |v| v.to_string());
            println!(
                "{}: {} nodes, list version {version}, {} overrides, {} events, {} records of changes",
                file.display(),
                saved.nodes.len(),
                book.live().count(),
                book.history().count(),
                records.len()
            );
        }
        StateCommand::Restore { file, dump } => {
            let text = std::fs::read_to_string(&dump).map_err(|e| format!("{}: {e}", dump.display()))?;
            let dumped = restore(&text).map_err(|e| format!("{}: {e}", dump.display()))?;
            let store = StateStore::open(&newest_file(&file)).map_err(|e| e.to_string())?;
            store.replace(&dumped).map_err(|e| e.to_string())?;
            let (nodes, book, records) = (dumped.nodes.set.len(), &dumped.book, dumped.records.len());
            let (overrides, events) = (book.live.len(), book.events.len());
            println!(
                "{}: {nodes} nodes, {overrides} overrides, {events} events, {records} records of changes",
                file.display()
            );
        }
    }
    Ok(())
}

fn read(file: &Path) -> Result<(StoredState, OverrideSet, BTreeMap<String, Value>), String> {
    if !file.exists() {
        return Err(format!("{}: no such file; name the one that --state names", file.display()));
    }
    // Read all events, regardless of the limit in the settings of a service.
    let policy = OverrideLimits { history: usize::MAX, ..OverrideLimits::default() };
    let read = |s: StateStore| Ok((s.read()?, s.read_book(policy)?, s.read_records()?));
    StateStore::open(&newest_file(file)).and_then(read).map_err(|e| e.to_string())
}
