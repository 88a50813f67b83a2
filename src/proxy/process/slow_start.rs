//! Slow-start allowances in the form in which they are handed over.

use crate::api::{ColdEndpointAllowance, Incarnation};
use rushquay_handover::{EndpointIncarnation, SlowStartAllowance};

/// Reads an allowance that the predecessor offers.
pub(crate) fn read(offered: &SlowStartAllowance) -> ColdEndpointAllowance {
    ColdEndpointAllowance {
        server: offered.node,
        started_at: offered.started,
        incarnation: offered.incarnation.map(read_incarnation),
        remaining_requests: offered.left,
    }
}

/// Reads which process of an endpoint an allowance is for.
pub(crate) fn read_incarnation(offered: EndpointIncarnation) -> Incarnation {
    let EndpointIncarnation { started_ms, cold_return_ms } = offered;
    Incarnation { started_ms, cold_return_ms }
}

/// The form in which an allowance is offered to a successor.
pub(crate) fn offered(left: &ColdEndpointAllowance) -> SlowStartAllowance {
    SlowStartAllowance {
        node: left.server,
        started: left.started_at,
        left: left.remaining_requests,
        incarnation: left.incarnation.map(offered_incarnation),
    }
}

/// The form in which a process of an endpoint is named to a successor.
pub(crate) fn offered_incarnation(incarnation: Incarnation) -> EndpointIncarnation {
    let Incarnation { started_ms, cold_return_ms } = incarnation;
    EndpointIncarnation { started_ms, cold_return_ms }
}
