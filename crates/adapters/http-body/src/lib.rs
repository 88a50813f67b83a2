//! Reads HTTP bodies into memory that is proportional to their bytes, whatever pieces they come in.
//!
//! A piece of a body is a slice of the read buffer that it arrived in, and keeps that whole buffer alive. A body of small pieces that are
//! kept as they come would therefore hold a read buffer for each of them.
#![forbid(unsafe_code)]

mod buffer;
mod collect;

pub use buffer::{detach, BodyBuffer};
pub use collect::{collect, CollectError};
