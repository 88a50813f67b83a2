//! What the relay costs beside a direct connection, printed as Markdown: direct and relayed in turn, in one run.
//!
//! `cargo run --release --locked -p rushquay-fault-relay --example relay_cost`

use rushquay_fault_relay::{Options, Relay};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ROUNDS: usize = 3;
const BULK: usize = 256 << 20;
const EXCHANGES: usize = 30_000;

/// Echoes messages of 256 bytes, or swallows what comes and answers one byte at its end.
async fn server(echo: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let mut data = vec![0; 64 << 10];
                loop {
                    match stream.read(&mut data).await {
                        Ok(n) if n > 0 && echo => stream.write_all(&data[..n]).await?,
                        Ok(n) if n > 0 => {}
                        _ => return stream.write_all(b"x").await,
                    }
                }
            });
        }
    });
    addr
}

async fn bulk(addr: SocketAddr) -> f64 {
    let mut stream = TcpStream::connect(addr).await.expect("connected");
    let block = vec![7; 64 << 10];
    let start = Instant::now();
    for _ in 0..BULK / block.len() {
        stream.write_all(&block).await.expect("written");
    }
    stream.shutdown().await.expect("ended");
    stream.read_exact(&mut [0]).await.expect("all has come");
    BULK as f64 / start.elapsed().as_secs_f64() / 1e6
}

/// Exchanges a second, and the median and 99th percentile of one.
async fn exchanges(addr: SocketAddr, connections: usize) -> (f64, Duration, Duration) {
    let mut tasks = tokio::task::JoinSet::new();
    let start = Instant::now();
    for _ in 0..connections {
        tasks.spawn(async move {
            let mut stream = TcpStream::connect(addr).await.expect("connected");
            stream.set_nodelay(true).expect("an option");
            let mut message = [5; 256];
            let mut took = Vec::new();
            for _ in 0..EXCHANGES / connections {
                let begun = Instant::now();
                stream.write_all(&message).await.expect("written");
                stream.read_exact(&mut message).await.expect("read");
                took.push(begun.elapsed());
            }
            took
        });
    }
    let mut took: Vec<Duration> = tasks.join_all().await.into_iter().flatten().collect();
    let rate = took.len() as f64 / start.elapsed().as_secs_f64();
    took.sort_unstable();
    (rate, took[took.len() / 2], took[took.len() / 100 * 99])
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (sink, echo) = (server(false).await, server(true).await);
        let watched = "[[rule]]\nname = 'never'\nlane = 'up'\nat = { text = 'no such text' }\ndo = { cut = 'rst' }";
        let relay = |to, rules| async move {
            Relay::between(to, 1, rules, Options::default()).await.expect("a relay")
        };
        let ways = [
            ("direct", None, None),
            ("plain relay", Some(relay(sink, "").await), Some(relay(echo, "").await)),
            ("relay that looks for a text", Some(relay(sink, watched).await), Some(relay(echo, watched).await)),
        ];
        println!("| way | round | MB/s, one connection | exchanges/s, 1 | median | 99% | exchanges/s, 64 | median | 99% |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for round in 1..=ROUNDS {
            for (name, bulked, echoed) in &ways {
                let to = |relay: &Option<Relay>, own| relay.as_ref().map_or(own, Relay::first);
                let (sink, echo) = (to(bulked, sink), to(echoed, echo));
                let bulk = bulk(sink).await;
                let (one, one_half, one_most) = exchanges(echo, 1).await;
                let (many, many_half, many_most) = exchanges(echo, 64).await;
                println!(
                    "| {name} | {round} | {bulk:.0} | {one:.0} | {one_half:.1?} | {one_most:.1?} | {many:.0} | {many_half:.0?} | {many_most:.0?} |"
                );
            }
        }
    });
}
