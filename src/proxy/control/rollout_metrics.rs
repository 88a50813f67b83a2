//! Counters for the analysis of a rollout: how requests ended, by class, and how long they took.

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

    /// Counts a request of a class that started under these settings, with its outcome and duration.
    pub fn count(&self, under: &ActiveConfig, class: usize, end: RequestOutcome, took: Duration) {
        let mut classes = self.classes.borrow_mut();
        let Some(figures) = classes.get_mut(class) else { return };
        let took = took.as_nanos() as u64;
        match end {
            RequestOutcome::Completed => {
                figures.took(took);
                match took > under.aim(class) {
                    true => figures.late += 1,
                    false => figures.served += 1,
                }
            }
            RequestOutcome::Rejected => figures.refused += 1,
            RequestOutcome::Failed => figures.failed += 1,
        }
    }

    /// All counters by the names of the classes.
    pub fn figures(&self, names: &[String]) -> BTreeMap<String, ClassStats> {
        names.iter().cloned().zip(self.classes.borrow().iter().cloned()).collect()
    }
}
