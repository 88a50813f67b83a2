//! Clients of one proxy, and what came of their requests.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rushquay_history::{Answer, Effect, Entry, History, MILLI};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// For so long a client waits for an answer; the proxy is told so.
const PATIENCE: Duration = Duration::from_secs(10);

/// How requests of a class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// At the door: no connection, or one that was closed with nothing answered.
    pub lost: u64,
}

impl Count {
    /// All that were answered.
    pub fn answered(&self) -> u64 {
        self.served + self.refused + self.failed
    }
}

/// A request as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Which it was.
    pub id: String,
    /// Its class.
    pub class: String,
    /// From when it was asked, since the history's beginning...
    pub from: Duration,
    /// ...to when it was over.
    pub to: Duration,
    /// Its status; 0: there was no answer.
    pub status: u16,
    /// The data centre of the node that served it; `None`: none did, or the origin.
    pub zone: Option<&'static str>,
}

struct Asked {
    id: String,
    class: &'static str,
    from: Instant,
    to: Instant,
    status: u16,
    by: Option<String>,
}

#[derive(Default)]
struct Seen {
    entries: Vec<(Instant, Entry)>,
    ended: Vec<Asked>,
    counts: BTreeMap<String, Count>,
}

/// Clients of one proxy.
pub struct Clients {
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    front: watch::Sender<SocketAddr>,
    tasks: Vec<JoinHandle<()>>,
}

/// The classes that are asked for: how often, by name, and whether it writes.
const CLASSES: [(&str, u32, bool); 3] = [("read", 55, false), ("plan", 30, false), ("set", 15, true)];

impl Clients {
    /// So many, each of which asks every `pause` after its last answer.
    pub fn start(front: SocketAddr, prefix: &str, seed: u64, clients: usize, pause: Duration) -> Self {
        let (seen, stop) = (Arc::<Mutex<Seen>>::default(), Arc::<AtomicBool>::default());
        let front = watch::Sender::new(front);
        let client = |n: usize| {
            let one = Client {
                front: front.subscribe(),
                prefix: format!("{prefix}-{n}"),
                random: Pcg64Mcg::seed_from_u64(seed ^ (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                pause,
                seen: seen.clone(),
                stop: stop.clone(),
            };
            tokio::spawn(one.run())
        };
        let tasks = (0..clients).map(client).collect();
        Clients { seen, stop, front, tasks }
    }

    /// New connections go there from now on.
    pub fn lead(&self, front: SocketAddr) {
        self.front.send_replace(front);
    }

    /// How requests ended so far, by class.
    pub fn counts(&self) -> BTreeMap<String, Count> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).counts.clone()
    }

