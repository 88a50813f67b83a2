//! Parses a client's request for the decision module.

use crate::api::{self, Nanos};
use crate::proxy::config::active_config::ActiveConfig;
use crate::proxy::config::interner::key;
use crate::proxy::control::policy_client::PolicyClient;
use crate::proxy::engine::{Engine, PendingRequest};
use crate::proxy::http::headers::{CORRELATION_ID, TIME_LEFT};
use crate::proxy::http::request_body::{beginning, Unread, Upload, CLIENT_PATIENCE};
use crate::proxy::http::responses::strip;
use crate::proxy::http::routing::Forward;
use crate::proxy::upstream::attempt::{AttemptBody, UpstreamRequest};
use hyper::body::{Body as _, Incoming};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::rc::Rc;

const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const NO_KEY: (StatusCode, &str) = (StatusCode::BAD_REQUEST, "no Idempotency-Key");
/// Longest request id, in bytes.
const ID_MOST: usize = 128;
/// The longest that an upload may take: half a gigabyte from the slowest healthy client.
const UPLOAD_MOST: Nanos = 3600 * 1_000_000_000;

/// The name of a request's class: the first segment of its path, unless its route names another.
pub fn class_of<'a>(head: &'a Parts, forward: Option<&'a Forward>) -> &'a str {
    let first = head.uri.path().strip_prefix('/').unwrap_or("").split('/').next().unwrap_or("");
    forward.and_then(|f| f.class.as_deref()).unwrap_or(first)
}

/// The key of a request: the last segment of its path, behind the first.
fn key_of(head: &Parts) -> Option<&str> {
    let mut parts = head.uri.path().strip_prefix('/').unwrap_or("").split('/');
    parts.next();
    parts.next_back().filter(|k| !k.is_empty())
}

/// Parses a request for the module, or says why it is invalid.
pub async fn parse_request(
    under: &Rc<ActiveConfig>,
    class: usize,
    engine: &Engine,
    head: Parts,
    body: Incoming,
    forward: Option<&Forward>,
    policy: Option<&PolicyClient>,
) -> Result<PendingRequest, (StatusCode, &'static str)> {
    let (name, key_text) = (class_of(&head, forward), key_of(&head));
    let write = match head.method {
        Method::GET => false,
        Method::PUT => true,
        _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "only GET and PUT")),
    };
    let only = |name: &HeaderName, why| match head.headers.get_all(name).iter().count() {
        0 => Ok(None),
        1 => Ok(head.headers.get(name)),
        _ => Err((StatusCode::BAD_REQUEST, why)),
    };
    let rule = &under.settings.classes[class];
    let patience = match only(&TIME_LEFT, "more than one X-Time-Left")? {
        None => rule.deadline,
        // Danger: the state of a request is held for this long.
        Some(told) => time_left(told).ok_or((StatusCode::BAD_REQUEST, "bad X-Time-Left"))?.min(rule.deadline),
    };
    let patience = forward.and_then(|f| f.timeout).map_or(patience, |most| patience.min(most));
    let id = only(&CORRELATION_ID, "more than one X-Correlation-Id")?;
    if !id.is_some_and(well_formed) {
        return Err((StatusCode::BAD_REQUEST, "no X-Correlation-Id, or a bad one"));
    }
    let key_of_repeats = only(&IDEMPOTENCY_KEY, "more than one Idempotency-Key")?;
    let unkeyed = write && key_of_repeats.is_none_or(|k| k.is_empty());
    if unkeyed && under.keyed(class as u32) {
        return Err(NO_KEY);
    }
    let mut body = body;
    let length = body.size_hint().exact();
    // Danger: a client that stalls in the middle of its body would keep its connection, which counts as busy.
    let (held, whole) = beginning(&mut body, CLIENT_PATIENCE, None).await.map_err(|e| match e {
        Unread::Stopped => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        Unread::Broken => (StatusCode::BAD_REQUEST, "the body is broken"),
    })?;
    // The request starts here: it runs to its end under the policy lease that is valid now.
    policy.iter().for_each(|p| p.refresh());
    // Danger: while the body arrived, other settings may have been applied under which retries need an idempotency key.
    let under = engine.active_config();
    if unkeyed && under.keyed(class as u32) {
        return Err(NO_KEY);
    }
    let patience = patience.min(under.settings.classes[class].deadline);
    let (body, upload) = match whole {
        true => (AttemptBody::Buffered(held), 0),
        false => (AttemptBody::Streamed(Upload::new(held, body, length)), UPLOAD_MOST),
    };
    let tenant = head.headers.get(ACCOUNT).and_then(|a| a.to_str().ok());
    let tenant = tenant.and_then(|a| under.names.tenants.iter().position(|t| t == a));
    let request = api::Request {
        id: 0,
        class: class as u32,
        tenant: tenant.map(|t| t as u32),
        key: key_text.map(key),
        pinned: key_text.and_then(|k| engine.pinned(name, k)),
        remaining: patience,
        is_write: write,
        is_marked_retry: head.headers.get(REPEAT).is_some_and(|v| v == "1"),
    };
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse().map_err(|_| (StatusCode::BAD_REQUEST, "bad path"))?;
    let mut headers = head.headers;
    strip(&mut headers);
    // The body is forwarded with its actual length.
    headers.remove(header::CONTENT_LENGTH);
    let terms = forward.map(|f| f.terms.clone());
    Ok(PendingRequest {
        request,
        upstream_request: UpstreamRequest { method: head.method, uri, headers, body },
        upload,
        attempt_policy: terms,
    })
}

/// An id is printable ASCII without spaces: the next hop may read anything else differently.
fn well_formed(id: &HeaderValue) -> bool {
    (1..=ID_MOST).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
}

/// Seconds with decimals, as nanoseconds.
fn time_left(told: &HeaderValue) -> Option<Nanos> {
    let text = told.to_str().ok()?.trim();
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| plain)?;
    Some((seconds.min(3600.0) * 1e9) as Nanos)
}
