//! The machine's clocks, and a service clock that is not affected by wall-clock jumps.

use crate::sync::lock;
use rushquay_lease::{Clock, ClockReading, Nanos};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};

/// The time since the machine booted, including suspended time. All processes read the same value.
pub fn monotonic_nanos() -> Nanos {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as Nanos * rushquay_lease::SECOND + t.tv_nsec as Nanos
}

/// The id of the machine's current boot; empty if the kernel provides none.
pub fn boot_id() -> String {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    id.map(|id| id.trim().to_owned()).unwrap_or_default()
}

#[expect(clippy::disallowed_methods, reason = "the machine's wall clock, which `ServiceClock` makes even")]
fn unix_time() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}

/// The clocks that a service uses.
#[derive(Clone)]
pub struct Clocks {
    /// Monotonic time with an arbitrary epoch, including suspended time. Instances that share a file need the same epoch.
    pub monotonic: Arc<dyn Fn() -> Nanos + Send + Sync>,
    /// Unix time.
    pub wall: Arc<dyn Fn() -> Nanos + Send + Sync>,
}

impl Default for Clocks {
    /// The machine's own clocks.
    fn default() -> Self {
        Clocks { monotonic: Arc::new(monotonic_nanos), wall: Arc::new(unix_time) }
    }
}

impl Clocks {
    fn reading(&self) -> ClockReading {
        ClockReading { wall: (self.wall)(), steady: (self.monotonic)() }
    }
}

/// Unix time that advances steadily, regardless of jumps of the wall clock.
pub struct ServiceClock {
    clock: Mutex<Clock>,
    sources: Clocks,
}

impl ServiceClock {
    pub fn new(sources: Clocks) -> Self {
        ServiceClock { clock: Mutex::new(Clock::new(sources.reading())), sources }
    }

    /// Monotonic time.
    pub fn steady(&self) -> Nanos {
        (self.sources.monotonic)()
    }

    fn lock(&self) -> MutexGuard<'_, Clock> {
        lock(&self.clock)
    }

    /// Unix time.
    pub fn now(&self) -> Nanos {
        self.lock().now(self.sources.reading())
    }

    /// Logs a jump of the wall clock since the last check.
    pub fn check_for_jump(&self) {
        if let Some(jump) = self.lock().check_for_jump(self.sources.reading()) {
            let jump_s = jump as f64 / rushquay_lease::SECOND as f64;
            tracing::warn!(
                jump_s,
                "wall clock jumped; overrides keep their durations, a restart takes the new time"
            );
        }
    }

    /// The wall clock's lead over this clock in nanoseconds, and the number of its jumps.
    pub fn wall_offset(&self) -> (i64, u64) {
        self.lock().offset()
    }
}
