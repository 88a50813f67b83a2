//! What an incumbent holds by word of the control service, and the clock by which its overrides end.

use rushquay_endpoints::ControlSnapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A duration, or a time on a clock that the field names, in nanoseconds.
type Nanos = u64;

/// The control service's clock. An override ends at a time on it, whatever the clocks of the two processes read at their start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlClock {
    /// Unix time by that clock.
    pub unix_nanos: Nanos,
    /// The machine's monotonic clock, which both processes share, at that moment.
    pub monotonic_nanos: Nanos,
    /// Bound on the error; `None`: it was never measured, and the incumbent's own clock was taken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error_nanos: Option<Nanos>,
}

impl ControlClock {
    /// Returns Unix time by that clock at a later moment of the monotonic clock.
    pub fn at(&self, monotonic_nanos: Nanos) -> Nanos {
        self.unix_nanos + monotonic_nanos.saturating_sub(self.monotonic_nanos)
    }
}

/// What an incumbent holds by word of the control service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlHandover {
    /// The clock by which overrides end.
    pub clock: ControlClock,
    /// What was said of endpoints.
    pub view: ControlSnapshot,
}

impl ControlHandover {
    /// Drops the least restrictive statements until the rest takes at most this many bytes. Returns how many were dropped.
    pub(crate) fn truncate(&mut self, max_bytes: usize) -> usize {
        let all = self.view.statements.len();
        let statements = std::mem::take(&mut self.view.statements);
        let mut left = max_bytes.saturating_sub(encoded_size(self));
        self.view.statements = statements
            .into_iter()
            .map_while(|statement| {
                // With the comma that precedes it.
                left = left.checked_sub(encoded_size(&statement) + 1)?;
                Some(statement)
            })
            .collect();
        all - self.view.statements.len()
    }
}

/// The size of a value as JSON.
pub(crate) fn encoded_size(value: &impl Serialize) -> usize {
    // Values of plain fields can't fail to serialize.
    serde_json::to_vec(value).map_or(0, |json| json.len())
}

/// Reads what an incumbent hands over; `None`: nothing, or not in a known form.
pub(crate) fn valid_control(value: Value) -> Option<Box<ControlHandover>> {
    serde_json::from_value(value).ok().map(Box::new)
}
