//! Sockets as the operating system gives them: calls that a signal interrupts, transfers that move a part, machines that run out
//! of descriptors or buffers, peers that have gone. What of it concerns nobody above is dealt with here; the rest is told in
//! classes ([`ErrorClass`]) that say what to do about it.
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
