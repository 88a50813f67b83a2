//! Rereads the settings on SIGHUP, and passes on those that take effect while the process runs.

use crate::proxy::config::Config;
use crate::proxy::process::signals::SignalFlag;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// How often unusable settings are read before giving up: the file may still be being written.
const MAX_READS: u32 = 10;
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// Handles SIGHUP for as long as the process runs; `new_addresses` receives the address of discovery.
pub async fn follow(hangup: SignalFlag, new_addresses: mpsc::UnboundedSender<SocketAddr>) {
    loop {
        hangup.raised().await;
        match reread_discovery().await {
            // Sending fails only when the proxy is ending.
            Ok(discovery) => drop(discovery.map(|discovery| new_addresses.send(discovery))),
            Err(e) => crate::proxy::log(format_args!("the settings stay as they are: {e}")),
        }
    }
}

/// Reads the address of discovery from the settings on disk, with retries.
async fn reread_discovery() -> Result<Option<SocketAddr>, String> {
    let mut reads = 0;
    loop {
        reads += 1;
        match read_on_thread().await {
            Err(e) if reads >= MAX_READS => return Err(e),
            Err(_) => sleep(READ_INTERVAL).await,
            read => return read,
        }
    }
}

/// Reads the settings on a separate, detached thread. Danger: the read blocks while the machine is short of descriptors; requests
/// must not wait for it, nor must the exit of the process.
async fn read_on_thread() -> Result<Option<SocketAddr>, String> {
    let (done, read) = oneshot::channel();
    let reading = move || {
        // The receiver is gone if the process is ending.
        let _ = done.send(Config::again().map(|config| config.discovery));
    };
    std::thread::Builder::new()
        .name("settings".into())
        .spawn(reading)
        .map_err(|e| format!("cannot start a thread: {e}"))?;
    read.await.unwrap_or_else(|_| Err("the thread that reads the settings has ended".into()))
}
