//! Handles one request: parses and admits it, submits it to its engine, and answers it exactly once.

use crate::api::{Effect, Nanos};
use crate::proxy::clock::margin;
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::engine::{Engine, PendingRequest, Ticket};
use crate::proxy::http::answer::Answer;
use crate::proxy::http::arrival_clock::ArrivalClock;
use crate::proxy::http::hop_by_hop::remove_hop_by_hop;
use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::http::request_parsing::{class_of, parse_request, ParseContext, ParseError};
use crate::proxy::http::responses::{bad, plain, respond_with};
use crate::proxy::http::routing::{Forward, Routed};
use crate::proxy::http::upload::Upload;
use crate::proxy::listener::admission::ClientRole;
use crate::proxy::listener::client_connection::Client;
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::server::Server;
use crate::proxy::upstream::backend::Backend;
use crate::proxy::Body;
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use rushquay_admin::{Cause, Entry, RequestOutcome, TurnedAway};
use rushquay_invariants::Violation;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// How long to wait for a reset from a client that has half-closed, and the part of its remaining time that this may take.
/// Danger: a busy machine sends the reset late; and a client that is still connected is kept waiting.
const RESET_WAIT: Duration = Duration::from_millis(100);
const RESET_WAIT_DIVISOR: u32 = 4;
/// How often an upload is looked at for whether its last byte may have arrived.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Body of a response that nobody will read.
const CLIENT_GONE_TEXT: &str = "the client has gone";
/// When a client may return for which there was no slot.
const NO_SLOT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// An answer this long after the client's deadline violates an invariant.
const LATE_ANSWER_TOLERANCE: Duration = Duration::from_millis(500);

/// Counts the outcome of a request.
struct RequestAccounting<'a> {
    server: &'a Server,
    entry: Entry,
    active: Rc<ActiveConfig>,
    class: usize,
    since: Instant,
}

impl RequestAccounting<'_> {
    /// Counts the outcome of a submitted or rejected request, also for the config version under rollout.
    fn ended(&mut self, outcome: RequestOutcome) {
        self.entry.answered(outcome);
        if let Some(rollout) = &self.server.rollout {
            rollout.request_metrics.count(&self.active, self.class, outcome, self.since.elapsed());
        }
    }

    /// Counts a failure before the request was submitted; it is no evidence about the config version under rollout.
    fn failed(&mut self, cause: Cause) {
        self.entry.answered(RequestOutcome::Failed);
        self.server.metrics.failures.one_more(cause);
    }
}

