// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct RingHash {
    #[prost(message, optional, tag = "7")]
    pub locality_weighted_lb_config: ::core::option::Option<super::super::common::v3::locality_lb_config::LocalityWeightedLbConfig>,
}
