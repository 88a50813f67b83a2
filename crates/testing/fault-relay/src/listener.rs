//! A listener of connections, which may also refuse connects or leave them without any answer.

use crate::connection;
use crate::shared::Shared;
use rushquay_fault_injection::ListenerState;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Connects that wait to be accepted, at most.
const BACKLOG: i32 = 4096;
/// A port that was just let go is taken again within this time.
const AGAIN: Duration = Duration::from_millis(5);
const AGAIN_MOST: usize = 400;

/// Takes the address, without listening yet.
pub fn bind(addr: SocketAddr) -> io::Result<Bound> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    Ok(Bound(socket))
}

/// A socket that holds an address. While it doesn't listen the kernel refuses connects to it, and nobody else can take
/// the port.
pub struct Bound(Socket);

impl Bound {
    pub fn listen(self) -> io::Result<TcpListener> {
        self.0.listen(BACKLOG)?;
        TcpListener::from_std(self.0.into())
    }
}

async fn again(addr: SocketAddr) -> Option<Bound> {
    for _ in 0..AGAIN_MOST {
        if let Ok(bound) = bind(addr) {
            return Some(bound);
        }
        tokio::time::sleep(AGAIN).await;
    }
    eprintln!("rushquay-fault: {addr} could not be taken again");
    None
}

pub async fn run(
    name: String,
    listener: TcpListener,
    addr: SocketAddr,
    target: watch::Receiver<SocketAddr>,
    mut state: watch::Receiver<ListenerState>,
    shared: Arc<Shared>,
) {
    let name: Arc<str> = name.into();
    let (mut ordinal, mut first) = (0, Some(listener));
    loop {
        let now = *state.borrow_and_update();
        match now {
            ListenerState::Open => {
                let listener = match first.take() {
                    Some(listener) => listener,
                    None => match again(addr).await.map(Bound::listen) {
                        Some(Ok(listener)) => listener,
                        _ => return,
                    },
                };
                loop {
                    tokio::select! {
                        biased;
                        changed = state.changed() => match changed {
                            Err(_) => return,
                            Ok(()) if *state.borrow() != now => break,
                            Ok(()) => {}
                        },
                        accepted = listener.accept() => match accepted {
                            Ok((near, peer)) => {
                                ordinal += 1;
                                let (name, target) = (name.clone(), *target.borrow());
                                tokio::spawn(connection::run(name, ordinal, near, peer, target, shared.clone()));
                            }
                            // Without descriptors accept fails at once, and again.
                            Err(_) => tokio::time::sleep(AGAIN).await,
                        },
                    }
                }
            }
            ListenerState::Shut => {
                drop(first.take());
                let Some(_held) = again(addr).await else { return };
                if state.wait_for(|s| *s != now).await.is_err() {
                    return;
                }
            }
            ListenerState::Mute => {
                // The kernel answers no further connect once the queue is full; ours fill it, and nobody accepts.
                drop(first.take());
                let Some(bound) = again(addr).await else { return };
                let filled = fill(bound, addr).await;
                if state.wait_for(|s| *s != now).await.is_err() {
                    return;
                }
                drop(filled);
            }
        }
    }
}

/// Listens with the shortest queue and fills it.
async fn fill(socket: Bound, addr: SocketAddr) -> Option<(Socket, Vec<tokio::net::TcpStream>)> {
    socket.0.listen(0).ok()?;
    let mut fillers = Vec::new();
    for _ in 0..4 {
        let connect = tokio::net::TcpStream::connect(addr);
        match tokio::time::timeout(Duration::from_millis(30), connect).await {
            Ok(Ok(filler)) => fillers.push(filler),
            // This one got no answer: it is full.
            _ => break,
        }
    }
    Some((socket.0, fillers))
}
