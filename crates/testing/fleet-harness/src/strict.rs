//! Clients that hold a proxy to its word: each request that was written whole has to be answered once and in time, whatever was
//! done to proxy, nodes or other clients, unless the proxy's process was killed meanwhile.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Requests that are written at once on one connection.
const BATCH: usize = 5;
/// An answer that comes so long after its time is none.
const LATE_AFTER: Duration = Duration::from_millis(500);
/// What tests and processes may be held up by a busy machine.
const HELD_UP: Duration = Duration::from_millis(1500);
/// A proxy has read what was written to it so long ago.
const READ_WITHIN: Duration = Duration::from_millis(100);
/// A client that can't connect tries again after this.
const AGAIN: Duration = Duration::from_millis(50);

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// A new connection for each request.
    Single,
    /// One request after another on a connection.
    Kept,
    /// Several requests at once on a new connection.
    Pipelined,
    /// Goes soon after it has asked, without its answer.
    Leaving,
    /// Writes a request in pieces.
    Slow,
    /// Writes half a request and stays.
    Half,
}

/// All habits.
pub const HABITS: [Habit; 6] =
    [Habit::Single, Habit::Kept, Habit::Pipelined, Habit::Leaving, Habit::Slow, Habit::Half];

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// When its last byte was written.
    pub at: Instant,
    /// For how long its client waits.
    pub within: Duration,
    /// When its client closed the connection.
    pub gone: Option<Instant>,
    /// It writes.
    pub writes: bool,
}

/// A promise that was not kept, as a client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No answer, and the connection ended.
    Unanswered {
        /// The request.
        id: String,
        /// On what connection, and how it ended.
        how: String,
    },
    /// An answer came too late.
    Late {
        /// The request.
        id: String,
        /// By how much.
        by: Duration,
    },
    /// The answer was for another request, or none at all.
    Wrong {
        /// The request.
        id: String,
        /// What came.
        what: String,
    },
}

#[derive(Default)]
struct Seen {
    asked: BTreeMap<String, Asked>,
    /// Requests that wait for their answers, with when the wait began.
    waiting: BTreeMap<String, Instant>,
    broken: Vec<(Instant, Broken)>,
    answered: u64,
    served: u64,
}

/// The door of a proxy as its clients know it.
#[derive(Default)]
struct Door {
    /// New connections are made.
    open: bool,
    /// Process kills: what was open then, or asked for up to the next opening, is excused.
    killed: Vec<(Instant, Option<Instant>)>,
}

