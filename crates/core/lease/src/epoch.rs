//! Fencing: a receiver that has seen an epoch rejects everything from earlier ones.

use std::fmt;

/// The epoch of a lease, higher than those of all leases won before it; 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Appends the epoch to a process's name, in the form that [`Epoch::of`] reads.
    pub fn name(self, process: &str) -> String {
        match self {
            Epoch(0) => process.to_owned(),
            Epoch(number) => format!("{process}@{number}"),
        }
    }

    /// Reads the epoch from a name. A name without one, or of another program, has epoch 0.
    pub fn of(name: &str) -> Epoch {
        Epoch(name.rsplit_once('@').and_then(|(_, number)| number.parse().ok()).unwrap_or(0))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A message of an expired epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("epoch {told} is over, {seen} was seen: an instance that no longer leads speaks")]
pub struct Stale {
    /// The epoch of the message.
    pub told: Epoch,
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

    /// Checks the epoch of a message. Danger: a message without an epoch counts as the oldest, since an instance that was started
    /// without its lease by mistake would otherwise move every receiver back.
    ///
    /// # Errors
    /// A higher epoch was seen.
    pub fn pass(&mut self, told: Epoch) -> Result<(), Stale> {
        if told < self.seen {
            return Err(Stale { told, seen: self.seen });
        }
        self.seen = told;
        Ok(())
    }
}
