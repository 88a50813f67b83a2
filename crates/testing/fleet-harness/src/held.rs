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
mod tests;
