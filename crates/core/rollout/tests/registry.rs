//! Operators' commands to the rollout registry, and its stored record.

use rushquay_config_version::ConfigVersion;
use rushquay_membership::MemberStatus;
use rushquay_rollout::{
    FleetView, Phase, PlanText, RegistryError, RegistryRecord, RollbackReason, Rollout, RolloutRegistry,
    RolloutRequest, Verdict, SECOND,
};
use serde_json::{json, Value};

fn request(settings: Value) -> RolloutRequest {
    RolloutRequest {
        settings,
        plan: PlanText::default(),
        author: "ravi".into(),
        reason: "a test".into(),
        displace: false,
    }
}

const USUAL: Option<[f64; 2]> = Some([0.01, 1.0]);

fn settings_with_share(share: f64) -> Value {
    json!({"over_share_worth": share})
}

#[test]
fn a_second_rollout_is_rejected_unless_it_displaces_the_first() {
    let mut registry = RolloutRegistry::default();
    let revision = registry.record().revision;
    assert_eq!(
        registry.start(request(settings_with_share(0.1)), Some(revision), None, 0),
        Err(RegistryError::NoBaseline)
    );
    assert_eq!(registry.start(request(settings_with_share(0.1)), Some(revision), USUAL, 0), Ok(Vec::new()));
    assert!(matches!(
        registry.start(request(settings_with_share(0.2)), None, USUAL, 0),
        Err(RegistryError::AlreadyRunning(1, _))
    ));
    assert!(matches!(
        registry.start(request(settings_with_share(0.2)), Some(revision), USUAL, 0),
        Err(RegistryError::Changed { .. })
    ));
    let base = ConfigVersion::base().digest();
    let view = |n: &'static str| FleetView {
        name: n,
        zone: "z",
        status: MemberStatus::Serving,
        applied_version: base,
        since: 0,
        since_last_report: 0,
        refused: None,
    };
    let fleet = [view("p0"), view("p1")];
    assert!(registry.step(&fleet, &Verdict::Waiting(String::new()), SECOND));
    let moved = registry.running().expect("a running rollout").moved.keys().cloned().collect::<Vec<_>>();
    assert_eq!(moved.len(), 1);
    let displacing = RolloutRequest { displace: true, ..request(settings_with_share(0.2)) };
    assert_eq!(registry.start(displacing, None, None, 2 * SECOND), Ok(moved.clone()));
    assert_eq!(
        registry.assigned_version(&moved[0]).1.digest(),
        base,
        "members of a displaced rollout return at once"
    );
    assert!(registry
        .record()
        .events
        .iter()
        .any(|e| e.change == 1 && e.what.contains("displaced by change 2")));
}

#[test]
fn rejected_requests_change_nothing() {
    let mut registry = RolloutRegistry::default();
    let before = registry.clone();
    let rejection = |r: Result<Vec<String>, RegistryError>| r.expect_err("rejected").to_string();
    assert!(rejection(registry.start(request(json!({})), None, USUAL, 0)).contains("already in force"));
    assert!(rejection(registry.start(request(json!({"zone": 1})), None, USUAL, 0)).contains("settings.zone"));
    let without_author = RolloutRequest { author: " ".into(), ..request(settings_with_share(0.1)) };
    assert!(rejection(registry.start(without_author, None, USUAL, 0)).contains("author"));
    let text: PlanText =
        serde_json::from_value(json!({"stages": [{"share": 0.5}, {"share": 0.2}]})).expect("JSON");
    let plan = RolloutRequest { plan: text, ..request(settings_with_share(0.1)) };
    assert!(rejection(registry.start(plan, None, USUAL, 0)).contains("plan.stages[1].share"));
    for (command, result) in
        [("held", registry.hold("a", None, 0)), ("resumed", registry.resume("a", None, 0))]
    {
        assert!(result.expect_err("rejected").to_string().contains(command));
    }
    assert_eq!(registry, before);
}

/// The next leader restores a stored record. A record with a config version that this program cannot read is rejected as a whole.
#[test]
fn the_record_is_restored_whole_or_not_at_all() {
    let mut registry = RolloutRegistry::default();
    registry.start(request(settings_with_share(0.1)), None, USUAL, 7 * SECOND).expect("started");
    let stored = serde_json::to_value(registry.record()).expect("JSON");
    let record: RegistryRecord = serde_json::from_value(stored.clone()).expect("read");
    let restored = RolloutRegistry::restore(record, 9 * SECOND).expect("restored");
    assert_eq!(restored.running().map(|c| (c.id, c.to)), registry.running().map(|c| (c.id, c.to)));
    let mut newer = stored;
    let digest = restored.running().expect("a running rollout").to.to_string();
    newer["generations"][digest] = json!({"a field of tomorrow": 1});
    let record: RegistryRecord = serde_json::from_value(newer).expect("a readable record");
    assert!(RolloutRegistry::restore(record, 9 * SECOND).is_err());
}

/// A rollout is not rolled back for a time limit that passed while there was no leader, but it is for the time under a leader.
#[test]
fn time_without_a_leader_does_not_count_towards_the_limit() {
    let text: PlanText = serde_json::from_value(json!({"limit_s": 60.0, "soak_s": 10.0})).expect("JSON");
    let plan = text.try_into().expect("a plan");
    let (from, to) = (
        ConfigVersion::base().digest(),
        ConfigVersion::read(&settings_with_share(0.1)).expect("good").digest(),
    );
    let mut rollout = Rollout::new(1, (from, to), plan, ("a".into(), "r".into()), 0);
    let view = |acting| FleetView {
        name: "p0",
        zone: "z",
        status: MemberStatus::Serving,
        applied_version: acting,
        since: 0,
        since_last_report: 0,
        refused: None,
    };
    let wait = Verdict::Waiting(String::new());
    rollout.step(&[view(from)], &wait, SECOND);
    rollout.step(&[view(to)], &wait, 2 * SECOND);
    // The next leader takes over an hour later.
    rollout.on_takeover(3600 * SECOND);
    rollout.step(&[view(to)], &wait, 3601 * SECOND);
    assert!(rollout.phase.rollback_reason().is_none(), "{:?}", rollout.phase);
    for second in 3602..3700 {
        rollout.step(&[view(to)], &wait, second * SECOND);
    }
    assert!(
        matches!(rollout.phase.rollback_reason(), Some(RollbackReason::RolloutTimeout)),
        "{:?}",
        rollout.phase
    );
    // The proxy is serving and does not apply the old version again, so the rollback is stuck.
    assert!(matches!(&rollout.phase, Phase::Stuck { names, .. } if names == &["p0"]), "{:?}", rollout.phase);
}
