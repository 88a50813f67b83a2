//! Which requests come when: open loop, so that a slow fleet does not spare itself the work that it is late with.

use crate::scenario::Scenario;
use rand::RngExt as _;
use rand_distr::{Distribution, Exp1, Zipf};
use rushquay_node_model::{Chance, Nanos};

/// What is asked for.
pub struct Traffic {
    popular: Option<Zipf<f64>>,
    count: u64,
    drift: f64,
    /// All classes together, in requests a second.
    rate: f64,
    parts: Vec<f64>,
    /// Multiple of the rate.
    pub times: f64,
    /// Part of reads for one key.
    pub hot: f64,
    /// Part of reads for keys that are asked for once.
    pub scan: f64,
    once: u64,
}

impl Traffic {
    pub fn new(scenario: &Scenario) -> Traffic {
        let rate = scenario.class.iter().map(|c| c.rate).sum::<f64>();
        let count = scenario.keys.count;
        let skew = scenario.keys.skew;
        Traffic {
            popular: (skew > 0.0).then(|| Zipf::new(count as f64, skew).ok()).flatten(),
            count,
            drift: scenario.keys.drift,
            rate,
            parts: scenario.class.iter().map(|c| c.rate / rate).collect(),
            times: 1.0,
            hot: 0.0,
            scan: 0.0,
            once: 0,
        }
    }

    /// The time to the next request.
    pub fn gap(&self, chance: &mut Chance) -> Nanos {
        let gap: f64 = Exp1.sample(chance);
        (gap / (self.rate * self.times).max(1e-3) * 1e9) as Nanos
    }

    /// Its class.
    pub fn class(&self, chance: &mut Chance) -> usize {
        let mut left = chance.random::<f64>();
        let found = self.parts.iter().position(|part| {
            left -= part;
            left < 0.0
        });
        found.unwrap_or(self.parts.len() - 1)
    }

    /// Its key. Ranks become keys by a shift that drifts, so that what is popular changes by and by.
    pub fn key(&mut self, write: bool, now: Nanos, chance: &mut Chance) -> u64 {
        let draw = chance.random::<f64>();
        if !write && draw < self.hot {
            return u64::MAX;
        }
        if !write && draw < self.hot + self.scan {
            self.once += 1;
            return u64::MAX / 2 + self.once;
        }
        let rank = match &self.popular {
            Some(zipf) => zipf.sample(chance) as u64 - 1,
            None => chance.random_range(0..self.count),
        };
        self.of_rank(rank, now)
    }

    /// The key that has this rank at a time.
    pub fn of_rank(&self, rank: u64, now: Nanos) -> u64 {
        let shift = (self.drift * now as f64 / 1e9) as u64;
        (rank + shift) % self.count.max(1)
    }
}
