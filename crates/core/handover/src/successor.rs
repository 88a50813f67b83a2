//! The successor: a process that starts, and tries to take over from an incumbent.

use crate::messages::{valid_allowances, valid_list};
use crate::{IncumbentMessage, Offer, ResourceShare, SuccessorMessage, PROTOCOL_VERSIONS};
use thiserror::Error;

/// How often a process requests a hand-over while another one is in progress, before it gives up.
const MAX_REQUESTS: u32 = 50;

/// The result of a request for a hand-over.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// There is no incumbent: no socket, or one that a dead process left.
    Nobody,
    /// No valid answer: a timeout, a broken connection, or an unusable message.
    Nothing,
    /// An answer; `listener`: it came with a socket that listens at this process's address.
    Answer {
        /// The message.
        said: IncumbentMessage,
        /// Whether the right socket came with it.
        listener: bool,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Use the received socket.
    Take(Offer),
    /// Open a listener; where the address is in use by a process that does not answer, beside it.
    Listen,
    /// Request the hand-over again after a moment.
    AskAgain,
}

/// Why a process can't start.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// There is another successor.
    #[error("another new version is coming up beside the old one; wait for its yes, or end it, and start this one again")]
    Another,
}

/// A starting process.
#[derive(Debug, Default)]
pub struct Successor {
    requests: u32,
}

impl Successor {
    /// The first message.
    pub fn hello(&self) -> SuccessorMessage {
        SuccessorMessage::Hello { forms: PROTOCOL_VERSIONS.to_vec() }
    }

    /// Handles the result of a request; returns what to do next.
    ///
    /// # Errors
    /// Another successor has been starting for as long as this one has requested the hand-over.
    pub fn heard(&mut self, heard: Heard) -> Result<Step, HandoverError> {
        self.requests += 1;
        match heard {
            Heard::Answer {
                said: IncumbentMessage::Offer { form, sockets, memory, list, settings, policy, cold },
                listener: true,
            } if PROTOCOL_VERSIONS.contains(&form) => {
                let (share, list, cold) =
                    (ResourceShare { sockets, memory }, valid_list(list), valid_allowances(cold));
                Ok(Step::Take(Offer { share, list, settings, policy, cold }))
            }
            Heard::Answer { said: IncumbentMessage::Busy, .. } if self.requests < MAX_REQUESTS => {
                Ok(Step::AskAgain)
            }
            Heard::Answer { said: IncumbentMessage::Busy, .. } => Err(HandoverError::Another),
            Heard::Answer { .. } | Heard::Nobody | Heard::Nothing => Ok(Step::Listen),
        }
    }
}
