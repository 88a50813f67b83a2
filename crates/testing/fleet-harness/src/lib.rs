//! Many processes of the program on loopback: proxies in several data centres, control services on one store, stand-in nodes and
//! discovery, a relay on every leg between them, clients that ask all the while, and one [`EventLog`] of what was seen from
//! outside. For tests of what they do together while parts of the system fail.
//!
//! The same seed gives the same fleet, the same requests and the same draws of faults. What is asserted is what must hold
//! whatever the machine's load: never that something is quick.
#![forbid(unsafe_code)]

mod broken;
mod changes;
mod clients;
mod event_log;
mod fleet;
mod held;
mod http;
mod process;
mod shim;
mod strict;

pub use broken::{told, Broken, Part};
pub use changes::{in_order, phase, start, words};
pub use clients::{Clients, Count, Ended};
pub use event_log::{EventLog, Line};
pub use fleet::{Control, Fleet, Proxy, Shape, SPARE, ZONES};
pub use held::{two_at_once, Held};
pub use http::call;
pub use process::{skewed, Process};
pub use shim::Faults;
pub use strict::{Asked, Broken as BrokenPromise, Habit, StrictClients, HABITS};

use std::time::Duration;

/// A step that has not come by then is given up: far longer than any takes.
pub const LONG: Duration = Duration::from_secs(240);
