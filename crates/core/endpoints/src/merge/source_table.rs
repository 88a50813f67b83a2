//! The statements of one source about the endpoints, and when a new statement replaces an old one.

use super::SourcedEndpoint;
use crate::{Endpoint, EndpointState, Imposed, MonotonicTime, Nanos};
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// The statement of one source about one endpoint.
#[derive(Clone, Debug)]
pub(super) struct Statement {
    pub(super) member: Endpoint,
    pub(super) listed: u64,
    pub(super) shared: bool,
    pub(super) imposed: Imposed,
    /// When the source first stated this incarnation and state.
    pub(super) stated_at: MonotonicTime,
    /// The view number of the source when it was stated or last confirmed.
    pub(super) view_number: u64,
    /// Whether the source still lists the endpoint; otherwise this is a remembered restriction.
    pub(super) is_named: bool,
    /// A newer statement of the source that has not been accepted yet.
    pub(super) unconfirmed: Option<Box<SourcedEndpoint>>,
    /// Whether the predecessor of this process heard it, and this process has not.
    pub(super) is_inherited: bool,
}

/// The statements of one source.
#[derive(Default)]
pub(super) struct SourceTable {
    pub(super) statements: HashMap<String, Statement>,
    /// The incarnation of the source's process, if it is the control service.
    pub(super) incarnation: String,
    /// The version of the last list, if the source's lists have versions.
    pub(super) version: u64,
    /// Counts breaks in the continuity of the source's view: a new process, or a list older than the previous one.
    pub(super) view_number: u64,
    /// Whether the source is unreachable.
    pub(super) is_lost: bool,
}

impl Statement {
    pub(super) fn new(stated: SourcedEndpoint, stated_at: MonotonicTime, view_number: u64) -> Self {
        let is_named = stated.member.state != EndpointState::Gone;
        let SourcedEndpoint { member, list_version: listed, is_from_discovery: shared, imposed } = stated;
        Statement {
            member,
            listed,
            shared,
            imposed,
            stated_at,
            view_number,
            is_named,
            unconfirmed: None,
            is_inherited: false,
        }
    }
}

impl Statement {
    /// Whether another statement is about a newer incarnation of the endpoint.
    pub(super) fn is_outdated_by(&self, other: &Statement) -> bool {
        let is_from_later_list = self.shared && other.shared && self.listed > other.listed;
        self.member.started < other.member.started && !is_from_later_list
    }
}

impl SourceTable {
    /// Records a new statement, which either replaces the old one or stays unconfirmed.
    pub(super) fn record(&mut self, new: SourcedEndpoint, now: MonotonicTime, hold: Nanos) {
        let view_number = self.view_number;
        let Some(old) = self.statements.get_mut(&new.member.id) else {
            self.statements.insert(new.member.id.clone(), Statement::new(new, now, view_number));
            return;
        };
        let is_continuous = old.view_number == view_number;
        let is_newer = new.list_version > old.listed && old.listed > 0;
        // Danger: starts come from the clocks of nodes' machines, which may be stepped back. A restriction is not refused by their order.
        let is_accepted = match new.member.started.cmp(&old.member.started) {
            Ordering::Equal => new.member.state >= old.member.state || is_newer || is_continuous,
            Ordering::Greater => true,
            Ordering::Less => new.member.state > old.member.state || is_newer && is_continuous,
        };
        if is_accepted || now.since(old.stated_at) >= hold {
            let is_same_state =
                (new.member.started, new.member.state) == (old.member.started, old.member.state);
            let stated_at = if is_same_state { old.stated_at } else { now };
            *old = Statement::new(new, stated_at, view_number);
        } else {
            // Overrides apply even if the statement about the endpoint is outdated.
            old.imposed = new.imposed.clone();
            old.unconfirmed = Some(Box::new(new));
            old.is_inherited = false;
        }
    }

    /// Records that the source no longer lists the endpoint.
    pub(super) fn withdraw(&mut self, id: &str, now: MonotonicTime) {
        let Some(statement) = self.statements.get_mut(id) else { return };
        statement.is_named = false;
        statement.unconfirmed = None;
        if statement.view_number == self.view_number {
            statement.member.state = EndpointState::Gone;
            statement.stated_at = now;
        } else if statement.member.state == EndpointState::Ready {
            self.statements.remove(id);
        }
    }

    /// Forgets the oldest endpoints that are no longer listed, beyond `max`. Danger: endpoints that keep appearing under new
    /// ids would otherwise be remembered without bound.
    pub(super) fn evict_oldest(&mut self, max: usize, affected: &mut BTreeSet<String>) {
        let remembered = self.statements.values().filter(|s| !s.is_named).count();
        if remembered <= max {
            return;
        }
        let mut old: Vec<(MonotonicTime, String)> = self
            .statements
            .iter()
            .filter(|(_, s)| !s.is_named)
            .map(|(id, s)| (s.stated_at, id.clone()))
            .collect();
        old.sort();
        for (_, id) in old.into_iter().take(remembered - max) {
            self.statements.remove(&id);
            affected.insert(id);
        }
    }
}
