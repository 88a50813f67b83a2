//! Connections from clients: accepting, admission, reading ahead, and graceful shutdown.

pub(crate) mod acceptor;
pub(crate) mod admission;
pub(crate) mod client_connection;
pub(crate) mod client_registry;
pub(crate) mod connection_server;
pub(crate) mod descriptors;
pub(crate) mod graceful_shutdown;
pub(crate) mod listener_socket;
pub(crate) mod pause_detection;
pub(crate) mod read_buffer;
pub(crate) mod shutdown_deadline;
