use super::*;
use hyper::header::HeaderValue;

/// A message with these lines of `Connection` and a value for each of the other fields.
fn message(connection: &[&[u8]], fields: &[&'static str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for line in connection {
        headers.append(header::CONNECTION, HeaderValue::from_bytes(line).expect("a value"));
    }
    for field in fields {
        headers.insert(*field, HeaderValue::from_static("value"));
    }
    headers
}

/// Guards against fields that survive because of how `Connection` names them: in other case, in a list with empty elements, in a further
/// line, or beside bytes beyond ASCII.
#[test]
fn named_fields_are_removed_in_whatever_form_they_are_named() {
    let forms: [&[&[u8]]; 5] =
        [&[b"x-own"], &[b"X-OWN"], &[b"close, ,X-Own ,"], &[b"close", b"x-own"], &[b"\xff\xfe, x-own"]];
    for form in forms {
        let mut headers = message(form, &["x-own", "x-other"]);
        remove_hop_by_hop(&mut headers);
        assert_eq!(headers.keys().map(HeaderName::as_str).collect::<Vec<_>>(), ["x-other"], "{form:?}");
    }
}

/// Guards against a proxy that acts by a field and a node that never sees it, for every field of the table.
#[test]
fn fields_for_every_recipient_stay_though_they_are_named() {
    for name in END_TO_END {
        let mut headers = message(&[name.as_str().as_bytes()], &[]);
        headers.insert(name.clone(), HeaderValue::from_static("value"));
        remove_hop_by_hop(&mut headers);
        assert_eq!(headers.keys().collect::<Vec<_>>(), [&name]);
    }
}

/// Guards against an id or key that the proxy acts by while the next hop gets none.
#[test]
fn fields_that_identify_a_request_are_removed_when_they_are_named() {
    for name in ["x-correlation-id", "idempotency-key"] {
        let mut headers = message(&[name.as_bytes()], &[name]);
        remove_hop_by_hop(&mut headers);
        assert!(headers.is_empty(), "{name}");
    }
}
