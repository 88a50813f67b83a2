//! The thread that follows what is declared: the stream, files and look-ups go into the catalogue, changes come out.

use super::{admin, files, lookup, EnvoySource, FiguresAsked, Handover, Me, Resolver};
use crate::proxy::clock::Clock;
use crate::proxy::log;
use prost::Message as _;
use rushquay_envoy::catalogue::{Catalogue, Choice};
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

/// The catalogue is looked at so often at the latest.
const LOOK: Duration = Duration::from_secs(1);

/// What all tasks of the thread share.
pub struct Shared {
    pub catalogue: Rc<RefCell<Catalogue>>,
    pub clock: Clock,
    /// The catalogue has changed.
    pub kick: Notify,
}

pub struct Driver {
    source: EnvoySource,
    me: Me,
    hand: Arc<Handover>,
    resolver: Rc<dyn Resolver>,
    shared: Rc<Shared>,
}

impl Driver {
    pub fn new(source: EnvoySource, me: Me, hand: Arc<Handover>, resolver: Rc<dyn Resolver>) -> Self {
        let clock = me.clock;
        let choice = Choice { name: source.listener.clone(), address: Some(me.listen) };
        let catalogue = Rc::new(RefCell::new(Catalogue::new(&source.bootstrap, choice, clock.now())));
        let shared = Rc::new(Shared { catalogue, clock, kick: Notify::new() });
        Driver { source, me, hand, resolver, shared }
    }

    /// Starts what can fail; gives where the admin page is, and the work that goes on for good.
    pub async fn start(
        self,
        figures: FiguresAsked,
    ) -> Result<(Option<SocketAddr>, impl Future<Output = ()>), String> {
        let mut at = None;
        if let Some(addr) = self.source.bootstrap.admin {
            let fault = |e| format!("admin.address: {addr}: {e}");
            let listener = TcpListener::bind(addr).await.map_err(fault)?;
            at = Some(listener.local_addr().map_err(fault)?);
            tokio::task::spawn_local(admin::serve(listener, self.shared.clone(), figures));
        }
        let wake = Arc::new(Notify::new());
        if let Some(options) = self.stream(wake.clone())? {
            tokio::task::spawn_local(follow(options, self.session(), self.me.seed, self.shared.clone()));
        }
        tokio::task::spawn_local(files::follow(self.shared.clone()));
        Ok((at, self.settle(wake)))
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
            message: self.source.answer_most,
            identity: Some(Box::new(node)),
            wake: Some(wake),
        }))
    }

    fn session(&self) -> Ads {
        let (addresses, sotw) =
            self.source.bootstrap.ads.as_ref().map_or((1, false), |a| (a.addresses.len(), a.sotw));
        let (first, most) = self.source.backoff_ms;
        let backoff = (first.saturating_mul(1_000_000), most.saturating_mul(1_000_000));
        let clock = self.shared.clock;
        let catalogue = self.shared.catalogue.clone();
        Ads::new(addresses, sotw, backoff, self.source.resources_most, catalogue, move || clock.now())
    }

    /// Hands on what follows from each change, and from time.
    async fn settle(self, wake: Arc<Notify>) {
        let shared = self.shared.clone();
        loop {
            let now = shared.clock.now();
            let changes = shared.catalogue.borrow_mut().settle(now);
            self.hand.push(changes);
            // What a file or a look-up has brought may have the stream asked for something else.
            wake.notify_one();
            for (cluster, name, family) in shared.catalogue.borrow_mut().lookups(now) {
                let (shared, resolver) = (shared.clone(), self.resolver.clone());
                tokio::task::spawn_local(async move {
                    let found = lookup::look(resolver.resolve(&name), family).await;
                    if let Err(e) = &found {
                        log(format_args!("{cluster}: {name}: {e}; its endpoints stay as they are"));
                    }
                    let now = shared.clock.now();
                    shared.catalogue.borrow_mut().looked_up(&cluster, &name, found, now);
                    shared.kick.notify_one();
                });
            }
            let due = shared.catalogue.borrow().wake(now);
            let wait = due.map_or(LOOK, |due| Duration::from_nanos(due.saturating_sub(now)).min(LOOK));
            tokio::select! {
                () = shared.kick.notified() => {}
                () = tokio::time::sleep(wait.max(Duration::from_millis(1))) => {}
            }
        }
    }
}

async fn follow(options: ClientOptions, mut session: Ads, seed: u64, shared: Rc<Shared>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut outage = Outage::default();
    let clock = shared.clock;
    let notice = |_: &Ads, notice| match notice {
        ClientEvent::Connected(addr) => {
            let after = outage.over().map(|n| format!(" after {n} failures")).unwrap_or_default();
            log(format_args!("control service at {addr}: connected{after}"));
        }
        ClientEvent::News(_) => shared.kick.notify_one(),
        ClientEvent::Refused(why) => log(format_args!("refused, what stood before goes on: {why}")),
        ClientEvent::Lost(addr, why) => {
            if let Some(n) = outage.failed(&format!("{addr}: {why}")) {
                log(format_args!("control service at {addr}: {why}; all stays as it is (failure {n})"));
            }
        }
        ClientEvent::Ahead(..) => {}
    };
    run(options, &mut session, move || random.f64(), || clock.now(), notice).await;
}
