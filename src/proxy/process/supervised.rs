//! A proxy that a host supervises: it sends heartbeats to the host, and knows the digest of the program that it runs.

use crate::proxy::log;
use rushquay_config_version::{ConfigVersion, Digest};
use rushquay_supervisor::Heartbeat;
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::interval;

/// Names the Unix socket at which the host receives heartbeats.
pub const HOST: &str = "PROXY_HOST";
/// The digest of the program that this process runs.
pub const PROGRAM: &str = "PROXY_PROGRAM";
/// The digest of the program that runs if a config version names none.
pub const OWN_PROGRAM: &str = "PROXY_OWN_PROGRAM";
/// The config assignment that this process starts with.
pub const GIVEN: &str = "PROXY_GIVEN";

/// All variables that a host sets.
pub const ALL: [&str; 4] = [HOST, PROGRAM, OWN_PROGRAM, GIVEN];

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// What a host passes to a process that it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Supervised {
    /// The socket at which the host receives heartbeats.
    pub socket: PathBuf,
    /// The digest of the program that this process runs.
    pub runs: Digest,
    /// The digest of the program that runs if a config version names none.
    pub own: Digest,
    /// The config assignment that this process starts with.
    pub given: Option<String>,
}

impl Supervised {
    /// Reads the environment; `None` if this process was not started by a host.
    ///
    /// # Errors
    /// Names the variable that is missing or not a digest.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Option<Self>, String> {
        let Some(socket) = variable(HOST) else { return Ok(None) };
        let digest = |name: &str| {
            let text = variable(name).ok_or(format!("{name} is not set, and {HOST} is"))?;
            text.parse::<Digest>().map_err(|e| format!("{name}: {e}"))
        };
        let (runs, own) = (digest(PROGRAM)?, digest(OWN_PROGRAM)?);
        Ok(Some(Supervised { socket: socket.into(), runs, own, given: variable(GIVEN) }))
    }

    /// Whether this process runs the program that a config version asks for.
    pub fn is(&self, generation: &ConfigVersion) -> bool {
        generation.program().unwrap_or(self.own) == self.runs
    }

    /// Sends heartbeats until the process ends. Danger: the host may be down or its socket full, so a send never blocks and its failure
    /// is ignored.
    pub async fn send_heartbeats(socket: PathBuf, serves: impl Fn() -> bool) {
        let sender = UnixDatagram::unbound().and_then(|s| s.set_nonblocking(true).map(|()| s));
        let sender = match sender {
            Ok(sender) => sender,
            Err(e) => return log(format_args!("cannot send heartbeats to the host: {e}")),
        };
        let mut tick = interval(HEARTBEAT_INTERVAL);
        loop {
            tick.tick().await;
            let heartbeat = Heartbeat { pid: std::process::id(), yes: serves() };
            let _ = sender.send_to(&heartbeat.bytes(), &socket);
        }
    }
}
