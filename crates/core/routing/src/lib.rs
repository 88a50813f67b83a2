//! Which cluster a request goes to, and what is done to it on the way: Envoy's route configuration as a table that is
//! asked once a request. No I/O; chance is passed in.
//!
//! - [`Table`]: all virtual hosts; [`Table::find`] gives the route of a request.
//! - [`text`]: matches of texts, headers and query parameters.
//! - [`Route`], [`Action`]: what a match leads to. [`Mutations`]: changes of headers. [`Retries`]: when to try again.
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
pub use retry::{Ended, Retries};
pub use route::{Action, Clusters, Direct, Found, Importance, Matcher, PathMatch, Rewrite, Route, Weighted};
pub use table::{DomainError, Host, Table};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// A request as routes see it.
pub trait Head {
    /// `:authority`, or the `Host` header.
    fn authority(&self) -> &str;
    /// The path without its query.
    fn path(&self) -> &str;
    /// What stands behind the `?`; empty where nothing does.
    fn query(&self) -> &str;
    /// The method.
    fn method(&self) -> &str;
    /// All values of a header (its name in lower case), in order. One that isn't text counts as empty text.
    fn header<'a>(&'a self, name: &'a str) -> Box<dyn Iterator<Item = &'a str> + 'a>;
}
