//! A proxy with relays on all its legs, and what surrounds it.

use super::cell::{Cell, Leg};
use super::client::{Client, Ordinals};
use super::wire::{Wire, WITHIN};
use super::LONG;
use rushquay::proxy::local::LocalProxy;
use rushquay_control_service::{start, ControlService, Options as ControlOptions, Settings, SourceOption};
use rushquay_endpoints::EndpointState;
use rushquay_fault_relay::{Cut, Direction, Options, Relay, Script};
use rushquay_history::{Entry, History, Nanos, Tolerance, Violation};
use rushquay_test_servers::{entry, proxy_config, Discovery, Node};
use rushquay_xds::client::ReceivedResource;
use rushquay_xds::Kind;
use rushquay_xds_resources::{decode, endpoint_name, DecodedResource};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is allowed beyond the rules: for all that runs beside this on a small machine.
const TOLERANCE: Tolerance = Tolerance { late: 1_000 * MS, drain: 700 * MS, crossing: 300 * MS };
/// What is sent after this would be a breach. Danger: requests that all come within the grace show nothing.
const BEYOND_GRACE: Duration = Duration::from_millis(800);
const MS: Nanos = rushquay_history::MILLI;

/// What came of a cell.
pub struct Outcome {
    pub breaches: Vec<Violation>,
    /// How often the fault acted.
    pub acted: usize,
    /// Requests that were owed an answer, and those served, refused and failed.
    pub counts: (usize, [usize; 3]),
    /// How late the latest final answer was.
    pub latest: Duration,
    /// How long after the drains the proxy was told of them: with the fault, and once it was over.
    pub told: [Duration; 2],
    /// What the clients themselves saw: whole answers, and none.
    pub clients: (usize, usize),
}

pub struct Rig {
    cells: Vec<Cell>,
    start: Instant,
    nodes: Vec<Node>,
    discovery: Discovery,
    /// The proxy's own, where the control service knows more.
    behind: Discovery,
    control: Option<ControlService>,
    relay: Relay,
    wire: Arc<Wire>,
    proxy: Option<LocalProxy>,
    clients: Vec<Client>,
}

fn lacks(path: &str) -> bool {
    path.starts_with("/lack/")
}

