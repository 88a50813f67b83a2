//! The way of one request: parsed, admitted, submitted to its engine, and answered once.

use crate::api::Nanos;
use crate::proxy::clock::margin;
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::engine::{Engine, PendingRequest, Ticket};
use crate::proxy::http::answer::Answer;
use crate::proxy::http::headers::CORRELATION_ID;
use crate::proxy::http::request_body::Upload;
use crate::proxy::http::request_parsing::{class_of, parse_request};
use crate::proxy::http::responses::{bad, plain, respond_with};
use crate::proxy::http::routing::{Forward, Routed};
use crate::proxy::listener::client_connection::Client;
use crate::proxy::listener::graceful_shutdown::FINAL_WRITE_WINDOW;
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::server::Server;
use crate::proxy::upstream::backend::Backend;
use crate::proxy::Body;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use rushquay_admin::{Cause, Entry, RequestOutcome, TurnedAway};
use rushquay_invariants::Violation;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// How long to wait for a reset from a client that has half-closed, and the part of its remaining time that this may take.
/// Danger: a busy machine resets late; and a client that has not gone is kept waiting.
const GONE_WITHIN: Duration = Duration::from_millis(100);
const GONE_PART: u32 = 4;
/// A body that nobody will read.
const GONE: &str = "the client has gone";
/// An answer this long after the client's deadline breaks a rule.
const LATE_AFTER: Duration = Duration::from_millis(500);

/// The id of an unanswered request, released on drop.
struct OpenRequestId<'a> {
    server: &'a Server,
    id: HeaderValue,
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.server.open_request_ids.borrow_mut().remove(&self.id);
    }
}

/// Counts how a request ends.
struct RequestAccounting<'a> {
    server: &'a Server,
    entry: Entry,
    acting: Rc<ActiveConfig>,
    class: usize,
    since: Instant,
}

