//! Rate limiting of log lines about an outage: its beginning, a new cause, now and then its length, and its end.

/// The state of an outage, or of none.
#[derive(Clone, Debug, Default)]
pub struct Outage {
    attempts: u64,
    cause: String,
}

impl Outage {
    /// Records a failed attempt. Returns the number of failed attempts where a log line is due: for the first, for
    /// one with a new cause, and each time that the number has doubled. Danger: an outage of hours with a line for
    /// each attempt displaces everything else from a log.
    pub fn failed(&mut self, cause: &str) -> Option<u64> {
        self.attempts += 1;
        let is_new_cause = self.cause != cause;
        if is_new_cause {
            self.cause = cause.to_owned();
        }
        (is_new_cause || self.attempts.is_power_of_two()).then_some(self.attempts)
    }

    /// Records a successful attempt. Returns the number of failed attempts where an outage has ended.
    pub fn over(&mut self) -> Option<u64> {
        let attempts = std::mem::take(self).attempts;
        (attempts > 0).then_some(attempts)
    }
}
