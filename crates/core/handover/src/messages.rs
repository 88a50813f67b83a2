//! What old and new process say, as JSON behind its length in four bytes, most significant first.

use crate::ResourceShare;
use rushquay_endpoints::EndpointList;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The forms of the hand-over that this version speaks, the newest last. A form that changes its messages gets a new number.
pub const PROTOCOL_VERSIONS: [u32; 1] = [1];

/// A message holds at most so many bytes: a list of a thousand nodes takes a fifth.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What a new process says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum SuccessorMessage {
    /// It wants to take over.
    Hello {
        /// The forms that it speaks.
        forms: Vec<u32>,
    },
    /// It serves; the old process may go.
    Ready,
}

/// What an old process says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum IncumbentMessage {
    /// The listening socket comes with this.
    Offer {
        /// The form in which the hand-over goes on.
        form: u32,
        /// Descriptors that the new process may hold beside the old one.
        sockets: usize,
        /// Bytes that it may hold.
        memory: usize,
        /// The node list as the old process has it, in discovery's form; null: it has none.
        list: Value,
        /// The settings that the old process was given to act by, as they came; a version that knows none of it passes it over.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        settings: Option<String>,
        /// What the old process acts by of policies; a version that knows none of it passes it over.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        policy: Option<String>,
        /// What the old process might still have sent to nodes that are cold, and now leaves to the new one.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        cold: Vec<SlowStartAllowance>,
    },
    /// It has heard that the new process serves.
    Heard,
    /// Another new process is coming up.
    Busy,
    /// None of the forms is known.
    Unknown {
        /// The forms that the old process speaks.
        forms: Vec<u32>,
    },
}

/// An offer that was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// What the new process may hold while the old one runs.
    pub share: ResourceShare,
    /// The node list of the old process, where it had one that can be used.
    pub list: Option<EndpointList>,
    /// What the old process was given to act by.
    pub settings: Option<String>,
    /// What the old process acts by of policies.
    pub policy: Option<String>,
    /// What the old process left to be sent to cold nodes.
    pub cold: Vec<SlowStartAllowance>,
}

/// What may still be sent to a node that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartAllowance {
    /// The node, by the number that its name has in both processes.
    pub node: u64,
    /// When its process started, Unix time in nanoseconds.
    pub started: u64,
    /// Requests, from 0.
    pub left: f64,
}

/// What an old process tells of what it knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Its node list, in discovery's form; null: it has none.
    pub list: Value,
    /// The settings that it was given to act by, as they came.
    pub settings: Option<String>,
    /// What it acts by of policies.
    pub policy: Option<String>,
    /// What it leaves to be sent to cold nodes.
    pub cold: Vec<SlowStartAllowance>,
}

/// Why a message can't be used.
#[derive(Debug, Error)]
pub enum MessageError {
    /// Longer than any message is.
    #[error("a message of {0} bytes, at most {MAX_MESSAGE_BYTES} are taken; is the other side a rushquay?")]
    Long(usize),
    /// No message of a known form.
    #[error("not a message of the hand-over: {0}; is the other side a rushquay?")]
    Spoilt(#[from] serde_json::Error),
}

/// A message with its length ahead.
fn framed(message: &impl Serialize) -> Vec<u8> {
    // Nothing in these types can fail to be written.
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// The length that stands ahead of a message.
///
/// # Errors
/// More than a message holds.
pub(crate) fn length(head: [u8; 4]) -> Result<usize, MessageError> {
    match u32::from_be_bytes(head) as usize {
        long if long > MAX_MESSAGE_BYTES => Err(MessageError::Long(long)),
        length => Ok(length),
    }
}

impl SuccessorMessage {
    /// The bytes to write.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }

    /// Reads what stood behind the length.
    ///
    /// # Errors
    /// Anything that is no such message.
    pub fn read(body: &[u8]) -> Result<Self, MessageError> {
        Ok(serde_json::from_slice(body)?)
    }

    /// How many bytes follow these four.
    ///
    /// # Errors
    /// More than a message holds.
    pub fn length(head: [u8; 4]) -> Result<usize, MessageError> {
        length(head)
    }
}

impl IncumbentMessage {
    /// The bytes to write.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }

    /// Reads what stood behind the length.
    ///
    /// # Errors
    /// Anything that is no such message.
    pub fn read(body: &[u8]) -> Result<Self, MessageError> {
        Ok(serde_json::from_slice(body)?)
    }

    /// How many bytes follow these four.
    ///
    /// # Errors
    /// More than a message holds.
    pub fn length(head: [u8; 4]) -> Result<usize, MessageError> {
        length(head)
    }
}

/// What an old process left for cold nodes. Danger: a figure that is none would be a leave without end.
pub(crate) fn cold(told: Vec<SlowStartAllowance>) -> Vec<SlowStartAllowance> {
    told.into_iter().filter(|c| c.left.is_finite() && (0.0..1e9).contains(&c.left)).collect()
}

/// A list that an old process sent. Danger: an empty one, or one of changes alone, would leave the new process without
/// nodes; its own configuration has a list that is older and better.
pub(crate) fn list(told: Value) -> Option<EndpointList> {
    let list: EndpointList = serde_json::from_value(told).ok()?;
    (list.full && !list.servers.is_empty()).then_some(list)
}
