//! The declared endpoints of a cluster (`ClusterLoadAssignment`) as validated types.

use crate::Nanos;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;

/// The largest priority number, which is the lowest priority ("Priority levels": Envoy supports 128 levels).
pub const MAX_PRIORITY: u8 = 127;
/// Default overprovisioning factor, in percent ("Overprovisioning Factor").
pub const DEFAULT_OVERPROVISIONING_PERCENT: u32 = 140;

/// The declared health of an endpoint (`envoy.config.core.v3.HealthStatus`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Health {
    /// `UNKNOWN` and `HEALTHY`.
    Healthy,
    /// `DEGRADED`: used when there are too few healthy endpoints.
    Degraded,
    /// `UNHEALTHY` and `TIMEOUT`: used in panic mode only.
    Unhealthy,
    /// `DRAINING`: never receives new requests. Envoy sends it requests in panic mode; here draining takes precedence.
    Draining,
}

/// Location and machine kind of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Place {
    /// Zone, from the locality or from metadata.
    pub zone: Arc<str>,
    /// Machine kind, from metadata; may be empty.
    pub kind: Arc<str>,
    /// Cell, from metadata: a group of endpoints that may deduplicate keyed requests together.
    pub cell: u32,
}

/// An endpoint (`LbEndpoint`).
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity, the same at every proxy: from metadata, or the address if metadata has none.
    pub id: Arc<str>,
    /// Address to connect to.
    pub addr: SocketAddr,
    /// Weight among the endpoints of its locality.
    pub weight: NonZeroU32,
    /// Declared health.
    pub health: Health,
    /// Location and machine kind.
    pub place: Place,
    /// Start time if known: Unix time in nanoseconds.
    pub started: Option<Nanos>,
}

/// The name of a locality (`envoy.config.core.v3.Locality`).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
pub struct LocalityName {
    /// Region.
    pub region: Arc<str>,
    /// Zone.
    pub zone: Arc<str>,
    /// Sub-zone.
    pub sub_zone: Arc<str>,
}

/// The endpoints of a locality at one priority (`LocalityLbEndpoints`).
#[derive(Clone, Debug, PartialEq)]
pub struct Locality {
    /// Name of the locality.
    pub name: LocalityName,
    /// Priority from 0, the highest, to `MAX_PRIORITY`.
    pub priority: u8,
    /// Weight among the localities of its priority; `None`: receives no load if locality weights apply.
    pub weight: Option<NonZeroU32>,
    /// Endpoints in the order declared.
    pub endpoints: Vec<Endpoint>,
}

/// A fraction of requests to drop deliberately (`drop_overloads`).
#[derive(Clone, Debug, PartialEq)]
pub struct Overload {
    /// Category, as configured.
    pub category: Arc<str>,
    /// Fraction of requests to drop, from 0 to 1.
    pub part: f64,
}

/// The policy of an assignment (`ClusterLoadAssignment.Policy`).
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Overprovisioning factor in percent; `DEFAULT_OVERPROVISIONING_PERCENT` by default.
    pub overprovisioning: u32,
    /// Time after receipt at which the assignment becomes stale and its endpoints unhealthy (`endpoint_stale_after`).
    pub stale_after: Option<Nanos>,
    /// Whether availability is computed from weights rather than from the number of endpoints (`weighted_priority_health`).
    pub weighted_health: bool,
    /// Drop rules, evaluated in order.
    pub overloads: Vec<Overload>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            overprovisioning: DEFAULT_OVERPROVISIONING_PERCENT,
            stale_after: None,
            weighted_health: false,
            overloads: Vec::new(),
        }
    }
}

/// The endpoints of a cluster; none is listed twice.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Assignment {
    localities: Vec<Locality>,
    rules: Rules,
}

/// An invalid assignment, to be corrected at its source. Indices count from 0 in the order declared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentError {
    /// An address is listed twice. Danger: if it were accepted, the order of the listings would decide which weight applies.
    #[error("endpoints[{locality}].lb_endpoints[{endpoint}]: the address {addr} is already listed in endpoints[{first}]; list it once")]
    DuplicateAddress {
        /// Index of the locality of the second listing.
        locality: usize,
        /// Index of the endpoint in that locality.
        endpoint: usize,
        /// Index of the locality of the first listing.
        first: usize,
        /// The repeated address.
        addr: SocketAddr,
    },
    /// An identity is listed twice.
    #[error("endpoints[{locality}].lb_endpoints[{endpoint}]: the id {id:?} is already listed in endpoints[{first}]; list it once")]
    DuplicateId {
        /// Index of the locality of the second listing.
        locality: usize,
        /// Index of the endpoint in that locality.
        endpoint: usize,
        /// Index of the locality of the first listing.
        first: usize,
        /// The repeated identity.
        id: Arc<str>,
    },
    /// A locality is listed twice at the same priority.
    #[error("endpoints[{locality}].locality: already listed in endpoints[{first}] with the same priority; merge the two")]
    DuplicateLocality {
        /// Index of the locality of the second listing.
        locality: usize,
        /// Index of the locality listed first.
        first: usize,
    },
    /// The sum of weights exceeds 2^32-1.
    #[error(
        "endpoints[{locality}].{field}: the weights add up to more than 4294967295; scale all of them down by the same factor"
    )]
    WeightSum {
        /// Index of the locality at which the sum exceeds the limit.
        locality: usize,
        /// The weight field.
        field: &'static str,
    },
    /// A number is out of range.
    #[error("{field}: {why}")]
    Range {
        /// The field.
        field: String,
        /// The expected range.
        why: &'static str,
    },
}

