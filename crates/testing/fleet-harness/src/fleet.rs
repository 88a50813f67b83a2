//! The fleet: who is there, what stands between them, and what may be done to them.

use crate::http::call;
use crate::process::{hosted, kill};
use crate::{Clients, Count, Ended, EventLog, Process, LONG};
use hyper::Method;
use rushquay_fault_relay::{Cut, ListenerState, Options, Relay, Script};
use rushquay_history::{Entry, History, Tolerance, Violation, MILLI};
use rushquay_test_servers::{entry, proxy_config, Discovery, Node};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Data centres that have proxies.
pub const ZONES: [&str; 3] = ["gandhinagar", "vadodara", "rajkot"];
/// One that has nodes alone, which no class uses until settings say so.
pub const SPARE: &str = "surat";

/// What to start.
#[derive(Clone)]
pub struct Shape {
    /// The program under test.
    pub program: PathBuf,
    /// All that is drawn is drawn from it.
    pub seed: u64,
    /// In each of [`ZONES`].
    pub proxies: usize,
    /// In each of [`ZONES`], and in [`SPARE`].
    pub nodes: usize,
    /// Instances that share a store.
    pub controls: usize,
    /// What a node takes for an answer.
    pub work: Duration,
    /// Hosts run the proxies, by these `[terms]` (TOML); `None`: the proxies are started bare.
    pub hosts: Option<String>,
    /// The `[rollout]` section of their settings (TOML), beside what the fleet sets itself.
    pub rollout: String,
    /// Proxies in [`SPARE`].
    pub spare: usize,
    /// The `[policy]` section of the control services' settings (TOML), and the proxies' own file; `None`: no policies.
    pub policy: Option<(String, String)>,
    /// The control services share this etcd in place of a file.
    pub etcd: Option<String>,
    /// What classes give a request at most.
    pub deadline: Duration,
    /// How long ago the nodes' processes started; `None`: the list does not tell when.
    pub node_age: Option<Duration>,
}

impl Shape {
    /// Three proxies and two nodes in each data centre, two control services.
    pub fn new(program: &str, seed: u64) -> Self {
        let (program, work) = (PathBuf::from(program), Duration::from_millis(4));
        Shape {
            program,
            seed,
            proxies: 3,
            nodes: 2,
            controls: 2,
            work,
            hosts: None,
            rollout: String::new(),
            spare: 0,
            policy: None,
            etcd: None,
            deadline: Duration::from_secs(10),
            node_age: None,
        }
    }
}

impl Shape {
    /// Where proxies are: the data centre, its number, and the proxy's number in it.
    fn places(&self) -> impl Iterator<Item = (&'static str, usize, usize)> {
        let (proxies, spare) = (self.proxies, self.spare);
        let zones = ZONES.into_iter().enumerate().map(move |(number, zone)| (zone, number, proxies));
        let zones = zones.chain([(SPARE, ZONES.len(), spare)]);
        zones.flat_map(|(zone, number, proxies)| (0..proxies).map(move |n| (zone, number, n)))
    }
}

/// A proxy.
pub struct Proxy {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub zone: &'static str,
    /// Its process; `None`: it is down.
    pub process: Option<Process>,
    /// Where clients connect, without a relay between.
    pub listen: SocketAddr,
    config: PathBuf,
    rollout: PathBuf,
    subscription: PathBuf,
    /// Its part in policies (TOML); `None`: it takes none, from its next start on.
    pub policy: Option<PathBuf>,
    /// Another program than the fleet's, with variables of its own, from its next start on.
    pub other: Option<(PathBuf, Vec<(String, String)>)>,
    /// The host's settings, where one runs the proxy.
    host: PathBuf,
}

/// A control service.
pub struct Control {
    /// Its name.
    pub name: String,
    /// Its process; `None`: it is down.
    pub process: Option<Process>,
    /// Its admin page.
    pub admin: SocketAddr,
    /// Another program than the fleet's, with variables of its own, from its next start on.
    pub other: Option<(PathBuf, Vec<(String, String)>)>,
    config: PathBuf,
}

