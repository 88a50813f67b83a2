//! The process itself: its start, signals, its supervisor, and the hand-over to a new version.

pub(crate) mod handover;
pub mod signals;
pub(crate) mod startup;
pub mod supervised;
