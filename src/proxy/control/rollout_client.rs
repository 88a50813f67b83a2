//! The proxy's participation in rollouts: it applies the config version that the control service assigns to it, completely or not at
//! all, and reports the active version with statistics of its requests.

use crate::proxy::config::layers::ConfigLayers;
use crate::proxy::control::rollout_metrics::RolloutMetrics;
use crate::proxy::control::rollout_settings::RolloutSource;
use crate::proxy::engine::Engine;
use crate::proxy::process::supervised::Supervised;
use rushquay_admin::RequestMetrics;
use rushquay_config_version::{ConfigAssignment, ConfigVersion, Digest, FORMAT_VERSION};
use rushquay_membership::{ProxyStats, RejectedConfig, Report};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Interval of the event loop probes, and how overdue a probe must be to count as late.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const LATE_PROBE_AFTER: Duration = Duration::from_millis(10);

/// Counts timer probes of the process's event loop, and those that fired late.
#[derive(Default)]
struct LoopProbe {
    total: Cell<u64>,
    late: Cell<u64>,
}

impl LoopProbe {
    /// Probes for as long as the process runs.
    async fn count(self: Rc<Self>) {
        loop {
            let due = Instant::now() + PROBE_INTERVAL;
            sleep_until(due).await;
            self.total.set(self.total.get() + 1);
            self.late.set(self.late.get() + u64::from(due.elapsed() > LATE_PROBE_AFTER));
        }
    }
}

/// The state that reports describe.
struct State {
    /// Sequence number of the last report.
    seq: u64,
    active: Digest,
    change: u64,
    rejected: Option<RejectedConfig>,
    /// The applied assignment, as it was received.
    applied: Option<String>,
    /// The last assignment, if it needs another program, which the supervisor has to start.
    waiting: Option<String>,
}

/// This process as a member of rollouts.
pub struct RolloutClient {
    source: RolloutSource,
    supervised: Option<Supervised>,
    incarnation: u64,
    engine: Rc<Engine>,
    layers: Rc<ConfigLayers>,
    metrics: Arc<RequestMetrics>,
    /// Counts request outcomes for the analysis of a rollout.
    pub request_metrics: RolloutMetrics,
    state: RefCell<State>,
    loop_probe: Rc<LoopProbe>,
    shutting_down: Cell<bool>,
    /// Notified when a report should be sent immediately.
    pub wake: Arc<Notify>,
}

impl RolloutClient {
    /// Creates a client that starts on the process's own settings, or on the assignment that the supervisor passed.
    pub fn new(
        source: RolloutSource,
        supervised: Option<Supervised>,
        layers: Rc<ConfigLayers>,
        metrics: Arc<RequestMetrics>,
        news: Arc<Notify>,
    ) -> Rc<Self> {
        let engine = layers.engine().clone();
        let rollout_metrics = RolloutMetrics::new(engine.active_config().names.classes.len());
        let base = ConfigVersion::base();
        // Danger: a process that reports the base version while it runs another program than the base version names would count as
        // rolled back.
        let active = match &supervised {
            Some(supervised) if !supervised.is(&base) => base.with_program(supervised.runs).digest(),
            _ => base.digest(),
        };
        let state = State { seq: 0, active, change: 0, rejected: None, applied: None, waiting: None };
        let (incarnation, state) = (engine.now(), RefCell::new(state));
        let shutting_down = Cell::new(false);
        let assignment = supervised.as_ref().and_then(|h| h.given.clone());
        let loop_probe = Rc::new(LoopProbe::default());
        tokio::task::spawn_local(loop_probe.clone().count());
        let rollout = Rc::new(RolloutClient {
            source,
            supervised,
            incarnation,
            engine,
            layers,
            metrics,
            request_metrics: rollout_metrics,
            state,
            loop_probe,
            shutting_down,
            wake: news,
        });
        assignment.iter().for_each(|text| rollout.inherit(text));
        rollout
    }

    /// Returns whether this process runs the program that a config version names.
    fn runs(&self, version: &ConfigVersion) -> bool {
        match &self.supervised {
            Some(supervised) => supervised.is(version),
            None => version.program().is_none(),
        }
    }

