//! Requests and answers of HTTP/1.1: parsing, framing, bodies, and the way of one request through the proxy.

pub(crate) mod answer;
pub(crate) mod headers;
pub(crate) mod request_body;
pub(crate) mod request_framing;
pub(crate) mod request_handler;
pub(crate) mod request_parsing;
pub(crate) mod response_reader;
pub(crate) mod responses;
pub(crate) mod routing;
