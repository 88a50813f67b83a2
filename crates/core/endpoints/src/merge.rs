//! Merges the endpoint lists of several sources: the proxy's own discovery, the control service, and the list in the
//! configuration at startup.
//!
//! The rules, in order, for each endpoint:
//! 1. Statements about an older incarnation of the endpoint are ignored once a source knows a newer one. Danger: a machine whose clock was
//!    stepped back states a smaller start for its new process. So a statement of a later version of discovery's list is never ignored for
//!    its start.
//! 2. Among statements about the same incarnation, the most restrictive state wins: gone, then draining, then ready.
//! 3. The endpoint gets requests only while at least one source lists it.
//! 4. A source can withdraw a restriction if its view is continuous (the statement comes from the same process that made
//!    the restriction), if the new entry has a higher list version, or after [`MergeLimits::hold`]. Danger: a control
//!    service that has restarted, or an old one that resumes, sends a list from before the drain.
//! 5. The statements of an unreachable source remain in effect, except that a newer statement of a reachable source about
//!    the same incarnation replaces them if both come from discovery's list.
//! 6. If a source stops listing the endpoint, the endpoint is gone if the source's view is continuous. Otherwise only the
//!    source's own statement is withdrawn, as the list of a different process may be older than the endpoint.
//! 7. Operators' overrides from the control service are applied last. They apply to all incarnations and only restrict:
//!    out of service counts as draining, a factor multiplies the weight, and an endpoint that returns with a cold cache
//!    counts as started at that time. They expire by the clock, even while no source is reachable.

use crate::{Endpoint, EndpointList, EndpointState, Imposed, MergeTime, Nanos, OverrideTime, Pin};
use std::collections::{BTreeSet, HashMap};

mod control_snapshot;
mod passed_over;
mod source_table;

pub use control_snapshot::{ControlSnapshot, ControlStatement};
pub use passed_over::PassedOver;
use passed_over::PassedOverStatements;
use source_table::{SourceTable, Statement};

/// A source of statements about endpoints, in the order of precedence for addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The proxy's own discovery. Addresses may differ between proxies, so those from here take precedence.
    Discovery,
    /// The list in the configuration at startup; discarded on discovery's first whole list.
    Configured,
    /// The control service. It decides weights, so its weights take precedence.
    Control,
}

const SOURCE_COUNT: usize = 3;
/// One hour.
const DEFAULT_HOLD: Nanos = 3_600_000_000_000;
const DEFAULT_MAX_REMEMBERED: usize = 4096;

/// A source's statement about an endpoint, with the version of the list from which it comes.
#[derive(Clone, Debug, PartialEq)]
pub struct SourcedEndpoint {
    /// The endpoint.
    pub member: Endpoint,
    /// The version of the last list that contained this entry; 0: unknown.
    pub list_version: u64,
    /// Whether that list came from discovery, so that its version can be compared between sources.
    pub is_from_discovery: bool,
    /// The overrides in effect for it.
    pub imposed: Imposed,
}

/// An event from one source.
#[derive(Clone, Debug)]
pub enum WatchEvent {
    /// The whole list: all endpoints that the source lists.
    Whole(Vec<SourcedEndpoint>),
    /// An incremental update: the endpoints that changed, including those in state gone, and the ids no longer listed.
    Changed(Vec<SourcedEndpoint>, Vec<String>),
    /// The source is unreachable; its statements remain in effect.
    Lost,
}

/// Limits on how long and how much is remembered.
#[derive(Clone, Copy, Debug)]
pub struct MergeLimits {
    /// How long a restriction is kept if its source withdraws it without a continuous view, in nanoseconds.
    pub hold: Nanos,
    /// Maximum number of endpoints remembered as gone or withdrawn for each source; the oldest are evicted first.
    pub remembered: usize,
}

impl Default for MergeLimits {
    fn default() -> Self {
        MergeLimits { hold: DEFAULT_HOLD, remembered: DEFAULT_MAX_REMEMBERED }
    }
}

/// Changes of the merged list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Endpoints that are new or have changed, with their new values.
    pub upserts: Vec<Endpoint>,
    /// Endpoints that were removed from the merged list, with their last values.
    pub gone: Vec<Endpoint>,
}

impl Changes {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.gone.is_empty()
    }
}

