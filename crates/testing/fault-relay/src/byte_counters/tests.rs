use super::*;

/// Danger: a connection that ended without its deed would hold up all others for good.
#[test]
fn turns_of_the_dead_are_passed_over() {
    let mut ledger = Ledger::default();
    for (turn, next) in [(1, 0), (3, 0), (0, 2), (0, 2), (2, 4)] {
        ledger.took(turn);
        assert_eq!(ledger.next(), next, "after {turn}");
    }
}
