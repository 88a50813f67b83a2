//! A cache node, or the origin: it keeps everything, or lacks what it is told to, and drops repeats of a token.

use crate::{http_at, reply};
use http_body_util::BodyExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// For so long a token is remembered, and a repeat of it dropped.
const REMEMBERS: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Book {
    sent: Vec<(Instant, String)>,
    ran: Vec<(Instant, String)>,
    /// When the first request with a token ran.
    tokens: HashMap<String, Instant>,
}

/// A stand-in node. It ends when dropped.
pub struct Node {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its id.
    pub id: String,
    book: Arc<Mutex<Book>>,
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
        let (addr, task) = http_at(addr, move |request| {
            let (book, name) = (booked.clone(), name.clone());
            async move {
                let header =
                    |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
                let Some(correlation) = header("x-correlation-id") else {
                    return Some(reply(404, &[], ""));
                };
                let (token, missed) = (header("idempotency-key"), lacks(request.uri().path()));
                // It begins when the last byte has come; what breaks off before never runs.
                request.into_body().collect().await.ok()?;
                let now = Instant::now();
                lock(&book).sent.push((now, correlation.clone()));
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
                if !work.is_zero() {
                    tokio::time::sleep(work).await;
                }
                Some(reply(200, &[("x-lookup", "hit")], name))
            }
        })
        .await;
        Node { addr, id: id.to_owned(), book, task }
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
