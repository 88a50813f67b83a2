//! The subscription to a control service, if one is configured. It adds to the proxy's own discovery and replaces none of it: while the
//! control service is unreachable, the proxy goes on with what it has.

use crate::proxy::config::Config;
use crate::proxy::control::policy_client::PolicyClient;
use crate::proxy::control::rollout_client::RolloutClient;
use crate::proxy::control::settings::{ControlSource, ControlTls};
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use rushquay_endpoints::MergeLimits;
use rushquay_xds::client::Outage;
use rushquay_xds_grpc::{run, ClientEvent, ClientOptions, Tls, TlsError, TlsFiles};
use rushquay_xds_resources::{ControlFollower, FollowerConfig, FollowerEvent};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Descriptors that it may hold: one connection, and one that is just closing.
pub const DESCRIPTORS: usize = 4;
/// Interval at which overrides are expired, also while the control service is unreachable: well within a second of their time.
const TICK: Duration = Duration::from_millis(250);
/// A stream without a response for this long has delivered its complete state. Danger: the state may arrive in many responses; if it
/// were taken for complete after the first, a stale control service would be believed with the second.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Longest response in bytes; five thousand inline endpoints take a quarter of it.
const ANSWER_MOST: usize = 8 << 20;

/// What a subscription carries besides endpoints.
pub struct Parts {
    /// The proxy's part in rollouts.
    pub rollout: Option<Rc<RolloutClient>>,
    /// The proxy's part in policies.
    pub policy: Option<Rc<PolicyClient>>,
    /// Notified when one of them has something to send immediately.
    pub news: Arc<Notify>,
}

/// A configured subscription.
pub struct ControlSubscription {
    source: ControlSource,
    name: String,
    seed: u64,
}

impl ControlSubscription {
    /// The subscription that the configuration names; `None`: there is none.
    pub fn of(config: &Config) -> Option<Self> {
        let source = config.control.clone()?;
        Some(ControlSubscription { source, name: config.name.clone(), seed: config.seed })
    }

    /// Limits of the merged endpoint list.
    pub fn limits(&self) -> MergeLimits {
        MergeLimits { hold: self.source.hold_s.saturating_mul(1_000_000_000), ..MergeLimits::default() }
    }

    /// Follows the control service for as long as the process runs.
    pub async fn follow(self, nodes: Rc<EndpointFeed>, parts: Parts) {
        let tls = match self.source.tls.as_ref().map(read_tls).transpose() {
            Ok(tls) => tls,
            // The proxy's own discovery goes on; without TLS nothing is requested.
            Err(e) => return crate::proxy::log(format_args!("no control service is followed: {e}")),
        };
        let options = self.client_options(tls, &parts);
        let mut follower = self.follower(&parts);
        let chance = jitter(self.seed);
        let events =
            Events { nodes: &nodes, parts: &parts, quiet: Cell::new(None), outage: RefCell::default() };
        let following = run(
            options,
            &mut follower,
            chance,
            || nodes.now(),
            |_: &ControlFollower, event| events.on_event(event),
        );
        tokio::select! {
            () = following => {}
            () = events.tick() => {}
            () = wake_for_reports(&parts) => {}
            () = request_leases(&parts) => {}
        }
    }

    fn client_options(&self, tls: Option<(Tls, String)>, parts: &Parts) -> ClientOptions {
        let speaks = parts.rollout.is_some() || parts.policy.is_some();
        ClientOptions {
            addresses: self.source.addresses.clone(),
            node: self.name.clone(),
            cluster: self.source.clusters[0].clone(),
            tls,
            message: ANSWER_MOST,
            identity: None,
            wake: speaks.then(|| parts.news.clone()),
        }
    }

