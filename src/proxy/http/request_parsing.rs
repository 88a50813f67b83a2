//! Parses a client's request for the decision module.

use crate::api::{self, Nanos};
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::interner::key;
use crate::proxy::control::policy_client::PolicyClient;
use crate::proxy::engine::{Engine, PendingRequest};
use crate::proxy::http::headers::{CorrelationId, ACCOUNT, CORRELATION_ID, REPEAT, TIME_LEFT};
use crate::proxy::http::hop_by_hop::remove_hop_by_hop;
use crate::proxy::http::request_body::{beginning, BodyReadError, HoldEnd, CLIENT_LIMITS};
use crate::proxy::http::routing::Forward;
use crate::proxy::http::upload::Upload;
use crate::proxy::listener::shutdown_deadline::ShutdownDeadline;
use crate::proxy::upstream::attempt::{AttemptBody, UpstreamRequest};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const NO_KEY: ParseError = ParseError::Invalid(StatusCode::BAD_REQUEST, "no Idempotency-Key");
/// Maximum duration of an upload, meant for half a gigabyte from the slowest healthy client.
const MAX_UPLOAD_TIME: Nanos = 3600 * 1_000_000_000;

/// Returns the name of a request's class: the first segment of its path, unless its route names another class.
pub fn class_of<'a>(head: &'a Parts, forward: Option<&'a Forward>) -> &'a str {
    let first = head.uri.path().strip_prefix('/').unwrap_or("").split('/').next().unwrap_or("");
    forward.and_then(|f| f.class.as_deref()).unwrap_or(first)
}

/// Returns the key of a request: the last segment of its path, if that is not also the first.
fn key_of(head: &Parts) -> Option<&str> {
    let mut parts = head.uri.path().strip_prefix('/').unwrap_or("").split('/');
    parts.next();
    parts.next_back().filter(|k| !k.is_empty())
}

/// Why a request is not submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// It is invalid, or its body did not arrive in time: the status and text of its response.
    Invalid(StatusCode, &'static str),
    /// This process ends, and its body has not arrived completely.
    ShuttingDown,
}

/// What a request is parsed under.
pub struct ParseContext<'a> {
    /// The configuration when its head arrived.
    pub active: &'a Rc<ActiveConfig>,
    pub class: usize,
    pub engine: &'a Engine,
    pub forward: Option<&'a Forward>,
    pub policy: Option<&'a PolicyClient>,
    pub shutdown_deadline: &'a ShutdownDeadline,
    /// When its head arrived.
    pub began: Instant,
}

/// Parses a request for the decision module.
///
/// # Errors
/// The request is invalid, or its body did not arrive in time.
pub async fn parse_request(
    context: &ParseContext<'_>,
    head: Parts,
    body: Incoming,
) -> Result<PendingRequest, ParseError> {
    let &ParseContext { active, class, engine, forward, policy, .. } = context;
    let (name, key_text) = (class_of(&head, forward), key_of(&head));
    let write = match head.method {
        Method::GET => false,
        Method::PUT => true,
        _ => return Err(ParseError::Invalid(StatusCode::METHOD_NOT_ALLOWED, "only GET and PUT")),
    };
    let at_most_one = |name: &HeaderName, why| match head.headers.get_all(name).iter().count() {
        0 => Ok(None),
        1 => Ok(head.headers.get(name)),
        _ => Err(ParseError::Invalid(StatusCode::BAD_REQUEST, why)),
    };
    let rule = &active.settings.classes[class];
    let time_limit = match at_most_one(&TIME_LEFT, "more than one X-Time-Left")? {
        None => rule.deadline,
        // Danger: the state of a request is kept for this long.
        Some(value) => time_left(value)
            .ok_or(ParseError::Invalid(StatusCode::BAD_REQUEST, "bad X-Time-Left"))?
            .min(rule.deadline),
    };
    let time_limit = forward.and_then(|f| f.timeout).map_or(time_limit, |max| time_limit.min(max));
    let id = at_most_one(&CORRELATION_ID, "more than one X-Correlation-Id")?;
    let Some(correlation_id) = id.and_then(CorrelationId::parse) else {
        return Err(ParseError::Invalid(StatusCode::BAD_REQUEST, "no X-Correlation-Id, or a bad one"));
    };
    let idempotency_key = at_most_one(&IDEMPOTENCY_KEY, "more than one Idempotency-Key")?;
    let lacks_key = write && idempotency_key.is_none_or(|k| k.is_empty());
    if lacks_key && active.keyed(class as u32) {
        return Err(NO_KEY);
    }
    let mut body = body;
    let length = body.size_hint().exact();
    // Danger: a client that stalls in the middle of its body would keep its connection forever, since that counts as busy.
    let read = tokio::select! {
        biased;
        read = beginning(&mut body, CLIENT_LIMITS, HoldEnd::never()) => read,
        () = context.shutdown_deadline.body_due(context.began, Duration::from_nanos(time_limit)) => {
            return Err(ParseError::ShuttingDown);
        }
    };
    let (held, whole) = read.map_err(|e| match e {
        BodyReadError::Stalled => {
            ParseError::Invalid(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")
        }
        BodyReadError::Broken => ParseError::Invalid(StatusCode::BAD_REQUEST, "the body is broken"),
    })?;
    // The request starts here, and completes under the policy lease that is valid now.
    policy.iter().for_each(|p| p.refresh());
    // Danger: settings that require an idempotency key for retries may have been applied while the body arrived.
    let active = engine.active_config();
    if lacks_key && active.keyed(class as u32) {
        return Err(NO_KEY);
    }
    let time_limit = time_limit.min(active.settings.classes[class].deadline);
    let (body, upload) = match whole {
        true => (AttemptBody::Buffered(held), 0),
        false => (AttemptBody::Streamed(Upload::new(held, body, length)), MAX_UPLOAD_TIME),
    };
    let tenant = head.headers.get(ACCOUNT).and_then(|a| a.to_str().ok());
    let tenant = tenant.and_then(|a| active.names.tenants.iter().position(|t| t == a));
    let request = api::Request {
        id: 0,
        class: class as u32,
        tenant: tenant.map(|t| t as u32),
        key: key_text.map(key),
        pinned: key_text.and_then(|k| engine.pinned(name, k)),
        remaining: time_limit,
        is_write: write,
        is_marked_retry: head.headers.get(REPEAT).is_some_and(|v| v == "1"),
    };
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse().map_err(|_| ParseError::Invalid(StatusCode::BAD_REQUEST, "bad path"))?;
    let mut headers = head.headers;
    if forward.is_some() {
        // What a route has added must not change the framing or the connection of the next hop either.
        remove_hop_by_hop(&mut headers);
    }
    // The body is forwarded with its actual length.
    headers.remove(header::CONTENT_LENGTH);
    let terms = forward.map(|f| f.terms.clone());
    Ok(PendingRequest {
        request,
        upstream_request: UpstreamRequest { correlation_id, method: head.method, uri, headers, body },
        upload,
        attempt_policy: terms,
        claim: None,
    })
}

/// Parses decimal seconds into nanoseconds.
fn time_left(value: &HeaderValue) -> Option<Nanos> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some((seconds.min(3600.0) * 1e9) as Nanos)
}
