//! Whether one policy was obeyed by all at each moment, by what requests got and by nothing else.

use crate::Ended;
use std::time::Duration;

/// A policy that held.
#[derive(Clone, Debug)]
pub struct Held {
    /// It can't have held before then: nobody had proposed it.
    pub from: Duration,
    /// By then it was known to hold.
    pub by: Duration,
    /// The data centres in which it lets nothing of the class be served.
    pub forbids: Vec<&'static str>,
}

/// A request that shows two policies at once: it can't be told by any moments at which one policy went over into the next that its
/// proxy obeyed the one that held. `None`: there is none. The policies stand in the order in which they held; requests are those of the
/// class that the policies are about.
///
/// A request obeyed what held at some moment between its asking and its end. So there must be moments, one for each policy after the
/// first, each within its bounds and none before the last, such that every request that was served meets a policy on its way that allows
/// its data centre. Each such moment is taken as late as what was served under the policy before allows, which leaves the next one the
/// least to answer for.
pub fn two_at_once(held: &[Held], requests: &[Ended]) -> Option<String> {
    let mut begins = Duration::ZERO;
    // Served where no policy so far allowed it; the next may.
    let mut open: Vec<&Ended> = Vec::new();
    for (n, policy) in held.iter().enumerate() {
        let forbidden = |r: &&Ended| r.zone.is_some_and(|zone| policy.forbids.contains(&zone));
        let next_by = held.get(n + 1).map_or(Duration::MAX, |next| next.by);
        let next_from = held.get(n + 1).map_or(Duration::MAX, |next| next.from);
        let until = |ends: Duration| ends.min(next_by);
        let here = requests.iter().filter(|r| r.from >= begins);
        let bad: Vec<&Ended> = open.iter().copied().chain(here).filter(forbidden).collect();
        let first = bad.iter().min_by_key(|r| r.to);
        let over = until(first.map_or(Duration::MAX, |r| r.to));
        if let Some(first) = first.filter(|_| over < next_from.max(begins)) {
            return Some(format!(
                "{} was served in {} from {:?} to {:?}, under policy {n} or one after it, which holds from {begins:?} and forbids that",
                first.id,
                first.zone.unwrap_or(""),
                first.from,
                first.to,
            ));
        }
        // What began later than the next one did is looked at there.
        open = bad.into_iter().filter(|r| r.from < over).collect();
        begins = over;
    }
    None
}

#[cfg(test)]
mod tests {
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
}
