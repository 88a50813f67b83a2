//! The transitions of the election state machine.

use rushquay_lease::{Action, Elector, Epoch, LeaseTerms, SECOND};

fn terms() -> LeaseTerms {
    LeaseTerms::from_ttl(4 * SECOND).expect("terms")
}

#[test]
fn a_lease_starts_at_the_request_not_at_the_response() {
    let mut elector = Elector::new(terms());
    assert_eq!(elector.next_action(0), Action::Campaign);
    // The response took longer than the lease.
    assert!(!elector.granted(Epoch(1), 0, 4 * SECOND));
    assert_eq!(elector.leader_epoch(4 * SECOND), None);
    assert!(elector.granted(Epoch(2), 4 * SECOND, 5 * SECOND));
    let expires_at = 4 * SECOND + 3600 * SECOND / 1000;
    assert_eq!(
        (elector.leader_epoch(expires_at - 1), elector.leader_epoch(expires_at)),
        (Some(Epoch(2)), None)
    );
}

#[test]
fn after_a_pause_the_leader_steps_down_before_any_request() {
    let mut elector = Elector::new(terms());
    elector.granted(Epoch(3), 0, 0);
    assert_eq!(elector.next_action(SECOND / 2), Action::Wait(SECOND));
    assert_eq!(elector.next_action(SECOND), Action::Renew);
    assert_eq!(elector.next_action(300 * SECOND), Action::StepDown);
    assert_eq!(elector.leader_epoch(300 * SECOND), None);
}

#[test]
fn an_unreachable_store_does_not_end_a_lease_early() {
    let mut elector = Elector::new(terms());
    elector.granted(Epoch(3), 0, 0);
    elector.store_unavailable(SECOND);
    assert_eq!(elector.leader_epoch(3 * SECOND), Some(Epoch(3)));
    assert_eq!(elector.next_action(3 * SECOND), Action::Renew);
    // A late response renews the lease from the time at which its request was sent.
    elector.lease_renewed(SECOND);
    assert_eq!(elector.leader_epoch(4 * SECOND), Some(Epoch(3)));
    elector.lease_renewed(0);
    assert_eq!(
        elector.leader_epoch(4 * SECOND),
        Some(Epoch(3)),
        "the response to an earlier request does not shorten the lease"
    );
}

#[test]
fn a_standby_campaigns_at_once_when_the_lease_is_released() {
    let mut elector = Elector::new(terms());
    elector.lease_held_by_other(Some("a".into()), 0);
    assert_eq!(elector.next_action(1), Action::Wait(SECOND));
    elector.lease_released(2);
    assert_eq!(elector.next_action(2), Action::Campaign);
}
