//! The policies that are still of use, and the floors that somebody may still act by.

use crate::coordinator::LeaseTerms;
use crate::document::{FallbackPolicy, Policy, PolicyError};
use crate::messages::{Incarnation, LeaseRequest};
use crate::record::{PolicyNumber, PolicyRecord, Revision};
use crate::Nanos;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// So many that are over stay for people to look at, and to be proposed again.
const STAY: usize = 8;
/// So many processes are named to people.
const NAMED: usize = 5;

/// A leave that a process was granted, and may have lost since: it goes by this policy's floor then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leave {
    of: PolicyNumber,
    granted: Nanos,
}

/// The policies that are kept, and who may stand on which floor.
#[derive(Clone, Debug)]
pub struct PolicyArchive {
    policies: BTreeMap<PolicyNumber, Policy>,
    /// Those that have held: somebody may act by their floors. One that was proposed and never held has told nobody to.
    held: BTreeSet<PolicyNumber>,
    /// What holds where nothing was ever proposed.
    first: Policy,
    /// By process and revision: the leaves that it may still stand behind.
    leaves: BTreeMap<(String, Incarnation), BTreeMap<Revision, Leave>>,
    /// Since when this leader leads. Danger: whom those before it gave leave it does not know.
    since: Nanos,
}

/// Why a policy can't be proposed now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnfitPolicy {
    /// It is none.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// Proxies without leave would go on more loosely than all others.
    #[error(
        "it is stricter than the floor of policy {of} in {}, by which {} may act for {for_s} s more: hold a policy first whose floor is \
         stricter, and then this one",
        .paths.join(", "),
        named(.who)
    )]
    BelowFloor {
        /// Whose floor.
        of: u64,
        /// Where.
        paths: Vec<String>,
        /// Who, where that is known.
        who: Vec<String>,
        /// For so long at the most, in seconds.
        for_s: u64,
    },
}

fn named(who: &[String]) -> String {
    match who.len() {
        0 => "proxies that are cut off".into(),
        n if n > NAMED => format!("{} and {} more", who[..NAMED].join(", "), n - NAMED),
        _ => who.join(", "),
    }
}

/// Who may act by a floor, and until when.
struct Users {
    who: BTreeSet<String>,
    until: Nanos,
}

impl PolicyArchive {
    /// What was kept, when a leader begins.
    pub fn lead(
        kept: BTreeMap<PolicyNumber, Policy>,
        first: FallbackPolicy,
        record: &PolicyRecord,
        now: Nanos,
    ) -> Self {
        let proposed = record.policy_set().numbers().nth(1);
        let held = kept.keys().copied().chain([PolicyNumber(0)]).filter(|n| Some(*n) != proposed).collect();
        let leaves = BTreeMap::new();
        PolicyArchive { policies: kept, held, first: Policy::base(first), leaves, since: now }
    }

    /// A policy, where it is kept.
    pub fn get(&self, number: PolicyNumber) -> Option<&Policy> {
        self.policies.get(&number).or((number == PolicyNumber(0)).then_some(&self.first))
    }

    /// Puts one there that was kept in the store.
    pub fn put(&mut self, number: PolicyNumber, policy: Policy) {
        self.policies.insert(number, policy);
    }

    /// The record stands so now.
    pub fn moved(&mut self, record: &PolicyRecord) {
        self.held.insert(record.holds);
    }

    /// A process has asked, and is granted leave for what the record says.
    pub fn granted(&mut self, name: &str, ask: &LeaseRequest, record: &PolicyRecord, now: Nanos) {
        let leaves = self.leaves.entry((name.to_owned(), ask.boot)).or_default();
        // What it acts by it never goes back behind, nor to the floors before it.
        leaves.retain(|revision, _| *revision >= ask.acting);
        leaves.insert(record.revision, Leave { of: record.holds, granted: now });
    }

    /// Forgets the leaves behind which nobody can stand any more, and gives the policies that can be dropped: of no use to anybody, and
    /// not among the last.
    pub fn useless(&mut self, record: &PolicyRecord, terms: &LeaseTerms, now: Nanos) -> Vec<PolicyNumber> {
        let over = terms.floor_over();
        self.leaves.retain(|_, leaves| {
            leaves.retain(|_, leave| now.saturating_sub(leave.granted) <= over);
            !leaves.is_empty()
        });
        let most = self.policies.len().saturating_sub(STAY);
        let free = |n: &PolicyNumber| {
            !record.policy_set().numbers().any(|named| named == *n)
                && self.users(*n, record, terms, now).is_none()
        };
        self.policies.keys().copied().filter(free).take(most).collect()
    }

    /// Forgets some.
    pub fn forget(&mut self, numbers: &[PolicyNumber]) {
        numbers.iter().for_each(|number| drop(self.policies.remove(number)));
    }

    /// Who may act by the floor of a policy; `None`: nobody.
    fn users(
        &self,
        number: PolicyNumber,
        record: &PolicyRecord,
        terms: &LeaseTerms,
        now: Nanos,
    ) -> Option<Users> {
        if !self.held.contains(&number) {
            return None;
        }
        let over = terms.floor_over();
        let mut users = Users { who: BTreeSet::new(), until: 0 };
        for ((name, _), leaves) in &self.leaves {
            let last = leaves.values().filter(|leave| leave.of == number).map(|leave| leave.granted).max();
            if let Some(until) = last.map(|at| at.saturating_add(over)).filter(|until| now <= *until) {
                users.who.insert(name.clone());
                users.until = users.until.max(until);
            }
        }
        // Whom leaders before this one gave leave, and whoever has it and loses it now.
        let unknown = self.since.saturating_add(over);
        if number == record.holds {
            users.until = now.saturating_add(over);
        } else if now <= unknown {
            users.until = users.until.max(unknown);
        }
        (users.until > 0).then_some(users)
    }

    /// A policy with these settings, where it may be proposed now. Without a floor of its own it has that of the one that holds.
    ///
    /// # Errors
    /// See [`Unfit`].
    pub fn fit(
        &self,
        settings: &Value,
        floor: Option<&Value>,
        (record, terms): (&PolicyRecord, &LeaseTerms),
        now: Nanos,
    ) -> Result<Policy, UnfitPolicy> {
        let floor = match floor.filter(|f| !f.is_null()) {
            Some(told) => FallbackPolicy::read(told)?,
            None => self.get(record.holds).map_or(FallbackPolicy::Nobody, |p| p.floor.clone()),
        };
        let policy = Policy::of(settings, floor)?;
        for number in &self.held {
            let Some(other) = self.get(*number) else { continue };
            let paths = other.floor.looser(&policy.settings);
            if paths.is_empty() {
                continue;
            }
            if let Some(users) = self.users(*number, record, terms, now) {
                let who = match *number == record.holds {
                    true => vec!["whoever loses its leave".into()],
                    false => users.who.into_iter().collect(),
                };
                let for_s = users.until.saturating_sub(now).div_ceil(1_000_000_000);
                return Err(UnfitPolicy::BelowFloor { of: number.0, paths, who, for_s });
            }
        }
        Ok(policy)
    }
}
