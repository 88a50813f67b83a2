//! The optional subscription to a control service. It supplements the proxy's own discovery and does not replace it: while the control
//! service is unreachable, the proxy continues with the state that it has.

use crate::proxy::config::Config;
use crate::proxy::control::policy_client::PolicyClient;
use crate::proxy::control::rollout_client::RolloutClient;
use crate::proxy::control::settings::{ControlSource, ControlTls};
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use rushquay_endpoints::MergeLimits;
use rushquay_lease::Epoch;
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

/// Descriptors reserved for the subscription: one connection, and old ones that are still closing.
pub const DESCRIPTORS: usize = 4;
/// Interval at which overrides are expired, also while the control service is unreachable. They must end within a second of their
/// time.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// A stream without a response for this long counts as having delivered its complete state. Danger: the state may arrive in many
/// responses. If it counted as complete after the first, the second response of a stale control service would be trusted.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// Maximum size of a response in bytes; five thousand inline endpoints take a quarter of it.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The other clients that share the subscription's stream.
pub struct StreamClients {
    /// The rollout client, if rollouts are configured.
    pub rollout: Option<Rc<RolloutClient>>,
    /// The policy client, if policies are configured.
    pub policy: Option<Rc<PolicyClient>>,
    /// Notified when one of them has a message to send immediately.
    pub wake: Arc<Notify>,
}

/// A configured subscription.
pub struct ControlSubscription {
    source: ControlSource,
    name: String,
    seed: u64,
}

impl ControlSubscription {
    /// Returns the configured subscription; `None` if the configuration has none.
    pub fn of(config: &Config) -> Option<Self> {
        let source = config.control.clone()?;
        Some(ControlSubscription { source, name: config.name.clone(), seed: config.seed })
    }

    /// Returns the limits of the merged endpoint list.
    pub fn limits(&self) -> MergeLimits {
        MergeLimits { hold: self.source.hold_s.saturating_mul(1_000_000_000), ..MergeLimits::default() }
    }

    /// Runs the subscription for as long as the process runs. `known_epoch` is the epoch of the control service that a predecessor heard:
    /// those of earlier ones are not heard.
    pub async fn follow(self, feed: Rc<EndpointFeed>, parts: StreamClients, known_epoch: Option<Epoch>) {
        let tls = match self.source.tls.as_ref().map(read_tls).transpose() {
            Ok(tls) => tls,
            // The subscription never runs without the configured TLS. The proxy's own discovery continues.
            Err(e) => {
                return crate::proxy::log(format_args!("control service subscription is disabled: {e}"))
            }
        };
        let options = self.client_options(tls, &parts);
        let mut follower = self.follower(&parts);
        known_epoch.into_iter().for_each(|epoch| follower.since_epoch(epoch));
        let random = jitter(self.seed);
        let events = EventHandler {
            feed: &feed,
            parts: &parts,
            quiet_since: Cell::new(None),
            outage: RefCell::default(),
        };
        let stream = run(
            options,
            &mut follower,
            random,
            || feed.now(),
            |_: &ControlFollower, event| events.on_event(event),
        );
        tokio::select! {
            () = stream => {}
            () = events.tick() => {}
            () = wake_for_reports(&parts) => {}
            () = request_leases(&parts) => {}
        }
    }

    fn client_options(&self, tls: Option<(Tls, String)>, parts: &StreamClients) -> ClientOptions {
        let sends_messages = parts.rollout.is_some() || parts.policy.is_some();
        ClientOptions {
            addresses: self.source.addresses.clone(),
            node: self.name.clone(),
            cluster: self.source.clusters[0].clone(),
            tls,
            message: MAX_RESPONSE_BYTES,
            identity: None,
            wake: sends_messages.then(|| parts.wake.clone()),
        }
    }

    /// Creates the follower that reads the stream and sends this process's reports and lease requests.
    fn follower(&self, parts: &StreamClients) -> ControlFollower {
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
            let can_apply = move |assignment: &_| checks.can_apply(assignment);
            follower.settings(&self.name, can_apply, move || Some(reports.report()));
        }
        if let Some(policy) = &parts.policy {
            let requests = policy.clone();
            follower.policy(&self.name, policy.incarnation(), move || requests.due_lease_request());
        }
        follower
    }
}

