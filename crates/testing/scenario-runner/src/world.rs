//! Proxies, nodes, the origin and clients in virtual time.

use crate::figures::{ClassFigures, Figures, Second};
use crate::processes::Processes;
use crate::scenario::{Effect, Happening, Scenario, ScenarioError, What};
use crate::traffic::Traffic;
use hdrhistogram::Histogram;
use rand::SeedableRng as _;
use rushquay::api::{self, Action, Event, ListKind, Settings, State, Status};
use rushquay_history::{Entry, History, Tolerance};
use rushquay_node_model::{
    Answer, Chance, Fault, Nanos, Node, NodeEvent, Out, Request, Timeline, MILLI, SECOND,
};
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};

/// Virtual Unix time at the beginning: what started long ago has started before it.
const BEGIN: Nanos = 1_000_000 * SECOND;
/// So much of a client's time the proxy keeps for the ways, as the program does.
const MARGIN: Nanos = 10 * MILLI;
const MARGIN_PART: Nanos = 12;
/// Nodes drop repeats for so long.
const DEDUP: Nanos = 10 * SECOND;
/// Proxies' grace after they heard of a drain.
const GRACE: Nanos = 500 * MILLI;

fn nanos(ms: f64) -> Nanos {
    (ms * MILLI as f64) as Nanos
}

/// What is due. Numbers are of requests, attempts, nodes and proxies; a timer's, of a process.
#[derive(Clone, Debug, Hash)]
enum Due {
    /// The next request of the open loop.
    Next,
    /// A client tries again.
    Again {
        class: usize,
        key: u64,
        token: u64,
        tries: u32,
        began: Nanos,
        until: Nanos,
    },
    /// An attempt reaches its node.
    Reaches(u64),
    /// The node at the other end is not there.
    Unreachable(u64),
    /// A node has something to do.
    Node(usize),
    Origin,
    /// A fetch reaches the origin, and its answer the node.
    FetchReaches {
        node: usize,
        job: u64,
        key: u64,
        write: bool,
        process: Nanos,
    },
    FetchAnswered {
        node: usize,
        job: u64,
        well: bool,
        process: Nanos,
    },
    /// An answer reaches the proxy.
    Comes {
        attempt: u64,
        status: Word,
        hit: Option<bool>,
    },
    /// An attempt is given up by its time-out.
    TimedOut(u64),
    /// The word that nobody waits any more reaches the node.
    Left(u64),
    Timer {
        proxy: usize,
        token: u64,
    },
    /// The proxy has no answer shortly before the client goes.
    Overdue(u64),
    Happens(usize, usize, bool),
    Told {
        proxy: usize,
        node: usize,
        state: u8,
        started: Nanos,
    },
}

/// A status that can be hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Ok,
    Error,
    Full,
    Reset,
    Missing,
}

struct Asked {
    /// The process that took it.
    proxy: usize,
    class: usize,
    key: u64,
    token: u64,
    tries: u32,
    began: Nanos,
    until: Nanos,
    deadline: Nanos,
    attempts: Vec<u64>,
    answered: bool,
}

struct Attempt {
    request: u64,
    number: u32,
    node: usize,
    server: u64,
    sent: Nanos,
    out: bool,
    /// The start of the node's process that it came to.
    process: Nanos,
}

struct World<'a> {
    scenario: &'a Scenario,
    ids: Vec<String>,
    servers: Vec<u64>,
    nodes: Vec<Node>,
    origin: Node,
    /// Of a fetch at the origin: which node's job, and in which process of it.
    fetches: HashMap<u64, (usize, u64, Nanos)>,
    processes: Processes,
    /// What each node was last listed as: draining, and its process's start.
    listed: Vec<(State, Nanos)>,
    asked: HashMap<u64, Asked>,
    attempts: HashMap<u64, Attempt>,
    /// Attempts that nodes still have: of which request, and the token of a keyed one.
    jobs: HashMap<u64, (u64, Option<u64>)>,
    /// Keyed writes that ran, by token.
    ran: HashMap<u64, Nanos>,
    /// The node that a keyed request ran at, or was answered from memory by.
    ran_for: HashMap<u64, usize>,
    /// Attempts that were repeats and dropped, and the node that had run the first.
    dropped: HashMap<u64, usize>,
    timeline: Timeline<Due>,
    chance: Chance,
    traffic: Traffic,
    books: History,
    figures: Figures,
    number: u64,
    /// When each node, and last the origin, is looked at next. Danger: put in anew with each request, these looks would
    /// multiply without end.
    looks: Vec<Nanos>,
    now: Nanos,
}