impl Assignment {
    /// Validates a declared assignment.
    ///
    /// # Errors
    /// See [`AssignmentError`]; the whole assignment is rejected.
    pub fn new(localities: Vec<Locality>, rules: Rules) -> Result<Self, AssignmentError> {
        validate_rules(&rules)?;
        let mut validator = Validator::default();
        for (index, locality) in localities.iter().enumerate() {
            validator.validate_locality(index, locality)?;
            validator.validate_endpoints(index, locality)?;
        }
        Ok(Assignment { localities, rules })
    }

    /// Returns the localities in the order declared.
    pub fn localities(&self) -> &[Locality] {
        &self.localities
    }

    /// Returns the policy.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns all endpoints with their localities, in the order declared.
    pub fn endpoints(&self) -> impl Iterator<Item = (&Locality, &Endpoint)> {
        let localities = self.localities.iter();
        localities.flat_map(|locality| locality.endpoints.iter().map(move |endpoint| (locality, endpoint)))
    }
}

fn validate_rules(rules: &Rules) -> Result<(), AssignmentError> {
    let out_of_range = |field: &str, why| Err(AssignmentError::Range { field: field.into(), why });
    if rules.overprovisioning == 0 {
        return out_of_range("policy.overprovisioning_factor", "expected at least 1");
    }
    if rules.overloads.iter().any(|overload| !(0.0..=1.0).contains(&overload.part)) {
        return out_of_range("policy.drop_overloads", "expected 0 to 100 percent");
    }
    Ok(())
}

/// Everything declared by the localities validated so far, each item with the index of its locality.
#[derive(Default)]
struct Validator<'a> {
    addrs: HashMap<SocketAddr, usize>,
    ids: HashMap<&'a Arc<str>, usize>,
    localities: HashMap<(&'a LocalityName, u8), usize>,
    /// Sum of locality weights by priority.
    weight_sums: HashMap<u8, u64>,
}

impl<'a> Validator<'a> {
    fn validate_locality(&mut self, index: usize, locality: &'a Locality) -> Result<(), AssignmentError> {
        if locality.priority > MAX_PRIORITY {
            let field = format!("endpoints[{index}].priority");
            return Err(AssignmentError::Range { field, why: "expected 0 to 127" });
        }
        if let Some(first) = self.localities.insert((&locality.name, locality.priority), index) {
            return Err(AssignmentError::DuplicateLocality { locality: index, first });
        }
        let weight_sum = self.weight_sums.entry(locality.priority).or_default();
        *weight_sum += locality.weight.map_or(0, |weight| u64::from(weight.get()));
        if *weight_sum > u64::from(u32::MAX) {
            return Err(AssignmentError::WeightSum { locality: index, field: "load_balancing_weight" });
        }
        Ok(())
    }

    fn validate_endpoints(&mut self, index: usize, locality: &'a Locality) -> Result<(), AssignmentError> {
        let mut weight_sum = 0u64;
        for (endpoint_index, endpoint) in locality.endpoints.iter().enumerate() {
            if let Some(first) = self.addrs.insert(endpoint.addr, index) {
                return Err(AssignmentError::DuplicateAddress {
                    locality: index,
                    endpoint: endpoint_index,
                    first,
                    addr: endpoint.addr,
                });
            }
            if let Some(first) = self.ids.insert(&endpoint.id, index) {
                return Err(AssignmentError::DuplicateId {
                    locality: index,
                    endpoint: endpoint_index,
                    first,
                    id: endpoint.id.clone(),
                });
            }
            weight_sum += u64::from(endpoint.weight.get());
        }
        if weight_sum > u64::from(u32::MAX) {
            let field = "lb_endpoints.load_balancing_weight";
            return Err(AssignmentError::WeightSum { locality: index, field });
        }
        Ok(())
    }
}
