//! What a proxy holds by word of the control service, in the form in which it is handed over to a successor.

use super::source_table::Statement;
use super::{Changes, EndpointMerger, Source, SourcedEndpoint};
use crate::{Endpoint, EndpointList, EndpointState, Imposed, MergeTime, MonotonicTime, Nanos, StatedStart};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// The view number of statements that their source has not confirmed since its view last broke, and of the others.
const EARLIER_VIEW: u64 = 0;
const PRESENT_VIEW: u64 = 1;

/// The statements of the control service that a proxy acts by.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlSnapshot {
    /// The incarnation of the control service's process that was heard last.
    pub process: String,
    /// Whether it is unreachable.
    #[serde(default)]
    pub is_lost: bool,
    /// What it has said about endpoints, the most restrictive statements first.
    pub statements: Vec<ControlStatement>,
}

/// A statement about one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlStatement {
    /// The statement itself.
    stated: StatedEndpoint,
    /// For how long the source has stated this incarnation and state, in nanoseconds.
    #[serde(default)]
    age: Nanos,
    /// Whether the source still lists the endpoint.
    is_named: bool,
    /// Whether the source has confirmed it since its view last broke.
    is_confirmed: bool,
    /// A newer statement that has not been accepted yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    unconfirmed: Option<StatedEndpoint>,
}

/// An endpoint as a source states it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StatedEndpoint {
    endpoint: Endpoint,
    /// When its process started. The endpoint's own format rounds it, and it identifies the incarnation.
    started_ns: Nanos,
    list_version: u64,
    is_from_discovery: bool,
    #[serde(default, skip_serializing_if = "Imposed::is_default")]
    overrides: Imposed,
}

impl From<SourcedEndpoint> for StatedEndpoint {
    fn from(stated: SourcedEndpoint) -> Self {
        StatedEndpoint {
            started_ns: stated.member.started.unix_nanos(),
            endpoint: stated.member,
            list_version: stated.list_version,
            is_from_discovery: stated.is_from_discovery,
            overrides: stated.imposed,
        }
    }
}

impl From<StatedEndpoint> for SourcedEndpoint {
    fn from(stated: StatedEndpoint) -> Self {
        SourcedEndpoint {
            member: Endpoint { started: StatedStart::from_unix_nanos(stated.started_ns), ..stated.endpoint },
            list_version: stated.list_version,
            is_from_discovery: stated.is_from_discovery,
            imposed: stated.overrides,
        }
    }
}

impl ControlStatement {
    /// Returns whether it says nothing beyond discovery's list, which is handed over too.
    fn is_redundant(&self, discovered: &HashMap<&str, &Endpoint>) -> bool {
        let StatedEndpoint { endpoint, is_from_discovery, overrides, .. } = &self.stated;
        *is_from_discovery
            && self.is_named
            && self.unconfirmed.is_none()
            && overrides.is_default()
            && endpoint.state == EndpointState::Ready
            && discovered.get(endpoint.id.as_str()).is_some_and(|listed| *listed == endpoint)
    }

    /// Returns whether a proxy without it might send requests that this one does not.
    fn is_restrictive(&self) -> bool {
        self.stated.endpoint.state != EndpointState::Ready || !self.stated.overrides.is_default()
    }
}

impl EndpointMerger {
    /// Returns what the control service has said, without what `discovered` says too; `None`: it has said nothing.
    pub fn control_snapshot(
        &self,
        discovered: Option<&EndpointList>,
        now: MergeTime,
    ) -> Option<ControlSnapshot> {
        let table = &self.tables[Source::Control as usize];
        let snapshot_of = |statement: &Statement| ControlStatement {
            stated: StatedEndpoint::from(SourcedEndpoint {
                member: statement.member.clone(),
                list_version: statement.listed,
                is_from_discovery: statement.shared,
                imposed: statement.imposed.clone(),
            }),
            age: now.monotonic.since(statement.stated_at),
            is_named: statement.is_named,
            is_confirmed: statement.view_number == table.view_number,
            unconfirmed: statement.unconfirmed.as_deref().cloned().map(StatedEndpoint::from),
        };
        let listed = discovered.into_iter().flat_map(|list| &list.servers);
        let listed: HashMap<&str, &Endpoint> =
            listed.map(|endpoint| (endpoint.id.as_str(), endpoint)).collect();
        let all = table.statements.values().map(snapshot_of);
        let mut statements: Vec<ControlStatement> = all.filter(|s| !s.is_redundant(&listed)).collect();
        statements.sort_by_key(|s| (!s.is_restrictive(), s.stated.endpoint.id.clone()));
        (!table.statements.is_empty()).then(|| ControlSnapshot {
            process: table.incarnation.clone(),
            is_lost: table.is_lost,
            statements,
        })
    }

    /// Acts by what the control service had said to the predecessor of this process, until it says something else.
    pub fn inherit_control(&mut self, snapshot: ControlSnapshot, now: MergeTime) -> Changes {
        let mut affected = self.advance_overrides(now.overrides);
        let table = &mut self.tables[Source::Control as usize];
        table.incarnation = snapshot.process;
        table.is_lost = snapshot.is_lost;
        table.view_number = PRESENT_VIEW;
        for handed in snapshot.statements {
            let id = handed.stated.endpoint.id.clone();
            let view_number = if handed.is_confirmed { PRESENT_VIEW } else { EARLIER_VIEW };
            let stated_at = MonotonicTime::from_nanos(now.monotonic.nanos().saturating_sub(handed.age));
            let mut statement = Statement::new(handed.stated.into(), stated_at, view_number);
            statement.is_named = handed.is_named;
            statement.unconfirmed = handed.unconfirmed.map(|stated| Box::new(stated.into()));
            statement.is_inherited = true;
            table.statements.insert(id.clone(), statement);
            affected.insert(id);
        }
        self.recompute(affected)
    }

    /// Withdraws what this process has inherited and the control service has not said again: it no longer lists these endpoints.
    pub(super) fn withdraw_inherited(&mut self, now: MergeTime) -> Changes {
        let table = &mut self.tables[Source::Control as usize];
        let inherited = table.statements.iter().filter(|(_, s)| s.is_inherited && s.is_named);
        let unsaid: BTreeSet<String> = inherited.map(|(id, _)| id.clone()).collect();
        for id in &unsaid {
            table.withdraw(id, now.monotonic);
        }
        table.statements.values_mut().for_each(|s| s.is_inherited = false);
        self.recompute(unsaid)
    }
}
