//! The members and their status.

use crate::{Nanos, ProxyStats, RejectedConfig, Report, SECOND};
use rushquay_config_version::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// Its last report is recent.
    Serving,
    /// It is known from stored records, and this control service has not received a report of it yet.
    Unheard,
    /// Its stream has ended or it reported that it shuts down, and the time for its next process to start is not over.
    Restarting,
    /// Its reports are missing, and its stream has not ended: a failed machine or link does not end a stream.
    CutOff,
    /// Its stream has ended and no process has followed.
    Down,
    /// It has been gone for so long that it is no longer expected.
    Retired,
}

impl MemberStatus {
    /// All statuses.
    pub const ALL: [MemberStatus; 6] = [
        MemberStatus::Serving,
        MemberStatus::Unheard,
        MemberStatus::Restarting,
        MemberStatus::CutOff,
        MemberStatus::Down,
        MemberStatus::Retired,
    ];

    /// Its name in documents and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberStatus::Serving => "serving",
            MemberStatus::Unheard => "unheard",
            MemberStatus::Restarting => "restarting",
            MemberStatus::CutOff => "cut-off",
            MemberStatus::Down => "down",
            MemberStatus::Retired => "retired",
        }
    }
}

/// The timeouts that determine the status.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTimeouts {
    /// A member whose last report is younger than this is serving.
    pub late: Nanos,
    /// The next process is expected within this time.
    pub restart: Nanos,
    /// A member that has been gone for this time is retired.
    pub retire: Nanos,
    /// Maximum number of members.
    pub most: usize,
}

impl Default for MembershipTimeouts {
    fn default() -> Self {
        MembershipTimeouts {
            late: 4 * SECOND,
            restart: 15 * SECOND,
            retire: 24 * 3600 * SECOND,
            most: 20_000,
        }
    }
}

/// The previous process of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousIncarnation {
    /// Its incarnation.
    pub boot: u64,
    /// Its program version.
    pub version: String,
    /// The config version that it applied.
    pub acting: Digest,
}

/// The stored record of a member: all that a standby needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: String,
    /// The incarnation of its process.
    pub boot: u64,
    /// Its data centre.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// The digest of the program file, where a supervisor runs it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Digest>,
    /// The config version that it applies.
    pub acting: Digest,
    /// The rollout of its last assignment.
    pub change: u64,
    /// The config version that it cannot apply.
    pub refused: Option<RejectedConfig>,
    /// How often a process of this name was followed by another.
    pub restarts: u64,
    /// Its previous process.
    pub before: Option<PreviousIncarnation>,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its stored record.
    pub told: MemberRecord,
    /// Its statistics since the start of the process.
    pub figures: ProxyStats,
    /// When this control service received its last report; `None`: not yet.
    pub heard: Option<Nanos>,
    seq: u64,
    /// When this control service learned of it.
    known_since: Nanos,
    /// Since when its reports have arrived without a gap.
    since: Nanos,
    /// When its stream ended, or it reported that it shuts down.
    ended_at: Option<Nanos>,
    /// The stream of its last report.
    stream: u64,
    /// Reports of an earlier incarnation while this one is silent.
    rival: Rival,
}

/// Reports of a process with an earlier incarnation while the present one is silent.
#[derive(Clone, Copy, Debug, Default)]
struct Rival {
    boot: u64,
    /// Its last sequence number.
    seq: u64,
    /// How many of its reports had increasing sequence numbers.
    reports: u32,
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The member was not known.
    New,
    /// Another process of a known member.
    Restarted,
    /// Its stored record has changed.
    Changed,
    /// Its stored record is unchanged.
    Same,
    /// The report is late, duplicated, or of an earlier process: it is ignored.
    Stale,
    /// The maximum number of members is reached.
    Full,
}

/// Number of increasing reports after which a process with a lower incarnation is accepted while the present one is silent: after its
/// clock was set back, a new process gets a lower incarnation than the old one.
const REPORTS_TO_ACCEPT: u32 = 3;

/// All members, by name.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    timeouts: MembershipTimeouts,
    instances: BTreeMap<String, Member>,
}

impl Membership {
    /// A membership without members.
    pub fn new(timeouts: MembershipTimeouts) -> Self {
        Membership { timeouts, instances: BTreeMap::new() }
    }

    /// Restores stored records; no report has been received yet.
    pub fn restore(
        timeouts: MembershipTimeouts,
        records: impl IntoIterator<Item = MemberRecord>,
        now: Nanos,
    ) -> Self {
        let instance = |record: MemberRecord| (record.name.clone(), Member::known(record, now));
        Membership { timeouts, instances: records.into_iter().map(instance).collect() }
    }

    /// The members, by name.
    pub fn instances(&self) -> impl Iterator<Item = &Member> {
        self.instances.values()
    }