/// Clients of one proxy.
pub struct StrictClients {
    seen: Arc<Mutex<Seen>>,
    door: Arc<Mutex<Door>>,
    tasks: Vec<JoinHandle<()>>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StrictClients {
    /// One of each habit, each of which pauses so long between its requests. Ids begin with the prefix.
    pub fn start(proxy: SocketAddr, prefix: &str, seed: u64, within: Duration, pause: Duration) -> Self {
        let seen = Arc::<Mutex<Seen>>::default();
        let door = Arc::new(Mutex::new(Door { open: true, killed: Vec::new() }));
        let start = |(number, habit): (usize, &Habit)| {
            let client = Client {
                proxy,
                prefix: format!("{prefix}-{habit:?}"),
                habit: *habit,
                random: Pcg64Mcg::seed_from_u64(
                    seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                ),
                within,
                pause,
                number: 0,
                seen: seen.clone(),
                door: door.clone(),
            };
            tokio::spawn(client.run())
        };
        let tasks = HABITS.iter().enumerate().map(start).collect();
        StrictClients { seen, door, tasks }
    }

    /// Whether new connections are made from now on.
    pub fn open(&self, open: bool) {
        let mut door = lock(&self.door);
        door.open = open;
        if let Some((_, until @ None)) = door.killed.last_mut().filter(|_| open) {
            *until = Some(Instant::now());
        }
    }

    /// The process is killed now.
    pub fn killed(&self) {
        let mut door = lock(&self.door);
        door.open = false;
        door.killed.push((Instant::now(), None));
    }

    /// The process is killed at the end of the time that it had been given: it had to have answered all that it had read, and nothing is
    /// excused.
    pub fn killed_in_order(&self) {
        let mut seen = lock(&self.seen);
        let now = Instant::now();
        let overdue = seen.waiting.iter().filter(|(_, since)| **since + READ_WITHIN <= now);
        let broken: Vec<(Instant, Broken)> = overdue
            .map(|(id, since)| {
                let how = format!("killed in order, {:?} after it was written", now - *since);
                (now, Broken::Unanswered { id: id.clone(), how })
            })
            .collect();
        seen.broken.extend(broken);
    }

    /// What was asked for, by id.
    pub fn asked(&self) -> BTreeMap<String, Asked> {
        lock(&self.seen).asked.clone()
    }

    /// How many requests were answered, and how many of them served.
    pub fn answered(&self) -> (u64, u64) {
        let seen = lock(&self.seen);
        (seen.answered, seen.served)
    }

    /// What was broken and is not excused by a kill, with when.
    pub fn broken(&self) -> Vec<(Instant, Broken)> {
        let (seen, door) = (lock(&self.seen), lock(&self.door));
        let excused = |id: &str, at: Instant| {
            let from = seen.asked.get(id).map_or(at, |a| a.at.min(at));
            door.killed.iter().any(|(killed, until)| {
                from <= until.unwrap_or(at).max(*killed) + HELD_UP && at + HELD_UP >= *killed
            })
        };
        let of = |(at, broken): &(Instant, Broken)| {
            let (Broken::Unanswered { id, .. } | Broken::Late { id, .. } | Broken::Wrong { id, .. }) = broken;
            (!excused(id, *at)).then(|| (*at, broken.clone()))
        };
        seen.broken.iter().filter_map(of).collect()
    }

    /// Lets nobody ask any more.
    pub fn stop(&mut self) {
        self.tasks.drain(..).for_each(|t| t.abort());
    }
}

impl Drop for StrictClients {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Client {
    proxy: SocketAddr,
    prefix: String,
    habit: Habit,
    random: Pcg64Mcg,
    within: Duration,
    pause: Duration,
    number: u64,
    seen: Arc<Mutex<Seen>>,
    door: Arc<Mutex<Door>>,
}

/// An answer as it came.
struct Answer {
    status: u16,
    last: bool,
}

/// A connection, and what has come on it and was not read.
struct Connection {
    stream: TcpStream,
    came: Vec<u8>,
    used: bool,
}

impl Connection {
    /// The next final answer.
    async fn answer(&mut self) -> Result<Answer, String> {
        loop {
            let head = loop {
                if let Some(end) = self.came.windows(4).position(|w| w == b"\r\n\r\n") {
                    break end + 4;
                }
                self.more().await?;
            };
            let text = String::from_utf8_lossy(&self.came[..head]).to_lowercase();
            let status: u16 = match text.split(' ').nth(1).map(str::parse) {
                Some(Ok(status)) if text.starts_with("http/1.1 ") => status,
                _ => return Err(format!("no answer: {text:?}")),
            };
            let length = text.lines().find_map(|l| l.strip_prefix("content-length: ")?.trim().parse().ok());
            let whole = head + length.unwrap_or(0usize);
            while self.came.len() < whole {
                self.more().await?;
            }
            self.came.drain(..whole);
            if status >= 200 {
                return Ok(Answer { status, last: text.contains("connection: close") });
            }
        }
    }

    async fn more(&mut self) -> Result<(), String> {
        match self.stream.read_buf(&mut self.came).await {
            Ok(0) => Err(format!("the end, behind {} bytes", self.came.len())),
            Ok(_) => Ok(()),
            Err(e) => Err(e.to_string()),
        }
    }
}

impl Client {
    async fn run(mut self) {
        let mut kept = None;
        loop {
            kept = match self.habit {
                Habit::Single => self.one(None).await.and(None),
                Habit::Kept => self.one(kept.take()).await,
                Habit::Pipelined => {
                    self.batch().await;
                    None
                }
                Habit::Leaving => {
                    self.leave().await;
                    None
                }
                Habit::Slow => {
                    self.slow().await;
                    None
                }
                Habit::Half => {
                    self.half().await;
                    None
                }
            };
            tokio::time::sleep(self.pause).await;
        }
    }

    fn id(&mut self) -> String {
        self.number += 1;
        format!("{}-{}", self.prefix, self.number)
    }

