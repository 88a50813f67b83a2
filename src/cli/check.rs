//! `rushquay check FILE`: parses a file as the program would, and reports the file, the field and what was expected.

use rushquay::proxy::config::Config;
use rushquay::proxy::control::policy_settings::PolicySource;
use rushquay::proxy::control::rollout_settings::RolloutSource;
use rushquay::proxy::control::settings::ControlSource;
use rushquay::proxy::envoy::{read_bootstrap, EnvoySource};
use rushquay::supervisor::SupervisorSettings;
use rushquay_control_service::read_settings;
use rushquay_endpoints::validate_list;
use rushquay_envoy::{Bootstrap, Members, Routes, Source};
use rushquay_load_assignment::effective::effective;
use rushquay_routing::{Action, Clusters, PathMatch, Table};
use serde_json::Value;
use std::path::Path;

/// Detects the kind of a file and describes its content, or what is wrong with it.
pub fn check(path: &Path) -> Result<String, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    if path.extension().is_some_and(|e| e == "toml") {
        let table: toml::Table = toml::from_str(&text).map_err(|e| format!("{name}: {e}"))?;
        if table.contains_key("bootstrap") {
            let source = EnvoySource::read(path)?;
            return Ok(format!(
                "{name}: good (clusters in Envoy's form)\n{}",
                describe_bootstrap(&source.bootstrap)
            ));
        }
        if table.contains_key("addresses") {
            let source = ControlSource::read(path)?;
            return Ok(format!(
                "{name}: good (a proxy's subscription to {} addresses)",
                source.addresses.len()
            ));
        }
        if table.contains_key("programs") {
            let settings = SupervisorSettings::read(path)?;
            return Ok(format!("{name}: good (a host, of proxy {})", settings.name));
        }
        if table.contains_key("report_ms") {
            // A file without a zone uses that of the proxy's settings, so check it against placeholder settings.
            RolloutSource::read(path, &serde_json::json!({"localities": ["its own"], "zone": 0}))?;
            return Ok(format!("{name}: good (a proxy's part in changes of settings)"));
        }
        if table.contains_key("ask_ms") {
            // The classes that a fallback policy names are defined in the proxy's settings, which are not available here.
            PolicySource::read_unchecked(path)?;
            return Ok(format!("{name}: good (a proxy's part in changes of policy)"));
        }
        read_settings(path).map_err(|e| e.to_string())?;
        return Ok(format!("{name}: good (settings of the control service)"));
    }
    if path.extension().is_some_and(|e| e == "yaml" || e == "yml") {
        let read = read_bootstrap(path)?;
        return Ok(format!("{name}: good (an Envoy bootstrap file)\n{}", describe_bootstrap(&read)));
    }
    let root: Value =
        serde_json::from_str(&text).map_err(|e| format!("{name}: (file): expected JSON: {e}"))?;
    if root.get("servers").is_some() {
        let list = validate_list(&text).map_err(|e| format!("{name}: {e}"))?;
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
    if ["static_resources", "dynamic_resources", "staticResources", "dynamicResources"]
        .iter()
        .any(|f| root.get(f).is_some())
    {
        let read = read_bootstrap(path)?;
        return Ok(format!("{name}: good (an Envoy bootstrap file)\n{}", describe_bootstrap(&read)));
    }
    Err(format!("{name}: (file): expected servers (a node list) or settings (a proxy's configuration)"))
}

fn source_name(source: &Source) -> String {
    match source {
        Source::Ads => "the stream".into(),
        Source::File(path) => path.display().to_string(),
    }
}

/// Describes the effect of a bootstrap file, line by line.
fn describe_bootstrap(read: &Bootstrap) -> String {
    let mut lines = Vec::new();
    if let Some(ads) = &read.ads {
        let addresses: Vec<String> = ads.addresses.iter().map(|a| a.to_string()).collect();
        let variant = if ads.sotw { "state-of-the-world" } else { "delta" };
        let tls = if ads.secrets.is_some() { "mutual TLS" } else { "no TLS" };
        lines.push(format!("stream: {} ({variant}, {tls})", addresses.join(", ")));
    }
    for (kind, source) in [("clusters", &read.cds), ("listeners", &read.lds)] {
        if let Some(source) = source {
            lines.push(format!("{kind}: also from {}", source_name(&source.source)));
        }
    }
    if let Some(admin) = read.admin {
        lines.push(format!("admin page: {admin}"));
    }
    for (listener, _) in &read.listeners {
        let at = listener.address.map_or_else(String::new, |a| format!(" at {a}"));
        match &listener.routes {
            Routes::Inline(table) => {
                lines.push(format!("listener {:?}{at}, routes {:?}:", listener.name, table.name()));
                lines.extend(routes(table));
            }
            Routes::Rds { name, from: source, .. } => {
                let source = source_name(&source.source);
                lines.push(format!("listener {:?}{at}, routes {name:?} from {source}", listener.name));
            }
        }
    }
    for (cluster, _) in &read.clusters {
        let name = &cluster.name;
        match &cluster.members {
            Members::Static(assignment) => {
                lines.push(format!("cluster {name:?}:"));
                let now = effective(assignment, &cluster.rules.sharing, false);
                for ((locality, endpoint), part) in assignment.endpoints().zip(&now.shares) {
                    let (zone, addr) = (&locality.name.zone, endpoint.addr);
                    let percent = part * 100.0;
                    lines.push(format!(
                        "  {addr} zone {zone:?} priority {}: {percent:.2} %",
                        locality.priority
                    ));
                }
            }
            Members::Eds { service, from: source } => {
                lines.push(format!(
                    "cluster {name:?}: endpoints {service:?} from {}",
                    source_name(&source.source)
                ));
            }
            Members::Dns { .. } => lines.push(format!("cluster {name:?}: names that are looked up")),
            Members::Aggregate(of) => lines.push(format!("cluster {name:?}: stands for {}", of.join(", "))),
        }
        if let Some(origin) = &cluster.origin {
            lines.push(format!("  behind it the origin {origin:?}"));
        }
    }
    lines.push(format!("ignored: {} fields", read.notes.count));
    lines.extend(read.notes.ignored.iter().map(|(path, why)| format!("  {path}: {why}")));
    lines.join("\n")
}

fn routes(table: &Table) -> Vec<String> {
    let mut lines = Vec::new();
    for host in table.hosts() {
        lines.push(format!("  host {:?} for {}", host.name, host.domains.join(", ")));
        for route in &host.routes {
            let path = match &route.matcher.path {
                PathMatch::Prefix(p) => format!("prefix {p}"),
                PathMatch::Under(p) => format!("prefix {p}/"),
                PathMatch::Exact(p) => format!("path {p}"),
                PathMatch::Regex(r) => format!("expression {r}"),
            };
            let to = match &route.action {
                Action::Direct(direct) => format!("answer {}", direct.status),
                Action::Forward { clusters: Clusters::One(name), .. } => format!("cluster {name:?}"),
                Action::Forward { clusters: Clusters::Header(name), .. } => {
                    format!("the cluster that {name} names")
                }
                Action::Forward { clusters: Clusters::Weighted(parts), .. } => {
                    let parts = parts.iter().map(|p| format!("{:?} ({})", &*p.cluster, p.weight));
                    format!("clusters {}", parts.collect::<Vec<_>>().join(", "))
                }
            };
            lines.push(format!("    {path} -> {to}"));
        }
    }
    lines
}
