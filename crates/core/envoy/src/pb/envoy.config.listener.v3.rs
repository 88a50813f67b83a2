// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct ApiListener {
    #[prost(message, optional, tag = "1")]
    pub api_listener: ::core::option::Option<::envoy_types::pb::google::protobuf::Any>,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Filter {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(oneof = "filter::ConfigType", tags = "4")]
    pub config_type: ::core::option::Option<filter::ConfigType>,
}
/// Nested message and enum types in `Filter`.
pub mod filter {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum ConfigType {
        #[prost(message, tag = "4")]
        TypedConfig(::envoy_types::pb::google::protobuf::Any),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct FilterChain {
    #[prost(message, repeated, tag = "3")]
    pub filters: ::prost::alloc::vec::Vec<Filter>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Listener {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(message, optional, tag = "2")]
    pub address: ::core::option::Option<super::super::core::v3::Address>,
    #[prost(message, repeated, tag = "3")]
    pub filter_chains: ::prost::alloc::vec::Vec<FilterChain>,
    #[prost(message, optional, tag = "19")]
    pub api_listener: ::core::option::Option<ApiListener>,
}
