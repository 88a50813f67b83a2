//! The messages between incumbent and successor. Each is JSON, preceded by its length in four bytes (big-endian).

use crate::control_handover::encoded_size;
use crate::{ControlHandover, ResourceShare, StartClockHandover};
use rushquay_endpoints::EndpointList;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The protocol versions that this program supports, the newest last. A version that changes its messages gets a new
/// number.
pub const PROTOCOL_VERSIONS: [u32; 1] = [1];

/// The longest message, in bytes. A list of a thousand endpoints takes a fifth of it.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Allowances of this many requests or more are invalid.
const ALLOWANCE_LIMIT: f64 = 1e9;

/// A message of the successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum SuccessorMessage {
    /// Requests the hand-over.
    Hello {
        /// The protocol versions that the successor supports.
        forms: Vec<u32>,
    },
    /// Reports that the successor serves; the incumbent may end.
    Ready,
}

/// A message of the incumbent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum IncumbentMessage {
    /// Offers the hand-over; sent with the listening socket.
    Offer {
        /// The protocol version of the hand-over.
        form: u32,
        /// The number of descriptors that the successor may have open while the incumbent runs.
        sockets: usize,
        /// The bytes of memory that the successor may use meanwhile.
        memory: usize,
        /// The endpoint list of the incumbent, in discovery's format; null: it has none.
        list: Value,
        /// The settings assigned to the incumbent, as received; ignored by versions that do not know them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        settings: Option<String>,
        /// The policy state of the incumbent; ignored by versions that do not know it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        policy: Option<String>,
        /// The slow-start allowance that the incumbent leaves to the successor.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        cold: Vec<SlowStartAllowance>,
        /// What the incumbent holds by word of the control service (a [`ControlHandover`]); null: nothing. Ignored by versions that do
        /// not know it.
        #[serde(default, skip_serializing_if = "Value::is_null")]
        control: Value,
        /// The clocks by which the incumbent tells how long ago endpoints started (a [`StartClockHandover`]); null: unknown. Ignored by
        /// versions that do not know it.
        #[serde(default, skip_serializing_if = "Value::is_null")]
        starts: Value,
    },
    /// Confirms [`SuccessorMessage::Ready`].
    Heard,
    /// Rejects the request: another hand-over is in progress.
    Busy,
    /// Rejects the request: there is no common protocol version, or the incumbent has closed its listener (`forms` is
    /// empty then).
    Unknown {
        /// The protocol versions that the incumbent supports.
        forms: Vec<u32>,
    },
}

/// A validated offer.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The share of the successor while the incumbent runs.
    pub share: ResourceShare,
    /// The endpoint list of the incumbent, if it had a usable one.
    pub list: Option<EndpointList>,
    /// The settings assigned to the incumbent.
    pub settings: Option<String>,
    /// The policy state of the incumbent.
    pub policy: Option<String>,
    /// The slow-start allowances that the incumbent left.
    pub cold: Vec<SlowStartAllowance>,
    /// What the incumbent holds by word of the control service.
    pub control: Option<Box<ControlHandover>>,
    /// The clocks by which the incumbent tells how long ago endpoints started.
    pub starts: Option<StartClockHandover>,
}

/// The number of requests that may still be sent to an endpoint in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartAllowance {
    /// The endpoint, as the number derived from its name, which is the same in both processes.
    pub node: u64,
    /// When the endpoint's process started by the incumbent's clock: Unix time in nanoseconds.
    pub started: u64,
    /// The number of requests, 0 or more; it may be fractional.
    pub left: f64,
    /// Which process of the endpoint it is for; `None`: of a version that names it by `started`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<EndpointIncarnation>,
}

/// Names a process of an endpoint in a way that does not depend on the clock of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// When the process started, as stated in lists, in milliseconds.
    pub started_ms: u64,
    /// When the endpoint returned with a cold cache by the control service's clock, in milliseconds; 0: it did not.
    #[serde(default)]
    pub cold_return_ms: u64,
}

