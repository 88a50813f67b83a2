//! How the whole fleet does, against how it did before the change: a trouble of all holds a change and is not blamed on it.

use crate::sequential_test::allowed;
use rushquay_membership::ProxyStats;
use std::collections::VecDeque;

/// So many looks are remembered of how the fleet did before a change, and so many of the last make up "now".
const BEFORE: usize = 60;
const NOW: usize = 8;
/// Fewer requests than this say nothing of a trouble.
const LEAST: f64 = 40.0;
/// A trouble: bad ends this many times as many as before and this part of all beyond; it is over below the second pair.
const TROUBLE: [(f64, f64); 2] = [(3.0, 0.05), (1.5, 0.02)];
/// Attempts a request, against before.
const ATTEMPTS: [f64; 2] = [1.6, 1.3];

/// Requests in a look.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    bad: f64,
    all: f64,
    attempts: f64,
}

impl Count {
    /// Takes in what an instance did in the look.
    pub fn take(&mut self, fresh: &ProxyStats) {
        for class in fresh.classes.values() {
            self.bad += (class.refused + class.failed + class.late) as f64;
            self.all += class.all() as f64;
        }
        self.attempts += fresh.attempts as f64;
    }

    fn add(&mut self, other: &Count) {
        self.bad += other.bad;
        self.all += other.all;
        self.attempts += other.attempts;
    }

    /// Bad ends and attempts, as parts of all requests.
    fn parts(&self) -> Option<[f64; 2]> {
        (self.all >= LEAST).then(|| [self.bad / self.all, self.attempts / self.all])
    }
}

/// What is seen of the whole fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pulse {
    before: VecDeque<Count>,
    /// Of those that show a trouble of all, and of everybody.
    now: VecDeque<[Count; 2]>,
    /// What another leader saw before the change.
    told: Option<[f64; 2]>,
    /// What is wrong with all.
    pub trouble: Option<String>,
}

impl Pulse {
    /// How the fleet did before the change: bad ends and attempts, as parts of all requests; `None`: not known.
    pub fn usual(&self) -> Option<[f64; 2]> {
        let mut sum = Count::default();
        self.before.iter().for_each(|c| sum.add(c));
        sum.parts()
    }

    /// What another leader has seen before the change, where this one was not there.
    pub fn told_usual(&mut self, usual: Option<[f64; 2]>) {
        self.told = usual;
    }

    /// Takes a look. `shown`: of those in whom a trouble of all would show and that did not change themselves; `whole`: of
    /// everybody. `frozen`: a change runs, and what was before it stands.
    pub fn look(&mut self, shown: Count, whole: Count, frozen: bool) {
        self.now.push_back([shown, whole]);
        if self.now.len() > NOW {
            let older = self.now.pop_front();
            if !frozen {
                self.before.extend(older.map(|[_, whole]| whole));
                if self.before.len() > BEFORE {
                    self.before.pop_front();
                }
            }
        }
        let Some([usual, usual_attempts]) = self.usual().or(self.told) else { return };
        let sums = [0, 1].map(|i| {
            let mut sum = Count::default();
            self.now.iter().for_each(|both| sum.add(&both[i]));
            sum
        });
        // Where those that show it are asked too little, everybody is all there is to look at. Danger: a fleet that is asked nothing
        // any more would pass for one that is well again.
        let Some([bad, attempts]) = sums[0].parts().or(sums[1].parts()) else { return };
        let at = usize::from(self.trouble.is_some());
        let (times, beyond) = TROUBLE[at];
        self.trouble = if bad > allowed(usual, times, beyond) {
            Some(format!(
                "the whole fleet does worse: {bad:.3} of all end badly, {usual:.3} before the stage"
            ))
        } else if attempts > usual_attempts * ATTEMPTS[at] + 0.1 {
            Some(format!(
                "the fleet sends {attempts:.2} attempts a request, {usual_attempts:.2} before the stage"
            ))
        } else {
            None
        };
    }
}
