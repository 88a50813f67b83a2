//! Signals of the process as flags that are polled.
//!
//! A handler that wakes its process by writing to a self-pipe loses the signal if that write fails, and a runtime that reads the pipe
//! may treat an interrupted read as a fatal error. A flag that the handler sets and the process polls has neither problem.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How often a flag is polled; the reaction to a signal is late by up to this much.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Whether one of a set of signals has been received.
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

    /// A flag for SIGTERM and SIGINT, which ask the process to end.
    ///
    /// # Errors
    /// The signal handler cannot be registered.
    pub fn terminate() -> Result<Self, String> {
        Self::on(&[SIGTERM, SIGINT]).map_err(|e| format!("SIGTERM: {e}"))
    }

    /// A flag for SIGHUP, which asks the process to reread its settings.
    ///
    /// # Errors
    /// The signal handler cannot be registered.
    pub fn reload() -> Result<Self, String> {
        Self::on(&[SIGHUP]).map_err(|e| format!("SIGHUP: {e}"))
    }

    /// Returns once a signal has been received since the last call returned.
    pub async fn raised(&self) {
        while !self.0.swap(false, Ordering::SeqCst) {
            sleep(POLL_INTERVAL).await;
        }
    }
}
