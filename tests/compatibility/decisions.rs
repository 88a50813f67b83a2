//! The decision module on a recorded stream of a million events: four kinds of site, two seeds each, played on the simulator's wire. What
//! it does is held by a digest of its actions, so that a change which only moves code can be told from one that changes a decision.

use crate::golden::assert_same;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Events of one play; eight plays make a million.
const EVENTS: u64 = 125_000;
const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;

/// SplitMix64: the stream must be the same with every version of every library.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// True once in so many times.
    fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}

/// A kind of site.
struct Site {
    name: &'static str,
    settings: &'static str,
    /// Cache nodes; one in eight is an origin where the proxy asks it.
    nodes: u64,
    classes: u64,
    tenants: u64,
    zones: u64,
    aside: bool,
    /// Mean time between requests.
    every: u64,
    keys: u64,
}

const RULES: &str =
    "rules.cold_from=0.2 rules.cold_ns=20000000000 rules.fall_multiple=3 rules.fall_ns=1000000000 \
                     rules.let_go_in_ns=2000000000 rules.must_ask_in_ns=10000000000";

const SITES: [Site; 4] = [
    Site {
        name: "one zone, reads and writes, origin asked by the proxy",
        settings: "categories.count=3 categories.0.promise_ns=300000000 categories.0.deadline_ns=800000000 categories.0.value=1 \
                   categories.0.effect=safe categories.1.promise_ns=500000000 categories.1.deadline_ns=2000000000 \
                   categories.1.value=3 categories.1.effect=keyed categories.1.dedup_window_ns=1500000000 categories.1.group=all \
                   categories.1.late_value=0.5 categories.2.promise_ns=400000000 categories.2.deadline_ns=1000000000 \
                   categories.2.value=2 categories.2.effect=unsafe customers.count=2 customers.0.quota_rps=60 customers.1.quota_rps=20 \
                   zone=0 n_instances=4 self_index=1 discovery=subscribe family_info.mode=aside family_info.origin_kind=1 \
                   over_share_worth=0.1 worth_by=request caps.attempts_cap=4 caps.cancelling=true caps.second_copies=true \
                   caps.max_retry_after_ns=1000000000 caps.conn_idle_ns=30000000000 deductions.handshake=0.05 \
                   deductions.cross_zone=0.1 client_habits.marks_retry=true",
        nodes: 24,
        classes: 3,
        tenants: 2,
        zones: 1,
        aside: true,
        every: 16 * MS,
        keys: 3000,
    },
    Site {
        name: "three zones, placed classes, caches that fetch",
        settings: "categories.count=2 categories.0.promise_ns=200000000 categories.0.deadline_ns=600000000 categories.0.value=1 \
                   categories.0.effect=safe categories.0.allowed_in=0,1 categories.1.promise_ns=1000000000 \
                   categories.1.deadline_ns=3000000000 categories.1.value=5 categories.1.effect=keyed categories.1.group=zone \
                   categories.1.dedup_window_ns=2000000000 categories.1.allowed_on=0 zone=1 n_instances=30 self_index=7 \
                   discovery=push family_info.mode=through over_share_worth=0.2 worth_by=work caps.attempts_cap=3 \
                   caps.cancelling=true caps.second_copies=false caps.max_retry_after_ns=0 deductions.cross_zone=0.3",
        nodes: 40,
        classes: 2,
        tenants: 0,
        zones: 3,
        aside: false,
        every: 20 * MS,
        keys: 20_000,
    },
    Site {
        name: "few nodes under overload, streams, no cancelling",
        settings: "categories.count=2 categories.0.promise_ns=100000000 categories.0.deadline_ns=300000000 categories.0.value=1 \
                   categories.0.effect=safe categories.0.late_value=0.2 categories.1.promise_ns=400000000 \
                   categories.1.deadline_ns=1500000000 categories.1.value=4 categories.1.effect=unsafe categories.1.stream=true \
                   customers.count=3 customers.0.quota_rps=30 customers.1.quota_rps=30 customers.2.quota_rps=5 zone=0 n_instances=2 \
                   self_index=0 discovery=subscribe family_info.mode=aside family_info.origin_kind=1 over_share_worth=0 \
                   worth_by=request caps.attempts_cap=2 caps.cancelling=false caps.second_copies=false \
                   caps.max_retry_after_ns=2000000000 caps.conn_idle_ns=5000000000",
        nodes: 6,
        classes: 2,
        tenants: 3,
        zones: 1,
        aside: true,
        every: 6 * MS,
        keys: 200,
    },
    Site {
        name: "a large fleet with little traffic for each proxy",
        settings: "categories.count=1 categories.0.promise_ns=300000000 categories.0.deadline_ns=1200000000 categories.0.value=1 \
                   categories.0.effect=keyed categories.0.group=cell categories.0.dedup_window_ns=700000000 zone=2 n_instances=300 \
                   self_index=151 discovery=subscribe family_info.mode=aside family_info.origin_kind=1 over_share_worth=0.1 \
                   worth_by=request caps.attempts_cap=5 caps.cancelling=true caps.second_copies=true \
                   caps.max_retry_after_ns=500000000",
        nodes: 160,
        classes: 1,
        tenants: 0,
        zones: 4,
        aside: true,
        every: 60 * MS,
        keys: 50_000,
    },
];

