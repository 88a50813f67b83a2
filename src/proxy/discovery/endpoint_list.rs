//! The endpoint list of this proxy: discovery's list alone, or merged with a control service's.

use crate::api::{server_id, ListKind, ServerId};
use crate::proxy::discovery::node_starts::{ListedEndpoint, NodeStarts};
use crate::proxy::engine::Engine;
use rushquay_admin::{RequestMetrics, StatementSource};
use rushquay_control_service::monotonic_nanos;
use rushquay_endpoints::{
    Changes, Endpoint, EndpointList, EndpointMerger, EndpointState, ListAssembler, MergeLimits, MergeTime,
    MonotonicTime, OverrideTime, PassedOver, Pin, Pins, Source, WatchEvent,
};
use rushquay_handover::{ControlClock, ControlHandover, StartClockHandover};
use rushquay_invariants::Label;
use rushquay_lease::{Nanos, Skew, SECOND};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Bound on the error of a clock that was never measured: any measurement is better.
const UNMEASURED_ERROR: Nanos = 24 * 3600 * SECOND;

/// Most lines that the log gets of one event about statements that are passed over.
const MAX_PASSED_OVER_LINES: usize = 16;

/// Receives endpoint lists from their sources and passes one merged list to the engine.
pub struct EndpointFeed {
    engine: Rc<Engine>,
    metrics: Arc<RequestMetrics>,
    /// Merges the lists; `None` without a subscription to a control service.
    merger: Option<RefCell<EndpointMerger>>,
    /// How far the control service's clock is ahead of this process's. Override times are on the control service's clock.
    skew: Cell<Skew>,
    /// The pins that the engine was last given.
    pins: RefCell<Vec<(Pin, ServerId)>>,
    /// Discovery's complete list, for a successor.
    discovered: RefCell<ListAssembler>,
    /// When nodes started by this process's clock.
    starts: RefCell<NodeStarts>,
    /// Unix time at the start of the process, and the reading of the machine's steady clock at that moment.
    clock_origin: (Nanos, Nanos),
}

impl EndpointFeed {
    /// Creates a feed. With `limits`, discovery's list is merged with a control service's; without, it is passed on unchanged. `known` is
    /// the list that the engine was started with.
    pub fn new(
        engine: Rc<Engine>,
        metrics: Arc<RequestMetrics>,
        limits: Option<MergeLimits>,
        known: Option<&EndpointList>,
        starts: NodeStarts,
    ) -> Rc<Self> {
        let merger = limits.map(|limits| {
            let mut merger = EndpointMerger::new(limits);
            if let Some(known) = known {
                // The engine already has this list, so the changes are dropped.
                let _ =
                    merger.apply_list(Source::Configured, known, MergeTime::without_overrides(engine.now()));
            }
            RefCell::new(merger)
        });
        let clock_origin = (engine.now(), monotonic_nanos());
        let mut discovered = ListAssembler::default();
        known.iter().for_each(|known| discovered.apply(known));
        let (skew, pins, discovered) = (Cell::default(), RefCell::default(), RefCell::new(discovered));
        let starts = RefCell::new(starts);
        Rc::new(EndpointFeed { engine, metrics, merger, skew, pins, discovered, starts, clock_origin })
    }

    /// Returns Unix time by this process's clock, which never steps.
    pub fn now(&self) -> Nanos {
        self.clock_origin.0 + monotonic_nanos().saturating_sub(self.clock_origin.1)
    }

    /// Returns the current time: on this process's clock for intervals, and for overrides on the control service's clock as far as its
    /// offset is known.
    fn merge_time(&self) -> MergeTime {
        let now = self.now();
        let control_service_now = now.saturating_add_signed(self.skew.get().ahead());
        MergeTime {
            monotonic: MonotonicTime::from_nanos(now),
            overrides: OverrideTime::from_unix_nanos(control_service_now),
        }
    }

    /// Handles a measurement of the control service's clock against this process's.
    pub fn on_clock_measurement(&self, ahead: i64, error: Nanos) {
        let mut skew = self.skew.get();
        let before = skew.ahead();
        if skew.add_measurement(ahead, error, monotonic_nanos()) && ahead.abs_diff(before) > SECOND / 2 {
            crate::proxy::log(format_args!(
                "control service: clock offset {:+.3} s, within {:.3} s; overrides expire by that clock",
                ahead as f64 / SECOND as f64,
                error as f64 / SECOND as f64
            ));
        }
        self.skew.set(skew);
        let has_changed = self.starts.borrow_mut().record_control_clock(skew, &self.metrics.clock_offsets);
        // By the new offset, overrides may have expired or not yet have expired.
        self.tick();
        self.list_anew_if(has_changed);
    }

