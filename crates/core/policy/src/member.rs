//! A proxy's side: what it acts by now. It decides nothing; without word for too long it acts by the floor, and then by nothing.

use crate::messages::{Incarnation, LeaseGrant, LeaseRequest, PolicySet};
use crate::record::Revision;
use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Asks that may be answered. Danger: an answer to one that is forgotten grants nothing; one a second for half a minute is more than any
/// leave is long.
const ASKED: usize = 32;

/// What a proxy acts by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActivePolicy {
    /// By what it was told, and has leave for.
    Leased(PolicySet),
    /// Its leave has run out: by the floor.
    Fallback,
    /// It was never told anything, or has had no word for longer than the floor may be acted by: it serves nobody.
    Denied,
}

/// What a proxy does that has just started and is not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartupPolicy {
    /// It serves nobody until it is.
    Waits,
    /// After so long it acts by the floor that its own file names.
    FloorAfter(Nanos),
}

/// What a process tells the one that takes over from it, on the same machine and so by the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSnapshot {
    /// The newest revision that it heard of.
    pub heard: Revision,
    /// What it acts by.
    pub told: Option<(Revision, PolicySet)>,
    /// Until when it has leave for that.
    pub until: Nanos,
    /// For so long beyond that it may act by the floor.
    pub floor: Nanos,
}

/// A proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    boot: Incarnation,
    /// When it started, and what it does until it is answered.
    started: Nanos,
    unanswered: StartupPolicy,
    /// For so long beyond its leave it may act by the floor, as the last leave said.
    floor: Nanos,
    /// Counts up with each ask.
    seq: u64,
    /// Asks that are not answered, the oldest first: when each was sent.
    asked: VecDeque<(u64, Nanos)>,
    /// The newest revision that was ever heard of; older word is passed over, whatever becomes of this one.
    heard: Revision,
    /// What it acts by, and until when.
    told: Option<(Revision, PolicySet)>,
    until: Nanos,
    refused: Option<(Revision, String)>,
}

impl Member {
    /// One that starts now and knows nothing.
    pub fn new(boot: Incarnation, unanswered: StartupPolicy, now: Nanos) -> Self {
        Member {
            boot,
            started: now,
            unanswered,
            floor: 0,
            seq: 0,
            asked: VecDeque::new(),
            heard: Revision(0),
            told: None,
            until: 0,
            refused: None,
        }
    }

    /// What a process that takes over from this one is to know.
    pub fn snapshot(&self) -> MemberSnapshot {
        MemberSnapshot { heard: self.heard, told: self.told, until: self.until, floor: self.floor }
    }

    /// A process that takes over from another now: it has heard what that one has, so that it never goes back behind it. Danger: it
    /// has no leave. The coordinator knows of that one's alone; acted by here, it would stand after that one has said that it acts by
    /// something newer. Until it is answered it acts by the floor.
    pub fn take_over(
        boot: Incarnation,
        unanswered: StartupPolicy,
        handed: MemberSnapshot,
        now: Nanos,
    ) -> Self {
        let MemberSnapshot { heard, told, until, floor } = handed;
        Member { heard, told, until: until.min(now), floor, ..Member::new(boot, unanswered, now) }
    }

    /// What it acts by now. A request reads it once, and ends by what it read.
    pub fn acting(&self, now: Nanos) -> ActivePolicy {
        self.standing(now).0
    }

    /// What it acts by now, and until when, if it hears nothing.
    pub fn standing(&self, now: Nanos) -> (ActivePolicy, Nanos) {
        match self.told {
            Some((_, told)) if now < self.until => (ActivePolicy::Leased(told), self.until),
            Some(_) => match self.until.saturating_add(self.floor) {
                over if now < over => (ActivePolicy::Fallback, over),
                _ => (ActivePolicy::Denied, Nanos::MAX),
            },
            None => match self.unanswered {
                StartupPolicy::Waits => (ActivePolicy::Denied, Nanos::MAX),
                StartupPolicy::FloorAfter(wait) => match self.started.saturating_add(wait) {
                    begins if now < begins => (ActivePolicy::Denied, begins),
                    _ => (ActivePolicy::Fallback, Nanos::MAX),
                },
            },
        }
    }

    /// The revision that it acts by; 0: none.
    pub fn revision(&self) -> Revision {
        self.told.map_or(Revision(0), |(revision, _)| revision)
    }

    /// When its leave runs out.
    pub fn until(&self) -> Nanos {
        self.until
    }

    /// What it was told last, whether or not it still has leave for it.
    pub fn told(&self) -> Option<PolicySet> {
        self.told.map(|(_, told)| told)
    }

    /// Its process.
    pub fn boot(&self) -> Incarnation {
        self.boot
    }

    /// What to ask now.
    pub fn ask(&mut self, now: Nanos) -> LeaseRequest {
        self.seq += 1;
        self.asked.push_back((self.seq, now));
        while self.asked.len() > ASKED {
            self.asked.pop_front();
        }
        let acting = if now < self.until { self.revision() } else { Revision(0) };
        LeaseRequest {
            boot: self.boot,
            seq: self.seq,
            acting,
            heard: self.heard,
            refused: self.refused.clone(),
        }
    }

    /// Takes an answer. `obey`: whether this proxy can obey what it says, or why not. Returns whether what it acts by has changed.
    pub fn granted(
        &mut self,
        grant: &LeaseGrant,
        obey: impl FnOnce(PolicySet) -> Result<(), String>,
    ) -> bool {
        if grant.boot != self.boot || grant.revision < self.heard {
            return false;
        }
        let Some(at) = self.asked.iter().position(|(seq, _)| *seq == grant.seq) else { return false };
        let (_, sent) = self.asked[at];
        // Danger: counted from when it came, a grant that was long on its way, or came from one that was stopped in between, would last
        // past the moment at which the coordinator takes it to be over.
        let until = sent.saturating_add(grant.span);
        self.floor = grant.floor;
        if grant.revision > self.heard {
            self.heard = grant.revision;
            if let Err(why) = obey(grant.told) {
                // It goes on by what it had, as long as its leave for that lasts.
                self.refused = Some((grant.revision, why));
                return false;
            }
            self.refused = None;
            self.told = Some((grant.revision, grant.told));
            self.until = until;
            return true;
        }
        // Leave for what it can't obey is no leave for what it does.
        if self.revision() == grant.revision {
            self.until = self.until.max(until);
        }
        false
    }
}
