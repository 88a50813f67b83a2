//! The two statistical tests of a stage.
//!
//! [`SequentialTest`] tests whether the new cohort is worse; it may be checked at any time without affecting its error rate.
//! [`is_rate_at_most`] tests whether the new cohort's rate of bad outcomes is at most a permitted one; it is checked only at a few
//! times fixed beforehand.

use statrs::distribution::{Beta, ContinuousCDF};

/// The alternative hypotheses of the sequential test: the new cohort's rate of bad outcomes exceeds [`NULL_FACTOR`] times the old
/// cohort's by one of these factors.
const ALTERNATIVE_FACTORS: [f64; 6] = [1.2, 1.5, 2.0, 4.0, 10.0, 40.0];
/// The null hypothesis: the new cohort's rate of bad outcomes is at most this factor of the old cohort's.
const NULL_FACTOR: f64 = 1.15;

/// An always-valid sequential test of whether the new cohort has a higher rate of bad outcomes than the old one.
///
/// The probability that a bad outcome of either cohort belongs to the new one follows from the number of requests of each cohort and
/// from the factor between their rates. If the new cohort is no worse, the likelihood ratio of the observations under an alternative
/// and under the null hypothesis is a martingale, and so is its mean over the alternatives: the probability that it ever exceeds
/// 1/alpha is at most alpha (Ville's inequality), however often it is checked.
///
/// Bad outcomes come in bursts, so each has the weight `1/burst`. The error rate holds as long as no burst is larger than `burst`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SequentialTest {
    log_likelihood_ratios: [f64; ALTERNATIVE_FACTORS.len()],
    /// Bad outcomes of the new and the old cohort.
    pub bad: [u64; 2],
    /// All outcomes of the new and the old cohort.
    pub all: [u64; 2],
}

impl SequentialTest {
    /// Adds the bad and all outcomes of the new and the old cohort in one interval. `burst` is the assumed size of bursts; a value
    /// below 1 counts as 1.
    pub fn add(&mut self, bad: [u64; 2], all: [u64; 2], burst: f64) {
        for i in 0..2 {
            self.bad[i] += bad[i];
            self.all[i] += all[i];
        }
        // An interval in which one of the cohorts had no outcomes is no evidence.
        if all[0] == 0 || all[1] == 0 {
            return;
        }
        let (new, old) = (all[0] as f64, all[1] as f64);
        let weight = 1.0 / burst.max(1.0);
        let probability = |factor: f64| factor * new / (factor * new + old);
        let null_probability = probability(NULL_FACTOR);
        for (log_ratio, alternative) in self.log_likelihood_ratios.iter_mut().zip(ALTERNATIVE_FACTORS) {
            let p = probability(NULL_FACTOR * alternative);
            let step = bad[0] as f64 * (p / null_probability).ln()
                + bad[1] as f64 * ((1.0 - p) / (1.0 - null_probability)).ln();
            *log_ratio += weight * step;
        }
    }

    /// Natural logarithm of the mean likelihood ratio: the evidence that the new cohort is worse.
    pub fn evidence(&self) -> f64 {
        let max_log = self.log_likelihood_ratios.iter().copied().fold(f64::MIN, f64::max);
        let sum: f64 = self.log_likelihood_ratios.iter().map(|log_ratio| (log_ratio - max_log).exp()).sum();
        max_log + (sum / ALTERNATIVE_FACTORS.len() as f64).ln()
    }

    /// The rates of bad outcomes of the new and the old cohort.
    pub fn rates(&self) -> [f64; 2] {
        [0, 1].map(|i| self.bad[i] as f64 / (self.all[i] as f64).max(1.0))
    }
}

/// The permitted rate of bad outcomes of the new cohort: the old cohort's rate times `factor`, plus `margin`.
pub fn permitted_rate(old: f64, factor: f64, margin: f64) -> f64 {
    (old * factor + margin).min(1.0)
}

/// Whether the rate of bad outcomes is at most `max_rate`, by the Clopper-Pearson upper bound at the confidence level `1 - beta`. Each
/// outcome has the weight `1/burst`.
pub fn is_rate_at_most(bad: u64, all: u64, burst: f64, max_rate: f64, beta: f64) -> bool {
    let (bad, all) = (bad as f64 / burst.max(1.0), all as f64 / burst.max(1.0));
    if all < 1.0 || bad >= all {
        return false;
    }
    // Both parameters of the distribution are positive, since 0 <= bad < all.
    let upper = Beta::new(bad + 1.0, all - bad).map(|b| b.inverse_cdf(1.0 - beta));
    upper.is_ok_and(|upper| upper <= max_rate)
}
