//! Endpoints and localities that the tests of this crate share.

use rushquay_load_assignment::*;
use std::num::NonZeroU32;

pub fn endpoint(id: &str, addr: &str, weight: u32, health: Health) -> Endpoint {
    let weight = NonZeroU32::new(weight).expect("weight over 0");
    let addr = addr.parse().expect("valid address");
    Endpoint { id: id.into(), addr, weight, health, place: Place::default(), started: None }
}

/// A locality without a weight of its own.
pub fn locality(zone: &str, priority: u8, endpoints: Vec<Endpoint>) -> Locality {
    let name = LocalityName { zone: zone.into(), ..LocalityName::default() };
    Locality { name, priority, weight: None, endpoints }
}
