//! The engine owns the decision module and all requests, attempts and timers. It passes network events to the module and carries out
//! the actions that the module returns. Each request gets exactly one final answer.

use crate::api::*;
use crate::proxy::clock::{margin, Clock};
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::discovery::node_starts::ListedEndpoint;
use crate::proxy::http::answer::Answer;
use crate::proxy::http::request_ids::ExecutionClaim;
use crate::proxy::observability::fleet_stats::{self, Kind};
use crate::proxy::observability::request_trace::{self, Event as Traced};
use crate::proxy::tasks::{catch_panic, record_panic};
use crate::proxy::upstream::attempt::{AttemptHandle, AttemptLimits, AttemptOutcome, UpstreamRequest};
use crate::proxy::upstream::attempt_policy::{AttemptPolicy, AttemptRecord};
use crate::proxy::upstream::Upstreams;
use crate::Balancer;
use rushquay_admin::Cause;
use rushquay_endpoints::Pins;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Allowance for the time that a request travels to a node.
const TRAVEL_ALLOWANCE: Nanos = 50_000_000;

/// How long the attempt's task may take to pass on a response that is held.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(50);

/// A client's request to be submitted. The engine assigns its id.
pub struct PendingRequest {
    /// The request as the decision module sees it.
    pub request: Request,
    /// The request as it is forwarded to nodes.
    pub upstream_request: UpstreamRequest,
    /// How much later the last byte of a streamed body may arrive. The deadline runs from that byte.
    pub upload: Nanos,
    /// The attempt policy of its cluster and route; `None`: none applies.
    pub attempt_policy: Option<Rc<AttemptPolicy>>,
    /// The claim of its id; `None`: it may run any number of times.
    pub claim: Option<ExecutionClaim>,
}

/// One attempt of a request.
struct Attempt {
    server: ServerId,
    sent: Nanos,
    /// Its handle and task while it is in flight.
    in_flight: Option<(Rc<AttemptHandle>, AbortHandle)>,
    /// The attempt as its route's and cluster's policy counts it.
    record: AttemptRecord,
    /// Its outcome; `None`: it is in flight.
    status: Option<Status>,
}

impl Attempt {
    /// Creates the record of an attempt that was never sent.
    fn unsent(server: ServerId, sent: Nanos) -> Self {
        Attempt { server, sent, in_flight: None, record: AttemptRecord::unsent(), status: Some(Status::Moot) }
    }

    /// Records the outcome. `code` is the status code of the response, or 0 if there was none.
    fn record_outcome(&mut self, status: Status, code: u16) {
        self.record.record_outcome(status, code);
        self.status = Some(status);
        fleet_stats::outcome(status);
    }
}

/// A request that is unanswered or has an attempt in flight.
struct Pending {
    id: RequestId,
    /// Whether retries rely on a group of nodes to deduplicate them.
    keyed: bool,
    /// How long the nodes deduplicate retries of its class; `None`: it needs no deduplication.
    deduplicated_for: Option<Nanos>,
    upstream_request: Rc<UpstreamRequest>,
    attempt_policy: Option<Rc<AttemptPolicy>>,
    deadline: Nanos,
    /// When its client stops waiting.
    client_until: Nanos,
    /// How long its client waits after the last byte of a streamed body; `None`: the last byte has arrived.
    after_body: Option<Nanos>,
    /// The claim of its id; `None`: it may run any number of times.
    claim: Option<ExecutionClaim>,
    /// The channel for the final answer; `None`: it was sent.
    answer: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
}

impl Pending {
    /// Returns the attempts in flight.
    fn in_flight(&self) -> impl Iterator<Item = &AttemptHandle> {
        self.attempts.iter().filter_map(|a| a.in_flight.as_ref()).map(|(handle, _)| &**handle)
    }

    /// Returns the time by which a retry must begin to be deduplicated against every earlier attempt; `None`: no limit.
    fn retry_by(&self) -> Option<Nanos> {
        let may_have_run = |a: &&Attempt| a.status.is_none_or(|s| !s.never_ran());
        let first = self.attempts.iter().filter(may_have_run).map(|a| a.sent).min()?;
        Some(first.saturating_add(self.deduplicated_for?).saturating_sub(TRAVEL_ALLOWANCE))
    }