/// Plays a scenario. It ends when all that was asked has been answered.
///
/// # Errors
/// A scenario that can't be played.
pub fn play(scenario: &Scenario) -> Result<Figures, ScenarioError> {
    let mut world = World::new(scenario);
    world.timeline.put(BEGIN, Due::Next);
    for (i, event) in scenario.event.iter().enumerate() {
        let on = scenario.named(&event.on);
        let places = match event.what {
            What::Otherwise(part) => (part * scenario.proxies as f64).round() as usize,
            What::Rate(_) | What::HotKey(_) | What::Scan(_) => 1,
            _ if event.on == "origin" => 1,
            _ => on.len(),
        };
        for place in 0..places {
            let at = BEGIN + ((event.at + event.every * place as f64) * 1e9) as Nanos;
            world.timeline.put(at, Due::Happens(i, place, true));
            if let Some(lasts) = event.lasts {
                world.timeline.put(at + (lasts * 1e9) as Nanos, Due::Happens(i, place, false));
            }
        }
    }
    let mut digest = SipHasher13::new();
    // Danger: a node that was paused for ever, or a timer that arms itself, would never let it end.
    let end = BEGIN + ((scenario.seconds + 120.0) * 1e9) as Nanos;
    while let Some((at, due)) = world.timeline.take(end) {
        world.now = at;
        (at, &due).hash(&mut digest);
        world.figures.events += 1;
        world.happen(due);
        if at > BEGIN + (scenario.seconds * 1e9) as Nanos && world.asked.is_empty() {
            break;
        }
    }
    let tolerance = Tolerance { late: 0, drain: GRACE, crossing: 0 };
    let mut figures = world.figures;
    figures.breaches = world.books.audit(tolerance);
    figures.digest = digest.finish();
    Ok(figures)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario) -> World<'a> {
        let all = scenario.nodes();
        let traffic = Traffic::new(scenario);
        let mut nodes = Vec::new();
        for (n, (_, fleet)) in all.iter().enumerate() {
            let fleet = &scenario.fleet[*fleet];
            let started = if fleet.cold { BEGIN } else { 0 };
            let mut node = Node::new(fleet.node.clone(), started).expect("checked");
            if let Some(kept) = fleet.node.kept.filter(|_| !fleet.cold) {
                // Each key at two of the nodes, as its candidates would have it after a while: which ones is not known here,
                // so that some of it is of no use.
                let most = (kept.keys.get() as u64).min(scenario.keys.count);
                for rank in (0..most).rev().filter(|r| (r + n as u64).is_multiple_of(2) || all.len() < 3) {
                    node.keep(traffic.of_rank(rank, 0), BEGIN);
                }
            }
            nodes.push(node);
        }
        let ids: Vec<String> = all.iter().map(|(id, _)| id.clone()).collect();
        let settings = settings(scenario);
        let processes = Processes::new(&settings, scenario.proxies, scenario.seed);
        let class = |c: &crate::scenario::Class| ClassFigures {
            name: c.name.clone(),
            asked: 0,
            repeats: 0,
            served: 0,
            refused: 0,
            failed: 0,
            times: Histogram::new(3).expect("three figures"),
        };
        let figures = Figures {
            classes: scenario.class.iter().map(class).collect(),
            seconds: Vec::new(),
            nodes: ids.clone(),
            fell: Vec::new(),
            breaches: Vec::new(),
            digest: 0,
            events: 0,
            marks: Vec::new(),
        };
        let mut world = World {
            servers: ids.iter().map(|id| api::server_id(id)).collect(),
            ids,
            nodes,
            origin: Node::new(scenario.origin.clone(), 0).expect("checked"),
            fetches: HashMap::new(),
            processes,
            listed: Vec::new(),
            asked: HashMap::new(),
            attempts: HashMap::new(),
            jobs: HashMap::new(),
            ran: HashMap::new(),
            ran_for: HashMap::new(),
            dropped: HashMap::new(),
            timeline: Timeline::default(),
            chance: Chance::seed_from_u64(scenario.seed),
            traffic,
            books: History::default(),
            figures,
            number: 0,
            looks: vec![Nanos::MAX; all.len() + 1],
            scenario,
            now: BEGIN,
        };
        let list: Vec<api::Entry> = (0..world.nodes.len()).map(|n| world.entry(n, State::Ready)).collect();
        world.listed = list.iter().map(|e| (e.state, e.started_at)).collect();
        for process in 0..world.processes.proxies() {
            world.feed(process, Event::List { kind: ListKind::Full, entries: list.clone() });
        }
        world
    }

    fn entry(&self, node: usize, state: State) -> api::Entry {
        let (_, fleet) = &self.scenario.nodes()[node];
        let zones: Vec<&str> = self.scenario.fleet.iter().map(|f| f.zone.as_str()).collect();
        let zone = zones.iter().position(|z| *z == self.scenario.fleet[*fleet].zone).unwrap_or(0);
        let settings = &self.scenario.fleet[*fleet].node;
        api::Entry {
            server: self.servers[node],
            zone: zone as u32,
            kind: *fleet as u32,
            cell: 0,
            state,
            weight: settings.cores as f64 * settings.speed,
            started_at: self.nodes[node].started(),
            incarnation: None,
        }
    }

    fn second(&mut self) -> &mut Second {
        let at = ((self.now - BEGIN) / SECOND) as usize;
        let nodes = self.nodes.len();
        while self.figures.seconds.len() <= at {
            self.figures.seconds.push(Second { nodes: vec![0; nodes], ..Second::default() });
        }
        &mut self.figures.seconds[at]
    }

    fn new_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn way(&self) -> Nanos {
        nanos(self.scenario.way_ms)
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Next => {
                if self.now < BEGIN + (self.scenario.seconds * 1e9) as Nanos {
                    let gap = self.traffic.gap(&mut self.chance);
                    self.timeline.put(self.now + gap, Due::Next);
                    let class = self.traffic.class(&mut self.chance);
                    let key = self.traffic.key(self.scenario.class[class].write, self.now, &mut self.chance);
                    let patience = nanos(self.scenario.class[class].patience_ms);
                    let token = self.new_number();
                    self.ask(class, key, token, 0, self.now, self.now + patience);
                }
            }
            Due::Again { class, key, token, tries, began, until } => {
                self.ask(class, key, token, tries, began, until);
            }
            Due::Reaches(attempt) => self.reaches(attempt),
            Due::Unreachable(attempt) => self.ended(attempt, Status::ConnectFailed, None),
            Due::Node(node) => {
                if !self.looked_at(node) {
                    return;
                }
                let mut out = Vec::new();
                self.nodes[node].advance(self.now, &mut self.chance, &mut out);
                self.said(node, out);
            }
            Due::Origin => {
                if !self.looked_at(self.nodes.len()) {
                    return;
                }
                let mut out = Vec::new();
                self.origin.advance(self.now, &mut self.chance, &mut out);
                self.origin_said(out);
            }
            Due::FetchReaches { node, job, key, write, process } => {
                self.second().origin += 1;
                let id = self.new_number();
                self.fetches.insert(id, (node, job, process));
                let mut out = Vec::new();
                let fetch = Request { id, key, write, token: None };
                self.origin.arrive(self.now, fetch, &mut self.chance, &mut out);
                self.origin_said(out);
            }
            Due::FetchAnswered { node, job, well, process } => {
                if self.nodes[node].started() == process {
                    let mut out = Vec::new();
                    self.nodes[node].fetched(self.now, job, well, &mut self.chance, &mut out);
                    self.said(node, out);
                }
            }
            Due::Comes { attempt, status, hit } => {
                let status = match status {
                    Word::Ok => Status::Ok,
                    Word::Error => Status::Error,
                    Word::Full => Status::Full,
                    Word::Reset => Status::Reset,
                    Word::Missing => Status::Miss,
                };
                self.ended(attempt, status, hit);
            }
            Due::TimedOut(attempt) => {
                if self.attempts.get(&attempt).is_some_and(|a| a.out) {
                    self.timeline.put(self.now + self.way(), Due::Left(attempt));
                    self.ended(attempt, Status::Timeout, None);
                }
            }
            Due::Left(attempt) => {
                if let Some(a) = self.attempts.remove(&attempt) {
                    self.nodes[a.node].left(attempt);
                }
            }
            Due::Timer { proxy, token } => self.feed(proxy, Event::Timer(token)),
            Due::Overdue(request) => self.overdue(request),
            Due::Happens(event, place, begins) => self.happens(event, place, begins),
            Due::Told { proxy, node, state, started } => self.told(proxy, node, state, started),
        }
    }

    // ---- clients ----

    fn ask(&mut self, class: usize, key: u64, token: u64, tries: u32, began: Nanos, until: Nanos) {
        let id = self.new_number();
        let proxy = self.processes.serving((id % self.processes.proxies() as u64) as usize);
        let told = &self.scenario.class[class];
        let patience = until.saturating_sub(self.now);
        let margin = MARGIN.min(patience / MARGIN_PART);
        let figures = &mut self.figures.classes[class];
        figures.asked += 1;
        figures.repeats += u64::from(tries > 0);
        let effect = match told.effect {
            Effect::Safe => rushquay_history::Effect::Safe,
            Effect::Keyed => rushquay_history::Effect::Keyed,
            Effect::Unsafe => rushquay_history::Effect::Unsafe,
        };
        self.books.record(self.now, Entry::Asked { id: id.to_string(), effect, within: patience });
        let asked = Asked {
            proxy,
            class,
            key,
            token,
            tries,
            began,
            until,
            deadline: self.now + patience - margin,
            attempts: Vec::new(),
            answered: false,
        };
        self.asked.insert(id, asked);
        self.timeline.put(self.now + patience - margin / 2, Due::Overdue(id));
        let request = api::Request {
            id,
            class: class as u32,
            tenant: None,
            key: Some(self.processes.key(proxy, key)),
            remaining: patience - margin,
            is_write: told.write,
            is_marked_retry: tries > 0,
            pinned: None,
        };
        self.feed(proxy, Event::Arrival(request));
    }

    /// The one final answer.
    fn answer(
        &mut self,
        request: u64,
        answer: rushquay_history::Answer,
        by: Option<usize>,
        retry_after: Nanos,
    ) {
        use rushquay_history::Answer::{Failed, Refused, Served};
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&request).filter(|a| !a.answered) else { return };
        asked.answered = true;
        let (class, key, token, tries, began, until) =
            (asked.class, asked.key, asked.token, asked.tries, asked.began, asked.until);
        let by = by.map(|node| self.ids[node].clone());
        self.books.record(now, Entry::Final { id: request.to_string(), answer, by });
        let figures = &mut self.figures.classes[class];
        match answer {
            Served => {
                figures.served += 1;
                // It grows with what it is given.
                let _ = figures.times.record((now - began) / 1000);
            }
            Refused => figures.refused += 1,
            Failed => figures.failed += 1,
        }
        let second = self.second();
        match answer {
            Served => second.served += 1,
            Refused => second.refused += 1,
            Failed => second.failed += 1,
        }
        let told = &self.scenario.class[class];
        let harmless = answer == Refused || answer == Failed && told.effect != Effect::Unsafe;
        let again = now + nanos(told.retry_ms).max(retry_after);
        if answer != Served && harmless && tries < told.retries && again < until {
            self.timeline.put(again, Due::Again { class, key, token, tries: tries + 1, began, until });
        }
    }

    fn overdue(&mut self, request: u64) {
        let Some(asked) = self.asked.get(&request).filter(|a| !a.answered) else { return };
        let proxy = asked.proxy;
        self.answer(request, rushquay_history::Answer::Failed, None, 0);
        self.feed(proxy, Event::ClientGone(request));
        self.call_off_all(request);
        self.forget(request);
    }

    // ---- proxies ----

    fn feed(&mut self, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.processes.handle(proxy, self.now, event, &mut actions);
        for action in actions {
            self.act(proxy, action);
        }
    }

    fn act(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => {
                let of = self.asked.get(&id).and_then(|a| a.attempts.get(attempt as usize).copied());
                if let Some(attempt) = of {
                    self.call_off(attempt);
                }
                self.forget(id);
            }
            Action::Reject { id, retry_after } => {
                self.answer(id, rushquay_history::Answer::Refused, None, retry_after);
                self.over(id);
            }
            Action::Fail { id } => {
                self.answer(id, rushquay_history::Answer::Failed, None, 0);
                self.over(id);
            }
            Action::Timer { token, delay } => {
                self.timeline.put(self.now + delay, Due::Timer { proxy, token });
            }
            // The list is pushed, and connections are not modelled.
            Action::Close(_) | Action::Subscribe => {}
        }
    }

    fn over(&mut self, request: u64) {
        self.call_off_all(request);
        self.forget(request);
    }

    fn send(&mut self, request: u64, server: u64, timeout: Nanos) {
        let number = self.new_number();
        let Some(node) = self.servers.iter().position(|s| *s == server) else { return };
        let Some(asked) = self.asked.get_mut(&request) else { return };
        let order = asked.attempts.len() as u32;
        asked.attempts.push(number);
        let left = asked.deadline.saturating_sub(self.now);
        let moot = asked.answered || left == 0;
        let attempt = Attempt { request, number: order, node, server, sent: self.now, out: true, process: 0 };
        self.attempts.insert(number, attempt);
        if moot {
            self.ended(number, Status::Moot, None);
            return;
        }
        self.books.record(self.now, Entry::Sent { id: request.to_string(), node: self.ids[node].clone() });
        let wait = if timeout == 0 { left } else { timeout.min(left) };
        self.timeline.put(self.now + wait, Due::TimedOut(number));
        if self.nodes[node].is_down() {
            self.timeline.put(self.now + nanos(self.scenario.connect_ms), Due::Unreachable(number));
        } else {
            self.timeline.put(self.now + self.way(), Due::Reaches(number));
        }
    }

    fn call_off(&mut self, attempt: u64) {
        if self.attempts.get(&attempt).is_some_and(|a| a.out) {
            self.timeline.put(self.now + self.way(), Due::Left(attempt));
            self.ended(attempt, Status::Cancelled, None);
        }
    }

    fn call_off_all(&mut self, request: u64) {
        let attempts = self.asked.get(&request).map(|a| a.attempts.clone()).unwrap_or_default();
        attempts.into_iter().for_each(|a| self.call_off(a));
    }

    /// An attempt has ended, as its proxy sees it.
    fn ended(&mut self, attempt: u64, status: Status, hit: Option<bool>) {
        let Some(a) = self.attempts.get_mut(&attempt).filter(|a| a.out) else { return };
        a.out = false;
        let (id, number, server, node, elapsed) = (a.request, a.number, a.server, a.node, self.now - a.sent);
        if !matches!(status, Status::Timeout | Status::Cancelled) {
            self.attempts.remove(&attempt);
        }
        let Some(proxy) = self.asked.get(&id).map(|a| a.proxy) else { return };
        let by = self.dropped.remove(&attempt).unwrap_or(node);
        if status == Status::Ok {
            self.answer(id, rushquay_history::Answer::Served, Some(by), 0);
        }
        let last = self.asked.get(&id).is_none_or(|a| a.answered);
        self.feed(proxy, Event::Outcome { id, attempt: number, server, status, elapsed, last, hit });
        self.forget(id);
    }

    /// Drops a request that has had its answer and has no attempt out.
    fn forget(&mut self, request: u64) {
        let out = |a: &u64| self.attempts.get(a).is_some_and(|a| a.out);
        if self.asked.get(&request).is_some_and(|r| r.answered && !r.attempts.iter().any(out)) {
            self.asked.remove(&request);
        }
    }

    // ---- nodes ----

    fn reaches(&mut self, attempt: u64) {
        let Some(a) = self.attempts.get_mut(&attempt).filter(|a| a.out) else { return };
        let node = a.node;
        a.process = self.nodes[node].started();
        let Some(asked) = self.asked.get(&a.request) else { return };
        let told = &self.scenario.class[asked.class];
        let token = (told.effect == Effect::Keyed).then_some(asked.token);
        let (request, key, write) = (a.request, asked.key, told.write);
        // Which repeats are dropped is the whole group's matter, and not one node's.
        let job = Request { id: attempt, key, write, token: None };
        self.jobs.insert(attempt, (request, token));
        self.second().nodes[node] += 1;
        let mut out = Vec::new();
        self.nodes[node].arrive(self.now, job, &mut self.chance, &mut out);
        self.said(node, out);
    }

    fn said(&mut self, node: usize, out: Vec<Out>) {
        let way = self.way();
        for Out { at, say } in out {
            match say {
                NodeEvent::Ran(attempt) => self.ran(node, attempt),
                NodeEvent::Answer(attempt, answer) => {
                    let (status, hit) = match answer {
                        Answer::Served { hit, .. } => (Word::Ok, Some(hit)),
                        Answer::Missing => (Word::Missing, Some(false)),
                        Answer::Full => (Word::Full, None),
                        Answer::Error => (Word::Error, None),
                        Answer::Reset => (Word::Reset, None),
                    };
                    let write = self.attempts.get(&attempt).and_then(|a| self.asked.get(&a.request));
                    let write = write.is_some_and(|r| self.scenario.class[r.class].write);
                    let hit = hit.filter(|_| !write);
                    self.jobs.remove(&attempt);
                    self.timeline.put(at + way, Due::Comes { attempt, status, hit });
                }
                NodeEvent::Fetch(Request { id: job, key, write, .. }) => {
                    let process = self.nodes[node].started();
                    self.timeline.put(at + way, Due::FetchReaches { node, job, key, write, process });
                }
                NodeEvent::Fell => {
                    let mark = format!("{} fell over", self.ids[node]);
                    self.mark(mark);
                    self.figures.fell.push(self.ids[node].clone());
                }
            }
        }
        self.look_at(node, self.nodes[node].next(), Due::Node(node));
    }

    /// Something had its effect, whether or not anybody still waits. Repeats of a token are dropped by whichever node they
    /// come to: here all nodes are of one group.
    fn ran(&mut self, node: usize, attempt: u64) {
        let Some((request, token)) = self.jobs.get(&attempt).copied() else { return };
        if let Some(token) = token {
            let remembered = self.ran.get(&token).is_some_and(|at| self.now - at < DEDUP);
            if !remembered {
                self.ran.insert(token, self.now);
            } else if let Some(by) = self.ran_for.get(&request) {
                self.dropped.insert(attempt, *by);
                return;
            }
            // A client's own repeat, under another id, is answered from what the first one did: it counts once for each.
            self.ran_for.insert(request, node);
        }
        self.books.record(self.now, Entry::Ran { id: request.to_string(), node: self.ids[node].clone() });
    }

    fn origin_said(&mut self, out: Vec<Out>) {
        let way = self.way();
        for Out { at, say } in out {
            if let NodeEvent::Answer(fetch, answer) = say {
                if let Some((node, job, process)) = self.fetches.remove(&fetch) {
                    let well = matches!(answer, Answer::Served { .. });
                    self.timeline.put(at + way, Due::FetchAnswered { node, job, well, process });
                }
            }
        }
        self.look_at(self.nodes.len(), self.origin.next(), Due::Origin);
    }

    /// Has one looked at when something is due there, unless it will be by then.
    fn look_at(&mut self, which: usize, next: Option<Nanos>, due: Due) {
        if let Some(next) = next.filter(|next| *next < self.looks[which]) {
            self.looks[which] = next;
            self.timeline.put(next, due);
        }
    }

    /// It is looked at now; false: a look that another came before.
    fn looked_at(&mut self, which: usize) -> bool {
        let due = self.looks[which] <= self.now;
        if due {
            self.looks[which] = Nanos::MAX;
        }
        due
    }

    // ---- what happens ----

    fn mark(&mut self, what: String) {
        self.figures.marks.push(((self.now - BEGIN) as f64 / 1e9, what));
    }

    fn happens(&mut self, event: usize, place: usize, begins: bool) {
        let scenario = self.scenario;
        let happening: &Happening = &scenario.event[event];
        let until = self.now + (happening.lasts.unwrap_or(0.0) * 1e9) as Nanos;
        if place == 0 {
            let word = if begins { "" } else { " is over" };
            self.mark(format!("{:?} on {}{word}", happening.what, happening.on));
        }
        match (happening.what, begins) {
            (What::Rate(x), true) => return self.traffic.times = x,
            (What::Rate(_), false) => return self.traffic.times = 1.0,
            (What::HotKey(p), true) => return self.traffic.hot = p,
            (What::HotKey(_), false) => return self.traffic.hot = 0.0,
            (What::Scan(p), true) => return self.traffic.scan = p,
            (What::Scan(_), false) => return self.traffic.scan = 0.0,
            (What::Otherwise(_), begins) => return self.replace(place, begins),
            _ => {}
        }
        let fault = match (happening.what, begins) {
            (What::Pause, true) => Some(Fault::Pause(until)),
            (What::Slow(x), true) => Some(Fault::Slow(x)),
            (What::Slow(_), false) => Some(Fault::Slow(1.0)),
            (What::Errors(p), true) => Some(Fault::Errors(p)),
            (What::Errors(_), false) => Some(Fault::Errors(0.0)),
            (What::Resets(p), true) => Some(Fault::Resets(p)),
            (What::Resets(_), false) => Some(Fault::Resets(0.0)),
            (What::FalseMisses(p), true) => Some(Fault::FalseMisses(p)),
            (What::FalseMisses(_), false) => Some(Fault::FalseMisses(0.0)),
            (What::Vanish, true) => Some(Fault::Vanish),
            (What::Vanish, false) | (What::Crash, true) => Some(Fault::Restart),
            _ => None,
        };
        if happening.on == "origin" {
            if let Some(fault) = fault {
                let mut out = Vec::new();
                self.origin.fault(self.now, fault, &mut self.chance, &mut out);
                self.origin_said(out);
            }
            return;
        }
        let node = scenario.named(&happening.on)[place];
        match (happening.what, begins) {
            (What::Drain, true) => self.list(node, 1),
            (What::Drain, false) => self.list(node, 0),
            (What::Restart, true) => {
                self.list(node, 1);
                // Its work is done by then.
                self.timeline.put(self.now + 2 * SECOND, Due::Happens(event, place, false));
            }
            (What::Restart, false) => {
                self.fault(node, Fault::Restart);
                self.list(node, 0);
            }
            _ => {}
        }
        if let Some(fault) = fault {
            self.fault(node, fault);
            if fault == Fault::Restart {
                // Discovery hears of the new process.
                self.list(node, 0);
            }
        }
    }

    /// A proxy is changed to the version that places keys otherwise, or back.
    fn replace(&mut self, proxy: usize, otherwise: bool) {
        if self.processes.otherwise(proxy) == otherwise {
            return;
        }
        let entry = |n: usize| {
            let (state, started) = self.listed[n];
            api::Entry { started_at: started, ..self.entry(n, state) }
        };
        let list = (0..self.nodes.len()).map(entry).collect();
        let (process, actions) = self.processes.replace(proxy, self.now, list, otherwise);
        for action in actions {
            self.act(process, action);
        }
    }

    fn fault(&mut self, node: usize, fault: Fault) {
        let mut out = Vec::new();
        self.nodes[node].fault(self.now, fault, &mut self.chance, &mut out);
        self.said(node, out);
    }

    /// The list changes; proxies hear of it after a while.
    fn list(&mut self, node: usize, state: u8) {
        let started = self.nodes[node].started();
        let after = self.now + nanos(self.scenario.discovery_ms);
        for proxy in 0..self.processes.proxies() {
            self.timeline.put(after, Due::Told { proxy, node, state, started });
        }
    }

    fn told(&mut self, proxy: usize, node: usize, state: u8, started: Nanos) {
        let state = if state == 1 { State::Draining } else { State::Ready };
        if proxy == 0 {
            // All hear of it at the same moment.
            let id = self.ids[node].clone();
            let entry = if state == State::Draining {
                Entry::Drained { node: id }
            } else {
                Entry::Ready { node: id }
            };
            self.books.record(self.now, entry);
            self.listed[node] = (state, started);
        }
        let entry = api::Entry { started_at: started, ..self.entry(node, state) };
        for process in self.processes.of(proxy) {
            self.feed(process, Event::List { kind: ListKind::Delta, entries: vec![entry.clone()] });
        }
    }
}

