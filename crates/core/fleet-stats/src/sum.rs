//! Sums the account lines of all proxies.

use super::{Account, Kind, LINE_MARKER};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// A line that begins like an account line and cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at:?} is no count of an account; give the lines as the proxies wrote them")]
pub struct NotALine {
    /// The token that cannot be parsed.
    pub at: String,
}

/// The accounts of many proxies, by second.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    seconds: BTreeMap<u64, Account>,
}

impl Sum {
    /// Adds a line of a proxy's log; lines without the account marker are ignored.
    ///
    /// # Errors
    /// The line has the account marker and cannot be parsed; none of its counts are added.
    pub fn take(&mut self, line: &str) -> Result<(), NotALine> {
        let mut tokens = line.split_ascii_whitespace().skip_while(|token| *token != LINE_MARKER);
        if tokens.next().is_none() {
            return Ok(());
        }
        let invalid = |at: &str| NotALine { at: at.to_owned() };
        let mut second = None;
        let mut account = Account::default();
        for token in tokens {
            let (name, count) = token.split_once('=').ok_or_else(|| invalid(token))?;
            let count: u64 = count.parse().map_err(|_| invalid(token))?;
            match Kind::ALL.iter().find(|kind| kind.name() == name) {
                Some(kind) => account.add(*kind, count),
                None if name == "at" => second = Some(count),
                None => return Err(invalid(token)),
            }
        }
        let second_total = self.seconds.entry(second.ok_or_else(|| invalid("at"))?).or_default();
        Kind::ALL.iter().for_each(|kind| second_total.add(*kind, account.count(*kind)));
        Ok(())
    }

    /// Total of a kind over all proxies and seconds.
    pub fn total(&self, kind: Kind) -> u64 {
        self.seconds.values().map(|account| account.count(kind)).sum()
    }

    /// Maximum of a kind in any one second, summed over all proxies.
    pub fn peak(&self, kind: Kind) -> u64 {
        self.seconds.values().map(|account| account.count(kind)).max().unwrap_or(0)
    }

    /// Renders a Markdown table. Each kind with a non-zero total has a row: the total, the peak in one second, and the sums over
    /// consecutive intervals of `every` seconds (at least 1) from the first second on.
    pub fn table(&self, every: u64) -> String {
        let every = every.max(1);
        let (Some(first), Some(last)) = (self.seconds.keys().next(), self.seconds.keys().last()) else {
            return String::new();
        };
        let interval_count = (last - first) / every + 1;
        let mut table = String::from("| what | total | peak a second |");
        // Writing to a `String` cannot fail.
        (0..interval_count).for_each(|interval| _ = write!(table, " {} s |", interval * every));
        table.push_str("\n| --- |");
        (0..interval_count + 2).for_each(|_| table.push_str(" ---: |"));
        table.push('\n');
        for kind in Kind::ALL.iter().filter(|kind| self.total(**kind) > 0) {
            let _ = write!(table, "| {} | {} | {} |", kind.name(), self.total(*kind), self.peak(*kind));
            for interval in 0..interval_count {
                let from = first + interval * every;
                let within = self.seconds.range(from..from + every);
                let _ = write!(table, " {} |", within.map(|(_, account)| account.count(*kind)).sum::<u64>());
            }
            table.push('\n');
        }
        table
    }
}
