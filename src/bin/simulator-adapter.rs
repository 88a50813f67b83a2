//! Runs decision modules on the simulator's wire protocol, over standard input and output. Each proxy
//! instance has a module of its own, and the modules share no state.
#![forbid(unsafe_code)]

use rushquay::api::{Action, Entry, Event, ListKind, Nanos, ServerId};
use rushquay::wire::{self, Line, WireError};
use rushquay::Balancer;
use rustc_hash::FxHashMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;

/// Number of numbered slots ("pages") for endpoint lists.
const PAGE_COUNT: usize = 16;

/// Why a line was rejected.
#[derive(Debug, Error)]
enum LineError {
    #[error(transparent)]
    Malformed(#[from] WireError),
    #[error("list {page} lacks {missing} entries")]
    IncompletePage { page: usize, missing: usize },
    #[error("list number is over {}: {page}", PAGE_COUNT - 1)]
    PageOutOfRange { page: usize },
    #[error("list {page} was never sent")]
    UnknownPage { page: usize },
    #[error("entry without a list")]
    StrayEntry,
    #[error("frame inside a batch")]
    NestedBatch,
    #[error("go without a frame")]
    NoBatch,
}

/// Why the adapter exits with an error.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("line {number}: {source}")]
    Line { number: u64, source: LineError },
    #[error("line {number}: cannot be read: {source}")]
    Read { number: u64, source: io::Error },
    #[error("line {number}: the input ends inside a batch")]
    TruncatedBatch { number: u64 },
    #[error("line {number}: not UTF-8")]
    NotUtf8 { number: u64 },
    #[error("the reply cannot be written: {0}")]
    Write(io::Error),
}

/// An endpoint list of which `missing` entries have not been read yet.
struct PartialPage {
    page: usize,
    missing: usize,
}

/// The state of the adapter. The names of endpoints are used only to translate ids; no decision depends on
/// them.
#[derive(Default)]
struct Adapter {
    now: Nanos,
    balancers: FxHashMap<String, Balancer>,
    names: FxHashMap<ServerId, String>,
    pages: [Option<Vec<Entry>>; PAGE_COUNT],
    in_batch: bool,
    partial_page: Option<PartialPage>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Handles one line; returns true if the batch, and so the reply, is complete.
    fn handle_line(&mut self, line: &str) -> Result<bool, LineError> {
        let parsed = wire::parse(line)?;
        if let Some(partial) = self.partial_page.take() {
            self.add_entry(partial, parsed)?;
            return Ok(false);
        }
        match parsed {
            Line::Frame(now) => {
                if std::mem::replace(&mut self.in_batch, true) {
                    return Err(LineError::NestedBatch);
                }
                self.now = now;
            }
            Line::Go => {
                if !std::mem::take(&mut self.in_batch) {
                    return Err(LineError::NoBatch);
                }
                self.reply.push_str("end\n");
                return Ok(true);
            }
            Line::Page { number: page, count } => {
                let slot = self.pages.get_mut(page).ok_or(LineError::PageOutOfRange { page })?;
                *slot = Some(Vec::new());
                self.partial_page = (count > 0).then_some(PartialPage { page, missing: count });
            }
            Line::Entry(..) => return Err(LineError::StrayEntry),
            Line::New { instance, seed, settings } => {
                self.balancers.insert(instance, Balancer::new(*settings, seed));
            }
            Line::Members { instance, kind, page } => {
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => self.pages.get(page).cloned().flatten().ok_or(LineError::UnknownPage { page })?,
                };
                self.handle_event(instance, Event::List { kind, entries });
            }
            Line::Stop(instance) => {
                self.balancers.remove(&instance);
            }
            Line::Event(instance, event) => self.handle_event(instance, event),
            Line::Ignored => {}
        }
        Ok(false)
    }

    /// Adds an entry to the list that is being read. Until the list is complete, any other line is an error.
    fn add_entry(&mut self, partial: PartialPage, line: Line) -> Result<(), LineError> {
        let PartialPage { page, missing } = partial;
        let Line::Entry(name, entry) = line else {
            return Err(LineError::IncompletePage { page, missing });
        };
        self.names.entry(entry.server).or_insert(name);
        self.pages[page].get_or_insert_default().push(entry);
        self.partial_page = (missing > 1).then_some(PartialPage { page, missing: missing - 1 });
        Ok(())
    }

    fn handle_event(&mut self, instance: String, event: Event) {
        let Some(balancer) = self.balancers.get_mut(&instance) else {
            return;
        };
        // Report a panic of the decision module in the reply, so that operators do not see just a dead process.
        let (now, actions) = (self.now, &mut self.actions);
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            let message = panic.downcast_ref::<String>().map(String::as_str);
            let message =
                message.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").replace('\n', " ");
            self.actions.clear();
            self.balancers.remove(&instance);
            self.reply.push_str(&format!("bug {instance} {message}\n"));
            return;
        }
        for action in self.actions.drain(..) {
            wire::write(&mut self.reply, &instance, &action, |s| self.names.get(&s).cloned());
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for number in 1u64.. {
        bytes.clear();
        let bytes_read = input.read_until(b'\n', &mut bytes);
        if bytes_read.map_err(|source| AdapterError::Read { number, source })? == 0 {
            if adapter.in_batch {
                return Err(AdapterError::TruncatedBatch { number });
            }
            break;
        }
        while bytes.last().is_some_and(|b| matches!(b, b'\n' | b'\r')) {
            bytes.pop();
        }
        let line = std::str::from_utf8(&bytes).map_err(|_| AdapterError::NotUtf8 { number })?;
        let is_complete =
            adapter.handle_line(line).map_err(|source| AdapterError::Line { number, source })?;
        if is_complete {
            output.write_all(adapter.reply.as_bytes()).map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
            adapter.reply.clear();
        }
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
