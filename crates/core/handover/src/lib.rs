//! A new version of the proxy takes over from an old one while both run: what they say to one another, what each does
//! next, and how they divide what the two may hold together. No I/O and no clock: the adapter carries the messages and the
//! listening socket, and says when time has run out.

mod incumbent;
mod messages;
mod resource_share;
mod successor;

pub use incumbent::{Incumbent, Peer, Reply};
pub use messages::{
    HandoverState, IncumbentMessage, MessageError, Offer, SlowStartAllowance, SuccessorMessage,
    MAX_MESSAGE_BYTES, PROTOCOL_VERSIONS,
};
pub use resource_share::ResourceShare;
pub use successor::{HandoverError, Heard, Step, Successor};
