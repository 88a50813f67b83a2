//! A proxy on its own thread, for the demo and for tests that run several proxies in one process.

use crate::proxy::config::Config;
use crate::proxy::process::signals::SignalFlag;
use crate::proxy::server;
use rushquay_control_service::Clocks;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

/// A running proxy. Dropping it shuts the proxy down gracefully and waits until it has ended.
pub struct LocalProxy {
    /// Where clients connect.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Result<(), String>>>,
}

impl LocalProxy {
    /// Starts a proxy with the text of a configuration.
    ///
    /// # Errors
    /// The configuration is invalid, or the proxy cannot start, for example because its address cannot be listened on.
    pub fn start(config: &str) -> Result<Self, String> {
        Self::start_by(config, Clocks::default())
    }

    /// Starts a proxy with the text of a configuration and the given clocks.
    ///
    /// # Errors
    /// As for [`LocalProxy::start`].
    pub fn start_by(config: &str, clocks: Clocks) -> Result<Self, String> {
        let mut config = Config::parse(config, |_| None)?;
        config.clocks = clocks;
        let (addr_sender, addr) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| e.to_string())?;
            let run = async {
                let hangup = SignalFlag::reload()?;
                // Both a message and a dropped sender stop the proxy.
                let stop = async { drop(stopped.await) };
                let on_listening = |addr| {
                    // `start_by` waits for the address.
                    let _ = addr_sender.send(addr);
                };
                server::run(config, stop, hangup, on_listening).await
            };
            tokio::task::LocalSet::new().block_on(&runtime, run)
        });
        match addr.recv() {
            Ok(addr) => Ok(LocalProxy { addr, stop: Some(stop), thread: Some(thread) }),
            Err(_) => match thread.join() {
                Ok(Err(e)) => Err(e),
                _ => Err("the proxy ended before it started to listen".into()),
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
