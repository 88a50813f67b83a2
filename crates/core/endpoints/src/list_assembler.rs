//! Assembles the current whole list from discovery's responses.

use crate::{Endpoint, EndpointList, EndpointState};
use std::collections::BTreeMap;

/// The list that results from all responses applied so far.
#[derive(Clone, Debug, Default)]
pub struct ListAssembler {
    version: u64,
    endpoints: BTreeMap<String, Endpoint>,
}

impl ListAssembler {
    /// Applies a whole list or an incremental update.
    pub fn apply(&mut self, list: &EndpointList) {
        self.version = list.version;
        if list.full {
            self.endpoints.clear();
        }
        for endpoint in &list.servers {
            match endpoint.state {
                EndpointState::Gone => drop(self.endpoints.remove(&endpoint.id)),
                _ => drop(self.endpoints.insert(endpoint.id.clone(), endpoint.clone())),
            }
        }
    }

    /// The whole list; `None` if it has no endpoints.
    pub fn whole_list(&self) -> Option<EndpointList> {
        let servers: Vec<Endpoint> = self.endpoints.values().cloned().collect();
        (!servers.is_empty()).then_some(EndpointList { version: self.version, full: true, servers })
    }
}
