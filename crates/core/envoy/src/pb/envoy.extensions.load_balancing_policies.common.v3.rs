// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct LocalityLbConfig {
    #[prost(oneof = "locality_lb_config::LocalityConfigSpecifier", tags = "2")]
    pub locality_config_specifier: ::core::option::Option<locality_lb_config::LocalityConfigSpecifier>,
}
/// Nested message and enum types in `LocalityLbConfig`.
pub mod locality_lb_config {
    #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
    pub struct LocalityWeightedLbConfig {
    }
    #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum LocalityConfigSpecifier {
        #[prost(message, tag = "2")]
        LocalityWeightedLbConfig(LocalityWeightedLbConfig),
    }
}
