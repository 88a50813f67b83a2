//! Sockets with the errors that an operating system produces: interrupted calls, short transfers, machines without
//! free descriptors or buffers, peers that have gone. Errors without meaning for callers are handled here; the others
//! are reported by class ([`ErrorClass`]), which says how to react. Protocols are not its subject.
#![forbid(unsafe_code)]

mod accept;
mod class;
mod connect;
mod start;
mod stream;

pub use accept::{accept, accept_queued, poll_accept, Queued};
pub use class::{classify, ErrorClass};
pub use connect::{connect, ConnectError};
pub use start::patiently;
pub use stream::{ReadyStream, RetryStream};
