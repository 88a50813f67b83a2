//! Clusters, endpoints and routes in Envoy's format. A separate thread follows the declared resources and passes changes to the
//! proxy's thread. Danger: parsing ten thousand endpoints takes longer than the deadline of some requests; done on the proxy's
//! thread it would make them late.

mod admin;
mod driver;
mod files;
mod lookup;
mod source;

pub use lookup::{Resolver, SystemResolver};
pub use source::{read_bootstrap, EnvoySource};

use crate::proxy::clock::Clock;
use crate::proxy::upstream::load_assignment::{ClusterSet, ClusterStats, NodeStats};
use rushquay_envoy::catalogue::{Batch, Change};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, oneshot, Notify};

/// The maximum number of descriptors: those of the thread, the stream and a previous one that is closing, files and look-ups, and
/// the admin pages with their connections.
pub const DESCRIPTORS: usize = 10 + admin::CONNECTIONS;

/// Changes that the catalogue's thread queues for the proxy's thread.
#[derive(Default)]
struct ChangeQueue {
    batch: Mutex<Batch>,
    pending: Notify,
}

impl ChangeQueue {
    fn push(&self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let mut batch = self.batch.lock().unwrap_or_else(PoisonError::into_inner);
        changes.into_iter().for_each(|c| batch.add(c));
        drop(batch);
        self.pending.notify_one();
    }

    fn take(&self) -> Batch {
        std::mem::take(&mut *self.batch.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Statistics of all clusters and nodes.
type Stats = (Vec<ClusterStats>, Vec<NodeStats>);
/// Sends requests for statistics to the proxy's thread.
type StatsRequests = mpsc::Sender<oneshot::Sender<Stats>>;

/// The proxy that follows the resources.
pub struct ProxyIdentity {
    /// The proxy's name, used if the bootstrap file gives no `node.id`.
    pub name: String,
    /// The seed for the jitter of the backoff between connection attempts.
    pub seed: u64,
    /// The address that the proxy listens on; it selects the listener to serve if several are declared.
    pub listen: SocketAddr,
    /// The clock that the clusters use for timestamps of attempts.
    pub clock: Clock,
}

/// Follows the declared resources on a thread of its own. Returns the future that applies them, which runs for as long as the process
/// does; the thread ends when it is dropped.
///
/// # Errors
/// The admin address cannot be bound, or the secrets cannot be read.
pub fn follow(
    source: EnvoySource,
    pools: Rc<ClusterSet>,
    me: ProxyIdentity,
) -> Result<impl Future<Output = ()>, String> {
    follow_with(source, pools, me, || Rc::new(SystemResolver))
}

/// As [`follow`], with a given resolver.
///
/// # Errors
/// As for [`follow`].
pub fn follow_with(
    source: EnvoySource,
    pools: Rc<ClusterSet>,
    me: ProxyIdentity,
    resolver: impl FnOnce() -> Rc<dyn Resolver> + Send + 'static,
) -> Result<impl Future<Output = ()>, String> {
    let changes_queue = Arc::new(ChangeQueue::default());
    let clock = me.clock;
    let (stats_requests, mut requests) = mpsc::channel::<oneshot::Sender<Stats>>(4);
    let (alive_guard, ended) = oneshot::channel::<()>();
    let (thread_guard, thread_ended) = oneshot::channel::<()>();
    let (ready, started) = std::sync::mpsc::channel::<Result<Option<SocketAddr>, String>>();
    let driver_queue = changes_queue.clone();
    let run = move || {
        let _thread_guard = thread_guard;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(e) => return drop(ready.send(Err(format!("cannot create the runtime: {e}")))),
        };
        let work = async move {
            let driver = driver::Driver::new(source, me, driver_queue, resolver());
            match driver.start(stats_requests).await {
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
    std::thread::Builder::new()
        .name("clusters".into())
        .spawn(run)
        .map_err(|e| format!("cannot start a thread: {e}"))?;
    let admin = started.recv().map_err(|_| "the thread for clusters has ended".to_string())??;
    if let Some(admin) = admin {
        crate::proxy::log(format_args!("admin page at {admin}"));
    }
    Ok(async move {
        // Dropped with this future, which ends the other thread too.
        let _alive = alive_guard;
        let mut thread_ended = thread_ended;
        loop {
            tokio::select! {
                () = changes_queue.pending.notified() => pools.apply(changes_queue.take(), clock.now()),
                Some(answer) = requests.recv() => drop(answer.send(pools.stats())),
                // Danger: the clusters would stay as they are, whatever is declared from now on.
                _ = &mut thread_ended => panic!("the thread that follows the clusters has ended"),
            }
        }
    })
}

#[cfg(test)]
mod tests;
