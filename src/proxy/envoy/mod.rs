//! Clusters, endpoints and routes in Envoy's form: a thread of its own follows what is declared, and hands the proxy's
//! thread what changes. Danger: to read ten thousand endpoints takes longer than some requests have; done between requests
//! it would make them late.

mod admin;
mod driver;
mod files;
mod lookup;
mod source;

pub use lookup::{Resolver, SystemResolver};
pub use source::{read_bootstrap, EnvoySource};

use crate::proxy::clock::Clock;
use crate::proxy::upstream::load_assignment::{ClusterFigures, NodeFigures, Pools};
use rushquay_envoy::catalogue::{Batch, Change};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, oneshot, Notify};

/// Descriptors that it may hold: the thread's own, the stream with one that is just ending, files and look-ups, the admin
/// page with its few connections.
pub const DESCRIPTORS: usize = 10 + admin::CONNECTIONS;

/// Changes on their way from the one thread to the other.
#[derive(Default)]
struct Handover {
    batch: Mutex<Batch>,
    news: Notify,
}

impl Handover {
    fn push(&self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let mut batch = self.batch.lock().unwrap_or_else(PoisonError::into_inner);
        changes.into_iter().for_each(|c| batch.add(c));
        drop(batch);
        self.news.notify_one();
    }

    fn take(&self) -> Batch {
        std::mem::take(&mut *self.batch.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// What passed at all clusters and nodes.
type Figures = (Vec<ClusterFigures>, Vec<NodeFigures>);
/// Where the proxy's thread is asked for them.
type FiguresAsked = mpsc::Sender<oneshot::Sender<Figures>>;

/// Who follows.
pub struct Me {
    /// The proxy's name, where the bootstrap file gives no `node.id`.
    pub name: String,
    /// For the waits between attempts to connect.
    pub seed: u64,
    /// Where it listens: of several listeners that are told this one's is served.
    pub listen: SocketAddr,
    /// The clock by which its clusters date their attempts.
    pub clock: Clock,
}

/// Follows what is declared, for as long as the proxy's thread lives.
///
/// # Errors
/// An admin page that can't listen, or secrets that can't be read.
pub fn follow(source: EnvoySource, pools: Rc<Pools>, me: Me) -> Result<(), String> {
    follow_with(source, pools, me, || Rc::new(SystemResolver))
}

/// The same, with names looked up by somebody else.
///
/// # Errors
/// As for [`follow`].
pub fn follow_with(
    source: EnvoySource,
    pools: Rc<Pools>,
    me: Me,
    resolver: impl FnOnce() -> Rc<dyn Resolver> + Send + 'static,
) -> Result<(), String> {
    let hand = Arc::new(Handover::default());
    let clock = me.clock;
    let (figures, mut asked) = mpsc::channel::<oneshot::Sender<Figures>>(4);
    let (alive, ended) = oneshot::channel::<()>();
    let (ready, started) = std::sync::mpsc::channel::<Result<Option<SocketAddr>, String>>();
    let pushed = hand.clone();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(e) => return drop(ready.send(Err(format!("the runtime: {e}")))),
        };
        let work = async move {
            let driver = driver::Driver::new(source, me, pushed, resolver());
            match driver.start(figures).await {
                Err(e) => drop(ready.send(Err(e))),
                Ok((admin, work)) => {
                    let _ = ready.send(Ok(admin));
                    tokio::select! {
                        _ = ended => {}
                        () = work => {}
                    }
                }
            }
        };
        tokio::task::LocalSet::new().block_on(&runtime, work);
    };
    std::thread::Builder::new().name("clusters".into()).spawn(run).map_err(|e| format!("a thread: {e}"))?;
    let admin = started.recv().map_err(|_| "the thread for clusters has ended".to_string())??;
    if let Some(admin) = admin {
        crate::proxy::log(format_args!("admin page at {admin}"));
    }
    tokio::task::spawn_local(async move {
        // Held until this thread's tasks end; then the other thread ends too.
        let _alive = alive;
        loop {
            tokio::select! {
                () = hand.news.notified() => pools.apply(hand.take(), clock.now()),
                Some(answer) = asked.recv() => drop(answer.send(pools.figures())),
            }
        }
    });
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Settings;
    use crate::proxy::config::interner::Interner;
    use crate::proxy::listener::descriptors::Descriptors;
    use rushquay_admin::RequestMetrics;
    use rushquay_control_service::Clocks;
    use std::net::IpAddr;
    use std::sync::atomic::{AtomicUsize, Ordering};

    type Answers = Arc<Mutex<Result<Vec<IpAddr>, String>>>;

    /// A stand-in for look-ups: all names have what it is told.
    struct Told(Answers, Arc<AtomicUsize>);

    impl Resolver for Told {
        fn resolve(&self, name: &str) -> lookup::Lookup {
            assert_eq!(name, "plant.local");
            self.1.fetch_add(1, Ordering::SeqCst);
            let answer = self.0.lock().expect("locked").clone();
            Box::pin(async move { answer })
        }
    }

    const FILE: &str = "
static_resources:
  listeners:
    - name: l
      address: {socket_address: {address: 127.0.0.1, port_value: 0}}
      filter_chains: [{filters: [{name: h, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager, route_config: {name: r, virtual_hosts: [{name: h, domains: ['*'], routes: [{match: {prefix: /}, route: {cluster: c}}]}]}, http_filters: [{name: r, typed_config: {'@type': type.googleapis.com/envoy.extensions.filters.http.router.v3.Router}}]}}]}]
  clusters:
    - name: c
      type: STRICT_DNS
      dns_lookup_family: V4_ONLY
      dns_refresh_rate: 0.02s
      load_assignment: {cluster_name: c, endpoints: [{lb_endpoints: [{endpoint: {address: {socket_address: {address: plant.local, port_value: 80}}}}]}]}
";

