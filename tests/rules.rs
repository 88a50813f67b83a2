//! The six rules as properties over generated event sequences, with a fixed seed.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rushquay::api::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Ask { class: u32, key: u64, remaining: u64, write: bool },
    End { which: usize, status: usize },
    Pass { ms: u64 },
    Change { server: u64, state: usize, kind: ListKind },
    Leave { which: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u32..5, 0u64..40, 0u64..900, any::<bool>())
            .prop_map(|(class, key, remaining, write)| Step::Ask { class, key, remaining, write }),
        5 => (0usize..64, 0usize..9).prop_map(|(which, status)| Step::End { which, status }),
        3 => (0u64..300).prop_map(|ms| Step::Pass { ms }),
        1 => (0u64..8, 0usize..3, prop_oneof![Just(ListKind::Delta), Just(ListKind::Full), Just(ListKind::Cached)])
            .prop_map(|(server, state, kind)| Step::Change { server, state, kind }),
        1 => (0usize..64).prop_map(|which| Step::Leave { which }),
    ]
}

const ENDS: [Status; 9] = [
    Status::Ok,
    Status::Error,
    Status::Full,
    Status::Timeout,
    Status::ConnectFailed,
    Status::Reset,
    Status::Cancelled,
    Status::Moot,
    Status::Miss,
];

struct Try {
    server: ServerId,
    sent: Nanos,
    due: Nanos,
    pending: bool,
    ran: bool,
}

struct Asked {
    class: usize,
    deadline: Nanos,
    over: bool,
    tries: Vec<Try>,
}

/// The world around one proxy, which checks each action as it is made.
struct World {
    proxy: Proxy,
    settings: Settings,
    asked: BTreeMap<RequestId, Asked>,
    timers: Vec<(Nanos, u64)>,
    list: BTreeMap<ServerId, Entry>,
    /// Draining servers at which this proxy may hold idle connections, and until when they may stay open.
    to_close: BTreeMap<ServerId, Nanos>,
}