impl RequestAccounting<'_> {
    /// Counts the outcome of the request.
    fn ended(&mut self, end: RequestOutcome) {
        self.entry.answered(end);
        if let Some(rollout) = &self.server.rollout {
            rollout.request_metrics.count(&self.acting, self.class, end, self.since.elapsed());
        }
    }

    /// Counts a failure before the request was submitted; it says nothing about the version under rollout.
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
        let may_ask = request.version() == Version::HTTP_11;
        let (mut head, body) = request.into_parts();
        // The guard keeps the cluster alive until the answer was given.
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
        let mut response = self.take(head, body, forward.as_deref(), engine, client, may_ask).await;
        if let Some(forward) = &forward {
            forward.dress(&mut response);
        }
        response
    }

    /// Counts a request or connection that is turned away before its class is known.
    pub fn count_turned_away(&self, connection: u64, reason: TurnedAway) {
        self.metrics.turned_away.one_more(reason);
        request_trace::event(|| Event::TurnedAway { connection, reason });
    }

    /// The route of a request, if this proxy has routes.
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
    async fn take(
        &self,
        head: Parts,
        body: Incoming,
        forward: Option<&Forward>,
        engine: &Rc<Engine>,
        client: &Client,
        may_ask: bool,
    ) -> Response<Body> {
        let name = class_of(&head, forward);
        let acting = engine.active_config();
        let Some(class) = acting.names.classes.iter().position(|c| c == name) else {
            self.count_turned_away(client.number, TurnedAway::UnknownClass);
            return bad(StatusCode::NOT_FOUND, "no such class");
        };
        let policy = self.policy.as_deref();
        let read = parse_request(&acting, class, engine, head, body, forward, policy).await;
        let entry = self.metrics.take(class);
        let mut account = RequestAccounting { server: self, entry, acting, class, since: Instant::now() };
        let asked = match read {
            Ok(asked) => asked,
            Err((status, why)) => {
                account.failed(Cause::BadRequest);
                return unusable(status, why);
            }
        };
        if let Some(wait) = policy.and_then(|p| p.rejects(class)) {
            self.metrics.refusals.one_more(Cause::Policy);
            account.ended(RequestOutcome::Rejected);
            return with_accounting(respond_with(Answer::Refused(wait)), account);
        }
        // Danger: nodes and the deduplication of retries identify a request by its id; a second request with the same id is
        // another client's, and must not disturb the first.
        let id = asked.upstream_request.headers[CORRELATION_ID].clone();
        if !self.open_request_ids.borrow_mut().insert(id.clone()) {
            account.failed(Cause::DuplicateId);
            return bad(StatusCode::CONFLICT, "a request with this X-Correlation-Id is open");
        }
        let _open = OpenRequestId { server: self, id };
        let response = self.answer(asked, engine, client, may_ask, &mut account).await;
        with_accounting(response, account)
    }

    /// Submits a request to its engine and returns its answer, unless the client goes first.
    async fn answer(
        &self,
        mut asked: PendingRequest,
        engine: &Rc<Engine>,
        client: &Client,
        may_ask: bool,
        account: &mut RequestAccounting<'_>,
    ) -> Response<Body> {
        let waited = client.read_buffer.waited(Instant::now());
        let late = Instant::now() + Duration::from_nanos(asked.request.remaining) + LATE_AFTER;
        let late = late.checked_sub(waited).unwrap_or(late);
        trace_read(&asked, client.number, account, waited);
        reduce_remaining(&mut asked.request.remaining, waited);
        self.cap_to_shutdown(&mut asked);
        if self.client_has_gone(&mut asked, client, may_ask).await {
            account.entry.answered(RequestOutcome::Failed);
            return plain(StatusCode::BAD_GATEWAY, GONE);
        }
        let upload = asked.upstream_request.upload().cloned();
        let (patience, long) = (asked.request.remaining, upload.is_some());
        let mut ticket: Ticket = engine.submit(asked);
        let answer = tokio::select! {
            biased;
            answer = ticket.answer() => answer,
            // The engine's own timeout is made for the slowest upload.
            () = overdue(upload, patience) => Answer::Overdue,
            () = client.read_buffer.until_gone(&client.socket, may_ask) => {
                return plain(StatusCode::BAD_GATEWAY, GONE);
            }
        };
        if matches!(answer, Answer::Overdue) {
            self.metrics.failures.one_more(Cause::Overdue);
        }
        if !long && Instant::now() > late {
            crate::proxy::violation(
                &self.metrics,
                Violation::AnsweredLate,
                &format!("connection {}", client.number),
            );
        }
        account.ended(answer.end());
        respond_with(answer)
    }

    /// Caps the remaining time to the end of this process. Danger: a request that is unanswered when it ends is lost.
    fn cap_to_shutdown(&self, asked: &mut PendingRequest) {
        let Some(end) = self.ends_at.get() else { return };
        let left = end.saturating_duration_since(Instant::now()).saturating_sub(FINAL_WRITE_WINDOW);
        let left = left.as_nanos() as Nanos;
        asked.request.remaining = asked.request.remaining.min(left);
        asked.upload = asked.upload.min(left);
    }

    /// Whether the client has gone already. Danger: it may have gone before its request was read, or while the previous request on its
    /// connection was answered. An attempt would serve nobody.
    async fn client_has_gone(&self, asked: &mut PendingRequest, client: &Client, may_ask: bool) -> bool {
        if !client.socket.is_read_closed() {
            return false;
        }
        let asks = Instant::now();
        let within = GONE_WITHIN.min(Duration::from_nanos(asked.request.remaining) / GONE_PART);
        if timeout(within, client.socket.peer_disconnected(may_ask)).await.is_ok() {
            return true;
        }
        reduce_remaining(&mut asked.request.remaining, asks.elapsed());
        false
    }
}

/// Subtracts elapsed time from the remaining time.
fn reduce_remaining(remaining: &mut Nanos, passed: Duration) {
    *remaining = remaining.saturating_sub(passed.as_nanos() as Nanos);
}

/// Keeps the accounting alive until the response was written.
fn with_accounting(mut response: Response<Body>, account: RequestAccounting<'_>) -> Response<Body> {
    response.body_mut().carry(account.entry);
    response
}

/// The response to an invalid request.
fn unusable(status: StatusCode, why: &'static str) -> Response<Body> {
    let mut response = bad(status, why);
    if status == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, PUT"));
    }
    response
}

fn trace_read(asked: &PendingRequest, connection: u64, account: &RequestAccounting<'_>, waited: Duration) {
    request_trace::event(|| Event::Read {
        request: asked.upstream_request.id(),
        connection,
        class: account.acting.names.classes.get(account.class).map_or("", String::as_str),
        left_ms: asked.request.remaining / 1_000_000,
        waited_ms: waited.as_millis() as u64,
    });
}

/// Returns shortly before the deadline of a client that has sent its long body completely; never if there is no such body.
async fn overdue(upload: Option<Rc<Upload>>, patience: Nanos) {
    let Some(upload) = upload else { return std::future::pending().await };
    upload.whole().await;
    sleep(Duration::from_nanos(patience - margin(patience) / 2)).await;
}
