//! The members, and how their status follows from reports, streams and time.

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
    /// It is known from stored records only; this control service has not received a report from it yet.
    Unheard,
    /// Its stream has ended or it reported that it is shutting down, and [`MembershipTimeouts::restart`] has not passed since.
    Restarting,
    /// Its reports have stopped but its stream has not ended, as when a machine or a link fails.
    CutOff,
    /// Its stream has ended, and no new process has reported in time.
    Down,
    /// It has not reported for [`MembershipTimeouts::retire`] and is not expected to return.
    Retired,
}

impl MemberStatus {
    /// All values, in the order of declaration.
    pub const ALL: [MemberStatus; 6] = [
        MemberStatus::Serving,
        MemberStatus::Unheard,
        MemberStatus::Restarting,
        MemberStatus::CutOff,
        MemberStatus::Down,
        MemberStatus::Retired,
    ];

    /// The status as written in JSON documents and metric labels.
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

/// The timeouts that determine a member's status, and the bound on the number of members.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTimeouts {
    /// Maximum age of the last report of a member that counts as serving.
    pub late: Nanos,
    /// Time after the end of a process within which the next one is expected.
    pub restart: Nanos,
    /// Time without a report after which a member is retired.
    pub retire: Nanos,
    /// Maximum number of members.
    pub max_members: usize,
}

impl Default for MembershipTimeouts {
    fn default() -> Self {
        MembershipTimeouts {
            late: 4 * SECOND,
            restart: 15 * SECOND,
            retire: 24 * 3600 * SECOND,
            max_members: 20_000,
        }
    }
}

/// The previous process of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousIncarnation {
    /// Its incarnation.
    pub boot: u64,
    /// The version of its program.
    pub version: String,
    /// The config version that it applied.
    pub acting: Digest,
}

/// The stored record of a member, from which a standby restores it when it takes over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: String,
    /// The incarnation of its present process.
    pub boot: u64,
    /// Its data centre.
    pub zone: String,
    /// The version of its program.
    pub version: String,
    /// The digest of the program file if a supervisor runs the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Digest>,
    /// The config version that it applies.
    pub acting: Digest,
    /// The number of the rollout that made its last config assignment; 0: none.
    pub change: u64,
    /// The config version that it was last assigned and cannot apply.
    pub refused: Option<RejectedConfig>,
    /// How often a new process has replaced the previous one of this name.
    pub restarts: u64,
    /// Its previous process; `None`: no restart was seen.
    pub before: Option<PreviousIncarnation>,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its stored record.
    pub record: MemberRecord,
    /// The statistics of its present process since that started.
    pub figures: ProxyStats,
    /// When this control service received its last report; `None`: it has received none yet.
    pub last_report_at: Option<Nanos>,
    /// Sequence number of its last report.
    last_seq: u64,
    /// When this control service learned of it, from a report or a stored record.
    known_since: Nanos,
    /// See [`Member::since`].
    uninterrupted_since: Nanos,
    /// When its stream ended, or it reported that it is shutting down.
    ended_at: Option<Nanos>,
    /// The number of the stream of its last report.
    last_stream: u64,
    /// Reports from a lower incarnation while the present one is silent.
    lower_incarnation: LowerIncarnation,
}

/// Reports from a process with a lower incarnation while the present one is silent.
#[derive(Clone, Copy, Debug, Default)]
struct LowerIncarnation {
    boot: u64,
    /// Sequence number of its last counted report.
    last_seq: u64,
    /// Number of its reports so far, counting only those with increasing sequence numbers.
    reports: u32,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The member was not known.
    New,
    /// A new process of a known member.
    Restarted,
    /// Its stored record has changed.
    Changed,
    /// Its stored record is unchanged.
    Same,
    /// The report was late, a duplicate, or from an earlier process, and was ignored.
    Stale,
    /// The member is unknown, and the maximum number of members is reached.
    Full,
}

/// Number of reports with increasing sequence numbers after which a process with a lower incarnation replaces a silent one. A new process
/// gets a lower incarnation than the old one if the machine's clock was set back.
const MIN_REPORTS_TO_REPLACE: u32 = 3;

/// All members, by name.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    timeouts: MembershipTimeouts,
    members: BTreeMap<String, Member>,
}

impl Membership {
    /// An empty membership.
    pub fn new(timeouts: MembershipTimeouts) -> Self {
        Membership { timeouts, members: BTreeMap::new() }
    }

    /// Restores members from stored records. Each is [`MemberStatus::Unheard`] until its first report.
    pub fn restore(
        timeouts: MembershipTimeouts,
        records: impl IntoIterator<Item = MemberRecord>,
        now: Nanos,
    ) -> Self {
        let named_member = |record: MemberRecord| (record.name.clone(), Member::from_record(record, now));
        Membership { timeouts, members: records.into_iter().map(named_member).collect() }
    }