/// What is to happen to the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    List,
    Timer(u64),
    Expired(u64),
    Outcome { id: u64, attempt: u64 },
}

#[derive(Clone)]
struct Node {
    state: &'static str,
    kind: u64,
    zone: u64,
    started: u64,
}

struct Attempt {
    node: String,
    sent: u64,
    status: &'static str,
    hit: u64,
    out: bool,
}

struct Play<'a> {
    site: &'a Site,
    random: Random,
    now: u64,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    order: u64,
    nodes: BTreeMap<String, Node>,
    attempts: BTreeMap<u64, Vec<Attempt>>,
    next: u64,
    version: u64,
    events: u64,
    batch: String,
    child: Child,
    input: BufWriter<ChildStdin>,
    output: BufReader<ChildStdout>,
    digest: u64,
    kinds: BTreeMap<String, u64>,
}

impl<'a> Play<'a> {
    fn new(site: &'a Site, seed: u64) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"));
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("started");
        let input = BufWriter::new(child.stdin.take().expect("its input"));
        let output = BufReader::new(child.stdout.take().expect("its output"));
        let mut play = Play {
            site,
            random: Random(seed),
            now: 1000 * SECOND,
            due: BinaryHeap::new(),
            order: 0,
            nodes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next: 1,
            version: 1,
            events: 0,
            batch: String::new(),
            child,
            input,
            output,
            digest: 0xcbf2_9ce4_8422_2325,
            kinds: BTreeMap::new(),
        };
        let _ = writeln!(play.batch, "new_instance p {seed} {} {RULES}", site.settings);
        for number in 0..site.nodes {
            let origin = site.aside && number % 8 == 7;
            let node = Node { state: "IN", kind: u64::from(origin), zone: number % site.zones, started: 0 };
            play.nodes.insert(format!("n{number:03}"), node);
        }
        let all: Vec<String> = play.nodes.keys().cloned().collect();
        play.list("C", &all);
        play.plan(0, Due::Arrival);
        play.plan(2 * SECOND, Due::List);
        play
    }

    fn plan(&mut self, after: u64, due: Due) {
        self.order += 1;
        self.due.push(Reverse((self.now + after, self.order, due)));
    }

    fn list(&mut self, scope: &str, names: &[String]) {
        let _ = writeln!(self.batch, "page 0 {}", names.len());
        for name in names {
            let node = &self.nodes[name];
            let Node { state, kind, zone, started } = node;
            let started = if *started == 0 { "-".to_owned() } else { started.to_string() };
            let cell = zone * 2 + kind;
            let _ = writeln!(self.batch, "entry {name} {zone} {kind} {cell} {state} 1.0 {started}");
        }
        let _ = writeln!(self.batch, "backends_changed p {scope} {} 0", self.version);
        self.version += 1;
    }

    /// Nodes drain, go, come back cold; now and then the list fails or comes whole.
    fn change_list(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        match self.random.below(10) {
            0 => {
                let _ = writeln!(self.batch, "backends_changed p X {} 0", self.version);
            }
            1 => self.list("F", &names),
            _ => {
                let name = names[self.random.below(names.len() as u64) as usize].clone();
                let now = self.now;
                let node = self.nodes.get_mut(&name).expect("a node");
                (node.state, node.started) = match node.state {
                    "IN" => ("LAME", node.started),
                    "LAME" => ("OUT", node.started),
                    _ => ("IN", now),
                };
                self.list("D", &[name]);
            }
        }
        let after = SECOND + self.random.below(3 * SECOND);
        self.plan(after, Due::List);
    }

    fn arrive(&mut self) {
        let (id, class) = (self.next, self.random.below(self.site.classes));
        self.next += 1;
        let tenant = match self.site.tenants {
            0 => "-".to_owned(),
            tenants => self.random.below(tenants).to_string(),
        };
        // A few keys take much of the traffic.
        let (one, two) = (self.random.below(self.site.keys), self.random.below(self.site.keys));
        let key = (one.min(two) + 1).wrapping_mul(0x1234_5677_89ab_cdef);
        let left = 200 * MS + self.random.below(1500 * MS);
        let flags = if self.random.one_in(8) { 4 } else { 0 } + if self.random.one_in(10) { 2 } else { 0 };
        let _ = writeln!(self.batch, "arrival p {id} {class} {tenant} {key:x} {left} - - {flags}");
        self.attempts.insert(id, Vec::new());
        self.plan(left, Due::Expired(id));
        let mean = if (self.now / (30 * SECOND)) % 4 == 3 { self.site.every / 4 } else { self.site.every };
        let after = self.random.below(2 * mean) + 1;
        self.plan(after, Due::Arrival);
    }

