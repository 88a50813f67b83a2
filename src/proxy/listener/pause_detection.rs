//! Detects pauses of this process (SIGSTOP, no processor). Requests that arrive during a pause are read after it, and their deadline
//! runs from an arrival that was not observed; it is taken to be right after the last moment in which the process ran.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Interval of the ticks that show that the process runs.
const TICK: Duration = Duration::from_millis(25);
/// A tick that is overdue by this much shows a pause.
const OVERDUE: Duration = Duration::from_millis(50);
/// What is read within this time after a pause may have arrived during it.
const BEHIND: Duration = Duration::from_millis(10);

#[derive(Clone, Copy)]
struct Stall {
    from: Instant,
    to: Instant,
}

thread_local! {
    // A proxy runs on one thread.
    static RAN: Cell<Option<Instant>> = const { Cell::new(None) };
    static LAST: Cell<Option<Stall>> = const { Cell::new(None) };
}

/// Watches for pauses for as long as the process runs.
pub async fn watch() {
    loop {
        ran(Instant::now());
        sleep(TICK).await;
    }
}

/// Records that the process runs now.
fn ran(now: Instant) {
    if let Some(from) = RAN.replace(Some(now)) {
        if now.saturating_duration_since(from) > TICK + OVERDUE {
            LAST.set(Some(Stall { from, to: now }));
        }
    }
}

/// The earliest time at which input that is read now may have arrived.
pub fn earliest(now: Instant) -> Instant {
    match (RAN.get(), LAST.get()) {
        // The pause has just ended, and no tick has recorded it yet.
        (Some(ran), _) if now.saturating_duration_since(ran) > TICK + OVERDUE => ran,
        (_, Some(stall)) if now.saturating_duration_since(stall.to) < BEHIND => stall.from,
        _ => now,
    }
}

#[cfg(test)]
mod tests;
