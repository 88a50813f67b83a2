//! Start times of endpoints, on the clock of this process.
//!
//! Discovery gives starts as Unix time, and this process takes its Unix time from a wall clock that may have been
//! stepped by an hour or more when it was read. Taken literally, an endpoint that has just started would pass for a
//! warm one, and be overloaded; or for one that starts in the future, and be spared for an hour.

use crate::{Endpoint, Nanos};
use std::collections::HashMap;

/// Wall clocks of healthy machines differ by less than this.
const MIN_CLOCK_STEP: Nanos = 30_000_000_000;
/// An endpoint that is new in the list started at most this long before the first list that names it: discovery
/// learns of starts late, by several seconds.
const MAX_START_DELAY: Nanos = 30_000_000_000;

/// The most endpoints remembered at once: they come and go for as long as the process lives.
const MAX_KNOWN: usize = 20_000;

/// A start as reported, and on this process's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    reported: Nanos,
    local: Nanos,
}

/// Start times of endpoints, on the clock of this process.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: HashMap<String, Start>,
    /// How far this process's clock is ahead of the one that dates starts; 0: as far as is known not at all.
    ahead: i64,
    /// The same as a single start suggests it.
    suspected: Option<i64>,
    /// When the last list was applied; `None`: none was.
    last_list: Option<Nanos>,
}

impl StartTimes {
    /// Records that a response of discovery was made at this Unix time, by its own clock. Returns whether the
    /// difference of the two clocks is another than was known.
    pub fn dated(&mut self, date: Nanos, now: Nanos) -> bool {
        let ahead = now as i64 - date as i64;
        let ahead = if ahead.unsigned_abs() < MIN_CLOCK_STEP { 0 } else { ahead };
        let has_changed = ahead.abs_diff(self.ahead) >= MIN_CLOCK_STEP;
        if has_changed {
            self.ahead = ahead;
        }
        has_changed
    }

    /// How far this process's clock is ahead, in nanoseconds.
    pub fn ahead(&self) -> i64 {
        self.ahead
    }

    /// Converts the starts of a list, whole or incremental, to this process's clock.
    pub fn take(&mut self, endpoints: &mut [Endpoint], now: Nanos) {
        for endpoint in endpoints {
            endpoint.started = self.local_start(&endpoint.id, endpoint.started, now);
        }
        self.last_list = Some(now);
    }

    fn local_start(&mut self, id: &str, reported: Nanos, now: Nanos) -> Nanos {
        if reported == 0 {
            return 0;
        }
        if let Some(start) = self.known.get(id).filter(|s| s.reported == reported) {
            return start.local;
        }
        let is_plausible = self.is_plausible(reported, now);
        if self.known.len() >= MAX_KNOWN {
            self.known.clear();
        }
        // Nothing starts in the future. An implausible start is taken for a start at this moment: the endpoint gets
        // the whole slow start.
        let local = if is_plausible { reported.saturating_add_signed(self.ahead).min(now) } else { now };
        self.known.insert(id.to_owned(), Start { reported, local });
        local
    }

    /// Whether a start that is new in the list is plausible: it lies between the previous list, less the delay with
    /// which discovery learns of starts, and now. Two implausible starts that agree in the difference show how far
    /// the clocks differ.
    fn is_plausible(&mut self, reported: Nanos, now: Nanos) -> bool {
        let local = reported.saturating_add_signed(self.ahead);
        let earliest = self.last_list.map_or(0, |last_list| last_list.saturating_sub(MAX_START_DELAY));
        let is_plausible =
            local <= now.saturating_add(MIN_CLOCK_STEP) && local.saturating_add(MIN_CLOCK_STEP) >= earliest;
        if !is_plausible {
            let ahead = now as i64 - reported as i64;
            match self.suspected.replace(ahead) {
                Some(before) if before.abs_diff(ahead) < MIN_CLOCK_STEP => self.ahead = ahead,
                _ => {}
            }
        }
        is_plausible
    }
}
