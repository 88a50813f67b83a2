//! When nodes started, on the clock of this process.
//!
//! Discovery tells starts as Unix time, and this process has its Unix time from a wall clock that may have been stepped when it was
//! read, by an hour or more. Taken as told, a node that has just started would pass for one that has long been warm, and be
//! pushed over; or for one that starts in the future, and be spared for an hour.

use crate::{Endpoint, Nanos};
use std::collections::HashMap;

/// Wall clocks of machines that are well differ by less than this.
const STEP_LEAST: Nanos = 30_000_000_000;
/// A node that is new in the list started at most so long before the list that was the first to name it: discovery hears of starts
/// late, by several seconds.
const HEARD_WITHIN: Nanos = 30_000_000_000;

/// Nodes come and go for as long as the process lives; so many of them are remembered at once.
const KNOWN_MOST: usize = 20_000;

/// A start as it was told, and on this process's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    told: Nanos,
    here: Nanos,
}

/// When nodes started, on the clock of this process.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: HashMap<String, Start>,
    /// How far this process's clock is ahead of the one that starts are told by; 0: as far as is known not at all.
    ahead: i64,
    /// The same as one start alone says it.
    suspected: Option<i64>,
    /// When the last list was taken; `None`: none was.
    listed: Option<Nanos>,
}

impl StartTimes {
    /// An answer of discovery was made at this Unix time, by its own clock. True: the two clocks differ otherwise than was known.
    pub fn dated(&mut self, date: Nanos, now: Nanos) -> bool {
        let ahead = now as i64 - date as i64;
        let ahead = if ahead.unsigned_abs() < STEP_LEAST { 0 } else { ahead };
        let differs = ahead.abs_diff(self.ahead) >= STEP_LEAST;
        if differs {
            self.ahead = ahead;
        }
        differs
    }

    /// How far this process's clock is ahead, in nanoseconds.
    pub fn ahead(&self) -> i64 {
        self.ahead
    }

    /// Takes a list, whole or of what has changed, and puts its starts on this process's clock.
    pub fn take(&mut self, members: &mut [Endpoint], now: Nanos) {
        for member in members {
            member.started = self.here(&member.id, member.started, now);
        }
        self.listed = Some(now);
    }

    fn here(&mut self, id: &str, told: Nanos, now: Nanos) -> Nanos {
        if told == 0 {
            return 0;
        }
        if let Some(start) = self.known.get(id).filter(|s| s.told == told) {
            return start.here;
        }
        let plausible = self.plausible(told, now);
        if self.known.len() >= KNOWN_MOST {
            self.known.clear();
        }
        // Nothing starts in the future. What can't be right is taken for a start at this moment: the node is spared for its whole time.
        let here = if plausible { told.saturating_add_signed(self.ahead).min(now) } else { now };
        self.known.insert(id.to_owned(), Start { told, here });
        here
    }

    /// Whether a start that is new in the list can be right: it lies between the list before, as late as discovery hears of it, and now.
    /// Two that can't be, and agree by how much, show how far the clocks differ.
    fn plausible(&mut self, told: Nanos, now: Nanos) -> bool {
        let here = told.saturating_add_signed(self.ahead);
        let earliest = self.listed.map_or(0, |listed| listed.saturating_sub(HEARD_WITHIN));
        let plausible = here <= now.saturating_add(STEP_LEAST) && here.saturating_add(STEP_LEAST) >= earliest;
        if !plausible {
            let ahead = now as i64 - told as i64;
            match self.suspected.replace(ahead) {
                Some(before) if before.abs_diff(ahead) < STEP_LEAST => self.ahead = ahead,
                _ => {}
            }
        }
        plausible
    }
}
