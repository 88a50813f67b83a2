//! The subscription to the endpoint list.

use super::*;

pub(super) const ASK: u64 = 2 << 56;

impl Balancer {
    /// Arms the next call to discovery. Jitter and doubling keep a fleet that lost it from calling as one.
    pub(super) fn ask_later(&mut self, actions: &mut Vec<Action>) {
        let most = (self.settings.must_ask_in / 3).max(SECOND) as f64;
        let wait = (0.4 * SECOND as f64 * f64::from(1u32 << self.failures.min(8))).min(most);
        let delay = (wait * (0.2 + 0.8 * self.chance())) as Nanos;
        self.ask_token += 1;
        actions.push(Action::Timer { token: self.ask_token, delay });
    }

    pub(super) fn ask_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token != self.ask_token || self.subscribed || !self.settings.must_ask {
            return;
        }
        actions.push(Action::Subscribe);
        self.asked = true;
        // Should the answer be lost, ask again before the list counts as known without it.
        self.ask_token += 1;
        let delay = self.settings.must_ask_in.max(2 * SECOND) / 5 * 4;
        actions.push(Action::Timer { token: self.ask_token, delay });
    }
}
