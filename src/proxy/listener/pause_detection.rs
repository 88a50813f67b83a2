//! Moments in which this process stood still: stopped, or without a processor. What came meanwhile is read when it goes on, and its
//! time runs from when it came, which nobody has seen: at the latest it came right behind the last moment in which it ran.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The process is seen to run so often.
const TICK: Duration = Duration::from_millis(25);
/// A tick that is overdue by so much shows that it stood still.
const OVERDUE: Duration = Duration::from_millis(50);
/// What is read so long after it went on may have come while it stood.
const BEHIND: Duration = Duration::from_millis(10);

#[derive(Clone, Copy)]
struct Stall {
    from: Instant,
    to: Instant,
}

thread_local! {
    // A proxy is one thread.
    static RAN: Cell<Option<Instant>> = const { Cell::new(None) };
    static LAST: Cell<Option<Stall>> = const { Cell::new(None) };
}

/// Watches for stalls for as long as the process lives.
pub async fn watch() {
    loop {
        ran(Instant::now());
        sleep(TICK).await;
    }
}

/// The process runs at this moment.
fn ran(now: Instant) {
    if let Some(from) = RAN.replace(Some(now)) {
        if now.saturating_duration_since(from) > TICK + OVERDUE {
            LAST.set(Some(Stall { from, to: now }));
        }
    }
}

/// Since when what is read now may have been there.
pub fn earliest(now: Instant) -> Instant {
    match (RAN.get(), LAST.get()) {
        // It has just gone on, and nobody has looked yet.
        (Some(ran), _) if now.saturating_duration_since(ran) > TICK + OVERDUE => ran,
        (_, Some(stall)) if now.saturating_duration_since(stall.to) < BEHIND => stall.from,
        _ => now,
    }
}

#[cfg(test)]
mod tests;
