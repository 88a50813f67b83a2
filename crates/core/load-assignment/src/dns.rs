//! Endpoints whose addresses are resolved by DNS (`STRICT_DNS`): schedules the lookups and builds the assignment from their
//! results. The caller resolves the names.
//!
//! Source: Envoy's documentation, "Strict DNS": every address of a name is an endpoint; addresses no longer returned are
//! removed.

use crate::assignment::{
    Assignment, AssignmentError, Endpoint, Health, Locality, LocalityName, Place, Rules,
};
use crate::Nanos;
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::num::NonZeroU32;
use std::sync::Arc;

/// An endpoint declared by host name.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    /// Host name or IP address.
    pub host: Arc<str>,
    /// Port.
    pub port: u16,
    /// Weight of each resolved address.
    pub weight: NonZeroU32,
    /// Declared health.
    pub health: Health,
    /// Location and machine kind.
    pub place: Place,
}

/// The endpoints of a locality at one priority, declared by host name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLocality {
    /// Name of the locality.
    pub name: LocalityName,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Weight among the localities of its priority.
    pub weight: Option<NonZeroU32>,
    /// Endpoints in the order declared.
    pub endpoints: Vec<Named>,
}

/// Intervals between resolutions of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Interval after a success (`dns_refresh_rate`), in nanoseconds.
    pub refresh: Nanos,
    /// Backoff after failures: first interval and maximum (`dns_failure_refresh_rate`), in nanoseconds.
    pub failure: (Nanos, Nanos),
}

/// Maximum exponent of the failure backoff; keeps the shift from overflowing.
const MAX_BACKOFF_DOUBLINGS: u32 = 20;

/// The state of one name.
#[derive(Clone, Debug, Default)]
struct Lookup {
    /// Addresses of the last successful resolution.
    addresses: Option<Vec<IpAddr>>,
    /// When the next resolution is due; `Nanos::MAX`: never.
    due: Nanos,
    is_in_flight: bool,
    /// Consecutive failures.
    failures: u32,
}

/// The DNS lookups of a cluster.
#[derive(Clone, Debug)]
pub struct Lookups {
    localities: Vec<NamedLocality>,
    rules: Rules,
    rates: Rates,
    names: BTreeMap<Arc<str>, Lookup>,
}

impl Lookups {
    /// Creates the lookups of a cluster. All host names are due immediately; IP addresses are not looked up.
    pub fn new(localities: Vec<NamedLocality>, rules: Rules, rates: Rates) -> Self {
        let endpoints = localities.iter().flat_map(|locality| &locality.endpoints);
        let names = endpoints.map(|endpoint| {
            let addresses = endpoint.host.parse::<IpAddr>().ok().map(|ip| vec![ip]);
            let due = if addresses.is_some() { Nanos::MAX } else { 0 };
            (endpoint.host.clone(), Lookup { addresses, due, ..Lookup::default() })
        });
        Lookups { names: names.collect(), localities, rules, rates }
    }

    /// Returns the names to resolve now. Each one counts as in flight until [`Lookups::found`] or [`Lookups::failed`] is called for it.
    pub fn due(&mut self, now: Nanos) -> Vec<Arc<str>> {
        let due = self.names.iter_mut().filter(|(_, lookup)| !lookup.is_in_flight && lookup.due <= now);
        due.map(|(name, lookup)| {
            lookup.is_in_flight = true;
            name.clone()
        })
        .collect()
    }

    /// Returns when the next name is due, or `None` if every name is in flight or needs no lookup.
    pub fn wake(&self) -> Option<Nanos> {
        let idle = self.names.values().filter(|lookup| !lookup.is_in_flight);
        idle.map(|lookup| lookup.due).filter(|due| *due < Nanos::MAX).min()
    }

    /// Records the addresses of a name. An empty list leaves the name without endpoints.
    pub fn found(&mut self, name: &str, mut addresses: Vec<IpAddr>, now: Nanos) {
        let Some(lookup) = self.names.get_mut(name) else { return };
        addresses.sort_unstable();
        addresses.dedup();
        let due = now.saturating_add(self.rates.refresh);
        *lookup = Lookup { addresses: Some(addresses), due, is_in_flight: false, failures: 0 };
    }

    /// Records a failed lookup; the addresses of the last successful one stay in use.
    pub fn failed(&mut self, name: &str, now: Nanos) {
        let Some(lookup) = self.names.get_mut(name) else { return };
        let (base, max) = self.rates.failure;
        let doublings = lookup.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = base.saturating_mul(1 << doublings).min(max.max(base));
        lookup.failures = lookup.failures.saturating_add(1);
        (lookup.is_in_flight, lookup.due) = (false, now.saturating_add(backoff));
    }

    /// Returns `true` if every name has been resolved at least once.
    pub fn complete(&self) -> bool {
        self.names.values().all(|lookup| lookup.addresses.is_some())
    }

    /// Returns the current assignment. An address that several names resolve to is listed once, at its first occurrence;
    /// unlike an address that is configured twice, this is not an error.
    ///
    /// # Errors
    /// See [`Assignment::new`].
    pub fn assignment(&self) -> Result<Assignment, AssignmentError> {
        let mut seen = HashSet::new();
        let mut localities = Vec::with_capacity(self.localities.len());
        for locality in &self.localities {
            let mut endpoints = Vec::new();
            for named in &locality.endpoints {
                let lookup = self.names.get(&named.host);
                let addresses = lookup.and_then(|lookup| lookup.addresses.as_deref()).unwrap_or(&[]);
                for ip in addresses {
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
