//! The two statistical tests of a stage: whether the new cohort is worse, which may be checked at any time without affecting its error
//! rate; and whether it is surely no worse than is permitted, which is checked at a few times fixed beforehand.

use statrs::distribution::{Beta, ContinuousCDF};

/// The alternatives of the sequential test: factors of the rate of bad outcomes, on top of [`NULL`].
const ALTERNATIVES: [f64; 6] = [1.2, 1.5, 2.0, 4.0, 10.0, 40.0];
/// A rate of bad outcomes up to this factor of the old one counts as no worse.
const NULL: f64 = 1.15;

/// An always-valid sequential test. Of the bad outcomes in an interval, both cohorts together, each is one of the new cohort with a
/// probability that follows from the number of requests of each cohort and from the factor between their rates. The likelihood of the
/// observations under an alternative against that under `NULL` is a martingale if the new cohort is no worse, and so is the mean over
/// the alternatives: the probability that it ever exceeds 1/alpha is at most alpha (Ville's inequality), however often it is checked.
/// Bad outcomes come in bursts; each counts as `1/burst` of one, which holds as long as bursts are no larger than that.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Odds {
    log_likelihoods: [f64; ALTERNATIVES.len()],
    /// Bad outcomes of the new and the old cohort.
    pub bad: [u64; 2],
    /// All outcomes of each.
    pub all: [u64; 2],
}

impl Odds {
    /// Adds an interval: bad and all outcomes of the new and the old cohort. `burst` is at least 1.
    pub fn add(&mut self, bad: [u64; 2], all: [u64; 2], burst: f64) {
        for i in 0..2 {
            self.bad[i] += bad[i];
            self.all[i] += all[i];
        }
        // Without the other cohort there is no evidence.
        if all[0] == 0 || all[1] == 0 {
            return;
        }
        let (new, old) = (all[0] as f64, all[1] as f64);
        let weight = 1.0 / burst.max(1.0);
        let probability = |times: f64| times * new / (times * new + old);
        let null = probability(NULL);
        for (log, alternative) in self.log_likelihoods.iter_mut().zip(ALTERNATIVES) {
            let p = probability(NULL * alternative);
            let step = bad[0] as f64 * (p / null).ln() + bad[1] as f64 * ((1.0 - p) / (1.0 - null)).ln();
            *log += weight * step;
        }
    }

    /// Natural logarithm of the evidence that the new cohort is worse.
    pub fn evidence(&self) -> f64 {
        let most = self.log_likelihoods.iter().copied().fold(f64::MIN, f64::max);
        let sum: f64 = self.log_likelihoods.iter().map(|log| (log - most).exp()).sum();
        most + (sum / ALTERNATIVES.len() as f64).ln()
    }

    /// The rates of bad outcomes of the new and the old cohort.
    pub fn rates(&self) -> [f64; 2] {
        [0, 1].map(|i| self.bad[i] as f64 / (self.all[i] as f64).max(1.0))
    }
}

/// The permitted rate of bad outcomes of the new cohort at this rate of the old one.
pub fn allowed(old: f64, times: f64, beyond: f64) -> f64 {
    (old * times + beyond).min(1.0)
}

/// Whether the rate of bad outcomes is at most `most`: the upper bound of Clopper and Pearson at the level `1 - beta`, with bursts
/// counted as above.
pub fn passes(bad: u64, all: u64, burst: f64, most: f64, beta: f64) -> bool {
    let (bad, all) = (bad as f64 / burst.max(1.0), all as f64 / burst.max(1.0));
    if all < 1.0 || bad >= all {
        return false;
    }
    // Both parameters are positive here.
    let upper = Beta::new(bad + 1.0, all - bad).map(|b| b.inverse_cdf(1.0 - beta));
    upper.is_ok_and(|upper| upper <= most)
}
