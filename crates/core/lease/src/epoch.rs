//! Fencing: a receiver rejects messages whose epoch is lower than the highest that it has seen.

use std::fmt;

/// The epoch of a lease, higher than that of every lease granted before it; 0: no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Appends the epoch to a process name, as `process@epoch`; [`Epoch::from_name`] parses it.
    pub fn name(self, process: &str) -> String {
        match self {
            Epoch(0) => process.to_owned(),
            Epoch(number) => format!("{process}@{number}"),
        }
    }

    /// Parses the epoch from a process name; 0 if the name has none.
    pub fn from_name(name: &str) -> Epoch {
        Epoch(name.rsplit_once('@').and_then(|(_, number)| number.parse().ok()).unwrap_or(0))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A message from an earlier epoch than the highest seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "message from epoch {received}, but epoch {seen} was seen already: the sender is no longer the leader"
)]
pub struct StaleEpoch {
    /// The epoch of the message.
    pub received: Epoch,
    /// The highest epoch seen.
    pub seen: Epoch,
}

/// The fencing state of a receiver.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    seen: Epoch,
}

impl Fence {
    /// The highest epoch seen.
    pub fn seen(&self) -> Epoch {
        self.seen
    }

    /// Checks the epoch of a message. Danger: a message without an epoch counts as the oldest; otherwise an instance that was started
    /// without a lease by mistake would move every receiver back.
    ///
    /// # Errors
    /// A higher epoch was seen before.
    pub fn check(&mut self, received: Epoch) -> Result<(), StaleEpoch> {
        if received < self.seen {
            return Err(StaleEpoch { received, seen: self.seen });
        }
        self.seen = received;
        Ok(())
    }
}
