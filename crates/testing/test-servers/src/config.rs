//! The configuration of a proxy among stand-ins.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// A proxy's configuration: its own discovery, the control services that it subscribes to, and the list that it starts
/// with. It listens on a free port.
pub fn proxy_config(name: &str, discovery: SocketAddr, control: &[SocketAddr], known: &[Value]) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "promise_ns": 1_000_000_000u64,
               "deadline_ns": 20_000_000_000u64, "dedup_window_ns": 2_000_000_000u64, "late_value": 0.5,
               "value": 1.0, "stream": false})
    };
    let zones = ["gandhinagar", "vadodara", "rajkot", "surat"];
    let addresses: Vec<String> = control.iter().map(|a| a.to_string()).collect();
    let control = match addresses.is_empty() {
        true => Value::Null,
        false => json!({"addresses": addresses, "backoff_ms": 20, "backoff_most_ms": 200}),
    };
    json!({
        "name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": if known.is_empty() { Value::Null } else { json!({"version": 1, "full": true, "servers": known}) },
        "control_service": control,
        "settings": {
            "categories": [class("read", "safe"), class("set", "keyed")],
            "customers": [{"name": "demo", "quota_rps": 100_000.0, "fraction": 1.0}],
            "localities": zones, "machine_types": ["std-1c", "origin"], "zone": 0, "n_instances": 1,
            "self_index": 0, "discovery": "subscribe", "over_share_worth": 0.1, "worth_by": "request",
            "family_info": {"mode": "aside", "origin_kind": 1},
            "caps": {"attempts_cap": 5, "cancelling": true, "second_copies": true,
                     "conn_idle_ns": 60_000_000_000u64, "connect_timeout_ns": 1_000_000_000u64,
                     "max_retry_after_ns": 2_000_000_000u64},
            "rules": {"cold_from": 0.1, "cold_ns": 20_000_000_000u64, "fall_multiple": 3.0,
                      "fall_ns": 3_000_000_000u64, "must_ask_in_ns": 2_000_000_000u64},
        }
    })
}