    /// Ends the claim of its id. What may have run must not run again under it.
    fn end_claim(mut self) {
        let may_have_run = self.attempts.iter().any(|a| a.status.is_none_or(|s| !s.never_ran()));
        self.claim.iter_mut().filter(|_| may_have_run).for_each(ExecutionClaim::record_execution);
    }

    /// Returns whether a retry by the client would still be deduplicated.
    fn is_retry_harmless(&self) -> bool {
        let reaches_same_group =
            |t: &Rc<AttemptPolicy>| t.reaches_same_group(self.attempts.iter().map(|a| (a.sent, &a.record)));
        !self.keyed || self.attempt_policy.as_ref().is_none_or(reaches_same_group)
    }
}

/// The decision module and the requests that it decides on.
struct Core {
    balancer: Balancer,
    next_id: RequestId,
    pending: FxHashMap<RequestId, Pending>,
}

/// Drives the decision module and carries out its actions.
pub struct Engine {
    clock: Clock,
    /// The configuration for new requests.
    active_config: RefCell<Rc<ActiveConfig>>,
    /// Whether attempts still in flight are cancelled when their request ends.
    cancel_obsolete: bool,
    /// The origin's machine kind; `None`: there is no origin.
    origin_kind: Option<u32>,
    /// How long a node counts as cold after its start.
    slow_start: Nanos,
    core: RefCell<Core>,
    upstreams: Rc<Upstreams>,
    weak_self: Weak<Engine>,
    /// The requests that operators pinned to endpoints.
    pins: RefCell<Pins<ServerId>>,
}

impl Engine {
    /// Starts the decision module on a cached endpoint list, which may be stale.
    pub fn new(
        acting: Rc<ActiveConfig>,
        seed: u64,
        known: &[ListedEndpoint],
        upstreams: Rc<Upstreams>,
        clock: Clock,
    ) -> Rc<Self> {
        let engine = Rc::new_cyclic(|weak_self| Engine {
            clock,
            cancel_obsolete: acting.settings.allows_cancel,
            origin_kind: acting.settings.origin_kind,
            slow_start: acting.settings.warm_up_time,
            core: RefCell::new(Core {
                balancer: Balancer::new(acting.settings.clone(), seed),
                next_id: 1,
                pending: FxHashMap::default(),
            }),
            active_config: RefCell::new(acting),
            upstreams,
            weak_self: weak_self.clone(),
            pins: RefCell::default(),
        });
        engine.list(ListKind::Cached, known);
        engine
    }

    /// Returns the configuration for new requests.
    pub fn active_config(&self) -> Rc<ActiveConfig> {
        self.active_config.borrow().clone()
    }

    /// Applies a configuration from the next request on. It has the same classes, zones and machine kinds with other settings. Open
    /// requests finish under the configuration that they started with.
    pub fn apply_config(&self, acting: Rc<ActiveConfig>) {
        let tenants = acting.tenants_before(&self.active_config.borrow().names);
        self.core.borrow_mut().balancer.apply_settings(acting.settings.clone(), &tenants);
        *self.active_config.borrow_mut() = acting;
    }

    /// Replaces the pins that operators set.
    pub fn pin(&self, pins: Pins<ServerId>) {
        *self.pins.borrow_mut() = pins;
    }

    /// Returns the endpoint that operators pinned a request to. Pins expire by this proxy's clock, or shortly after the control
    /// service reports that they expired, whichever is first.
    pub fn pinned(&self, class: &str, key: &str) -> Option<ServerId> {
        let pins = self.pins.borrow();
        if pins.is_empty() {
            return None;
        }
        pins.find(class, key, self.clock.now()).copied()
    }

    /// Returns how many requests are unanswered or have an attempt in flight.
    pub fn open(&self) -> usize {
        self.core.borrow().pending.len()
    }

