//! Statistics of the load that a fleet of proxies causes.
//!
//! Each proxy counts events by cause in an [`Account`] and logs one line per second; [`Sum`] parses the lines of all proxies and
//! adds them up. Load that is harmless from one proxy and harmful from a hundred shows only in the sum. The crate does no I/O
//! and reads no clock.
#![forbid(unsafe_code)]

mod kind;
mod sum;

pub use kind::Kind;
pub use sum::{NotALine, Sum};

use std::fmt;

/// First token of an account line; tells it from other log lines.
const LINE_MARKER: &str = "account";

/// Counts of one proxy since its last line.
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
    /// Adds `many` events of a kind; the count saturates.
    pub fn add(&mut self, kind: Kind, many: u64) {
        let count = &mut self.counts[kind as usize];
        *count = count.saturating_add(many);
    }

    /// Count of a kind.
    pub fn count(&self, kind: Kind) -> u64 {
        self.counts[kind as usize]
    }

    /// Whether all counts are zero.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }

    /// The log line for `second`, in whole seconds of a clock that all proxies share. It contains the non-zero counts only.
    pub fn line(&self, second: u64) -> Line<'_> {
        Line { account: self, second }
    }
}

/// Displays an account line: `account at=SECOND kind=count ...`.
pub struct Line<'a> {
    account: &'a Account,
    second: u64,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{LINE_MARKER} at={}", self.second)?;
        let counted = Kind::ALL.iter().filter(|kind| self.account.count(**kind) > 0);
        counted.into_iter().try_for_each(|kind| write!(f, " {}={}", kind.name(), self.account.count(*kind)))
    }
}
