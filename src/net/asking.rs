//! A client's request read into the module's terms, and the module's answers as responses.

use super::body::{beginning, Unread, Upload, BODY_PATIENCE};
use super::engine::{Answer, Asked, Engine};
use super::routed::Forward;
use super::upstream::{Job, JobBody, TIME_LEFT};
use super::Body;
use crate::api::{self, Effect, Nanos};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Version};

pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that belong to one connection and do not go on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
/// An id is at most this long.
const ID_MOST: usize = 128;
/// A long body has come whole by then: half a gigabyte from the slowest client that is well.
const UPLOAD_MOST: Nanos = 3600 * 1_000_000_000;

/// The name of a request's class: the first part of its path, unless its route says another.
pub fn class_of<'a>(head: &'a Parts, forward: Option<&'a Forward>) -> &'a str {
    let first = head.uri.path().strip_prefix('/').unwrap_or("").split('/').next().unwrap_or("");
    forward.and_then(|f| f.class.as_deref()).unwrap_or(first)
}

/// What a request is about: the last part of its path, behind the first.
fn key_of(head: &Parts) -> Option<&str> {
    let mut parts = head.uri.path().strip_prefix('/').unwrap_or("").split('/');
    parts.next();
    parts.next_back().filter(|k| !k.is_empty())
}

/// Reads a request into the module's terms, or says what is wrong with it.
pub async fn asked(
    settings: &api::Class,
    class: usize,
    engine: &Engine,
    head: Parts,
    body: Incoming,
    forward: Option<&Forward>,
) -> Result<Asked, (StatusCode, &'static str)> {
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
    let patience = match only(&TIME_LEFT, "more than one X-Time-Left")? {
        None => settings.deadline,
        // Danger: what is kept for a request is kept for so long.
        Some(told) => {
            time_left(told).ok_or((StatusCode::BAD_REQUEST, "bad X-Time-Left"))?.min(settings.deadline)
        }
    };
    let patience = forward.and_then(|f| f.timeout).map_or(patience, |most| patience.min(most));
    let id = only(&CORRELATION_ID, "more than one X-Correlation-Id")?;
    if !id.is_some_and(well_formed) {
        return Err((StatusCode::BAD_REQUEST, "no X-Correlation-Id, or a bad one"));
    }
    let key_of_repeats = only(&IDEMPOTENCY_KEY, "more than one Idempotency-Key")?;
    if write && settings.effect == Effect::Keyed && key_of_repeats.is_none_or(|k| k.is_empty()) {
        return Err((StatusCode::BAD_REQUEST, "no Idempotency-Key"));
    }
    let mut body = body;
    let length = body.size_hint().exact();
    // Danger: a client that stalls in the midst of its body would keep its connection, which counts as busy.
    let (held, whole) = beginning(&mut body, BODY_PATIENCE, None).await.map_err(|e| match e {
        Unread::Stopped => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        Unread::Broken => (StatusCode::BAD_REQUEST, "the body is broken"),
    })?;
    let (body, upload) = match whole {
        true => (JobBody::Whole(held), 0),
        false => (JobBody::Long(Upload::new(held, body, length)), UPLOAD_MOST),
    };
    let tenant = head.headers.get(ACCOUNT).and_then(|a| a.to_str().ok());
    let tenant = tenant.and_then(|a| engine.names().tenants.iter().position(|t| t == a));
    let request = api::Request {
        id: 0,
        class: class as u32,
        tenant: tenant.map(|t| t as u32),
        key: key_text.map(key),
        pinned: key_text.and_then(|k| engine.pinned(name, k)),
        remaining: patience,
        write,
        retry: head.headers.get(REPEAT).is_some_and(|v| v == "1"),
    };
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse().map_err(|_| (StatusCode::BAD_REQUEST, "bad path"))?;
    let mut headers = head.headers;
    strip(&mut headers);
    // The body is passed on with the length that it has.
    headers.remove(header::CONTENT_LENGTH);
    let terms = forward.map(|f| f.terms.clone());
    Ok(Asked { request, job: Job { method: head.method, uri, headers, body }, upload, terms })
}

/// An id is printable and has no blanks: anything else may be read otherwise by who it is passed on to.
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

/// A key as a number: hex as on the simulator's wire, anything else hashed.
pub(super) fn key(text: &str) -> u64 {
    let hex = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok());
    hex.flatten().unwrap_or_else(|| api::server_id(text))
}

/// Takes out what belongs to one connection alone.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

pub(super) fn respond_with(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Served(response) => {
            let (mut head, body) = response.into_parts();
            strip(&mut head.headers);
            // Danger: hyper believes a length that stands here; the body held has one of its own.
            head.headers.remove(header::CONTENT_LENGTH);
            head.version = Version::HTTP_11;
            Response::from_parts(head, body)
        }
        Answer::Refused(wait) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if !wait.is_zero() {
                if let Ok(advice) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
                    response.headers_mut().insert(header::RETRY_AFTER, advice);
                }
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::Overdue => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

/// Turns away what is malformed or too large. Danger: a client that sends the like again and again on one connection
/// costs more than one that has to connect for it; and what follows on it may be the rest of this one.
pub fn bad(status: StatusCode, why: &'static str) -> Response<Body> {
    let mut response = plain(status, why);
    closing(&mut response);
    response
}

pub fn closing(response: &mut Response<Body>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn advice_to_wait_reaches_the_client_as_seconds() {
        for (wait, advice) in [(1500, Some("1.500")), (0, None)] {
            let answer = respond_with(Answer::Refused(Duration::from_millis(wait)));
            let told = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
            assert_eq!((answer.status(), told), (StatusCode::SERVICE_UNAVAILABLE, advice));
        }
    }

    #[test]
    fn a_key_is_read_as_the_simulator_reads_it() {
        assert_eq!(key("7f3a9c21e0b4d655"), 0x7f3a_9c21_e0b4_d655);
        assert_ne!(key("boiler-7"), key("boiler-8"));
    }
}
