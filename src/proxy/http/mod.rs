//! HTTP/1.1 requests and responses: parsing, framing, bodies, routing, and the handling of one request from start to end.

pub(crate) mod answer;
pub(crate) mod arrival_clock;
pub(crate) mod headers;
pub(crate) mod hop_by_hop;
pub(crate) mod request_body;
pub(crate) mod request_framing;
pub(crate) mod request_handler;
pub(crate) mod request_ids;
pub(crate) mod request_parsing;
pub(crate) mod response_reader;
pub(crate) mod responses;
pub(crate) mod routing;
pub(crate) mod upload;
