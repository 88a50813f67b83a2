//! Accepting connections: errors of a single connection are skipped, a shortage is reported.

use crate::{classify, ErrorClass};
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::{ready, Context, Poll};
use tokio::net::{TcpListener, TcpStream};

/// The most errors in a row that are attributed to single connections; more are the listener's own.
const MAX_SKIPPED_ERRORS: usize = 1000;

/// Whether an error of accept concerns one connection only, or none. Linux reports errors that are pending on the new
/// connection (accept(2)): these are not errors of the listener.
fn is_skippable(error: &io::Error) -> bool {
    match classify(error) {
        ErrorClass::Repeat | ErrorClass::PeerGone | ErrorClass::NoRoute => true,
        // A firewall forbids this connection, or its protocol has no such option.
        ErrorClass::Other => matches!(error.raw_os_error(), Some(EPERM | ENOPROTOOPT | EOPNOTSUPP)),
        ErrorClass::Shortage => false,
    }
}

const EPERM: i32 = rustix::io::Errno::PERM.raw_os_error();
const ENOPROTOOPT: i32 = rustix::io::Errno::NOPROTOOPT.raw_os_error();
const EOPNOTSUPP: i32 = rustix::io::Errno::OPNOTSUPP.raw_os_error();

/// Accepts the next connection.
///
/// # Errors
/// A shortage, or an error of the listener itself.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    poll_fn(|cx| poll_accept(listener, cx)).await
}

/// The poll form of [`accept`].
pub fn poll_accept(
    listener: &TcpListener,
    cx: &mut Context<'_>,
) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
    let mut skipped = 0;
    loop {
        match ready!(listener.poll_accept(cx)) {
            Err(e) if is_skippable(&e) && skipped < MAX_SKIPPED_ERRORS => skipped += 1,
            other => return Poll::Ready(other),
        }
    }
}

/// The connections that were queued at a listener.
#[derive(Debug)]
pub struct Queued {
    /// The connections, in the order of their arrival.
    pub streams: Vec<TcpStream>,
    /// Why there may be more; `None`: there are no more.
    pub shortage: Option<io::Error>,
}

/// Accepts the connections that are queued at a listener now, at most `max`, including those of which the runtime was
/// not notified yet.
pub fn accept_queued(listener: &TcpListener, max: usize) -> Queued {
    let socket = SockRef::from(listener);
    let mut queued = Queued { streams: Vec::new(), shortage: None };
    let mut skipped = 0;
    while queued.streams.len() < max {
        let accepted = socket.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream.into())
        });
        match accepted {
            Ok(stream) => queued.streams.push(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return queued,
            Err(e) if is_skippable(&e) && skipped < MAX_SKIPPED_ERRORS => skipped += 1,
            Err(e) => {
                queued.shortage = Some(e);
                return queued;
            }
        }
    }
    queued
}