    /// What will become of an attempt.
    fn deliver(&mut self, id: u64, name: &str, timeout: u64) {
        let Some(node) = self.nodes.get(name).cloned() else { panic!("no node {name}") };
        let slow = name.as_bytes()[3].is_multiple_of(4);
        let (status, after) = match self.random.below(400) {
            0 => ("err", 5 * MS),
            1 => ("econnreset", 8 * MS),
            2 => ("busy", 2 * MS),
            3 => ("etimedout", u64::MAX),
            _ if node.state == "OUT" => ("econnrefused", MS),
            4..=39 if node.kind == 0 && self.site.aside => ("enoent", 4 * MS),
            _ => ("done", (3 * MS + self.random.below(25 * MS)) * if slow { 3 } else { 1 }),
        };
        let (status, after) = if after >= timeout { ("etimedout", timeout) } else { (status, after) };
        let hit = match (status, node.kind) {
            ("done", 0) => 1 + u64::from(self.random.one_in(4)),
            _ => 0,
        };
        let now = self.now;
        let Some(attempts) = self.attempts.get_mut(&id) else { return };
        let attempt = attempts.len() as u64;
        attempts.push(Attempt { node: name.to_owned(), sent: now, status, hit, out: true });
        self.plan(after, Due::Outcome { id, attempt });
    }

    fn report(&mut self, id: u64, number: u64, status: &str, last: bool) {
        let Some(attempt) = self.attempts.get_mut(&id).and_then(|a| a.get_mut(number as usize)) else {
            return;
        };
        if !std::mem::take(&mut attempt.out) {
            return;
        }
        let (node, elapsed, hit) = (&attempt.node, self.now - attempt.sent, attempt.hit);
        let hit = if status == "done" && hit > 0 { hit.to_string() } else { "-".into() };
        let last = u8::from(last);
        let _ = writeln!(self.batch, "report_back p {id} {number} {node} {status} {elapsed} {last} {hit} -");
        self.events += 1;
    }

    fn outcome(&mut self, id: u64, number: u64) {
        let Some(attempt) = self.attempts.get(&id).and_then(|a| a.get(number as usize)) else { return };
        let status = attempt.status;
        if !attempt.out {
            return;
        }
        let done = status == "done";
        self.report(id, number, status, done);
        if done {
            self.end(id);
        }
    }

    /// The request has its answer: what is out is called off.
    fn end(&mut self, id: u64) {
        let out = self.attempts.get(&id).map_or(0, Vec::len) as u64;
        (0..out).for_each(|number| self.report(id, number, "ecanceled", false));
        self.attempts.remove(&id);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => self.arrive(),
            Due::List => self.change_list(),
            Due::Timer(token) => {
                let _ = writeln!(self.batch, "tick_due p {token}");
            }
            Due::Expired(id) => {
                if !self.attempts.contains_key(&id) {
                    return;
                }
                let _ = writeln!(self.batch, "expired p {id}");
                self.end(id);
            }
            Due::Outcome { id, attempt } => return self.outcome(id, attempt),
        }
        self.events += 1;
    }

    /// Hands the batch to the module and does what it says.
    fn exchange(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        write!(self.input, "frame {}\n{batch}go\n", self.now)
            .and_then(|()| self.input.flush())
            .expect("written");
        loop {
            let mut line = String::new();
            assert!(self.output.read_line(&mut line).expect("a reply") > 0, "the module's process ended");
            for byte in line.bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            let parts: Vec<&str> = line.trim_end().split(' ').collect();
            *self.kinds.entry(parts[0].to_owned()).or_default() += 1;
            let number = |at: usize| parts[at].parse::<u64>().expect("a number");
            match parts[0] {
                "end" => return,
                "deliver" => self.deliver(number(2), parts[3], number(4)),
                "abandon" => self.report(number(2), number(3), "ecanceled", false),
                "bounce" | "abort" => self.end(number(2)),
                "arm" => self.plan(number(3).min(3600 * SECOND), Due::Timer(number(2))),
                "close" | "stream_changes" => {}
                _ => panic!("{line}"),
            }
        }
    }

    /// The line of the golden file.
    fn run(mut self, seed: u64) -> String {
        self.exchange();
        while self.events < EVENTS {
            let Reverse((at, _, due)) = self.due.pop().expect("requests arrive for good");
            self.now = at;
            self.happen(due);
            if !self.batch.is_empty() {
                self.exchange();
            }
        }
        drop(self.input);
        assert!(self.child.wait().expect("it ends").success());
        let kinds: Vec<String> = self.kinds.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        format!(
            "{}; seed {seed}; {} events; {}; digest {:016x}\n",
            self.site.name,
            self.events,
            kinds.join(", "),
            self.digest
        )
    }
}

#[test]
fn a_million_events_lead_to_the_same_actions() {
    let plays: Vec<_> = SITES
        .iter()
        .flat_map(|site| {
            [17u64, 4242].map(|seed| std::thread::spawn(move || Play::new(site, seed).run(seed)))
        })
        .collect();
    let text: String = plays.into_iter().map(|play| play.join().expect("a play")).collect();
    assert_same("decisions.txt", &text);
}
