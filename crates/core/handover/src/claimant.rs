//! The new side: a process that starts, and looks for one to take over from.

use crate::form::{cold, list};
use crate::{Offer, Share, ToNew, ToOld, FORMS};
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
        said: ToNew,
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
pub enum Trouble {
    /// Two new ones at once.
    #[error("another new version is coming up beside the old one; wait for its yes, or end it, and start this one again")]
    Another,
}

/// A process that starts.
#[derive(Debug, Default)]
pub struct Claimant {
    asked: u32,
}

impl Claimant {
    /// What to say first.
    pub fn hello(&self) -> ToOld {
        ToOld::Hello { forms: FORMS.to_vec() }
    }

    /// What to do after this.
    ///
    /// # Errors
    /// Another new process has been coming up for as long as this one has asked.
    pub fn heard(&mut self, heard: Heard) -> Result<Step, Trouble> {
        self.asked += 1;
        match heard {
            Heard::Answer {
                said: ToNew::Offer { form, sockets, memory, list: told, settings, policy, cold: left },
                listener: true,
            } if FORMS.contains(&form) => {
                let (share, list, cold) = (Share { sockets, memory }, list(told), cold(left));
                Ok(Step::Take(Offer { share, list, settings, policy, cold }))
            }
            Heard::Answer { said: ToNew::Busy, .. } if self.asked < ASK_MOST => Ok(Step::AskAgain),
            Heard::Answer { said: ToNew::Busy, .. } => Err(Trouble::Another),
            Heard::Answer { .. } | Heard::Nobody | Heard::Nothing => Ok(Step::Listen),
        }
    }
}
