//! Clients that know which answer is theirs: its body begins with the id of the request.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long a client waits for an answer.
const TIME_LEFT: Duration = Duration::from_secs(2);

/// What clients saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub served: u32,
    /// Refused or failed.
    pub not_served: u32,
    /// Connections that ended or were silent with an answer due.
    pub unanswered: Vec<String>,
    /// Requests that were served with what was not made for them.
    pub wrong: Vec<String>,
}

impl Seen {
    fn add(&mut self, other: Seen) {
        self.served += other.served;
        self.not_served += other.not_served;
        self.unanswered.extend(other.unanswered);
        self.wrong.extend(other.wrong);
    }
}

/// Sends requests of a class from so many clients for so long, each on a connection of its own with a pause after each answer.
pub async fn play(addr: SocketAddr, class: &'static str, clients: u64, time: Duration, seed: u64) -> Seen {
    let mut playing = JoinSet::new();
    for client in 0..clients {
        playing.spawn(play_one(addr, class, client, Instant::now() + time, seed ^ (client << 32)));
    }
    playing.join_all().await.into_iter().fold(Seen::default(), |mut all, one| {
        all.add(one);
        all
    })
}

async fn play_one(addr: SocketAddr, class: &str, client: u64, until: Instant, seed: u64) -> Seen {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut seen = Seen::default();
    let mut connection = connect(addr).await;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{class}-{client}-{number}");
        let text = request(class, &id, random.random::<u64>());
        let asked = connection.get_mut().write_all(text.as_bytes()).await;
        let answer = tokio::time::timeout(TIME_LEFT * 2, read_answer(&mut connection)).await.ok().flatten();
        match answer.filter(|_| asked.is_ok()) {
            Some((200, body)) if body.starts_with(format!("{id}@").as_bytes()) => seen.served += 1,
            Some((200, body)) => {
                let got = String::from_utf8_lossy(&body).chars().take(40).collect::<String>();
                seen.wrong.push(format!("{id} got {got:?}"));
            }
            Some(_) => seen.not_served += 1,
            None => {
                seen.unanswered.push(id);
                connection = connect(addr).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(10..50))).await;
    }
    seen
}

async fn connect(addr: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(addr).await.expect("connected");
    let _ = stream.set_nodelay(true);
    BufReader::new(stream)
}

fn request(class: &str, id: &str, key: u64) -> String {
    let head = format!(
        "Host: backend.local\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\nX-Time-Left: {:.3}\r\n",
        TIME_LEFT.as_secs_f64()
    );
    let key = key % 500;
    match class {
        "set" => format!(
            "PUT /set/{key:016x} HTTP/1.1\r\n{head}Idempotency-Key: {id}\r\nContent-Length: 5\r\n\r\nvalue"
        ),
        class => format!("GET /{class}/{key:016x} HTTP/1.1\r\n{head}\r\n"),
    }
}

/// Reads a final answer with its body; `None`: the connection has ended.
async fn read_answer(read: &mut BufReader<TcpStream>) -> Option<(u16, Vec<u8>)> {
    loop {
        let (status, length, chunked) = read_head(read).await?;
        if status < 200 {
            continue;
        }
        let mut body = vec![0; length];
        read.read_exact(&mut body).await.ok()?;
        if chunked {
            read_chunks(read, &mut body).await?;
        }
        return Some((status, body));
    }
}

async fn read_head(read: &mut BufReader<TcpStream>) -> Option<(u16, usize, bool)> {
    let (mut status, mut length, mut chunked) = (0, 0, false);
    for number in 0.. {
        let mut line = String::new();
        if read.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if number == 0 {
            status = line.split(' ').nth(1)?.parse().ok()?;
            continue;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        match name.to_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "transfer-encoding" => chunked = true,
            _ => {}
        }
    }
    Some((status, length, chunked))
}

async fn read_chunks(read: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        read.read_line(&mut line).await.ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        read.read_exact(&mut chunk).await.ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
