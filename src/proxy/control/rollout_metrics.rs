//! Counters for the analysis of a rollout: outcomes and durations of requests, by class.

use crate::proxy::config::active_config::ActiveConfig;
use rushquay_admin::RequestOutcome;
use rushquay_membership::ClassStats;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counters since the start of the process. The classes of a proxy do not change while it runs.
pub struct RolloutMetrics {
    classes: RefCell<Vec<ClassStats>>,
}

impl RolloutMetrics {
    pub fn new(classes: usize) -> Self {
        RolloutMetrics { classes: RefCell::new(vec![ClassStats::default(); classes]) }
    }

    /// Counts a request by its class, outcome and duration. `config` is the configuration that it started with.
    pub fn count(&self, config: &ActiveConfig, class: usize, outcome: RequestOutcome, duration: Duration) {
        let mut classes = self.classes.borrow_mut();
        let Some(stats) = classes.get_mut(class) else { return };
        let nanos = duration.as_nanos() as u64;
        match outcome {
            RequestOutcome::Completed => {
                stats.record_response_time(nanos);
                match nanos > config.latency_objective(class) {
                    true => stats.late += 1,
                    false => stats.served += 1,
                }
            }
            RequestOutcome::Rejected => stats.refused += 1,
            RequestOutcome::Failed => stats.failed += 1,
        }
    }

    /// Returns all counters by class name.
    pub fn figures(&self, names: &[String]) -> BTreeMap<String, ClassStats> {
        names.iter().cloned().zip(self.classes.borrow().iter().cloned()).collect()
    }
}
