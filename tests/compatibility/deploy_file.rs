//! The deploy file, which a platform reads.

#[test]
fn the_deploy_file_keeps_its_keys() {
    let text = include_str!("../../deploy/balancer.toml");
    let table: toml::Table = toml::from_str(text).expect("TOML");
    let keys: Vec<&str> = table.keys().map(String::as_str).collect();
    assert_eq!(keys, ["build", "node", "packages", "policy", "run", "sim"]);
    for command in ["build", "run", "sim"] {
        assert!(table[command].is_str(), "{command}");
    }
    for files in ["policy", "node", "packages"] {
        assert!(table[files].is_array(), "{files}");
    }
    // What the platform counts as the proxy's own files exists.
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    for files in ["policy", "node"] {
        for file in table[files].as_array().expect("an array") {
            assert!(root.join(file.as_str().expect("a path")).exists(), "{file:?}");
        }
    }
    assert_eq!(table["run"].as_str(), Some("exec target/release/rushquay"));
}