    /// Returns discovery's complete list.
    pub fn discovered_list(&self) -> Option<EndpointList> {
        self.discovered.borrow().whole_list()
    }

    /// Handles the complete list from discovery, or changes to it.
    pub fn on_discovery_list(&self, list: &EndpointList) {
        self.discovered.borrow_mut().apply(list);
        let has_changed = self.starts.borrow_mut().record_list(list, self.engine.now());
        let Some(merger) = &self.merger else {
            let kind = if list.full { ListKind::Full } else { ListKind::Delta };
            let listed = self.listed(&list.servers);
            self.engine.list(kind, &listed);
            return self.list_anew_if(has_changed);
        };
        let changes = merger.borrow_mut().apply_list(Source::Discovery, list, self.merge_time());
        self.report_passed_over(&mut merger.borrow_mut());
        if list.full {
            self.engine.list(ListKind::Full, &self.all_listed());
        } else {
            // Passed on even if nothing changed, so that the module learns that discovery responds.
            self.apply_changes(changes);
            self.list_anew_if(has_changed);
        }
    }

    /// Handles the Unix time of a response from discovery, by discovery's clock.
    pub fn on_response_date(&self, date: Nanos) {
        let offsets = &self.metrics.clock_offsets;
        let has_changed = self.starts.borrow_mut().record_response_date(date, self.engine.now(), offsets);
        self.list_anew_if(has_changed);
    }

    /// Returns the clocks by which nodes' starts are told, for a successor.
    pub fn start_clock_handover(&self) -> StartClockHandover {
        self.starts.borrow().clock_handover(self.engine.now())
    }

    /// Lists these endpoints of discovery as the engine takes them.
    fn listed(&self, endpoints: &[Endpoint]) -> Vec<ListedEndpoint> {
        let (now, mut starts) = (self.engine.now(), self.starts.borrow_mut());
        endpoints.iter().map(|endpoint| starts.listed(endpoint, now)).collect()
    }

    /// Lists all nodes as the engine takes them.
    fn all_listed(&self) -> Vec<ListedEndpoint> {
        let Some(merger) = &self.merger else {
            return self.discovered_list().map_or(Vec::new(), |list| self.listed(&list.servers));
        };
        let (now, mut starts) = (self.engine.now(), self.starts.borrow_mut());
        merger.borrow().nodes().map(|view| starts.listed_view(&view, now)).collect()
    }

    /// Tells the engine of all nodes again if their ages are known better than before.
    fn list_anew_if(&self, has_changed: bool) {
        if has_changed {
            self.engine.list(ListKind::Delta, &self.all_listed());
        }
    }

    /// Handles that discovery is unreachable. Its list stays in use.
    pub fn on_discovery_failure(&self) {
        if let Some(merger) = &self.merger {
            merger.borrow_mut().mark_lost(Source::Discovery);
        }
        self.engine.list(ListKind::Failed, &[]);
    }

    /// Handles an event from the control service. `process` identifies the control service's process.
    pub fn on_control_event(&self, process: &str, event: WatchEvent) {
        self.update_merge(|merger, now| merger.apply_control_event(process, event, now));
    }

    /// Handles that the control service is unreachable. Its list stays in use.
    pub fn control_lost(&self) {
        self.update_merge(|merger, _| {
            merger.mark_lost(Source::Control);
            Changes::default()
        });
    }

    /// Handles that the control service has delivered its complete state on the current stream.
    pub fn control_confirmed(&self) {
        self.update_merge(EndpointMerger::confirm_control);
    }

    /// Returns what the control service has said, for a successor; `None`: nothing.
    pub fn control_handover(&self) -> Option<ControlHandover> {
        let merger = self.merger.as_ref()?.borrow();
        let now = self.merge_time();
        let monotonic_nanos = monotonic_nanos();
        let clock = ControlClock {
            unix_nanos: now.overrides.unix_nanos(),
            monotonic_nanos,
            error_nanos: self.skew.get().error(monotonic_nanos),
        };
        let view = merger.control_snapshot(self.discovered_list().as_ref(), now)?;
        Some(ControlHandover { clock, view })
    }

