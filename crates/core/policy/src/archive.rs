//! The archive of policies: those still of use, and those whose fallback policies may still be applied.

use crate::coordinator::LeaseTerms;
use crate::document::{FallbackPolicy, Policy, PolicyError};
use crate::messages::LeaseRequest;
use crate::policy_set::{Incarnation, PolicyNumber, Revision};
use crate::record::PolicyRecord;
use crate::Nanos;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Former policies that are retained for operators to inspect and propose again.
const RETAINED_POLICIES: usize = 8;
/// Maximum number of proxies named in an error text.
const MAX_NAMED_PROXIES: usize = 5;

/// A lease that a process was granted and may have lost since: it then applies the fallback policy of this policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantedLease {
    policy: PolicyNumber,
    granted_at: Nanos,
}

/// The retained policies, and which proxies may apply which fallback policy.
#[derive(Clone, Debug)]
pub struct PolicyArchive {
    policies: BTreeMap<PolicyNumber, Policy>,
    /// The policies that have been in force: their fallback policies may be applied. That of a policy only ever proposed is not.
    ever_in_force: BTreeSet<PolicyNumber>,
    /// The policy in force before any was proposed.
    initial: Policy,
    /// The leases whose fallback policy may still be applied, by process and revision.
    leases: BTreeMap<(String, Incarnation), BTreeMap<Revision, GrantedLease>>,
    /// Start of this leadership. Danger: the leases that previous leaders granted are not known.
    leading_since: Nanos,
}

/// Why a policy cannot be proposed now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnfitPolicy {
    /// It is not a valid policy.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// Proxies without a lease would go on more loosely than all others.
    #[error(
        "it is stricter than the floor of policy {of} in {}, by which {} may act for {for_s} s more: hold a policy first whose floor is \
         stricter, and then this one",
        .paths.join(", "),
        join_names(.who)
    )]
    BelowFloor {
        /// Number of the policy with that fallback policy.
        of: u64,
        /// The paths in which the proposed policy is stricter.
        paths: Vec<String>,
        /// The proxies concerned, where they are known.
        who: Vec<String>,
        /// For how long at most, in seconds.
        for_s: u64,
    },
}

fn join_names(who: &[String]) -> String {
    match who.len() {
        0 => "proxies that are cut off".into(),
        n if n > MAX_NAMED_PROXIES => {
            format!("{} and {} more", who[..MAX_NAMED_PROXIES].join(", "), n - MAX_NAMED_PROXIES)
        }
        _ => who.join(", "),
    }
}

/// The proxies that may apply a fallback policy, and until when.
struct FallbackUsers {
    names: BTreeSet<String>,
    until: Nanos,
}

impl PolicyArchive {
    /// The archive of persisted policies at the start of a leadership.
    pub fn lead(
        persisted: BTreeMap<PolicyNumber, Policy>,
        initial: FallbackPolicy,
        record: &PolicyRecord,
        now: Nanos,
    ) -> Self {
        let proposed = record.policy_set().numbers().nth(1);
        let ever_in_force =
            persisted.keys().copied().chain([PolicyNumber(0)]).filter(|n| Some(*n) != proposed).collect();
        let leases = BTreeMap::new();
        PolicyArchive {
            policies: persisted,
            ever_in_force,
            initial: Policy::base(initial),
            leases,
            leading_since: now,
        }
    }

    /// A policy, if it is retained.
    pub fn get(&self, number: PolicyNumber) -> Option<&Policy> {
        self.policies.get(&number).or((number == PolicyNumber(0)).then_some(&self.initial))
    }

    /// Adds a policy that has been persisted.
    pub fn put(&mut self, number: PolicyNumber, policy: Policy) {
        self.policies.insert(number, policy);
    }

    /// Notes a new record.
    pub fn moved(&mut self, record: &PolicyRecord) {
        self.ever_in_force.insert(record.holds);
    }

