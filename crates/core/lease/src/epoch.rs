//! Fencing: whoever has seen an epoch takes nothing from an earlier one.

use std::fmt;

/// The number of a lease, higher than those of all leases won before it; 0: none was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Puts the epoch behind a process's name, in the form that [`Epoch::of`] reads.
    pub fn name(self, process: &str) -> String {
        match self {
            Epoch(0) => process.to_owned(),
            Epoch(number) => format!("{process}@{number}"),
        }
    }

    /// Reads it from a name. One without, or of another program, has none.
    pub fn of(name: &str) -> Epoch {
        Epoch(name.rsplit_once('@').and_then(|(_, number)| number.parse().ok()).unwrap_or(0))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Word from an epoch that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("epoch {told} is over, {seen} was seen: an instance that no longer leads speaks")]
pub struct Stale {
    /// The one that was told.
    pub told: Epoch,
    /// The highest seen.
    pub seen: Epoch,
}

/// What a listener remembers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    seen: Epoch,
}

impl Fence {
    /// The highest epoch seen.
    pub fn seen(&self) -> Epoch {
        self.seen
    }

    /// Takes word from an epoch. Danger: one without an epoch counts as the oldest: an instance that was started without
    /// its lease by mistake would move every listener back.
    ///
    /// # Errors
    /// A higher one was seen.
    pub fn pass(&mut self, told: Epoch) -> Result<(), Stale> {
        if told < self.seen {
            return Err(Stale { told, seen: self.seen });
        }
        self.seen = told;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_epoch_that_is_over_does_not_pass() {
        let mut fence = Fence::default();
        let told = |name: &str| Epoch::of(name);
        assert_eq!(fence.pass(told("rushquay-1")), Ok(()));
        assert_eq!(fence.pass(told(&Epoch(7).name("rushquay-1"))), Ok(()));
        assert_eq!(fence.pass(Epoch(7)), Ok(()));
        assert_eq!(fence.pass(told("a@6")), Err(Stale { told: Epoch(6), seen: Epoch(7) }));
        assert!(fence.pass(told("another program")).is_err());
        assert_eq!(fence.pass(told("b@8")), Ok(()));
        assert_eq!(fence.seen(), Epoch(8));
    }
}
