//! Relays between two sockets, TCP or UDP, under a [`Script`]: the sockets' side of `rushquay-fault`, which decides.
//!
//! ```no_run
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! use rushquay_fault_relay::{Options, Relay, Script};
//! let script = Script::parse(
//!     "[[listener]]\nname = 'node'\nlisten = '127.0.0.1:0'\ntarget = '127.0.0.1:3000'\n\
//!      [[rule]]\nname = 'half'\nlane = 'down'\nat = { http = 'body', plus = 10 }\ndo = { cut = 'rst' }",
//! )?;
//! let relay = Relay::start(script, Options::default()).await?;
//! println!("connect to {:?}", relay.addr("node"));
//! # Ok(()) }
//! ```
#![forbid(unsafe_code)]

mod admin;
mod byte_counters;
mod connection;
mod listener;
mod shared;
mod tap;
mod udp;

pub use rushquay_fault_injection::{Cut, Direction, FaultAction, ListenerState, Performed, Script, Trace};
pub use shared::Live;
pub use tap::{Passage, Tap};

use rushquay_fault_injection::{Act, At, Plan, RuleSet, ScriptError, Transport, MILLI};
use shared::Shared;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a relay does beside its script.
#[derive(Clone, Default)]
pub struct Options {
    /// Where to write what is done, as it is done.
    pub trace: Option<PathBuf>,
    /// What to do in place of the script's rules.
    pub replay: Option<Trace>,
    /// In a replay: each deed waits for those before it, also on other connections.
    pub ordered: bool,
    /// Where commands are taken; loopback only.
    pub admin: Option<SocketAddr>,
    /// Who sees what comes in, before anything is done to it.
    pub tap: Option<Arc<dyn Tap>>,
}

/// What keeps a relay from running.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// An address can't be listened on.
    #[error("listener {0}: {1}: {2}; choose a free address")]
    Listen(String, SocketAddr, std::io::Error),
    /// The trace can't be written.
    #[error("trace {0}: {1}")]
    Trace(PathBuf, std::io::Error),
    /// Commands would be taken from other machines.
    #[error("admin {0}: expected a loopback address: whoever reaches it can cut what passes")]
    Admin(SocketAddr),
    /// Rules that can't be used.
    #[error("{0}")]
    Script(#[from] ScriptError),
    /// A listener that there is not.
    #[error("no listener is named {0:?}")]
    Unknown(String),
    /// Datagrams have no connects to refuse.
    #[error("listener {0} takes datagrams: expected open or mute")]
    Datagrams(String),
}

struct Listening {
    addr: SocketAddr,
    target: watch::Sender<SocketAddr>,
    state: watch::Sender<ListenerState>,
    transport: Transport,
    task: JoinHandle<()>,
}

/// A running relay. Dropping it ends all that it holds.
pub struct Relay {
    shared: Arc<Shared>,
    listeners: Arc<BTreeMap<String, Listening>>,
    tasks: Vec<JoinHandle<()>>,
    admin: Option<SocketAddr>,
}

impl Relay {
    /// Listens as the script says. The run begins now.
    ///
    /// # Errors
    /// An address or a file that can't be used.
    pub async fn start(script: Script, options: Options) -> Result<Relay, RelayError> {
        let seed = options.replay.as_ref().map_or(script.seed, |t| t.seed);
        let plan = options.replay.as_ref().map(Trace::plan);
        let rules = match plan {
            Some(_) => RuleSet::new(seed, []),
            None => RuleSet::new(seed, script.rules.iter().cloned()),
        };
        let shared = Shared::new(seed, rules, plan.map(|p: Plan| (p, options.ordered)), &options)?;
        let (mut listeners, mut tasks) = (BTreeMap::new(), Vec::new());
        for l in &script.listeners {
            let failed = |e| RelayError::Listen(l.name.clone(), l.listen, e);
            let (target, targeted) = watch::channel(l.target);
            let (state, stated) = watch::channel(ListenerState::Open);
            let (name, shared) = (l.name.clone(), shared.clone());
            let (addr, task) = match l.transport {
                Transport::Tcp => {
                    let listener =
                        listener::bind(l.listen).and_then(listener::Bound::listen).map_err(failed)?;
                    let addr = listener.local_addr().map_err(failed)?;
                    (addr, tokio::spawn(listener::run(name, listener, addr, targeted, stated, shared)))
                }
                Transport::Udp => {
                    let socket = tokio::net::UdpSocket::bind(l.listen).await.map_err(failed)?;
                    let addr = socket.local_addr().map_err(failed)?;
                    (addr, tokio::spawn(udp::run(name, socket, targeted, stated, shared)))
                }
            };
            listeners.insert(l.name.clone(), Listening { addr, target, state, transport: l.transport, task });
        }
        let listeners = Arc::new(listeners);
        for rule in &script.rules {
            if let (At::Window(from, to), Act::Listener(state)) = (&rule.at, &rule.act) {
                let of = rule.listeners.clone();
                tasks.push(tokio::spawn(window(listeners.clone(), of, *state, *from, *to)));
            }
        }
        let mut relay = Relay { shared, listeners, tasks, admin: None };
        if let Some(addr) = options.admin {
            if !addr.ip().is_loopback() {
                return Err(RelayError::Admin(addr));
            }
            let failed = |e| RelayError::Listen("admin".into(), addr, e);
            let listener = tokio::net::TcpListener::bind(addr).await.map_err(failed)?;
            relay.admin = Some(listener.local_addr().map_err(failed)?);
            let control = Control { shared: relay.shared.clone(), listeners: relay.listeners.clone() };
            relay.tasks.push(tokio::spawn(admin::serve(listener, control)));
        }
        Ok(relay)
    }