    /// Every request that is over.
    pub(crate) fn ended(&self, begin: Instant, zone_of: impl Fn(&str) -> Option<&'static str>) -> Vec<Ended> {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let one = |a: &Asked| Ended {
            id: a.id.clone(),
            class: a.class.to_owned(),
            from: a.from.saturating_duration_since(begin),
            to: a.to.saturating_duration_since(begin),
            status: a.status,
            zone: a.by.as_deref().filter(|by| *by != "origin").and_then(&zone_of),
        };
        seen.ended.iter().map(one).collect()
    }

    /// Lets each have its last answer.
    pub async fn stop(&mut self) {
        self.stop.store(true, Relaxed);
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
    }

    /// Enters what they saw.
    pub fn enter(&self, books: &mut History, begin: Instant) {
        for (at, entry) in &self.seen.lock().unwrap_or_else(PoisonError::into_inner).entries {
            books.record((*at - begin).as_nanos() as u64, entry.clone());
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

struct Client {
    front: watch::Receiver<SocketAddr>,
    prefix: String,
    random: Pcg64Mcg,
    pause: Duration,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
}

enum Came {
    Answer(u16, String),
    /// The connection was closed before it: what was written on it may have been read.
    Broken,
    /// None could be had.
    Door,
}

impl Client {
    async fn run(mut self) {
        let mut kept: Option<SendRequest<Full<Bytes>>> = None;
        let mut number = 0u64;
        while !self.stop.load(Relaxed) {
            number += 1;
            let drawn = self.random.random_range(0..100u32);
            let mut upto = 0;
            let found = CLASSES.iter().find(|(_, share, _)| {
                upto += share;
                drawn < upto
            });
            let (class, _, write) = found.copied().unwrap_or(CLASSES[0]);
            let key = self.random.random_range(0..4000u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let id = format!("{}-{number}", self.prefix);
            let from = Instant::now();
            let came = self.ask(&mut kept, class, write, key, &id).await;
            if !matches!(came, Came::Answer(..)) {
                kept = None;
            }
            {
                let now = Instant::now();
                let seen = &mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner);
                let count = seen.counts.entry(class.to_owned()).or_default();
                let (status, by) = match &came {
                    Came::Answer(status, by) => (*status, (*status == 200).then(|| by.clone())),
                    _ => (0, None),
                };
                seen.ended.push(Asked { id: id.clone(), class, from, to: now, status, by });
                let answer = match &came {
                    Came::Answer(200, _) => Some(Answer::Served),
                    Came::Answer(429 | 503, _) => Some(Answer::Refused),
                    Came::Answer(..) => Some(Answer::Failed),
                    _ => None,
                };
                match answer {
                    Some(Answer::Served) => count.served += 1,
                    Some(Answer::Refused) => count.refused += 1,
                    Some(Answer::Failed) => count.failed += 1,
                    None => count.lost += 1,
                }
                if let (Some(answer), Came::Answer(_, by)) = (answer, came) {
                    let by = (answer == Answer::Served).then_some(by);
                    seen.entries.push((now, Entry::Final { id, answer, by }));
                } else {
                    // Where the proxy was killed, or the connection cut by a fault, nothing is owed.
                    seen.entries.push((now, Entry::Excused { id }));
                }
            }
            tokio::time::sleep(self.pause).await;
        }
    }

    async fn ask(
        &mut self,
        kept: &mut Option<SendRequest<Full<Bytes>>>,
        class: &str,
        write: bool,
        key: u64,
        id: &str,
    ) -> Came {
        let asked = async {
            let mut still = kept.take().filter(|s| !s.is_closed());
            if let Some(sender) = &mut still {
                if sender.ready().await.is_err() {
                    still = None;
                }
            }
            let mut sender = match still {
                Some(sender) => sender,
                None => {
                    let front = *self.front.borrow();
                    let Ok(stream) = TcpStream::connect(front).await else { return Came::Door };
                    let _ = stream.set_nodelay(true);
                    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
                        return Came::Door;
                    };
                    tokio::spawn(connection);
                    sender
                }
            };
            let method = if write { "PUT" } else { "GET" };
            let request = Request::builder()
                .method(method)
                .uri(format!("/{class}/{key:016x}"))
                .header("host", "proxy.local")
                .header("x-correlation-id", id)
                .header("x-account", "demo")
                .header("x-time-left", PATIENCE.as_secs_f64().to_string())
                .header("idempotency-key", id)
                .body(Full::new(if write { Bytes::from_static(b"21.5") } else { Bytes::new() }))
                .expect("a request");
            let effect = if write { Effect::Keyed } else { Effect::Safe };
            let entry =
                Entry::Asked { id: id.to_owned(), effect, within: PATIENCE.as_millis() as u64 * MILLI };
            self.seen.lock().unwrap_or_else(PoisonError::into_inner).entries.push((Instant::now(), entry));
            let Ok(response) = sender.send_request(request).await else { return Came::Broken };
            let status = response.status().as_u16();
            let Ok(body) = response.into_body().collect().await else { return Came::Broken };
            *kept = Some(sender);
            Came::Answer(status, String::from_utf8_lossy(&body.to_bytes()).into_owned())
        };
        tokio::time::timeout(PATIENCE + Duration::from_secs(2), asked).await.unwrap_or(Came::Broken)
    }
}
