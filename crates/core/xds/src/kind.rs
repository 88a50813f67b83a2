//! The types of resources, and which names a subscription means.

use std::sync::Arc;

/// A type of resource that this project serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// CDS: `envoy.config.cluster.v3.Cluster`.
    Cluster,
    /// EDS: `envoy.config.endpoint.v3.ClusterLoadAssignment`.
    Endpoints,
    /// LEDS: `envoy.config.endpoint.v3.LbEndpoint`, one endpoint a resource.
    Endpoint,
    /// LDS: `envoy.config.listener.v3.Listener`.
    Listener,
    /// RDS: `envoy.config.route.v3.RouteConfiguration`.
    Route,
    /// ECDS: `envoy.config.core.v3.TypedExtensionConfig`, which carries a proxy's settings.
    Extension,
}

/// How many kinds there are.
pub const KINDS: usize = 6;

impl Kind {
    /// All kinds in make-before-break order ("Eventual consistency considerations"): what is referred to goes ahead
    /// of what refers to it.
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

    /// The kind of a type URL; `None`: none that is served here.
    pub fn of(type_url: &str) -> Option<Kind> {
        Kind::ORDER.into_iter().find(|k| k.type_url() == type_url)
    }

    /// Whether a state-of-the-world answer holds all resources, so that one left out is removed ("Grouping Resources
    /// into Responses"); this is also where no names mean all of them.
    pub fn whole(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }

    /// Whether others refer to these by name, so that one goes only when nothing names it any more. An endpoint is
    /// named by nobody: its removal must not wait.
    pub fn referred(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Endpoints | Kind::Route)
    }
}

/// Which names a subscription means.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pattern {
    /// All names (`*`, or nothing at all where [`Kind::whole`]).
    All,
    /// A glob collection, `xdstp://.../*`: all names that begin so.
    Under(Arc<str>),
    /// One name.
    Name(Arc<str>),
}

impl Pattern {
    /// Reads a name as it stands in a request. Only a name of the `xdstp` scheme can be a glob.
    pub fn parse(name: &str) -> Self {
        match name.strip_suffix('*') {
            Some("") => Pattern::All,
            Some(start) if start.ends_with('/') && start.starts_with("xdstp://") => {
                Pattern::Under(start.into())
            }
            _ => Pattern::Name(name.into()),
        }
    }

    /// Whether it means this name. A glob means what stands directly below it.
    pub fn matches(&self, name: &str) -> bool {
        match self {
            Pattern::All => true,
            Pattern::Under(start) => name.strip_prefix(&**start).is_some_and(|rest| !rest.contains('/')),
            Pattern::Name(own) => **own == *name,
        }
    }
}