    /// What reads the stream, and what it says of this process.
    fn follower(&self, parts: &Parts) -> ControlFollower {
        let nanos = |ms: u64| ms.saturating_mul(1_000_000);
        let mut follower = ControlFollower::new(FollowerConfig {
            addresses: self.source.addresses.len(),
            clusters: self.source.clusters.clone(),
            collections: self.source.collections,
            backoff: (nanos(self.source.backoff_ms), nanos(self.source.backoff_most_ms)),
            most: self.source.endpoints_most,
        });
        if let Some(rollout) = &parts.rollout {
            let (checks, reports) = (rollout.clone(), rollout.clone());
            let can_apply = move |given: &_| checks.can_apply(given);
            follower.settings(&self.name, can_apply, move || Some(reports.report()));
        }
        if let Some(policy) = &parts.policy {
            let requests = policy.clone();
            follower.policy(&self.name, policy.boot(), move || requests.due_lease_request());
        }
        follower
    }
}

/// Reads the files of mutual TLS, with the name that the server's certificate has to bear.
fn read_tls(told: &ControlTls) -> Result<(Tls, String), TlsError> {
    let files = TlsFiles { cert: told.cert.clone(), key: told.key.clone(), ca: told.ca.clone() };
    Ok((Tls::read(&files)?, told.server_name.clone()))
}

/// Random numbers from 0 to 1 for the waits between connections (a linear congruential generator: any will do).
fn jitter(seed: u64) -> impl FnMut() -> f64 {
    let mut random = seed ^ 0x5851_f42d_4c95_7f2d;
    move || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What comes of the stream's events.
struct Events<'a> {
    nodes: &'a EndpointFeed,
    parts: &'a Parts,
    /// Since when the stream has delivered nothing; `None`: it is not open, or has settled.
    quiet: Cell<Option<Instant>>,
    outage: RefCell<Outage>,
}

impl Events<'_> {
    fn on_event(&self, event: ClientEvent<FollowerEvent>) {
        match event {
            ClientEvent::Connected(addr) => self.connected(addr),
            ClientEvent::News(said) => self.delivered(said),
            ClientEvent::Ahead(ahead, error) => self.nodes.measured(ahead, error),
            ClientEvent::Refused(why) => {
                crate::proxy::log(format_args!("control service: refused an answer: {why}"));
            }
            ClientEvent::Lost(addr, why) => {
                if let Some(n) = self.outage.borrow_mut().failed(&format!("{addr}: {why}")) {
                    crate::proxy::log(format_args!(
                        "control service at {addr}: {why}; the list stays as it is (failure {n})"
                    ));
                }
                self.quiet.set(None);
                self.nodes.control_lost();
            }
        }
    }

    fn connected(&self, addr: SocketAddr) {
        // Danger: what was requested on the stream before may never be answered.
        self.parts.policy.iter().for_each(|policy| policy.request_lease_now());
        match self.outage.borrow_mut().over() {
            None => crate::proxy::log(format_args!("control service at {addr}: connected")),
            Some(n) => {
                crate::proxy::log(format_args!("control service at {addr}: connected after {n} failures"));
            }
        }
        self.quiet.set(Some(Instant::now()));
    }

    fn delivered(&self, said: FollowerEvent) {
        if let Some(news) = said.nodes {
            self.nodes.controlled(&said.process, news);
        }
        if let (Some(given), Some(rollout)) = (said.settings, &self.parts.rollout) {
            rollout.apply(&given);
        }
        self.parts.policy.iter().for_each(|policy| policy.on_messages(&said.policy));
        self.quiet.set(self.quiet.get().map(|_| Instant::now()));
    }

    /// Expires what holds for a time alone, and takes the stream's view for complete once it has been quiet.
    async fn tick(&self) {
        let mut tick = interval(TICK);
        loop {
            tick.tick().await;
            self.nodes.tick();
            if self.quiet.get().is_some_and(|since| since.elapsed() >= SETTLED_AFTER) {
                self.quiet.set(None);
                self.nodes.control_confirmed();
            }
        }
    }
}

/// Has the stream send a report at each interval; never ends.
async fn wake_for_reports(parts: &Parts) {
    let Some(rollout) = &parts.rollout else { return std::future::pending().await };
    let mut tick = interval(rollout.report_interval());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        parts.news.notify_one();
    }
}

/// Requests a policy lease at each interval; never ends.
async fn request_leases(parts: &Parts) {
    let Some(policy) = &parts.policy else { return std::future::pending().await };
    let mut tick = interval(policy.request_interval());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        policy.request_lease_now();
    }
}
