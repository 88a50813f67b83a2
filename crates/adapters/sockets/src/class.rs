//! Errors of socket calls, classified by the reaction to them.

use rustix::io::Errno;
use std::io;

/// The class of an error of a socket call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorClass {
    /// The call was interrupted, and has to be repeated.
    Repeat,
    /// The peer, or the connection to it, is gone.
    PeerGone,
    /// This machine lacks descriptors, ports, buffers or memory. It says nothing about any peer.
    Shortage,
    /// There is no route to the peer.
    NoRoute,
    /// Anything else: the address is rejected, or the call is invalid.
    Other,
}

/// Returns the class of an error.
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
