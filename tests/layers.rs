//! The layers of the workspace: arrows go from programs to adapters to cores, and cores do no I/O (`docs/architecture.md`).

use serde_json::Value;
use std::collections::BTreeMap;
use std::process::Command;

/// Crates that open sockets or files, run tasks or read clocks. A core has none of them.
const IO_CRATES: [&str; 9] =
    ["axum", "hyper", "hyper-util", "redb", "rustix", "signal-hook", "socket2", "tokio", "tonic"];

/// A dependency against the arrows that stands for a reason.
const EXCEPTIONS: [(&str, &str); 1] = [
    // `rushquay demo` starts nodes, discovery and clients on loopback for a first run.
    ("rushquay", "rushquay-test-servers"),
];

/// A layer, from the lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Layer {
    Core,
    Adapters,
    Services,
    Programs,
    Testing,
}

/// A package of the workspace and what it needs when it is built for use.
struct Package {
    name: String,
    layer: Layer,
    dependencies: Vec<String>,
}

/// The layer that a manifest's folder says.
fn layer(manifest: &str) -> Layer {
    let folder = |name: &str| manifest.contains(&format!("/crates/{name}/"));
    match manifest {
        _ if folder("core") => Layer::Core,
        _ if folder("adapters") => Layer::Adapters,
        _ if folder("services") => Layer::Services,
        _ if folder("testing") => Layer::Testing,
        other => {
            assert!(!other.contains("/crates/"), "{other} is in no layer");
            Layer::Programs
        }
    }
}

fn packages() -> Vec<Package> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["metadata", "--no-deps", "--format-version", "1", "--locked", "--offline"]);
    let output = command.current_dir(env!("CARGO_MANIFEST_DIR")).output().expect("cargo metadata");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let metadata: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let text = |value: &Value| value.as_str().expect("text").to_owned();
    let package = |package: &Value| {
        // Development dependencies are those of tests; `kind` of the others is null.
        let used = package["dependencies"].as_array().expect("a list").iter().filter(|d| d["kind"].is_null());
        Package {
            name: text(&package["name"]),
            layer: layer(&text(&package["manifest_path"])),
            dependencies: used.map(|dependency| text(&dependency["name"])).collect(),
        }
    };
    metadata["packages"].as_array().expect("a list").iter().map(package).collect()
}

#[test]
fn no_package_needs_one_of_a_higher_layer() {
    let packages = packages();
    assert!(packages.len() > 30, "{} packages", packages.len());
    let layers: BTreeMap<&str, Layer> = packages.iter().map(|p| (p.name.as_str(), p.layer)).collect();
    for package in &packages {
        for dependency in &package.dependencies {
            let Some(layer) = layers.get(dependency.as_str()) else { continue };
            let excepted = EXCEPTIONS.contains(&(package.name.as_str(), dependency.as_str()));
            let (name, own) = (&package.name, package.layer);
            assert!(*layer <= own || excepted, "{name} ({own:?}) needs {dependency} ({layer:?})");
        }
    }
}

#[test]
fn cores_do_no_io() {
    for package in packages().iter().filter(|package| package.layer == Layer::Core) {
        let io = package.dependencies.iter().find(|dependency| IO_CRATES.contains(&dependency.as_str()));
        assert_eq!(io, None, "{} is a core", package.name);
    }
}
