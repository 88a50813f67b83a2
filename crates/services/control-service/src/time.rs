//! The machine's clocks.

use rushquay_lease::{Clock, ClockReading, Nanos};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that counts from the machine's start, suspended times included, the same for all processes.
pub fn steady() -> Nanos {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as Nanos * rushquay_lease::SECOND + t.tv_nsec as Nanos
}

/// Names the machine's present start; empty where the machine doesn't say.
pub fn boot() -> String {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
    id.map(|id| id.trim().to_owned()).unwrap_or_default()
}

fn wall() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}

/// The clocks that a service goes by.
#[derive(Clone)]
pub struct Clocks {
    /// Counts from anywhere, suspended times included; instances that share a file need the same one.
    pub steady: Arc<dyn Fn() -> Nanos + Send + Sync>,
    /// Unix time.
    pub wall: Arc<dyn Fn() -> Nanos + Send + Sync>,
}

impl Default for Clocks {
    /// The machine's.
    fn default() -> Self {
        Clocks { steady: Arc::new(steady), wall: Arc::new(wall) }
    }
}

impl Clocks {
    fn reading(&self) -> ClockReading {
        ClockReading { wall: (self.wall)(), steady: (self.steady)() }
    }
}

/// Unix time that goes on evenly whatever the wall clock does.
pub struct ServiceClock(Mutex<Clock>, Clocks);

impl ServiceClock {
    pub fn new(clocks: Clocks) -> Self {
        ServiceClock(Mutex::new(Clock::new(clocks.reading())), clocks)
    }

    /// The clock that only counts.
    pub fn steady(&self) -> Nanos {
        (self.1.steady)()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Clock> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Nanos {
        self.lock().now(self.1.reading())
    }

    /// Says so where the wall clock jumped.
    pub fn look(&self) {
        if let Some(jump) = self.lock().look(self.1.reading()) {
            let seconds = jump as f64 / rushquay_lease::SECOND as f64;
            tracing::warn!(
                jump_s = seconds,
                "the wall clock jumped: overrides last as long as they were set for; a restart takes the new time"
            );
        }
    }

    /// How far the wall clock is ahead of this one, in nanoseconds, and how often it jumped.
    pub fn offset(&self) -> (i64, u64) {
        self.lock().offset()
    }
}