    /// Returns how many cache nodes are listed, and how many of them the module avoids at present.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.core.borrow().balancer.count_avoided_nodes(self.clock.now())
    }

    /// Gives up the slow-start allowance to a successor.
    pub fn release_slow_start_allowance(&self) -> Vec<ColdEndpointAllowance> {
        self.core.borrow_mut().balancer.release_slow_start_allowances(self.clock.now())
    }

    /// Takes over the slow-start allowance of the incumbent.
    pub fn inherit_slow_start_allowance(&self, given: &[ColdEndpointAllowance]) {
        self.core.borrow_mut().balancer.inherit_slow_start_allowances(self.clock.now(), given);
    }

    /// Returns whether a request could be served at present.
    pub fn can_serve(&self) -> bool {
        self.upstreams.any_ready()
    }

    /// Returns the time in nanoseconds on the proxy's clock.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Applies an endpoint list, or changes to it, to the connection pools and the decision module.
    pub fn list(&self, kind: ListKind, members: &[ListedEndpoint]) {
        let names = &self.active_config().names;
        let entries: Vec<(Entry, Option<SocketAddr>)> =
            members.iter().map(|m| names.listed_entry(m)).collect();
        request_trace::event(|| Traced::List { entries: entries.len() });
        for (entry, member) in entries.iter().map(|(entry, _)| entry).zip(members) {
            let (state, started) = (member.endpoint.state.as_str(), entry.started_at);
            request_trace::event(|| Traced::Listed { node: entry.server, state, started });
        }
        if kind != ListKind::Failed {
            self.upstreams.update(kind != ListKind::Delta, &entries);
        }
        self.entries(kind, entries.into_iter().map(|(e, _)| e).collect());
    }

    /// Applies an endpoint list, or changes to it, to the decision module alone.
    pub fn entries(&self, kind: ListKind, entries: Vec<Entry>) {
        self.feed(&mut self.core.borrow_mut(), Event::List { kind, entries });
    }

    /// Submits a request. The returned ticket yields its answer.
    pub fn submit(&self, pending_request: PendingRequest) -> Ticket {
        let PendingRequest { mut request, upstream_request: job, upload, attempt_policy: terms, claim } =
            pending_request;
        let core = &mut *self.core.borrow_mut();
        let now = self.clock.now();
        let (answer, receiver) = oneshot::channel();
        let id = core.next_id;
        core.next_id += 1;
        let client_timeout = request.remaining.saturating_add(upload);
        request.id = id;
        let margin = margin(client_timeout);
        request.remaining = client_timeout - margin;
        let deadline = now.saturating_add(request.remaining);
        let keyed = request.is_write && self.active_config.borrow().keyed(request.class);
        let deduplicated_for = self.active_config.borrow().dedup_window(request.class);
        let (job, attempts) = (Rc::new(job), Vec::new());
        let client_until = now.saturating_add(client_timeout);
        let after_body = job.upload().map(|_| client_timeout.saturating_sub(upload));
        let answer = Some(answer);
        let pending = Pending {
            id,
            keyed,
            deduplicated_for,
            upstream_request: job,
            attempt_policy: terms,
            deadline,
            client_until,
            after_body,
            claim,
            answer,
            attempts,
        };
        core.pending.insert(id, pending);
        fleet_stats::count(Kind::Arrival, 1);
        self.feed(core, Event::Arrival(request));
        // A request that the module has not answered fails when half of the margin is left.
        let max_wait = Duration::from_nanos(client_timeout - margin / 2);
        Ticket { id, receiver: Some(receiver), max_wait, engine: self.weak_self.clone() }
    }

    /// Drops a request whose client has disconnected or was answered with a timeout.
    fn abandon(&self, id: RequestId) {
        let core = &mut *self.core.borrow_mut();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        if pending.answer.take().is_some() {
            request_trace::event(|| Traced::Gone { request: pending.upstream_request.id() });
            pending.in_flight().for_each(AttemptHandle::mark_abandoned);
            self.feed(core, Event::ClientGone(id));
            if self.cancel_obsolete {
                self.cancel_all_attempts(core, id);
            } else if let Some(pending) = core.pending.get(&id) {
                // Danger: a node that stops reading would hold the connection for as long as a long body may take.
                pending.in_flight().filter(|c| !c.is_written()).for_each(AttemptHandle::close_connection);
            }
            Self::forget(core, id);
        }
    }

    /// Records the outcome of an attempt and delivers its response.
    fn on_outcome(&self, id: RequestId, number: usize, outcome: AttemptOutcome) {
        let core = &mut *self.core.borrow_mut();
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(number) else { return };
        let Some((handle, _)) = attempt.in_flight.take() else { return };
        attempt.record_outcome(outcome.status, outcome.code);
        let (node, status) = (attempt.server, outcome.status);
        request_trace::event(|| Traced::Ended {
            request: pending.upstream_request.id(),
            number,
            node,
            status,
        });
        if let Some(response) = outcome.response {
            if let Some(answer) = pending.answer.take() {
                fleet_stats::count(Kind::Served, 1);
                let (request, status) = (pending.upstream_request.id(), response.status().as_u16());
                request_trace::event(|| Traced::Answered { request, status, after: None });
                let _ = answer.send(Answer::Served(response));
                pending.in_flight().for_each(AttemptHandle::mark_answered);
            }
        }
        let event =
            self.outcome_event(pending, number, outcome.status, outcome.cache_hit, handle.own_delay());
        self.feed(core, event);
        Self::forget(core, id);
    }

    /// Builds the event that reports an attempt's outcome to the module. `own_delay`: the part of its time that the node has no part in.
    fn outcome_event(
        &self,
        pending: &Pending,
        number: usize,
        status: Status,
        hit: Option<bool>,
        own_delay: Duration,
    ) -> Event {
        let Attempt { server, sent, .. } = pending.attempts[number];
        let elapsed = self.clock.now().saturating_sub(sent).saturating_sub(own_delay.as_nanos() as Nanos);
        let last = pending.answer.is_none();
        Event::Outcome { id: pending.id, attempt: number as u32, server, status, elapsed, last, hit }
    }

    /// Reports an expired timer to the module, and before it how far the responses have come that the timer waits for.
    fn on_timer(&self, token: u64) {
        let core = &mut *self.core.borrow_mut();
        if let Some(id) = Balancer::hedged_request(token) {
            for event in self.progress_events(core, id) {
                self.feed(core, event);
            }
        }
        self.feed(core, Event::Timer(token));
    }

    /// Builds the events that report when bytes of the responses to a request last came.
    fn progress_events(&self, core: &Core, id: RequestId) -> Vec<Event> {
        let attempts = core.pending.get(&id).map(|pending| &pending.attempts);
        let in_flight = attempts.into_iter().flatten().enumerate();
        let progress = in_flight.filter_map(|(number, attempt)| {
            let (handle, _) = attempt.in_flight.as_ref()?;
            let since_last_byte = handle.last_response_byte()?.elapsed().as_nanos() as Nanos;
            let last_byte_at = self.clock.now().saturating_sub(since_last_byte);
            let may_be_long = handle.response_hold.is_holding();
            Some(Event::ResponseProgress { id, attempt: number as u32, last_byte_at, may_be_long })
        });
        progress.collect()
    }

    /// Has the response passed on at once whose beginning is held for a request. Returns false if none is.
    fn release_held_response(&self, id: RequestId) -> bool {
        let core = self.core.borrow();
        core.pending.get(&id).is_some_and(|p| p.in_flight().any(|handle| handle.response_hold.release()))
    }

    /// Passes an event to the module and carries out its actions, then does the same for the events that these cause immediately.
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

    /// Carries out one action of the module. Events that follow immediately are added to `events`.
    fn act(&self, core: &mut Core, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::Send { id, server, timeout } => events.extend(self.send(core, id, server, timeout)),
            Action::Cancel { id, attempt } => events.extend(self.cancel_attempt(core, id, attempt as usize)),
            Action::Reject { id, retry_after } => {
                // Danger: a rejection promises that a retry is harmless. It is not if the group that would have dropped the duplicate has
                // changed since.
                let harmless = core.pending.get(&id).is_none_or(Pending::is_retry_harmless);
                let answer = match harmless {
                    true => Answer::Rejected(Duration::from_nanos(retry_after)),
                    false => Answer::Failed,
                };
                self.answer(core, id, answer, events);
            }
            Action::Fail { id } => self.answer(core, id, Answer::Failed, events),
            Action::Timer { token, delay } => {
                let weak_self = self.weak_self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_nanos(delay)).await;
                    if let Some(engine) = weak_self.upgrade() {
                        engine.on_timer(token);
                    }
                });
            }
            Action::Close(server) => self.upstreams.close_idle(server),
            // Danger: if lists are pushed, the module never subscribes, and would keep its initial list. The list is therefore watched
            // from the start, on a separate schedule (`rushquay_endpoints::WatchSchedule`).
            Action::Subscribe => {}
        }
    }

    /// Starts an attempt. Returns its outcome as an event if it was not sent.
    fn send(&self, core: &mut Core, id: RequestId, server: ServerId, timeout: Nanos) -> Option<Event> {
        let now = self.clock.now();
        let pending = core.pending.get_mut(&id)?;
        let number = pending.attempts.len();
        let left = pending.deadline.saturating_sub(now);
        if pending.answer.is_none() || left == 0 || !pending.upstream_request.can_send_body() {
            pending.attempts.push(Attempt::unsent(server, now));
            return Some(self.outcome_event(pending, number, Status::Moot, None, Duration::ZERO));
        }
        // The module's timeout assumes that the node receives the complete request immediately, so streamed bodies are exempt.
        let mut attempt_timeout = if timeout == 0 || pending.upstream_request.upload().is_some() {
            left
        } else {
            timeout.min(left)
        };
        let mut record = AttemptRecord::default();
        if let Some(terms) = &pending.attempt_policy {
            let earlier = pending.attempts.iter().map(|a| (a.sent, &a.record));
            match terms.allow(earlier, pending.keyed, self.upstreams.group_since(server)) {
                Some(allowed) => record = allowed,
                None => {
                    pending.attempts.push(Attempt::unsent(server, now));
                    return Some(self.outcome_event(pending, number, Status::Moot, None, Duration::ZERO));
                }
            }
            attempt_timeout = terms.attempt_timeout(attempt_timeout);
        }
        let in_flight = pending.attempts.iter().any(|a| a.in_flight.is_some());
        let last = pending.attempts.last().and_then(|a| a.status);
        let after = match (in_flight, pending.attempts.is_empty()) {
            (_, true) => None,
            (true, _) => Some(Cause::SecondCopy),
            (false, _) => Some(cause_of(last)),
        };
        after.into_iter().for_each(|cause| self.upstreams.ledger().retries.one_more(cause));
        request_trace::event(|| Traced::Attempt {
            request: pending.upstream_request.id(),
            number,
            node: server,
            after,
        });
        if fleet_stats::is_enabled() {
            let (kind, started) = self.upstreams.kind(server).unwrap_or_default();
            let cold = started > 0 && now < started.saturating_add(self.slow_start);
            fleet_stats::attempt(in_flight, last, self.origin_kind == Some(kind), cold);
        }
        let first_byte = pending.retry_by().map(|by| Duration::from_nanos(by.saturating_sub(now)));
        let client = Duration::from_nanos(pending.client_until.saturating_sub(now));
        let max_node_deadline = pending.after_body.map(Duration::from_nanos);
        let limits = AttemptLimits {
            total: Duration::from_nanos(attempt_timeout),
            answer_due: Duration::from_nanos(left),
            first_byte,
            client,
            max_node_deadline,
        };
        let importance = pending.attempt_policy.as_ref().map(|t| t.importance);
        let (job, handle) = (pending.upstream_request.clone(), Rc::new(AttemptHandle::default()));
        let (upstreams, task_handle, weak_self) =
            (self.upstreams.clone(), handle.clone(), self.weak_self.clone());
        let task = tokio::task::spawn_local(async move {
            let attempt =
                upstreams.attempt(server, &job, limits, &task_handle, importance.unwrap_or_default());
            let outcome = catch_panic(attempt).await.unwrap_or_else(|panic| {
                record_panic(upstreams.ledger(), format_args!("attempt {number} of {}", job.id()), &panic);
                // Danger: an attempt without an outcome would stay in flight, and the request open. The node may have run it.
                Status::Reset.into()
            });
            if let Some(engine) = weak_self.upgrade() {
                engine.on_outcome(id, number, outcome);
            }
        });
        pending.attempts.push(Attempt {
            server,
            sent: now,
            in_flight: Some((handle, task.abort_handle())),
            record,
            status: None,
        });
        None
    }

    /// Cancels an attempt in flight and closes its connection.
    fn cancel_attempt(&self, core: &mut Core, id: RequestId, number: usize) -> Option<Event> {
        let pending = core.pending.get_mut(&id)?;
        let attempt = pending.attempts.get_mut(number)?;
        let (handle, task) = attempt.in_flight.take()?;
        handle.close_connection();
        task.abort();
        attempt.record_outcome(Status::Cancelled, 0);
        let event = self.outcome_event(pending, number, Status::Cancelled, None, Duration::ZERO);
        Self::forget(core, id);
        Some(event)
    }

    /// Cancels all attempts of a request.
    fn cancel_all_attempts(&self, core: &mut Core, id: RequestId) {
        let attempts = core.pending.get(&id).map_or(0, |p| p.attempts.len());
        for number in 0..attempts {
            if let Some(event) = self.cancel_attempt(core, id, number) {
                self.feed(core, event);
            }
        }
    }

    /// Sends the final answer, unless one was sent.
    fn answer(&self, core: &mut Core, id: RequestId, answer: Answer, events: &mut VecDeque<Event>) {
        let Some(pending) = core.pending.get_mut(&id) else { return };
        let Some(sender) = pending.answer.take() else { return };
        let last = pending.attempts.last().and_then(|a| a.status);
        fleet_stats::unserved(&answer, last);
        self.count_unserved(pending.upstream_request.id(), &answer, cause_of(last));
        // The receiver is gone if the client has just disconnected.
        let _ = sender.send(answer);
        pending.in_flight().for_each(AttemptHandle::mark_answered);
        if self.cancel_obsolete {
            // Danger: attempts still in flight would go on for a request that is already answered.
            let attempts = pending.attempts.len();
            events.extend((0..attempts).filter_map(|n| self.cancel_attempt(core, id, n)));
        }
        Self::forget(core, id);
    }

    /// Counts a rejection or failure under the outcome of the last attempt.
    fn count_unserved(&self, request: &str, answer: &Answer, after: Cause) {
        let metrics = self.upstreams.ledger();
        let status = match answer {
            Answer::Rejected(_) => {
                metrics.refusals.one_more(after);
                503
            }
            _ => {
                metrics.failures.one_more(after);
                502
            }
        };
        request_trace::event(|| Traced::Answered { request, status, after: Some(after) });
    }

    /// Removes a request that was answered and has no attempt in flight.
    fn forget(core: &mut Core, id: RequestId) {
        let is_finished =
            |p: &Pending| p.answer.is_none() && p.attempts.iter().all(|a| a.in_flight.is_none());
        if core.pending.get(&id).is_some_and(is_finished) {
            core.pending.remove(&id).into_iter().for_each(Pending::end_claim);
        }
    }
}

