//! A proxy on a thread of its own, for the demo and for tests that look at many at once.

use crate::proxy::config::Config;
use crate::proxy::process::signals::SignalFlag;
use crate::proxy::server;
use rushquay_control_service::Clocks;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// A running proxy. Dropping it drains it and waits until it has ended.
pub struct LocalProxy {
    /// Where clients connect.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Result<(), String>>>,
}

impl LocalProxy {
    /// Starts a proxy on the text of a configuration.
    ///
    /// # Errors
    /// What is wrong with the configuration, or an address that can't be listened on.
    pub fn start(config: &str) -> Result<Self, String> {
        Self::start_by(config, Clocks::default())
    }

    /// The same, by these clocks.
    ///
    /// # Errors
    /// The same.
    pub fn start_by(config: &str, clocks: Clocks) -> Result<Self, String> {
        let mut config = Config::parse(config, |_| None)?;
        config.clocks = clocks;
        let (told, addr) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| e.to_string())?;
            let run = async {
                let hangup = SignalFlag::hang_up()?;
                // Stopped on purpose or forgotten: both end it.
                let stop = async { drop(stopped.await) };
                let told = |addr| {
                    // The starter waits for it.
                    let _ = told.send(addr);
                };
                server::run(config, stop, hangup, told).await
            };
            tokio::task::LocalSet::new().block_on(&runtime, run)
        });
        match addr.recv() {
            Ok(addr) => Ok(LocalProxy { addr, stop: Some(stop), thread: Some(thread) }),
            Err(_) => match thread.join() {
                Ok(Err(e)) => Err(e),
                _ => Err("the proxy ended before it listened".into()),
            },
        }
    }
}

impl Drop for LocalProxy {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
