//! Names of resources in collections.

use rushquay_xds_resources::endpoint_name;

#[test]
fn ids_can_not_escape_their_path_segment() {
    let name = endpoint_name("c", "", "a/b*%");
    assert_eq!(name, "xdstp://rushquay/envoy.config.endpoint.v3.LbEndpoint/c/%/a%2Fb%2A%25");
    assert!(!name.ends_with('*'));
}