impl Rig {
    /// Rules for a few cells at a time, at most one on a leg.
    pub async fn start(cells: Vec<Cell>, seed: u64) -> Rig {
        let has_control = cells.iter().any(|c| c.leg.has_control());
        let mut nodes = Vec::new();
        for id in ["a", "b", "c"] {
            nodes.push(Node::start_lacking(id, Duration::from_millis(2), lacks).await);
        }
        nodes.push(Node::start("origin", Duration::from_millis(2)).await);
        let (discovery, behind) = (Discovery::start(41, &[]).await, Discovery::start(41, &[]).await);
        let mut targets: Vec<(String, SocketAddr)> = nodes.iter().map(|n| (n.id.clone(), n.addr)).collect();
        let own = if has_control { behind.addr } else { discovery.addr };
        targets.push(("discovery".into(), own));
        targets.push(("control-discovery".into(), discovery.addr));
        // Not known yet.
        targets.push(("client".into(), own));
        targets.push(("control".into(), own));
        let listener = |(name, target): &(String, SocketAddr)| {
            format!("[[listener]]\nname = '{name}'\nlisten = '127.0.0.1:0'\ntarget = '{target}'\n")
        };
        let listeners: String = targets.iter().map(listener).collect();
        let rules: String = cells.iter().filter_map(|c| c.rule()).collect();
        let script =
            Script::parse(&format!("seed = {seed}\n{listeners}{rules}")).unwrap_or_else(|e| panic!("{e}"));
        let wire = Arc::new(Wire::default());
        let options = Options { tap: Some(wire.clone()), ..Options::default() };
        let relay = Relay::start(script, options).await.expect("a relay");
        let through = |name: &str| relay.addr(name).expect("a listener");
        let list: Vec<Value> = nodes
            .iter()
            .map(|n| {
                let kind = if n.id == "origin" { "origin" } else { "std-1c" };
                let mut e = entry(n, "rajkot", kind, "ready", 1000);
                e["addr"] = json!(through(&n.id).to_string());
                e
            })
            .collect();
        discovery.replace(41, &list);
        behind.replace(41, &list);
        let control = match has_control {
            false => None,
            true => {
                let source = SourceOption::Discovery(through("control-discovery"));
                let any = "127.0.0.1:0".parse().expect("an address");
                let options = ControlOptions {
                    listen: any,
                    source,
                    admin: None,
                    settings: Settings::default(),
                    state_file: None,
                };
                Some(start(options).await.expect("a control service"))
            }
        };
        let subscribed: Vec<SocketAddr> = control.iter().map(|_| through("control")).collect();
        if let Some(control) = &control {
            relay.control().lead("control", control.xds).expect("a listener");
        }
        let mut config = proxy_config("p", through("discovery"), &subscribed, &list);
        let class = config["settings"]["categories"][0].clone();
        let named = |name: &str, effect: &str| {
            let mut c = class.clone();
            (c["name"], c["effect"]) = (json!(name), json!(effect));
            c["deadline_ns"] = json!(2_000_000_000u64);
            c
        };
        config["settings"]["categories"] = json!([
            named("read", "safe"),
            named("lack", "safe"),
            named("set", "keyed"),
            named("order", "unsafe")
        ]);
        config["settings"]["caps"]["connect_timeout_ns"] = json!(150_000_000u64);
        let text = config.to_string();
        let proxy = blocking(move || LocalProxy::start(&text).expect("a proxy")).await;
        relay.control().lead("client", proxy.addr).expect("a listener");
        let ordinals = Ordinals::default();
        let client = |i: usize| Client::new(format!("c{i}"), through("client"), ordinals.clone());
        let clients = (0..4).map(client).collect();
        let (start, proxy) = (Instant::now(), Some(proxy));
        Rig { cells, start, nodes, discovery, behind, control, relay, wire, proxy, clients }
    }

    async fn ask(&mut self, times: usize) {
        let mut asking = tokio::task::JoinSet::new();
        for mut client in std::mem::take(&mut self.clients) {
            asking.spawn(async move {
                client.ask(times).await;
                client
            });
        }
        self.clients = asking.join_all().await;
    }

    /// Whether the proxy has been told that the node drains.
    fn told(&self, node: &str) -> bool {
        let Some(control) = &self.control else { return self.wire.told(node) };
        let hub = control.hub();
        // Danger: any other change of the list, such as its first coming, would pass for the drain.
        let declared =
            hub.store().get(Kind::Endpoint, &endpoint_name("cache-nodes", "rajkot", node)).cloned();
        let draining = declared.is_some_and(|r| {
            let came = ReceivedResource {
                name: Some(r.name.to_string()),
                type_url: Kind::Endpoint.type_url().into(),
                body: r.body.to_vec(),
                ..ReceivedResource::default()
            };
            matches!(decode(Kind::Endpoint, &came), Ok((_, DecodedResource::Endpoint(s))) if s.member.state == EndpointState::Draining)
        });
        let taken = draining && hub.subscribers().iter().any(|s| s.has_all(Kind::Endpoint));
        if taken {
            self.wire.enter(Instant::now(), Entry::Drained { node: node.to_owned() });
        }
        taken
    }

    /// Plays the cell: work, a drain under way while the fault acts, then without the fault another drain, which must
    /// arrive, and work again.
    pub async fn play(mut self) -> Outcome {
        if let Some(control) = &self.control {
            let hub = control.hub().clone();
            // A fault may keep the first list away for as long as it acts.
            let _ = within(Duration::from_secs(3), || {
                hub.subscribers().iter().any(|s| s.has_all(Kind::Endpoint))
            })
            .await;
        }
        self.ask(5).await;
        self.discovery.set("c", "draining");
        let drained = Instant::now();
        let mut told = [Duration::ZERO; 2];
        self.ask(4).await;
        let _ = within(Duration::from_secs(1), || self.told("c")).await;
        tokio::time::sleep(BEYOND_GRACE).await;
        self.ask(4).await;
        let acted = self.relay.trace().performed.len();
        for cell in &self.cells {
            self.relay.control().lift(&cell.name());
        }
        // Told late, or never until now.
        let arrived = within(LONG, || self.told("c")).await;
        assert!(arrived, "{:?}: the drain of c never arrived", self.cells);
        told[0] = drained.elapsed();
        self.discovery.set("b", "draining");
        let drained = Instant::now();
        let arrived = within(LONG, || self.told("b")).await;
        assert!(arrived, "{:?}: the drain of b never arrived, though the fault was over", self.cells);
        told[1] = drained.elapsed();
        tokio::time::sleep(BEYOND_GRACE).await;
        self.ask(4).await;
        self.outcome(acted, told).await
    }

