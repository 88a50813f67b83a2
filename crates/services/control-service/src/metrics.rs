//! `/metrics`: what the parts of the service hold, as OpenMetrics text. Taken together at each scrape, which are rare.

use crate::shared::Shared;
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

    /// One gauge for each name: what stands for it, or 0.
    fn family(
        &mut self,
        (name, help, label): (&str, &str, &'static str),
        names: impl Iterator<Item = &'static str>,
        value: impl Fn(&str) -> i64,
    ) {
        let family = Family::<Vec<(&'static str, &'static str)>, Gauge>::default();
        names.for_each(|of| {
            family.get_or_create(&vec![(label, of)]).set(value(of));
        });
        self.0.register(name, help, family);
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
    let states = [EndpointState::Ready, EndpointState::Draining].map(EndpointState::as_str);
    let listed =
        |state: &str| nodes.iter().filter(|n| n.stated.member.state.as_str() == state).count() as i64;
    of.family(("nodes", "Nodes declared, by state", "state"), states.into_iter(), listed);
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
    if let Some(rollout) = shared.rollout.as_ref().filter(|_| shared.leads()) {
        let now = rollout.figures(shared.unix_now());
        let standing = MemberStatus::ALL.into_iter().map(MemberStatus::as_str);
        let count = |of: &str| now.standings.get(of).copied().unwrap_or(0);
        of.family(
            ("rollout_proxies", "Proxies on the roster, by how they stand", "standing"),
            standing,
            count,
        );
        let phase = |of: &str| i64::from(of == now.phase);
        let help = "1 for where the last change stands";
        of.family(("rollout_phase", help, "phase"), Phase::NAMES.into_iter(), phase);
        of.gauge("rollout_up", "1 while changes are decided and handed out", i64::from(now.up));
        of.gauge("rollout_change", "The number of the change that runs, 0: none", now.change as i64);
        of.gauge("rollout_stage", "Its stage, from 1; 0: in none", now.stage);
        of.gauge("rollout_told", "Proxies that were told the new", now.told);
        let help = "Proxies that serve and don't act by what they were given";
        of.gauge("rollout_not_as_given", help, now.not_as_given);
        of.seconds("rollout_ran_seconds", "For how long the change has run", now.ran as f64);
        let help = "The most evidence that the new do worse, as a part of what stops the change";
        of.seconds("rollout_evidence", help, now.evidence * 1e9);
    }
    if let Some(policies) = shared.policies.as_ref().filter(|_| shared.leads()) {
        let now = policies.figures(shared);
        of.gauge("policy_up", "1 while leaves are given and changes of policy decided", i64::from(now.up));
        of.gauge("policy_revision", "The revision of the record of policies", now.revision as i64);
        of.gauge("policy_holds", "The number of the policy that holds; of two the old", now.holds as i64);
        of.gauge("policy_joint", "1 while a change of policy is not decided", i64::from(now.joint));
        of.gauge("policy_members", "Processes that have leave", now.members);
        of.gauge("policy_holdups", "Processes that a change waits for", now.holdups);
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
