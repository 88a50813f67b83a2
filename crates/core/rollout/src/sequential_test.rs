//! Two questions, each with its error rate: are the new worse, asked at each look without a price for looking; and are they
//! surely no worse than is allowed, asked at a few looks that are set beforehand.

use statrs::distribution::{Beta, ContinuousCDF};

/// How many times as often the new may do badly, in the alternatives that the test bets on: over [`NULL`].
const BETS: [f64; 6] = [1.2, 1.5, 2.0, 4.0, 10.0, 40.0];
/// Doing badly up to so many times as often counts as no worse.
const NULL: f64 = 1.15;

/// A test that may be looked at whenever one likes. Of the bad ends in a span of time, new and old together, each is one of
/// the new with a chance that follows from how much each of the two was asked and from how many times as often the new do badly.
/// The likelihood of what is seen under a bet against that under `NULL` is a martingale if the new are no worse, and the
/// mean over the bets is one too: the chance that it ever passes 1/alpha is at most alpha (Ville's inequality), however often
/// one looks. Bad ends come in bursts; each counts as `1/burst` of one, which holds as long as bursts are no larger than that.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Odds {
    logs: [f64; BETS.len()],
    /// Bad ends of the new and of the old.
    pub bad: [u64; 2],
    /// All of each.
    pub all: [u64; 2],
}

impl Odds {
    /// What has come in a span of time: bad ends and all, of the new and of the old. `burst` is 1 at least.
    pub fn add(&mut self, bad: [u64; 2], all: [u64; 2], burst: f64) {
        for i in 0..2 {
            self.bad[i] += bad[i];
            self.all[i] += all[i];
        }
        // With nobody to compare with nothing is learned.
        if all[0] == 0 || all[1] == 0 {
            return;
        }
        let (new, old) = (all[0] as f64, all[1] as f64);
        let weight = 1.0 / burst.max(1.0);
        let chance = |times: f64| times * new / (times * new + old);
        let null = chance(NULL);
        for (log, bet) in self.logs.iter_mut().zip(BETS) {
            let p = chance(NULL * bet);
            let step = bad[0] as f64 * (p / null).ln() + bad[1] as f64 * ((1.0 - p) / (1.0 - null)).ln();
            *log += weight * step;
        }
    }

    /// The natural logarithm of the evidence that the new are worse.
    pub fn evidence(&self) -> f64 {
        let most = self.logs.iter().copied().fold(f64::MIN, f64::max);
        let sum: f64 = self.logs.iter().map(|l| (l - most).exp()).sum();
        most + (sum / BETS.len() as f64).ln()
    }

    /// How often the new and the old do badly, as parts of all.
    pub fn rates(&self) -> [f64; 2] {
        [0, 1].map(|i| self.bad[i] as f64 / (self.all[i] as f64).max(1.0))
    }
}

/// The part of bad ends that the new may have at the most, where the old have this one.
pub fn allowed(old: f64, times: f64, beyond: f64) -> f64 {
    (old * times + beyond).min(1.0)
}

/// Whether the part of bad ends is surely at most `most`: the upper bound of Clopper and Pearson at the level `1 - beta`,
/// bursts counted as above.
pub fn passes(bad: u64, all: u64, burst: f64, most: f64, beta: f64) -> bool {
    let (bad, all) = (bad as f64 / burst.max(1.0), all as f64 / burst.max(1.0));
    if all < 1.0 || bad >= all {
        return false;
    }
    // Both parameters are over 0 here.
    let upper = Beta::new(bad + 1.0, all - bad).map(|b| b.inverse_cdf(1.0 - beta));
    upper.is_ok_and(|upper| upper <= most)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_is_learned_without_the_old_or_from_what_is_alike() {
        let mut odds = Odds::default();
        odds.add([50, 0], [50, 0], 1.0);
        assert_eq!(odds.evidence(), 0.0);
        for _ in 0..500 {
            odds.add([10, 90], [100, 900], 1.0);
        }
        assert!(odds.evidence() < 0.0, "{}", odds.evidence());
    }

    #[test]
    fn five_times_as_often_is_soon_seen() {
        let mut odds = Odds::default();
        let mut looks = 0;
        while odds.evidence() < (1.0f64 / 1e-4).ln() {
            odds.add([5, 9], [100, 900], 1.0);
            looks += 1;
        }
        assert!(looks < 10, "{looks}");
    }

    #[test]
    fn to_pass_takes_enough_that_went_well() {
        // With no bad end at all, one in fifty is excluded at one in twenty by 149.
        assert!(!passes(0, 147, 1.0, 0.02, 0.05));
        assert!(passes(0, 150, 1.0, 0.02, 0.05));
        assert!(!passes(0, 0, 1.0, 0.9, 0.05));
        assert!(!passes(30, 1000, 1.0, 0.02, 0.05));
        assert!(!passes(0, 150, 3.0, 0.02, 0.05), "bursts say less");
    }
}
