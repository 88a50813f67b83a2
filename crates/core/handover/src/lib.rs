//! The hand-over from a running proxy (the incumbent) to a new version of it (the successor): their messages, the
//! state machine of each side, and how they share the resource limits while both run. No I/O and no clock: the adapter
//! transports the messages and the listening socket, and reports timeouts.

mod control_handover;
mod incumbent;
mod messages;
mod resource_share;
mod start_clock;
mod successor;

pub use control_handover::{ControlClock, ControlHandover};
pub use incumbent::{Incumbent, Peer, Reply};
pub use messages::{
    EndpointIncarnation, HandoverState, IncumbentMessage, MessageError, Offer, SlowStartAllowance,
    SuccessorMessage, MAX_MESSAGE_BYTES, PROTOCOL_VERSIONS,
};
pub use resource_share::ResourceShare;
pub use start_clock::StartClockHandover;
pub use successor::{HandoverError, HandoverResponse, Step, Successor};
