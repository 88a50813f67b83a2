//! The address where clients connect: taken alone, or shared with a process that can't be asked for it.

use rushquay_sockets::patiently;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A place at an address.
pub enum ListenSocket {
    /// Nobody else listens there.
    Alone(TcpListener),
    /// Another process does; clients come here as well once this listens.
    Beside(Socket),
}

/// Takes the address. Every version shares it by SO_REUSEPORT, so that the next one can come up beside it even where it
/// can't be handed the socket.
///
/// # Errors
/// An address that can't be listened on.
pub fn bind(addr: SocketAddr) -> Result<ListenSocket, String> {
    let failed = |e: io::Error| format!("PROXY_LISTEN: {addr}: {e}");
    let socket = patiently(|| socket(addr)).map_err(failed)?;
    // Shared from the start it could not tell whether anybody else is there.
    match socket.bind(&addr.into()) {
        Ok(()) => {
            if let Err(e) = socket.set_reuse_port(true) {
                crate::proxy::log(format_args!("the address can't be shared with a later version: {e}"));
            }
            listen(socket).map(ListenSocket::Alone).map_err(failed)
        }
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
            let shared = patiently(|| self::socket(addr)).map_err(failed)?;
            let bound = shared.set_reuse_port(true).and_then(|()| shared.bind(&addr.into()));
            bound.map_err(|e| {
                format!("PROXY_LISTEN: {addr}: {e}; what listens there shares it with nobody: end it first")
            })?;
            Ok(ListenSocket::Beside(shared))
        }
        Err(e) => Err(failed(e)),
    }
}

fn socket(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    // What is left of connections of a process before must not keep this one out.
    socket.set_reuse_address(true)?;
    Ok(socket)
}

/// From now on clients connect here.
///
/// # Errors
/// Where the system refuses it.
pub fn listen(socket: Socket) -> io::Result<TcpListener> {
    patiently(|| socket.listen(BACKLOG))?;
    TcpListener::from_std(socket.into())
}
