//! The backend that serves requests: a single decision module on the proxy's own endpoint list, or the clusters of an Envoy
//! configuration.

use crate::api::ColdEndpointAllowance;
use crate::proxy::discovery::endpoint_list::EndpointFeed;
use crate::proxy::engine::Engine;
use crate::proxy::upstream::load_assignment::ClusterSet;
use crate::proxy::upstream::Upstreams;
use rushquay_handover::{ControlHandover, StartClockHandover};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

/// The backend that serves requests.
#[derive(Clone)]
pub enum Backend {
    /// A single decision module serves all requests.
    Single { engine: Rc<Engine>, upstreams: Rc<Upstreams>, nodes: Rc<EndpointFeed> },
    /// The route table chooses a cluster for each request.
    Clusters(Rc<ClusterSet>),
}

impl Backend {
    /// Returns whether a request could be served now.
    pub fn can_serve(&self) -> bool {
        match self {
            Backend::Single { engine, .. } => engine.can_serve(),
            Backend::Clusters(pools) => pools.can_serve(),
        }
    }

    /// Returns discovery's endpoint list for a successor; null if there is none.
    pub fn endpoint_list(&self) -> Value {
        match self {
            // Serializing an endpoint list cannot fail.
            Backend::Single { nodes, .. } => {
                serde_json::to_value(nodes.discovered_list()).unwrap_or_default()
            }
            Backend::Clusters(_) => Value::Null,
        }
    }

    /// Returns what the control service has said, for a successor. Envoy clusters have nothing: a successor hears of them before it serves.
    pub fn control_handover(&self) -> Option<ControlHandover> {
        match self {
            Backend::Single { nodes, .. } => nodes.control_handover(),
            Backend::Clusters(_) => None,
        }
    }

    /// Returns the clocks by which nodes' starts are told, for a successor.
    pub fn start_clock_handover(&self) -> Option<StartClockHandover> {
        match self {
            Backend::Single { nodes, .. } => Some(nodes.start_clock_handover()),
            Backend::Clusters(_) => None,
        }
    }

    /// Gives up the slow-start allowance for cold nodes, for a successor. Envoy clusters have none: an Envoy configuration does not
    /// say when a node's process started.
    pub fn release_slow_start_allowances(&self) -> Vec<ColdEndpointAllowance> {
        match self {
            Backend::Single { engine, .. } => engine.release_slow_start_allowance(),
            Backend::Clusters(_) => Vec::new(),
        }
    }

    /// Takes over the slow-start allowance that the incumbent gave up.
    pub fn inherit_slow_start_allowances(&self, given: &[ColdEndpointAllowance]) {
        if let Backend::Single { engine, .. } = self {
            engine.inherit_slow_start_allowance(given);
        }
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Duration {
        match self {
            Backend::Single { engine, .. } => engine.active_config().longest(),
            Backend::Clusters(pools) => pools.acting().longest(),
        }
    }

    /// Returns the longest wait that a rejected client may be advised.
    pub fn max_retry_after(&self) -> Duration {
        Duration::from_nanos(match self {
            Backend::Single { engine, .. } => engine.active_config().settings.max_retry_after,
            Backend::Clusters(pools) => pools.acting().settings.max_retry_after,
        })
    }

    /// Returns how many cache nodes are listed, and how many of them are avoided at present.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        match self {
            Backend::Single { engine, .. } => engine.endpoint_counts(),
            Backend::Clusters(pools) => pools.endpoint_counts(),
        }
    }

    /// Closes the upstream connection that has been idle the longest. Returns false if no connection is idle.
    pub fn close_oldest_idle(&self) -> bool {
        match self {
            Backend::Single { upstreams, .. } => upstreams.close_oldest_idle(),
            Backend::Clusters(pools) => pools.close_oldest_idle(),
        }
    }

    /// Closes idle connections that their peer has closed or that exceeded the idle timeout.
    pub fn sweep(&self) {
        match self {
            Backend::Single { upstreams, .. } => upstreams.sweep(),
            Backend::Clusters(pools) => pools.sweep(),
        }
    }
}
