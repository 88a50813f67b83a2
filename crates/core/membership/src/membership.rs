//! The instances, and how each stands.

use crate::{Nanos, ProxyStats, RejectedConfig, Report, SECOND};
use rushquay_config_version::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStatus {
    /// It was heard lately.
    Serving,
    /// It is known from what was kept, and this control service has not heard it yet.
    Unheard,
    /// Its stream has ended or it said that it leaves, and the next process under its name has time to come.
    Restarting,
    /// Nothing is heard of it, and its stream has not ended: a machine or link that is gone says nothing.
    CutOff,
    /// Its stream has ended and no process has come since.
    Down,
    /// It has been gone for so long that nobody waits for it.
    Retired,
}

impl MemberStatus {
    /// All of them.
    pub const ALL: [MemberStatus; 6] = [
        MemberStatus::Serving,
        MemberStatus::Unheard,
        MemberStatus::Restarting,
        MemberStatus::CutOff,
        MemberStatus::Down,
        MemberStatus::Retired,
    ];

    /// Its name, as it is written.
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

/// Spans by which standings are told.
#[derive(Clone, Copy, Debug)]
pub struct MembershipTimeouts {
    /// Heard within this time it serves.
    pub late: Nanos,
    /// The next process comes within this time.
    pub restart: Nanos,
    /// Gone for so long it is retired.
    pub retire: Nanos,
    /// Instances known at once.
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

/// What an instance was before its present boot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousIncarnation {
    /// The boot.
    pub boot: u64,
    /// The program.
    pub version: String,
    /// What it acted by.
    pub acting: Digest,
}

/// What is kept of an instance: all that a standby needs to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: String,
    /// Its boot.
    pub boot: u64,
    /// Its data centre.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// The program, by the digest of its file, where a host runs it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Digest>,
    /// What it acts by.
    pub acting: Digest,
    /// The change that it was told last.
    pub change: u64,
    /// What it can't obey.
    pub refused: Option<RejectedConfig>,
    /// How often a process of this name was followed by another.
    pub restarts: u64,
    /// What it was before.
    pub before: Option<PreviousIncarnation>,
}

/// One instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// What is kept of it.
    pub told: MemberRecord,
    /// What it has counted in this boot; nothing before it is heard.
    pub figures: ProxyStats,
    /// When it was heard last, by this control service; `None`: not yet.
    pub heard: Option<Nanos>,
    seq: u64,
    /// When this control service came to know it.
    known: Nanos,
    /// Since when it has been heard without a gap.
    since: Nanos,
    /// When its stream ended, or it said that it leaves.
    ended: Option<Nanos>,
    /// The stream on which it was heard last.
    stream: u64,
    /// Word of an earlier boot: which one, its last number, and how often it counted up while this one was silent.
    rival: (u64, u64, u32),
}

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// An instance that was not known.
    New,
    /// Another process under a name that was.
    Restarted,
    /// What is kept of it has changed.
    Changed,
    /// As before.
    Same,
    /// Late, doubled, or of an earlier process: nothing of it counts.
    Stale,
    /// No more instances are taken.
    Full,
}

/// A clock that was set back gives a new process a lower number than the old one had: it is believed once it was heard so
/// often while the other is silent.
const SURE: u32 = 3;

/// All instances, by name.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    terms: MembershipTimeouts,
    instances: BTreeMap<String, Member>,
}

impl Membership {
    /// Nobody is known.
    pub fn new(terms: MembershipTimeouts) -> Self {
        Membership { terms, instances: BTreeMap::new() }
    }

    /// Goes on from what was kept; nobody has been heard yet.
    pub fn restore(
        terms: MembershipTimeouts,
        kept: impl IntoIterator<Item = MemberRecord>,
        now: Nanos,
    ) -> Self {
        let instance = |told: MemberRecord| (told.name.clone(), Member::known(told, now));
        Membership { terms, instances: kept.into_iter().map(instance).collect() }
    }

    /// The instances, by name.
    pub fn instances(&self) -> impl Iterator<Item = &Member> {
        self.instances.values()
    }

