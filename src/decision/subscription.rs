//! The subscription to the endpoint list: when to subscribe, and the backoff after a failure.

use super::api::{Action, ListKind, Nanos};
use super::{Balancer, SECOND, SUBSCRIBE_TIMER};

/// Initial backoff, in seconds.
const INITIAL_BACKOFF_S: f64 = 0.4;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 8;
/// Minimum fraction of the backoff that is waited; the rest is jitter.
const MIN_BACKOFF_FRACTION: f64 = 0.2;

/// State of the subscription to the endpoint list.
pub(super) struct Subscription {
    is_active: bool,
    /// Whether a subscription was requested and no list has been received since.
    is_requested: bool,
    consecutive_failures: u32,
    /// Token of the last timer; timers with an older token are stale.
    timer_token: u64,
}

impl Default for Subscription {
    fn default() -> Self {
        Subscription {
            is_active: false,
            is_requested: false,
            consecutive_failures: 0,
            timer_token: SUBSCRIBE_TIMER,
        }
    }
}

impl Subscription {
    fn arm_timer(&mut self, delay: Nanos, actions: &mut Vec<Action>) {
        self.timer_token += 1;
        actions.push(Action::Timer { token: self.timer_token, delay });
    }
}

impl Balancer {
    /// Handles a failed call to discovery or a broken subscription; the last list stays in use.
    pub(super) fn on_subscription_lost(&mut self, actions: &mut Vec<Action>) {
        let subscription = &mut self.subscription;
        (subscription.is_active, subscription.is_requested) = (false, false);
        subscription.consecutive_failures = (subscription.consecutive_failures + 1).min(MAX_DOUBLINGS);
        self.subscribe_later(actions);
    }

    /// Updates the state of the subscription after a list was applied.
    pub(super) fn on_list_applied(&mut self, kind: ListKind, actions: &mut Vec<Action>) {
        let subscription = &mut self.subscription;
        if kind == ListKind::Cached && self.settings.must_subscribe {
            self.subscribe_later(actions);
        } else if subscription.is_requested {
            (subscription.is_requested, subscription.is_active) = (false, true);
            subscription.consecutive_failures = 0;
        }
    }

    /// Arms the timer of the next call to discovery. Jitter and exponential backoff prevent a fleet that lost
    /// discovery from calling it all at once.
    fn subscribe_later(&mut self, actions: &mut Vec<Action>) {
        let max_backoff = (self.settings.max_subscribe_delay / 3).max(SECOND) as f64;
        let doublings = self.subscription.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF_S * SECOND as f64 * f64::from(1u32 << doublings)).min(max_backoff);
        let delay =
            (backoff * (MIN_BACKOFF_FRACTION + (1.0 - MIN_BACKOFF_FRACTION) * self.rng.next_unit())) as Nanos;
        self.subscription.arm_timer(delay, actions);
    }

    pub(super) fn on_subscribe_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        let subscription = &mut self.subscription;
        if token != subscription.timer_token || subscription.is_active || !self.settings.must_subscribe {
            return;
        }
        actions.push(Action::Subscribe);
        subscription.is_requested = true;
        // If the answer is lost, subscribe again before the list counts as out of date.
        let delay = self.settings.max_subscribe_delay.max(2 * SECOND) / 5 * 4;
        subscription.arm_timer(delay, actions);
    }
}