/// An endpoint of the merged list, with the source of its state.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointView<'a> {
    /// The merged endpoint.
    pub member: &'a Endpoint,
    /// The source that decided its state.
    pub decided_by: Source,
    /// When it returned to service with a cold cache after an override; `None`: it did not.
    pub cold_return_at: Option<OverrideTime>,
}

/// An endpoint of the merged list.
#[derive(Clone, Debug, PartialEq)]
struct Merged {
    endpoint: Endpoint,
    decided_by: Source,
    cold_return_at: Option<OverrideTime>,
}

impl Merged {
    fn view(&self) -> EndpointView<'_> {
        EndpointView {
            member: &self.endpoint,
            decided_by: self.decided_by,
            cold_return_at: self.cold_return_at,
        }
    }
}

/// The merged list.
pub struct EndpointMerger {
    limits: MergeLimits,
    tables: [SourceTable; SOURCE_COUNT],
    merged: HashMap<String, Merged>,
    /// The time of the last event or tick, at which the overrides of all merged endpoints were evaluated. It steps back when the control
    /// service's clock does.
    override_now: OverrideTime,
    passed_over: PassedOverStatements,
}

impl EndpointMerger {
    /// An empty merger: no source has reported yet.
    pub fn new(limits: MergeLimits) -> Self {
        EndpointMerger {
            limits,
            tables: Default::default(),
            merged: HashMap::new(),
            override_now: OverrideTime::default(),
            passed_over: PassedOverStatements::default(),
        }
    }

    /// Returns the restrictions that have been passed over since the last call, for the log.
    pub fn take_passed_over(&mut self) -> Vec<PassedOver> {
        self.passed_over.take_new()
    }

    /// Applies a list in discovery's format, from discovery or from the configuration. A list with a lower version than the
    /// previous one breaks the continuity of the view: the list is outdated, or discovery has restarted its versions.
    pub fn apply_list(&mut self, source: Source, list: &EndpointList, now: MergeTime) -> Changes {
        let table = &mut self.tables[source as usize];
        table.view_number += u64::from(list.version < table.version);
        table.version = list.version;
        let stated = |m: &Endpoint| {
            let imposed = Imposed::default();
            SourcedEndpoint {
                member: m.clone(),
                list_version: list.version,
                is_from_discovery: true,
                imposed,
            }
        };
        let all: Vec<SourcedEndpoint> = list.servers.iter().map(stated).collect();
        if source == Source::Discovery && list.version > self.tables[Source::Configured as usize].version {
            // Its changes continue the configured list.
            let configured = &mut self.tables[Source::Configured as usize].statements;
            list.servers.iter().for_each(|endpoint| drop(configured.remove(&endpoint.id)));
        }
        let event = if list.full { WatchEvent::Whole(all) } else { WatchEvent::Changed(all, Vec::new()) };
        let mut changes = self.apply_event(source, event, now);
        if source == Source::Discovery
            && list.full
            && !self.tables[Source::Configured as usize].statements.is_empty()
        {
            let ids: BTreeSet<String> =
                self.tables[Source::Configured as usize].statements.drain().map(|(id, _)| id).collect();
            let further_changes = self.recompute(ids);
            changes.upserts.extend(further_changes.upserts);
            changes.gone.extend(further_changes.gone);
        }
        changes
    }

    /// Restores the statements of a source from before a restart of this process: the version of its list, and its entries.
    /// As without the restart, a following list with a lower version breaks the continuity of the view.
    pub fn restore(
        &mut self,
        source: Source,
        version: u64,
        all: Vec<SourcedEndpoint>,
        now: MergeTime,
    ) -> Changes {
        self.tables[source as usize].version = version;
        self.apply_event(source, WatchEvent::Whole(all), now)
    }

    /// Applies an event from the control service, whose process is identified by `incarnation`. The view is continuous
    /// while the incarnation is the same.
    pub fn apply_control_event(&mut self, incarnation: &str, event: WatchEvent, now: MergeTime) -> Changes {
        let table = &mut self.tables[Source::Control as usize];
        if table.incarnation != incarnation {
            incarnation.clone_into(&mut table.incarnation);
            table.view_number += 1;
        }
        self.apply_event(Source::Control, event, now)
    }