    /// A member, if it is known.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.instances.get(name)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Processes a report that arrived on a stream. Streams are numbered in the order in which they were opened.
    pub fn hear(&mut self, name: &str, report: Report, stream: u64, now: Nanos) -> ReportOutcome {
        let Some(known) = self.instances.get_mut(name) else {
            if !self.has_room(now) {
                return ReportOutcome::Full;
            }
            let mut instance = Member::known(report.record(name, None), now);
            instance.accept(report, stream, now, self.timeouts.late);
            self.instances.insert(name.to_owned(), instance);
            return ReportOutcome::New;
        };
        let late = self.timeouts.late;
        if report.boot != known.told.boot {
            if report.boot < known.told.boot && !known.yields_to(&report, now, late) {
                return ReportOutcome::Stale;
            }
            known.told = report.record(name, Some(&known.told));
            known.accept(report, stream, now, 0);
            return ReportOutcome::Restarted;
        }
        if known.heard.is_some() && report.seq <= known.seq {
            return ReportOutcome::Stale;
        }
        let record = MemberRecord {
            restarts: known.told.restarts,
            before: known.told.before.clone(),
            ..report.record(name, None)
        };
        let has_changed = record != known.told;
        known.told = record;
        known.accept(report, stream, now, late);
        if has_changed {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Same
        }
    }

    /// Notes that a stream of a member has ended. The end of a stream other than its last is ignored.
    pub fn ended(&mut self, name: &str, stream: u64, now: Nanos) {
        if let Some(known) = self.instances.get_mut(name).filter(|i| i.stream == stream && i.heard.is_some())
        {
            known.ended_at.get_or_insert(now);
        }
    }

    /// The status of a member.
    pub fn standing(&self, instance: &Member, now: Nanos) -> MemberStatus {
        let since = |then: Nanos| now.saturating_sub(then);
        let Some(heard) = instance.heard else {
            return if since(instance.known_since) < self.timeouts.retire {
                MemberStatus::Unheard
            } else {
                MemberStatus::Retired
            };
        };
        match instance.ended_at {
            _ if since(heard) >= self.timeouts.retire => MemberStatus::Retired,
            Some(ended) if since(ended) < self.timeouts.restart => MemberStatus::Restarting,
            Some(_) => MemberStatus::Down,
            None if since(heard) < self.timeouts.late => MemberStatus::Serving,
            None => MemberStatus::CutOff,
        }
    }

    /// Removes retired members; returns their names.
    pub fn forget(&mut self, now: Nanos) -> Vec<String> {
        let is_retired = |i: &&Member| self.standing(i, now) == MemberStatus::Retired;
        let names: Vec<String> = self.instances().filter(is_retired).map(|i| i.told.name.clone()).collect();
        names.iter().for_each(|n| drop(self.instances.remove(n)));
        names
    }

    /// Whether one more member can be added. Danger: a proxy with a new name at each start would fill the store.
    fn has_room(&mut self, now: Nanos) -> bool {
        if self.instances.len() >= self.timeouts.most {
            self.forget(now);
        }
        self.instances.len() < self.timeouts.most
    }
}

impl Member {
    fn known(record: MemberRecord, now: Nanos) -> Self {
        let (figures, heard, seq, ended_at, stream) = (ProxyStats::default(), None, 0, None, 0);
        Member {
            told: record,
            figures,
            heard,
            seq,
            known_since: now,
            since: now,
            ended_at,
            stream,
            rival: Rival::default(),
        }
    }

    /// Since when its reports have arrived without a gap, from its present process and on its present stream.
    pub fn since(&self) -> Nanos {
        self.since
    }

    fn accept(&mut self, report: Report, stream: u64, now: Nanos, late: Nanos) {
        let has_gap = self.heard.is_none_or(|heard| now.saturating_sub(heard) >= late);
        if has_gap || stream != self.stream {
            self.since = now;
        }
        self.seq = report.seq;
        self.figures = report.figures;
        self.heard = Some(now);
        self.stream = stream;
        self.rival = Rival::default();
        self.ended_at = if report.leaving { self.ended_at.or(Some(now)) } else { None };
    }

    /// Whether a process with a lower incarnation is accepted as the newer one.
    fn yields_to(&mut self, report: &Report, now: Nanos, late: Nanos) -> bool {
        let is_silent = self.heard.is_none_or(|heard| now.saturating_sub(heard) >= late);
        let Rival { boot, seq, reports } = self.rival;
        let has_advanced = boot == report.boot && report.seq > seq;
        self.rival = match (is_silent, has_advanced) {
            (false, _) => Rival::default(),
            (true, true) => Rival { boot, seq: report.seq, reports: reports + 1 },
            (true, false) if boot == report.boot => self.rival,
            (true, false) => Rival { boot: report.boot, seq: report.seq, reports: 1 },
        };
        self.rival.reports >= REPORTS_TO_ACCEPT
    }
}

impl Report {
    fn record(&self, name: &str, before: Option<&MemberRecord>) -> MemberRecord {
        MemberRecord {
            name: name.to_owned(),
            boot: self.boot,
            zone: self.zone.clone(),
            version: self.version.clone(),
            program: self.program,
            acting: self.acting,
            change: self.change,
            refused: self.refused.clone(),
            restarts: before.map_or(0, |previous| previous.restarts + 1),
            before: before.map(|previous| PreviousIncarnation {
                boot: previous.boot,
                version: previous.version.clone(),
                acting: previous.acting,
            }),
        }
    }
}
