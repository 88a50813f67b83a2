//! What each of many proxies must do for the sake of all. Proxies share nothing, so each takes its part of what is scarce
//! by what it is told (how many there are) and by what it meets (how often there was no room).
#![forbid(unsafe_code)]

mod idle_timeout;

pub use idle_timeout::Jitter;

/// A span in nanoseconds.
pub type Nanos = u64;