impl Server {
    /// Answers a request.
    pub async fn handle_request(&self, request: Request<Incoming>, client: &Client) -> Response<Body> {
        if request.uri().path() == "/_health" {
            let ready = self.readiness().is_ok();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        client.ends_by_close.set(request.version() == Version::HTTP_10);
        client.has_unread_body.set(!request.body().is_end_stream());
        if client.role == ClientRole::Refused {
            self.count_turned_away(client.number, TurnedAway::NoSlot);
            return respond_with(Answer::Rejected(self.backend.max_retry_after().min(NO_SLOT_RETRY_AFTER)));
        }
        let (mut head, body) = request.into_parts();
        // Danger: a field that is read here and removed further on would be acted by, and be missing where it is relied on again; and a
        // client could have removed what its route adds.
        remove_hop_by_hop(&mut head.headers);
        // `forward` keeps the cluster alive until the request has been answered.
        let forward = match self.route(&mut head) {
            Ok(forward) => forward,
            Err(response) => {
                self.count_turned_away(client.number, TurnedAway::ByRoute);
                return *response;
            }
        };
        let engine = match (&self.backend, &forward) {
            (_, Some(forward)) => &forward.cluster.engine,
            (Backend::Single { engine, .. }, None) => engine,
            (Backend::Clusters(_), None) => {
                self.count_turned_away(client.number, TurnedAway::NoRoute);
                return plain(StatusCode::NOT_FOUND, "no such route");
            }
        };
        let mut response = self.parse_and_answer(head, body, forward.as_deref(), engine, client).await;
        if let Some(forward) = &forward {
            forward.change_response(&mut response);
        }
        response
    }

    /// Counts a request or connection that is turned away before its class is known.
    pub fn count_turned_away(&self, connection: u64, reason: TurnedAway) {
        self.metrics.turned_away.one_more(reason);
        request_trace::event(|| Event::TurnedAway { connection, reason });
    }

    /// Returns the route of a request if this proxy has routes, or the response that its routes determine.
    fn route(&self, head: &mut Parts) -> Result<Option<Box<Forward>>, Box<Response<Body>>> {
        match &self.backend {
            Backend::Single { .. } => Ok(None),
            Backend::Clusters(pools) => match pools.route(head, fastrand::f64) {
                Routed::Answered(answer) => Err(Box::new(answer)),
                Routed::Forward(forward) => Ok(Some(forward)),
            },
        }
    }

    /// Parses a request, and answers it if it is valid.
    async fn parse_and_answer(
        &self,
        head: Parts,
        body: Incoming,
        forward: Option<&Forward>,
        engine: &Rc<Engine>,
        client: &Client,
    ) -> Response<Body> {
        let began = Instant::now();
        let name = class_of(&head, forward);
        let active = engine.active_config();
        let Some(class) = active.names.classes.iter().position(|c| c == name) else {
            self.count_turned_away(client.number, TurnedAway::UnknownClass);
            return bad(StatusCode::NOT_FOUND, "no such class");
        };
        let policy = self.policy.as_deref();
        let shutdown_deadline = &self.shutdown_deadline;
        let context =
            ParseContext { active: &active, class, engine, forward, policy, shutdown_deadline, began };
        let parsed = parse_request(&context, head, body).await;
        let entry = self.metrics.take(class);
        let mut account = RequestAccounting { server: self, entry, active, class, since: Instant::now() };
        let mut pending = match parsed {
            Ok(pending) => pending,
            Err(ParseError::Invalid(status, why)) => {
                account.failed(Cause::BadRequest);
                return invalid_request(status, why);
            }
            Err(ParseError::ShuttingDown) => return self.refuse_unsent(account),
        };
        client.has_unread_body.set(pending.upstream_request.upload().is_some());
        if let Some(wait) = policy.and_then(|p| p.rejects(class)) {
            self.metrics.refusals.one_more(Cause::Policy);
            account.ended(RequestOutcome::Rejected);
            return with_accounting(respond_with(Answer::Rejected(wait)), account);
        }
        // Danger: nodes and the deduplication of retries identify a request by its id; a second request with the same id belongs to
        // another client, and must not interfere with the first.
        let id = pending.upstream_request.correlation_id.clone();
        let Some(_open) = self.request_ids.open(&id) else {
            account.failed(Cause::DuplicateId);
            return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
        };
        // Danger: what may have run outlives its client and its answer. A refusal would say that it has not run.
        if account.active.settings.classes[class].effect != Effect::Safe {
            pending.claim = self.request_ids.claim(&id);
            if pending.claim.is_none() {
                account.failed(Cause::DuplicateId);
                return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id may have run");
            }
        }
        let upload = pending.upstream_request.upload().cloned();
        let response = self.answer(pending, engine, client, began, &mut account).await;
        client.has_unread_body.set(upload.is_some_and(|upload| !upload.is_whole()));
        with_accounting(response, account)
    }

    /// Refuses a request of which nothing was sent.
    fn refuse_unsent(&self, mut account: RequestAccounting<'_>) -> Response<Body> {
        self.metrics.refusals.one_more(Cause::NotSent);
        account.ended(RequestOutcome::Rejected);
        with_accounting(respond_with(Answer::Rejected(Duration::ZERO)), account)
    }

    /// Submits a request to its engine and returns its answer, unless the client disconnects first.
    async fn answer(
        &self,
        mut pending: PendingRequest,
        engine: &Rc<Engine>,
        client: &Client,
        began: Instant,
        account: &mut RequestAccounting<'_>,
    ) -> Response<Body> {
        // A client of HTTP/1.0 knows no interim responses.
        let may_ask = !client.ends_by_close.get();
        let time_limit = Duration::from_nanos(pending.request.remaining);
        let waited = client.read_buffer.waited(Instant::now());
        let late_at =
            Instant::now() + Duration::from_nanos(pending.request.remaining) + LATE_ANSWER_TOLERANCE;
        let late_at = late_at.checked_sub(waited).unwrap_or(late_at);
        trace_read(&pending, client.number, account, waited);
        reduce_remaining(&mut pending.request.remaining, waited);
        self.cap_to_shutdown(&mut pending);
        if self.has_disconnected(&mut pending, client, may_ask).await {
            account.entry.answered(RequestOutcome::Failed);
            return plain(StatusCode::BAD_GATEWAY, CLIENT_GONE_TEXT);
        }
        let upload = pending.upstream_request.upload().cloned();
        let (time_left, has_upload) = (pending.request.remaining, upload.is_some());
        let mut ticket: Ticket = engine.submit(pending);
        let answer = tokio::select! {
            biased;
            answer = ticket.answer() => answer,
            // The engine's own timeout allows for the slowest upload.
            () = overdue(upload.as_deref(), client, time_left) => ticket.overdue_answer().await,
            refusal = self.refusal_before_end(upload.as_deref(), began, time_limit) => match refusal {
                Some(refusal) => refusal,
                None => ticket.overdue_answer().await,
            },
            () = client.read_buffer.until_disconnected(&client.socket, may_ask) => {
                return plain(StatusCode::BAD_GATEWAY, CLIENT_GONE_TEXT);
            }
        };
        if matches!(answer, Answer::Overdue) {
            // Nothing more is sent for a request that has its answer.
            upload.iter().for_each(|upload| _ = upload.withdraw());
            self.metrics.failures.one_more(Cause::Overdue);
        }
        if !has_upload && Instant::now() > late_at {
            crate::proxy::violation(
                &self.metrics,
                Violation::AnsweredLate,
                &format!("connection {}", client.number),
            );
        }
        account.ended(answer.end());
        respond_with(answer)
    }

    /// Caps the remaining time to the end of this process. Danger: a request that is unanswered when the process ends is lost.
    fn cap_to_shutdown(&self, pending: &mut PendingRequest) {
        let Some(left) = self.shutdown_deadline.time_left() else { return };
        let left = left.as_nanos() as Nanos;
        pending.request.remaining = pending.request.remaining.min(left);
        pending.upload = pending.upload.min(left);
    }

    /// Returns when a request must have its answer because this process ends; `None`: not a refusal. An upload is refused while its last byte
    /// has not arrived: later it may have run, and there would be no time to say so.
    async fn refusal_before_end(
        &self,
        upload: Option<&Upload>,
        began: Instant,
        time_limit: Duration,
    ) -> Option<Answer> {
        if let Some(upload) = upload {
            self.shutdown_deadline.body_due(began, time_limit).await;
            if upload.withdraw() {
                self.metrics.refusals.one_more(Cause::NotWritten);
                return Some(Answer::Rejected(Duration::ZERO));
            }
        }
        self.shutdown_deadline.answers_due().await;
        None
    }

    /// Returns whether the client has disconnected. Danger: it may have disconnected before its request was read, or while the previous
    /// request on its connection was answered. An attempt would be wasted.
    async fn has_disconnected(&self, pending: &mut PendingRequest, client: &Client, may_ask: bool) -> bool {
        if !client.socket.is_read_closed() {
            return false;
        }
        let started = Instant::now();
        let timeout_after =
            RESET_WAIT.min(Duration::from_nanos(pending.request.remaining) / RESET_WAIT_DIVISOR);
        if timeout(timeout_after, client.socket.peer_disconnected(may_ask)).await.is_ok() {
            return true;
        }
        reduce_remaining(&mut pending.request.remaining, started.elapsed());
        false
    }
}

/// Subtracts elapsed time from the remaining time.
fn reduce_remaining(remaining: &mut Nanos, elapsed: Duration) {
    *remaining = remaining.saturating_sub(elapsed.as_nanos() as Nanos);
}

/// Keeps the entry of the request in the metrics open until the response has been written.
fn with_accounting(mut response: Response<Body>, account: RequestAccounting<'_>) -> Response<Body> {
    response.body_mut().carry(account.entry);
    response
}

/// Builds the response to an invalid request.
fn invalid_request(status: StatusCode, why: &'static str) -> Response<Body> {
    let mut response = bad(status, why);
    if status == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, PUT"));
    }
    response
}

fn trace_read(pending: &PendingRequest, connection: u64, account: &RequestAccounting<'_>, waited: Duration) {
    request_trace::event(|| Event::Read {
        request: pending.upstream_request.id(),
        connection,
        class: account.active.names.classes.get(account.class).map_or("", String::as_str),
        left_ms: pending.request.remaining / 1_000_000,
        waited_ms: waited.as_millis() as u64,
    });
}

/// Returns shortly before the deadline of a client that may have sent its long body completely, whether or not a node takes it; never returns
/// without such a body.
async fn overdue(upload: Option<&Upload>, client: &Client, time_left: Nanos) {
    let Some(upload) = upload else { return std::future::pending().await };
    let time_limit = time_left - margin(time_left) / 2;
    let mut clock = ArrivalClock::new(steady_nanos(), client.read_buffer.read_bytes());
    while timeout(UPLOAD_CHECK_INTERVAL, upload.whole()).await.is_err() {
        clock.observe(steady_nanos(), &client.upload_facts(upload));
        if clock.is_due(time_limit) {
            return;
        }
    }
    let waited = clock.written_for(steady_nanos()).unwrap_or(0);
    sleep(Duration::from_nanos(time_limit.saturating_sub(waited))).await;
}
