//! Reads a node's response: completely if it is short, otherwise the beginning that is held.

use crate::api::Status;
use crate::proxy::http::headers::{LOOKUP, UNPROCESSED};
use crate::proxy::http::request_body::{beginning, HoldEnd, NODE_LIMITS};
use crate::proxy::upstream::attempt::AttemptOutcome;
use crate::proxy::upstream::response_hold::ResponseHold;
use crate::proxy::{Body, MAX_BUFFERED_BODY};
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use rushquay_stream_progress::{Framing, Nanos};

/// Returns how the end of a response is delimited; `None` if the head is invalid: an informational status, such as a protocol switch, or
/// both `Content-Length` and `Transfer-Encoding`.
fn framing(response: &Response<Incoming>) -> Option<Framing> {
    let headers = response.headers();
    let (has_length, is_chunked) =
        (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING));
    if response.status().is_informational() || has_length && is_chunked {
        return None;
    }
    Some(match (has_length, is_chunked) {
        (_, true) => Framing::Chunked,
        (false, false) if !response.body().is_end_stream() => Framing::Close,
        _ => Framing::Length,
    })
}

/// A response that was read to its end, or to the end of the part that is buffered.
pub struct ResponseReader {
    pub ended: AttemptOutcome,
    /// Whether the connection can be reused for another request afterwards.
    pub reusable: bool,
    /// For a long response, and one of unknown length that is passed on before its end: its head, the buffered beginning, the rest that is
    /// still arriving, and the length of the whole.
    pub long: Option<(Parts, Bytes, Incoming, Option<u64>)>,
}

impl ResponseReader {
    fn invalid() -> Self {
        ResponseReader { ended: Status::Reset.into(), reusable: false, long: None }
    }
}

/// Reads a response to its end if it is short. Danger: streaming a body while it still arrives leaves the client with a partial response
/// if it breaks off, so only bodies are streamed that are too long to be buffered, or of unknown length and still arriving when they may be
/// held no longer: at `answer_due` at the latest. A request whose response cannot be read may have been executed.
pub async fn read(response: Response<Incoming>, hold: &ResponseHold, answer_due: Nanos) -> ResponseReader {
    let Some(framing) = framing(&response) else { return ResponseReader::invalid() };
    let (head, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    let (held, whole) = match length {
        Some(length) if length > MAX_BUFFERED_BODY as u64 && head.status == StatusCode::OK => {
            (Bytes::new(), false)
        }
        _ => {
            // Only successful responses are streamed.
            let streamed_as = if head.status == StatusCode::OK { framing } else { Framing::Length };
            let read = match hold.begin(streamed_as, answer_due) {
                None => beginning(&mut body, NODE_LIMITS, HoldEnd::never()).await,
                Some(times) => {
                    let hold_end = HoldEnd { arriving_until: times.arriving_until, at: hold.ended(times) };
                    beginning(&mut body, NODE_LIMITS, hold_end).await
                }
            };
            match read {
                Ok(read) => read,
                Err(_) => return ResponseReader::invalid(),
            }
        }
    };
    if !whole {
        hold.record_pass_on();
    }
    let unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    let status = match head.status {
        StatusCode::OK => Status::Ok,
        _ if !whole => return ResponseReader::invalid(),
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
