//! A node that sends answers nobody asked for: copies of an answer, or others, on the same connection after a delay.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How much later than drawn a surplus answer may be sent. On a busy machine a node may wake later: it then sends nothing, since the delay
/// would be another than the one that is played.
const LATENESS: Duration = Duration::from_millis(2);

/// What a node sends after an answer, without a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The answer once more.
    Copy,
    /// A miss.
    Miss,
    /// A refusal that says that the request did not run.
    Unprocessed,
    /// An error.
    Error,
    /// An answer in chunks, whose body is longer than what the proxy reads at a time.
    LongChunked,
    /// The answer once more, byte by byte.
    Pieces,
    /// The beginning of an answer, which never ends.
    Beginning,
    /// An interim answer, and the answer once more.
    Interim,
    /// The answer once more, and the end of the connection.
    Closing,
}

impl Form {
    pub const ALL: [Form; 9] = [
        Form::Copy,
        Form::Miss,
        Form::Unprocessed,
        Form::Error,
        Form::LongChunked,
        Form::Pieces,
        Form::Beginning,
        Form::Interim,
        Form::Closing,
    ];
}

/// How often, when and in which form a node sends what nobody asked for.
#[derive(Clone, Debug)]
pub struct Surplus {
    pub form: Form,
    pub delay: Range<Duration>,
    /// The share of exchanges that are followed by one.
    pub share: f64,
}

/// What a node did.
#[derive(Default)]
pub struct Book {
    /// How often each request ran.
    pub ran: HashMap<String, u32>,
    /// Answers that nobody asked for and that were written.
    pub surplus: u32,
    pub connections: u32,
}

/// A node on loopback. It ends when dropped.
pub struct Node {
    pub addr: SocketAddr,
    pub book: Arc<Mutex<Book>>,
    task: JoinHandle<()>,
}

struct Shared {
    name: String,
    /// How long a request takes.
    work: Range<Duration>,
    /// Whether every other read is a miss.
    misses: bool,
    surplus: Option<Surplus>,
    book: Arc<Mutex<Book>>,
    random: Mutex<Pcg64Mcg>,
}

impl Shared {
    fn between(&self, range: &Range<Duration>) -> Duration {
        if range.is_empty() {
            return range.start;
        }
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random_range(range.clone())
    }

    fn chance(&self, share: f64) -> bool {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random::<f64>() < share
    }
}

/// A request as a node reads it.
struct Request {
    id: String,
    is_read: bool,
}

impl Node {
    /// Starts a node that is an origin, or that misses every other read.
    pub async fn start(name: &str, is_origin: bool, surplus: Option<Surplus>, seed: u64) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let addr = listener.local_addr().expect("an address");
        let book = Arc::new(Mutex::new(Book::default()));
        let ms = Duration::from_millis;
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            work: if is_origin { ms(10)..ms(20) } else { ms(4)..ms(12) },
            misses: !is_origin,
            surplus,
            book: book.clone(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        });
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                lock(&shared.book).connections += 1;
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Node { addr, book, task }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub fn lock(book: &Mutex<Book>) -> std::sync::MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers the requests of a connection one by one.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let (mut read, write) = (BufReader::new(read), Arc::new(tokio::sync::Mutex::new(write)));
    while let Some(request) = read_request(&mut read).await {
        tokio::time::sleep(shared.between(&shared.work)).await;
        let misses = shared.misses && (!request.is_read || shared.chance(0.5));
        let answer = if misses {
            answer("404 Not Found", "X-Lookup: miss\r\n", "")
        } else {
            *lock(&shared.book).ran.entry(request.id.clone()).or_default() += 1;
            answer("200 OK", "X-Lookup: hit\r\n", &format!("{}@{}", request.id, shared.name))
        };
        if write.lock().await.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if let Some(surplus) = shared.surplus.clone().filter(|s| shared.chance(s.share)) {
            let delay = shared.between(&surplus.delay);
            tokio::spawn(send_surplus(write.clone(), shared.clone(), surplus, delay, answer));
        }
    }
}

async fn send_surplus(
    write: Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
    shared: Arc<Shared>,
    surplus: Surplus,
    delay: Duration,
    last: String,
) {
    let (answered, form) = (Instant::now(), surplus.form);
    tokio::time::sleep(delay).await;
    let long = "nobody asked for this; ".repeat(8 << 10);
    let text = match form {
        Form::Copy | Form::Pieces | Form::Closing => last,
        Form::Miss => answer("404 Not Found", "X-Lookup: miss\r\n", ""),
        Form::Unprocessed => answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", ""),
        Form::Error => answer("500 Internal Server Error", "", ""),
        Form::LongChunked => format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{long}\r\n0\r\n\r\n",
            long.len()
        ),
        Form::Beginning => "HTTP/1.1 200 OK\r\nX-Lookup: h".to_owned(),
        Form::Interim => format!("HTTP/1.1 100 Continue\r\n\r\n{last}"),
    };
    let mut write = write.lock().await;
    if answered.elapsed() > surplus.delay.end + LATENESS {
        return;
    }
    let written = if form == Form::Pieces {
        let mut written = Ok(());
        for byte in text.as_bytes() {
            written = written.and(write.write_all(&[*byte]).await);
        }
        written
    } else {
        write.write_all(text.as_bytes()).await
    };
    if written.is_ok() {
        lock(&shared.book).surplus += 1;
    }
    if form == Form::Closing {
        let _ = write.shutdown().await;
    }
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Reads a request to its last byte; `None`: the connection has ended.
async fn read_request(read: &mut BufReader<OwnedReadHalf>) -> Option<Request> {
    let mut request = Request { id: String::new(), is_read: false };
    let mut length = 0;
    for number in 0.. {
        let mut line = String::new();
        if read.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if number == 0 {
            request.is_read = line.starts_with("GET");
            continue;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        match name.to_lowercase().as_str() {
            "x-correlation-id" => request.id = value.trim().to_owned(),
            "content-length" => length = value.trim().parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    read.read_exact(&mut body).await.ok()?;
    Some(request)
}
