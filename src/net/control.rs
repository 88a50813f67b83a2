//! The subscription to a control service, where one is configured. It adds to the proxy's own discovery and takes
//! nothing from it: while it is lost the proxy goes on with what it has.

use super::config::Config;
use super::nodes::NodeList;
use rushquay_nodes::MergeLimits;
use rushquay_resources::{Follow, FollowConfig};
use rushquay_xds::client::Outage;
use rushquay_xds_grpc::{run, ClientOptions, Notice, Tls, TlsFiles};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval, Instant};

/// Descriptors that it may hold: a connection, and one that is just ending.
pub const DESCRIPTORS: usize = 4;
/// Overrides end by this clock, also while the control service is lost: within a second of their time.
const TICK: Duration = Duration::from_millis(250);
/// A stream that has told nothing for so long has had its say. Danger: what brings a proxy up to date may come in many
/// answers; taken for settled after the first, an old control service would be believed in the second.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// An answer is at most this long; five thousand endpoints inline take a quarter of it.
const ANSWER_MOST: usize = 8 << 20;

/// The settings of the subscription: a TOML file that `PROXY_CONTROL` names, or `control_service` in the proxy's JSON.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSource {
    /// Control services, `IP:PORT` each; one is followed at a time, the next when it is lost.
    pub addresses: Vec<SocketAddr>,
    /// The clusters whose endpoints are the node list.
    #[serde(default = "clusters")]
    pub clusters: Vec<String>,
    /// Ask for LEDS collections, so that one change costs one endpoint; a server that has none is asked for whole
    /// clusters.
    #[serde(default = "yes")]
    pub collections: bool,
    /// For how long, in seconds, a drain stands against a control service or a list that is older than it.
    #[serde(default = "hold")]
    pub hold_s: u64,
    /// The first wait before connecting again, in milliseconds; it doubles.
    #[serde(default = "backoff")]
    pub backoff_ms: u64,
    /// The longest wait, in milliseconds.
    #[serde(default = "backoff_most")]
    pub backoff_most_ms: u64,
    /// Most endpoints taken.
    #[serde(default = "endpoints_most")]
    pub endpoints_most: usize,
    /// Mutual TLS.
    #[serde(default)]
    pub tls: Option<ControlTls>,
}

/// Mutual TLS towards the control service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlTls {
    /// This proxy's certificate (PEM).
    pub cert: std::path::PathBuf,
    /// Its key (PEM).
    pub key: std::path::PathBuf,
    /// The authority that signs the control service's certificate (PEM).
    pub ca: std::path::PathBuf,
    /// The name in the control service's certificate.
    pub server_name: String,
}

fn clusters() -> Vec<String> {
    vec!["cache-nodes".into(), "origin".into()]
}
fn yes() -> bool {
    true
}
fn hold() -> u64 {
    3600
}
fn backoff() -> u64 {
    100
}
fn backoff_most() -> u64 {
    5000
}
fn endpoints_most() -> usize {
    10_000
}

impl ControlSource {
    /// Reads a file (TOML).
    ///
    /// # Errors
    /// What is wrong, with the file and the field.
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let read = toml::from_str::<Self>(&text).map_err(|e| e.to_string()).and_then(Self::checked);
        read.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Reads the `control_service` object of the proxy's configuration.
    ///
    /// # Errors
    /// The field and what is wrong with it.
    pub fn from_json(told: &serde_json::Value) -> Result<Self, String> {
        Self::deserialize(told).map_err(|e| e.to_string()).and_then(Self::checked)
    }

    fn checked(self) -> Result<Self, String> {
        let need = |holds: bool, what: &str| if holds { Ok(()) } else { Err(what.to_owned()) };
        need(!self.addresses.is_empty(), "addresses: expected one address at least")?;
        need(!self.clusters.is_empty(), "clusters: expected one name at least")?;
        need(self.clusters.iter().all(|c| !c.is_empty()), "clusters: expected names that are not empty")?;
        need((1..=604_800).contains(&self.hold_s), "hold_s: expected seconds from 1 to 604800")?;
        need((1..=60_000).contains(&self.backoff_ms), "backoff_ms: expected milliseconds from 1 to 60000")?;
        let most = self.backoff_ms..=600_000;
        need(
            most.contains(&self.backoff_most_ms),
            "backoff_most_ms: expected backoff_ms at least, 600000 at most",
        )?;
        need((1..=1_000_000).contains(&self.endpoints_most), "endpoints_most: expected 1 to 1000000")?;
        if self.tls.is_none() {
            let beyond = self.addresses.iter().find(|a| !a.ip().is_loopback());
            let bare =
                |a| Err(format!("tls: expected cert, key, ca and server_name, since {a} is beyond loopback"));
            beyond.map_or(Ok(()), bare)?;
        }
        Ok(self)
    }
}

