//! The proxy's admin protocol and request metrics.
//!
//! [`AdminCommand`] parses an operator's command, [`ConnectionSlots`] picks the waiting connection to evict,
//! [`RequestMetrics`] counts each request and attempt exactly once, and [`figures`] renders the metrics as text. The crate
//! does no I/O and reads no clock.
#![forbid(unsafe_code)]

mod causes;
mod clock_offsets;
mod command;
mod connection_slots;
mod exposition;
mod label_counter;
mod request_metrics;

pub use causes::{Cause, NodeCloseCause, StatementSource, TurnedAway};
pub use clock_offsets::{ClockOffsets, SignedGauge};
pub use command::{AdminCommand, CommandError, Line, LINE_MOST};
pub use connection_slots::{ConnectionSlots, Ticket};
pub use exposition::figures;
pub use label_counter::LabelCounter;
pub use request_metrics::{Counter, Entry, RequestMetrics, RequestOutcome, ServingState};
