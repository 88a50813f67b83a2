//! When nodes started by the clock of this process, from the lists, from the clocks of others, and from what a predecessor knew.

use crate::api::{server_id, Incarnation, Nanos, ServerId};
use crate::proxy::process::slow_start::read_incarnation;
use rushquay_admin::ClockOffsets;
use rushquay_control_service::monotonic_nanos;
use rushquay_endpoints::{Endpoint, EndpointList, EndpointView, OverrideTime, StartTimes};
use rushquay_handover::{SlowStartAllowance, StartClockHandover};
use rushquay_lease::{Skew, SECOND};
use rustc_hash::FxHashMap;

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;
/// Smallest change of the offset between discovery's dates and this process's clock that is logged.
const MIN_LOGGED_CHANGE_MS: u64 = 2_000;

/// An endpoint of the list that the engine acts by.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint as listed.
    pub endpoint: Endpoint,
    /// When it started, or returned with a cold cache, by the clock of this process; 0: long ago.
    pub started_at: Nanos,
    /// Which of its processes it is.
    pub incarnation: Incarnation,
}

/// Tells when nodes started by the clock of this process.
#[derive(Default)]
pub struct NodeStarts {
    times: StartTimes,
    /// The control service's clock against this process's.
    control: Skew,
    /// When cold nodes started, as the predecessor saw it. Danger: it may have seen a node start that by every clock known here started
    /// long ago.
    inherited: FxHashMap<ServerId, (Incarnation, Nanos)>,
}

impl NodeStarts {
    /// Starts with what the predecessor of this process knew; `now` is the time by this process's clock.
    pub fn inherited(clock: Option<&StartClockHandover>, cold: &[SlowStartAllowance], now: Nanos) -> Self {
        let mut starts = NodeStarts::default();
        let Some(clock) = clock else { return starts };
        let monotonic = monotonic_nanos();
        starts.times.inherit_offset(now as i64 - clock.starts_at(monotonic) as i64);
        let process_now = clock.process_at(monotonic);
        for allowance in cold {
            let Some(incarnation) = allowance.incarnation else { continue };
            let incarnation = read_incarnation(incarnation);
            let age = process_now.saturating_sub(allowance.started);
            starts.inherited.insert(allowance.node, (incarnation, now.saturating_sub(age)));
        }
        starts
    }

    /// The list that this process starts with.
    pub fn first_listed(&mut self, known: Option<&EndpointList>, now: Nanos) -> Vec<ListedEndpoint> {
        let servers = known.map_or(&[][..], |known| &known.servers);
        servers.iter().for_each(|endpoint| self.times.record(endpoint, now));
        self.update_offset();
        servers.iter().map(|endpoint| self.listed(endpoint, now)).collect()
    }

    /// The clocks for a successor; `now` is the time by this process's clock.
    pub fn clock_handover(&self, now: Nanos) -> StartClockHandover {
        StartClockHandover {
            starts_nanos: now.saturating_add_signed(-self.times.ahead()),
            process_nanos: now,
            monotonic_nanos: monotonic_nanos(),
        }
    }

    /// Records a list of discovery. Returns whether nodes that were listed before have to be listed anew.
    pub fn record_list(&mut self, list: &EndpointList, now: Nanos) -> bool {
        self.times.record_list(list, now);
        self.update_offset()
    }

    /// Records the date of a response from discovery. Returns whether nodes have to be listed anew.
    pub fn record_response_date(&mut self, date: Nanos, now: Nanos, offsets: &ClockOffsets) -> bool {
        let before = offsets.discovery.get();
        self.times.record_response_date(date, now);
        let has_changed = self.update_offset();
        let ahead_ms = -(now as i64 - date as i64) / NANOS_PER_MILLISECOND as i64;
        if ahead_ms.abs_diff(before) >= MIN_LOGGED_CHANGE_MS {
            offsets.discovery.set(ahead_ms);
            self.log_clocks("discovery's", ahead_ms);
        }
        has_changed
    }

    /// Takes over how far the control service's clock is ahead from the predecessor.
    pub fn inherit_control_clock(&mut self, skew: Skew) {
        self.control = skew;
    }

    /// Records how far the control service's clock is ahead. Returns whether nodes have to be listed anew.
    pub fn record_control_clock(&mut self, skew: Skew, offsets: &ClockOffsets) -> bool {
        self.control = skew;
        self.times.record_control_clock(skew.ahead());
        offsets.control.set(skew.ahead() / NANOS_PER_MILLISECOND as i64);
        self.update_offset()
    }

    fn update_offset(&mut self) -> bool {
        let before = self.times.clock();
        let has_changed = self.times.update_offset();
        if has_changed && before != self.times.clock() {
            crate::proxy::log(format_args!(
                "nodes' starts go by {} from here on: this process's clock is {:+.0} s from it",
                self.times.clock().as_str(),
                self.times.ahead() as f64 / SECOND as f64
            ));
        }
        has_changed
    }

    fn log_clocks(&self, other: &str, other_ahead_ms: i64) {
        crate::proxy::log(format_args!(
            "this machine's wall clock was {:+.0} s from {other} at the start; nodes' starts go by {}",
            -other_ahead_ms as f64 / 1e3,
            self.times.clock().as_str()
        ));
    }

    /// Lists a node that no override concerns.
    pub fn listed(&mut self, endpoint: &Endpoint, now: Nanos) -> ListedEndpoint {
        self.listed_with(endpoint, None, now)
    }

    /// Lists a node of the merged list.
    pub fn listed_view(&mut self, view: &EndpointView<'_>, now: Nanos) -> ListedEndpoint {
        self.listed_with(view.member, view.cold_return_at, now)
    }

    fn listed_with(
        &mut self,
        endpoint: &Endpoint,
        cold_return_at: Option<OverrideTime>,
        now: Nanos,
    ) -> ListedEndpoint {
        let incarnation = incarnation(endpoint, cold_return_at);
        let local_return =
            |at: OverrideTime| at.unix_nanos().saturating_add_signed(-self.control.ahead()).min(now);
        let returned_at = cold_return_at.map_or(0, local_return);
        let server = server_id(&endpoint.id);
        let inherited = self.inherited.get(&server).filter(|(known, _)| *known == incarnation);
        let inherited_at = inherited.map_or(0, |(_, started_at)| *started_at);
        let started_at = self.times.local_start(endpoint, now).max(returned_at).max(inherited_at);
        ListedEndpoint { endpoint: endpoint.clone(), started_at, incarnation }
    }
}

/// Names the process of an endpoint, or its return.
fn incarnation(endpoint: &Endpoint, cold_return_at: Option<OverrideTime>) -> Incarnation {
    Incarnation {
        // Rounded, as in the list that is handed over.
        started_ms: (endpoint.started.unix_nanos() + NANOS_PER_MILLISECOND / 2) / NANOS_PER_MILLISECOND,
        cold_return_ms: cold_return_at.map_or(0, |at| at.unix_nanos() / NANOS_PER_MILLISECOND),
    }
}

#[cfg(test)]
mod tests;
