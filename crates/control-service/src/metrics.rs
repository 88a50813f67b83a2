//! `/metrics`: what the parts of the service hold, as OpenMetrics text. Taken together at each scrape, which are rare.

use crate::shared::Shared;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rushquay_nodes::NodeState;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::PoisonError;

/// What `/metrics` is (OpenMetrics 1.0, "Overall Structure").
pub const CONTENT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

struct Taken(Registry);

impl Taken {
    fn gauge(&mut self, name: &str, help: &str, value: i64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        self.0.register(name, help, gauge);
    }

    fn seconds(&mut self, name: &str, help: &str, nanos: f64) {
        let gauge: Gauge<f64, AtomicU64> = Gauge::default();
        gauge.set(nanos / 1e9);
        self.0.register(name, help, gauge);
    }

    /// The library puts `_total` behind the name.
    fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }
}

/// The text.
pub fn metrics(shared: &Shared) -> String {
    let mut of = Taken(Registry::with_prefix("rushquay_control"));
    let nodes = shared.nodes();
    let states = Family::<Vec<(&'static str, &'static str)>, Gauge>::default();
    for state in [NodeState::Ready, NodeState::Draining] {
        let count = nodes.iter().filter(|n| n.stated.member.state == state).count();
        states.get_or_create(&vec![("state", state.as_str())]).set(count as i64);
    }
    of.0.register("nodes", "Nodes declared, by state", states);
    let subscribers = shared.hub.subscribers();
    of.gauge("subscribers", "Open streams", subscribers.len() as i64);
    let lag = subscribers.iter().map(|s| s.lag).max().unwrap_or(0) as f64;
    of.seconds("lag_seconds_max", "Longest time that a subscriber has lacked something", lag);
    let source = shared.source.lock().unwrap_or_else(PoisonError::into_inner).clone();
    of.gauge("source_up", "1 while the node list's source can be read", i64::from(source.fault.is_none()));
    if let Some(keeper) = shared.keeper() {
        let up = keeper.state().fault.is_none();
        of.gauge("state_up", "1 while all that is known is kept", i64::from(up));
    }
    if let Some(standby) = &shared.standby {
        let state = standby.state();
        of.gauge("leads", "1 while this instance leads", i64::from(shared.leads()));
        of.gauge("epoch", "The epoch in which this instance leads, 0 where it does not", state.epoch as i64);
        of.gauge("lease_store_up", "1 while the store of leases answers", i64::from(state.fault.is_none()));
        of.counter("takeovers", "Times that this instance took over", state.takeovers);
    }
    let (ahead, jumps) = shared.clock.offset();
    of.seconds("wall_clock_ahead_seconds", "How far the wall clock is ahead of the service's", ahead as f64);
    of.counter("wall_clock_jumps", "Times that the wall clock jumped", jumps);
    of.gauge("overrides", "Overrides that are live", shared.book().live().count() as i64);
    of.counter("lists", "Lists taken", source.lists);
    of.counter("lists_refused", "Lists that were not obeyed", source.refused);
    of.counter("changes", "Changes of resources", shared.hub.store().seq());
    let c = &shared.hub.counters;
    let counters = [
        ("answers", "Answers sent", &c.answers),
        ("answer_bytes", "Bytes of resources in them", &c.bytes),
        ("acks", "Answers acknowledged", &c.acks),
        ("nacks", "Answers refused", &c.nacks),
        ("streams", "Streams opened", &c.opened),
        ("stream_faults", "Streams ended for a peer's fault", &c.faults),
    ];
    for (name, help, value) in counters {
        of.counter(name, help, value.load(Relaxed));
    }
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, &of.0);
    text
}