    /// Returns the interval between reports.
    pub fn report_interval(&self) -> Duration {
        self.source.report_interval
    }

    /// Reports immediately that graceful shutdown has begun.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
        self.wake.notify_one();
    }

    /// Checks whether this proxy can apply an assignment. A rejection is included in the next report.
    ///
    /// # Errors
    /// Why it cannot.
    pub fn can_apply(&self, assignment: &ConfigAssignment) -> Result<(), String> {
        let needs_supervisor = self.supervised.is_none() && assignment.version.program().is_some();
        let checked = match needs_supervisor {
            true => Err("settings.program: this proxy runs without a supervisor, which is needed to replace its program".into()),
            // The other program reports whether it can apply the assignment once it runs.
            false if !self.runs(&assignment.version) => Ok(()),
            false => self.layers.check_version(&assignment.version),
        };
        if let Err(why) = &checked {
            let generation = assignment.version.digest();
            crate::proxy::log(format_args!(
                "settings {generation:?} of change {} are rejected: {why}",
                assignment.rollout
            ));
            let mut state = self.state.borrow_mut();
            state.change = assignment.rollout;
            state.rejected = Some(RejectedConfig { generation, why: why.chars().take(500).collect() });
            self.wake.notify_one();
        }
        checked
    }

    /// Returns the assignment for a successor: the one that waits for the supervisor, or else the applied one.
    pub fn assignment_text(&self) -> Option<String> {
        let state = self.state.borrow();
        state.waiting.clone().or_else(|| state.applied.clone())
    }

    /// Takes over the incumbent's assignment. One that cannot be parsed or applied is ignored: the control service sends it again.
    pub fn inherit(&self, text: &str) {
        match ConfigAssignment::read(text) {
            Ok(given) if self.runs(&given.version) && self.can_apply(&given).is_ok() => self.apply(&given),
            // It needs another program, or cannot be applied.
            Ok(_) => {}
            Err(e) => crate::proxy::log(format_args!("ignoring the settings of the old process: {e}")),
        }
    }

    /// Applies an assignment, effective from the next request.
    pub fn apply(&self, assignment: &ConfigAssignment) {
        let digest = assignment.version.digest();
        let mut state = self.state.borrow_mut();
        (state.change, state.rejected) = (assignment.rollout, None);
        if !self.runs(&assignment.version) {
            // Danger: settings that are meant for another program must not be applied by this one. Nothing changes until that program
            // runs.
            state.waiting = Some(assignment.text());
            self.wake.notify_one();
            return;
        }
        (state.applied, state.waiting) = (Some(assignment.text()), None);
        if digest != state.active {
            // The version was validated before the assignment was acknowledged.
            if self.layers.apply_version(&assignment.version).is_err() {
                return;
            }
            state.active = digest;
            crate::proxy::log(format_args!("acting by settings {digest:?} of change {}", assignment.rollout));
        }
        self.wake.notify_one();
    }

    /// Builds the next report of this process.
    pub fn report(&self) -> String {
        let mut state = self.state.borrow_mut();
        state.seq += 1;
        let (memory, descriptors) = process_usage();
        let classes = self.request_metrics.figures(&self.engine.active_config().names.classes);
        let report = Report {
            form: FORMAT_VERSION,
            boot: self.incarnation,
            seq: state.seq,
            zone: self.source.zone.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            program: self.supervised.as_ref().map(|h| h.runs),
            acting: state.active,
            change: state.change,
            refused: state.rejected.clone(),
            leaving: self.shutting_down.get(),
            figures: ProxyStats {
                classes,
                attempts: self.metrics.attempts.get(),
                memory,
                descriptors,
                beats: self.loop_probe.total.get(),
                late_beats: self.loop_probe.late.get(),
            },
        };
        report.text()
    }
}

/// Returns the resident memory in bytes and the number of open descriptors of this process; 0 if the system does not report them.
fn process_usage() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes =
        status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().split(' ').next()?.parse().ok());
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    (kilobytes.unwrap_or(0u64) << 10, descriptors as u64)
}
