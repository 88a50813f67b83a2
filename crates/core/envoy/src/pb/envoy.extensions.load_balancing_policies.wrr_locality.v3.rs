// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct WrrLocality {
    #[prost(message, optional, tag = "1")]
    pub endpoint_picking_policy: ::core::option::Option<super::super::super::super::config::cluster::v3::LoadBalancingPolicy>,
}