    async fn outcome(mut self, acted: usize, told: [Duration; 2]) -> Outcome {
        let trace = self.relay.trace();
        let seen = self.wire.seen();
        let mut books = History::default();
        let at = |when: Instant| when.saturating_duration_since(self.start).as_nanos() as Nanos;
        for (when, entry) in seen.entries {
            books.record(at(when), entry);
        }
        for node in &self.nodes {
            for (when, id) in node.ran() {
                books.record(at(when), Entry::Ran { id, node: node.id.clone() });
            }
        }
        // A client whose own side was broken is owed nothing more; one that had only ended its sending is.
        let broke = |p: &&rushquay_fault_relay::Performed| match p.deed {
            rushquay_fault_relay::FaultAction::Cut(_) => true,
            rushquay_fault_relay::FaultAction::HalfClose => p.lane == Direction::Down,
            _ => false,
        };
        let excused: BTreeSet<u64> = trace
            .performed
            .iter()
            .filter(|p| p.listener == "client")
            .filter(broke)
            .map(|p| p.connection)
            .collect();
        for (connection, id) in seen.unanswered {
            if excused.contains(&connection) {
                books.record(0, Entry::Excused { id });
            }
        }
        // Where the way to a node changes the bytes of a request, what it ran is another request.
        let spoilt: BTreeSet<(String, u64)> = trace
            .performed
            .iter()
            .filter(|p| {
                p.lane == Direction::Up && self.cells.iter().any(|c| c.name() == p.rule && c.kind.spoils())
            })
            .map(|p| (p.listener.clone(), p.connection))
            .collect();
        let touched = |id: &str| {
            seen.attempts.iter().any(|(node, c, of)| of == id && spoilt.contains(&(node.clone(), *c)))
        };
        let breaches = books.audit(TOLERANCE).into_iter().filter(|b| match b {
            Violation::Doubled(id, _) | Violation::Forged(id, _) => !touched(id) && !self.answer_spoilt(b),
            _ => true,
        });
        let outcome = Outcome {
            breaches: breaches.collect(),
            acted,
            counts: books.counts(),
            told,
            latest: Duration::from_nanos(books.latest()),
            clients: self.clients.iter().fold((0, 0), |n, c| (n.0 + c.answered, n.1 + c.broken)),
        };
        self.clients.clear();
        // First what holds its connections open, then the proxy, which waits for them.
        self.relay.control().cut(None, None, Cut::Rst);
        let proxy = self.proxy.take();
        blocking(move || drop(proxy)).await;
        if let Some(control) = self.control.take() {
            control.stop().await;
        }
        // The ports last: one that another rig took meanwhile would hear what is meant for this one.
        drop((self.relay, self.discovery, self.behind));
        outcome
    }

    /// Whether a node's name itself was changed on its way back.
    fn answer_spoilt(&self, breach: &Violation) -> bool {
        let spoils = |c: &Cell| c.kind.spoils() && matches!(c.leg, Leg::Node | Leg::Origin);
        self.cells.iter().any(spoils) && matches!(breach, Violation::Forged(..))
    }
}

async fn blocking<T: Send + 'static>(of: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(of).await.expect("it ended")
}

/// Waits until something holds, or for so long.
async fn within(most: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !holds() {
        if start.elapsed() > most {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    true
}

/// Whether the clients' time is what the books say.
#[test]
fn clients_wait_for_less_than_their_class_allows() {
    assert!(WITHIN < Duration::from_secs(2));
}
