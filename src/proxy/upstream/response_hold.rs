//! The beginning of a response while it is held: the attempt that reads it and the engine share it.

use crate::proxy::http::request_body::steady_nanos;
use rushquay_stream_progress::{Framing, Hold, Nanos};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Whether the beginning of an attempt's response is held, and the means to have it passed on at once.
#[derive(Default)]
pub struct ResponseHold {
    /// Since when it has been held; `None`: there is no response that can be passed on before its end.
    since: Cell<Option<Nanos>>,
    /// How long it was held before it was passed on; zero if it was not.
    held_for: Cell<Duration>,
    release: Notify,
}

impl ResponseHold {
    /// Begins to hold a response whose head has just come; `None`: it has to be complete before it is passed on.
    pub fn begin(&self, framing: Framing, answer_due: Nanos) -> Option<Hold> {
        let head_at = steady_nanos();
        let hold = Hold::of(framing, head_at, answer_due)?;
        self.since.set(Some(head_at));
        Some(hold)
    }

    /// Returns when what has come must be passed on.
    pub async fn ended(&self, hold: Hold) {
        tokio::select! {
            () = sleep(Duration::from_nanos(hold.until.saturating_sub(steady_nanos()))) => {}
            () = self.release.notified() => {}
        }
    }

    /// Records that the response is passed on before its end.
    pub fn record_pass_on(&self) {
        let since = self.since.get().unwrap_or_else(steady_nanos);
        self.held_for.set(Duration::from_nanos(steady_nanos() - since));
    }

    /// Returns whether a response is held that is going to be passed on before its client's time ends.
    pub fn is_holding(&self) -> bool {
        self.since.get().is_some()
    }

    /// Has the held beginning passed on at once. Returns false if there is none.
    pub fn release(&self) -> bool {
        if self.is_holding() {
            self.release.notify_one();
        }
        self.is_holding()
    }

    /// Returns for how long the response was held before it was passed on.
    pub fn held_for(&self) -> Duration {
        self.held_for.get()
    }
}