/// The state that an incumbent hands over: all that it acts by and has by word of another. What is not here its successor has to hear before
/// it can serve at all (the clusters of an Envoy configuration).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Its endpoint list, in discovery's format; null: it has none.
    pub list: Value,
    /// The settings assigned to it, as received.
    pub settings: Option<String>,
    /// Its policy state.
    pub policy: Option<String>,
    /// Its slow-start allowances.
    pub cold: Vec<SlowStartAllowance>,
    /// What it holds by word of the control service: overrides, drains, and endpoints that nobody else lists.
    pub control: Option<ControlHandover>,
    /// The clocks by which it tells how long ago endpoints started.
    pub starts: Option<StartClockHandover>,
}

/// What an offer takes beside the parts of the state: its own fields, and the names of the parts.
const OFFER_OVERHEAD_BYTES: usize = 1024;

impl HandoverState {
    /// Drops statements of the control service, the least restrictive ones first, until an offer is no longer than a message may be. Danger:
    /// a successor that cannot read the offer starts without any of the state. Returns how many were dropped.
    pub fn fit_message(&mut self) -> usize {
        let HandoverState { list, settings, policy, cold, control, starts: _ } = self;
        let parts = [encoded_size(list), encoded_size(settings), encoded_size(policy), encoded_size(cold)];
        let taken = parts.iter().sum::<usize>() + OFFER_OVERHEAD_BYTES;
        control.as_mut().map_or(0, |control| control.truncate(MAX_MESSAGE_BYTES.saturating_sub(taken)))
    }
}

/// Why a message is rejected.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is too long.
    #[error(
        "a message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES}; is the peer a rushquay process?"
    )]
    TooLong(usize),
    /// It is not a message of a known protocol version.
    #[error("not a hand-over message: {0}; is the peer a rushquay process?")]
    Malformed(#[from] serde_json::Error),
}

/// Encodes a message, preceded by its length.
fn encode_framed(message: &impl Serialize) -> Vec<u8> {
    // Messages of plain fields can't fail to serialize.
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes the length that precedes a message.
///
/// # Errors
/// It exceeds [`MAX_MESSAGE_BYTES`].
pub(crate) fn length(prefix: [u8; 4]) -> Result<usize, MessageError> {
    match u32::from_be_bytes(prefix) as usize {
        length if length > MAX_MESSAGE_BYTES => Err(MessageError::TooLong(length)),
        length => Ok(length),
    }
}

/// Implements encoding and decoding of the messages of one side.
macro_rules! framed_messages {
    ($($message:ty),+) => {$(
        impl $message {
            /// Encodes the message, preceded by its length.
            pub fn bytes(&self) -> Vec<u8> {
                encode_framed(self)
            }

            /// Decodes a message from the bytes that follow the length.
            ///
            /// # Errors
            /// The bytes are not such a message.
            pub fn read(body: &[u8]) -> Result<Self, MessageError> {
                Ok(serde_json::from_slice(body)?)
            }

            /// Decodes the length prefix: the number of bytes that follow it.
            ///
            /// # Errors
            /// It exceeds [`MAX_MESSAGE_BYTES`].
            pub fn length(prefix: [u8; 4]) -> Result<usize, MessageError> {
                length(prefix)
            }
        }
    )+};
}

framed_messages!(SuccessorMessage, IncumbentMessage);

/// Filters out the invalid allowances of an incumbent. Danger: a NaN or infinite value would be an unlimited allowance.
pub(crate) fn valid_allowances(allowances: Vec<SlowStartAllowance>) -> Vec<SlowStartAllowance> {
    allowances
        .into_iter()
        .filter(|a| a.left.is_finite() && (0.0..ALLOWANCE_LIMIT).contains(&a.left))
        .collect()
}

/// Validates the endpoint list of an incumbent. Danger: an empty or an incremental list would leave the successor without
/// endpoints; the older list of its own configuration is better than that.
pub(crate) fn valid_list(list: Value) -> Option<EndpointList> {
    let list: EndpointList = serde_json::from_value(list).ok()?;
    (list.full && !list.servers.is_empty()).then_some(list)
}
