//! Panics of tasks: the runtime ends a task that panics and nothing else, so what the rest of the process relies on has to be told.

use futures_util::FutureExt as _;
use rushquay_admin::RequestMetrics;
use rushquay_invariants::Violation;
use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// The panic that ended a task.
#[derive(Debug)]
pub struct TaskPanic {
    message: String,
}

impl fmt::Display for TaskPanic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "panicked: {}", self.message)
    }
}

/// Runs a task to its end.
///
/// # Errors
/// It has panicked. All that it held is dropped.
pub async fn catch_panic<T>(task: impl Future<Output = T>) -> Result<T, TaskPanic> {
    AssertUnwindSafe(task).catch_unwind().await.map_err(|payload| {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = text.or_else(|| payload.downcast_ref::<String>().cloned()).unwrap_or_default();
        TaskPanic { message }
    })
}

/// Counts and logs the panic of a task.
pub fn record_panic(metrics: &RequestMetrics, task: impl fmt::Display, panic: &TaskPanic) {
    crate::proxy::violation(metrics, Violation::TaskPanicked, &format!("{task} {panic}"));
}

/// A task without which a proxy would serve on by what it knew once: it runs for as long as the process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackgroundTask {
    /// Follows discovery's endpoint list.
    Discovery,
    /// Follows the control service.
    ControlSubscription,
    /// Rereads the settings on SIGHUP.
    Reload,
    /// Applies the clusters of an Envoy configuration.
    EnvoyClusters,
    /// Closes stalled client connections and publishes the status.
    ClientWatch,
    /// Closes idle connections to nodes.
    IdleSweep,
    /// Detects pauses of the process.
    PauseDetection,
    /// Sends heartbeats to the supervisor.
    Heartbeats,
}

impl fmt::Display for BackgroundTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BackgroundTask::Discovery => "the task that follows discovery",
            BackgroundTask::ControlSubscription => "the task that follows the control service",
            BackgroundTask::Reload => "the task that rereads the settings",
            BackgroundTask::EnvoyClusters => "the task that applies clusters",
            BackgroundTask::ClientWatch => "the task that watches client connections",
            BackgroundTask::IdleSweep => "the task that closes idle connections",
            BackgroundTask::PauseDetection => "the task that detects pauses",
            BackgroundTask::Heartbeats => "the task that sends heartbeats",
        })
    }
}

/// The background tasks of a process. One that panics ends the process, in the same order as a signal does.
pub struct BackgroundTasks {
    metrics: Arc<RequestMetrics>,
    /// The first failure; `None`: all of them run.
    failure: RefCell<Option<String>>,
    failed: Notify,
}

impl BackgroundTasks {
    /// Creates an empty set that counts panics in these metrics.
    pub fn new(metrics: Arc<RequestMetrics>) -> Rc<Self> {
        Rc::new(BackgroundTasks { metrics, failure: RefCell::default(), failed: Notify::new() })
    }

    /// Starts a background task.
    pub fn spawn(self: &Rc<Self>, task: BackgroundTask, work: impl Future<Output = ()> + 'static) {
        let tasks = self.clone();
        #[cfg(test)]
        let work = tests::with_fault(task, work);
        tokio::task::spawn_local(async move {
            if let Err(panic) = catch_panic(work).await {
                record_panic(&tasks.metrics, task, &panic);
                tasks.failure.borrow_mut().get_or_insert_with(|| format!("{task} {panic}"));
                tasks.failed.notify_one();
            }
        });
    }

    /// Returns when `stop` has completed or a background task has failed.
    pub async fn stopped_or_failed(&self, stop: impl Future<Output = ()>) {
        tokio::select! {
            biased;
            () = stop => {}
            () = self.failed.notified() => {}
        }
    }

    /// Returns how the process ends.
    ///
    /// # Errors
    /// A background task has failed; the text names it.
    pub fn result(&self) -> Result<(), String> {
        self.failure.borrow().clone().map_or(Ok(()), Err)
    }
}

#[cfg(test)]
mod tests;
