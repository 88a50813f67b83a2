//! The thread that follows the declared resources: the stream, files and DNS look-ups update the catalogue, and its changes are
//! queued for the proxy's thread.

use super::{admin, files, lookup, ChangeQueue, EnvoySource, ProxyIdentity, Resolver, StatsRequests};
use crate::proxy::clock::Clock;
use crate::proxy::log;
use prost::Message as _;
use rushquay_envoy::catalogue::{Catalogue, ListenerSelector};
use rushquay_envoy::session::Ads;
use rushquay_xds::client::Outage;
use rushquay_xds_grpc::{run, ClientEvent, ClientOptions, Node, Tls, TlsFiles};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The longest interval between two checks of the catalogue.
const MAX_SETTLE_INTERVAL: Duration = Duration::from_secs(1);

/// State that all tasks of the thread share.
pub struct Shared {
    pub catalogue: Rc<RefCell<Catalogue>>,
    pub clock: Clock,
    /// Notified when the catalogue has changed.
    pub changed: Notify,
}

/// Runs the stream, files and look-ups that feed the catalogue.
pub struct Driver {
    source: EnvoySource,
    me: ProxyIdentity,
    change_queue: Arc<ChangeQueue>,
    resolver: Rc<dyn Resolver>,
    shared: Rc<Shared>,
}

impl Driver {
    pub fn new(
        source: EnvoySource,
        me: ProxyIdentity,
        change_queue: Arc<ChangeQueue>,
        resolver: Rc<dyn Resolver>,
    ) -> Self {
        let clock = me.clock;
        let choice = ListenerSelector { name: source.listener.clone(), address: Some(me.listen) };
        let catalogue = Rc::new(RefCell::new(Catalogue::new(&source.bootstrap, choice, clock.now())));
        let shared = Rc::new(Shared { catalogue, clock, changed: Notify::new() });
        Driver { source, me, change_queue, resolver, shared }
    }

    /// Performs the steps that can fail. Returns the address of the admin pages, and the future that runs until the thread ends.
    pub async fn start(
        self,
        stats_requests: StatsRequests,
    ) -> Result<(Option<SocketAddr>, impl Future<Output = ()>), String> {
        let mut at = None;
        if let Some(addr) = self.source.bootstrap.admin {
            let bind_error = |e| format!("admin.address: {addr}: {e}");
            let listener = TcpListener::bind(addr).await.map_err(bind_error)?;
            at = Some(listener.local_addr().map_err(bind_error)?);
            tokio::task::spawn_local(admin::serve(listener, self.shared.clone(), stats_requests));
        }
        let wake = Arc::new(Notify::new());
        let options = self.stream(wake.clone())?;
        let (session, seed, shared) = (self.session(), self.me.seed, self.shared.clone());
        let stream = async move {
            if let Some(options) = options {
                follow(options, session, seed, shared).await;
            }
        };
        let files = files::follow(self.shared.clone());
        // Danger: a part that panicked in a task of its own would leave clusters that nobody updates. In one task it ends the thread.
        Ok((at, async move {
            tokio::join!(stream, files, self.settle(wake));
        }))
    }

    fn stream(&self, wake: Arc<Notify>) -> Result<Option<ClientOptions>, String> {
        let Some(ads) = &self.source.bootstrap.ads else { return Ok(None) };
        let tls = match &ads.secrets {
            None => None,
            Some(s) => {
                let files = TlsFiles { cert: s.cert.clone(), key: s.key.clone(), ca: s.ca.clone() };
                Some((Tls::read(&files).map_err(|e| e.to_string())?, s.name.clone()))
            }
        };
        let mut node =
            Node::decode(self.source.bootstrap.node.as_slice()).map_err(|e| format!("node: {e}"))?;
        if node.id.is_empty() {
            node.id.clone_from(&self.me.name);
        }
        node.user_agent_name = "rushquay".into();
        Ok(Some(ClientOptions {
            addresses: ads.addresses.clone(),
            node: node.id.clone(),
            cluster: node.cluster.clone(),
            tls,
            message: self.source.max_answer_bytes,
            identity: Some(Box::new(node)),
            wake: Some(wake),
        }))
    }

    fn session(&self) -> Ads {
        let (addresses, sotw) =
            self.source.bootstrap.ads.as_ref().map_or((1, false), |a| (a.addresses.len(), a.sotw));
        let (first, longest) = self.source.backoff_ms;
        let backoff = (first.saturating_mul(1_000_000), longest.saturating_mul(1_000_000));
        let clock = self.shared.clock;
        let catalogue = self.shared.catalogue.clone();
        Ads::new(addresses, sotw, backoff, self.source.resources_most, catalogue, move || clock.now())
    }

    /// Queues the changes that follow from updates of the catalogue and from timers, and starts the look-ups that are due.
    async fn settle(self, wake: Arc<Notify>) {
        let shared = self.shared.clone();
        loop {
            let now = shared.clock.now();
            let changes = shared.catalogue.borrow_mut().settle(now);
            self.change_queue.push(changes);
            // An update from a file or a look-up may change what the stream must subscribe to.
            wake.notify_one();
            for (cluster, name, family) in shared.catalogue.borrow_mut().lookups(now) {
                let (shared, resolver) = (shared.clone(), self.resolver.clone());
                tokio::task::spawn_local(async move {
                    let found = lookup::resolve_family(resolver.resolve(&name), family).await;
                    if let Err(e) = &found {
                        log(format_args!("{cluster}: {name}: {e}; keeping its current endpoints"));
                    }
                    let now = shared.clock.now();
                    shared.catalogue.borrow_mut().handle_lookup_result(&cluster, &name, found, now);
                    shared.changed.notify_one();
                });
            }
            let due = shared.catalogue.borrow().wake(now);
            let wait = due.map_or(MAX_SETTLE_INTERVAL, |due| {
                Duration::from_nanos(due.saturating_sub(now)).min(MAX_SETTLE_INTERVAL)
            });
            tokio::select! {
                () = shared.changed.notified() => {}
                () = tokio::time::sleep(wait.max(Duration::from_millis(1))) => {}
            }
        }
    }
}

/// Runs the ADS stream.
async fn follow(options: ClientOptions, mut session: Ads, seed: u64, shared: Rc<Shared>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut outage = Outage::default();
    let clock = shared.clock;
    let notice = |_: &Ads, notice| match notice {
        ClientEvent::Connected(addr) => {
            let after = outage.over().map(|n| format!(" after {n} failures")).unwrap_or_default();
            log(format_args!("control service at {addr}: connected{after}"));
        }
        ClientEvent::News(_) => shared.changed.notify_one(),
        ClientEvent::Refused(why) => log(format_args!("rejected, keeping the previous resources: {why}")),
        ClientEvent::Lost(addr, why) => {
            if let Some(n) = outage.failed(&format!("{addr}: {why}")) {
                log(format_args!(
                    "control service at {addr}: {why}; keeping the current resources (failure {n})"
                ));
            }
        }
        ClientEvent::Ahead(..) => {}
    };
    run(options, &mut session, move || random.f64(), || clock.now(), notice).await;
}
