//! What operators may ask of the board, and what is kept of it.

use rushquay_config_version::ConfigVersion;
use rushquay_membership::MemberStatus;
use rushquay_rollout::{
    FleetView, Phase, PlanText, RegistryError, RegistryRecord, RollbackReason, Rollout, RolloutRegistry,
    RolloutRequest, Verdict, SECOND,
};
use serde_json::{json, Value};

fn ask(settings: Value) -> RolloutRequest {
    RolloutRequest {
        settings,
        plan: PlanText::default(),
        author: "ravi".into(),
        reason: "a test".into(),
        displace: false,
    }
}

const USUAL: Option<[f64; 2]> = Some([0.01, 1.0]);

fn one(share: f64) -> Value {
    json!({"over_share_worth": share})
}

#[test]
fn two_changes_at_once_are_refused_and_an_emergency_says_what_it_leaves_behind() {
    let mut board = RolloutRegistry::default();
    let revision = board.record().revision;
    assert_eq!(board.start(ask(one(0.1)), Some(revision), None, 0), Err(RegistryError::Unwatched));
    assert_eq!(board.start(ask(one(0.1)), Some(revision), USUAL, 0), Ok(Vec::new()));
    assert!(matches!(board.start(ask(one(0.2)), None, USUAL, 0), Err(RegistryError::Runs(1, _))));
    assert!(matches!(
        board.start(ask(one(0.2)), Some(revision), USUAL, 0),
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
    assert!(board.step(&fleet, &Verdict::Waiting(String::new()), SECOND));
    let told = board.running().expect("it runs").moved.keys().cloned().collect::<Vec<_>>();
    assert_eq!(told.len(), 1);
    let emergency = RolloutRequest { displace: true, ..ask(one(0.2)) };
    assert_eq!(board.start(emergency, None, None, 2 * SECOND), Ok(told.clone()));
    assert_eq!(board.given(&told[0]).1.digest(), base, "what was left behind goes back at once");
    assert!(board.record().events.iter().any(|e| e.change == 1 && e.what.contains("displaced by change 2")));
}

#[test]
fn what_cannot_be_asked_changes_nothing() {
    let mut board = RolloutRegistry::default();
    let before = board.clone();
    let refused = |r: Result<Vec<String>, RegistryError>| r.expect_err("refused").to_string();
    assert!(refused(board.start(ask(json!({})), None, USUAL, 0)).contains("holds already"));
    assert!(refused(board.start(ask(json!({"zone": 1})), None, USUAL, 0)).contains("settings.zone"));
    let nobody = RolloutRequest { author: " ".into(), ..ask(one(0.1)) };
    assert!(refused(board.start(nobody, None, USUAL, 0)).contains("author"));
    let text: PlanText =
        serde_json::from_value(json!({"stages": [{"share": 0.5}, {"share": 0.2}]})).expect("JSON");
    let plan = RolloutRequest { plan: text, ..ask(one(0.1)) };
    assert!(refused(board.start(plan, None, USUAL, 0)).contains("plan.stages[1].share"));
    for (what, done) in [("held", board.hold("a", None, 0)), ("resumed", board.resume("a", None, 0))] {
        assert!(done.expect_err("refused").to_string().contains(what));
    }
    assert_eq!(board, before);
}

/// A record of today is read tomorrow, and one with a generation that this program doesn't know is refused whole.
#[test]
fn the_record_is_read_by_the_next_leader_whole_or_not_at_all() {
    let mut board = RolloutRegistry::default();
    board.start(ask(one(0.1)), None, USUAL, 7 * SECOND).expect("begun");
    let kept = serde_json::to_value(board.record()).expect("JSON");
    let record: RegistryRecord = serde_json::from_value(kept.clone()).expect("read");
    let again = RolloutRegistry::restore(record, 9 * SECOND).expect("restored");
    assert_eq!(again.running().map(|c| (c.id, c.to)), board.running().map(|c| (c.id, c.to)));
    let mut later = kept;
    let digest = again.running().expect("it runs").to.to_string();
    later["generations"][digest] = json!({"a field of tomorrow": 1});
    let record: RegistryRecord = serde_json::from_value(later).expect("a record all the same");
    assert!(RolloutRegistry::restore(record, 9 * SECOND).is_err());
}

/// Time in which nobody led does not count against a change's time.
#[test]
fn time_without_a_leader_does_not_count() {
    let text: PlanText = serde_json::from_value(json!({"limit_s": 60.0, "soak_s": 10.0})).expect("JSON");
    let plan = text.try_into().expect("a plan");
    let (from, to) = (ConfigVersion::base().digest(), ConfigVersion::read(&one(0.1)).expect("good").digest());
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
    // It serves, and does not go back.
    assert!(matches!(&change.phase, Phase::Stuck { names, .. } if names == &["p0"]), "{:?}", change.phase);
}
