//! What a node answers, read to its end or to the end of what is held.

use crate::api::Status;
use crate::proxy::http::request_body::{beginning, NODE_PATIENCE};
use crate::proxy::upstream::attempt::AttemptOutcome;
use crate::proxy::{Body, BODY_MOST};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;

const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const LOOKUP: HeaderName = HeaderName::from_static("x-lookup");
/// A coded answer is held for so long before it is passed on.
const HOLD_MOST: Duration = Duration::from_millis(500);

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By a length ahead, or there is no body.
    Length,
    /// By the last chunk.
    Coded,
    /// By the end of the connection. A reset is no end.
    Close,
}

/// How the end of an answer is told; `None`: its head is one that no node in its right mind sends, a switch of protocols or a
/// length that contradicts itself.
fn framing(response: &Response<Incoming>) -> Option<Framing> {
    let headers = response.headers();
    let (told, coded) = (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING));
    if response.status().is_informational() || told && coded {
        return None;
    }
    Some(match (told, coded) {
        (_, true) => Framing::Coded,
        (false, false) if !response.body().is_end_stream() => Framing::Close,
        _ => Framing::Length,
    })
}

/// An answer that was read to its end, or to the end of what is held.
pub struct ResponseReader {
    pub ended: AttemptOutcome,
    /// Whether the connection can carry another request behind it.
    pub reusable: bool,
    /// Of a long one: its head, what is held, what still comes, and the length of the whole.
    pub long: Option<(Parts, Bytes, Incoming, Option<u64>)>,
}

impl ResponseReader {
    fn spoilt() -> Self {
        ResponseReader { ended: Status::Reset.into(), reusable: false, long: None }
    }
}

/// Reads an answer to its end, if it is short. Danger: passing on a body while it still comes leaves the client with half an
/// answer when it breaks, so that is done only with what is too long to be held. What can't be read may have run.
pub async fn read(response: Response<Incoming>) -> ResponseReader {
    let Some(framing) = framing(&response) else { return ResponseReader::spoilt() };
    let (head, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    let (held, whole) = match length {
        Some(length) if length > BODY_MOST as u64 && head.status == StatusCode::OK => (Bytes::new(), false),
        _ => {
            // Where no length is told it may be a long one, whose first bytes must not wait for long. One that ends with its
            // connection is held for its whole time: until then a reset shows that it was not whole.
            let hold = (framing == Framing::Coded).then_some(HOLD_MOST);
            match beginning(&mut body, NODE_PATIENCE, hold).await {
                Ok(read) => read,
                Err(_) => return ResponseReader::spoilt(),
            }
        }
    };
    let unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    let status = match head.status {
        StatusCode::OK => Status::Ok,
        // Only what is served is passed on.
        _ if !whole => return ResponseReader::spoilt(),
        StatusCode::NOT_FOUND => Status::Miss,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Status::Full,
        _ => Status::Error,
    };
    let code = head.status.as_u16();
    let hit = head.headers.get(&LOOKUP).map(|v| v == "hit");
    let mut ended = AttemptOutcome { status, code, cache_hit: hit, response: None };
    let long = match (status, whole) {
        (Status::Ok, false) => Some((head, held, body, length)),
        (Status::Ok, true) => {
            ended.response = Some(Response::from_parts(head, Body::new(held)));
            None
        }
        _ => None,
    };
    ResponseReader { ended, reusable: framing != Framing::Close, long }
}
