//! The backend that serves requests: a single decision module on the proxy's own endpoint list, or the clusters of an Envoy
//! configuration.

use crate::api::ColdLeft;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::engine::Engine;
use crate::proxy::upstream::load_assignment::Pools;
use crate::proxy::upstream::Upstreams;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

/// The backend that serves requests.
#[derive(Clone)]
pub enum Backend {
    /// A single decision module serves all requests.
    One { engine: Rc<Engine>, upstreams: Rc<Upstreams>, nodes: Rc<EndpointFeed> },
    /// The route table chooses a cluster for each request.
    Pools(Rc<Pools>),
}

impl Backend {
    /// Returns whether a request could be served now.
    pub fn can_serve(&self) -> bool {
        match self {
            Backend::One { engine, .. } => engine.can_serve(),
            Backend::Pools(pools) => pools.can_serve(),
        }
    }

    /// Returns discovery's endpoint list for a successor; null if there is none.
    pub fn list(&self) -> Value {
        match self {
            // Serializing an endpoint list cannot fail.
            Backend::One { nodes, .. } => serde_json::to_value(nodes.discovered_list()).unwrap_or_default(),
            Backend::Pools(_) => Value::Null,
        }
    }

    /// Gives up the slow-start allowance for cold nodes, for a successor. Envoy clusters have none: an Envoy configuration does not
    /// say when a node's process started.
    pub fn give_cold(&self) -> Vec<ColdLeft> {
        match self {
            Backend::One { engine, .. } => engine.release_slow_start_allowance(),
            Backend::Pools(_) => Vec::new(),
        }
    }

    /// Takes over the slow-start allowance that the incumbent gave up.
    pub fn take_cold(&self, given: &[ColdLeft]) {
        if let Backend::One { engine, .. } = self {
            engine.inherit_slow_start_allowance(given);
        }
    }

    /// Returns the longest deadline of any class.
    pub fn longest(&self) -> Duration {
        match self {
            Backend::One { engine, .. } => engine.acting().longest(),
            Backend::Pools(pools) => pools.acting().longest(),
        }
    }

    /// Returns how many cache nodes are listed, and how many of them are avoided at present.
    pub fn members(&self) -> (usize, usize) {
        match self {
            Backend::One { engine, .. } => engine.endpoint_counts(),
            Backend::Pools(pools) => pools.members(),
        }
    }

    /// Closes the upstream connection that has been idle the longest. Returns false if no connection is idle.
    pub fn yield_idle(&self) -> bool {
        match self {
            Backend::One { upstreams, .. } => upstreams.yield_idle(),
            Backend::Pools(pools) => pools.yield_idle(),
        }
    }

    /// Closes idle connections that their peer has closed or that exceeded the idle timeout.
    pub fn sweep(&self) {
        match self {
            Backend::One { upstreams, .. } => upstreams.sweep(),
            Backend::Pools(pools) => pools.sweep(),
        }
    }
}
