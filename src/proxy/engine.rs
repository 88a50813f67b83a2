//! Owns the decision module and all requests, attempts and timers: network events go in, the module's actions come out. Each request
//! gets exactly one final answer.

use crate::api::*;
use crate::proxy::clock::{margin, Clock};
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::http::answer::Answer;
use crate::proxy::observability::fleet_stats::{self, Kind};
use crate::proxy::observability::request_trace::{self, Event as Traced};
use crate::proxy::upstream::attempt::{AttemptOutcome, Cancellation, Span, UpstreamRequest};
use crate::proxy::upstream::attempt_policy::{AttemptPolicy, Made};
use crate::proxy::upstream::Upstreams;
use crate::Balancer;
use rushquay_admin::Cause;
use rushquay_endpoints::{Endpoint, Pins};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Slack for the time a request is on its way to a node.
const WAY: Nanos = 50_000_000;

/// A client's request as the module reads it; its id is assigned on arrival.
pub struct PendingRequest {
    pub request: Request,
    pub job: UpstreamRequest,
    /// The deadline runs from the last byte of the body, which may arrive this much later.
    pub upload: Nanos,
    /// What its cluster and route add; `None`: nothing.
    pub terms: Option<Rc<AttemptPolicy>>,
}

struct Attempt {
    server: ServerId,
    sent: Nanos,
    /// Its task while it is in flight.
    out: Option<(Rc<Cancellation>, AbortHandle)>,
    /// Retry rules of its route and cluster.
    made: Made,
    /// How it ended; `None`: it is in flight.
    status: Option<Status>,
}

impl Attempt {
    /// An attempt that was never sent.
    fn unsent(server: ServerId, sent: Nanos) -> Self {
        Attempt { server, sent, out: None, made: Made::unsent(), status: Some(Status::Moot) }
    }

    /// Records how it ended; `code`: the status of its response, or 0.
    fn ended(&mut self, status: Status, code: u16) {
        self.made.ended(status, code);
        self.status = Some(status);
        fleet_stats::outcome(status);
    }
}

struct Pending {
    id: RequestId,
    /// A retry relies on a group of nodes that deduplicates it.
    keyed: bool,
    /// How long the nodes deduplicate retries of its class; `None`: it needs no deduplication.
    remembered: Option<Nanos>,
    job: Rc<UpstreamRequest>,
    terms: Option<Rc<AttemptPolicy>>,
    deadline: Nanos,
    /// When its client gives up.
    client_until: Nanos,
    /// How long its client waits after the last byte of a streamed body; `None`: the last byte has arrived.
    behind_body: Option<Nanos>,
    /// Where the final answer goes; `None`: it was given.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
}

impl Pending {
    /// Its attempts.
    fn out(&self) -> impl Iterator<Item = &Cancellation> {
        self.attempts.iter().filter_map(|a| a.out.as_ref()).map(|(cancellation, _)| &**cancellation)
    }

    /// By when a retry has to begin, so that the nodes still deduplicate it against every attempt before; `None`: no limit.
    fn repeat_by(&self) -> Option<Nanos> {
        let may_have_run = |a: &&Attempt| a.status.is_none_or(|s| !s.never_ran());
        let first = self.attempts.iter().filter(may_have_run).map(|a| a.sent).min()?;
        Some(first.saturating_add(self.remembered?).saturating_sub(WAY))
    }

    /// Whether a retry would still reach the group that deduplicates it.
    fn harmless(&self) -> bool {
        let remembered =
            |t: &Rc<AttemptPolicy>| t.remembered(self.attempts.iter().map(|a| (a.sent, &a.made)));
        !self.keyed || self.terms.as_ref().is_none_or(remembered)
    }
}

struct Core {
    balancer: Balancer,
    next: RequestId,
    pending: FxHashMap<RequestId, Pending>,
}

