//! Names of resources (xDS, "xdstp:// structured names").

use std::fmt::Write as _;

const AUTHORITY: &str = "rushquay";

/// The type of an extension's content: a text.
pub(crate) const TEXT_TYPE: &str = "type.googleapis.com/google.protobuf.StringValue";

/// The resource with the settings of a proxy.
pub fn settings_name(proxy: &str) -> String {
    format!("rushquay/settings/{}", segment(proxy))
}

/// The resource with the policies in force, for all proxies.
pub const POLICY_RESOURCE: &str = "rushquay/policy";

/// The prefix of the names of policy leases.
pub(crate) const POLICY_LEASE_PREFIX: &str = "rushquay/leave/";

/// The resource with the policy lease of a process; `boot` identifies the process.
pub fn policy_lease_name(proxy: &str, boot: u64) -> String {
    format!("{POLICY_LEASE_PREFIX}{}/{boot:x}", segment(proxy))
}

/// The assignment of a cluster in the form that refers to collections.
pub fn assignment_name(cluster: &str) -> String {
    format!("xdstp://{AUTHORITY}/envoy.config.endpoint.v3.ClusterLoadAssignment/{}", segment(cluster))
}

/// The collection of a cluster's endpoints in a zone.
pub fn collection_name(cluster: &str, zone: &str) -> String {
    endpoint_path(cluster, zone) + "*"
}

/// One endpoint of a collection.
pub fn endpoint_name(cluster: &str, zone: &str, id: &str) -> String {
    endpoint_path(cluster, zone) + &segment(id)
}

fn endpoint_path(cluster: &str, zone: &str) -> String {
    format!("xdstp://{AUTHORITY}/envoy.config.endpoint.v3.LbEndpoint/{}/{}/", segment(cluster), segment(zone))
}

/// A text as one path segment, percent-encoded. Danger: an unencoded slash in an id would begin another segment, and
/// `*` would be a collection. An empty text, which can't be a segment, is encoded as `%`, which is the encoding of
/// nothing else.
fn segment(text: &str) -> String {
    if text.is_empty() {
        return "%".into();
    }
    text.bytes().fold(String::with_capacity(text.len()), |mut out, b| {
        match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b':' => out.push(b as char),
            _ => drop(write!(out, "%{b:02X}")),
        }
        out
    })
}
