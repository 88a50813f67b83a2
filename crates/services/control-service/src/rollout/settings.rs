//! The `[rollout]` section of the settings file.

use rushquay_endpoints::Nanos;
use rushquay_membership::{MembershipTimeouts, SECOND};
use rushquay_rollout::Bounds;
use serde::Deserialize;
use std::time::Duration;

/// `[rollout]` of the settings file. If it is present, the service tracks proxies and accepts rollouts.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// A proxy that reported within this many seconds counts as serving.
    pub late_s: f64,
    /// Seconds within which a proxy that ended should have restarted.
    pub restart_s: f64,
    /// Seconds of absence after which a proxy is removed from the membership.
    pub retire_s: f64,
    /// The maximum number of members.
    pub most: usize,
    /// The period of the rollout controller in milliseconds, 100 to 60000.
    pub look_ms: u64,
    /// The probability that a rollout is stopped although its config version is no worse.
    pub alpha: f64,
    /// The probability that a stage passes although the new config version is worse than allowed.
    pub beta: f64,
    /// The factor by which the new config version's rate of bad outcomes may exceed that of the old...
    pub times: f64,
    /// ...plus this share of all requests.
    pub beyond: f64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        let (timeouts, bounds) = (MembershipTimeouts::default(), Bounds::default());
        let seconds = |span: Nanos| span as f64 / SECOND as f64;
        RolloutSettings {
            late_s: seconds(timeouts.late),
            restart_s: seconds(timeouts.restart),
            retire_s: seconds(timeouts.retire),
            most: timeouts.max_members,
            look_ms: 1000,
            alpha: bounds.alpha,
            beta: bounds.beta,
            times: bounds.times,
            beyond: bounds.beyond,
        }
    }
}

impl RolloutSettings {
    /// The first field that is out of range, and the expected range.
    pub(crate) fn out_of_range(&self) -> Option<(&'static str, String)> {
        let spans = [("late_s", self.late_s), ("restart_s", self.restart_s), ("retire_s", self.retire_s)];
        let span = spans.into_iter().find(|(_, seconds)| !(0.1..=2_592_000.0).contains(seconds));
        let span =
            span.map(|(name, seconds)| (name, format!("seconds from 0.1 to 2592000, found {seconds}")));
        let probabilities = [("alpha", self.alpha), ("beta", self.beta)];
        let probability = probabilities.into_iter().find(|(_, p)| !(1e-9..=0.5).contains(p));
        let probability =
            probability.map(|(name, p)| (name, format!("a chance from 1e-9 to 0.5, found {p}")));
        let times =
            (!(1.0..=100.0).contains(&self.times)).then(|| ("times", "a number from 1 to 100".into()));
        let beyond = (!(0.0..=1.0).contains(&self.beyond)).then(|| ("beyond", "a part from 0 to 1".into()));
        let most = (!(1..=1_000_000).contains(&self.most)).then(|| ("most", "1 to 1000000".into()));
        let period = (!(100..=60_000).contains(&self.look_ms)).then(|| ("look_ms", "100 to 60000".into()));
        span.or(probability).or(times).or(beyond).or(most).or(period)
    }

    /// The period of the rollout controller.
    pub(crate) fn period(&self) -> Duration {
        Duration::from_millis(self.look_ms)
    }

    pub(super) fn timeouts(&self) -> MembershipTimeouts {
        let nanos = |seconds: f64| (seconds * SECOND as f64) as Nanos;
        let (late, restart, retire) = (nanos(self.late_s), nanos(self.restart_s), nanos(self.retire_s));
        MembershipTimeouts { late, restart, retire, max_members: self.most }
    }

    pub(super) fn bounds(&self) -> Bounds {
        let RolloutSettings { alpha, beta, times, beyond, .. } = *self;
        Bounds { alpha, beta, times, beyond, ..Bounds::default() }
    }
}
