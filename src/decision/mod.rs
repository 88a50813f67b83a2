//! Every decision of rushquay. The interface (types, settings, events, actions) is `src/decision/api.rs`.
//!
//! The ordinary path is Go-With-The-Winner: a key's bucket has SIGMA hashed candidates, each with a window of
//! its last TAU outcomes; the first candidate with TAU hits in a row wins the bucket and keeps it.
//!
//! A request passes these sections: admission (is it taken), candidates and windows (which bucket, which
//! pin), health and cold ramp (who may not be asked now), choice (who is), attempts (is it lawful, and for
//! how long); then, by its outcomes, windows and health again, the limit on the origin, and another
//! attempt or the final answer. Each exception to the ordinary path names the danger that it guards against.

mod admission;
pub mod api;
mod attempts;
mod candidates;
mod endpoint_set;
mod hash;
mod latency_objective;
mod load_balancer;
mod origin_limit;
mod outcome_window;
mod outlier_detection;
mod request;
mod slow_start;
mod subscription;
mod tenant_quota;
pub mod token_bucket;
mod traffic;

use admission::*;
use api::*;
use attempts::*;
use candidates::*;
use endpoint_set::*;
use hash::{mix, unit};
use latency_objective::*;
use origin_limit::*;
use outcome_window::*;
use request::*;
use rustc_hash::FxHashMap;
use std::rc::Rc;
use subscription::*;
use token_bucket::Allowance;
use traffic::*;

const MS: Nanos = 1_000_000;

const SECOND: Nanos = 1_000_000_000;

/// The decision module of one proxy.
#[derive(Default)]
pub struct Balancer {
    settings: Rc<Settings>,
    random: u64,
    // discovery
    by_id: FxHashMap<ServerId, u32>,
    servers: Vec<Server>,
    free: Vec<u32>,
    version: u64,
    total_weight: f64,
    live: f64,
    /// The part of attempts that fails lately.
    failing: f64,
    subscribed: bool,
    asked: bool,
    failures: u32,
    ask_token: u64,
    // traffic
    buckets: FxHashMap<u32, Bucket>,
    open: FxHashMap<RequestId, Open>,
    seen: Vec<Seen>,
    count: Fading,
    started: Option<Nanos>,
    inflight: f64,
    budget: f64,
    served: Fading,
    /// For each class, the first class that may use the same servers: these share candidates and pins.
    scopes: Vec<usize>,
    /// The part of the attempts that find no connection, lately.
    unreached: f64,
    // origin
    origin_out: f64,
    origin_room: f64,
    origin_cut_at: Nanos,
    /// The part of the fetches that come late or not at all, lately.
    origin_late: f64,
    // admission
    judged: Judged,
    /// Usual worth for a second's work.
    usual_worth: f64,
    /// The part of the tries that is taken, and of those of little worth.
    taken: f64,
    extra: f64,
    /// What each tenant may still send within its share, and when that was counted.
    share_left: Vec<Allowance>,
}

