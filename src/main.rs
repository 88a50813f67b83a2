//! The real proxy: starts it as the environment says, rereads its file on SIGHUP, and ends it on SIGTERM or SIGINT.
#![forbid(unsafe_code)]

mod net;

use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};

async fn run() -> Result<(), String> {
    // Danger: until it is handled this signal ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let config = net::config::Config::from_env()?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    net::server::run(config, stop, hangup).await
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match tokio::task::LocalSet::new().run_until(run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            net::log(e);
            ExitCode::FAILURE
        }
    }
}