/// Yields the final answer of a request. Dropping it before the answer arrives cancels the request.
pub struct Ticket {
    id: RequestId,
    receiver: Option<oneshot::Receiver<Answer>>,
    /// Maximum time to wait for the module's answer.
    max_wait: Duration,
    engine: Weak<Engine>,
}

impl Ticket {
    /// Waits for the final answer, at most until just before the client's deadline.
    pub async fn answer(&mut self) -> Answer {
        match self.answer_within(self.max_wait).await {
            Some(answer) => answer,
            None => {
                crate::proxy::log("the decision module left a request unanswered until its deadline");
                self.overdue_answer().await
            }
        }
    }

    /// Returns the answer that the client gets because its time ends: the response whose beginning is held, if there is one.
    pub async fn overdue_answer(&mut self) -> Answer {
        let is_held = self.engine.upgrade().is_some_and(|engine| engine.release_held_response(self.id));
        match is_held {
            true => self.answer_within(RELEASE_TIMEOUT).await.unwrap_or(Answer::Overdue),
            false => Answer::Overdue,
        }
    }

    async fn answer_within(&mut self, max_wait: Duration) -> Option<Answer> {
        let Some(receiver) = self.receiver.as_mut() else { return Some(Answer::Overdue) };
        match tokio::time::timeout(max_wait, receiver).await.ok()? {
            Ok(answer) => {
                self.receiver = None;
                Some(answer)
            }
            Err(_) => Some(Answer::Failed),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.receiver.is_some() {
            if let Some(engine) = self.engine.upgrade() {
                engine.abandon(self.id);
            }
        }
    }
}

/// Returns the label under which the outcome of the last attempt is counted.
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
