//! Logging of the control service: filtered events to standard error, as text or JSON.

use clap::{Args, ValueEnum};
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{fmt, Layer};

/// The maximum number of events written. Danger: a fault that repeats endlessly would fill the storage of the log.
const MAX_EVENTS: u32 = 100_000;

#[derive(Args)]
pub struct EventArgs {
    /// Which events are logged: a level, or a comma-separated list of TARGET=LEVEL, such as rushquay_xds_grpc=warn,rushquay=info.
    #[arg(long, value_name = "FILTER", env = "RUSHQUAY_LOG", default_value = "rushquay=info")]
    log: String,
    /// The format of the log.
    #[arg(long, value_name = "FORM", env = "RUSHQUAY_LOG_FORM", default_value = "text")]
    log_form: Form,
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    /// A line of text each.
    Text,
    /// A JSON object each.
    Json,
}

/// Standard error, up to [`MAX_EVENTS`] events.
struct BoundedStderr;

impl Write for BoundedStderr {
    fn write(&mut self, event: &[u8]) -> std::io::Result<usize> {
        static WRITTEN: AtomicU32 = AtomicU32::new(0);
        if WRITTEN.fetch_add(1, Ordering::Relaxed) < MAX_EVENTS {
            std::io::stderr().write_all(event)?;
        }
        Ok(event.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl EventArgs {
    /// Starts logging.
    pub fn start(&self) -> Result<(), String> {
        let filter: Targets = self.log.parse().map_err(|e| format!("--log {}: {e}", self.log))?;
        let layer = fmt::layer().with_ansi(false).with_writer(|| BoundedStderr);
        let layer = match self.log_form {
            Form::Text => layer.boxed(),
            Form::Json => layer.json().flatten_event(true).boxed(),
        };
        tracing_subscriber::registry().with(layer.with_filter(filter)).try_init().map_err(|e| e.to_string())
    }
}
