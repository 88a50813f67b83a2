//! `rushquay check FILE`: reads a file as the program would, and names file, field and what was expected.

use rushquay::net::config::Config;
use rushquay::net::subscription::ControlSource;
use rushquay_control_service::read_settings;
use rushquay_nodes::check_list;
use serde_json::Value;
use std::path::Path;

/// What a file turned out to be and hold, or what is wrong with it.
pub fn check(path: &Path) -> Result<String, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    if path.extension().is_some_and(|e| e == "toml") {
        let table: toml::Table = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
        if table.contains_key("addresses") {
            let source = ControlSource::read(path)?;
            return Ok(format!(
                "{name}: good (a proxy's subscription to {} addresses)",
                source.addresses.len()
            ));
        }
        read_settings(path).map_err(|e| e.to_string())?;
        return Ok(format!("{name}: good (settings of the control service)"));
    }
    let root: Value =
        serde_json::from_str(&text).map_err(|e| format!("{name}: (file): expected JSON: {e}"))?;
    if root.get("servers").is_some() {
        let list = check_list(&text).map_err(|e| format!("{name}: {e}"))?;
        return Ok(format!(
            "{name}: good (a node list, version {}, {} nodes)",
            list.version,
            list.servers.len()
        ));
    }
    if root.get("settings").is_some() {
        Config::parse(&text, |_| None).map_err(|e| format!("{name}: {e}"))?;
        return Ok(format!("{name}: good (a proxy's configuration)"));
    }
    Err(format!("{name}: (file): expected servers (a node list) or settings (a proxy's configuration)"))
}
