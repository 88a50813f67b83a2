//! Rereads the settings on SIGHUP, and passes on what takes effect while the process runs.

use crate::proxy::config::Config;
use crate::proxy::process::signals::SignalFlag;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

/// How often settings that cannot be used are read again: the file may still be being written.
const READS_MOST: u32 = 10;
const READ_EVERY: Duration = Duration::from_millis(150);

/// Handles signals for as long as the process runs; `moves` receives the new address of discovery.
pub async fn follow(hangup: SignalFlag, moves: mpsc::UnboundedSender<SocketAddr>) {
    loop {
        hangup.raised().await;
        match discovery_again().await {
            // The receiver is gone only when the proxy ends.
            Ok(discovery) => drop(discovery.map(|discovery| moves.send(discovery))),
            Err(e) => crate::proxy::log(format_args!("the settings stay as they are: {e}")),
        }
    }
}

/// The address of discovery by the settings on disk.
async fn discovery_again() -> Result<Option<SocketAddr>, String> {
    let mut reads = 0;
    loop {
        reads += 1;
        match read_aside().await {
            Err(e) if reads >= READS_MOST => return Err(e),
            Err(_) => sleep(READ_EVERY).await,
            read => return read,
        }
    }
}

/// Reads the settings on a thread of its own. Danger: where the machine is short of descriptors the reading waits, and no request may
/// wait with it; nor may the end of the process, which waits for no such thread.
async fn read_aside() -> Result<Option<SocketAddr>, String> {
    let (done, read) = oneshot::channel();
    let reading = move || {
        // Nobody waits for it where the process ends meanwhile.
        let _ = done.send(Config::again().map(|config| config.discovery));
    };
    std::thread::Builder::new()
        .name("settings".into())
        .spawn(reading)
        .map_err(|e| format!("a thread: {e}"))?;
    read.await.unwrap_or_else(|_| Err("the thread that reads them has ended".into()))
}
