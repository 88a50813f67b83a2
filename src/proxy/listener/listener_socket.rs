//! The socket that clients connect to: bound exclusively, or shared with a process that cannot hand it over.

use rushquay_sockets::patiently;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Length of the listen queue.
const BACKLOG: i32 = 1024;

/// A socket bound to the address.
pub enum ListenSocket {
    /// No other process listens there.
    Alone(TcpListener),
    /// Another process listens there; clients are spread over both once this one listens.
    Beside(Socket),
}

/// Binds the address. Every version sets SO_REUSEPORT, so that the next version can listen on the same address even if the socket
/// cannot be handed over.
///
/// # Errors
/// The address cannot be listened on.
pub fn bind(addr: SocketAddr) -> Result<ListenSocket, String> {
    let failed = |e: io::Error| format!("PROXY_LISTEN: {addr}: {e}");
    let socket = patiently(|| socket(addr)).map_err(failed)?;
    // Binding with SO_REUSEPORT from the start would succeed even if another process is bound there, so that could not be detected.
    match socket.bind(&addr.into()) {
        Ok(()) => {
            if let Err(e) = socket.set_reuse_port(true) {
                crate::proxy::log(format_args!(
                    "SO_REUSEPORT failed, so a later version cannot share the address: {e}"
                ));
            }
            listen(socket).map(ListenSocket::Alone).map_err(failed)
        }
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
            let shared = patiently(|| self::socket(addr)).map_err(failed)?;
            let bound = shared.set_reuse_port(true).and_then(|()| shared.bind(&addr.into()));
            bound.map_err(|e| {
                format!("PROXY_LISTEN: {addr}: {e}; the process that listens there does not share the address: end it first")
            })?;
            Ok(ListenSocket::Beside(shared))
        }
        Err(e) => Err(failed(e)),
    }
}

fn socket(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    // Connections of a previous process in TIME_WAIT must not prevent the bind.
    socket.set_reuse_address(true)?;
    Ok(socket)
}

/// Starts listening on a bound socket.
///
/// # Errors
/// The system rejects it.
pub fn listen(socket: Socket) -> io::Result<TcpListener> {
    patiently(|| socket.listen(BACKLOG))?;
    TcpListener::from_std(socket.into())
}
