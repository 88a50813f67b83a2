//! Restrictions that are not followed, for the log: why an endpoint gets requests although a source has said that it drains or is gone.

use super::Source;
use crate::{EndpointState, StatedStart};
use std::collections::BTreeMap;

/// A restriction of one source that is not followed, since another source states a later start of the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassedOver {
    /// The id of the endpoint.
    pub id: String,
    /// The source of the restriction.
    pub source: Source,
    /// The state that it says.
    pub state: EndpointState,
    /// The start of the incarnation that it is about.
    pub started: StatedStart,
    /// The source that is followed, and the start that it states.
    pub followed: Source,
    /// The start of the incarnation that is followed.
    pub followed_start: StatedStart,
}

/// The restrictions that are passed over at present, and those that nobody has taken yet.
#[derive(Debug, Default)]
pub(super) struct PassedOverStatements {
    present: BTreeMap<String, Vec<PassedOver>>,
    new: Vec<PassedOver>,
}

impl PassedOverStatements {
    /// Records all that are passed over for one endpoint now.
    pub(super) fn set(&mut self, id: &str, now: Vec<PassedOver>) {
        let before = self.present.remove(id).unwrap_or_default();
        self.new.extend(now.iter().filter(|statement| !before.contains(statement)).cloned());
        if !now.is_empty() {
            self.present.insert(id.to_owned(), now);
        }
    }

    /// Returns those that began since the last call.
    pub(super) fn take_new(&mut self) -> Vec<PassedOver> {
        std::mem::take(&mut self.new)
    }
}
