//! The messages of incumbent and successor: JSON after its length in four bytes, most significant first.

use crate::ResourceShare;
use rushquay_endpoints::EndpointList;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The protocol versions that this program supports, the newest last. A version that changes its messages gets a new
/// number.
pub const PROTOCOL_VERSIONS: [u32; 1] = [1];

/// The longest message: a list of a thousand endpoints takes a fifth of it.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Allowances from this number of requests on are invalid.
const MAX_ALLOWANCE: f64 = 1e9;

/// A message of the successor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum SuccessorMessage {
    /// It requests the hand-over.
    Hello {
        /// The protocol versions that it supports.
        forms: Vec<u32>,
    },
    /// It serves; the incumbent may end.
    Ready,
}

/// A message of the incumbent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum IncumbentMessage {
    /// An offer, sent with the listening socket.
    Offer {
        /// The protocol version of the hand-over.
        form: u32,
        /// Descriptors that the successor may hold beside the incumbent.
        sockets: usize,
        /// Bytes that it may hold.
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
    },
    /// It has registered that the successor serves.
    Heard,
    /// Another successor is starting.
    Busy,
    /// No protocol version is shared.
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
    /// The endpoint list of the incumbent, where it had a usable one.
    pub list: Option<EndpointList>,
    /// The settings assigned to the incumbent.
    pub settings: Option<String>,
    /// The policy state of the incumbent.
    pub policy: Option<String>,
    /// The slow-start allowances that the incumbent left.
    pub cold: Vec<SlowStartAllowance>,
}

/// The requests that may still be sent to an endpoint in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartAllowance {
    /// The endpoint, by the number that its name has in both processes.
    pub node: u64,
    /// When its process started, Unix time in nanoseconds.
    pub started: u64,
    /// The number of requests, from 0.
    pub left: f64,
}

/// The state that an incumbent hands over.
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
}

/// Why a message is rejected.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is too long.
    #[error("a message of {0} bytes, at most {MAX_MESSAGE_BYTES} are taken; is the other side a rushquay?")]
    Long(usize),
    /// It is no message of a known protocol version.
    #[error("not a message of the hand-over: {0}; is the other side a rushquay?")]
    Spoilt(#[from] serde_json::Error),
}

/// Encodes a message with its length before it.
fn framed(message: &impl Serialize) -> Vec<u8> {
    // Plain fields always have a JSON form.
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes the length before a message.
///
/// # Errors
/// It exceeds [`MAX_MESSAGE_BYTES`].
pub(crate) fn length(head: [u8; 4]) -> Result<usize, MessageError> {
    match u32::from_be_bytes(head) as usize {
        length if length > MAX_MESSAGE_BYTES => Err(MessageError::Long(length)),
        length => Ok(length),
    }
}

macro_rules! framed_messages {
    ($($message:ty),+) => {$(
        impl $message {
            /// Encodes the message, with its length before it.
            pub fn bytes(&self) -> Vec<u8> {
                framed(self)
            }

            /// Decodes a message from the bytes after the length.
            ///
            /// # Errors
            /// The bytes are no such message.
            pub fn read(body: &[u8]) -> Result<Self, MessageError> {
                Ok(serde_json::from_slice(body)?)
            }

            /// The number of bytes after these four.
            ///
            /// # Errors
            /// It exceeds [`MAX_MESSAGE_BYTES`].
            pub fn length(head: [u8; 4]) -> Result<usize, MessageError> {
                length(head)
            }
        }
    )+};
}

framed_messages!(SuccessorMessage, IncumbentMessage);

/// The valid allowances of an incumbent. Danger: a value that is no number would be an allowance without bound.
pub(crate) fn valid_allowances(allowances: Vec<SlowStartAllowance>) -> Vec<SlowStartAllowance> {
    allowances.into_iter().filter(|a| a.left.is_finite() && (0.0..MAX_ALLOWANCE).contains(&a.left)).collect()
}

/// The valid list of an incumbent. Danger: an empty list, or an incremental one, would leave the successor without
/// endpoints; its own configuration has a list that is older and better.
pub(crate) fn valid_list(list: Value) -> Option<EndpointList> {
    let list: EndpointList = serde_json::from_value(list).ok()?;
    (list.full && !list.servers.is_empty()).then_some(list)
}
