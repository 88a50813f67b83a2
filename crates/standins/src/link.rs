//! A link between two TCP ends that can be cut, also in the middle of a message.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

struct Shared {
    target: Mutex<Option<SocketAddr>>,
    /// Bytes that may still pass from the target; `None`: any number.
    budget: Mutex<Option<usize>>,
    cuts: watch::Sender<u64>,
    /// Bytes that passed from the target.
    passed: Mutex<u64>,
}

/// A link. It ends when dropped.
pub struct Link {
    /// Where to connect.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Link {
    /// Leads to `target`.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port on loopback");
        let addr = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            target: Mutex::new(Some(target)),
            budget: Mutex::new(None),
            cuts: watch::Sender::new(0),
            passed: Mutex::new(0),
        });
        let own = shared.clone();
        let task = tokio::spawn(async move {
            let mut pairs = JoinSet::new();
            while let Ok((near, _)) = listener.accept().await {
                pairs.spawn(relay(near, own.clone()));
                while pairs.try_join_next().is_some() {}
            }
        });
        Link { addr, shared, task }
    }

    /// Cuts all connections; new ones are closed at once until [`Link::mend`].
    pub fn cut(&self) {
        *lock(&self.shared.target) = None;
        self.shared.cuts.send_modify(|n| *n += 1);
    }

    /// Cuts all connections once so many more bytes have come from the target.
    pub fn cut_after(&self, bytes: usize) {
        *lock(&self.shared.budget) = Some(bytes);
    }

    /// Leads to `target` from now on, and cuts what led elsewhere.
    pub fn mend(&self, target: SocketAddr) {
        self.shared.cuts.send_modify(|n| *n += 1);
        *lock(&self.shared.budget) = None;
        *lock(&self.shared.target) = Some(target);
    }

    /// Bytes that have come from the target.
    pub fn passed(&self) -> u64 {
        *lock(&self.shared.passed)
    }

    /// Whether [`Link::cut_after`] has cut.
    pub fn spent(&self) -> bool {
        *lock(&self.shared.budget) == Some(0)
    }
}

fn lock<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn relay(mut near: TcpStream, shared: Arc<Shared>) {
    let mut cuts = shared.cuts.subscribe();
    let target = *lock(&shared.target);
    let Some(target) = target.filter(|_| !matches!(*lock(&shared.budget), Some(0))) else { return };
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut from_near, mut from_far) = ([0; 16 << 10], [0; 16 << 10]);
    loop {
        tokio::select! {
            _ = cuts.changed() => return,
            read = near.read(&mut from_near) => match read {
                Ok(n) if n > 0 && far.write_all(&from_near[..n]).await.is_ok() => {}
                _ => return,
            },
            read = far.read(&mut from_far) => {
                let Some(n) = read.ok().filter(|n| *n > 0) else { return };
                let allowed = match &mut *lock(&shared.budget) {
                    None => n,
                    Some(left) => {
                        let now = n.min(*left);
                        *left -= now;
                        now
                    }
                };
                *lock(&shared.passed) += allowed as u64;
                if near.write_all(&from_far[..allowed]).await.is_err() {
                    return;
                }
                if allowed < n {
                    shared.cuts.send_modify(|n| *n += 1);
                    return;
                }
            },
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}