    /// Marks the statements of the control service as confirmed by its present process, which has sent its whole state
    /// without changing them. Unconfirmed statements stay unconfirmed; inherited ones that it has not repeated are withdrawn.
    pub fn confirm_control(&mut self, now: MergeTime) -> Changes {
        let changes = self.withdraw_inherited(now);
        let table = &mut self.tables[Source::Control as usize];
        table
            .statements
            .values_mut()
            .filter(|s| s.unconfirmed.is_none())
            .for_each(|s| s.view_number = table.view_number);
        changes
    }

    /// Marks a source as unreachable.
    pub fn mark_lost(&mut self, source: Source) {
        self.tables[source as usize].is_lost = true;
    }

    /// Evaluates the overrides for `now`, accepts unconfirmed statements once the statement that they would replace is
    /// [`MergeLimits::hold`] old, and forgets withdrawn endpoints after the same time.
    pub fn tick(&mut self, now: MergeTime) -> Changes {
        let hold = self.limits.hold;
        let mut affected = self.advance_overrides(now.overrides);
        for table in &mut self.tables {
            table.statements.retain(|id, statement| {
                if now.monotonic.since(statement.stated_at) < hold {
                    return true;
                }
                if let Some(unconfirmed) = statement.unconfirmed.take() {
                    *statement = Statement::new(*unconfirmed, now.monotonic, table.view_number);
                    affected.insert(id.clone());
                } else if !statement.is_named {
                    affected.insert(id.clone());
                    return false;
                }
                true
            });
        }
        // While a source is unreachable, newer statements of other sources may replace its own.
        if self.tables.iter().any(|t| t.is_lost) {
            affected.extend(self.merged.keys().cloned());
        }
        self.recompute(affected)
    }