/// A subscription that is to be followed.
pub struct Subscription {
    source: ControlSource,
    name: String,
    seed: u64,
}

impl Subscription {
    /// What the configuration says of one; `None`: there is none.
    pub fn of(config: &Config) -> Option<Self> {
        let source = config.control.clone()?;
        Some(Subscription { source, name: config.name.clone(), seed: config.seed })
    }

    /// Bounds of the merged list.
    pub fn limits(&self) -> MergeLimits {
        MergeLimits { hold: self.source.hold_s.saturating_mul(1_000_000_000), ..MergeLimits::default() }
    }

    /// Follows the control service for good.
    pub async fn follow(self, nodes: Rc<NodeList>) {
        let source = self.source;
        let tls = match &source.tls {
            None => None,
            Some(t) => {
                let files = TlsFiles { cert: t.cert.clone(), key: t.key.clone(), ca: t.ca.clone() };
                match Tls::read(&files) {
                    Ok(tls) => Some((tls, t.server_name.clone())),
                    // The proxy's own discovery goes on; without TLS nothing is asked.
                    Err(e) => return super::log(format_args!("no control service is followed: {e}")),
                }
            }
        };
        let options = ClientOptions {
            addresses: source.addresses.clone(),
            node: self.name,
            cluster: source.clusters[0].clone(),
            tls,
            message: ANSWER_MOST,
        };
        let millis = |ms: u64| ms.saturating_mul(1_000_000);
        let mut follow = Follow::new(FollowConfig {
            addresses: source.addresses.len(),
            clusters: source.clusters,
            collections: source.collections,
            backoff: (millis(source.backoff_ms), millis(source.backoff_most_ms)),
            most: source.endpoints_most,
        });
        let mut random = self.seed ^ 0x5851_f42d_4c95_7f2d;
        let chance = move || {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random >> 11) as f64 / (1u64 << 53) as f64
        };
        // Since when the stream has told nothing; `None`: it is not open, or has had its say.
        let quiet = std::cell::Cell::new(None::<Instant>);
        let mut outage = Outage::default();
        let following = run(
            options,
            &mut follow,
            chance,
            || nodes.now(),
            |_: &Follow, notice| match notice {
                Notice::Connected(addr) => {
                    match outage.over() {
                        None => super::log(format_args!("control service at {addr}: connected")),
                        Some(n) => super::log(format_args!(
                            "control service at {addr}: connected after {n} failures"
                        )),
                    }
                    quiet.set(Some(Instant::now()));
                }
                Notice::News((process, news)) => {
                    nodes.controlled(&process, news);
                    quiet.set(quiet.get().map(|_| Instant::now()));
                }
                Notice::Ahead(ahead, error) => nodes.measured(ahead, error),
                Notice::Refused(why) => super::log(format_args!("control service: refused an answer: {why}")),
                Notice::Lost(addr, why) => {
                    if let Some(n) = outage.failed(&format!("{addr}: {why}")) {
                        super::log(format_args!(
                            "control service at {addr}: {why}; the list stays as it is (failure {n})"
                        ));
                    }
                    quiet.set(None);
                    nodes.control_lost();
                }
            },
        );
        let ticking = async {
            let mut tick = interval(TICK);
            loop {
                tick.tick().await;
                nodes.tick();
                if quiet.get().is_some_and(|since| since.elapsed() >= SETTLED_AFTER) {
                    quiet.set(None);
                    nodes.control_confirmed();
                }
            }
        };
        tokio::select! {
            () = following => {}
            () = ticking => {}
        }
    }
}
