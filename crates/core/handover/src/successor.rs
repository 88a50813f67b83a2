//! The new side: a process that starts, and looks for one to take over from.

use crate::messages::{cold, list};
use crate::{IncumbentMessage, Offer, ResourceShare, SuccessorMessage, PROTOCOL_VERSIONS};
use thiserror::Error;

/// So often a process that is told of another new one asks again, before it gives up.
const ASK_MOST: u32 = 50;

/// What came of asking.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// There is nobody: no socket, or one that a dead process left.
    Nobody,
    /// Nothing came in time, the connection broke, or what came can't be used.
    Nothing,
    /// An answer; `listener`: with it came a socket that listens where this process is to.
    Answer {
        /// What was said.
        said: IncumbentMessage,
        /// Whether the right socket came along.
        listener: bool,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Use the socket that came.
    Take(Offer),
    /// Listen alone; where the address is taken by a process that can't be asked, beside it.
    Listen,
    /// Ask again after a moment.
    AskAgain,
}

/// Why a process can't start.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// Two new ones at once.
    #[error("another new version is coming up beside the old one; wait for its yes, or end it, and start this one again")]
    Another,
}

/// A process that starts.
#[derive(Debug, Default)]
pub struct Successor {
    asked: u32,
}

impl Successor {
    /// What to say first.
    pub fn hello(&self) -> SuccessorMessage {
        SuccessorMessage::Hello { forms: PROTOCOL_VERSIONS.to_vec() }
    }

    /// What to do after this.
    ///
    /// # Errors
    /// Another new process has been coming up for as long as this one has asked.
    pub fn heard(&mut self, heard: Heard) -> Result<Step, HandoverError> {
        self.asked += 1;
        match heard {
            Heard::Answer {
                said:
                    IncumbentMessage::Offer { form, sockets, memory, list: told, settings, policy, cold: left },
                listener: true,
            } if PROTOCOL_VERSIONS.contains(&form) => {
                let (share, list, cold) = (ResourceShare { sockets, memory }, list(told), cold(left));
                Ok(Step::Take(Offer { share, list, settings, policy, cold }))
            }
            Heard::Answer { said: IncumbentMessage::Busy, .. } if self.asked < ASK_MOST => Ok(Step::AskAgain),
            Heard::Answer { said: IncumbentMessage::Busy, .. } => Err(HandoverError::Another),
            Heard::Answer { .. } | Heard::Nobody | Heard::Nothing => Ok(Step::Listen),
        }
    }
}
