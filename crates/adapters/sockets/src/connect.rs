//! Connecting: an unreachable peer is distinguished from a shortage on this machine.

use crate::{classify, ErrorClass};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The most attempts where the call is interrupted.
const MAX_ATTEMPTS: usize = 64;

/// Why a connection could not be established.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacks descriptors, ports, buffers or memory: it says nothing about the peer.
    Shortage(io::Error),
    /// The peer rejects the connection, or is unreachable.
    Unreached(io::Error),
}

impl ConnectError {
    /// The underlying error.
    pub fn source(&self) -> &io::Error {
        match self {
            ConnectError::Shortage(e) | ConnectError::Unreached(e) => e,
        }
    }
}

impl From<ConnectError> for io::Error {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Shortage(e) | ConnectError::Unreached(e) => e,
        }
    }
}

/// Connects to an address.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect(addr: SocketAddr) -> Result<TcpStream, ConnectError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match TcpStream::connect(addr).await {
            Ok(stream) => return Ok(stream),
            Err(e) => match classify(&e) {
                ErrorClass::Repeat if attempts < MAX_ATTEMPTS => {}
                ErrorClass::Repeat | ErrorClass::Shortage => return Err(ConnectError::Shortage(e)),
                ErrorClass::PeerGone | ErrorClass::NoRoute | ErrorClass::Other => {
                    return Err(ConnectError::Unreached(e))
                }
            },
        }
    }
}