    /// A request, and what is noted of it once it has been written.
    fn request(&mut self, id: &str) -> Vec<u8> {
        let key = self.random.random_range(0..400u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let writes = self.random.random_range(0..8u32) == 0;
        let asked = Asked { at: Instant::now(), within: self.within, gone: None, writes };
        lock(&self.seen).asked.insert(id.to_owned(), asked);
        let (method, class, body) = if writes { ("PUT", "set", "21.5") } else { ("GET", "read", "") };
        format!(
            "{method} /{class}/{key:016x} HTTP/1.1\r\nHost: proxy.local\r\nX-Correlation-Id: {id}\r\nX-Account: demo\r\n\
             X-Time-Left: {:.3}\r\nIdempotency-Key: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.within.as_secs_f64(),
            body.len()
        )
        .into_bytes()
    }

    /// A new connection, as soon as the door is open.
    async fn connect(&self) -> Connection {
        loop {
            let open = lock(&self.door).open;
            if open {
                if let Ok(stream) = TcpStream::connect(self.proxy).await {
                    let _ = stream.set_nodelay(true);
                    return Connection { stream, came: Vec::new(), used: false };
                }
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// A request has been written whole.
    fn asked(&self, id: &str) {
        if let Some(asked) = lock(&self.seen).asked.get_mut(id) {
            asked.at = Instant::now();
        }
    }

    fn broke(&self, broken: Broken) {
        lock(&self.seen).broken.push((Instant::now(), broken));
    }

    /// Waits for the answer to a request; false: the connection is of no more use.
    async fn answered(&self, connection: &mut Connection, id: &str) -> Result<bool, String> {
        let most = self.within + LATE_AFTER + 4 * HELD_UP;
        lock(&self.seen).waiting.insert(id.to_owned(), Instant::now());
        let came = tokio::time::timeout(most, connection.answer()).await;
        lock(&self.seen).waiting.remove(id);
        let answer = match came {
            Err(_) => return Err("silence".into()),
            Ok(answer) => answer?,
        };
        connection.used = true;
        let mut seen = lock(&self.seen);
        let took = seen.asked.get(id).map_or(Duration::ZERO, |a| a.at.elapsed());
        seen.answered += 1;
        seen.served += u64::from(answer.status == 200);
        if took > self.within + LATE_AFTER + HELD_UP {
            let by = took - self.within;
            seen.broken.push((Instant::now(), Broken::Late { id: id.to_owned(), by }));
        }
        if answer.status == 400 || answer.status == 404 {
            let what = format!("status {}", answer.status);
            seen.broken.push((Instant::now(), Broken::Wrong { id: id.to_owned(), what }));
        }
        Ok(!answer.last)
    }

    /// One request; where a connection that was used before ends without an answer it is asked once more on a new one.
    async fn one(&mut self, kept: Option<Connection>) -> Option<Connection> {
        let id = self.id();
        let request = self.request(&id);
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.connect().await,
        };
        loop {
            let used = connection.used;
            let written = connection.stream.write_all(&request).await;
            self.asked(&id);
            let came = match written {
                Ok(()) => self.answered(&mut connection, &id).await,
                Err(e) => Err(e.to_string()),
            };
            match came {
                Ok(stays) => return stays.then_some(connection),
                Err(_) if used => connection = self.connect().await,
                Err(how) => {
                    self.broke(Broken::Unanswered { id, how: format!("new connection: {how}") });
                    return None;
                }
            }
        }
    }

    /// Several requests at once: each of them is owed an answer.
    async fn batch(&mut self) {
        let ids: Vec<String> = (0..BATCH).map(|_| self.id()).collect();
        let all: Vec<u8> = ids.iter().flat_map(|id| self.request(id)).collect();
        let mut connection = self.connect().await;
        let written = connection.stream.write_all(&all).await;
        ids.iter().for_each(|id| self.asked(id));
        for (n, id) in ids.iter().enumerate() {
            let came = match &written {
                Ok(()) => self.answered(&mut connection, id).await,
                Err(e) => Err(e.to_string()),
            };
            if let Err(how) = came {
                let how = format!("{n} of {BATCH} answered: {how}");
                ids[n..].iter().for_each(|id| {
                    self.broke(Broken::Unanswered { id: id.clone(), how: how.clone() });
                });
                return;
            }
        }
    }

    /// Asks and goes.
    async fn leave(&mut self) {
        let id = self.id();
        let request = self.request(&id);
        let mut connection = self.connect().await;
        let written = connection.stream.write_all(&request).await;
        self.asked(&id);
        let stays = Duration::from_micros(self.random.random_range(0..30_000));
        tokio::time::sleep(stays).await;
        drop(connection);
        if written.is_ok() {
            if let Some(asked) = lock(&self.seen).asked.get_mut(&id) {
                asked.gone = Some(Instant::now());
            }
        }
    }

    /// Writes in pieces.
    async fn slow(&mut self) {
        let mut connection = self.connect().await;
        let id = self.id();
        let request = self.request(&id);
        for piece in request.chunks(request.len() / 6 + 1) {
            if connection.stream.write_all(piece).await.is_err() {
                // It was closed before the request was whole.
                return;
            }
            // Before any pause: what is whole may be at a node before this client goes on, or is stopped.
            self.asked(&id);
            tokio::time::sleep(Duration::from_millis(self.random.random_range(5..120))).await;
        }
        if let Err(how) = self.answered(&mut connection, &id).await {
            self.broke(Broken::Unanswered { id, how: format!("written slowly: {how}") });
        }
    }

    /// Writes half a request, and waits for the end of the connection.
    async fn half(&mut self) {
        let id = self.id();
        let request = self.request(&id);
        let mut connection = self.connect().await;
        let _ = connection.stream.write_all(&request[..request.len() / 3]).await;
        let most = Duration::from_secs(3) + HELD_UP;
        if tokio::time::timeout(most, connection.more()).await.is_err() {
            let what = "half a request is kept for over 3 s".to_owned();
            self.broke(Broken::Wrong { id, what });
        }
    }
}
