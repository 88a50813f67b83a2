// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Endpoint {
    #[prost(message, optional, tag = "1")]
    pub address: ::core::option::Option<super::super::core::v3::Address>,
    #[prost(string, tag = "3")]
    pub hostname: ::prost::alloc::string::String,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LbEndpoint {
    #[prost(enumeration = "super::super::core::v3::HealthStatus", tag = "2")]
    pub health_status: i32,
    #[prost(message, optional, tag = "3")]
    pub metadata: ::core::option::Option<super::super::core::v3::Metadata>,
    #[prost(message, optional, tag = "4")]
    pub load_balancing_weight: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
    #[prost(oneof = "lb_endpoint::HostIdentifier", tags = "1")]
    pub host_identifier: ::core::option::Option<lb_endpoint::HostIdentifier>,
}
/// Nested message and enum types in `LbEndpoint`.
pub mod lb_endpoint {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum HostIdentifier {
        #[prost(message, tag = "1")]
        Endpoint(super::Endpoint),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LocalityLbEndpoints {
    #[prost(message, optional, tag = "1")]
    pub locality: ::core::option::Option<super::super::core::v3::Locality>,
    #[prost(message, repeated, tag = "2")]
    pub lb_endpoints: ::prost::alloc::vec::Vec<LbEndpoint>,
    #[prost(message, optional, tag = "3")]
    pub load_balancing_weight: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
    #[prost(uint32, tag = "5")]
    pub priority: u32,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct ClusterLoadAssignment {
    #[prost(string, tag = "1")]
    pub cluster_name: ::prost::alloc::string::String,
    #[prost(message, repeated, tag = "2")]
    pub endpoints: ::prost::alloc::vec::Vec<LocalityLbEndpoints>,
    #[prost(message, optional, tag = "4")]
    pub policy: ::core::option::Option<cluster_load_assignment::Policy>,
}
/// Nested message and enum types in `ClusterLoadAssignment`.
pub mod cluster_load_assignment {
    #[derive(Clone, PartialEq, ::prost::Message)]
    pub struct Policy {
        #[prost(message, repeated, tag = "2")]
        pub drop_overloads: ::prost::alloc::vec::Vec<policy::DropOverload>,
        #[prost(message, optional, tag = "3")]
        pub overprovisioning_factor: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        #[prost(message, optional, tag = "4")]
        pub endpoint_stale_after: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
        #[prost(bool, tag = "6")]
        pub weighted_priority_health: bool,
    }
    /// Nested message and enum types in `Policy`.
    pub mod policy {
        #[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
        pub struct DropOverload {
            #[prost(string, tag = "1")]
            pub category: ::prost::alloc::string::String,
            #[prost(message, optional, tag = "2")]
            pub drop_percentage: ::core::option::Option<super::super::super::super::super::r#type::v3::FractionalPercent>,
        }
    }
}
