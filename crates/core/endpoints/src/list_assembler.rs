//! Assembles the whole list from whole lists and incremental updates.

use crate::{Endpoint, EndpointList, EndpointState};
use std::collections::BTreeMap;

/// The whole list, up to date with every update applied so far.
#[derive(Clone, Debug, Default)]
pub struct ListAssembler {
    version: u64,
    endpoints: BTreeMap<String, Endpoint>,
}

impl ListAssembler {
    /// Applies a whole list, or an incremental update.
    pub fn take(&mut self, list: &EndpointList) {
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

    /// The whole list; `None`: no update was applied yet, or all endpoints are gone.
    pub fn whole(&self) -> Option<EndpointList> {
        let servers: Vec<Endpoint> = self.endpoints.values().cloned().collect();
        (!servers.is_empty()).then_some(EndpointList { version: self.version, full: true, servers })
    }
}
