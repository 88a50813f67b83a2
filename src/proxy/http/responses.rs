//! HTTP responses for the decision module's answers and for invalid requests.

use crate::proxy::http::answer::Answer;
use crate::proxy::Body;
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode, Version};

/// Hop-by-hop headers, which are not forwarded.
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

/// Removes hop-by-hop headers, and those that `Connection` names.
pub fn strip(headers: &mut HeaderMap) {
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

/// Builds the response for an answer.
pub fn respond_with(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Served(response) => {
            let (mut head, body) = response.into_parts();
            strip(&mut head.headers);
            // Danger: hyper trusts a length in the headers; the buffered body has its own.
            head.headers.remove(header::CONTENT_LENGTH);
            head.version = Version::HTTP_11;
            Response::from_parts(head, body)
        }
        Answer::Rejected(wait) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
            if !wait.is_zero() {
                if let Ok(value) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        Answer::Overdue => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    }
}

/// Rejects an invalid request and closes the connection. Danger: a client that repeats the request on one connection costs more than one
/// that has to reconnect; and the bytes that follow may be the rest of this request.
pub fn bad(status: StatusCode, why: &'static str) -> Response<Body> {
    let mut response = plain(status, why);
    closing(&mut response);
    response
}

/// Asks the client to close the connection after this response.
pub fn closing(response: &mut Response<Body>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Builds a response with a fixed text as its body.
pub fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