impl World {
    fn new(settings: Settings) -> Self {
        let list = entries(0..8);
        let proxy = Proxy::new(settings.clone(), 11);
        let mut w = World {
            proxy,
            settings,
            asked: BTreeMap::new(),
            timers: Vec::new(),
            list: list.iter().map(|e| (e.server, e.clone())).collect(),
            to_close: BTreeMap::new(),
        };
        let actions = w.proxy.list(ListKind::Cached, list);
        w.check(actions);
        w
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.proxy.now;
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => {
                    let r = self.asked.get_mut(&id).expect("a known request");
                    assert!(!r.over, "sent after the final answer");
                    assert!(now <= r.deadline, "sent after the deadline");
                    assert_eq!(
                        self.list[&server].state,
                        State::Ready,
                        "sent to a server that drains or is gone"
                    );
                    assert!(r.tries.len() < self.settings.max_attempts as usize, "too many attempts");
                    assert!(
                        self.settings.allows_hedging || r.tries.iter().all(|t| !t.pending),
                        "two at once"
                    );
                    let class = &self.settings.classes[r.class];
                    let entry = &self.list[&server];
                    let origin =
                        self.settings.is_cache_aside && self.settings.origin_kind == Some(entry.kind);
                    let fits = |set: &Option<Vec<u32>>, v| set.as_ref().is_none_or(|s| s.contains(&v));
                    let placed = fits(&class.zones, entry.zone) && fits(&class.kinds, entry.kind);
                    assert!(origin || placed, "sent to a server that is not open to its class");
                    for t in r.tries.iter().filter(|t| t.pending || t.ran) {
                        let (old, new) = (&self.list[&t.server], &self.list[&server]);
                        match class.effect {
                            Effect::Safe => {}
                            Effect::Unsafe => panic!("an unsafe request sent again"),
                            Effect::Keyed => {
                                assert!(now < t.sent + class.dedup_window, "sent outside the window");
                                match class.group {
                                    Group::All => {}
                                    Group::Zone => assert_eq!(old.zone, new.zone),
                                    Group::Cell => assert_eq!((old.zone, old.cell), (new.zone, new.cell)),
                                }
                            }
                        }
                    }
                    let due = if timeout == 0 { r.deadline } else { r.deadline.min(now + timeout) };
                    r.tries.push(Try { server, sent: now, due, pending: true, ran: false });
                }
                Action::Reject { id, .. } => {
                    let r = self.asked.get_mut(&id).expect("a known request");
                    assert!(!r.over, "two final answers");
                    let class = &self.settings.classes[r.class];
                    let ran = r.tries.iter().any(|t| t.pending || t.ran);
                    assert!(
                        !ran || class.effect == Effect::Safe
                            || (class.effect == Effect::Keyed && class.group == Group::All)
                    );
                    r.over = true;
                }
                Action::Fail { id } => {
                    let r = self.asked.get_mut(&id).expect("a known request");
                    assert!(!r.over, "two final answers");
                    r.over = true;
                }
                Action::Timer { token, delay } => self.timers.push((now + delay, token)),
                Action::Cancel { id, attempt } => {
                    assert!(self.settings.allows_cancel);
                    assert!((attempt as usize) < self.asked[&id].tries.len());
                }
                Action::Close(server) => {
                    self.to_close.remove(&server);
                }
                Action::Subscribe => {}
            }
        }
        assert!(self.to_close.values().all(|until| now <= *until), "idle at a draining server for too long");
    }

    /// From now on a connection may be idle at this server: it has to be closed in time where it drains.
    fn idle(&mut self, server: ServerId) {
        self.to_close.remove(&server);
        if self.settings.idle_close_limit > 0 && self.list[&server].state == State::Draining {
            self.to_close.insert(server, self.proxy.now + self.settings.idle_close_limit);
        }
    }

    fn finish(&mut self, id: RequestId, n: usize, status: Status) {
        let now = self.proxy.now;
        let r = self.asked.get_mut(&id).expect("asked");
        let t = &mut r.tries[n];
        (t.pending, t.ran) = (false, !status.never_ran());
        let (server, sent) = (t.server, t.sent);
        r.over |= status == Status::Ok;
        let last = r.over;
        let event =
            Event::Outcome { id, attempt: n as u32, server, status, elapsed: now - sent, last, hit: None };
        let actions = self.proxy.event(event);
        self.idle(server);
        self.check(actions);
    }

    /// Lets time pass, with timers and time-outs in their order.
    fn pass(&mut self, until: Nanos) {
        loop {
            let due = self.asked.iter().flat_map(|(id, r)| {
                r.tries.iter().enumerate().filter(|(_, t)| t.pending).map(move |(n, t)| (t.due, *id, n))
            });
            let due = due.min();
            let timer = self.timers.iter().copied().min();
            match (due, timer) {
                (Some((at, id, n)), t) if at <= until && t.is_none_or(|t| at <= t.0) => {
                    self.proxy.now = self.proxy.now.max(at);
                    self.finish(id, n, Status::Timeout);
                }
                (_, Some((at, token))) if at <= until => {
                    self.timers.retain(|t| *t != (at, token));
                    self.proxy.now = self.proxy.now.max(at);
                    let actions = self.proxy.event(Event::Timer(token));
                    self.check(actions);
                }
                _ => break,
            }
        }
        self.proxy.now = until;
        self.check(Vec::new());
        for (id, r) in &self.asked {
            assert!(r.over || r.deadline + 20 * MS >= until, "request {id} was never answered");
        }
    }

    fn live(&self) -> Vec<Entry> {
        self.list.values().filter(|e| e.state != State::Gone).cloned().collect()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { class, key, remaining, write } => {
                let class = class % self.settings.classes.len() as u32;
                let id = self.asked.len() as u64 + 1;
                let deadline = self.proxy.now + remaining * MS;
                self.asked.insert(id, Asked { class: class as usize, deadline, over: false, tries: vec![] });
                let base = Request::default();
                let request = Request {
                    class,
                    key: Some(key),
                    tenant: Some(key as u32 % 4),
                    remaining: remaining * MS,
                    is_write: write,
                    ..base
                };
                let (got, actions) = self.proxy.ask_as(request);
                assert_eq!(got, id);
                self.check(actions);
            }
            Step::End { which, status } => {
                let pending: Vec<(RequestId, usize)> = self
                    .asked
                    .iter()
                    .flat_map(|(id, r)| {
                        r.tries.iter().enumerate().filter(|(_, t)| t.pending).map(move |(n, _)| (*id, n))
                    })
                    .collect();
                if let Some((id, n)) = pending.get(which % pending.len().max(1)) {
                    self.finish(*id, *n, ENDS[status]);
                }
            }
            Step::Pass { ms } => self.pass(self.proxy.now + ms * MS),
            Step::Change { server, state, kind } => {
                let state = [State::Ready, State::Draining, State::Gone][state];
                let changed = Entry { state, ..entry(server) };
                self.list.insert(changed.server, changed.clone());
                let server = changed.server;
                let actions = match kind {
                    ListKind::Delta => self.proxy.list(kind, vec![changed]),
                    // A whole list leaves out what is gone.
                    _ => self.proxy.list(kind, self.live()),
                };
                self.idle(server);
                self.check(actions);
            }
            Step::Leave { which } => {
                let open: Vec<RequestId> =
                    self.asked.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(which % open.len().max(1)) {
                    self.asked.get_mut(id).expect("asked").over = true;
                    let actions = self.proxy.event(Event::ClientGone(*id));
                    self.check(actions);
                }
            }
        }
    }
}

