//! What this proxy counts for the comparison of old and new: how requests ended, by class, and how long that took.

use crate::proxy::config::active_config::ActiveConfig;
use rushquay_admin::RequestOutcome;
use rushquay_membership::ClassStats;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts since the start of the process. The classes of a proxy stay the same while it runs.
pub struct RolloutMetrics {
    classes: RefCell<Vec<ClassStats>>,
}

impl RolloutMetrics {
    pub fn new(classes: usize) -> Self {
        RolloutMetrics { classes: RefCell::new(vec![ClassStats::default(); classes]) }
    }

    /// A request of a class that began under these settings has ended so, after this time.
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

    /// All of it, by the classes' names.
    pub fn figures(&self, names: &[String]) -> BTreeMap<String, ClassStats> {
        names.iter().cloned().zip(self.classes.borrow().iter().cloned()).collect()
    }
}
