//! Endpoints whose addresses are looked up (`STRICT_DNS`): when to look, and what the answers make of the assignment. The
//! look-up itself is somebody else's.
//!
//! Source: Envoy's documentation, "Strict DNS": every address that a name has is an endpoint; those that it has no more go.

use crate::assignment::{
    Assignment, AssignmentError, Endpoint, Health, Locality, LocalityName, Place, Rules,
};
use crate::Nanos;
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::num::NonZeroU32;
use std::sync::Arc;

/// An endpoint by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    /// The name, or an address.
    pub host: Arc<str>,
    /// The port.
    pub port: u16,
    /// Weight of each address that it has.
    pub weight: NonZeroU32,
    /// What is declared of its health.
    pub health: Health,
    /// Where it stands.
    pub place: Place,
}

/// Endpoints by name of one place at one priority.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLocality {
    /// Its name.
    pub name: LocalityName,
    /// 0 is the highest.
    pub priority: u8,
    /// Weight among the localities of its priority.
    pub weight: Option<NonZeroU32>,
    /// Its endpoints.
    pub endpoints: Vec<Named>,
}

/// How often to look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// After an answer (`dns_refresh_rate`), in nanoseconds.
    pub refresh: Nanos,
    /// After a failure, doubling up to the second (`dns_failure_refresh_rate`), in nanoseconds.
    pub failure: (Nanos, Nanos),
}

#[derive(Clone, Debug, Default)]
struct Lookup {
    addresses: Option<Vec<IpAddr>>,
    due: Nanos,
    out: bool,
    failures: u32,
}

/// The look-ups of a cluster.
#[derive(Clone, Debug)]
pub struct Lookups {
    localities: Vec<NamedLocality>,
    rules: Rules,
    rates: Rates,
    names: BTreeMap<Arc<str>, Lookup>,
}

impl Lookups {
    /// All names are due at once; addresses need no look-up.
    pub fn new(localities: Vec<NamedLocality>, rules: Rules, rates: Rates) -> Self {
        let names = localities.iter().flat_map(|l| &l.endpoints).map(|e| {
            let addresses = e.host.parse::<IpAddr>().ok().map(|ip| vec![ip]);
            let due = if addresses.is_some() { Nanos::MAX } else { 0 };
            (e.host.clone(), Lookup { addresses, due, ..Lookup::default() })
        });
        Lookups { names: names.collect(), localities, rules, rates }
    }

    /// Names to look up now; each counts as out until [`Lookups::found`] or [`Lookups::failed`].
    pub fn due(&mut self, now: Nanos) -> Vec<Arc<str>> {
        let due = self.names.iter_mut().filter(|(_, l)| !l.out && l.due <= now);
        due.map(|(name, lookup)| {
            lookup.out = true;
            name.clone()
        })
        .collect()
    }

    /// When a name is due next.
    pub fn wake(&self) -> Option<Nanos> {
        self.names.values().filter(|l| !l.out).map(|l| l.due).filter(|d| *d < Nanos::MAX).min()
    }

    /// A name has these addresses; none: it has no endpoints any more.
    pub fn found(&mut self, name: &str, mut addresses: Vec<IpAddr>, now: Nanos) {
        let Some(lookup) = self.names.get_mut(name) else { return };
        addresses.sort_unstable();
        addresses.dedup();
        let due = now.saturating_add(self.rates.refresh);
        *lookup = Lookup { addresses: Some(addresses), due, out: false, failures: 0 };
    }

    /// A look-up failed: what was found before stands.
    pub fn failed(&mut self, name: &str, now: Nanos) {
        let Some(lookup) = self.names.get_mut(name) else { return };
        let (base, most) = self.rates.failure;
        let wait = base.saturating_mul(1 << lookup.failures.min(20)).min(most.max(base));
        lookup.failures = lookup.failures.saturating_add(1);
        (lookup.out, lookup.due) = (false, now.saturating_add(wait));
    }

    /// Whether every name has been found once.
    pub fn complete(&self) -> bool {
        self.names.values().all(|l| l.addresses.is_some())
    }

    /// The assignment as it is now. An address that several names have counts once, where it stands first: nobody declared
    /// it twice.
    ///
    /// # Errors
    /// As for any assignment.
    pub fn assignment(&self) -> Result<Assignment, AssignmentError> {
        let mut seen = HashSet::new();
        let mut localities = Vec::with_capacity(self.localities.len());
        for locality in &self.localities {
            let mut endpoints = Vec::new();
            for named in &locality.endpoints {
                let found = self.names.get(&named.host).and_then(|l| l.addresses.as_deref()).unwrap_or(&[]);
                for ip in found {
                    let addr = SocketAddr::new(*ip, named.port);
                    if seen.insert(addr) {
                        let Named { weight, health, ref place, .. } = *named;
                        let id = addr.to_string().into();
                        let place = place.clone();
                        endpoints.push(Endpoint { id, addr, weight, health, place, started: None });
                    }
                }
            }
            let NamedLocality { ref name, priority, weight, .. } = *locality;
            localities.push(Locality { name: name.clone(), priority, weight, endpoints });
        }
        Assignment::new(localities, self.rules.clone())
    }
}