    /// One instance.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.instances.get(name)
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Takes a report that came on a stream. Streams are numbered in the order in which they were opened.
    pub fn hear(&mut self, name: &str, report: Report, stream: u64, now: Nanos) -> ReportOutcome {
        let Some(known) = self.instances.get_mut(name) else {
            if !self.room(now) {
                return ReportOutcome::Full;
            }
            let mut instance = Member::known(report.told(name, None), now);
            instance.take(report, stream, now, self.terms.late);
            self.instances.insert(name.to_owned(), instance);
            return ReportOutcome::New;
        };
        let late = self.terms.late;
        if report.boot != known.told.boot {
            if report.boot < known.told.boot && !known.yields_to(&report, now, late) {
                return ReportOutcome::Stale;
            }
            known.told = report.told(name, Some(&known.told));
            known.take(report, stream, now, 0);
            return ReportOutcome::Restarted;
        }
        if known.heard.is_some() && report.seq <= known.seq {
            return ReportOutcome::Stale;
        }
        let told = MemberRecord {
            restarts: known.told.restarts,
            before: known.told.before.clone(),
            ..report.told(name, None)
        };
        let changed = told != known.told;
        known.told = told;
        known.take(report, stream, now, late);
        if changed {
            ReportOutcome::Changed
        } else {
            ReportOutcome::Same
        }
    }

    /// A stream of an instance has ended. Word of a stream that is not its last says nothing.
    pub fn ended(&mut self, name: &str, stream: u64, now: Nanos) {
        if let Some(known) = self.instances.get_mut(name).filter(|i| i.stream == stream && i.heard.is_some())
        {
            known.ended.get_or_insert(now);
        }
    }

    /// How an instance stands.
    pub fn standing(&self, instance: &Member, now: Nanos) -> MemberStatus {
        let since = |then: Nanos| now.saturating_sub(then);
        let Some(heard) = instance.heard else {
            return if since(instance.known) < self.terms.retire {
                MemberStatus::Unheard
            } else {
                MemberStatus::Retired
            };
        };
        match instance.ended {
            _ if since(heard) >= self.terms.retire => MemberStatus::Retired,
            Some(ended) if since(ended) < self.terms.restart => MemberStatus::Restarting,
            Some(_) => MemberStatus::Down,
            None if since(heard) < self.terms.late => MemberStatus::Serving,
            None => MemberStatus::CutOff,
        }
    }

    /// Forgets those that are retired; returns their names.
    pub fn forget(&mut self, now: Nanos) -> Vec<String> {
        let retired = |i: &&Member| self.standing(i, now) == MemberStatus::Retired;
        let names: Vec<String> = self.instances().filter(retired).map(|i| i.told.name.clone()).collect();
        names.iter().for_each(|n| drop(self.instances.remove(n)));
        names
    }

    /// Whether one more may come. Danger: whoever names itself anew with each start would fill what is kept.
    fn room(&mut self, now: Nanos) -> bool {
        if self.instances.len() >= self.terms.most {
            self.forget(now);
        }
        self.instances.len() < self.terms.most
    }
}

impl Member {
    fn known(told: MemberRecord, now: Nanos) -> Self {
        let (figures, heard, seq, ended, stream) = (ProxyStats::default(), None, 0, None, 0);
        Member { told, figures, heard, seq, known: now, since: now, ended, stream, rival: (0, 0, 0) }
    }

    /// Since when it has been heard without a gap, in its present boot and on its present stream.
    pub fn since(&self) -> Nanos {
        self.since
    }

    fn take(&mut self, report: Report, stream: u64, now: Nanos, late: Nanos) {
        let gap = self.heard.is_none_or(|heard| now.saturating_sub(heard) >= late);
        if gap || stream != self.stream {
            self.since = now;
        }
        self.seq = report.seq;
        self.figures = report.figures;
        self.heard = Some(now);
        self.stream = stream;
        self.rival = (0, 0, 0);
        self.ended = if report.leaving { self.ended.or(Some(now)) } else { None };
    }

    /// Whether a process with an earlier boot is believed to be the newer one.
    fn yields_to(&mut self, report: &Report, now: Nanos, late: Nanos) -> bool {
        let silent = self.heard.is_none_or(|heard| now.saturating_sub(heard) >= late);
        let (boot, seq, times) = self.rival;
        let goes_on = boot == report.boot && report.seq > seq;
        self.rival = match (silent, goes_on) {
            (false, _) => (0, 0, 0),
            (true, true) => (boot, report.seq, times + 1),
            (true, false) if boot == report.boot => self.rival,
            (true, false) => (report.boot, report.seq, 1),
        };
        self.rival.2 >= SURE
    }
}

impl Report {
    fn told(&self, name: &str, before: Option<&MemberRecord>) -> MemberRecord {
        MemberRecord {
            name: name.to_owned(),
            boot: self.boot,
            zone: self.zone.clone(),
            version: self.version.clone(),
            program: self.program,
            acting: self.acting,
            change: self.change,
            refused: self.refused.clone(),
            restarts: before.map_or(0, |b| b.restarts + 1),
            before: before.map(|b| PreviousIncarnation {
                boot: b.boot,
                version: b.version.clone(),
                acting: b.acting,
            }),
        }
    }
}