    /// The members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member of this name, if it is known.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Processes a report that arrived on a stream. Streams are numbered in the order in which they were opened.
    pub fn process_report(&mut self, name: &str, report: Report, stream: u64, now: Nanos) -> ReportOutcome {
        let Some(member) = self.members.get_mut(name) else {
            if !self.has_capacity(now) {
                return ReportOutcome::Full;
            }
            let mut member = Member::from_record(report.record(name, None), now);
            member.accept(report, stream, now, self.timeouts.late);
            self.members.insert(name.to_owned(), member);
            return ReportOutcome::New;
        };
        let late = self.timeouts.late;
        if report.boot != member.record.boot {
            if report.boot < member.record.boot && !member.is_replaced_by(&report, now, late) {
                return ReportOutcome::Stale;
            }
            member.record = report.record(name, Some(&member.record));
            member.accept(report, stream, now, 0);
            return ReportOutcome::Restarted;
        }
        if member.last_report_at.is_some() && report.seq <= member.last_seq {
            return ReportOutcome::Stale;
        }
        let record = MemberRecord {
            restarts: member.record.restarts,
            before: member.record.before.clone(),
            ..report.record(name, None)
        };
        let has_changed = record != member.record;
        member.record = record;
        member.accept(report, stream, now, late);
        if has_changed {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Same
        }
    }

    /// Records that a stream of a member has ended. Only the end of the stream that carried its last report counts.
    pub fn stream_ended(&mut self, name: &str, stream: u64, now: Nanos) {
        if let Some(member) =
            self.members.get_mut(name).filter(|m| m.last_stream == stream && m.last_report_at.is_some())
        {
            member.ended_at.get_or_insert(now);
        }
    }

    /// The status of a member at `now`.
    pub fn status(&self, member: &Member, now: Nanos) -> MemberStatus {
        let since = |then: Nanos| now.saturating_sub(then);
        let Some(heard) = member.last_report_at else {
            return if since(member.known_since) < self.timeouts.retire {
                MemberStatus::Unheard
            } else {
                MemberStatus::Retired
            };
        };
        match member.ended_at {
            _ if since(heard) >= self.timeouts.retire => MemberStatus::Retired,
            Some(ended) if since(ended) < self.timeouts.restart => MemberStatus::Restarting,
            Some(_) => MemberStatus::Down,
            None if since(heard) < self.timeouts.late => MemberStatus::Serving,
            None => MemberStatus::CutOff,
        }
    }

    /// Removes retired members; returns their names.
    pub fn remove_retired(&mut self, now: Nanos) -> Vec<String> {
        let is_retired = |m: &&Member| self.status(m, now) == MemberStatus::Retired;
        let names: Vec<String> = self.members().filter(is_retired).map(|m| m.record.name.clone()).collect();
        names.iter().for_each(|n| drop(self.members.remove(n)));
        names
    }

    /// Whether another member can be added, after retired ones were removed if necessary. Danger: without the bound, a proxy with a new
    /// name at each start would fill the store.
    fn has_capacity(&mut self, now: Nanos) -> bool {
        if self.members.len() >= self.timeouts.max_members {
            self.remove_retired(now);
        }
        self.members.len() < self.timeouts.max_members
    }
}

impl Member {
    /// A member that has not reported yet.
    fn from_record(record: MemberRecord, now: Nanos) -> Self {
        let (figures, last_report_at, last_seq, ended_at, last_stream) =
            (ProxyStats::default(), None, 0, None, 0);
        Member {
            record,
            figures,
            last_report_at,
            last_seq,
            known_since: now,
            uninterrupted_since: now,
            ended_at,
            last_stream,
            lower_incarnation: LowerIncarnation::default(),
        }
    }

    /// Since when its reports have arrived without a gap, from the same process and on the same stream.
    pub fn since(&self) -> Nanos {
        self.uninterrupted_since
    }

    /// Takes over the state of an accepted report. `late` is the interval between reports that counts as a gap.
    fn accept(&mut self, report: Report, stream: u64, now: Nanos, late: Nanos) {
        let has_gap = self.last_report_at.is_none_or(|heard| now.saturating_sub(heard) >= late);
        if has_gap || stream != self.last_stream {
            self.uninterrupted_since = now;
        }
        self.last_seq = report.seq;
        self.figures = report.figures;
        self.last_report_at = Some(now);
        self.last_stream = stream;
        self.lower_incarnation = LowerIncarnation::default();
        self.ended_at = if report.leaving { self.ended_at.or(Some(now)) } else { None };
    }

    /// Records a report from a process with a lower incarnation; returns whether that process replaces the present one.
    fn is_replaced_by(&mut self, report: &Report, now: Nanos, late: Nanos) -> bool {
        let is_silent = self.last_report_at.is_none_or(|heard| now.saturating_sub(heard) >= late);
        let LowerIncarnation { boot, last_seq, reports } = self.lower_incarnation;
        let has_advanced = boot == report.boot && report.seq > last_seq;
        self.lower_incarnation = match (is_silent, has_advanced) {
            (false, _) => LowerIncarnation::default(),
            (true, true) => LowerIncarnation { boot, last_seq: report.seq, reports: reports + 1 },
            (true, false) if boot == report.boot => self.lower_incarnation,
            (true, false) => LowerIncarnation { boot: report.boot, last_seq: report.seq, reports: 1 },
        };
        self.lower_incarnation.reports >= MIN_REPORTS_TO_REPLACE
    }
}

impl Report {
    /// The record to store for this report, whose process replaces the one in `before`.
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
