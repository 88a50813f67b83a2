// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct RoundRobin {
    #[prost(message, optional, tag = "2")]
    pub locality_lb_config: ::core::option::Option<super::super::common::v3::LocalityLbConfig>,
}
