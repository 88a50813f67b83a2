//! Converts the start times of endpoints to the clock of this process.
//!
//! Discovery reports start times as Unix time, while this process derives its Unix time from a wall clock that may have
//! been wrong by an hour or more when it was read. Without a conversion, an endpoint that has just started could count
//! as warm and be overloaded, or could appear to start in the future and get too little load for an hour.

use crate::{Endpoint, Nanos};
use std::collections::HashMap;

/// Smallest difference between two clocks that counts as a step; the wall clocks of healthy machines differ by less.
const MIN_CLOCK_STEP: Nanos = 30_000_000_000;
/// Maximum time between the start of an endpoint and the first list with that start: discovery learns of starts several
/// seconds late.
const MAX_START_DELAY: Nanos = 30_000_000_000;

/// Maximum number of endpoints remembered, as their ids change without bound over the life of the process.
const MAX_REMEMBERED: usize = 20_000;

/// A start time as reported, and converted to this process's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    reported: Nanos,
    local: Nanos,
}

/// Converts the start times of endpoints to the clock of this process.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The last start of each endpoint, by id.
    starts: HashMap<String, Start>,
    /// How far this process's clock is ahead of discovery's, in nanoseconds; 0: no step is known.
    ahead: i64,
    /// The value of `ahead` that the last implausible start suggests, until a second start confirms it.
    suspected_ahead: Option<i64>,
    /// When the last list was converted; `None`: none was.
    last_list_at: Option<Nanos>,
}

impl StartTimes {
    /// Records that discovery dated a response with this Unix time of its own clock. Returns whether the difference
    /// between the two clocks has changed.
    pub fn record_response_date(&mut self, date: Nanos, now: Nanos) -> bool {
        let ahead = now as i64 - date as i64;
        let ahead = if ahead.unsigned_abs() < MIN_CLOCK_STEP { 0 } else { ahead };
        let has_changed = ahead.abs_diff(self.ahead) >= MIN_CLOCK_STEP;
        if has_changed {
            self.ahead = ahead;
        }
        has_changed
    }

    /// How far this process's clock is ahead of discovery's, in nanoseconds.
    pub fn ahead(&self) -> i64 {
        self.ahead
    }

    /// Converts the start times of a list, whole or incremental, in place.
    pub fn convert(&mut self, endpoints: &mut [Endpoint], now: Nanos) {
        for endpoint in endpoints {
            endpoint.started = self.local_start(&endpoint.id, endpoint.started, now);
        }
        self.last_list_at = Some(now);
    }

    fn local_start(&mut self, id: &str, reported: Nanos, now: Nanos) -> Nanos {
        if reported == 0 {
            return 0;
        }
        if let Some(start) = self.starts.get(id).filter(|s| s.reported == reported) {
            return start.local;
        }
        let is_plausible = self.is_plausible(reported, now);
        if self.starts.len() >= MAX_REMEMBERED {
            self.starts.clear();
        }
        // Nothing starts in the future. An implausible start time is replaced by the present time, so that the endpoint
        // gets a complete slow start.
        let local = if is_plausible { reported.saturating_add_signed(self.ahead).min(now) } else { now };
        self.starts.insert(id.to_owned(), Start { reported, local });
        local
    }

    /// Whether a new start time is plausible: it is not later than `now`, and not earlier than the previous list minus
    /// [`MAX_START_DELAY`], give or take [`MIN_CLOCK_STEP`]. Two implausible start times in a row that suggest the same
    /// difference between the clocks establish it.
    fn is_plausible(&mut self, reported: Nanos, now: Nanos) -> bool {
        let local = reported.saturating_add_signed(self.ahead);
        let earliest =
            self.last_list_at.map_or(0, |last_list_at| last_list_at.saturating_sub(MAX_START_DELAY));
        let is_plausible =
            local <= now.saturating_add(MIN_CLOCK_STEP) && local.saturating_add(MIN_CLOCK_STEP) >= earliest;
        if !is_plausible {
            let ahead = now as i64 - reported as i64;
            match self.suspected_ahead.replace(ahead) {
                Some(before) if before.abs_diff(ahead) < MIN_CLOCK_STEP => self.ahead = ahead,
                _ => {}
            }
        }
        is_plausible
    }
}
