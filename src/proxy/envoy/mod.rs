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
use crate::proxy::upstream::load_assignment::{ClusterSet, ClusterStats, NodeStats};
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
type Figures = (Vec<ClusterStats>, Vec<NodeStats>);
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
pub fn follow(source: EnvoySource, pools: Rc<ClusterSet>, me: Me) -> Result<(), String> {
    follow_with(source, pools, me, || Rc::new(SystemResolver))
}

/// The same, with names looked up by somebody else.
///
/// # Errors
/// As for [`follow`].
pub fn follow_with(
    source: EnvoySource,
    pools: Rc<ClusterSet>,
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
                Some(answer) = asked.recv() => drop(answer.send(pools.stats())),
            }
        }
    });
    Ok(())
}

#[cfg(test)]
mod tests;