    /// Notes that a process was granted a lease for the policy set of the record.
    pub fn granted(&mut self, name: &str, request: &LeaseRequest, record: &PolicyRecord, now: Nanos) {
        let leases = self.leases.entry((name.to_owned(), request.boot)).or_default();
        // A process never goes back behind what it applies, nor to the fallback policies before that.
        leases.retain(|revision, _| *revision >= request.acting);
        leases.insert(record.revision, GrantedLease { policy: record.holds, granted_at: now });
    }

    /// Removes leases whose fallback policy nobody can apply any more, and returns the policies that can be dropped: those of no use to
    /// anybody and not among the last.
    pub fn useless(&mut self, record: &PolicyRecord, terms: &LeaseTerms, now: Nanos) -> Vec<PolicyNumber> {
        let expiry = terms.fallback_expiry();
        self.leases.retain(|_, leases| {
            leases.retain(|_, lease| now.saturating_sub(lease.granted_at) <= expiry);
            !leases.is_empty()
        });
        let most = self.policies.len().saturating_sub(RETAINED_POLICIES);
        let is_useless = |n: &PolicyNumber| {
            !record.policy_set().numbers().any(|named| named == *n)
                && self.users(*n, record, terms, now).is_none()
        };
        self.policies.keys().copied().filter(is_useless).take(most).collect()
    }

    /// Removes policies.
    pub fn forget(&mut self, numbers: &[PolicyNumber]) {
        numbers.iter().for_each(|number| drop(self.policies.remove(number)));
    }

    /// The proxies that may apply the fallback policy of a policy; `None`: none.
    fn users(
        &self,
        number: PolicyNumber,
        record: &PolicyRecord,
        terms: &LeaseTerms,
        now: Nanos,
    ) -> Option<FallbackUsers> {
        if !self.ever_in_force.contains(&number) {
            return None;
        }
        let expiry = terms.fallback_expiry();
        let mut users = FallbackUsers { names: BTreeSet::new(), until: 0 };
        for ((name, _), leases) in &self.leases {
            let last =
                leases.values().filter(|lease| lease.policy == number).map(|lease| lease.granted_at).max();
            if let Some(until) =
                last.map(|granted_at| granted_at.saturating_add(expiry)).filter(|until| now <= *until)
            {
                users.names.insert(name.clone());
                users.until = users.until.max(until);
            }
        }
        // Leases of previous leaders, and proxies that hold a lease and lose it now.
        let predecessors_expired_at = self.leading_since.saturating_add(expiry);
        if number == record.holds {
            users.until = now.saturating_add(expiry);
        } else if now <= predecessors_expired_at {
            users.until = users.until.max(predecessors_expired_at);
        }
        (users.until > 0).then_some(users)
    }

    /// Validates a policy that is to be proposed now. Without a fallback policy of its own it gets that of the policy in force.
    ///
    /// # Errors
    /// See [`UnfitPolicy`].
    pub fn fit(
        &self,
        settings: &Value,
        floor: Option<&Value>,
        (record, terms): (&PolicyRecord, &LeaseTerms),
        now: Nanos,
    ) -> Result<Policy, UnfitPolicy> {
        let floor = match floor.filter(|f| !f.is_null()) {
            Some(document) => FallbackPolicy::read(document)?,
            None => self.get(record.holds).map_or(FallbackPolicy::Nobody, |p| p.floor.clone()),
        };
        let policy = Policy::of(settings, floor)?;
        for number in &self.ever_in_force {
            let Some(other) = self.get(*number) else { continue };
            let paths = other.floor.looser(&policy.settings);
            if paths.is_empty() {
                continue;
            }
            if let Some(users) = self.users(*number, record, terms, now) {
                let who = match *number == record.holds {
                    true => vec!["whoever loses its leave".into()],
                    false => users.names.into_iter().collect(),
                };
                let for_s = users.until.saturating_sub(now).div_ceil(1_000_000_000);
                return Err(UnfitPolicy::BelowFloor { of: number.0, paths, who, for_s });
            }
        }
        Ok(policy)
    }
}
