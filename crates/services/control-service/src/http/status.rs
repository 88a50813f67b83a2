//! `/status`: the state of the service as JSON, for operators.

use crate::leadership::Leadership;
use crate::service_state::ServiceState;
use rushquay_control_state::NodeView;
use rushquay_endpoints::Nanos;
use rushquay_xds::server::Variant;
use rushquay_xds_grpc::Subscriber;
use serde_json::{json, Map, Value};

fn millis(nanos: u64) -> f64 {
    (nanos / 1000) as f64 / 1000.0
}

fn variant_name(variant: Variant) -> &'static str {
    match variant {
        Variant::Delta => "delta",
        Variant::Sotw => "state-of-the-world",
    }
}

fn node_json(node: NodeView, source_name: &str, now: Nanos) -> Value {
    let mut json = json!(node.endpoint.member);
    json["cluster"] = json!(node.cluster);
    json["listed"] = json!(node.endpoint.list_version);
    json["from"] = json!(source_name);
    json["state_for_s"] = json!(millis(now.saturating_sub(node.changed_at)) / 1000.0);
    json
}

fn subscriber_json(subscriber: Subscriber) -> Value {
    let kinds: Map<String, Value> = subscriber
        .standing
        .into_iter()
        .map(|(kind, k)| {
            let json = json!({
                "acked": k.acked, "acked_seq": k.acked_seq, "acks": k.acks, "nacks": k.nacks,
                "last_error": k.last_error, "waiting": k.waiting,
            });
            (format!("{kind:?}"), json)
        })
        .collect();
    json!({
        "node": subscriber.node, "peer": subscriber.peer.map(|p| p.to_string()),
        "variant": variant_name(subscriber.variant), "lag_ms": millis(subscriber.lag), "kinds": kinds,
    })
}

fn persistence_json(service: &ServiceState) -> Option<Value> {
    service.leader.persistence.current().map(|persistence| {
        let state = persistence.state();
        json!({"path": persistence.path, "fault": state.error, "version": state.version,
               "writes": state.writes, "unkept_overrides": service.overrides.has_unpersisted()})
    })
}

fn leadership_json(service: &ServiceState, leadership: &Leadership) -> Value {
    let state = leadership.state();
    // Publishing starts slightly before the epoch is recorded.
    let leads = state.epoch > 0 && service.leader.is_leading();
    json!({
        "name": leadership.instance_name, "leads": leads, "epoch": state.epoch, "leader": state.leader,
        "store": leadership.store.name(), "fault": state.fault, "takeovers": state.takeovers,
        "takeover_ms": state.takeover_ms,
    })
}

/// The whole status.
pub fn status_json(service: &ServiceState) -> Value {
    let source = service.endpoints.source_state();
    let source_name = service.endpoints.source_name();
    let version = service.endpoints.version();
    let hub = &service.leader.hub;
    let (incarnation, seq, is_open) = {
        let store = hub.store();
        (store.incarnation().to_string(), store.seq(), store.is_open())
    };
    let now = hub.now();
    let persistence = persistence_json(service);
    let leadership = service.leader.gate.leadership().map(|leadership| leadership_json(service, leadership));
    let (ahead, jumps) = service.leader.clock.wall_offset();
    let nodes = service.endpoints.nodes().into_iter().map(|node| node_json(node, source_name, now));
    json!({
        "incarnation": incarnation,
        "standby": leadership,
        "clock": {"wall_ahead_ms": ahead as f64 / 1e6, "jumps": jumps},
        "state": persistence,
        "open": is_open,
        "seq": seq,
        "source": {
            "name": source_name, "version": version, "fault": source.error,
            "lists": source.lists, "lists_refused": source.rejected,
        },
        "nodes": nodes.collect::<Vec<_>>(),
        "subscribers": hub.subscribers().into_iter().map(subscriber_json).collect::<Vec<_>>(),
    })
}
