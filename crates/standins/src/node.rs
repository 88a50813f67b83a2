//! A cache node, or the origin, that keeps everything: each read is a hit.

use crate::{http, reply};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

#[derive(Default)]
struct Book {
    sent: Vec<(Instant, String)>,
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
        let book = Arc::new(Mutex::new(Book::default()));
        let (booked, name) = (book.clone(), id.to_owned());
        let (addr, task) = http(move |request| {
            let (book, name) = (booked.clone(), name.clone());
            async move {
                let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
                let Some(correlation) = header("x-correlation-id").map(str::to_owned) else {
                    return Some(reply(404, &[], ""));
                };
                let entry = (Instant::now(), correlation);
                book.lock().unwrap_or_else(PoisonError::into_inner).sent.push(entry);
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
        self.book.lock().unwrap_or_else(PoisonError::into_inner).sent.len()
    }

    /// The requests that came, by their correlation ids, with the moment of each.
    pub fn sent(&self) -> Vec<(Instant, String)> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).sent.clone()
    }

    /// When the last request came whose id begins so.
    pub fn last(&self, prefix: &str) -> Option<Instant> {
        let book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        book.sent.iter().rev().find(|(_, id)| id.starts_with(prefix)).map(|(at, _)| *at)
    }

    /// Forgets what has come.
    pub fn clear(&self) {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).sent.clear();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}