    /// One listener that leads to `target`, without rules.
    ///
    /// # Errors
    /// As [`Relay::start`].
    pub async fn to(target: SocketAddr) -> Result<Relay, RelayError> {
        Self::between(target, 0, "", Options::default()).await
    }

    /// One listener, named `l`, that leads to `target`, under these rules (TOML).
    ///
    /// # Errors
    /// As [`Relay::start`], and rules that can't be read.
    pub async fn between(
        target: SocketAddr,
        seed: u64,
        rules: &str,
        options: Options,
    ) -> Result<Relay, RelayError> {
        let text = format!(
            "seed = {seed}\n{rules}\n[[listener]]\nname = \"l\"\nlisten = \"127.0.0.1:0\"\ntarget = \"{target}\"\n"
        );
        Self::start(Script::parse(&text)?, options).await
    }

    /// Where the listener of this name listens.
    pub fn addr(&self, listener: &str) -> Option<SocketAddr> {
        self.listeners.get(listener).map(|l| l.addr)
    }

    /// Where the only or first listener listens.
    ///
    /// # Panics
    /// Where the script has none.
    pub fn first(&self) -> SocketAddr {
        self.listeners.values().next().expect("a listener").addr
    }

    /// Where commands are taken.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// What can be commanded.
    pub fn control(&self) -> Control {
        Control { shared: self.shared.clone(), listeners: self.listeners.clone() }
    }

    /// What has been done so far.
    pub fn trace(&self) -> Trace {
        self.shared.trace()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.listeners.values().for_each(|l| l.task.abort());
        self.shared.end();
    }
}

async fn window(
    listeners: Arc<BTreeMap<String, Listening>>,
    of: Vec<String>,
    state: ListenerState,
    from: u64,
    to: Option<u64>,
) {
    let meant = |name: &String| of.is_empty() || of.contains(name);
    let set = |state| {
        for (_, l) in listeners.iter().filter(|(name, _)| meant(name)) {
            l.state.send_replace(state);
        }
    };
    tokio::time::sleep(Duration::from_nanos(from * MILLI)).await;
    set(state);
    if let Some(to) = to {
        tokio::time::sleep(Duration::from_nanos((to - from) * MILLI)).await;
        set(ListenerState::Open);
    }
}

/// Commands to a running relay.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
    listeners: Arc<BTreeMap<String, Listening>>,
}

impl Control {
    /// The connections that are open, by listener and ordinal.
    pub fn connections(&self) -> Vec<Live> {
        self.shared.connections()
    }

    /// Adds rules (TOML), or puts them in place of those of the same names.
    ///
    /// # Errors
    /// Rules that can't be read; then none is taken.
    pub fn add_rules(&self, text: &str) -> Result<(), RelayError> {
        let listeners: Vec<_> = self
            .listeners
            .iter()
            .map(|(name, l)| rushquay_fault_injection::Listener {
                name: name.clone(),
                transport: l.transport,
                listen: l.addr,
                target: *l.target.borrow(),
            })
            .collect();
        let rules = Script::parse_rules(text, &listeners)?;
        self.shared.change_rules(|set| set.add(rules));
        Ok(())
    }

    /// Takes a rule out, and lifts what it has set; false if there is none of this name.
    pub fn lift(&self, rule: &str) -> bool {
        let mut lifted = false;
        self.shared.change_rules(|set| lifted = set.lift(rule));
        lifted
    }

    /// The rules in force.
    pub fn rules(&self) -> Vec<rushquay_fault_injection::Rule> {
        self.shared.rules().rules().cloned().collect()
    }

    /// Cuts the connections meant; how many there were.
    pub fn cut(&self, listener: Option<&str>, ordinal: Option<u64>, how: Cut) -> usize {
        self.shared.command(listener, ordinal, shared::Command::Cut(how))
    }

    /// Lets nothing pass on the connections meant, or lets it pass again; how many there were.
    pub fn pause(&self, listener: Option<&str>, ordinal: Option<u64>, paused: bool) -> usize {
        self.shared.command(listener, ordinal, shared::Command::Pause(paused))
    }

    /// Has a listener take connects otherwise. It does so soon after, not at once.
    ///
    /// # Errors
    /// A listener that there is not.
    pub fn listener(&self, name: &str, state: ListenerState) -> Result<(), RelayError> {
        let l = self.listeners.get(name).ok_or_else(|| RelayError::Unknown(name.to_owned()))?;
        if l.transport == Transport::Udp && state == ListenerState::Shut {
            return Err(RelayError::Datagrams(name.to_owned()));
        }
        l.state.send_replace(state);
        Ok(())
    }

    /// Leads new connections of a listener elsewhere.
    ///
    /// # Errors
    /// A listener that there is not.
    pub fn lead(&self, name: &str, target: SocketAddr) -> Result<(), RelayError> {
        let l = self.listeners.get(name).ok_or_else(|| RelayError::Unknown(name.to_owned()))?;
        l.target.send_replace(target);
        Ok(())
    }

    /// Bytes that have gone through a listener in a direction, on all connections.
    pub fn passed(&self, listener: &str, lane: Direction) -> u64 {
        self.shared.passed(listener, lane)
    }

    /// What has been done so far.
    pub fn trace(&self) -> Trace {
        self.shared.trace()
    }

    /// The listeners: name, where they listen, where they lead, how they take connects.
    pub fn listeners(&self) -> Vec<(String, SocketAddr, SocketAddr, ListenerState)> {
        let row = |(n, l): (&String, &Listening)| (n.clone(), l.addr, *l.target.borrow(), *l.state.borrow());
        self.listeners.iter().map(row).collect()
    }
}
