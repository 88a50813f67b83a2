//! The archive of policies: the policies that are retained, and the fallback policies that proxies may still apply.

use crate::coordinator::LeaseTerms;
use crate::document::{FallbackPolicy, Policy, PolicyError};
use crate::messages::LeaseRequest;
use crate::policy_set::{Incarnation, PolicyNumber, Revision};
use crate::record::PolicyRecord;
use crate::Nanos;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of policies to retain, so that operators can inspect former policies and propose them again.
const RETAINED_POLICIES: usize = 8;
/// Maximum number of proxies named in an error text.
const MAX_NAMED_PROXIES: usize = 5;

/// A lease that was granted to a process. If it has expired since, the process applies the fallback policy of `policy`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantedLease {
    policy: PolicyNumber,
    granted_at: Nanos,
}

/// The retained policies, and which proxies may apply which fallback policy.
#[derive(Clone, Debug)]
pub struct PolicyArchive {
    policies: BTreeMap<PolicyNumber, Policy>,
    /// The policies that have been in force. Only their fallback policies can be applied, not those of policies that were merely
    /// proposed.
    ever_in_force: BTreeSet<PolicyNumber>,
    /// The policy with number 0, in force until the first proposed policy is committed.
    initial: Policy,
    /// The leases granted by this leader whose fallback policy may still be applied, by process and revision.
    leases: BTreeMap<(String, Incarnation), BTreeMap<Revision, GrantedLease>>,
    /// Start of this leadership. Danger: the leases that previous leaders granted are unknown, and may have been granted until then.
    leading_since: Nanos,
}

/// Why a policy cannot be proposed now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// It is not a valid policy.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The policy is stricter than a fallback policy in use: proxies without a lease would apply looser settings than all others.
    #[error(
        "the policy is stricter than the floor of policy {policy} (in {}), and {} may apply that floor for another {remaining_s} s; commit \
         a policy with a stricter floor first, then propose this one",
        .paths.join(", "),
        join_names(.proxies)
    )]
    StricterThanFallback {
        /// Number of the policy with that fallback policy.
        policy: u64,
        /// The paths in which the proposed policy is stricter.
        paths: Vec<String>,
        /// The proxies that may apply the fallback policy; empty if they are unknown.
        proxies: Vec<String>,
        /// How much longer they may apply it, in seconds.
        remaining_s: u64,
    },
}

fn join_names(names: &[String]) -> String {
    match names.len() {
        0 => "unreachable proxies".into(),
        n if n > MAX_NAMED_PROXIES => {
            format!("{} and {} more", names[..MAX_NAMED_PROXIES].join(", "), n - MAX_NAMED_PROXIES)
        }
        _ => names.join(", "),
    }
}

/// The proxies that may apply a fallback policy, and until when.
struct FallbackUsers {
    names: BTreeSet<String>,
    until: Nanos,
}

impl PolicyArchive {
    /// The archive at the start of a leadership, with the persisted policies. `initial` is the fallback policy of policy 0.
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

    /// Returns a policy if it is retained.
    pub fn get(&self, number: PolicyNumber) -> Option<&Policy> {
        self.policies.get(&number).or((number == PolicyNumber(0)).then_some(&self.initial))
    }

    /// Adds a policy that has been persisted.
    pub fn put(&mut self, number: PolicyNumber, policy: Policy) {
        self.policies.insert(number, policy);
    }

    /// Updates the archive after a change of the record.
    pub fn record_changed(&mut self, record: &PolicyRecord) {
        self.ever_in_force.insert(record.in_force);
    }

    /// Registers that a process was granted a lease for the policy set of the record.
    pub fn granted(&mut self, name: &str, request: &LeaseRequest, record: &PolicyRecord, now: Nanos) {
        let leases = self.leases.entry((name.to_owned(), request.incarnation)).or_default();
        // A process never returns to a revision before the one it applies, nor to the fallback policy of an earlier lease.
        leases.retain(|revision, _| *revision >= request.acting);
        leases.insert(record.revision, GrantedLease { policy: record.in_force, granted_at: now });
    }

    /// Removes the leases whose fallback policy can no longer be applied. Returns the policies that can be removed: those that are
    /// neither in the current policy set nor applied by any proxy as a fallback. The oldest are removed first, and a minimum number of
    /// policies always remains.
    pub fn unused_policies(
        &mut self,
        record: &PolicyRecord,
        terms: &LeaseTerms,
        now: Nanos,
    ) -> Vec<PolicyNumber> {
        let expiry = terms.fallback_expiry();
        self.leases.retain(|_, leases| {
            leases.retain(|_, lease| now.saturating_sub(lease.granted_at) <= expiry);
            !leases.is_empty()
        });
        let removable_count = self.policies.len().saturating_sub(RETAINED_POLICIES);
        let is_unused = |n: &PolicyNumber| {
            !record.policy_set().numbers().any(|current| current == *n)
                && self.users(*n, record, terms, now).is_none()
        };
        self.policies.keys().copied().filter(is_unused).take(removable_count).collect()
    }

    /// Removes these policies.
    pub fn forget(&mut self, numbers: &[PolicyNumber]) {
        numbers.iter().for_each(|number| drop(self.policies.remove(number)));
    }

    /// The proxies that may apply the fallback policy of a policy; `None` if no proxy may.
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
            let last_granted_at =
                leases.values().filter(|lease| lease.policy == number).map(|lease| lease.granted_at).max();
            if let Some(until) = last_granted_at
                .map(|granted_at| granted_at.saturating_add(expiry))
                .filter(|until| now <= *until)
            {
                users.names.insert(name.clone());
                users.until = users.until.max(until);
            }
        }
        // Any proxy that holds a lease may lose it now and apply the fallback policy in force. For former policies, the leases granted
        // by previous leaders count until they are certain to have expired.
        let predecessors_expired_at = self.leading_since.saturating_add(expiry);
        if number == record.in_force {
            users.until = now.saturating_add(expiry);
        } else if now <= predecessors_expired_at {
            users.until = users.until.max(predecessors_expired_at);
        }
        (users.until > 0).then_some(users)
    }

    /// Validates a policy that is to be proposed now. If `floor` is absent, the policy gets the fallback policy of the policy in force.
    ///
    /// # Errors
    /// See [`ProposalError`].
    pub fn validate_proposal(
        &self,
        settings: &Value,
        floor: Option<&Value>,
        (record, terms): (&PolicyRecord, &LeaseTerms),
        now: Nanos,
    ) -> Result<Policy, ProposalError> {
        let floor = match floor.filter(|f| !f.is_null()) {
            Some(document) => FallbackPolicy::read(document)?,
            None => self.get(record.in_force).map_or(FallbackPolicy::Nobody, |p| p.fallback.clone()),
        };
        let policy = Policy::validated(settings, floor)?;
        for number in &self.ever_in_force {
            let Some(former) = self.get(*number) else { continue };
            let paths = former.fallback.looser_paths(&policy.settings);
            if paths.is_empty() {
                continue;
            }
            if let Some(users) = self.users(*number, record, terms, now) {
                let proxies = match *number == record.in_force {
                    true => vec!["any proxy that loses its lease".into()],
                    false => users.names.into_iter().collect(),
                };
                let remaining_s = users.until.saturating_sub(now).div_ceil(1_000_000_000);
                return Err(ProposalError::StricterThanFallback {
                    policy: number.0,
                    paths,
                    proxies,
                    remaining_s,
                });
            }
        }
        Ok(policy)
    }
}