pub struct Engine {
    clock: Clock,
    /// The configuration that new requests start under.
    active_config: RefCell<Rc<ActiveConfig>>,
    cancel: bool,
    origin: Option<u32>,
    cold: Nanos,
    core: RefCell<Core>,
    upstreams: Rc<Upstreams>,
    myself: Weak<Engine>,
    /// Requests that operators pinned to endpoints.
    pins: RefCell<Pins<ServerId>>,
}

impl Engine {
    /// Starts the module on an endpoint list that may be stale.
    pub fn new(
        acting: Rc<ActiveConfig>,
        seed: u64,
        known: &[Endpoint],
        upstreams: Rc<Upstreams>,
        clock: Clock,
    ) -> Rc<Self> {
        let engine = Rc::new_cyclic(|myself| Engine {
            clock,
            cancel: acting.settings.cancel,
            origin: acting.settings.origin_kind,
            cold: acting.settings.cold,
            core: RefCell::new(Core {
                balancer: Balancer::new(acting.settings.clone(), seed),
                next: 1,
                pending: FxHashMap::default(),
            }),
            active_config: RefCell::new(acting),
            upstreams,
            myself: myself.clone(),
            pins: RefCell::default(),
        });
        engine.list(ListKind::Cached, known);
        engine
    }

    /// The configuration that new requests start under.
    pub fn acting(&self) -> Rc<ActiveConfig> {
        self.active_config.borrow().clone()
    }

    /// Applies this configuration from the next request on: the same classes, zones and machine kinds under other terms. Open
    /// requests end under the configuration that they started with.
    pub fn apply_config(&self, acting: Rc<ActiveConfig>) {
        let tenants = acting.tenants_before(&self.active_config.borrow().names);
        self.core.borrow_mut().balancer.obey(acting.settings.clone(), &tenants);
        *self.active_config.borrow_mut() = acting;
    }

    /// Replaces the pins that operators set.
    pub fn pin(&self, pins: Pins<ServerId>) {
        *self.pins.borrow_mut() = pins;
    }

    /// Where operators pinned a request. Pins expire by this proxy's clock, at the latest a moment after the control service
    /// reports that they did.
    pub fn pinned(&self, class: &str, key: &str) -> Option<ServerId> {
        let pins = self.pins.borrow();
        if pins.is_empty() {
            return None;
        }
        pins.find(class, key, self.clock.now()).copied()
    }

    /// How many requests are unanswered or have an attempt in flight.
    pub fn open(&self) -> usize {
        self.core.borrow().pending.len()
    }

