//! What an operator's overrides impose on a node.

use crate::{Nanos, Pin};

/// What is imposed on a node, in a form that whoever holds it can apply and let expire without asking again. Times are
/// Unix time in nanoseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Imposed {
    /// Out of service since and until; 0 and 0: it is not, and was not lately.
    pub out: (Nanos, Nanos),
    /// Factors on its weight with their ends, the one that counts first; each counts once those before it have ended.
    pub weights: Vec<(Nanos, f64)>,
    /// Keys and classes that are bound to it.
    pub pins: Vec<Pin>,
    /// A node that was out for so long comes back with a cold cache, in nanoseconds.
    pub cold_after: Nanos,
    /// Whether it is out, and the factor, by the clock of who declares it: for clients that know nothing of all this.
    pub present: Option<(bool, f64)>,
}

impl Imposed {
    /// Whether it is out of service at this time.
    pub fn is_out(&self, now: Nanos) -> bool {
        (self.out.0..self.out.1).contains(&now)
    }

    /// The factor on its weight at this time.
    pub fn factor(&self, now: Nanos) -> f64 {
        self.weights.iter().find(|(until, _)| *until > now).map_or(1.0, |(_, factor)| *factor)
    }

    /// When it came back from an outage after which its cache is cold; 0: it did not.
    pub fn returned(&self, now: Nanos) -> Nanos {
        let (since, until) = self.out;
        let cold = until > 0 && until <= now && until.saturating_sub(since) >= self.cold_after;
        if cold {
            until
        } else {
            0
        }
    }

    /// When something ends next after this time.
    pub fn next(&self, after: Nanos) -> Option<Nanos> {
        let ends = self.weights.iter().map(|(until, _)| *until);
        ends.chain([self.out.1]).filter(|until| *until > after).min()
    }

    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.out == (0, 0) && self.weights.is_empty() && self.pins.is_empty()
    }
}
