//! rushquay decides, for a proxy that spreads keys over cache servers before a slow origin, which server
//! gets each request. [`logic`] holds every decision, [`api`] its types, [`wire`] a text codec for
//! the adapter.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod allowance;
pub mod api;
pub mod logic;
pub mod proxy;
pub mod supervisor;
pub mod wire;

pub use logic::Balancer;
