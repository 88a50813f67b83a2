//! Request routing: Envoy's route configuration as a table that maps a request to a cluster and to the changes to make to the request
//! and its response.
//!
//! This crate neither parses route configurations nor forwards requests. It does no I/O and reads no clock; random numbers
//! are passed in by the caller.
//!
//! - [`Table`]: all virtual hosts of a route configuration; [`Table::find`] returns the route of a request.
//! - [`Route`], [`Action`]: a route and what it does with a request.
//! - [`text`]: string, header and query parameter matchers.
//! - [`Mutations`]: header mutations. [`RetryRules`]: the retry policy of a route.
//!
//! Source: Envoy's documentation, "HTTP route components" (`envoy/config/route/v3/route_components.proto`).
#![forbid(unsafe_code)]

mod headers;
mod index;
mod retry;
mod route;
mod table;
pub mod text;

pub use headers::{Append, Change, Mutations};
pub use retry::{RetryRules, RetryTrigger};
pub use route::{
    Action, Clusters, Direct, Found, Matcher, PathMatch, Rewrite, Route, RoutePriority, Weighted,
};
pub use table::{DomainError, Host, Table};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// The parts of a request that routes match on.
pub trait Head {
    /// The `:authority` pseudo-header or the `Host` header.
    fn authority(&self) -> &str;
    /// The path without the query string.
    fn path(&self) -> &str;
    /// The query string without the `?`; empty if there is none.
    fn query(&self) -> &str;
    /// The request method.
    fn method(&self) -> &str;
    /// All values of the header `name` (in lower case), in order. A value that is not valid text is returned as an empty
    /// string.
    fn header<'a>(&'a self, name: &'a str) -> Box<dyn Iterator<Item = &'a str> + 'a>;
}
