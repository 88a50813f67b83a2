//! What answers requests: one decision module on the proxy's own endpoint list, or the clusters of Envoy's form.

use crate::api::ColdLeft;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::engine::Engine;
use crate::proxy::upstream::load_assignment::Pools;
use crate::proxy::upstream::Upstreams;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

/// What answers requests.
#[derive(Clone)]
pub enum Backend {
    /// One decision module for all requests.
    One { engine: Rc<Engine>, upstreams: Rc<Upstreams>, nodes: Rc<EndpointFeed> },
    /// Routes choose a cluster for each request.
    Pools(Rc<Pools>),
}

impl Backend {
    /// Whether a request could be served now.
    pub fn can_serve(&self) -> bool {
        match self {
            Backend::One { engine, .. } => engine.can_serve(),
            Backend::Pools(pools) => pools.can_serve(),
        }
    }

    /// Discovery's list, for a successor; null: there is none.
    pub fn list(&self) -> Value {
        match self {
            // Nothing in a list can fail to be written.
            Backend::One { nodes, .. } => serde_json::to_value(nodes.whole()).unwrap_or_default(),
            Backend::Pools(_) => Value::Null,
        }
    }

    /// Gives away what may still be sent to cold nodes. Envoy's form does not tell when a node's process started.
    pub fn give_cold(&self) -> Vec<ColdLeft> {
        match self {
            Backend::One { engine, .. } => engine.release_slow_start_allowance(),
            Backend::Pools(_) => Vec::new(),
        }
    }

    /// Takes what the process before this one gave.
    pub fn take_cold(&self, given: &[ColdLeft]) {
        if let Backend::One { engine, .. } = self {
            engine.inherit_slow_start_allowance(given);
        }
    }

    /// The longest deadline of any class.
    pub fn longest(&self) -> Duration {
        match self {
            Backend::One { engine, .. } => engine.acting().longest(),
            Backend::Pools(pools) => pools.acting().longest(),
        }
    }

    /// How many cache nodes are listed, and how many of them are avoided at present.
    pub fn members(&self) -> (usize, usize) {
        match self {
            Backend::One { engine, .. } => engine.endpoint_counts(),
            Backend::Pools(pools) => pools.members(),
        }
    }

    /// Closes the upstream connection that has been idle the longest; false if there is none.
    pub fn yield_idle(&self) -> bool {
        match self {
            Backend::One { upstreams, .. } => upstreams.yield_idle(),
            Backend::Pools(pools) => pools.yield_idle(),
        }
    }

    /// Closes idle connections that were closed by their peer or idle for too long.
    pub fn sweep(&self) {
        match self {
            Backend::One { upstreams, .. } => upstreams.sweep(),
            Backend::Pools(pools) => pools.sweep(),
        }
    }
}
