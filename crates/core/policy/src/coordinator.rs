//! The leader's side: who may still act by what, and when a change is decided.

use crate::messages::{Incarnation, LeaseGrant, LeaseRequest};
use crate::record::{ChangeOutcome, Phase, PolicyRecord, Revision};
use crate::Nanos;
use std::collections::BTreeMap;

/// Spans of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// A leave lasts so long, by the member's clock.
    pub span: Nanos,
    /// Clocks run so many parts in a million fast or slow at the most, below 500,000.
    pub drift_ppm: u64,
    /// A change that is not decided by then is aborted, counted while this leader leads.
    pub limit: Nanos,
    /// For so long beyond its leave a member may act by the floor, by its clock.
    pub floor: Nanos,
}

impl LeaseTerms {
    /// After so long, by this leader's clock, a leave that was granted is surely over by the member's. The member's clock may be slow
    /// and this one fast: S/(1-d) of true time for the leave, of which this clock shows (1+d).
    pub fn over(&self) -> Nanos {
        self.stretched(self.span)
    }

    /// After so long, by this leader's clock, nobody acts by the floor any more of a leave that was granted.
    pub fn floor_over(&self) -> Nanos {
        self.stretched(self.span.saturating_add(self.floor))
    }

    fn stretched(&self, span: Nanos) -> Nanos {
        const PPM: u128 = 1_000_000;
        let drift = u128::from(self.drift_ppm.min(500_000));
        let over = (u128::from(span) * (PPM + drift)).div_ceil(PPM - drift);
        Nanos::try_from(over).unwrap_or(Nanos::MAX)
    }
}

/// A process of a member, as this leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seat {
    /// By revision: when leave for it was granted last. Those that are over are forgotten.
    leaves: BTreeMap<Revision, Nanos>,
    /// The newest revision that it said it acts by.
    acting: Revision,
    refused: Option<(Revision, String)>,
}

/// Who holds a change up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BlockedReason {
    /// The member; empty: this leader itself, which has only just begun.
    pub name: String,
    /// Its process.
    pub boot: Incarnation,
    /// When it is fenced and waited for no more, by this leader's clock.
    pub fenced_at: Nanos,
}

/// The leader of an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    terms: LeaseTerms,
    record: PolicyRecord,
    /// Since when it leads.
    since: Nanos,
    /// Since when it knows of the change under way.
    change_since: Nanos,
    seats: BTreeMap<(String, Incarnation), Seat>,
    /// Who has heard of a revision that the store does not know.
    beyond: Option<(String, Revision)>,
}

impl Coordinator {
    /// Leads from now on, on what stands in the store.
    pub fn lead(terms: LeaseTerms, record: PolicyRecord, now: Nanos) -> Self {
        Coordinator { terms, record, since: now, change_since: now, seats: BTreeMap::new(), beyond: None }
    }

    /// What stands in the store, as far as it is known here.
    pub fn record(&self) -> &PolicyRecord {
        &self.record
    }

    /// A record stands in the store from now on. Danger: told before it stands there, a decision would be known to members and to no
    /// successor.
    pub fn kept(&mut self, record: PolicyRecord, now: Nanos) {
        self.record = record;
        self.change_since = now;
    }

    /// Who has heard of a revision that the store does not know: the store was lost, or is an older copy. What others act by is not known
    /// here then, so nobody has leave and nothing is decided.
    pub fn behind(&self) -> Option<(&str, Revision)> {
        let beyond = self.beyond.as_ref().filter(|(_, revision)| *revision > self.record.revision);
        beyond.map(|(name, revision)| (name.as_str(), *revision))
    }

    /// When nobody can act any more by what leaders before this one gave leave for, by this leader's clock.
    pub fn alone_from(&self) -> Nanos {
        self.since.saturating_add(self.terms.over())
    }

