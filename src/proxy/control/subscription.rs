//! The subscription to a control service, where one is configured. It adds to the proxy's own discovery and takes
//! nothing from it: while it is lost the proxy goes on with what it has.

use crate::proxy::config::Config;
use crate::proxy::control::policy_client::PolicyClient;
use crate::proxy::control::rollout_client::RolloutClient;
use crate::proxy::control::settings::ControlSource;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use rushquay_endpoints::MergeLimits;
use rushquay_xds::client::Outage;
use rushquay_xds_grpc::{run, ClientEvent, ClientOptions, Tls, TlsFiles};
use rushquay_xds_resources::{ControlFollower, FollowerConfig};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Descriptors that it may hold: a connection, and one that is just ending.
pub const DESCRIPTORS: usize = 4;
/// Overrides end by this clock, also while the control service is lost: within a second of their time.
const TICK: Duration = Duration::from_millis(250);
/// A stream that has told nothing for so long has had its say. Danger: what brings a proxy up to date may come in many
/// answers; taken for settled after the first, an old control service would be believed in the second.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// An answer is at most this long; five thousand endpoints inline take a quarter of it.
const ANSWER_MOST: usize = 8 << 20;

/// What a subscription brings beside nodes.
pub struct Parts {
    /// Changes of settings in stages.
    pub rollout: Option<Rc<RolloutClient>>,
    /// Changes of policy.
    pub policy: Option<Rc<PolicyClient>>,
    /// Told when one of them has something to tell at once.
    pub news: Arc<Notify>,
}

/// A subscription that is to be followed.
pub struct ControlSubscription {
    source: ControlSource,
    name: String,
    seed: u64,
}

impl ControlSubscription {
    /// What the configuration says of one; `None`: there is none.
    pub fn of(config: &Config) -> Option<Self> {
        let source = config.control.clone()?;
        Some(ControlSubscription { source, name: config.name.clone(), seed: config.seed })
    }

    /// Bounds of the merged list.
    pub fn limits(&self) -> MergeLimits {
        MergeLimits { hold: self.source.hold_s.saturating_mul(1_000_000_000), ..MergeLimits::default() }
    }

    /// Follows the control service for good.
    pub async fn follow(self, nodes: Rc<EndpointFeed>, parts: Parts) {
        let Parts { rollout, policy, news } = parts;
        let source = self.source;
        let tls = match &source.tls {
            None => None,
            Some(t) => {
                let files = TlsFiles { cert: t.cert.clone(), key: t.key.clone(), ca: t.ca.clone() };
                match Tls::read(&files) {
                    Ok(tls) => Some((tls, t.server_name.clone())),
                    // The proxy's own discovery goes on; without TLS nothing is asked.
                    Err(e) => return crate::proxy::log(format_args!("no control service is followed: {e}")),
                }
            }
        };
        let name = self.name;
        let options = ClientOptions {
            addresses: source.addresses.clone(),
            node: name.clone(),
            cluster: source.clusters[0].clone(),
            tls,
            message: ANSWER_MOST,
            identity: None,
            wake: (rollout.is_some() || policy.is_some()).then(|| news.clone()),
        };
        let millis = |ms: u64| ms.saturating_mul(1_000_000);
        let mut follow = ControlFollower::new(FollowerConfig {
            addresses: source.addresses.len(),
            clusters: source.clusters,
            collections: source.collections,
            backoff: (millis(source.backoff_ms), millis(source.backoff_most_ms)),
            most: source.endpoints_most,
        });
        if let Some(rollout) = &rollout {
            let (checks, tells) = (rollout.clone(), rollout.clone());
            follow.settings(&name, move |given| checks.can_apply(given), move || Some(tells.report()));
        }
        if let Some(policy) = &policy {
            let tells = policy.clone();
            follow.policy(&name, policy.boot(), move || tells.due_lease_request());
        }
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
            |_: &ControlFollower, notice| match notice {
                ClientEvent::Connected(addr) => {
                    // Danger: what was asked on the stream before may never be answered.
                    policy.iter().for_each(|p| p.request_lease_now());
                    match outage.over() {
                        None => crate::proxy::log(format_args!("control service at {addr}: connected")),
                        Some(n) => crate::proxy::log(format_args!(
                            "control service at {addr}: connected after {n} failures"
                        )),
                    }
                    quiet.set(Some(Instant::now()));
                }
                ClientEvent::News(said) => {
                    if let Some(news) = said.nodes {
                        nodes.controlled(&said.process, news);
                    }
                    if let (Some(given), Some(rollout)) = (said.settings, &rollout) {
                        rollout.apply(&given);
                    }
                    policy.iter().for_each(|p| p.on_messages(&said.policy));
                    quiet.set(quiet.get().map(|_| Instant::now()));
                }
                ClientEvent::Ahead(ahead, error) => nodes.measured(ahead, error),
                ClientEvent::Refused(why) => {
                    crate::proxy::log(format_args!("control service: refused an answer: {why}"))
                }
                ClientEvent::Lost(addr, why) => {
                    if let Some(n) = outage.failed(&format!("{addr}: {why}")) {
                        crate::proxy::log(format_args!(
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
        let telling = async {
            let Some(rollout) = &rollout else { return std::future::pending().await };
            let mut tick = interval(rollout.report_interval());
            tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                news.notify_one();
            }
        };
        let asking = async {
            let Some(policy) = &policy else { return std::future::pending().await };
            let mut tick = interval(policy.request_interval());
            tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tick.tick().await;
                policy.request_lease_now();
            }
        };
        tokio::select! {
            () = following => {}
            () = ticking => {}
            () = telling => {}
            () = asking => {}
        }
    }
}