    #[tokio::test(flavor = "current_thread")]
    async fn names_are_looked_up_again_and_a_failure_keeps_what_was_found() {
        let work = async {
            let source = EnvoySource {
                bootstrap: Arc::new(rushquay_envoy::bootstrap(FILE).expect("good")),
                listener: None,
                backoff_ms: (10, 10),
                resources_most: 10,
                answer_most: 1 << 20,
            };
            let clock = Clock::by(&Clocks::default());
            let (settings, names) = (Settings::default(), Interner::default());
            let pools = Pools::new(settings, names, 1, Descriptors::new(10), RequestMetrics::new(&[]), clock);
            let ips =
                |list: &[&str]| list.iter().map(|ip| ip.parse().expect("an address")).collect::<Vec<_>>();
            let answers: Answers = Arc::new(Mutex::new(Ok(ips(&["127.0.0.1", "127.0.0.2", "::1"]))));
            let listen = "127.0.0.1:1".parse().expect("an address");
            let me = Me { name: "p".into(), seed: 1, listen, clock };
            let (told, asked) = (answers.clone(), Arc::new(AtomicUsize::new(0)));
            let counted = asked.clone();
            follow_with(source, pools.clone(), me, || Rc::new(Told(told, counted))).expect("started");
            let addresses = || {
                let mut found: Vec<String> =
                    pools.figures().1.into_iter().map(|n| n.id.to_string()).collect();
                found.sort();
                found
            };
            let until = async |expected: &[&str]| {
                for _ in 0..10_000 {
                    if addresses() == expected && pools.can_serve() != expected.is_empty() {
                        return;
                    }
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                }
                panic!("{:?}; expected {expected:?}", addresses());
            };
            until(&["127.0.0.1:80", "127.0.0.2:80"]).await;
            *answers.lock().expect("locked") = Ok(ips(&["127.0.0.3"]));
            until(&["127.0.0.3:80"]).await;
            *answers.lock().expect("locked") = Err("no such name".into());
            let before = asked.load(Ordering::SeqCst);
            while asked.load(Ordering::SeqCst) < before + 3 {
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            }
            until(&["127.0.0.3:80"]).await;
            *answers.lock().expect("locked") = Ok(Vec::new());
            until(&[]).await;
        };
        tokio::task::LocalSet::new().run_until(work).await;
    }
}
