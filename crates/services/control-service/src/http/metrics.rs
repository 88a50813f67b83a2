//! `/metrics`: the state of the service as OpenMetrics text, collected at each scrape because scrapes are rare.

use crate::policy::PolicyStats;
use crate::rollout::RolloutStats;
use crate::service_state::ServiceState;
use crate::state::SourceState;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use rushquay_endpoints::EndpointState;
use rushquay_membership::MemberStatus;
use rushquay_rollout::Phase;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// The content type of `/metrics` (OpenMetrics 1.0, "Overall Structure").
pub const CONTENT_TYPE_OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The metrics of one scrape.
struct Scrape(Registry);

impl Scrape {
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

    /// A gauge for each value of a label.
    fn family(
        &mut self,
        (name, help, label): (&str, &str, &'static str),
        label_values: impl Iterator<Item = &'static str>,
        value: impl Fn(&str) -> i64,
    ) {
        let family = Family::<Vec<(&'static str, &'static str)>, Gauge>::default();
        label_values.for_each(|label_value| {
            family.get_or_create(&vec![(label, label_value)]).set(value(label_value));
        });
        self.0.register(name, help, family);
    }

    /// The library appends `_total` to the name.
    fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.0.register(name, help, counter);
    }
}

/// The state of the service as OpenMetrics text.
pub fn encode_metrics(service: &ServiceState) -> String {
    let mut scrape = Scrape(Registry::with_prefix("rushquay_control"));
    let source = service.endpoints.source_state();
    endpoint_metrics(&mut scrape, service, &source);
    leadership_metrics(&mut scrape, service);
    if let Some(rollout) = service.rollout.as_ref().filter(|_| service.leader.is_leading()) {
        rollout_metrics(&mut scrape, &rollout.stats(service.leader.unix_now()));
    }
    if let Some(policies) = service.policies.as_ref().filter(|_| service.leader.is_leading()) {
        policy_metrics(&mut scrape, &policies.stats(&service.leader));
    }
    total_metrics(&mut scrape, service, &source);
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, &scrape.0);
    text
}

fn endpoint_metrics(scrape: &mut Scrape, service: &ServiceState, source: &SourceState) {
    let nodes = service.endpoints.nodes();
    let states = [EndpointState::Ready, EndpointState::Draining].map(EndpointState::as_str);
    let listed =
        |state: &str| nodes.iter().filter(|n| n.endpoint.member.state.as_str() == state).count() as i64;
    scrape.family(("nodes", "Nodes declared, by state", "state"), states.into_iter(), listed);
    let subscribers = service.leader.hub.subscribers();
    scrape.gauge("subscribers", "Open streams", subscribers.len() as i64);
    let lag = subscribers.iter().map(|s| s.lag).max().unwrap_or(0) as f64;
    scrape.seconds("lag_seconds_max", "Longest time that a subscriber has lacked a resource version", lag);
    let is_up = source.error.is_none();
    scrape.gauge("source_up", "1 while the endpoint source can be read", i64::from(is_up));
}

fn leadership_metrics(scrape: &mut Scrape, service: &ServiceState) {
    if let Some(persistence) = service.leader.persistence.current() {
        let is_up = persistence.state().error.is_none();
        scrape.gauge("state_up", "1 while all state is persisted", i64::from(is_up));
    }
    if let Some(leadership) = service.leader.gate.leadership() {
        let state = leadership.state();
        let leads = i64::from(service.leader.is_leading());
        scrape.gauge("leads", "1 while this instance leads", leads);
        let help = "The epoch in which this instance leads, 0 if it does not";
        scrape.gauge("epoch", help, state.epoch as i64);
        let is_up = i64::from(state.fault.is_none());
        scrape.gauge("lease_store_up", "1 while the lease store is reachable", is_up);
        scrape.counter("takeovers", "Times that this instance took over", state.takeovers);
    }
}

fn rollout_metrics(scrape: &mut Scrape, stats: &RolloutStats) {
    let statuses = MemberStatus::ALL.into_iter().map(MemberStatus::as_str);
    let count = |status: &str| stats.by_status.get(status).copied().unwrap_or(0);
    let help = "Known proxies, by status";
    scrape.family(("rollout_proxies", help, "standing"), statuses, count);
    let is_phase = |phase: &str| i64::from(phase == stats.phase);
    let help = "1 for the phase of the last rollout";
    scrape.family(("rollout_phase", help, "phase"), Phase::NAMES.into_iter(), is_phase);
    scrape.gauge("rollout_up", "1 while rollouts are decided and published", i64::from(stats.is_up));
    let help = "The id of the running rollout, 0 if none";
    scrape.gauge("rollout_change", help, stats.rollout_id as i64);
    scrape.gauge("rollout_stage", "The stage of the running rollout, from 1; 0 if none", stats.stage);
    scrape.gauge("rollout_told", "Proxies that were assigned the new config version", stats.moved);
    let help = "Serving proxies that don't apply their assigned config version";
    scrape.gauge("rollout_not_as_given", help, stats.not_as_assigned);
    scrape.seconds("rollout_ran_seconds", "How long the running rollout has run", stats.run_time as f64);
    let help = "Strongest evidence that the new config version is worse, as a fraction of the stop threshold";
    scrape.seconds("rollout_evidence", help, stats.evidence * 1e9);
}

fn policy_metrics(scrape: &mut Scrape, stats: &PolicyStats) {
    let help = "1 while policy leases are granted and policy changes decided";
    scrape.gauge("policy_up", help, i64::from(stats.is_up));
    scrape.gauge("policy_revision", "The revision of the policy record", stats.revision as i64);
    let help = "The number of the policy in force; during a change, the old one";
    scrape.gauge("policy_holds", help, stats.in_force as i64);
    let help = "1 while a policy change is pending";
    scrape.gauge("policy_joint", help, i64::from(stats.is_joint));
    scrape.gauge("policy_members", "Processes with a policy lease", stats.members);
    scrape.gauge("policy_holdups", "Processes that the policy change waits for", stats.blockers);
}

fn total_metrics(scrape: &mut Scrape, service: &ServiceState, source: &SourceState) {
    let (ahead, jumps) = service.leader.clock.wall_offset();
    let help = "How far the wall clock is ahead of the service clock";
    scrape.seconds("wall_clock_ahead_seconds", help, ahead as f64);
    scrape.counter("wall_clock_jumps", "Number of wall-clock jumps", jumps);
    let overrides = service.overrides.set().live().count();
    scrape.gauge("overrides", "Live overrides", overrides as i64);
    scrape.counter("lists", "Endpoint lists received", source.lists);
    scrape.counter("lists_refused", "Endpoint lists rejected", source.rejected);
    scrape.counter("changes", "Changes of resources", service.leader.hub.store().seq());
    let totals = &service.leader.hub.counters;
    let counters = [
        ("answers", "Answers sent", &totals.answers),
        ("answer_bytes", "Bytes of resources in them", &totals.bytes),
        ("acks", "Answers acknowledged", &totals.acks),
        ("nacks", "Answers refused", &totals.nacks),
        ("streams", "Streams opened", &totals.opened),
        ("stream_faults", "Streams ended because of a peer's error", &totals.faults),
    ];
    for (name, help, value) in counters {
        scrape.counter(name, help, value.load(Relaxed));
    }
}
