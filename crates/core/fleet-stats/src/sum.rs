//! The sum over all proxies.

use super::{Account, Kind, MARK};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// A line that begins like an account's and is none.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at:?} is no count of an account; give the lines as the proxies wrote them")]
pub struct NotALine {
    /// The word that can't be read.
    pub at: String,
}

/// The accounts of many proxies, by second.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    seconds: BTreeMap<u64, Account>,
}

impl Sum {
    /// Takes a line of a proxy's log; one that is no account's is passed over.
    ///
    /// # Errors
    /// An account's line that can't be read: nothing of it is taken.
    pub fn take(&mut self, line: &str) -> Result<(), NotALine> {
        let mut words = line.split_ascii_whitespace().skip_while(|w| *w != MARK);
        if words.next().is_none() {
            return Ok(());
        }
        let bad = |at: &str| NotALine { at: at.to_owned() };
        let mut second = None;
        let mut account = Account::default();
        for word in words {
            let (name, count) = word.split_once('=').ok_or_else(|| bad(word))?;
            let count: u64 = count.parse().map_err(|_| bad(word))?;
            match Kind::ALL.iter().find(|k| k.name() == name) {
                Some(kind) => account.add(*kind, count),
                None if name == "at" => second = Some(count),
                None => return Err(bad(word)),
            }
        }
        let all = self.seconds.entry(second.ok_or_else(|| bad("at"))?).or_default();
        Kind::ALL.iter().for_each(|k| all.add(*k, account.count(*k)));
        Ok(())
    }

    /// How many of a kind were counted over all proxies and seconds.
    pub fn total(&self, kind: Kind) -> u64 {
        self.seconds.values().map(|a| a.count(kind)).sum()
    }

    /// The most of a kind in one second, over all proxies.
    pub fn peak(&self, kind: Kind) -> u64 {
        self.seconds.values().map(|a| a.count(kind)).max().unwrap_or(0)
    }

    /// A table in Markdown: for each kind that was counted the total, the peak in a second, and spans of `every` seconds
    /// (at least 1) from the first one on.
    pub fn table(&self, every: u64) -> String {
        let every = every.max(1);
        let (Some(first), Some(last)) = (self.seconds.keys().next(), self.seconds.keys().last()) else {
            return String::new();
        };
        let spans = (last - first) / every + 1;
        let mut out = String::from("| what | total | peak a second |");
        // Writing to a string cannot fail.
        (0..spans).for_each(|s| _ = write!(out, " {} s |", s * every));
        out.push_str("\n| --- |");
        (0..spans + 2).for_each(|_| out.push_str(" ---: |"));
        out.push('\n');
        for kind in Kind::ALL.iter().filter(|k| self.total(**k) > 0) {
            let _ = write!(out, "| {} | {} | {} |", kind.name(), self.total(*kind), self.peak(*kind));
            for span in 0..spans {
                let from = first + span * every;
                let within = self.seconds.range(from..from + every);
                let _ = write!(out, " {} |", within.map(|(_, a)| a.count(*kind)).sum::<u64>());
            }
            out.push('\n');
        }
        out
    }
}
