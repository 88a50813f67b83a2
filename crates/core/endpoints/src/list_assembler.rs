//! The whole list, as it stands after all that discovery has told.

use crate::{Endpoint, EndpointList, EndpointState};
use std::collections::BTreeMap;

/// A list that is kept whole.
#[derive(Clone, Debug, Default)]
pub struct ListAssembler {
    version: u64,
    nodes: BTreeMap<String, Endpoint>,
}

impl ListAssembler {
    /// Takes a whole list, or what has changed.
    pub fn take(&mut self, list: &EndpointList) {
        self.version = list.version;
        if list.full {
            self.nodes.clear();
        }
        for member in &list.servers {
            match member.state {
                EndpointState::Gone => drop(self.nodes.remove(&member.id)),
                _ => drop(self.nodes.insert(member.id.clone(), member.clone())),
            }
        }
    }

    /// The list as a whole; `None`: nothing was told, or all nodes are gone.
    pub fn whole(&self) -> Option<EndpointList> {
        let servers: Vec<Endpoint> = self.nodes.values().cloned().collect();
        (!servers.is_empty()).then_some(EndpointList { version: self.version, full: true, servers })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_add_up_to_the_whole() {
        let list = |version, full, nodes: &[(&str, &str)]| -> EndpointList {
            let node = |(id, state): &(&str, &str)| format!(r#"{{"id":"{id}","state":"{state}"}}"#);
            let servers: Vec<String> = nodes.iter().map(node).collect();
            let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, servers.join(","));
            serde_json::from_str(&text).expect("a list")
        };
        let mut roll = ListAssembler::default();
        assert_eq!(roll.whole(), None);
        roll.take(&list(3, true, &[("a", "ready"), ("b", "ready")]));
        roll.take(&list(4, false, &[("b", "draining"), ("c", "ready")]));
        roll.take(&list(5, false, &[("a", "gone")]));
        assert_eq!(roll.whole(), Some(list(5, true, &[("b", "draining"), ("c", "ready")])));
        roll.take(&list(6, true, &[("d", "ready")]));
        assert_eq!(roll.whole(), Some(list(6, true, &[("d", "ready")])));
    }
}
