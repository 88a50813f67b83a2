//! The effect of operators' overrides on an endpoint.

use crate::{Nanos, OverrideTime, Pin};
use serde::{Deserialize, Serialize};

/// The overrides in effect for an endpoint, with their ends, so that a proxy can let them expire without contacting the
/// control service. Times are Unix time in nanoseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Imposed {
    /// Start and end of the time out of service; 0 and 0: it is in service, and was not recently taken out.
    pub out: (Nanos, Nanos),
    /// Ends of weight factors, and the factors, in the order in which they apply: each applies once those before it have
    /// ended.
    pub weights: Vec<(Nanos, f64)>,
    /// Keys and classes that are pinned to it.
    pub pins: Vec<Pin>,
    /// Minimum time out of service, in nanoseconds, after which the endpoint returns with a cold cache.
    pub cold_after: Nanos,
    /// Whether it is out of service and its weight factor, as evaluated by the control service; for clients that cannot
    /// evaluate overrides.
    pub present: Option<(bool, f64)>,
}

/// The effect of an endpoint's overrides at one moment, except for its pins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverrideEffect {
    /// Whether it is out of service.
    pub is_out: bool,
    /// The weight factor.
    pub factor: f64,
    /// When it returned to service with a cold cache; `None`: it did not.
    pub cold_return_at: Option<OverrideTime>,
}

impl Imposed {
    /// Whether it is out of service at `now`: until the end, whenever that time began. Danger: by a clock that is behind that of the
    /// leader that took it out, it may begin in the future.
    pub fn is_out(&self, now: OverrideTime) -> bool {
        now.unix_nanos() < self.out.1
    }

    /// The weight factor at `now`.
    pub fn factor(&self, now: OverrideTime) -> f64 {
        let now = now.unix_nanos();
        self.weights.iter().find(|(until, _)| *until > now).map_or(1.0, |(_, factor)| *factor)
    }

    /// When it returned to service with a cold cache; `None`: it is out of service, or was out for too short a time.
    pub fn cold_return_at(&self, now: OverrideTime) -> Option<OverrideTime> {
        let now = now.unix_nanos();
        let (since, until) = self.out;
        let is_cold_return = until > 0 && until <= now && until.saturating_sub(since) >= self.cold_after;
        is_cold_return.then(|| OverrideTime::from_unix_nanos(until))
    }

    /// The effect of all overrides but the pins at `now`.
    pub fn effect(&self, now: OverrideTime) -> OverrideEffect {
        OverrideEffect {
            is_out: self.is_out(now),
            factor: self.factor(now),
            cold_return_at: self.cold_return_at(now),
        }
    }

    /// Whether nothing is said of overrides at all, not even of past ones.
    pub(crate) fn is_default(&self) -> bool {
        *self == Imposed::default()
    }

    /// Whether there are no overrides.
    pub fn is_empty(&self) -> bool {
        self.out == (0, 0) && self.weights.is_empty() && self.pins.is_empty()
    }
}