impl Balancer {
    /// A module with nothing learned; `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let seen = vec![Seen::default(); settings.classes.len()];
        // Danger: hundreds of proxies that each trust an origin they know nothing of flood it together.
        let room = (ORIGIN_ALL / f64::from(settings.proxies.max(1))).clamp(2.0, ORIGIN_ROOM);
        let share_left = vec![Allowance::ONE; settings.tenants.len()];
        let start = Balancer { random: seed, ask_token: ASK, seen, budget: 1.0, ..Balancer::default() };
        let mut new = Balancer { origin_room: room, taken: 1.0, extra: 1.0, share_left, ..start };
        new.scope(settings);
        new
    }

    /// Goes by other settings from the next request on: the same classes on other terms, and any tenants:
    /// `tenants` tells the number that each had before. What was learned and counted stays.
    pub fn obey(&mut self, settings: Settings, tenants: &[Option<usize>]) {
        let (before, scopes) = (self.settings.clone(), self.scopes.clone());
        self.scope(settings);
        let had =
            |t: &Option<usize>| t.and_then(|t| self.share_left.get(t).copied()).unwrap_or(Allowance::ONE);
        self.share_left = tenants.iter().map(had).collect();
        // Danger: a bucket stands for its scope's servers; under another it would ask where it may not.
        let same =
            |c: &usize| self.settings.classes.get(*c).is_some_and(|n| n.placed_as(&before.classes[*c]));
        let to = |scope: usize| (0..scopes.len()).find(|c| scopes[*c] == scope && same(c));
        let moved = |b: u32| match (u64::from(b) / BUCKETS).checked_sub(1) {
            None => Some(b),
            Some(s) => {
                to(s as usize).map(|c| ((self.scopes[c] as u64 + 1) * BUCKETS) as u32 + place(b) as u32)
            }
        };
        let buckets = std::mem::take(&mut self.buckets).into_iter();
        self.buckets = buckets.filter_map(|(b, held)| Some((moved(b)?, held))).collect();
        for open in self.open.values_mut() {
            open.bucket = open.bucket.and_then(moved);
            open.tenant = open.tenant.and_then(|t| tenants.iter().position(|had| *had == Some(t)));
        }
    }

    /// Takes one event and appends the actions it calls for.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        match event {
            Event::List { kind, entries } => self.list(now, kind, entries, actions),
            Event::Arrival(request) => self.arrival(now, request, actions),
            Event::Outcome { id, attempt, server, status, elapsed, last, hit } => {
                let attempt = attempt as usize;
                self.outcome(now, Outcome { id, attempt, server, status, elapsed, last, hit }, actions);
            }
            Event::Timer(token) => match token & !(HEDGE - 1) {
                ASK => self.ask_timer(token, actions),
                HEDGE => self.hedge(now, token & (HEDGE - 1), actions),
                _ => {}
            },
            Event::Expired(id) => self.close(id).iter().for_each(|open| self.ended(open, 0.0)),
            Event::First(id) => self.open.get_mut(&id).into_iter().for_each(|open| open.streaming = true),
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.random))
    }

    fn arrival(&mut self, now: Nanos, r: Request, actions: &mut Vec<Action>) {
        self.count.add(now, MEMORY_S);
        self.budget = (self.budget + BUDGET).min(10.0);
        let class = self.settings.classes.get(r.class as usize).cloned().unwrap_or_default();
        let aim = self.aim_left(&r, &class);
        let bucket = r.key.map(|k| self.bucket(r.class as usize, k));
        let hopeless = class.late_value <= 0.0 && (aim as f64) < 0.5 * self.usual(r.class as usize).mean;
        let mut open = Open {
            terms: self.settings.clone(),
            class: r.class as usize,
            bucket,
            write: r.write,
            aim_at: now.saturating_add(aim),
            deadline: now.saturating_add(r.remaining),
            streaming: false,
            tenant: r.tenant.map(|t| t as usize),
            arrived: now,
            judged: !hopeless,
            poor: false,
            fetch: false,
            pinned: r.pinned,
            end: End::Late,
            attempts: Vec::new(),
        };
        let share = self.shed(now, &mut open);
        let mut refused = hopeless || share > 0.0 && self.chance() < share;
        let mut spread = 1;
        if let Some(b) = bucket.filter(|_| !refused) {
            self.rank(b);
            spread = self.counted(now, b);
            // Danger: a bucket not read yet is no fetch for sure; while fetches come in time none is refused.
            // Danger: one late read of a rare key would shut a bucket whose other keys its candidates hold.
            let hit = |b: &Bucket| b.held || b.windows.iter().any(|w| w.outcomes != 0);
            let (held, read) = self.buckets.get(&b).map_or((false, false), |b| (hit(b), b.read));
            open.fetch = !self.settings.aside && !r.write && !held;
            // Danger: an origin in a jam of fetches nobody waits for fills no cache; each read joins it.
            let shut = self.origin_room < 1.0 && self.chance() > self.origin_room;
            refused = open.fetch && (read || !self.calm()) && (shut || !self.has_room(&open));
        }
        if refused {
            self.open.insert(r.id, open);
            return self.give_up(now, r.id, actions);
        }
        let target = if self.settings.aside && r.write {
            self.origin(now, &open)
        } else {
            self.choose(now, &open, spread)
        };
        self.open.insert(r.id, open);
        match target {
            Some(i) if r.remaining > 0 => {
                if self.judged.until.is_none() {
                    self.judged.sent += 1.0;
                }
                self.send(now, r.id, i, actions);
            }
            _ => self.give_up(now, r.id, actions),
        }
    }

    /// Tells every section that learns from it how an attempt ended, then ends the request or goes on.
    fn outcome(&mut self, now: Nanos, o: Outcome, actions: &mut Vec<Action>) {
        self.released(now, &o, actions);
        let to_origin = self.by_id.get(&o.server).is_some_and(|&i| self.is_origin(&self.servers[i as usize]));
        let (class, fetch) = self.open.get(&o.id).map(|open| (open.class, open.fetch)).unzip();
        let fetch = to_origin || fetch == Some(true);
        // Danger: clients that wait for less than the aim cut attempts that were not late yet; taken for
        // silence, these would have servers left that are well.
        let aim = class.and_then(|c| self.settings.classes.get(c)).map_or(0, |c| c.aim);
        let over = self.open.get(&o.id).is_some_and(|open| now.saturating_add(MS) >= open.deadline);
        let cut = over && o.status == Status::Timeout && o.elapsed < aim;
        if fetch {
            self.origin_out = (self.origin_out - 1.0).max(0.0);
            self.origin_learn(now, class, o.status, o.elapsed);
        }
        let usual = class.map(|c| self.usual(c)).unwrap_or_default();
        self.observed(now, &o, class, &usual, cut);
        let Some(open) = self.open.get_mut(&o.id) else { return };
        if let Some(a) = open.attempts.get_mut(o.attempt) {
            a.pending = false;
            a.may_have_run = !o.status.never_ran();
        }
        open.end = match o.status {
            Status::Full | Status::ConnectFailed => End::Full,
            Status::Error | Status::Reset | Status::Miss => End::Other,
            Status::Ok if o.hit == Some(false) => End::Other,
            _ if fetch => End::Other,
            _ => End::Late,
        };
        let told = !open.write && !matches!(o.status, Status::Cancelled | Status::Moot);
        if let Some(b) = open.bucket.filter(|_| told) {
            // Without a note an answer no slower than usual passes for a hit.
            let quick = (o.elapsed as f64) < usual.mean + 2.0 * usual.spread.max(1.0);
            self.learn(b, o.server, o.status == Status::Ok, o.hit.unwrap_or(quick));
        }
        if o.last {
            self.finished(now, &o, actions);
        } else {
            self.go_on(now, &o, to_origin, actions);
        }
    }

    /// What an outcome says of the server's health and of the usual times of the class.
    fn observed(&mut self, now: Nanos, o: &Outcome, class: Option<usize>, usual: &Seen, cut: bool) {
        let soon = cut || usual.count > 5.0 && (o.elapsed as f64) < usual.mean + 2.0 * usual.spread;
        match o.status {
            Status::Ok | Status::Miss => self.passed(now, o.server),
            Status::ConnectFailed => self.failed(now, o.server, 2.0),
            Status::Timeout if soon => {}
            // Danger: a thin proxy would leave a server for one error by chance; silence tells it more.
            Status::Error if self.thin(now) => self.failed(now, o.server, 0.8),
            Status::Error | Status::Timeout | Status::Reset => self.failed(now, o.server, 1.0),
            // Danger: a server that slows down turns most of what all send away; each proxy sees a few.
            Status::Full if self.thin(now) => self.failed(now, o.server, 0.5),
            Status::Full | Status::Cancelled | Status::Moot => {}
        }
        if o.status == Status::Ok {
            self.served.add(now, SERVED_S);
            if let Some(seen) = class.and_then(|c| self.seen.get_mut(c)) {
                seen.count += 1.0;
                let gain = (1.0 / seen.count).max(0.03);
                let off = o.elapsed as f64 - seen.mean;
                seen.mean += gain * off;
                seen.spread += gain * (off.abs() - seen.spread);
            }
        }
    }
}