    /// How many cache nodes are listed, and how many of them the module avoids at present.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.core.borrow().balancer.avoided(self.clock.now())
    }

    /// Gives up the slow-start allowance, for a successor.
    pub fn release_slow_start_allowance(&self) -> Vec<ColdLeft> {
        self.core.borrow_mut().balancer.give_cold(self.clock.now())
    }

    /// Takes over the slow-start allowance of the incumbent.
    pub fn inherit_slow_start_allowance(&self, given: &[ColdLeft]) {
        self.core.borrow_mut().balancer.take_cold(self.clock.now(), given);
    }

    /// Whether a request could be served at present.
    pub fn can_serve(&self) -> bool {
        self.upstreams.any_ready()
    }

    /// The time in nanoseconds on the proxy's one clock.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// A change of the endpoint list.
    pub fn list(&self, kind: ListKind, members: &[Endpoint]) {
        let names = &self.acting().names;
        let entries: Vec<(Entry, Option<SocketAddr>)> = members.iter().map(|m| names.entry(m)).collect();
        request_trace::event(|| Traced::List { entries: entries.len() });
        if kind != ListKind::Failed {
            self.upstreams.update(kind != ListKind::Delta, &entries);
        }
        self.entries(kind, entries.into_iter().map(|(e, _)| e).collect());
    }

    /// A change of the endpoint list for the module alone.
    pub fn entries(&self, kind: ListKind, entries: Vec<Entry>) {
        self.feed(&mut self.core.borrow_mut(), Event::List { kind, entries });
    }

    /// Submits a request; its answer comes from the ticket.
    pub fn submit(&self, asked: PendingRequest) -> Ticket {
        let PendingRequest { mut request, job, upload, terms } = asked;
        let core = &mut *self.core.borrow_mut();
        let now = self.clock.now();
        let (answer, answered) = oneshot::channel();
        let id = core.next;
        core.next += 1;
        let patience = request.remaining.saturating_add(upload);
        request.id = id;
        let margin = margin(patience);
        request.remaining = patience - margin;
        let deadline = now.saturating_add(request.remaining);
        let keyed = request.write && self.active_config.borrow().keyed(request.class);
        let remembered = self.active_config.borrow().remembered(request.class);
        let (job, attempts) = (Rc::new(job), Vec::new());
        let client_until = now.saturating_add(patience);
        let behind_body = job.upload().map(|_| patience.saturating_sub(upload));
        let answer = Some(answer);
        let pending = Pending {
            id,
            keyed,
            remembered,
            job,
            terms,
            deadline,
            client_until,
            behind_body,
            answer,
            attempts,
        };
        core.pending.insert(id, pending);
        fleet_stats::count(Kind::Arrival, 1);
        self.feed(core, Event::Arrival(request));
        // With half of the margin left, a request that the module has not answered is failed.
        let guard = Duration::from_nanos(patience - margin / 2);
        Ticket { id, answered: Some(answered), guard, engine: self.myself.clone() }
    }

    /// The client has gone or was told that its deadline passed: nothing more is done for the request.
    fn leave(&self, id: RequestId) {
        let core = &mut *self.core.borrow_mut();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        if pending.answer.take().is_some() {
            request_trace::event(|| Traced::Gone { request: pending.job.id() });
            pending.out().for_each(Cancellation::abandoned);
            self.feed(core, Event::Expired(id));
            if self.cancel {
                self.call_off_all(core, id);
            }
            Self::forget(core, id);
        }
    }

    /// Handles the end of an attempt.
    fn ended(&self, id: RequestId, number: usize, ended: AttemptOutcome) {
        let core = &mut *self.core.borrow_mut();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        if attempt.out.take().is_none() {
            return;
        }
        attempt.ended(ended.status, ended.code);
        let (node, status) = (attempt.server, ended.status);
        request_trace::event(|| Traced::Ended { request: pending.job.id(), number, node, status });
        if let Some(response) = ended.answer {
            if let Some(answer) = pending.answer.take() {
                fleet_stats::count(Kind::Served, 1);
                let (request, status) = (pending.job.id(), response.status().as_u16());
                request_trace::event(|| Traced::Answered { request, status, after: None });
                let _ = answer.send(Answer::Served(response));
                pending.out().for_each(Cancellation::answered);
            }
        }
        let event = self.outcome(pending, number, ended.status, ended.hit);
        self.feed(core, event);
        Self::forget(core, id);
    }

    /// How an attempt ended, as the module reads it.
    fn outcome(&self, pending: &Pending, number: usize, status: Status, hit: Option<bool>) -> Event {
        let Attempt { server, sent, .. } = pending.attempts[number];
        let elapsed = self.clock.now().saturating_sub(sent);
        let last = pending.answer.is_none();
        Event::Outcome { id: pending.id, attempt: number as u32, server, status, elapsed, last, hit }
    }

    /// Passes an event to the module and carries out its actions, and so on with the events that follow immediately.
    fn feed(&self, core: &mut Core, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            core.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(core, action, &mut events);
            }
        }
    }

    fn act(&self, core: &mut Core, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, server, timeout } => events.extend(self.send(core, id, server, timeout)),
            Action::Cancel { id, attempt } => events.extend(self.call_off(core, id, attempt as usize)),
            Action::Refuse { id, retry_after } => {
                // Danger: a rejection promises that a retry is harmless. If the group that would have dropped the duplicate has changed by
                // now, it is not.
                let harmless = core.pending.get(&id).is_none_or(Pending::harmless);
                let answer = match harmless {
                    true => Answer::Refused(Duration::from_nanos(retry_after)),
                    false => Answer::Failed,
                };
                self.answer(core, id, answer, events);
            }
            Action::Fail { id } => self.answer(core, id, Answer::Failed, events),
            Action::Timer { token, delay } => {
                let myself = self.myself.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_nanos(delay)).await;
                    if let Some(engine) = myself.upgrade() {
                        engine.feed(&mut engine.core.borrow_mut(), Event::Timer(token));
                    }
                });
            }
            Action::Close(server) => self.upstreams.close_idle(server),
            // Danger: where lists are pushed the module subscribes to nothing, and would keep the list that it was started with.
            // The list is watched from the start, on a schedule of its own (`rushquay_endpoints::WatchSchedule`).
            Action::Subscribe => {}
        }
    }

    /// Starts an attempt; returns an event if it ended before it was sent.
    fn send(&self, core: &mut Core, id: RequestId, server: ServerId, timeout: Nanos) -> Option<Event> {
        let now = self.clock.now();
        let pending = core.pending.get_mut(&id)?;
        let number = pending.attempts.len();
        let left = pending.deadline.saturating_sub(now);
        if pending.answer.is_none() || left == 0 || !pending.job.may_send() {
            pending.attempts.push(Attempt::unsent(server, now));
            return Some(self.outcome(pending, number, Status::Moot, None));
        }
        // The module's timeout is meant for a request that the node receives immediately.
        let mut wait = if timeout == 0 || pending.job.upload().is_some() { left } else { timeout.min(left) };
        let mut made = Made::default();
        if let Some(terms) = &pending.terms {
            let earlier = pending.attempts.iter().map(|a| (a.sent, &a.made));
            match terms.allow(earlier, pending.keyed, self.upstreams.grouped(server)) {
                Some(allowed) => made = allowed,
                None => {
                    pending.attempts.push(Attempt::unsent(server, now));
                    return Some(self.outcome(pending, number, Status::Moot, None));
                }
            }
            wait = terms.wait(wait);
        }
        let busy = pending.attempts.iter().any(|a| a.out.is_some());
        let last = pending.attempts.last().and_then(|a| a.status);
        let after = match (busy, pending.attempts.is_empty()) {
            (_, true) => None,
            (true, _) => Some(Cause::SecondCopy),
            (false, _) => Some(cause_of(last)),
        };
        after.into_iter().for_each(|cause| self.upstreams.ledger().retries.one_more(cause));
        request_trace::event(|| Traced::Attempt { request: pending.job.id(), number, node: server, after });
        if fleet_stats::on() {
            let (kind, started) = self.upstreams.kind(server).unwrap_or_default();
            let cold = started > 0 && now < started.saturating_add(self.cold);
            fleet_stats::attempt(busy, last, self.origin == Some(kind), cold);
        }
        let begin = pending.repeat_by().map(|by| Duration::from_nanos(by.saturating_sub(now)));
        let client = Duration::from_nanos(pending.client_until.saturating_sub(now));
        let told_most = pending.behind_body.map(Duration::from_nanos);
        let span = Span { whole: Duration::from_nanos(wait), begin, client, told_most };
        let importance = pending.terms.as_ref().map(|t| t.importance);
        let (job, cancellation) = (pending.job.clone(), Rc::new(Cancellation::default()));
        let (upstreams, held, myself) = (self.upstreams.clone(), cancellation.clone(), self.myself.clone());
        let task = tokio::task::spawn_local(async move {
            let ended = upstreams.attempt(server, &job, span, &held, importance.unwrap_or_default()).await;
            if let Some(engine) = myself.upgrade() {
                engine.ended(id, number, ended);
            }
        });
        pending.attempts.push(Attempt {
            server,
            sent: now,
            out: Some((cancellation, task.abort_handle())),
            made,
            status: None,
        });
        None
    }

    /// Cancels an attempt in flight and closes its connection.
    fn call_off(&self, core: &mut Core, id: RequestId, number: usize) -> Option<Event> {
        let pending = core.pending.get_mut(&id)?;
        let attempt = pending.attempts.get_mut(number)?;
        let (cancellation, task) = attempt.out.take()?;
        cancellation.cut();
        task.abort();
        attempt.ended(Status::Cancelled, 0);
        let event = self.outcome(pending, number, Status::Cancelled, None);
        Self::forget(core, id);
        Some(event)
    }

    fn call_off_all(&self, core: &mut Core, id: RequestId) {
        let attempts = core.pending.get(&id).map_or(0, |p| p.attempts.len());
        for number in 0..attempts {
            if let Some(event) = self.call_off(core, id, number) {
                self.feed(core, event);
            }
        }
    }

    /// Gives the final answer, if none was given.
    fn answer(&self, core: &mut Core, id: RequestId, answer: Answer, events: &mut VecDeque<Event>) {
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(sender) = pending.answer.take() else { return };
        let last = pending.attempts.last().and_then(|a| a.status);
        fleet_stats::unserved(&answer, last);
        self.count_unserved(pending.job.id(), &answer, cause_of(last));
        // A client that has just gone needs no answer.
        let _ = sender.send(answer);
        pending.out().for_each(Cancellation::answered);
        if self.cancel {
            // Danger: attempts still in flight when the request is over would go on for no client.
            let attempts = pending.attempts.len();
            events.extend((0..attempts).filter_map(|n| self.call_off(core, id, n)));
        }
        Self::forget(core, id);
    }

    /// Counts a rejection or failure by what preceded it.
    fn count_unserved(&self, request: &str, answer: &Answer, after: Cause) {
        let ledger = self.upstreams.ledger();
        let status = match answer {
            Answer::Refused(_) => {
                ledger.refusals.one_more(after);
                503
            }
            _ => {
                ledger.failures.one_more(after);
                502
            }
        };
        request_trace::event(|| Traced::Answered { request, status, after: Some(after) });
    }

    /// Forgets a request that was answered and has no attempt in flight.
    fn forget(core: &mut Core, id: RequestId) {
        let over = |p: &Pending| p.answer.is_none() && p.attempts.iter().all(|a| a.out.is_none());
        if core.pending.get(&id).is_some_and(over) {
            core.pending.remove(&id);
        }
    }
}

