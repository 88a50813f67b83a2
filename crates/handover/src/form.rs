//! What old and new process say, as JSON behind its length in four bytes, most significant first.

use crate::Share;
use rushquay_nodes::Members;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// The forms of the hand-over that this version speaks, the newest last. A form that changes its messages gets a new number.
pub const FORMS: [u32; 1] = [1];

/// A message holds at most so many bytes: a list of a thousand nodes takes a fifth.
pub const MESSAGE_MOST: usize = 1 << 20;

/// What a new process says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum ToOld {
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
pub enum ToNew {
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
    pub share: Share,
    /// The node list of the old process, where it had one that can be used.
    pub list: Option<Members>,
}

/// Why a message can't be used.
#[derive(Debug, Error)]
pub enum BadMessage {
    /// Longer than any message is.
    #[error("a message of {0} bytes, at most {MESSAGE_MOST} are taken; is the other side a rushquay?")]
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
pub(crate) fn length(head: [u8; 4]) -> Result<usize, BadMessage> {
    match u32::from_be_bytes(head) as usize {
        long if long > MESSAGE_MOST => Err(BadMessage::Long(long)),
        length => Ok(length),
    }
}

impl ToOld {
    /// The bytes to write.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }

    /// Reads what stood behind the length.
    ///
    /// # Errors
    /// Anything that is no such message.
    pub fn read(body: &[u8]) -> Result<Self, BadMessage> {
        Ok(serde_json::from_slice(body)?)
    }

    /// How many bytes follow these four.
    ///
    /// # Errors
    /// More than a message holds.
    pub fn length(head: [u8; 4]) -> Result<usize, BadMessage> {
        length(head)
    }
}

impl ToNew {
    /// The bytes to write.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }

    /// Reads what stood behind the length.
    ///
    /// # Errors
    /// Anything that is no such message.
    pub fn read(body: &[u8]) -> Result<Self, BadMessage> {
        Ok(serde_json::from_slice(body)?)
    }

    /// How many bytes follow these four.
    ///
    /// # Errors
    /// More than a message holds.
    pub fn length(head: [u8; 4]) -> Result<usize, BadMessage> {
        length(head)
    }
}

/// A list that an old process sent. Danger: an empty one, or one of changes alone, would leave the new process without
/// nodes; its own configuration has a list that is older and better.
pub(crate) fn list(told: Value) -> Option<Members> {
    let list: Members = serde_json::from_value(told).ok()?;
    (list.full && !list.servers.is_empty()).then_some(list)
}
