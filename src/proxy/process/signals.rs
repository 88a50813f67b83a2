//! Signals of the process as flags that are looked at.
//!
//! A handler that wakes its process by writing to a pipe of its own loses the signal where that write fails, and a runtime that reads
//! the pipe may take an interrupted read for the end of the world. A flag can do neither: the handler sets it, and it is looked at.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// A flag is looked at so often. What SIGTERM begins may be later by as much.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Whether one of some signals has come.
#[derive(Clone, Default)]
pub struct SignalFlag(Arc<AtomicBool>);

impl SignalFlag {
    fn on(signals: &[i32]) -> io::Result<Self> {
        let flag = SignalFlag::default();
        for signal in signals {
            signal_hook::flag::register(*signal, flag.0.clone())?;
        }
        Ok(flag)
    }

    /// SIGTERM or SIGINT: the process is to end.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn ending() -> Result<Self, String> {
        Self::on(&[SIGTERM, SIGINT]).map_err(|e| format!("SIGTERM: {e}"))
    }

    /// SIGHUP: settings are to be read again.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn hang_up() -> Result<Self, String> {
        Self::on(&[SIGHUP]).map_err(|e| format!("SIGHUP: {e}"))
    }

    /// Returns once a signal has come since the last time.
    pub async fn raised(&self) {
        while !self.0.swap(false, Ordering::SeqCst) {
            sleep(LOOK_EVERY).await;
        }
    }
}
