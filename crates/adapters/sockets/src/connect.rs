//! Dialling: what the peer or the way to it refuses is told apart from what this machine lacks.

use crate::{classify, ErrorClass};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A dial that signals interrupt is made so often at most.
const DIALS_MOST: usize = 64;

/// Why there is no connection.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacks descriptors, ports, buffers or memory: it says nothing of the peer.
    Shortage(io::Error),
    /// The peer refuses, or can't be reached.
    Unreached(io::Error),
}

impl ConnectError {
    /// The error itself.
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

/// Connects.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect(addr: SocketAddr) -> Result<TcpStream, ConnectError> {
    let mut dials = 0;
    loop {
        dials += 1;
        match TcpStream::connect(addr).await {
            Ok(stream) => return Ok(stream),
            Err(e) => match classify(&e) {
                ErrorClass::Repeat if dials < DIALS_MOST => {}
                ErrorClass::Repeat | ErrorClass::Shortage => return Err(ConnectError::Shortage(e)),
                ErrorClass::PeerGone | ErrorClass::NoRoute | ErrorClass::Other => {
                    return Err(ConnectError::Unreached(e))
                }
            },
        }
    }
}
