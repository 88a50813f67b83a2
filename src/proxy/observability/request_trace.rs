//! A trace of each request, attempt and connection: one line per event to standard error. Disabled unless `PROXY_TRACE` is set; while
//! disabled, an event costs one check of a flag.

use crate::api::{ServerId, Status};
use rushquay_admin::{Cause, NodeCloseCause, TurnedAway};
use rushquay_invariants::{CloseCause, Label, SendDenied};
use std::cell::Cell;
use std::fmt;
use std::io::Write as _;
use std::time::{Duration, Instant};

/// Enables the trace, whatever its value.
const VARIABLE: &str = "PROXY_TRACE";

thread_local! {
    // A proxy runs on one thread.
    static START: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// A traced event. Requests are identified by their X-Correlation-Id, connections by their number in this process.
pub enum Event<'a> {
    /// The process has entered this state.
    State { state: &'static str },
    /// A client's connection was accepted.
    Connected { connection: u64 },
    /// A client's connection has ended.
    Closed { connection: u64, cause: CloseCause },
    /// A request was read.
    Read { request: &'a str, connection: u64, class: &'a str, left_ms: u64, waited_ms: u64 },
    /// A request or a connection was rejected before the class of the request was known.
    TurnedAway { connection: u64, reason: TurnedAway },
    /// An attempt was handed to a connection.
    Attempt { request: &'a str, number: usize, node: ServerId, after: Option<Cause> },
    /// An attempt was denied by the last check before it was sent.
    Denied { request: &'a str, node: ServerId, denied: SendDenied },
    /// An attempt has ended.
    Ended { request: &'a str, number: usize, node: ServerId, status: Status },
    /// An attempt is about to be written to this connection to a node, which has carried `uses` requests before. `rested`: the time since
    /// its last response.
    Carried { request: &'a str, node: ServerId, connection: u64, uses: u32, rested: Option<Duration> },
    /// The head of a response came, or (status 0) none will. `waited`: the time from the last byte written to the first byte read.
    Response { request: &'a str, connection: u64, status: u16, waited: Option<Duration> },
    /// A response is passed on before its end, of which `bytes` have come and were held for this long.
    PassedOn { request: &'a str, connection: u64, bytes: usize, held: Duration },
    /// A response that was passed on before its end has ended: whole, or else because its node or its client stopped or left.
    PassedOnEnd { connection: u64, is_whole: bool },
    /// A node sent bytes on a connection without an outstanding request, this long after its last response.
    Unsolicited { node: ServerId, connection: u64, delay: Duration },
    /// A connection to a node was closed.
    NodeClosed { node: ServerId, connection: u64, uses: u32, cause: NodeCloseCause },
    /// A request has its final answer; `after` is the cause of a rejection or a failure.
    Answered { request: &'a str, status: u16, after: Option<Cause> },
    /// The client of a request has disconnected.
    Gone { request: &'a str },
    /// An endpoint list was applied.
    List { entries: usize },
    /// An entry of that list.
    Listed { node: ServerId, state: &'static str, started: u64 },
}

/// A duration in whole microseconds; `-` if there is none.
struct Micros(Option<Duration>);

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(duration) => write!(f, "{}", duration.as_micros()),
            None => f.write_str("-"),
        }
    }
}

fn name(cause: &Option<Cause>) -> &'static str {
    cause.map_or("first", Label::name)
}

impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::State { state } => write!(f, "state {state}"),
            Event::Connected { connection } => write!(f, "connected connection={connection}"),
            Event::Closed { connection, cause } => {
                write!(f, "closed connection={connection} cause={}", cause.name())
            }
            Event::Read { request, connection, class, left_ms, waited_ms } => write!(
                f,
                "read request={request} connection={connection} class={class} left_ms={left_ms} waited_ms={waited_ms}"
            ),
            Event::TurnedAway { connection, reason } => {
                write!(f, "turned_away connection={connection} reason={}", reason.name())
            }
            Event::Attempt { request, number, node, after } => {
                write!(f, "attempt request={request} number={number} node={node:016x} after={}", name(after))
            }
            Event::Denied { request, node, denied } => {
                write!(f, "denied request={request} node={node:016x} cause={}", denied.name())
            }
            Event::Ended { request, number, node, status } => {
                write!(f, "ended request={request} number={number} node={node:016x} status={status:?}")
            }
            Event::Carried { request, node, connection, uses, rested } => write!(
                f,
                "carried request={request} node={node:016x} node_connection={connection} uses={uses} rested_us={}",
                Micros(*rested)
            ),
            Event::Response { request, connection, status, waited } => write!(
                f,
                "response request={request} node_connection={connection} status={status} waited_us={}",
                Micros(*waited)
            ),
            Event::PassedOn { request, connection, bytes, held } => write!(
                f,
                "passed_on request={request} node_connection={connection} bytes={bytes} held_us={}",
                Micros(Some(*held))
            ),
            Event::PassedOnEnd { connection, is_whole } => {
                write!(f, "passed_on_end node_connection={connection} whole={is_whole}")
            }
            Event::Unsolicited { node, connection, delay } => write!(
                f,
                "unsolicited node={node:016x} node_connection={connection} delay_us={}",
                Micros(Some(*delay))
            ),
            Event::NodeClosed { node, connection, uses, cause } => write!(
                f,
                "node_closed node={node:016x} node_connection={connection} uses={uses} cause={}",
                cause.name()
            ),
            Event::Answered { request, status, after } => {
                write!(f, "answered request={request} status={status}")?;
                after.map_or(Ok(()), |after| write!(f, " after={}", after.name()))
            }
            Event::Gone { request } => write!(f, "gone request={request}"),
            Event::List { entries } => write!(f, "list entries={entries}"),
            Event::Listed { node, state, started } => {
                write!(f, "listed node={node:016x} state={state} started={started}")
            }
        }
    }
}

/// Starts the trace if the environment enables it.
pub fn start() {
    if std::env::var_os(VARIABLE).is_some() {
        START.set(Some(Instant::now()));
    }
}

/// Writes an event if the trace is enabled.
pub fn event<'a>(event: impl FnOnce() -> Event<'a>) {
    if let Some(start) = START.get() {
        let _ =
            writeln!(std::io::stderr(), "rushquay: trace {:.6} {}", start.elapsed().as_secs_f64(), event());
    }
}
