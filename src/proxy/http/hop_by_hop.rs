//! Removes the fields of a message that go no further than the next hop (RFC 9110, section 7.6.1).

use crate::proxy::http::headers::{ACCOUNT, LOOKUP, REPEAT, TIME_LEFT, UNPROCESSED};
use hyper::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop fields, which are not forwarded.
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

/// Fields for every recipient of a message, which `Connection` must not name. They stay although it does: proxy, node and client would
/// act by different messages otherwise.
///
/// Fields that identify a request are not among them: a request that names its own id or idempotency key leaves none to the next hop, and
/// counts as one without.
const END_TO_END: [HeaderName; 17] = [
    header::HOST,
    header::AUTHORIZATION,
    header::CACHE_CONTROL,
    header::CONTENT_ENCODING,
    header::CONTENT_LENGTH,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::LOCATION,
    header::RETRY_AFTER,
    header::VARY,
    ACCOUNT,
    LOOKUP,
    REPEAT,
    TIME_LEFT,
    UNPROCESSED,
];

/// Removes hop-by-hop fields, and those that `Connection` names, unless they are for every recipient.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        if !END_TO_END.contains(&name) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the fields that `Connection` names. Elements that are no field names are passed over.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect()
}

#[cfg(test)]
mod tests;
