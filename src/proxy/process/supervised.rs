//! A proxy that a host has started: it gives the host signs of life, and knows which program it is.

use crate::proxy::log;
use rushquay_config_version::{ConfigVersion, Digest};
use rushquay_supervisor::Heartbeat;
use std::os::unix::net::UnixDatagram;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::interval;

/// The socket at which the host hears its processes.
pub const HOST: &str = "PROXY_HOST";
/// The digest of the program that this process is.
pub const PROGRAM: &str = "PROXY_PROGRAM";
/// The digest of the program that runs where no generation names one.
pub const OWN_PROGRAM: &str = "PROXY_OWN_PROGRAM";
/// The assignment by which this process begins.
pub const GIVEN: &str = "PROXY_GIVEN";

/// All that a host sets.
pub const ALL: [&str; 4] = [HOST, PROGRAM, OWN_PROGRAM, GIVEN];

/// Signs of life come so often.
const EVERY: Duration = Duration::from_millis(200);

/// What a host tells a process that it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Supervised {
    /// Where the host hears.
    pub socket: PathBuf,
    /// What this process is.
    pub runs: Digest,
    /// What runs where no generation names a program.
    pub own: Digest,
    /// What it begins by.
    pub given: Option<String>,
}

impl Supervised {
    /// What the environment says; `None`: no host has started this process.
    ///
    /// # Errors
    /// The variable that is missing or no digest.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Option<Self>, String> {
        let Some(socket) = variable(HOST) else { return Ok(None) };
        let digest = |name: &str| {
            let told = variable(name).ok_or(format!("{name} is not set, and {HOST} is"))?;
            told.parse::<Digest>().map_err(|e| format!("{name}: {e}"))
        };
        let (runs, own) = (digest(PROGRAM)?, digest(OWN_PROGRAM)?);
        Ok(Some(Supervised { socket: socket.into(), runs, own, given: variable(GIVEN) }))
    }

    /// Whether this process is the program that a generation asks for.
    pub fn is(&self, generation: &ConfigVersion) -> bool {
        generation.program().unwrap_or(self.own) == self.runs
    }

    /// Gives signs of life for good. Danger: the host may be away, or its socket full; nothing here waits for it.
    pub async fn send_heartbeats(socket: PathBuf, serves: impl Fn() -> bool) {
        let from = UnixDatagram::unbound().and_then(|s| s.set_nonblocking(true).map(|()| s));
        let from = match from {
            Ok(from) => from,
            Err(e) => return log(format_args!("no signs of life for the host: {e}")),
        };
        let mut tick = interval(EVERY);
        loop {
            tick.tick().await;
            let pulse = Heartbeat { pid: std::process::id(), yes: serves() };
            let _ = from.send_to(&pulse.bytes(), &socket);
        }
    }
}
