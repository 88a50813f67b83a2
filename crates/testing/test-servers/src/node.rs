//! A cache node, or the origin: it keeps everything, or lacks what it is told to, and drops repeats of a token.

use crate::{http_at, reply};
use http_body_util::BodyExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// For so long a token is remembered, and a repeat of it dropped.
const REMEMBERS: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Book {
    sent: Vec<(Instant, String)>,
    /// The time left that each was told, in seconds.
    told_left: Vec<(Instant, String, f64)>,
    ran: Vec<(Instant, String)>,
    /// When the first request with a token ran.
    tokens: HashMap<String, Instant>,
}

/// How a node answers from now on, on top of what it was started with.
#[derive(Default)]
struct Manner {
    /// Microseconds for each answer more.
    slower: AtomicU64,
    /// Of a thousand requests so many end in 500.
    failing: AtomicU64,
    /// Of a thousand requests so many have their connection broken off once they were read.
    breaking: AtomicU64,
    read: AtomicU64,
    /// Requests are read and not answered for as long as this holds.
    hanging: watch::Sender<bool>,
    /// Only those whose path begins so; empty: all.
    under: Mutex<String>,
    asked: AtomicU64,
}

impl Manner {
    /// Whether the connection of a request is broken off.
    fn breaks(&self) -> bool {
        let (read, breaking) = (self.read.fetch_add(1, Relaxed), self.breaking.load(Relaxed));
        (read + 1) * breaking / 1000 > read * breaking / 1000
    }

    /// What a request meets: a wait beyond the usual, and whether it fails.
    fn meets(&self, path: &str) -> (Duration, bool) {
        if !path.starts_with(self.under.lock().unwrap_or_else(PoisonError::into_inner).as_str()) {
            return (Duration::ZERO, false);
        }
        let (asked, failing) = (self.asked.fetch_add(1, Relaxed), self.failing.load(Relaxed));
        // Spread evenly over the requests.
        let fails = (asked + 1) * failing / 1000 > asked * failing / 1000;
        (Duration::from_micros(self.slower.load(Relaxed)), fails)
    }
}

/// A stand-in node. It ends when dropped.
pub struct Node {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its id.
    pub id: String,
    book: Arc<Mutex<Book>>,
    manner: Arc<Manner>,
    task: JoinHandle<()>,
}

impl Node {
    /// Starts one that takes `work` for each answer.
    pub async fn start(id: &str, work: Duration) -> Self {
        Self::start_lacking(id, work, |_| false).await
    }

    /// Starts one at an address that must be free.
    pub async fn start_at(addr: SocketAddr, id: &str, work: Duration) -> Self {
        Self::start_as(addr, id, work, |_| false).await
    }

    /// Starts one that lacks what is at the paths for which `lacks` holds.
    pub async fn start_lacking(id: &str, work: Duration, lacks: fn(&str) -> bool) -> Self {
        Self::start_as(([127, 0, 0, 1], 0).into(), id, work, lacks).await
    }

    async fn start_as(addr: SocketAddr, id: &str, work: Duration, lacks: fn(&str) -> bool) -> Self {
        let book = Arc::new(Mutex::new(Book::default()));
        let (booked, name) = (book.clone(), id.to_owned());
        let manner = Arc::new(Manner::default());
        let mannered = manner.clone();
        let (addr, task) = http_at(addr, move |request| {
            let (book, name) = (booked.clone(), name.clone());
            let (slower, fails) = mannered.meets(request.uri().path());
            let (breaks, mut hanging) = (mannered.breaks(), mannered.hanging.subscribe());
            async move {
                let header =
                    |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
                let Some(correlation) = header("x-correlation-id") else {
                    return Some(reply(404, &[], ""));
                };
                let left = header("x-time-left").and_then(|t| t.parse().ok()).unwrap_or(0.0);
                let (token, missed) = (header("idempotency-key"), lacks(request.uri().path()));
                // It begins when the last byte has come; what breaks off before never runs.
                request.into_body().collect().await.ok()?;
                let now = Instant::now();
                lock(&book).sent.push((now, correlation.clone()));
                lock(&book).told_left.push((now, correlation.clone(), left));
                if breaks {
                    return None;
                }
                let _ = hanging.wait_for(|hangs| !hangs).await;
                if fails {
                    lock(&book).ran.push((now, correlation));
                    return Some(reply(500, &[], ""));
                }
                if missed {
                    return Some(reply(404, &[("x-lookup", "miss")], ""));
                }
                let repeat = token.is_some_and(|token| {
                    let first = *lock(&book).tokens.entry(token).or_insert(now);
                    first != now && now - first < REMEMBERS
                });
                if !repeat {
                    lock(&book).ran.push((now, correlation));
                }
                if !(work + slower).is_zero() {
                    tokio::time::sleep(work + slower).await;
                }
                Some(reply(200, &[("x-lookup", "hit")], name))
            }
        })
        .await;
        Node { addr, id: id.to_owned(), book, manner, task }
    }

    /// From now on it takes so much more for each answer.
    pub fn slower(&self, by: Duration) {
        self.manner.slower.store(by.as_micros() as u64, Relaxed);
    }

    /// From now on so many of a thousand requests end in 500, having run, spread evenly; of those alone whose path begins
    /// with `under`.
    pub fn failing(&self, of_thousand: u64, under: &str) {
        *self.manner.under.lock().unwrap_or_else(PoisonError::into_inner) = under.to_owned();
        self.manner.failing.store(of_thousand, Relaxed);
    }

    /// From now on so many of a thousand requests have their connection broken off once they were read, spread evenly.
    pub fn breaking(&self, of_thousand: u64) {
        self.manner.breaking.store(of_thousand, Relaxed);
    }

    /// From now on requests are read and not answered, or answered again, those that wait among them.
    pub fn hanging(&self, hangs: bool) {
        self.manner.hanging.send_replace(hangs);
    }

    /// The time left that each request was told, in seconds, with its id and the moment at which it came.
    pub fn told_left(&self) -> Vec<(Instant, String, f64)> {
        lock(&self.book).told_left.clone()
    }

    /// How many requests have come.
    pub fn count(&self) -> usize {
        lock(&self.book).sent.len()
    }

    /// The requests that came, by their correlation ids, with the moment of each.
    pub fn sent(&self) -> Vec<(Instant, String)> {
        lock(&self.book).sent.clone()
    }

    /// Those of them that had their effect: neither missed nor dropped as a repeat.
    pub fn ran(&self) -> Vec<(Instant, String)> {
        lock(&self.book).ran.clone()
    }

    /// When the last request came whose id begins so.
    pub fn last(&self, prefix: &str) -> Option<Instant> {
        lock(&self.book).sent.iter().rev().find(|(_, id)| id.starts_with(prefix)).map(|(at, _)| *at)
    }

    /// Forgets what has come.
    pub fn clear(&self) {
        lock(&self.book).sent.clear();
    }
}

fn lock(book: &Mutex<Book>) -> MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}
