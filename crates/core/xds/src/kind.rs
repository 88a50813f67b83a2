//! Resource types, and the names that a subscription matches.

use std::sync::Arc;

/// A resource type that this project serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// CDS: `envoy.config.cluster.v3.Cluster`.
    Cluster,
    /// EDS: `envoy.config.endpoint.v3.ClusterLoadAssignment`.
    Endpoints,
    /// LEDS: `envoy.config.endpoint.v3.LbEndpoint`, one endpoint per resource.
    Endpoint,
    /// LDS: `envoy.config.listener.v3.Listener`.
    Listener,
    /// RDS: `envoy.config.route.v3.RouteConfiguration`.
    Route,
    /// ECDS: `envoy.config.core.v3.TypedExtensionConfig`, which carries a proxy's settings.
    Extension,
}

/// The number of kinds.
pub const KINDS: usize = 6;

impl Kind {
    /// All kinds in make-before-break order ("Eventual consistency considerations"): a resource comes before those
    /// that refer to it.
    pub const ORDER: [Kind; KINDS] =
        [Kind::Cluster, Kind::Endpoints, Kind::Endpoint, Kind::Listener, Kind::Route, Kind::Extension];

    /// The type URL.
    pub fn type_url(self) -> &'static str {
        match self {
            Kind::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Endpoint => "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
            Kind::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
            Kind::Extension => "type.googleapis.com/envoy.config.core.v3.TypedExtensionConfig",
        }
    }

    /// The kind of a type URL; `None`: it is not served here.
    pub fn of(type_url: &str) -> Option<Kind> {
        Kind::ORDER.into_iter().find(|k| k.type_url() == type_url)
    }

    /// Whether a state-of-the-world answer holds all resources, so that one left out is removed ("Grouping Resources
    /// into Responses"); for these kinds a subscription without names means all of them.
    pub fn whole(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }

    /// Whether other resources refer to these by name, so that one may be removed only when nothing refers to it any
    /// more. Nothing refers to an endpoint: its removal must not wait.
    pub fn referred(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Endpoints | Kind::Route)
    }
}

/// The names that a subscription matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pattern {
    /// All names (`*`, or an empty subscription where [`Kind::whole`]).
    All,
    /// A glob collection, `xdstp://.../*`: all names with this prefix.
    Under(Arc<str>),
    /// One name.
    Name(Arc<str>),
}

impl Pattern {
    /// Parses a name of a request. Only a name of the `xdstp` scheme can be a glob.
    pub fn parse(name: &str) -> Self {
        match name.strip_suffix('*') {
            Some("") => Pattern::All,
            Some(start) if start.ends_with('/') && start.starts_with("xdstp://") => {
                Pattern::Under(start.into())
            }
            _ => Pattern::Name(name.into()),
        }
    }

    /// Whether it matches this name. A glob matches the names directly below it.
    pub fn matches(&self, name: &str) -> bool {
        match self {
            Pattern::All => true,
            Pattern::Under(start) => name.strip_prefix(&**start).is_some_and(|rest| !rest.contains('/')),
            Pattern::Name(own) => **own == *name,
        }
    }
}
