//! Errors of socket calls by what has to be done about them.

use rustix::io::Errno;
use std::io;

/// What an error of a socket call says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// Nothing: the call is to be made again.
    Repeat,
    /// The peer has gone, or this connection with it.
    PeerGone,
    /// This machine lacks descriptors, ports, buffers or memory. It says nothing of any peer.
    Shortage,
    /// There is no way to the peer.
    NoRoute,
    /// Anything else: the address is refused, or the call is wrong.
    Other,
}

/// The class of an error.
pub fn classify(error: &io::Error) -> ErrorClass {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorClass::Repeat,
        Some(
            Errno::CONNABORTED
            | Errno::CONNRESET
            | Errno::CONNREFUSED
            | Errno::PIPE
            | Errno::TIMEDOUT
            | Errno::PROTO
            | Errno::NOTCONN
            | Errno::SHUTDOWN,
        ) => ErrorClass::PeerGone,
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NOSPC
            | Errno::ADDRNOTAVAIL
            | Errno::AGAIN,
        ) => ErrorClass::Shortage,
        Some(Errno::NETDOWN | Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::HOSTDOWN | Errno::NONET) => {
            ErrorClass::NoRoute
        }
        _ => ErrorClass::Other,
    }
}
