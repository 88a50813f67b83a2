//! Latency objective and usual latency of each class.

use super::*;

/// What is known of a class's answers.
#[derive(Clone, Default)]
pub(super) struct Seen {
    pub(super) mean: f64,
    pub(super) spread: f64,
    pub(super) count: f64,
    /// The time left that most tries have, and how surely.
    pub(super) common_left: Nanos,
    pub(super) votes: u32,
}

impl Balancer {
    pub(super) fn usual(&self, class: usize) -> Seen {
        self.seen.get(class).cloned().unwrap_or_default()
    }

    /// The time to a request's aim. Most tries are first ones and given alike long; any other time left dates
    /// the request's beginning.
    pub(super) fn aim_left(&mut self, r: &Request, class: &Class) -> Nanos {
        let (index, remaining) = (r.class as usize, r.remaining);
        let aim = class.aim.min(remaining);
        // Danger: clients who come with little time left are no late repeats; where marks tell, these count.
        let first = self.settings.marks_retry && !r.retry;
        let Some(seen) = self.seen.get_mut(index) else { return aim };
        if seen.common_left.abs_diff(remaining) < class.deadline / 40 {
            seen.votes = (seen.votes + 1).min(50);
        } else if seen.votes == 0 {
            seen.common_left = remaining;
        } else {
            seen.votes -= 1;
        }
        if !first && seen.common_left.abs_diff(remaining) >= class.deadline / 40 {
            return aim.min(class.aim.saturating_sub(class.deadline.saturating_sub(remaining)));
        }
        aim
    }
}