    /// The merged list, in no particular order.
    pub fn nodes(&self) -> impl Iterator<Item = EndpointView<'_>> {
        self.merged.values().map(Merged::view)
    }

    /// An endpoint of the merged list; `None`: it is not there.
    pub fn node(&self, id: &str) -> Option<EndpointView<'_>> {
        self.merged.get(id).map(Merged::view)
    }

    /// The pins with the ids of their endpoints, without those of endpoints that are not in the merged list.
    pub fn pins(&self) -> impl Iterator<Item = (&str, &Pin)> {
        let statements = self.tables[Source::Control as usize].statements.iter();
        let merged_statements = statements.filter(|(id, _)| self.merged.contains_key(*id));
        merged_statements
            .flat_map(|(id, statement)| statement.imposed.pins.iter().map(move |pin| (id.as_str(), pin)))
    }

    /// Whether a source is unreachable.
    pub fn is_lost(&self, source: Source) -> bool {
        self.tables[source as usize].is_lost
    }

    fn apply_event(&mut self, source: Source, event: WatchEvent, now: MergeTime) -> Changes {
        let mut affected = self.advance_overrides(now.overrides);
        let (limits, table) = (self.limits, &mut self.tables[source as usize]);
        let (updated, removed) = match event {
            WatchEvent::Lost => {
                table.is_lost = true;
                return self.recompute(affected);
            }
            WatchEvent::Whole(all) => {
                let named: BTreeSet<&str> = all.iter().map(|s| s.member.id.as_str()).collect();
                let missing = |(id, statement): (&String, &Statement)| {
                    ((statement.is_named || statement.unconfirmed.is_some()) && !named.contains(id.as_str()))
                        .then(|| id.clone())
                };
                let missing: Vec<String> = table.statements.iter().filter_map(missing).collect();
                (all, missing)
            }
            WatchEvent::Changed(changed, removed) => (changed, removed),
        };
        table.is_lost = false;
        for id in removed {
            table.withdraw(&id, now.monotonic);
            affected.insert(id);
        }
        for endpoint in updated {
            affected.insert(endpoint.member.id.clone());
            table.record(endpoint, now.monotonic, limits.hold);
        }
        table.evict_oldest(limits.remembered, &mut affected);
        self.recompute(affected)
    }

    /// Sets the time at which overrides are evaluated, and returns the endpoints for which their effect differs from before. Danger: the
    /// clock may step either way. If the highest time seen were kept, a clock that was ahead once would end every override that ends before
    /// that time.
    fn advance_overrides(&mut self, now: OverrideTime) -> BTreeSet<String> {
        let before = std::mem::replace(&mut self.override_now, now);
        let statements = self.tables[Source::Control as usize].statements.iter();
        let has_changed =
            |statement: &Statement| statement.imposed.effect(before) != statement.imposed.effect(now);
        statements.filter(|(_, statement)| has_changed(statement)).map(|(id, _)| id.clone()).collect()
    }

    /// Recomputes these endpoints of the merged list, and returns the resulting changes.
    fn recompute(&mut self, ids: BTreeSet<String>) -> Changes {
        let mut changes = Changes::default();
        for id in ids {
            let after = self.resolve(&id);
            let passed_over = self.passed_over_for(&id, after.as_ref());
            self.passed_over.set(&id, passed_over);
            let Some(after) = after else {
                changes.gone.extend(self.merged.remove(&id).map(|before| before.endpoint));
                continue;
            };
            let is_same = |before: &Merged| {
                (&before.endpoint, before.cold_return_at) == (&after.endpoint, after.cold_return_at)
            };
            if !self.merged.get(&id).is_some_and(is_same) {
                changes.upserts.push(after.endpoint.clone());
            }
            self.merged.insert(id, after);
        }
        changes
    }

    /// Applies the rules to the statements about an endpoint; `None`: it is not in the merged list.
    fn resolve(&self, id: &str) -> Option<Merged> {
        let order = [Source::Discovery, Source::Configured, Source::Control];
        let statements: Vec<(Source, &Statement)> =
            order.iter().filter_map(|s| Some((*s, self.tables[*s as usize].statements.get(id)?))).collect();
        // Rule 1.
        let is_outdated = |s: &Statement| statements.iter().any(|(_, other)| s.is_outdated_by(other));
        let mut statements: Vec<(Source, &Statement)> =
            statements.iter().copied().filter(|(_, s)| !is_outdated(s)).collect();
        // Rule 5.
        let live_versions =
            statements.iter().filter(|(source, s)| !self.is_lost(*source) && s.shared).map(|(_, s)| s.listed);
        let newest_live = live_versions.max().unwrap_or(0);
        statements.retain(|(source, s)| !(self.is_lost(*source) && s.shared && s.listed < newest_live));
        // Rule 2; among equally restrictive statements, that of the first source counts.
        let (decided_by, merged_state) = statements
            .iter()
            .map(|(source, statement)| (*source, statement.member.state))
            .reduce(|strictest, other| if other.1 > strictest.1 { other } else { strictest })?;
        // Rule 3.
        if merged_state == EndpointState::Gone || !statements.iter().any(|(_, s)| s.is_named) {
            return None;
        }
        let named = || statements.iter().filter(|(_, s)| s.is_named);
        let first = named().next().map(|(_, s)| &s.member)?;
        let control = named().find(|(s, _)| *s == Source::Control).map(|(_, s)| &s.member);
        let mut member = Endpoint {
            addr: named().find_map(|(_, s)| s.member.addr),
            state: merged_state,
            weight: control.unwrap_or(first).weight,
            ..first.clone()
        };
        let cold_return_at = self.apply_overrides(id, &mut member);
        Some(Merged { endpoint: member, decided_by, cold_return_at })
    }

    /// The statements about an endpoint that are stricter than the merged list, and not followed for the start that they are about.
    fn passed_over_for(&self, id: &str, merged: Option<&Merged>) -> Vec<PassedOver> {
        let Some(Merged { endpoint: followed, decided_by, .. }) = merged else { return Vec::new() };
        let order = [Source::Discovery, Source::Configured, Source::Control];
        let statements =
            order.iter().filter_map(|s| Some((*s, self.tables[*s as usize].statements.get(id)?)));
        let is_passed_over = |statement: &Statement| {
            statement.member.state > followed.state && statement.member.started < followed.started
        };
        statements
            .filter(|(_, statement)| is_passed_over(statement))
            .map(|(source, statement)| PassedOver {
                id: id.to_owned(),
                source,
                state: statement.member.state,
                started: statement.member.started,
                followed: *decided_by,
                followed_start: followed.started,
            })
            .collect()
    }

    /// Applies rule 7. Returns when the endpoint returned to service with a cold cache.
    fn apply_overrides(&self, id: &str, member: &mut Endpoint) -> Option<OverrideTime> {
        let imposed = &self.tables[Source::Control as usize].statements.get(id)?.imposed;
        let effect = imposed.effect(self.override_now);
        if effect.is_out {
            member.state = member.state.max(EndpointState::Draining);
        }
        member.weight *= effect.factor;
        effect.cold_return_at
    }
}
