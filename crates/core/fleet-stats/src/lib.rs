//! An account of what proxies do to a fleet: each proxy counts by cause and writes a line a second, and the lines of all
//! proxies are summed. What is harmless at one proxy and harmful at a hundred shows only in the sum.
#![forbid(unsafe_code)]

mod kind;
mod sum;

pub use kind::Kind;
pub use sum::{NotALine, Sum};

use std::fmt;

/// What marks a line of an account among others.
const MARK: &str = "account";

/// What one proxy counted since its last line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    counts: [u64; Kind::ALL.len()],
}

impl Default for Account {
    fn default() -> Self {
        Account { counts: [0; Kind::ALL.len()] }
    }
}

impl Account {
    /// Counts so many of a kind.
    pub fn add(&mut self, kind: Kind, many: u64) {
        let count = &mut self.counts[kind as usize];
        *count = count.saturating_add(many);
    }

    /// How many of a kind were counted.
    pub fn count(&self, kind: Kind) -> u64 {
        self.counts[kind as usize]
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|n| *n == 0)
    }

    /// The line for a second (whole seconds of a clock that all proxies share), with what was counted alone.
    pub fn line(&self, second: u64) -> Line<'_> {
        Line { account: self, second }
    }
}

/// A line of an account: `account at=SECOND kind=count ...`.
pub struct Line<'a> {
    account: &'a Account,
    second: u64,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MARK} at={}", self.second)?;
        let counted = Kind::ALL.iter().filter(|k| self.account.count(**k) > 0);
        counted.into_iter().try_for_each(|k| write!(f, " {}={}", k.name(), self.account.count(*k)))
    }
}
