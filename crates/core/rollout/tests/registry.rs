//! The commands of operators to the rollout registry, and its stored record.

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
fn a_second_rollout_is_rejected_and_displacing_returns_the_proxies_left_behind() {
    let mut registry = RolloutRegistry::default();
    let revision = registry.record().revision;
    assert_eq!(
        registry.start(request(settings_with_share(0.1)), Some(revision), None, 0),
        Err(RegistryError::Unwatched)
    );
    assert_eq!(registry.start(request(settings_with_share(0.1)), Some(revision), USUAL, 0), Ok(Vec::new()));
    assert!(matches!(
        registry.start(request(settings_with_share(0.2)), None, USUAL, 0),
        Err(RegistryError::Runs(1, _))
    ));
    assert!(matches!(
        registry.start(request(settings_with_share(0.2)), Some(revision), USUAL, 0),
        Err(RegistryError::Changed { .. })
    ));
    let base = ConfigVersion::base().digest();
    let seen = |n: &'static str| FleetView {
        name: n,
        zone: "z",
        standing: MemberStatus::Serving,
        acting: base,
        since: 0,
        quiet: 0,
        refused: None,
    };
    let fleet = [seen("p0"), seen("p1")];
    assert!(registry.step(&fleet, &Verdict::Waiting(String::new()), SECOND));
    let moved = registry.running().expect("it runs").moved.keys().cloned().collect::<Vec<_>>();
    assert_eq!(moved.len(), 1);
    let displacing = RolloutRequest { displace: true, ..request(settings_with_share(0.2)) };
    assert_eq!(registry.start(displacing, None, None, 2 * SECOND), Ok(moved.clone()));
    assert_eq!(registry.given(&moved[0]).1.digest(), base, "what was left behind goes back at once");
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
    let refused = |r: Result<Vec<String>, RegistryError>| r.expect_err("refused").to_string();
    assert!(refused(registry.start(request(json!({})), None, USUAL, 0)).contains("holds already"));
    assert!(refused(registry.start(request(json!({"zone": 1})), None, USUAL, 0)).contains("settings.zone"));
    let nobody = RolloutRequest { author: " ".into(), ..request(settings_with_share(0.1)) };
    assert!(refused(registry.start(nobody, None, USUAL, 0)).contains("author"));
    let text: PlanText =
        serde_json::from_value(json!({"stages": [{"share": 0.5}, {"share": 0.2}]})).expect("JSON");
    let plan = RolloutRequest { plan: text, ..request(settings_with_share(0.1)) };
    assert!(refused(registry.start(plan, None, USUAL, 0)).contains("plan.stages[1].share"));
    for (what, done) in [("held", registry.hold("a", None, 0)), ("resumed", registry.resume("a", None, 0))] {
        assert!(done.expect_err("refused").to_string().contains(what));
    }
    assert_eq!(registry, before);
}

/// A record is restored by the next leader; one with a config version that this program cannot read is rejected whole.
#[test]
fn the_record_is_restored_whole_or_not_at_all() {
    let mut registry = RolloutRegistry::default();
    registry.start(request(settings_with_share(0.1)), None, USUAL, 7 * SECOND).expect("begun");
    let stored = serde_json::to_value(registry.record()).expect("JSON");
    let record: RegistryRecord = serde_json::from_value(stored.clone()).expect("read");
    let restored = RolloutRegistry::restore(record, 9 * SECOND).expect("restored");
    assert_eq!(restored.running().map(|c| (c.id, c.to)), registry.running().map(|c| (c.id, c.to)));
    let mut later = stored;
    let digest = restored.running().expect("it runs").to.to_string();
    later["generations"][digest] = json!({"a field of tomorrow": 1});
    let record: RegistryRecord = serde_json::from_value(later).expect("a record all the same");
    assert!(RolloutRegistry::restore(record, 9 * SECOND).is_err());
}

/// Time without a leader does not count towards the limit of a rollout.
#[test]
fn time_without_a_leader_does_not_count_towards_the_limit() {
    let text: PlanText = serde_json::from_value(json!({"limit_s": 60.0, "soak_s": 10.0})).expect("JSON");
    let plan = text.try_into().expect("a plan");
    let (from, to) = (
        ConfigVersion::base().digest(),
        ConfigVersion::read(&settings_with_share(0.1)).expect("good").digest(),
    );
    let mut change = Rollout::new(1, (from, to), plan, ("a".into(), "r".into()), 0);
    let seen = |acting| FleetView {
        name: "p0",
        zone: "z",
        standing: MemberStatus::Serving,
        acting,
        since: 0,
        quiet: 0,
        refused: None,
    };
    let wait = Verdict::Waiting(String::new());
    change.step(&[seen(from)], &wait, SECOND);
    change.step(&[seen(to)], &wait, 2 * SECOND);
    // An hour later.
    change.taken_over(3600 * SECOND);
    change.step(&[seen(to)], &wait, 3601 * SECOND);
    assert!(change.phase.back().is_none(), "{:?}", change.phase);
    for second in 3602..3700 {
        change.step(&[seen(to)], &wait, second * SECOND);
    }
    assert!(matches!(change.phase.back(), Some(RollbackReason::OverTime)), "{:?}", change.phase);
    // The proxy serves, and does not return to the old version.
    assert!(matches!(&change.phase, Phase::Stuck { names, .. } if names == &["p0"]), "{:?}", change.phase);
}
