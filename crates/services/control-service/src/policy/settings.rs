//! The settings of changes of policy, checked.

use rushquay_policy::{FallbackPolicy, LeaseTerms};
use serde::Deserialize;
use serde_json::Value;

type Nanos = u64;

const SECOND: f64 = 1e9;

/// `[policy]` of the settings file: its presence has the service give proxies leave and take changes of policy.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// A leave lasts so long, in seconds, by the proxy's clock: for so long a decision may wait for one that is down.
    pub leave_s: f64,
    /// Clocks run so many parts in a million fast or slow at the most.
    pub drift_ppm: u64,
    /// A change that is not decided after so many seconds is aborted.
    pub limit_s: f64,
    /// For so many seconds beyond its leave a proxy goes by the floor; then it serves nobody.
    pub floor_s: f64,
    /// What is waited for is looked at so often, in milliseconds, 20 to 10000.
    pub look_ms: u64,
    /// The floor before any policy names one: settings, or "nobody".
    pub floor: Value,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let (leave_s, drift_ppm, limit_s, floor_s, look_ms) = (10.0, 10_000, 120.0, 3600.0, 100);
        PolicySettings { leave_s, drift_ppm, limit_s, floor_s, look_ms, floor: "nobody".into() }
    }
}

impl PolicySettings {
    /// What a field is expected to hold, where one holds something else.
    pub(crate) fn fault(&self) -> Option<(&'static str, String)> {
        let within = |name, value: f64, from: f64, to: f64| {
            (!(from..=to).contains(&value))
                .then(|| (name, format!("seconds from {from} to {to}, found {value}")))
        };
        within("leave_s", self.leave_s, 0.5, 300.0)
            // A change that could not outlast one leave would never be made while anybody is down.
            .or(within("limit_s", self.limit_s, 2.0 * self.leave_s, 86_400.0))
            .or(within("floor_s", self.floor_s, 0.0, 2_592_000.0))
            .or((self.drift_ppm > 200_000).then(|| ("drift_ppm", "0 to 200000".into())))
            .or((!(20..=10_000).contains(&self.look_ms)).then(|| ("look_ms", "20 to 10000".into())))
            .or(FallbackPolicy::read(&self.floor).err().map(|e| ("floor", e.to_string())))
    }

    pub(super) fn terms(&self) -> LeaseTerms {
        let nanos = |seconds: f64| (seconds * SECOND) as Nanos;
        let (span, limit, floor) = (nanos(self.leave_s), nanos(self.limit_s), nanos(self.floor_s));
        LeaseTerms { span, drift_ppm: self.drift_ppm, limit, floor }
    }
}