fn hold(settings: Settings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&proptest::collection::vec(step(), 1..120), |steps| {
        let mut world = World::new(settings.clone());
        steps.into_iter().for_each(|s| world.step(s));
        world.pass(world.proxy.now + 5 * SECOND);
        Ok(())
    });
    run.expect("the rules hold");
}

fn classes() -> Settings {
    let mut s = settings();
    let base = s.classes[0].clone();
    let keyed = |group| Class { effect: Effect::Keyed, group, ..base.clone() };
    s.classes.push(keyed(Group::All));
    s.classes.push(keyed(Group::Cell));
    s.classes.push(Class { effect: Effect::Unsafe, ..base.clone() });
    s
}

#[test]
fn rules_hold_with_second_copies() {
    hold(classes());
}

#[test]
fn rules_hold_with_one_attempt_at_a_time_and_an_asked_list() {
    hold(Settings { allows_hedging: false, must_subscribe: true, allows_cancel: false, ..classes() });
}

#[test]
fn rules_hold_with_tenants_reports_and_prices() {
    let tenants = vec![Tenant { quota_rps: 5.0 }, Tenant { quota_rps: f64::NAN }, Tenant { quota_rps: -1.0 }];
    let prices = Settings { handshake_price: 0.05, cross_zone_price: 0.1, ..classes() };
    hold(Settings { tenants, over_share_worth: 0.05, conn_idle: SECOND, ..prices });
}

#[test]
fn settings_that_make_no_sense_break_no_rule() {
    let mut s = classes();
    s.classes.iter_mut().for_each(|c| (c.worth, c.late_value) = (f64::NAN, -3.0));
    let odd = Settings {
        proxies: 0,
        warm_up_time: 0,
        overload_window: 0,
        overload_multiple: f64::NAN,
        initial_capacity_fraction: 7.0,
        ..s
    };
    hold(Settings { over_share_worth: f64::INFINITY, max_retry_after: 0, max_subscribe_delay: 0, ..odd });
}

#[test]
#[should_panic(expected = "an unsafe request sent again")]
fn the_checker_catches_a_second_effect() {
    let mut w = World::new(classes());
    w.step(Step::Ask { class: 3, key: 1, remaining: 500, write: false });
    let server = w.asked[&1].tries[0].server;
    w.check(vec![Action::Send { id: 1, server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "sent to a server that drains or is gone")]
fn the_checker_catches_a_send_to_a_draining_server() {
    let mut w = World::new(classes());
    w.step(Step::Ask { class: 0, key: 1, remaining: 500, write: false });
    w.step(Step::Change { server: 2, state: 1, kind: ListKind::Delta });
    w.check(vec![Action::Send { id: 1, server: entry(2).server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "two final answers")]
fn the_checker_catches_a_second_answer() {
    let mut w = World::new(classes());
    w.step(Step::Ask { class: 0, key: 1, remaining: 500, write: false });
    w.check(vec![Action::Fail { id: 1 }, Action::Fail { id: 1 }]);
}

#[test]
#[should_panic(expected = "was never answered")]
fn the_checker_catches_a_lost_request() {
    let mut w = World::new(classes());
    let request = Asked { class: 0, deadline: w.proxy.now + MS, over: false, tries: vec![] };
    w.asked.insert(99, request);
    w.pass(w.proxy.now + SECOND);
}

fn placed() -> Settings {
    let mut s = classes();
    let base = s.classes[0].clone();
    s.classes.push(Class { zones: Some(vec![0, 2]), kinds: Some(vec![0]), ..base });
    Settings { idle_close_limit: 100 * MS, ..s }
}

#[test]
fn rules_hold_with_placement_and_closing_on_drains() {
    hold(placed());
    hold(Settings { is_cache_aside: true, origin_kind: Some(1), ..placed() });
    let mut nowhere = placed();
    nowhere.classes[4].zones = Some(vec![]);
    hold(Settings { initial_capacity_fraction: f64::NAN, ..nowhere });
}

#[test]
#[should_panic(expected = "not open to its class")]
fn the_checker_catches_a_send_outside_the_class_s_zones() {
    let mut w = World::new(placed());
    w.step(Step::Ask { class: 4, key: 1, remaining: 500, write: false });
    w.check(vec![Action::Send { id: 1, server: entry(1).server, timeout: 0 }]);
}

#[test]
#[should_panic(expected = "idle at a draining server for too long")]
fn the_checker_catches_a_connection_left_open_on_a_drain() {
    let mut w = World::new(placed());
    w.step(Step::Change { server: 2, state: 1, kind: ListKind::Full });
    w.idle(entry(2).server);
    w.pass(w.proxy.now + SECOND);
}

#[test]
fn rules_hold_aside() {
    hold(Settings { is_cache_aside: true, origin_kind: Some(0), ..classes() });
    hold(Settings { is_cache_aside: true, origin_kind: Some(1), max_attempts: 2, ..classes() });
}
