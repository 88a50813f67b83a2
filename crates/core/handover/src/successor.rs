//! The successor: a starting process that tries to take over from an incumbent.

use crate::control_handover::valid_control;
use crate::messages::{valid_allowances, valid_list};
use crate::{IncumbentMessage, Offer, ResourceShare, SuccessorMessage, PROTOCOL_VERSIONS};
use thiserror::Error;

/// After this many requests, while another hand-over is in progress, a process gives up.
const MAX_REQUESTS: u32 = 50;

/// The result of a request for a hand-over.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverResponse {
    /// There is no incumbent: the socket does not exist, or a dead process left it behind.
    NoIncumbent,
    /// There was no valid answer: a timeout, a broken connection, or an unusable message.
    NoAnswer,
    /// The incumbent answered.
    Answer {
        /// The message.
        said: IncumbentMessage,
        /// Whether a socket that listens at this process's address came with it.
        listener: bool,
    },
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Use the received listener.
    UseListener(Offer),
    /// Open a listener, beside that of an unresponsive process if the address is in use.
    Listen,
    /// Request the hand-over again after a short wait.
    Retry,
}

/// Why a process can't start.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HandoverError {
    /// Another successor is already starting.
    #[error("another new version is coming up beside the old one; wait until it serves, or end it, then start this one again")]
    AnotherSuccessor,
}

/// The state machine of a starting process.
#[derive(Debug, Default)]
pub struct Successor {
    requests: u32,
}

impl Successor {
    /// The message that requests the hand-over.
    pub fn hello(&self) -> SuccessorMessage {
        SuccessorMessage::Hello { forms: PROTOCOL_VERSIONS.to_vec() }
    }

    /// Handles the result of a request; returns what to do next.
    ///
    /// # Errors
    /// Another successor has been starting for as long as this one has requested the hand-over.
    pub fn handle_response(&mut self, heard: HandoverResponse) -> Result<Step, HandoverError> {
        self.requests += 1;
        match heard {
            HandoverResponse::Answer {
                said:
                    IncumbentMessage::Offer {
                        form,
                        sockets,
                        memory,
                        list,
                        settings,
                        policy,
                        cold,
                        control,
                        starts,
                    },
                listener: true,
            } if PROTOCOL_VERSIONS.contains(&form) => {
                let (share, list, cold) =
                    (ResourceShare { sockets, memory }, valid_list(list), valid_allowances(cold));
                let control = valid_control(control);
                let starts = serde_json::from_value(starts).ok();
                Ok(Step::UseListener(Offer { share, list, settings, policy, cold, control, starts }))
            }
            HandoverResponse::Answer { said: IncumbentMessage::Busy, .. } if self.requests < MAX_REQUESTS => {
                Ok(Step::Retry)
            }
            HandoverResponse::Answer { said: IncumbentMessage::Busy, .. } => {
                Err(HandoverError::AnotherSuccessor)
            }
            HandoverResponse::Answer { .. } | HandoverResponse::NoIncumbent | HandoverResponse::NoAnswer => {
                Ok(Step::Listen)
            }
        }
    }
}
