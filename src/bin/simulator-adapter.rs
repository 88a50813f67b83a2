//! Plays the bench's wire on standard input and output: one decision module for each instance, nothing shared.
#![forbid(unsafe_code)]

use rushquay::api::{Action, Entry, Event, ListKind, Nanos, ServerId};
use rushquay::wire::{self, Line};
use rushquay::Balancer;
use rustc_hash::FxHashMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The loop's state. The names of servers serve translation alone; no decision reads them.
#[derive(Default)]
struct Adapter {
    now: Nanos,
    balancers: FxHashMap<String, Balancer>,
    names: FxHashMap<ServerId, String>,
    pages: [Option<Vec<Entry>>; 16],
    in_batch: bool,
    filling: Option<(usize, usize)>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Takes one line; true when a reply is due.
    fn line(&mut self, line: &str) -> Result<bool, String> {
        let parsed = wire::parse(line)?;
        if let Some((number, left)) = self.filling {
            let Line::Entry(name, entry) = parsed else {
                return Err(format!("list {number} lacks {left} entries"));
            };
            self.names.entry(entry.server).or_insert(name);
            self.pages[number].get_or_insert_default().push(entry);
            self.filling = (left > 1).then_some((number, left - 1));
            return Ok(false);
        }
        match parsed {
            Line::Frame(now) => {
                if std::mem::replace(&mut self.in_batch, true) {
                    return Err("frame inside a batch".into());
                }
                self.now = now;
            }
            Line::Go => {
                if !std::mem::take(&mut self.in_batch) {
                    return Err("go without a frame".into());
                }
                self.reply.push_str("end\n");
                return Ok(true);
            }
            Line::Page { number, count } => {
                if number > 15 {
                    return Err(format!("list number is over 15: {number}"));
                }
                self.pages[number] = Some(Vec::new());
                self.filling = (count > 0).then_some((number, count));
            }
            Line::Entry(..) => return Err("entry without a list".into()),
            Line::New { instance, seed, settings } => {
                self.balancers.insert(instance, Balancer::new(*settings, seed));
            }
            Line::Members { instance, kind, page } => {
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    _ => {
                        let list = self.pages.get(page).cloned().flatten();
                        list.ok_or(format!("list {page} was never sent"))?
                    }
                };
                self.event(instance, Event::List { kind, entries });
            }
            Line::Stop(instance) => {
                self.balancers.remove(&instance);
            }
            Line::Event(instance, event) => self.event(instance, event),
            Line::Ignored => {}
        }
        Ok(false)
    }

    fn event(&mut self, instance: String, event: Event) {
        let Some(balancer) = self.balancers.get_mut(&instance) else {
            return;
        };
        // A failure inside the decisions must reach the operators as such, not as a dead process.
        let (now, actions) = (self.now, &mut self.actions);
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").replace('\n', " ");
            self.actions.clear();
            self.balancers.remove(&instance);
            self.reply.push_str(&format!("bug {instance} {text}\n"));
            return;
        }
        for action in self.actions.drain(..) {
            wire::write(&mut self.reply, &instance, &action, |s| self.names.get(&s).cloned());
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for number in 1u64.. {
        bytes.clear();
        let read = input.read_until(b'\n', &mut bytes);
        if read.map_err(|e| format!("line {number}: cannot be read: {e}"))? == 0 {
            if adapter.in_batch {
                return Err(format!("line {number}: the input ends inside a batch"));
            }
            break;
        }
        while bytes.last().is_some_and(|b| matches!(b, b'\n' | b'\r')) {
            bytes.pop();
        }
        let line = std::str::from_utf8(&bytes).map_err(|_| format!("line {number}: not UTF-8"))?;
        if adapter.line(line).map_err(|e| format!("line {number}: {e}"))? {
            let sent = output.write_all(adapter.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|e| format!("the reply cannot be written: {e}"))?;
            adapter.reply.clear();
        }
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("simulator-adapter: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
