//! What of an outage is worth a line in a log: that it began, a new cause, now and then how long it lasts, its end.

/// An outage, or none.
#[derive(Clone, Debug, Default)]
pub struct Outage {
    attempts: u64,
    why: String,
}

impl Outage {
    /// An attempt failed. Some: worth a line, with how many have failed so far: the first, one that fails otherwise, and
    /// each time that their number has doubled. Danger: an outage of hours at a line for each attempt drives out of a
    /// log whatever else it holds.
    pub fn failed(&mut self, why: &str) -> Option<u64> {
        self.attempts += 1;
        let new = self.why != why;
        if new {
            self.why = why.to_owned();
        }
        (new || self.attempts.is_power_of_two()).then_some(self.attempts)
    }

    /// An attempt went well. Some: an outage is over, with how many attempts had failed.
    pub fn over(&mut self) -> Option<u64> {
        let attempts = std::mem::take(self).attempts;
        (attempts > 0).then_some(attempts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_outage_takes_few_lines() {
        let mut outage = Outage::default();
        assert_eq!(outage.over(), None);
        let told: Vec<u64> = (0..1000).filter_map(|_| outage.failed("refused")).collect();
        assert_eq!(told, [1, 2, 4, 8, 16, 32, 64, 128, 256, 512]);
        assert_eq!(outage.failed("no answer"), Some(1001));
        assert_eq!((outage.over(), outage.over()), (Some(1001), None));
        assert_eq!(outage.failed("no answer"), Some(1));
    }
}
