//! Names of resources in collections (xDS, "xdstp:// structured names").

use std::fmt::Write as _;

const AUTHORITY: &str = "rushquay";

/// The type of an extension's content here: a text.
pub(crate) const TEXT_TYPE: &str = "type.googleapis.com/google.protobuf.StringValue";

/// The settings of a proxy.
pub fn settings_name(proxy: &str) -> String {
    format!("rushquay/settings/{}", segment(proxy))
}

/// What holds of policies, for all alike.
pub const POLICY_RESOURCE: &str = "rushquay/policy";

/// Leaves are named so.
pub(crate) const LEAVES: &str = "rushquay/leave/";

/// The leave of a process to act by a policy; `boot` names the process.
pub fn policy_lease_name(proxy: &str, boot: u64) -> String {
    format!("{LEAVES}{}/{boot:x}", segment(proxy))
}

/// The assignment of a cluster in the form that points to collections.
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

/// A text as one path segment, percent-encoded. Danger: a slash in an id would be a segment of its own, and `*` a
/// collection. An empty text, which can be no segment, stands as `%`, which nothing else encodes to.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_cannot_leave_their_segment() {
        let name = endpoint_name("c", "", "a/b*%");
        assert_eq!(name, "xdstp://rushquay/envoy.config.endpoint.v3.LbEndpoint/c/%/a%2Fb%2A%25");
        assert!(!name.ends_with('*'));
    }
}
