//! When an endpoint's process started, as a source states it.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// The start of an endpoint's process as its source states it: Unix time by the clock of whoever recorded it, and 0 if that is long ago or
/// unknown.
///
/// It names the incarnation: sources that state the same number mean the same process. It must not be compared with the time of this
/// process, whose clock may be another one; [`crate::StartTimes`] tells how long ago it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StatedStart(Nanos);

impl StatedStart {
    /// Long ago, or unknown.
    pub const UNKNOWN: StatedStart = StatedStart(0);

    /// The start that is stated as this Unix time in nanoseconds.
    pub const fn from_unix_nanos(nanos: Nanos) -> Self {
        StatedStart(nanos)
    }

    /// The number as stated: Unix time in nanoseconds.
    pub const fn unix_nanos(self) -> Nanos {
        self.0
    }

    /// Whether a source states when the process started.
    pub fn is_known(self) -> bool {
        self != StatedStart::UNKNOWN
    }
}
