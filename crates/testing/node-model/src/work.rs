//! How long a piece of work takes on a warm core of speed 1.

use crate::{Chance, Nanos, MILLI};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use serde::Deserialize;

/// A distribution of work, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Work {
    /// Always the same.
    Fixed(f64),
    /// Exponential, with this mean.
    Exponential(f64),
    /// Log-normal: half of it below the median, spread by sigma.
    LogNormal {
        /// Half is below.
        median: f64,
        /// Of the logarithm.
        sigma: f64,
    },
    /// Pareto: none below the least, a heavy tail above.
    Pareto {
        /// The least.
        least: f64,
        /// The higher, the lighter the tail; over 1.
        shape: f64,
    },
}

impl Work {
    /// Whether its numbers make a distribution with a mean.
    pub fn sound(&self) -> bool {
        let positive = |x: f64| x.is_finite() && x > 0.0;
        match *self {
            Work::Fixed(ms) => ms.is_finite() && ms >= 0.0,
            Work::Exponential(mean) => positive(mean),
            Work::LogNormal { median, sigma } => positive(median) && sigma.is_finite() && sigma >= 0.0,
            Work::Pareto { least, shape } => positive(least) && shape.is_finite() && shape > 1.0,
        }
    }

    /// Its mean, in nanoseconds.
    pub fn mean(&self) -> f64 {
        let ms = match *self {
            Work::Fixed(ms) | Work::Exponential(ms) => ms,
            Work::LogNormal { median, sigma } => median * (sigma * sigma / 2.0).exp(),
            Work::Pareto { least, shape } => least * shape / (shape - 1.0),
        };
        ms * MILLI as f64
    }

    /// Draws one piece, in nanoseconds.
    pub fn draw(&self, chance: &mut Chance) -> Nanos {
        let ms = match *self {
            Work::Fixed(ms) => ms,
            Work::Exponential(mean) => {
                let one: f64 = Exp1.sample(chance);
                mean * one
            }
            // What is not sound was refused when it was read.
            Work::LogNormal { median, sigma } => {
                LogNormal::new(median.ln(), sigma).map_or(median, |d| d.sample(chance))
            }
            Work::Pareto { least, shape } => Pareto::new(least, shape).map_or(least, |d| d.sample(chance)),
        };
        (ms * MILLI as f64) as Nanos
    }
}

#[cfg(test)]
mod tests;
