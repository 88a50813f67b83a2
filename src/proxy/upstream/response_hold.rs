//! The beginning of a response while it is held: the attempt that reads it and the engine share it.

use crate::proxy::http::request_body::steady_nanos;
use rushquay_stream_progress::{hold_until, Framing, Nanos};
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
    /// Returns once the beginning of a response whose head has just come must be passed on; never returns if it has to be complete first.
    pub async fn ended(&self, framing: Framing, answer_due: Nanos) {
        let head_at = steady_nanos();
        let Some(until) = hold_until(framing, head_at, answer_due) else {
            return std::future::pending().await;
        };
        self.since.set(Some(head_at));
        tokio::select! {
            () = sleep(Duration::from_nanos(until.saturating_sub(head_at))) => {}
            () = self.release.notified() => {}
        }
        self.held_for.set(Duration::from_nanos(steady_nanos() - head_at));
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
