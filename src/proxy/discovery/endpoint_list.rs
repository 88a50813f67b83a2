//! The node list of this proxy: its own discovery's alone, or merged with a control service's.

use crate::api::{server_id, ListKind, ServerId};
use crate::proxy::engine::Engine;
use rushquay_control_service::steady;
use rushquay_endpoints::{
    Changes, Endpoint, EndpointList, EndpointMerger, EndpointState, ListAssembler, MergeLimits, Pin, Pins,
    Source, StartTimes, WatchEvent,
};
use rushquay_lease::{Nanos, Skew, SECOND};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Takes news from the sources and hands the module one list.
pub struct EndpointFeed {
    engine: Rc<Engine>,
    /// Where a control service is subscribed to.
    merge: Option<RefCell<EndpointMerger>>,
    /// How far the control service's clock is ahead: what it says of time is on that clock.
    skew: Cell<Skew>,
    pins: RefCell<Vec<(Pin, ServerId)>>,
    /// Discovery's list, for a process that takes over.
    roll: RefCell<ListAssembler>,
    /// When nodes started, on this process's clock.
    starts: RefCell<StartTimes>,
    /// Unix time at the start, and the machine's steady clock then.
    start: (Nanos, Nanos),
}

impl EndpointFeed {
    /// With `limits` discovery's list is merged with a control service's; without, it goes on as it comes.
    pub fn new(engine: Rc<Engine>, limits: Option<MergeLimits>, known: Option<&EndpointList>) -> Rc<Self> {
        let merge = limits.map(|limits| {
            let mut merge = EndpointMerger::new(limits);
            if let Some(known) = known {
                // The engine has it from the configuration.
                let _ = merge.list(Source::Known, known, engine.now());
            }
            RefCell::new(merge)
        });
        let start = (engine.now(), steady());
        let mut roll = ListAssembler::default();
        known.iter().for_each(|known| roll.take(known));
        let (skew, pins, roll) = (Cell::default(), RefCell::default(), RefCell::new(roll));
        let starts = RefCell::default();
        Rc::new(EndpointFeed { engine, merge, skew, pins, roll, starts, start })
    }

    /// Unix time by this machine, which never jumps.
    pub fn now(&self) -> Nanos {
        self.start.0 + steady().saturating_sub(self.start.1)
    }

    /// Unix time by the control service's clock, as far as it is known.
    fn told_now(&self) -> Nanos {
        self.now().saturating_add_signed(self.skew.get().ahead())
    }

    /// The control service's clock was measured against this one.
    pub fn measured(&self, ahead: i64, error: Nanos) {
        let mut skew = self.skew.get();
        let before = skew.ahead();
        if skew.measured(ahead, error, steady()) && ahead.abs_diff(before) > SECOND / 2 {
            crate::proxy::log(format_args!(
                "control service: its clock is {:+.3} s from this one, within {:.3} s; overrides end by it",
                ahead as f64 / SECOND as f64,
                error as f64 / SECOND as f64
            ));
        }
        self.skew.set(skew);
    }

    /// Discovery's list as a whole.
    pub fn whole(&self) -> Option<EndpointList> {
        self.roll.borrow().whole()
    }

    /// Discovery has told the whole list, or what changed.
    pub fn discovered(&self, list: EndpointList) {
        self.roll.borrow_mut().take(&list);
        let mut list = list;
        self.starts.borrow_mut().take(&mut list.servers, self.engine.now());
        let list = &list;
        let Some(merge) = &self.merge else {
            let kind = if list.full { ListKind::Full } else { ListKind::Delta };
            return self.engine.list(kind, &list.servers);
        };
        let merge = &mut *merge.borrow_mut();
        let changes = merge.list(Source::Discovery, list, self.told_now());
        if list.full {
            let all: Vec<Endpoint> = merge.nodes().map(|v| self.begun(v.member.clone())).collect();
            self.engine.list(ListKind::Full, &all);
        } else {
            // Also where nothing changed: the module hears that discovery answers.
            self.changed(changes);
        }
    }

    /// Discovery's answer was made at this Unix time, by its own clock.
    pub fn dated(&self, date: Nanos) {
        let mut starts = self.starts.borrow_mut();
        if starts.dated(date, self.engine.now()) {
            crate::proxy::log(format_args!(
                "this machine's wall clock was {:+.0} s from discovery's at the start; nodes' starts go by discovery's",
                starts.ahead() as f64 / SECOND as f64
            ));
        }
    }

    /// Discovery can't be reached; its list stands.
    pub fn failed(&self) {
        if let Some(merge) = &self.merge {
            merge.borrow_mut().lost(Source::Discovery);
        }
        self.engine.list(ListKind::Failed, &[]);
    }

    /// The control service, as the process named, has told something.
    pub fn controlled(&self, process: &str, news: WatchEvent) {
        self.with_merge(|merge, now| merge.control(process, news, now));
    }

    /// The control service can't be reached; what it said stands.
    pub fn control_lost(&self) {
        self.with_merge(|merge, _| {
            merge.lost(Source::Control);
            Changes::default()
        });
    }

    /// The control service has had its say on this stream.
    pub fn control_confirmed(&self) {
        self.with_merge(|merge, _| {
            merge.confirm();
            Changes::default()
        });
    }

    /// Time has passed.
    pub fn tick(&self) {
        self.with_merge(EndpointMerger::tick);
    }

    fn with_merge(&self, change: impl FnOnce(&mut EndpointMerger, Nanos) -> Changes) {
        let Some(merge) = &self.merge else { return };
        let changes = change(&mut merge.borrow_mut(), self.told_now());
        self.pin(&merge.borrow());
        if !changes.is_empty() {
            self.changed(changes);
        }
    }

    /// Danger: by a clock that is ahead of this one a node may have started in the future, and would count as cold until
    /// then and for its whole ramp.
    fn begun(&self, member: Endpoint) -> Endpoint {
        Endpoint { started: member.started.min(self.engine.now()), ..member }
    }

    /// Hands on what operators have pinned, where that has changed.
    fn pin(&self, merge: &EndpointMerger) {
        let mut now: Vec<(Pin, ServerId)> =
            merge.pins().map(|(id, pin)| (self.by_own_clock(pin), server_id(id))).collect();
        now.sort_by_key(|(pin, _)| pin.number);
        if *self.pins.borrow() != now {
            self.engine.pin(Pins::new(now.iter().cloned()));
            *self.pins.borrow_mut() = now;
        }
    }

    /// The engine's clock is this machine's.
    fn by_own_clock(&self, pin: &Pin) -> Pin {
        Pin { until: pin.until.saturating_add_signed(-self.skew.get().ahead()), ..pin.clone() }
    }

    fn changed(&self, changes: Changes) {
        let gone = changes.gone.into_iter().map(|m| Endpoint { state: EndpointState::Gone, ..m });
        let entries: Vec<Endpoint> = gone.chain(changes.upserts).map(|m| self.begun(m)).collect();
        self.engine.list(ListKind::Delta, &entries);
    }
}
