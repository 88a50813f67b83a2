//! The `[policy]` section of the settings file.

use rushquay_endpoints::Nanos;
use rushquay_policy::{FallbackPolicy, LeaseTerms};
use serde::Deserialize;
use serde_json::Value;

const NANOS_PER_SECOND: f64 = 1e9;

/// `[policy]` of the settings file. If it is present, the service grants policy leases and accepts policy changes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Duration of a policy lease in seconds, by the proxy's clock. A decision may be delayed that long by a proxy that is down.
    pub leave_s: f64,
    /// Maximum drift of a clock, in parts per million.
    pub drift_ppm: u64,
    /// Seconds after which a change that is not decided is aborted.
    pub limit_s: f64,
    /// Seconds for which a proxy applies the fallback policy after its lease expires; after that it rejects all requests.
    pub floor_s: f64,
    /// The period of the policy controller in milliseconds, 20 to 10000.
    pub look_ms: u64,
    /// The fallback policy until a policy names one: settings, or "nobody".
    pub floor: Value,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let (leave_s, drift_ppm, limit_s, floor_s, look_ms) = (10.0, 10_000, 120.0, 3600.0, 100);
        PolicySettings { leave_s, drift_ppm, limit_s, floor_s, look_ms, floor: "nobody".into() }
    }
}

impl PolicySettings {
    /// The first field that is out of range, and the expected range.
    pub(crate) fn out_of_range(&self) -> Option<(&'static str, String)> {
        let within = |name, value: f64, from: f64, to: f64| {
            (!(from..=to).contains(&value))
                .then(|| (name, format!("seconds from {from} to {to}, found {value}")))
        };
        within("leave_s", self.leave_s, 0.5, 300.0)
            // A change that timed out within one lease could never be decided while a proxy is down.
            .or(within("limit_s", self.limit_s, 2.0 * self.leave_s, 86_400.0))
            .or(within("floor_s", self.floor_s, 0.0, 2_592_000.0))
            .or((self.drift_ppm > 200_000).then(|| ("drift_ppm", "0 to 200000".into())))
            .or((!(20..=10_000).contains(&self.look_ms)).then(|| ("look_ms", "20 to 10000".into())))
            .or(FallbackPolicy::read(&self.floor).err().map(|e| ("floor", e.to_string())))
    }

    pub(super) fn terms(&self) -> LeaseTerms {
        let nanos = |seconds: f64| (seconds * NANOS_PER_SECOND) as Nanos;
        let (lease, change, fallback) = (nanos(self.leave_s), nanos(self.limit_s), nanos(self.floor_s));
        LeaseTerms {
            lease_duration: lease,
            drift_ppm: self.drift_ppm,
            change_timeout: change,
            fallback_duration: fallback,
        }
    }
}
