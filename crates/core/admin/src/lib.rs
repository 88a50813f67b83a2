//! What operators call and read: how a call is read, which of the waiting callers gives way, the ledger that each request
//! and attempt passes through once, and the text of the figures. No I/O and no clock: time is passed in.
#![forbid(unsafe_code)]

mod causes;
mod command;
mod connection_slots;
mod exposition;
mod label_counter;
mod request_metrics;

pub use causes::{Cause, NodeCloseCause, TurnedAway};
pub use command::{AdminCommand, CommandError, Line, LINE_MOST};
pub use connection_slots::{ConnectionSlots, Ticket};
pub use exposition::figures;
pub use label_counter::LabelCounter;
pub use request_metrics::{Counter, Entry, RequestMetrics, RequestOutcome, ServingState};