/// A claim on one final answer. Dropping it before the answer arrives tells the module that the client has gone.
pub struct Ticket {
    id: RequestId,
    answered: Option<oneshot::Receiver<Answer>>,
    guard: Duration,
    engine: Weak<Engine>,
}

impl Ticket {
    /// Waits for the final answer, at most until just before the client gives up.
    pub async fn answer(&mut self) -> Answer {
        let Some(answered) = self.answered.as_mut() else { return Answer::Overdue };
        let got = tokio::time::timeout(self.guard, answered).await;
        match got {
            Ok(Ok(answer)) => {
                self.answered = None;
                answer
            }
            Ok(Err(_)) => Answer::Failed,
            Err(_) => {
                crate::proxy::log("a request was left unanswered until its deadline");
                Answer::Overdue
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.answered.is_some() {
            if let Some(engine) = self.engine.upgrade() {
                engine.leave(self.id);
            }
        }
    }
}

/// The label that an attempt's end is counted under.
fn cause_of(last: Option<Status>) -> Cause {
    match last {
        None => Cause::NotSent,
        Some(Status::Miss) => Cause::Miss,
        Some(Status::Full) => Cause::Full,
        Some(Status::ConnectFailed) => Cause::Unreached,
        Some(Status::Reset) => Cause::Reset,
        Some(Status::Timeout) => Cause::Timeout,
        Some(Status::Error) => Cause::Error,
        Some(Status::Ok | Status::Cancelled | Status::Moot) => Cause::NotWritten,
    }
}

#[cfg(test)]
mod tests;
