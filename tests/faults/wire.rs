//! Taps on the legs of a proxy, which enter in the books what came from it and what reached it.

use rushquay_endpoints::{EndpointList, EndpointState};
use rushquay_fault_relay::{Direction, Passage, Tap};
use rushquay_history::{Answer, Effect, Entry, Nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// For so long the clients of the rig wait.
pub const WITHIN: Duration = Duration::from_millis(600);

/// A message of HTTP/1 with a length, or without a body.
#[derive(Debug)]
pub struct Message {
    /// When its first and last bytes passed.
    pub first: Instant,
    pub last: Instant,
    /// Of an answer.
    pub status: u16,
    /// Of a request.
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Cuts a direction into messages. What is none ends it.
#[derive(Default)]
pub struct Messages {
    bytes: Vec<u8>,
    first: Option<Instant>,
    broken: bool,
}

impl Messages {
    pub fn take(&mut self, bytes: &[u8], when: Instant, answers: bool) -> Vec<Message> {
        let mut found = Vec::new();
        if self.broken {
            return found;
        }
        self.first.get_or_insert(when);
        self.bytes.extend_from_slice(bytes);
        while !self.bytes.is_empty() {
            match self.next(when, answers) {
                Ok(Some(message)) => {
                    found.push(message);
                    self.first = Some(when);
                }
                Ok(None) => return found,
                Err(()) => {
                    self.broken = true;
                    return found;
                }
            }
        }
        self.first = None;
        found
    }

    fn next(&mut self, when: Instant, answers: bool) -> Result<Option<Message>, ()> {
        let mut slots = [httparse::EMPTY_HEADER; 64];
        let (length, status, path, headers) = if answers {
            let mut head = httparse::Response::new(&mut slots);
            let httparse::Status::Complete(n) = head.parse(&self.bytes).map_err(drop)? else {
                return Ok(None);
            };
            (n, head.code.unwrap_or(0), String::new(), text(head.headers))
        } else {
            let mut head = httparse::Request::new(&mut slots);
            let httparse::Status::Complete(n) = head.parse(&self.bytes).map_err(drop)? else {
                return Ok(None);
            };
            (n, 0, head.path.unwrap_or("").to_owned(), text(head.headers))
        };
        let body = match headers.get("content-length") {
            Some(told) => told.parse::<usize>().map_err(drop)?,
            None => 0,
        };
        if self.bytes.len() < length.saturating_add(body) {
            return Ok(None);
        }
        let body = self.bytes[length..length + body].to_vec();
        self.bytes.drain(..length + body.len());
        let first = self.first.unwrap_or(when);
        Ok(Some(Message { first, last: when, status, path, headers, body }))
    }
}

fn text(headers: &[httparse::Header<'_>]) -> BTreeMap<String, String> {
    let pair =
        |h: &httparse::Header<'_>| (h.name.to_lowercase(), String::from_utf8_lossy(h.value).into_owned());
    headers.iter().map(pair).collect()
}

#[derive(Default)]
struct State {
    streams: BTreeMap<(String, u64, bool, bool), Messages>,
    entries: Vec<(Instant, Entry)>,
    /// By connection of a client: the requests that reached the proxy, and the final answers that came from it.
    asked: BTreeMap<u64, Vec<String>>,
    finals: BTreeMap<u64, Vec<(Instant, Answer, Option<String>)>>,
    /// Connections to nodes, and the requests that were sent there.
    attempts: Vec<(String, u64, String)>,
    /// What discovery has told the proxy.
    drained: BTreeSet<String>,
}

/// The taps of one proxy.
#[derive(Default)]
pub struct Wire(Mutex<State>);

/// What the taps have seen.
pub struct Seen {
    pub entries: Vec<(Instant, Entry)>,
    /// Requests, by connection of a client, that had no final answer.
    pub unanswered: Vec<(u64, String)>,
    pub attempts: Vec<(String, u64, String)>,
}

impl Wire {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the proxy has been told by its discovery that this node drains.
    pub fn told(&self, node: &str) -> bool {
        self.state().drained.contains(node)
    }

    pub fn enter(&self, at: Instant, entry: Entry) {
        self.state().entries.push((at, entry));
    }

    pub fn seen(&self) -> Seen {
        let state = &mut *self.state();
        let mut entries = std::mem::take(&mut state.entries);
        let mut unanswered = Vec::new();
        for (connection, ids) in &state.asked {
            let finals = state.finals.get(connection).map_or(&[][..], |f| f);
            for (i, id) in ids.iter().enumerate() {
                match finals.get(i) {
                    Some((at, answer, by)) => {
                        let entry = Entry::Final { id: id.clone(), answer: *answer, by: by.clone() };
                        entries.push((*at, entry));
                    }
                    None => unanswered.push((*connection, id.clone())),
                }
            }
        }
        Seen { entries, unanswered, attempts: state.attempts.clone() }
    }

    fn passed(&self, p: Passage<'_>, bytes: &[u8], out: bool) {
        // What is looked at: where the proxy is at this end.
        let answers = p.lane == Direction::Down;
        let matters = match (p.listener, out) {
            ("client", out) => out != answers,
            ("discovery", out) => out && answers,
            ("control" | "control-discovery", _) => false,
            (_, out) => !out && !answers,
        };
        if !matters {
            return;
        }
        let state = &mut *self.state();
        let key = (p.listener.to_owned(), p.connection, answers, out);
        let messages = state.streams.entry(key).or_default().take(bytes, p.when, answers);
        for message in messages {
            match (p.listener, answers) {
                ("client", false) => state.asked(p.connection, &message),
                ("client", true) => state.answered(p.connection, &message),
                ("discovery", _) => state.told(&message),
                (node, _) => state.sent(node, p.connection, &message),
            }
        }
    }
}

impl State {
    fn asked(&mut self, connection: u64, m: &Message) {
        let Some(id) = m.headers.get("x-correlation-id").cloned() else {
            // It has no name, and its answer no request; it keeps its place.
            self.asked.entry(connection).or_default().push(format!("nameless-{connection}"));
            return;
        };
        let effect = match m.path.split('/').nth(1) {
            Some("order") => Effect::Unsafe,
            Some("set") => Effect::Keyed,
            _ => Effect::Safe,
        };
        self.asked.entry(connection).or_default().push(id.clone());
        let within = WITHIN.as_nanos() as Nanos;
        self.entries.push((m.last, Entry::Asked { id, effect, within }));
    }

    fn answered(&mut self, connection: u64, m: &Message) {
        let answer = match m.status {
            100..=199 => return,
            200 => Answer::Served,
            429 | 503 => Answer::Refused,
            _ => Answer::Failed,
        };
        let by = (answer == Answer::Served).then(|| String::from_utf8_lossy(&m.body).into_owned());
        self.finals.entry(connection).or_default().push((m.last, answer, by));
    }

    fn sent(&mut self, node: &str, connection: u64, m: &Message) {
        let id = m.headers.get("x-correlation-id").cloned().unwrap_or_default();
        self.attempts.push((node.to_owned(), connection, id.clone()));
        self.entries.push((m.first, Entry::Sent { id, node: node.to_owned() }));
    }

    fn told(&mut self, m: &Message) {
        if m.status != 200 {
            return;
        }
        let Ok(list) = serde_json::from_slice::<EndpointList>(&m.body) else { return };
        for member in &list.servers {
            let node = member.id.clone();
            let entry = match member.state {
                EndpointState::Ready => {
                    self.drained.remove(&node);
                    Entry::Ready { node }
                }
                _ => {
                    self.drained.insert(node.clone());
                    Entry::Drained { node }
                }
            };
            self.entries.push((m.last, entry));
        }
    }
}

impl Tap for Wire {
    fn came(&self, passage: Passage<'_>, bytes: &[u8]) {
        self.passed(passage, bytes, false);
    }

    fn went(&self, passage: Passage<'_>, bytes: &[u8]) {
        self.passed(passage, bytes, true);
    }
}
