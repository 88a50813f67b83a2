use super::*;

fn ended(zone: &'static str, from: u64, to: u64) -> Ended {
    let (id, class) = (format!("{zone}-{from}"), "plan".to_owned());
    let ms = Duration::from_millis;
    Ended { id, class, from: ms(from), to: ms(to), status: 200, zone: Some(zone) }
}

/// Policies that each forbid one data centre, proposed and known to hold at these moments.
fn held(of: &[(u64, u64, &'static str)]) -> Vec<Held> {
    let ms = Duration::from_millis;
    of.iter().map(|(from, by, zone)| Held { from: ms(*from), by: ms(*by), forbids: vec![zone] }).collect()
}

#[test]
fn one_after_the_other_is_no_breach() {
    let policies = held(&[(0, 0, "b"), (100, 200, "c")]);
    let requests = [
        ended("a", 0, 500),
        ended("c", 10, 150),
        ended("c", 149, 160),
        ended("b", 120, 151),
        ended("b", 300, 310),
    ];
    assert_eq!(two_at_once(&policies, &requests), None);
    assert_eq!(two_at_once(&policies, &[]), None);
}

/// Each of these is planted, and found.
#[test]
fn what_only_two_policies_at_once_explain_is_found() {
    let policies = held(&[(0, 0, "b"), (100, 200, "c")]);
    let found = |requests: &[Ended]| two_at_once(&policies, requests).is_some();
    // By the new alone is over before by the old alone begins.
    assert!(found(&[ended("b", 110, 120), ended("c", 130, 140)]));
    // By the new before it was proposed.
    assert!(found(&[ended("b", 50, 90)]));
    // By the old after the new was known to hold.
    assert!(found(&[ended("c", 201, 220)]));
    // Served under way from one to the other, once in each order.
    assert!(!found(&[ended("c", 110, 130), ended("b", 120, 140)]));
    assert!(found(&[ended("b", 110, 119), ended("c", 120, 140)]));
}

/// A request may be on its way while two policies go by; what each of them forbids was never lawful.
#[test]
fn a_long_request_needs_one_policy_on_its_way_that_allows_it() {
    let policies = held(&[(0, 0, "b"), (100, 200, "b"), (300, 400, "c")]);
    assert!(two_at_once(&policies, &[ended("b", 50, 250)]).is_some());
    assert_eq!(two_at_once(&policies, &[ended("b", 50, 350)]), None);
}
