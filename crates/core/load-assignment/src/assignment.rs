//! What is declared of a cluster's endpoints (`ClusterLoadAssignment`), as types that hold nothing contradictory.

use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;

/// The highest priority number there may be ("Priority levels": Envoy takes 128 levels).
pub const PRIORITY_MOST: u8 = 127;
/// Hosts count as if there were 1.4 times as many, unless told otherwise ("Overprovisioning Factor").
pub const OVERPROVISIONING: u32 = 140;

/// What is declared of an endpoint's health (`envoy.config.core.v3.HealthStatus`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Health {
    /// `UNKNOWN` and `HEALTHY`.
    Healthy,
    /// `DEGRADED`: taken when the healthy ones are too few.
    Degraded,
    /// `UNHEALTHY` and `TIMEOUT`: taken in a panic alone.
    Unhealthy,
    /// `DRAINING`: never given anything new. Envoy would in a panic; the rule on drains goes before that.
    Draining,
}

/// Where an endpoint stands, and of what sort it is.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Place {
    /// The zone: the locality's, or what metadata says.
    pub zone: Arc<str>,
    /// The machine kind, from metadata; may be empty.
    pub kind: Arc<str>,
    /// The cell, from metadata.
    pub cell: u32,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its identity, the same at every proxy: from metadata, or else its address.
    pub id: Arc<str>,
    /// Where to connect.
    pub addr: SocketAddr,
    /// Weight among the endpoints of its locality.
    pub weight: NonZeroU32,
    /// What is declared of its health.
    pub health: Health,
    /// Where it stands.
    pub place: Place,
    /// When it started, where that is told: Unix time in nanoseconds.
    pub started: Option<Nanos>,
}

/// A locality's name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
pub struct LocalityName {
    /// Region.
    pub region: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Sub-zone.
    pub sub_zone: Arc<str>,
}

/// Endpoints of one place at one priority.
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    /// Its name.
    pub name: LocalityName,
    /// 0 is the highest; 127 at most.
    pub priority: u8,
    /// Weight among the localities of its priority; `None`: it takes no load where these weights count.
    pub weight: Option<NonZeroU32>,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Requests that are turned away on purpose (`drop_overloads`).
#[derive(Clone, Debug, PartialEq)]
pub struct Overload {
    /// Why, in the configuration's words.
    pub category: Arc<str>,
    /// The part of the requests, from 0 to 1.
    pub part: f64,
}

/// Rules of an assignment (`ClusterLoadAssignment.Policy`).
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// In hundredths; 140 where nothing is told.
    pub overprovisioning: u32,
    /// For so long after it came the assignment counts; then its endpoints are unhealthy (`endpoint_stale_after`).
    pub stale_after: Option<Nanos>,
    /// Health counts by weight (`weighted_priority_health`).
    pub weighted_health: bool,
    /// In order; each is asked in turn.
    pub overloads: Vec<Overload>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            overprovisioning: OVERPROVISIONING,
            stale_after: None,
            weighted_health: false,
            overloads: Vec::new(),
        }
    }
}

/// A cluster's endpoints; none stands in it twice.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Assignment {
    localities: Vec<Locality>,
    rules: Rules,
}

/// Why an assignment contradicts itself. Numbers count from 0 in the order declared; correct it at its source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// One address twice. Danger: of two weights for one endpoint, the one read last would win by chance.
    #[error("endpoints[{locality}].lb_endpoints[{endpoint}]: the address {addr} stands already in endpoints[{first}]; list it once")]
    AddressTwice {
        /// Where it stands again.
        locality: usize,
        /// Where it stands again.
        endpoint: usize,
        /// The locality in which it stands first.
        first: usize,
        /// The address.
        addr: SocketAddr,
    },
    /// One identity twice.
    #[error("endpoints[{locality}].lb_endpoints[{endpoint}]: the id {id:?} stands already in endpoints[{first}]; list it once")]
    IdTwice {
        /// Where it stands again.
        locality: usize,
        /// Where it stands again.
        endpoint: usize,
        /// The locality in which it stands first.
        first: usize,
        /// The identity.
        id: Arc<str>,
    },
    /// One locality twice at one priority.
    #[error("endpoints[{locality}].locality: stands already in endpoints[{first}] with the same priority; join the two")]
    LocalityTwice {
        /// Where it stands again.
        locality: usize,
        /// Where it stands first.
        first: usize,
    },
    /// Weights that add up to more than 2^32-1.
    #[error(
        "endpoints[{locality}].{field}: the weights add up to more than 4294967295; divide all by one number"
    )]
    WeightSum {
        /// The locality at which the sum is passed.
        locality: usize,
        /// Whose weights.
        field: &'static str,
    },
    /// A number that is out of range.
    #[error("{field}: {why}")]
    Range {
        /// The field.
        field: String,
        /// What is expected.
        why: &'static str,
    },
}

impl Assignment {
    /// Checks what is declared.
    ///
    /// # Errors
    /// See [`AssignmentError`]; nothing of it is to be used.
    pub fn new(localities: Vec<Locality>, rules: Rules) -> Result<Self, AssignmentError> {
        let range = |field: &str, why| Err(AssignmentError::Range { field: field.into(), why });
        if rules.overprovisioning == 0 {
            return range("policy.overprovisioning_factor", "expected 1 at least");
        }
        if rules.overloads.iter().any(|o| !(0.0..=1.0).contains(&o.part)) {
            return range("policy.drop_overloads", "expected 0 to 100 percent");
        }
        let (mut addrs, mut ids, mut names) = (HashMap::new(), HashMap::new(), HashMap::new());
        let mut sums: HashMap<u8, u64> = HashMap::new();
        for (l, locality) in localities.iter().enumerate() {
            if locality.priority > PRIORITY_MOST {
                let field = format!("endpoints[{l}].priority");
                return Err(AssignmentError::Range { field, why: "expected 0 to 127" });
            }
            if let Some(first) = names.insert((&locality.name, locality.priority), l) {
                return Err(AssignmentError::LocalityTwice { locality: l, first });
            }
            let sum = sums.entry(locality.priority).or_default();
            *sum += locality.weight.map_or(0, |w| u64::from(w.get()));
            if *sum > u64::from(u32::MAX) {
                return Err(AssignmentError::WeightSum { locality: l, field: "load_balancing_weight" });
            }
            let mut inner = 0u64;
            for (e, endpoint) in locality.endpoints.iter().enumerate() {
                if let Some(first) = addrs.insert(endpoint.addr, l) {
                    let addr = endpoint.addr;
                    return Err(AssignmentError::AddressTwice { locality: l, endpoint: e, first, addr });
                }
                if let Some(first) = ids.insert(&endpoint.id, l) {
                    let id = endpoint.id.clone();
                    return Err(AssignmentError::IdTwice { locality: l, endpoint: e, first, id });
                }
                inner += u64::from(endpoint.weight.get());
            }
            if inner > u64::from(u32::MAX) {
                let field = "lb_endpoints.load_balancing_weight";
                return Err(AssignmentError::WeightSum { locality: l, field });
            }
        }
        Ok(Assignment { localities, rules })
    }

    /// The localities in the order declared.
    pub fn localities(&self) -> &[Locality] {
        &self.localities
    }

    /// Its rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// All endpoints with their localities.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Locality, &Endpoint)> {
        self.localities.iter().flat_map(|l| l.endpoints.iter().map(move |e| (l, e)))
    }
}