    /// Acts by what the control service had said to the predecessor of this process, until it says something else.
    pub fn inherit_control(&self, given: ControlHandover) {
        let monotonic = monotonic_nanos();
        let control_service_now = given.clock.at(monotonic) as i64;
        let ahead = control_service_now.saturating_sub(self.now() as i64);
        let mut skew = self.skew.get();
        skew.add_measurement(ahead, given.clock.error_nanos.unwrap_or(UNMEASURED_ERROR), monotonic);
        self.skew.set(skew);
        self.starts.borrow_mut().inherit_control_clock(skew);
        self.update_merge(|merger, now| merger.inherit_control(given.view, now));
    }

    /// Expires overrides, pins and other entries with a time limit.
    pub fn tick(&self) {
        self.update_merge(EndpointMerger::tick);
    }

    /// Applies a change to the merger, if there is one, and passes the result on to the engine.
    fn update_merge(&self, change: impl FnOnce(&mut EndpointMerger, MergeTime) -> Changes) {
        let Some(merger) = &self.merger else { return };
        let changes = change(&mut merger.borrow_mut(), self.merge_time());
        self.report_passed_over(&mut merger.borrow_mut());
        self.update_pins(&merger.borrow());
        if !changes.is_empty() {
            self.apply_changes(changes);
        }
    }

    /// Logs and counts the restrictions that the merger does not follow.
    fn report_passed_over(&self, merger: &mut EndpointMerger) {
        let passed_over = merger.take_passed_over();
        passed_over.iter().for_each(|p| self.metrics.passed_over.one_more(statement_source(p.source)));
        passed_over.iter().take(MAX_PASSED_OVER_LINES).for_each(log_passed_over);
        if let Some(more @ 1..) = passed_over.len().checked_sub(MAX_PASSED_OVER_LINES) {
            crate::proxy::log(format_args!("{more} more statements about nodes are passed over"));
        }
    }

    /// Passes operators' pins on to the engine if they changed.
    fn update_pins(&self, merger: &EndpointMerger) {
        let mut pins: Vec<(Pin, ServerId)> =
            merger.pins().map(|(id, pin)| (self.with_own_clock(pin), server_id(id))).collect();
        pins.sort_by_key(|(pin, _)| pin.number);
        if *self.pins.borrow() != pins {
            self.engine.pin(Pins::new(pins.iter().cloned()));
            *self.pins.borrow_mut() = pins;
        }
    }

    /// Converts a pin's end from the control service's clock to the engine's, which is this process's.
    fn with_own_clock(&self, pin: &Pin) -> Pin {
        Pin { until: pin.until.saturating_add_signed(-self.skew.get().ahead()), ..pin.clone() }
    }

    /// Passes changes of the merged list on to the engine.
    fn apply_changes(&self, changes: Changes) {
        let Some(merger) = &self.merger else { return };
        let gone = changes.gone.into_iter().map(|m| Endpoint { state: EndpointState::Gone, ..m });
        let mut entries = self.listed(&gone.collect::<Vec<_>>());
        let (now, merger, mut starts) = (self.engine.now(), merger.borrow(), self.starts.borrow_mut());
        let changed = changes.upserts.iter().filter_map(|endpoint| merger.node(&endpoint.id));
        entries.extend(changed.map(|view| starts.listed_view(&view, now)));
        drop((merger, starts));
        self.engine.list(ListKind::Delta, &entries);
    }
}

fn statement_source(source: Source) -> StatementSource {
    match source {
        Source::Discovery => StatementSource::Discovery,
        Source::Configured => StatementSource::Configured,
        Source::Control => StatementSource::Control,
    }
}

/// Logs which restriction is not followed and why, with the starts as they are compared.
fn log_passed_over(passed_over: &PassedOver) {
    let PassedOver { id, source, state, started, followed, followed_start } = passed_over;
    let (source, followed) = (statement_source(*source), statement_source(*followed));
    crate::proxy::log(format_args!(
        "node {id}: {} says {} of the process that started at {} ns, and is passed over: {} knows a start at {} ns",
        source.name(),
        state.as_str(),
        started.unix_nanos(),
        followed.name(),
        followed_start.unix_nanos(),
    ));
}