/// Reads the files for mutual TLS. Returns the TLS settings with the expected name in the server's certificate.
fn read_tls(tls: &ControlTls) -> Result<(Tls, String), TlsError> {
    let files = TlsFiles { cert: tls.cert.clone(), key: tls.key.clone(), ca: tls.ca.clone() };
    Ok((Tls::read(&files)?, tls.server_name.clone()))
}

/// Returns a generator of random numbers in [0, 1) for reconnect jitter. A linear congruential generator is good enough for this.
fn jitter(seed: u64) -> impl FnMut() -> f64 {
    let mut random = seed ^ 0x5851_f42d_4c95_7f2d;
    move || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Handles the events of the stream.
struct EventHandler<'a> {
    feed: &'a EndpointFeed,
    parts: &'a StreamClients,
    /// When the stream last delivered a response or was opened; `None`: it is not open, or its state is complete.
    quiet_since: Cell<Option<Instant>>,
    outage: RefCell<Outage>,
}

impl EventHandler<'_> {
    fn on_event(&self, event: ClientEvent<FollowerEvent>) {
        match event {
            ClientEvent::Connected(addr) => self.connected(addr),
            ClientEvent::News(event) => self.delivered(event),
            ClientEvent::Ahead(ahead, error) => self.feed.on_clock_measurement(ahead, error),
            ClientEvent::Refused(why) => {
                crate::proxy::log(format_args!("control service: rejected a response: {why}"));
            }
            ClientEvent::Lost(addr, why) => {
                if let Some(n) = self.outage.borrow_mut().failed(&format!("{addr}: {why}")) {
                    crate::proxy::log(format_args!(
                        "control service at {addr}: {why}; the endpoint list is kept (failure {n})"
                    ));
                }
                self.quiet_since.set(None);
                self.feed.control_lost();
            }
        }
    }

    fn connected(&self, addr: SocketAddr) {
        // Danger: a lease request on the previous stream may never be answered, so another is sent.
        self.parts.policy.iter().for_each(|policy| policy.request_lease_now());
        match self.outage.borrow_mut().over() {
            None => crate::proxy::log(format_args!("control service at {addr}: connected")),
            Some(n) => {
                crate::proxy::log(format_args!("control service at {addr}: connected after {n} failures"));
            }
        }
        self.quiet_since.set(Some(Instant::now()));
    }

    fn delivered(&self, event: FollowerEvent) {
        if let Some(endpoints) = event.nodes {
            self.feed.on_control_event(&event.process, endpoints);
        }
        if let (Some(assignment), Some(rollout)) = (event.settings, &self.parts.rollout) {
            rollout.apply(&assignment);
        }
        self.parts.policy.iter().for_each(|policy| policy.on_messages(&event.policy));
        self.quiet_since.set(self.quiet_since.get().map(|_| Instant::now()));
    }

    /// Expires entries with a time limit, and confirms the stream's state as complete once the stream has been quiet; never ends.
    async fn tick(&self) {
        let mut tick = interval(EXPIRY_INTERVAL);
        loop {
            tick.tick().await;
            self.feed.tick();
            if self.quiet_since.get().is_some_and(|since| since.elapsed() >= SETTLED_AFTER) {
                self.quiet_since.set(None);
                self.feed.control_confirmed();
            }
        }
    }
}

/// Wakes the stream at each interval to send a report; never ends.
async fn wake_for_reports(parts: &StreamClients) {
    let Some(rollout) = &parts.rollout else { return std::future::pending().await };
    let mut tick = interval(rollout.report_interval());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        parts.wake.notify_one();
    }
}

/// Requests a policy lease at each interval; never ends.
async fn request_leases(parts: &StreamClients) {
    let Some(policy) = &parts.policy else { return std::future::pending().await };
    let mut tick = interval(policy.request_interval());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        policy.request_lease_now();
    }
}
