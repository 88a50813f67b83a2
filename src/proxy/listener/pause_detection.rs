//! Detects pauses of this process (SIGSTOP, or no processor time). Requests that arrive during a pause are read after it, but their
//! deadline runs from an arrival that was not observed; the last time at which the process is known to have run is taken instead.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval of the ticks that show that the process is running.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// A tick that is later than this indicates a pause.
const MAX_TICK_DELAY: Duration = Duration::from_millis(50);
/// Input that is read within this time after a pause may have arrived during it.
const CATCH_UP_TIME: Duration = Duration::from_millis(10);

#[derive(Clone, Copy)]
struct Pause {
    from: Instant,
    to: Instant,
}

thread_local! {
    // Thread-local, since a proxy runs on one thread.
    static LAST_TICK: Cell<Option<Instant>> = const { Cell::new(None) };
    static LAST_PAUSE: Cell<Option<Pause>> = const { Cell::new(None) };
}

/// Detects pauses for as long as the process runs.
pub async fn detect_pauses() {
    loop {
        record_tick(Instant::now());
        sleep(TICK_INTERVAL).await;
    }
}

/// Records that the process is running now.
fn record_tick(now: Instant) {
    if let Some(from) = LAST_TICK.replace(Some(now)) {
        if now.saturating_duration_since(from) > TICK_INTERVAL + MAX_TICK_DELAY {
            LAST_PAUSE.set(Some(Pause { from, to: now }));
        }
    }
}

/// Returns the earliest time at which input that is read now may have arrived.
pub fn earliest_arrival(now: Instant) -> Instant {
    match (LAST_TICK.get(), LAST_PAUSE.get()) {
        // The pause has just ended, and no tick has recorded it yet.
        (Some(last_tick), _) if now.saturating_duration_since(last_tick) > TICK_INTERVAL + MAX_TICK_DELAY => {
            last_tick
        }
        (_, Some(pause)) if now.saturating_duration_since(pause.to) < CATCH_UP_TIME => pause.from,
        _ => now,
    }
}

#[cfg(test)]
mod tests;
