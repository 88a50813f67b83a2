//! Taking connections: errors of a single connection are passed over, a shortage is told.

use crate::{classify, ErrorClass};
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::{ready, Context, Poll};
use tokio::net::{TcpListener, TcpStream};

/// So many errors in a row concern single connections; more are the listener's own.
const PASSED_OVER_MOST: usize = 1000;

/// Whether an error of accept concerns one connection alone, or none. Linux hands over errors that are pending on the new
/// connection (accept(2)): these are no error of the listener.
fn passes(error: &io::Error) -> bool {
    match classify(error) {
        ErrorClass::Repeat | ErrorClass::PeerGone | ErrorClass::NoRoute => true,
        // A firewall forbids this one, or its protocol has no such option.
        ErrorClass::Other => matches!(error.raw_os_error(), Some(EPERM | ENOPROTOOPT | EOPNOTSUPP)),
        ErrorClass::Shortage => false,
    }
}

const EPERM: i32 = rustix::io::Errno::PERM.raw_os_error();
const ENOPROTOOPT: i32 = rustix::io::Errno::NOPROTOOPT.raw_os_error();
const EOPNOTSUPP: i32 = rustix::io::Errno::OPNOTSUPP.raw_os_error();

/// The next connection.
///
/// # Errors
/// A shortage, or the listener's own fault.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    poll_fn(|cx| poll_accept(listener, cx)).await
}

/// The same for whoever polls.
pub fn poll_accept(
    listener: &TcpListener,
    cx: &mut Context<'_>,
) -> Poll<io::Result<(TcpStream, SocketAddr)>> {
    let mut passed = 0;
    loop {
        match ready!(listener.poll_accept(cx)) {
            Err(e) if passes(&e) && passed < PASSED_OVER_MOST => passed += 1,
            other => return Poll::Ready(other),
        }
    }
}

/// What waited at a listener.
#[derive(Debug)]
pub struct Queued {
    /// The connections, in the order in which they came.
    pub streams: Vec<TcpStream>,
    /// Why there may be more; `None`: there are no more.
    pub shortage: Option<io::Error>,
}

/// All connections that wait at a listener now, so many at most, also those of which the runtime has not heard.
pub fn accept_queued(listener: &TcpListener, most: usize) -> Queued {
    let socket = SockRef::from(listener);
    let mut queued = Queued { streams: Vec::new(), shortage: None };
    let mut passed = 0;
    while queued.streams.len() < most {
        let accepted = socket.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream.into())
        });
        match accepted {
            Ok(stream) => queued.streams.push(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return queued,
            Err(e) if passes(&e) && passed < PASSED_OVER_MOST => passed += 1,
            Err(e) => {
                queued.shortage = Some(e);
                return queued;
            }
        }
    }
    queued
}