/// All of it. Dropped, every process is killed.
pub struct Fleet {
    /// The proxies, data centre by data centre.
    pub proxies: Vec<Proxy>,
    /// The control services.
    pub controls: Vec<Control>,
    /// The nodes: those of [`ZONES`] in their order, those of [`SPARE`], and the origin last.
    pub nodes: Vec<(&'static str, Node)>,
    /// Discovery.
    pub discovery: Discovery,
    /// What was seen.
    pub history: EventLog,
    shape: Shape,
    /// The digest of the program itself, where hosts run it.
    own: OnceLock<String>,
    relay: Relay,
    clients: BTreeMap<String, Clients>,
    dir: PathBuf,
    _place: OwnedSemaphorePermit,
}

/// The Unix time so long ago, in milliseconds.
fn started_ms(age: Duration) -> u64 {
    #[expect(clippy::disallowed_methods, reason = "the list tells when nodes started as Unix times")]
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(age).as_millis() as u64
}

fn write(path: &Path, text: &str) {
    std::fs::write(path, text).expect("written");
}

impl Fleet {
    /// Starts nodes, control services and proxies, and waits until the leader has heard every proxy.
    pub async fn start(shape: Shape) -> Fleet {
        Self::start_with(shape, |_| {}).await
    }

    /// The same; what differs from the shape is put right before the first control service and proxy start.
    pub async fn start_with(shape: Shape, differ: impl FnOnce(&mut Fleet)) -> Fleet {
        // Danger: with more fleets at once than the machine bears, old and new wait for cores and nothing can be told of either.
        static PLACES: LazyLock<Arc<Semaphore>> = LazyLock::new(|| {
            let cores = std::thread::available_parallelism().map_or(2, |n| n.get());
            Arc::new(Semaphore::new((cores / 2).clamp(2, 4)))
        });
        let place = PLACES.clone().acquire_owned().await.expect("never closed");
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("rqh-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let history = EventLog::default();
        println!("seed {}", shape.seed);
        let mut nodes = Vec::new();
        for zone in ZONES.into_iter().chain([SPARE]) {
            for n in 0..shape.nodes {
                nodes.push((zone, Node::start(&format!("n{n}.{zone}"), shape.work).await));
            }
        }
        nodes.push((ZONES[0], Node::start("origin", shape.work).await));
        let relay = relay(&shape, &nodes).await;
        let started_ms = shape.node_age.map_or(0, started_ms);
        let entries: Vec<Value> = nodes
            .iter()
            .map(|(zone, node)| {
                let kind = if node.id == "origin" { "origin" } else { "std-1c" };
                let mut entry = entry(node, zone, kind, "ready", started_ms);
                entry["addr"] = json!(at(&relay, &format!("node:{}", node.id)).to_string());
                entry
            })
            .collect();
        let discovery = Discovery::start(1, &entries).await;
        let lead = |leg: &str| relay.control().lead(leg, discovery.addr).expect("a leg");
        (0..shape.controls).for_each(|n| lead(&format!("disc:c{n}")));
        let (proxies, controls, clients) = (Vec::new(), Vec::new(), BTreeMap::new());
        let mut fleet = Fleet {
            proxies,
            controls,
            nodes,
            discovery,
            history,
            shape,
            own: OnceLock::new(),
            relay,
            clients,
            dir,
            _place: place,
        };
        fleet.controls = (0..fleet.shape.controls).map(|n| fleet.control(n)).collect();
        fleet.proxies = fleet.shape.places().map(|(zone, number, n)| fleet.proxy(zone, number, n)).collect();
        differ(&mut fleet);
        (0..fleet.controls.len()).for_each(|n| fleet.start_control(n));
        (0..fleet.proxies.len()).for_each(|n| fleet.start_proxy(n));
        let all = fleet.proxies.len();
        fleet
            .until("the leader hears every proxy", |status| {
                let serving = |f: &Value| f["proxies"]["serving"].as_u64().unwrap_or(0);
                status["fleet"].as_array().is_some_and(|f| f.iter().map(serving).sum::<u64>() == all as u64)
            })
            .await;
        fleet
    }

    fn control(&self, n: usize) -> Control {
        let name = format!("c{n}");
        let config = self.dir.join(format!("{name}.toml"));
        let store = match &self.shape.etcd {
            Some(endpoint) => format!("etcd = ['{endpoint}']"),
            None => format!("file = '{}'", self.dir.join("shared.redb").display()),
        };
        let policy = self.shape.policy.as_ref().map(|(control, _)| format!("[policy]\n{control}"));
        let policy = policy.unwrap_or_default();
        let text = format!(
            "[standby]\nname = '{name}'\nttl_s = 1.0\n{store}\n\
             [rollout]\nlate_s = 2.0\nrestart_s = 4.0\nlook_ms = 200\n{}\n{policy}\n",
            self.shape.rollout
        );
        write(&config, &text);
        Control { name, process: None, admin: ([127, 0, 0, 1], 0).into(), other: None, config }
    }

    fn proxy(&self, zone: &'static str, zone_number: usize, n: usize) -> Proxy {
        let name = format!("p{n}.{zone}");
        let (config, rollout) =
            (self.dir.join(format!("{name}.json")), self.dir.join(format!("{name}.rollout.toml")));
        let subscription = self.dir.join(format!("{name}.control.toml"));
        let disc = at(&self.relay, &format!("disc:{name}"));
        self.relay.control().lead(&format!("disc:{name}"), self.discovery.addr).expect("a leg");
        let mut told = proxy_config(&name, disc, &[], &[]);
        let listen = address();
        told["listen"] = json!(listen.to_string());
        let settings = &mut told["settings"];
        settings["zone"] = json!(zone_number);
        settings["n_instances"] = json!(self.shape.places().count());
        settings["self_index"] = json!(zone_number * self.shape.proxies + n);
        let mut plan = settings["categories"][0].clone();
        plan["name"] = json!("plan");
        settings["categories"].as_array_mut().expect("classes").push(plan);
        for class in settings["categories"].as_array_mut().expect("classes") {
            class["allowed_in"] = json!([0, 1, 2]);
            class["deadline_ns"] = json!(self.shape.deadline.as_nanos() as u64);
        }
        write(&config, &told.to_string());
        let policy = self.shape.policy.as_ref().map(|(_, text)| {
            let policy = self.dir.join(format!("{name}.policy.toml"));
            write(&policy, text);
            policy
        });
        write(&rollout, &format!("zone = '{zone}'\nreport_ms = 200\n"));
        let addresses: Vec<String> = (0..self.shape.controls)
            .map(|c| format!("'{}'", at(&self.relay, &format!("ctl:{name}:c{c}"))))
            .collect();
        let text =
            format!("addresses = [{}]\nbackoff_ms = 50\nbackoff_most_ms = 500\n", addresses.join(", "));
        write(&subscription, &text);
        let host = self.dir.join(format!("{name}.host.toml"));
        let (process, other) = (None, None);
        let proxy = Proxy { name, zone, process, listen, config, rollout, subscription, policy, other, host };
        if let Some(terms) = &self.shape.hosts {
            self.write_host(&proxy, terms);
        }
        proxy
    }

    fn write_host(&self, proxy: &Proxy, terms: &str) {
        let name = &proxy.name;
        let addresses: Vec<String> = (0..self.shape.controls)
            .map(|c| format!("'{}'", at(&self.relay, &format!("hst:{name}:c{c}"))))
            .collect();
        let own = self.own.get_or_init(|| self.add_program(&[]));
        let text = format!(
            "name = '{name}'\ndir = '{}'\nprograms = '{}'\nprogram = '{own}'\n[environment]\nPROXY_CONFIG = '{}'\n\
             PROXY_CONTROL = '{}'\nPROXY_ROLLOUT = '{}'\n[terms]\n{terms}\n[control]\naddresses = [{}]\n\
             backoff_ms = 50\nbackoff_most_ms = 500\n",
            self.host_dir(name).display(),
            self.programs().display(),
            proxy.config.display(),
            proxy.subscription.display(),
            proxy.rollout.display(),
            addresses.join(", ")
        );
        write(&proxy.host, &text);
    }

    /// The folder of programs.
    pub fn programs(&self) -> PathBuf {
        self.dir.join("programs")
    }

    /// The folder of a proxy's host.
    pub fn host_dir(&self, proxy: &str) -> PathBuf {
        self.dir.join(format!("{proxy}.tmp"))
    }

    /// A file of the fleet's own that a proxy reads when it starts.
    pub fn config(&self, n: usize) -> &Path {
        &self.proxies[n].config
    }

    /// Puts the program, with these bytes behind its own, into the folder of programs, and gives its digest.
    pub fn add_program(&self, tail: &[u8]) -> String {
        self.add_version(&self.shape.program, tail)
    }

    /// The same with another program.
    pub fn add_version(&self, program: &Path, tail: &[u8]) -> String {
        let mut whole = std::fs::read(program).expect("the program");
        whole.extend(tail);
        let file = self.dir.join("version");
        std::fs::write(&file, whole).expect("written");
        let (file, folder) = (file.to_str().expect("a path"), self.programs());
        let folder = folder.to_str().expect("a path");
        let said = std::process::Command::new(&self.shape.program)
            .args(["host", "add", file, "--programs", folder])
            .output()
            .expect("the program starts");
        assert!(said.status.success(), "{said:?}");
        String::from_utf8_lossy(&said.stdout).trim().to_owned()
    }

    /// Kills a process that a proxy's host has started.
    pub fn kill_hosted(&self, n: usize, pid: u32) {
        assert!(self.running(n).iter().any(|(p, _)| *p == pid), "none of this host's");
        self.history.note(&self.proxies[n].name, format!("process {pid} is killed by the test"));
        kill(pid);
    }

    /// Starts another host beside the one that a proxy has, and gives what it says before it ends.
    pub fn second_host(&self, n: usize) -> String {
        let config = self.proxies[n].host.to_str().expect("a path");
        let mut command = std::process::Command::new(&self.shape.program);
        let said = command.args(["host", "run", "--config", config]).output().expect("the program starts");
        assert!(!said.status.success(), "{said:?}");
        String::from_utf8_lossy(&said.stderr).into_owned()
    }

    /// The processes that a proxy's host has started and that run: number and program.
    pub fn running(&self, n: usize) -> Vec<(u32, String)> {
        hosted(&self.host_dir(&self.proxies[n].name).join("host"))
    }

    /// Starts a proxy's process, or its next one after the last has ended.
    pub fn start_proxy(&mut self, n: usize) {
        let process = self.proxy_process(n);
        self.proxies[n].process = Some(process);
    }

    /// Starts the next process of a proxy beside the one that runs, waits until it serves, and has the old one end.
    pub fn upgrade_proxy(&mut self, n: usize) {
        let mut new = self.proxy_process(n);
        let old = self.proxies[n].process.as_mut().expect("it runs");
        old.says("rushquay: a new process serves");
        old.end();
        assert!(old.ended(), "the old process of {}:\n{}", self.proxies[n].name, self.history.last(40));
        assert!(new.runs(), "the new process of {}:\n{}", self.proxies[n].name, self.history.last(40));
        self.proxies[n].process = Some(new);
    }

    fn proxy_process(&self, n: usize) -> Process {
        let proxy = &self.proxies[n];
        let (program, more) = match &proxy.other {
            Some((program, more)) => (program, more.as_slice()),
            None => (&self.shape.program, &[][..]),
        };
        let more: Vec<(&str, &str)> =
            more.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        if self.shape.hosts.is_some() {
            let config = proxy.host.to_str().expect("a path");
            let args = ["host", "run", "--config", config];
            let process = Process::start(&proxy.name, program, &args, &more, &self.history);
            process.says("rushquay host: supervisor of ");
            self.relay.control().lead(&format!("front:{}", proxy.name), proxy.listen).expect("a leg");
            return process;
        }
        let text = |path: &Path| path.to_str().expect("a path").to_owned();
        let handover_dir = self.dir.join(format!("{}.tmp", proxy.name));
        std::fs::create_dir_all(&handover_dir).expect("a folder");
        let (config, rollout, subscription) =
            (text(&proxy.config), text(&proxy.rollout), text(&proxy.subscription));
        let handover_dir = text(&handover_dir);
        let mut variables = vec![
            ("PROXY_CONFIG", config.as_str()),
            ("PROXY_CONTROL", subscription.as_str()),
            ("PROXY_ROLLOUT", rollout.as_str()),
            ("TMPDIR", handover_dir.as_str()),
        ];
        let policy = proxy.policy.as_deref().map(text);
        variables.extend(policy.iter().map(|policy| ("PROXY_POLICY", policy.as_str())));
        variables.extend(more);
        let process = Process::start(&proxy.name, program, &[], &variables, &self.history);
        process.says("rushquay: listening on ");
        self.relay.control().lead(&format!("front:{}", proxy.name), proxy.listen).expect("a leg");
        process
    }

    /// Starts a control service's process, or its next one.
    pub fn start_control(&mut self, n: usize) {
        let control = &mut self.controls[n];
        let disc = at(&self.relay, &format!("disc:{}", control.name)).to_string();
        let config = control.config.to_str().expect("a path");
        let any = "127.0.0.1:0";
        let args = ["control", "--listen", any, "--admin", any, "--discovery", &disc, "--config", config];
        let (program, more) = match &control.other {
            Some((program, more)) => (program, more.as_slice()),
            None => (&self.shape.program, &[][..]),
        };
        let more: Vec<(&str, &str)> = more.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        let process = Process::start(&control.name, program, &args, &more, &self.history);
        let said = process.says("listening xds=");
        let (xds, admin) = said.split_once(" admin=").expect("two addresses");
        control.admin = admin.parse().expect("an address");
        let xds: SocketAddr = xds.parse().expect("an address");
        for proxy in &self.proxies {
            self.relay.control().lead(&format!("ctl:{}:{}", proxy.name, control.name), xds).expect("a leg");
        }
        // Proxies that are still to come find the leg led.
        for (zone, _, p) in self.shape.places() {
            let leg = format!("ctl:p{p}.{zone}:{}", control.name);
            self.relay.control().lead(&leg, xds).expect("a leg");
            let leg = format!("hst:p{p}.{zone}:{}", control.name);
            self.relay.control().lead(&leg, xds).expect("a leg");
        }
        control.process = Some(process);
    }

    /// The store that the control services share is lost. They must be down.
    pub fn lose_store(&mut self) {
        let runs = self.controls.iter_mut().any(|c| c.process.as_mut().is_some_and(Process::runs));
        assert!(!runs, "a control service runs");
        self.history.note("test", "the store is lost");
        let files = std::fs::read_dir(&self.dir).expect("the fleet's folder").flatten();
        let of_store = |f: &std::fs::DirEntry| f.file_name().to_string_lossy().starts_with("shared.redb");
        files.filter(of_store).for_each(|f| std::fs::remove_file(f.path()).expect("removed"));
    }

    /// Begins the load: so many clients on each proxy.
    pub fn load(&mut self, clients: usize, pause: Duration) {
        for (n, proxy) in self.proxies.iter().enumerate() {
            let front = at(&self.relay, &format!("front:{}", proxy.name));
            let seed = self.shape.seed ^ ((n as u64) << 32);
            self.clients.insert(proxy.name.clone(), Clients::start(front, &proxy.name, seed, clients, pause));
        }
    }

    /// More clients on one proxy, each of which asks at once.
    pub fn load_more(&mut self, proxy: usize, clients: usize, pause: Duration) {
        let name = format!("{}+", self.proxies[proxy].name);
        let front = at(&self.relay, &format!("front:{}", self.proxies[proxy].name));
        let seed = self.shape.seed ^ ((proxy as u64) << 32) ^ 0x5bd1_e995;
        self.clients.insert(name.clone(), Clients::start(front, &name, seed, clients, pause));
    }

    /// How requests at a proxy ended so far, by class.
    pub fn counts(&self, proxy: &str) -> BTreeMap<String, Count> {
        self.clients.get(proxy).map(Clients::counts).unwrap_or_default()
    }

    /// Ends the load.
    pub async fn calm(&mut self) {
        for clients in self.clients.values_mut() {
            clients.stop().await;
        }
    }

    /// The legs whose names begin so fall silent: what is open stays open and says nothing, and nobody answers a connect.
    pub fn cut(&self, start: &str) {
        self.history.note("net", format!("cut {start}"));
        self.legs(start, |leg| {
            self.relay.control().listener(leg, ListenerState::Mute).expect("a leg");
            self.relay.control().pause(Some(leg), None, true);
        });
    }

    /// Mends them: what stood open meanwhile is reset, as by a machine that is back.
    pub fn mend(&self, start: &str) {
        self.history.note("net", format!("mend {start}"));
        self.legs(start, |leg| {
            // Danger: let go first, what was held on the way would come now, and pass for sent now.
            self.relay.control().cut(Some(leg), None, Cut::Rst);
            self.relay.control().pause(Some(leg), None, false);
            self.relay.control().listener(leg, ListenerState::Open).expect("a leg");
        });
    }

    /// Puts rules (TOML) on the relay.
    pub fn rules(&self, text: &str) {
        self.history.note("net", format!("rules {text}"));
        self.relay.control().add_rules(text).expect("rules");
    }

    /// Takes a rule out.
    pub fn lift(&self, rule: &str) {
        self.history.note("net", format!("lift {rule}"));
        self.relay.control().lift(rule);
    }

    fn legs(&self, start: &str, does: impl Fn(&str)) {
        let legs = self.relay.control().listeners();
        let found: Vec<&String> = legs.iter().map(|l| &l.0).filter(|l| l.starts_with(start)).collect();
        assert!(!found.is_empty(), "no leg begins with {start}");
        found.into_iter().for_each(|leg| does(leg));
    }

    /// The nodes of a data centre.
    pub fn nodes_of(&self, zone: &'static str) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |(z, n)| *z == zone && n.id != "origin").map(|(_, n)| n)
    }

    /// Who leads, by what each says itself.
    pub async fn leader(&self) -> usize {
        let start = Instant::now();
        loop {
            for (n, control) in self.controls.iter().enumerate() {
                if control.process.as_ref().is_none_or(Process::is_stopped) {
                    continue;
                }
                let status = call(control.admin, Method::GET, "/status", None, None).await;
                if status.is_some_and(|(_, s)| s["standby"]["leads"] == true && s["open"] == true) {
                    return n;
                }
            }
            assert!(start.elapsed() < LONG, "nobody leads:\n{}", self.history.last(40));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// What the leader says at a path. Asked again where nobody answers.
    pub async fn get(&self, path: &str) -> Value {
        let start = Instant::now();
        loop {
            let leader = self.leader().await;
            if let Some((200, said)) = call(self.controls[leader].admin, Method::GET, path, None, None).await
            {
                return said;
            }
            assert!(start.elapsed() < LONG, "{path} is not answered:\n{}", self.history.last(40));
        }
    }

    /// Asks the leader to change something, on what it said last.
    pub async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        let leader = self.leader().await;
        self.history.note("test", format!("{path} {body}"));
        let said = call(self.controls[leader].admin, Method::POST, path, Some("*"), Some(body)).await;
        let said = said.unwrap_or((0, Value::Null));
        self.history.note("test", format!("answered {} {}", said.0, said.1));
        said
    }

    /// Waits until what the leader says of the changes is so.
    pub async fn until(&self, what: &str, mut holds: impl FnMut(&Value) -> bool) -> Value {
        let start = Instant::now();
        let mut phase = Value::Null;
        loop {
            let status = self.get("/v1/rollout").await;
            if status["change"]["in_words"] != phase {
                phase = status["change"]["in_words"].clone();
                self.history.note("seen", format!("change {}: {phase}", status["change"]["id"]));
            }
            if holds(&status) {
                self.history.note("seen", what);
                return status;
            }
            assert!(
                start.elapsed() < LONG,
                "it never came that {what}: {status:#}\n{}",
                self.history.last(80)
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// By proxy, each generation that it said it acts by, in order, by its first digits.
    pub fn acted(&self) -> BTreeMap<String, Vec<String>> {
        let mut acted: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for line in self.history.with("rushquay: acting by settings ") {
            let word = line.what.trim_start_matches("rushquay: acting by settings ").split(' ').next();
            acted.entry(line.who).or_default().extend(word.map(str::to_owned));
        }
        acted
    }

    /// Every request that was answered or lost, with the data centre of who served it.
    pub fn ended(&self) -> Vec<Ended> {
        let zone_of = |node: &str| self.nodes.iter().find(|(_, n)| n.id == node).map(|(zone, _)| *zone);
        self.clients.values().flat_map(|c| c.ended(self.history.begin(), zone_of)).collect()
    }

    /// What the four rules say of all that was seen at both ends.
    pub fn audit(&self) -> Vec<Violation> {
        let (mut books, begin) = (History::default(), self.history.begin());
        self.clients.values().for_each(|c| c.enter(&mut books, begin));
        for (_, node) in &self.nodes {
            let at = |at: Instant| at.saturating_duration_since(begin).as_nanos() as u64;
            let (name, id) = (node.id.clone(), |id: &String| id.clone());
            let sent = node.sent();
            sent.iter()
                .for_each(|(t, i)| books.record(at(*t), Entry::Sent { id: id(i), node: name.clone() }));
            let ran = node.ran();
            ran.iter().for_each(|(t, i)| books.record(at(*t), Entry::Ran { id: id(i), node: name.clone() }));
        }
        // Times at the ends are by processes that may wait for a core.
        let tolerance = Tolerance { late: 2000 * MILLI, drain: 2500 * MILLI, crossing: 1000 * MILLI };
        books.audit(tolerance)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{}", self.history.last(400));
        }
        self.proxies.clear();
        self.controls.clear();
        // What hosts have started outlives them.
        for (zone, _, n) in self.shape.places() {
            let socket = self.host_dir(&format!("p{n}.{zone}")).join("host");
            hosted(&socket).into_iter().for_each(|(pid, _)| kill(pid));
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// An address that no other proxy of any fleet uses. Danger: a port that was tried out first is for a moment also held by
/// whatever program another test is just starting; and a proxy has to find its own again.
fn address() -> SocketAddr {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let (number, pid) = (NUMBER.fetch_add(1, Ordering::Relaxed), std::process::id());
    assert!(number < 250 * 8, "more proxies than addresses");
    let third = (pid as u8) ^ (number / 250) as u8;
    SocketAddr::from(([127, 1 + (pid >> 8) as u8 % 254, third, 1 + (number % 250) as u8], 3001))
}

fn at(relay: &Relay, leg: &str) -> SocketAddr {
    relay.addr(leg).unwrap_or_else(|| panic!("no leg {leg}"))
}

/// A relay with a listener for every leg. Those whose ends are not there yet lead nowhere until they are led.
async fn relay(shape: &Shape, nodes: &[(&'static str, Node)]) -> Relay {
    let mut text = format!("seed = {}\n", shape.seed);
    let mut leg = |name: &str, target: SocketAddr| {
        let _ = write!(text, "[[listener]]\nname = '{name}'\nlisten = '127.0.0.1:0'\ntarget = '{target}'\n");
    };
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    for (_, node) in nodes {
        leg(&format!("node:{}", node.id), node.addr);
    }
    for c in 0..shape.controls {
        leg(&format!("disc:c{c}"), nowhere);
    }
    for (zone, _, p) in shape.places() {
        leg(&format!("front:p{p}.{zone}"), nowhere);
        leg(&format!("disc:p{p}.{zone}"), nowhere);
        for c in 0..shape.controls {
            leg(&format!("ctl:p{p}.{zone}:c{c}"), nowhere);
            leg(&format!("hst:p{p}.{zone}:c{c}"), nowhere);
        }
    }
    let script = Script::parse(&text).expect("a script");
    Relay::start(script, Options::default()).await.expect("a relay")
}
