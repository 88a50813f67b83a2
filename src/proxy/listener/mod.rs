//! Connections from clients: accepting them, who keeps a place, reading ahead, and the end of the process.

pub(crate) mod acceptor;
pub(crate) mod client_connection;
pub(crate) mod descriptors;
pub(crate) mod graceful_shutdown;
pub(crate) mod listener_socket;
pub(crate) mod pause_detection;
pub(crate) mod read_buffer;
