//! The proxy's part in rollouts: it applies the config version that the control service assigns to it, completely or not at all, and
//! reports which version is active and how its requests fare.

use crate::proxy::config::layers::ConfigLayers;
use crate::proxy::control::rollout_metrics::RolloutMetrics;
use crate::proxy::control::rollout_settings::RolloutSource;
use crate::proxy::engine::Engine;
use crate::proxy::process::supervised::Supervised;
use rushquay_admin::RequestMetrics;
use rushquay_config_version::{ConfigAssignment, ConfigVersion, Digest, FORM};
use rushquay_membership::{ProxyStats, RejectedConfig, Report};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Interval of the probes of its own clock, and by how much a probe must be overdue to count as late.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
const LATE_PROBE_AFTER: Duration = Duration::from_millis(10);

/// Counts probes of the process's own clock, and those that were late.
#[derive(Default)]
struct ClockProbe {
    all: Cell<u64>,
    late: Cell<u64>,
}

impl ClockProbe {
    /// Probes for as long as the process runs.
    async fn count(self: Rc<Self>) {
        loop {
            let due = Instant::now() + PROBE_INTERVAL;
            sleep_until(due).await;
            self.all.set(self.all.get() + 1);
            self.late.set(self.late.get() + u64::from(due.elapsed() > LATE_PROBE_AFTER));
        }
    }
}

struct State {
    seq: u64,
    acting: Digest,
    change: u64,
    refused: Option<RejectedConfig>,
    /// The assignment that is applied, as it was received.
    given: Option<String>,
    /// The last assignment if only another program can apply it, which the supervisor is to start.
    next: Option<String>,
}

/// This process as a member of rollouts.
pub struct RolloutClient {
    source: RolloutSource,
    hosted: Option<Supervised>,
    boot: u64,
    engine: Rc<Engine>,
    layers: Rc<ConfigLayers>,
    ledger: Arc<RequestMetrics>,
    /// Counts how its requests end.
    pub request_metrics: RolloutMetrics,
    state: RefCell<State>,
    beats: Rc<ClockProbe>,
    leaving: Cell<bool>,
    /// Notified when there is something to report immediately.
    pub news: Arc<Notify>,
}

impl RolloutClient {
    /// Starts on the settings of its own file.
    pub fn new(
        source: RolloutSource,
        hosted: Option<Supervised>,
        layers: Rc<ConfigLayers>,
        ledger: Arc<RequestMetrics>,
        news: Arc<Notify>,
    ) -> Rc<Self> {
        let engine = layers.engine().clone();
        let tally = RolloutMetrics::new(engine.acting().names.classes.len());
        let base = ConfigVersion::base();
        // Danger: a process that reports the base version while it is another program than the base has would be taken for rolled back.
        let acting = match &hosted {
            Some(hosted) if !hosted.is(&base) => base.with_program(hosted.runs).digest(),
            _ => base.digest(),
        };
        let state = State { seq: 0, acting, change: 0, refused: None, given: None, next: None };
        let (boot, state) = (engine.now(), RefCell::new(state));
        let leaving = Cell::new(false);
        let given = hosted.as_ref().and_then(|h| h.given.clone());
        let beats = Rc::new(ClockProbe::default());
        tokio::task::spawn_local(beats.clone().count());
        let rollout = Rc::new(RolloutClient {
            source,
            hosted,
            boot,
            engine,
            layers,
            ledger,
            request_metrics: tally,
            state,
            beats,
            leaving,
            news,
        });
        given.iter().for_each(|given| rollout.inherit(given));
        rollout
    }

    /// Whether this process is the program that a config version names.
    fn is(&self, generation: &ConfigVersion) -> bool {
        match &self.hosted {
            Some(hosted) => hosted.is(generation),
            None => generation.program().is_none(),
        }
    }

    /// Interval between reports.
    pub fn report_interval(&self) -> Duration {
        self.source.every
    }

    /// Graceful shutdown has begun; it is reported immediately.
    pub fn begin_shutdown(&self) {
        self.leaving.set(true);
        self.news.notify_one();
    }

    /// Whether this proxy can apply an assignment. The reason why not goes into the next report.
    pub fn can_apply(&self, given: &ConfigAssignment) -> Result<(), String> {
        let alone = self.hosted.is_none() && given.generation.program().is_some();
        let checked = match alone {
            true => Err("settings.program: no host runs this proxy, and none can replace it".into()),
            // Whether another program can apply it is for that program to report, once it runs.
            false if !self.is(&given.generation) => Ok(()),
            false => self.layers.check_version(&given.generation),
        };
        if let Err(why) = &checked {
            let generation = given.generation.digest();
            crate::proxy::log(format_args!(
                "settings {generation:?} of change {} are refused: {why}",
                given.change
            ));
            let mut state = self.state.borrow_mut();
            state.change = given.change;
            state.refused = Some(RejectedConfig { generation, why: why.chars().take(500).collect() });
            self.news.notify_one();
        }
        checked
    }

    /// The assignment that is applied, or that waits for the supervisor: for a successor.
    pub fn assignment_text(&self) -> Option<String> {
        let state = self.state.borrow();
        state.next.clone().or_else(|| state.given.clone())
    }

    /// Takes over the incumbent's assignment. One that cannot be read or applied is ignored: the control service sends it again.
    pub fn inherit(&self, given: &str) {
        match ConfigAssignment::read(given) {
            // An assignment for another program is left to that program.
            Ok(given) if self.is(&given.generation) && self.can_apply(&given).is_ok() => self.apply(&given),
            Ok(_) => {}
            Err(e) => crate::proxy::log(format_args!("the old process's settings are not taken: {e}")),
        }
    }

    /// Applies an assignment from the next request on.
    pub fn apply(&self, given: &ConfigAssignment) {
        let digest = given.generation.digest();
        let mut state = self.state.borrow_mut();
        (state.change, state.refused) = (given.change, None);
        if !self.is(&given.generation) {
            // Danger: settings that are meant for the next program would be applied without it. Everything stays as it is until that runs.
            state.next = Some(given.text());
            self.news.notify_one();
            return;
        }
        (state.given, state.next) = (Some(given.text()), None);
        if digest != state.acting {
            // It was validated before it was acknowledged.
            if self.layers.apply_version(&given.generation).is_err() {
                return;
            }
            state.acting = digest;
            crate::proxy::log(format_args!("acting by settings {digest:?} of change {}", given.change));
        }
        self.news.notify_one();
    }

    /// The next report of this process.
    pub fn report(&self) -> String {
        let mut state = self.state.borrow_mut();
        state.seq += 1;
        let (memory, descriptors) = held();
        let classes = self.request_metrics.figures(&self.engine.acting().names.classes);
        let report = Report {
            form: FORM,
            boot: self.boot,
            seq: state.seq,
            zone: self.source.zone.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            program: self.hosted.as_ref().map(|h| h.runs),
            acting: state.acting,
            change: state.change,
            refused: state.refused.clone(),
            leaving: self.leaving.get(),
            figures: ProxyStats {
                classes,
                attempts: self.ledger.attempts.get(),
                memory,
                descriptors,
                beats: self.beats.all.get(),
                late_beats: self.beats.late.get(),
            },
        };
        report.text()
    }
}

/// Resident memory in bytes and open descriptors of this process; 0 if the system does not report them.
fn held() -> (u64, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes =
        status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().split(' ').next()?.parse().ok());
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
    (kilobytes.unwrap_or(0u64) << 10, descriptors as u64)
}
