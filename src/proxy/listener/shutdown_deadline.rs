//! When a process that shuts down gracefully ends, and by when it must have answered or refused what it has received.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Reserved before the end of the process to write the last responses; nothing more is read in this time.
pub const FINAL_WRITE_WINDOW: Duration = Duration::from_millis(50);
/// Beyond this a class's deadline does not delay the end of the process, which may be killed soon after.
pub const MAX_AWAITED_DEADLINE: Duration = Duration::from_secs(3);
/// How long a request body may take to arrive even if its head came too late for its whole deadline.
const MIN_BODY_TIME: Duration = Duration::from_millis(200);

/// The end of the process; unknown until graceful shutdown begins.
#[derive(Default)]
pub struct ShutdownDeadline(watch::Sender<Option<Instant>>);

impl ShutdownDeadline {
    /// Sets the end when graceful shutdown begins.
    pub fn set(&self, end: Instant) {
        self.0.send_replace(Some(end));
    }

    /// Returns how long from now an answer may take; `None`: the process is not shutting down.
    pub fn time_left(&self) -> Option<Duration> {
        let last_answer = (*self.0.borrow())? - FINAL_WRITE_WINDOW;
        Some(last_answer.saturating_duration_since(Instant::now()))
    }

    /// Returns when every request that was received completely must be answered.
    pub async fn answers_due(&self) {
        sleep_until(self.end().await - FINAL_WRITE_WINDOW).await;
    }

    /// Returns when a request must be refused unless its body has arrived completely. Danger: from its last byte on it may have its whole
    /// deadline, `time_limit`, which ends after the process does if the last byte arrives later than this. `began`: when its head arrived.
    pub async fn body_due(&self, began: Instant, time_limit: Duration) {
        let end = self.end().await;
        sleep_until(body_due_at(end, began, time_limit)).await;
    }

    async fn end(&self) -> Instant {
        let mut end = self.0.subscribe();
        let known = end.wait_for(Option::is_some).await;
        match known.ok().and_then(|end| *end) {
            Some(end) => end,
            // The sender outlives every request.
            None => std::future::pending().await,
        }
    }
}

/// See [`ShutdownDeadline::body_due`].
fn body_due_at(end: Instant, began: Instant, time_limit: Duration) -> Instant {
    let latest = end - 2 * FINAL_WRITE_WINDOW;
    let in_full = latest - time_limit.min(MAX_AWAITED_DEADLINE);
    in_full.max(began + MIN_BODY_TIME).min(latest)
}

#[cfg(test)]
mod tests;