fn settings(scenario: &Scenario) -> Settings {
    let (cold, fall) = scenario.cold();
    let class = |c: &crate::scenario::Class| api::Class {
        latency_objective: nanos(c.aim_ms),
        deadline: nanos(c.patience_ms),
        effect: match c.effect {
            Effect::Safe => api::Effect::Safe,
            Effect::Keyed => api::Effect::Keyed,
            Effect::Unsafe => api::Effect::Unsafe,
        },
        dedup_window: DEDUP,
        late_value: 0.5,
        worth: c.worth,
        ..api::Class::default()
    };
    Settings {
        classes: scenario.class.iter().map(class).collect(),
        proxies: scenario.proxies as u32,
        max_attempts: 4,
        allows_cancel: true,
        allows_hedging: true,
        max_retry_after: 2 * SECOND,
        conn_idle: 60 * SECOND,
        initial_capacity_fraction: cold.map_or(1.0, |c| c.from),
        warm_up_time: cold.map_or(0, |c| nanos(c.for_ms)),
        overload_multiple: fall.map_or(0.0, |f| f.multiple),
        overload_window: fall.map_or(0, |f| nanos(f.for_ms)),
        max_subscribe_delay: 10 * SECOND,
        marks_retry: true,
        ..Settings::default()
    }
}
