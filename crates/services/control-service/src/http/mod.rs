//! The admin page and API: `/status`, `/metrics`, `/healthz`, and versioned resources under `/v1`.

mod metrics;
mod overrides;
mod policy;
mod rejection;
mod report;
mod rollout;
mod server;
mod status;
mod versioned;

pub use server::{serve, serve_pages};
