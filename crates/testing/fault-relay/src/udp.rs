//! A relay of datagrams: each sender is a connection, with a socket of its own towards the target.

use crate::shared::Shared;
use rushquay_fault_injection::{Direction, Flow, ListenerState};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Longest datagram.
const LONGEST: usize = 64 << 10;
/// A sender that has been quiet for so long is forgotten; when it comes again it is another.
const QUIET: Duration = Duration::from_secs(60);
/// Senders at once; more are passed over.
const SENDERS: usize = 4096;
/// Datagrams of a sender that wait to be looked at.
const WAITING: usize = 256;

pub async fn run(
    name: String,
    socket: UdpSocket,
    target: watch::Receiver<SocketAddr>,
    state: watch::Receiver<ListenerState>,
    shared: Arc<Shared>,
) {
    let socket = Arc::new(socket);
    let mut senders: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>> = HashMap::new();
    let (mut data, mut ordinal) = (vec![0; LONGEST], 0);
    loop {
        let Ok((n, from)) = socket.recv_from(&mut data).await else { continue };
        if *state.borrow() != ListenerState::Open {
            continue;
        }
        if senders.get(&from).is_none_or(|s| s.is_closed()) {
            senders.retain(|_, s| !s.is_closed());
            if senders.len() >= SENDERS {
                continue;
            }
            ordinal += 1;
            let (give, take) = mpsc::channel(WAITING);
            let flow = shared.flow(&name, ordinal);
            tokio::spawn(sender(flow, from, *target.borrow(), socket.clone(), take, shared.clone()));
            senders.insert(from, give);
        }
        if let Some(sender) = senders.get(&from) {
            // One that finds no room is lost, as on any way.
            let _ = sender.try_send(data[..n].to_vec());
        }
    }
}

async fn sender(
    mut flow: Flow,
    from: SocketAddr,
    target: SocketAddr,
    near: Arc<UdpSocket>,
    mut came: mpsc::Receiver<Vec<u8>>,
    shared: Arc<Shared>,
) {
    let any = SocketAddr::new(
        if target.is_ipv4() { [127, 0, 0, 1].into() } else { std::net::Ipv6Addr::LOCALHOST.into() },
        0,
    );
    let Ok(far) = UdpSocket::bind(any).await else { return };
    if far.connect(target).await.is_err() {
        return;
    }
    let mut data = vec![0; LONGEST];
    loop {
        let now = shared.now();
        while let Some(datagram) = flow.take(Direction::Up, now) {
            let _ = far.send(&datagram).await;
        }
        while let Some(datagram) = flow.take(Direction::Down, now) {
            let _ = near.send_to(&datagram, from).await;
        }
        shared.note(flow.take_performed());
        let wake = flow.wake().map_or(QUIET, |at| Duration::from_nanos(at.saturating_sub(now)));
        tokio::select! {
            datagram = came.recv() => match datagram {
                Some(datagram) => flow.offer(Direction::Up, &datagram, shared.now()),
                None => return,
            },
            read = far.recv(&mut data) => if let Ok(n) = read {
                flow.offer(Direction::Down, &data[..n], shared.now());
            },
            () = tokio::time::sleep(wake) => if flow.wake().is_none() {
                return;
            },
            () = shared.over() => return,
        }
    }
}
