//! Rehearsals: scenarios of cache nodes, an origin, clients and faults, played in virtual time against the very decision
//! module that the proxy runs, and held against the four rules by books of their own.
#![forbid(unsafe_code)]

mod figures;
mod processes;
mod scenario;
mod traffic;
mod world;

pub use figures::{ClassFigures, Figures, Second};
pub use scenario::{Happening, Scenario, ScenarioError, What};
pub use world::play;
