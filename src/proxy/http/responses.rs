//! HTTP responses for the decision module's answers and for invalid requests.

use crate::proxy::http::answer::Answer;
use crate::proxy::http::hop_by_hop::remove_hop_by_hop;
use crate::proxy::Body;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode, Version};

/// Builds the response for an answer.
pub fn respond_with(answer: Answer) -> Response<Body> {
    match answer {
        Answer::Served(response) => {
            let (mut head, body) = response.into_parts();
            remove_hop_by_hop(&mut head.headers);
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