    /// A member has asked, and is answered; `None`: nobody has leave. The caller must lead, by its own clock, as it calls this.
    pub fn hear(&mut self, name: &str, ask: &LeaseRequest, now: Nanos) -> Option<LeaseGrant> {
        // Danger: granted leave for what such a store says, a proxy that has just started would act by it beside those that act by what is
        // not there any more.
        if ask.heard > self.beyond.as_ref().map_or(self.record.revision, |(_, revision)| *revision) {
            self.beyond = Some((name.to_owned(), ask.heard));
        }
        if self.behind().is_some() {
            return None;
        }
        let over = self.terms.over();
        let seat = self.seats.entry((name.to_owned(), ask.boot)).or_default();
        // Word that comes late says less than is known; a process never goes back to an earlier revision.
        seat.acting = seat.acting.max(ask.acting);
        if ask.refused.as_ref().map(|r| r.0) > seat.refused.as_ref().map(|r| r.0) {
            seat.refused.clone_from(&ask.refused);
        }
        seat.leaves.retain(|_, granted| now.saturating_sub(*granted) <= over);
        seat.leaves.insert(self.record.revision, now);
        let (revision, told) = (self.record.revision, self.record.policy_set());
        let LeaseTerms { span, floor, .. } = self.terms;
        Some(LeaseGrant { boot: ask.boot, seq: ask.seq, revision, told, span, floor })
    }

    /// Who may still act by something older than the present revision.
    pub fn holdups(&self, now: Nanos) -> Vec<BlockedReason> {
        let over = self.terms.over();
        let mut holdups = Vec::new();
        // Danger: whoever led before may have granted leave to members that this one has never heard of, up to the end of its lease.
        let own = self.alone_from();
        if now <= own {
            holdups.push(BlockedReason { name: String::new(), boot: Incarnation(0), fenced_at: own });
        }
        for ((name, boot), seat) in &self.seats {
            // One that acts by the present revision never goes back to an earlier one.
            if seat.acting >= self.record.revision {
                continue;
            }
            let older = seat.leaves.range(..self.record.revision).map(|(_, at)| at.saturating_add(over));
            if let Some(fenced_at) = older.max().filter(|fenced_at| now <= *fenced_at) {
                holdups.push(BlockedReason { name: name.clone(), boot: *boot, fenced_at });
            }
        }
        holdups
    }

    /// How the change under way ends now, if it does: what is to be kept, and only then counts.
    pub fn step(&mut self, now: Nanos) -> Option<PolicyRecord> {
        let over = self.terms.over();
        self.seats.retain(|_, seat| seat.leaves.values().any(|granted| now.saturating_sub(*granted) <= over));
        let Phase::Joint(_) = self.record.phase else { return None };
        if self.behind().is_some() {
            return None;
        }
        let revision = self.record.revision;
        let refused = self.seats.iter().find_map(|((name, _), seat)| {
            let (_, why) = seat.refused.as_ref().filter(|(what, _)| *what == revision)?;
            Some(ChangeOutcome::Refused { name: name.clone(), why: why.clone() })
        });
        let holdups = self.holdups(now);
        let how = match (refused, holdups.is_empty()) {
            (Some(refused), _) => refused,
            (None, true) => ChangeOutcome::Committed,
            (None, false) if now.saturating_sub(self.change_since) > self.terms.limit => {
                let name = |h: &BlockedReason| {
                    if h.name.is_empty() {
                        "a leader that has only just begun".into()
                    } else {
                        h.name.clone()
                    }
                };
                ChangeOutcome::OverTime { held_up_by: holdups.iter().map(name).collect() }
            }
            (None, false) => return None,
        };
        self.record.conclude(how)
    }

    /// The processes that have leave now, as far as this leader knows: name, process, and the newest revision that each said it acts by.
    pub fn members(&self) -> impl Iterator<Item = (&str, Incarnation, Revision)> {
        self.seats.iter().map(|((name, boot), seat)| (name.as_str(), *boot, seat.acting))
    }

    /// The spans that it goes by.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// By when the change under way has an end at the latest, by this leader's clock.
    pub fn gives_up(&self) -> Nanos {
        self.change_since.saturating_add(self.terms.limit)
    }
}
