// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct CircuitBreakers {
    #[prost(message, repeated, tag = "1")]
    pub thresholds: ::prost::alloc::vec::Vec<circuit_breakers::Thresholds>,
    #[prost(message, repeated, tag = "2")]
    pub per_host_thresholds: ::prost::alloc::vec::Vec<circuit_breakers::Thresholds>,
}
/// Nested message and enum types in `CircuitBreakers`.
pub mod circuit_breakers {
    #[derive(Clone, Copy, PartialEq, ::prost::Message)]
    pub struct Thresholds {
        #[prost(enumeration = "super::super::super::core::v3::RoutingPriority", tag = "1")]
        pub priority: i32,
        #[prost(message, optional, tag = "2")]
        pub max_connections: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        #[prost(message, optional, tag = "3")]
        pub max_pending_requests: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        #[prost(message, optional, tag = "4")]
        pub max_requests: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        #[prost(message, optional, tag = "5")]
        pub max_retries: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        #[prost(message, optional, tag = "8")]
        pub retry_budget: ::core::option::Option<thresholds::RetryBudget>,
    }
    /// Nested message and enum types in `Thresholds`.
    pub mod thresholds {
        #[derive(Clone, Copy, PartialEq, ::prost::Message)]
        pub struct RetryBudget {
            #[prost(message, optional, tag = "1")]
            pub budget_percent: ::core::option::Option<super::super::super::super::super::r#type::v3::Percent>,
            #[prost(message, optional, tag = "2")]
            pub min_retry_concurrency: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        }
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Cluster {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(message, optional, tag = "3")]
    pub eds_cluster_config: ::core::option::Option<cluster::EdsClusterConfig>,
    #[prost(message, optional, tag = "4")]
    pub connect_timeout: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
    #[prost(enumeration = "cluster::LbPolicy", tag = "6")]
    pub lb_policy: i32,
    #[prost(message, optional, tag = "33")]
    pub load_assignment: ::core::option::Option<super::super::endpoint::v3::ClusterLoadAssignment>,
    #[prost(message, optional, tag = "10")]
    pub circuit_breakers: ::core::option::Option<CircuitBreakers>,
    #[prost(message, optional, tag = "29")]
    pub common_http_protocol_options: ::core::option::Option<super::super::core::v3::HttpProtocolOptions>,
    #[prost(message, optional, tag = "13")]
    pub http_protocol_options: ::core::option::Option<super::super::core::v3::Http1ProtocolOptions>,
    #[prost(message, optional, tag = "14")]
    pub http2_protocol_options: ::core::option::Option<super::super::core::v3::Http2ProtocolOptions>,
    #[prost(map = "string, message", tag = "36")]
    pub typed_extension_protocol_options: ::std::collections::HashMap<::prost::alloc::string::String, ::envoy_types::pb::google::protobuf::Any>,
    #[prost(message, optional, tag = "16")]
    pub dns_refresh_rate: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
    #[prost(message, optional, tag = "44")]
    pub dns_failure_refresh_rate: ::core::option::Option<cluster::RefreshRate>,
    #[prost(enumeration = "cluster::DnsLookupFamily", tag = "17")]
    pub dns_lookup_family: i32,
    #[prost(message, optional, tag = "27")]
    pub common_lb_config: ::core::option::Option<cluster::CommonLbConfig>,
    #[prost(message, optional, tag = "24")]
    pub transport_socket: ::core::option::Option<super::super::core::v3::TransportSocket>,
    #[prost(message, optional, tag = "25")]
    pub metadata: ::core::option::Option<super::super::core::v3::Metadata>,
    #[prost(message, optional, tag = "41")]
    pub load_balancing_policy: ::core::option::Option<LoadBalancingPolicy>,
    #[prost(oneof = "cluster::ClusterDiscoveryType", tags = "2, 38")]
    pub cluster_discovery_type: ::core::option::Option<cluster::ClusterDiscoveryType>,
}
/// Nested message and enum types in `Cluster`.
pub mod cluster {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
    pub struct CustomClusterType {
        #[prost(string, tag = "1")]
        pub name: ::prost::alloc::string::String,
        #[prost(message, optional, tag = "2")]
        pub typed_config: ::core::option::Option<::envoy_types::pb::google::protobuf::Any>,
    }
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
    pub struct EdsClusterConfig {
        #[prost(message, optional, tag = "1")]
        pub eds_config: ::core::option::Option<super::super::super::core::v3::ConfigSource>,
        #[prost(string, tag = "2")]
        pub service_name: ::prost::alloc::string::String,
    }
    #[derive(Clone, Copy, PartialEq, ::prost::Message)]
    pub struct CommonLbConfig {
        #[prost(message, optional, tag = "1")]
        pub healthy_panic_threshold: ::core::option::Option<super::super::super::super::r#type::v3::Percent>,
        #[prost(message, optional, tag = "4")]
        pub update_merge_window: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
        #[prost(bool, tag = "6")]
        pub close_connections_on_host_set_change: bool,
        #[prost(oneof = "common_lb_config::LocalityConfigSpecifier", tags = "2, 3")]
        pub locality_config_specifier: ::core::option::Option<common_lb_config::LocalityConfigSpecifier>,
    }
    /// Nested message and enum types in `CommonLbConfig`.
    pub mod common_lb_config {
        #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
        pub struct ZoneAwareLbConfig {
            #[prost(bool, tag = "3")]
            pub fail_traffic_on_panic: bool,
        }
        #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
        pub struct LocalityWeightedLbConfig {
        }
        #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Oneof)]
        pub enum LocalityConfigSpecifier {
            #[prost(message, tag = "2")]
            ZoneAwareLbConfig(ZoneAwareLbConfig),
            #[prost(message, tag = "3")]
            LocalityWeightedLbConfig(LocalityWeightedLbConfig),
        }
    }
    #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
    pub struct RefreshRate {
        #[prost(message, optional, tag = "1")]
        pub base_interval: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
        #[prost(message, optional, tag = "2")]
        pub max_interval: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
    }
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
    #[repr(i32)]
    pub enum DiscoveryType {
        Static = 0,
        StrictDns = 1,
        LogicalDns = 2,
        Eds = 3,
        OriginalDst = 4,
    }
    impl DiscoveryType {
        /// String value of the enum field names used in the ProtoBuf definition.
        ///
        /// The values are not transformed in any way and thus are considered stable
        /// (if the ProtoBuf definition does not change) and safe for programmatic use.
        pub fn as_str_name(&self) -> &'static str {
            match self {
                Self::Static => "STATIC",
                Self::StrictDns => "STRICT_DNS",
                Self::LogicalDns => "LOGICAL_DNS",
                Self::Eds => "EDS",
                Self::OriginalDst => "ORIGINAL_DST",
            }
        }
        /// Creates an enum from field names used in the ProtoBuf definition.
        pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
            match value {
                "STATIC" => Some(Self::Static),
                "STRICT_DNS" => Some(Self::StrictDns),
                "LOGICAL_DNS" => Some(Self::LogicalDns),
                "EDS" => Some(Self::Eds),
                "ORIGINAL_DST" => Some(Self::OriginalDst),
                _ => None,
            }
        }
    }
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
    #[repr(i32)]
    pub enum LbPolicy {
        RoundRobin = 0,
        LeastRequest = 1,
        RingHash = 2,
        Random = 3,
        Maglev = 5,
        ClusterProvided = 6,
        LoadBalancingPolicyConfig = 7,
    }
    impl LbPolicy {
        /// String value of the enum field names used in the ProtoBuf definition.
        ///
        /// The values are not transformed in any way and thus are considered stable
        /// (if the ProtoBuf definition does not change) and safe for programmatic use.
        pub fn as_str_name(&self) -> &'static str {
            match self {
                Self::RoundRobin => "ROUND_ROBIN",
                Self::LeastRequest => "LEAST_REQUEST",
                Self::RingHash => "RING_HASH",
                Self::Random => "RANDOM",
                Self::Maglev => "MAGLEV",
                Self::ClusterProvided => "CLUSTER_PROVIDED",
                Self::LoadBalancingPolicyConfig => "LOAD_BALANCING_POLICY_CONFIG",
            }
        }
        /// Creates an enum from field names used in the ProtoBuf definition.
        pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
            match value {
                "ROUND_ROBIN" => Some(Self::RoundRobin),
                "LEAST_REQUEST" => Some(Self::LeastRequest),
                "RING_HASH" => Some(Self::RingHash),
                "RANDOM" => Some(Self::Random),
                "MAGLEV" => Some(Self::Maglev),
                "CLUSTER_PROVIDED" => Some(Self::ClusterProvided),
                "LOAD_BALANCING_POLICY_CONFIG" => Some(Self::LoadBalancingPolicyConfig),
                _ => None,
            }
        }
    }
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
    #[repr(i32)]
    pub enum DnsLookupFamily {
        Auto = 0,
        V4Only = 1,
        V6Only = 2,
        V4Preferred = 3,
        All = 4,
    }
    impl DnsLookupFamily {
        /// String value of the enum field names used in the ProtoBuf definition.
        ///
        /// The values are not transformed in any way and thus are considered stable
        /// (if the ProtoBuf definition does not change) and safe for programmatic use.
        pub fn as_str_name(&self) -> &'static str {
            match self {
                Self::Auto => "AUTO",
                Self::V4Only => "V4_ONLY",
                Self::V6Only => "V6_ONLY",
                Self::V4Preferred => "V4_PREFERRED",
                Self::All => "ALL",
            }
        }
        /// Creates an enum from field names used in the ProtoBuf definition.
        pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
            match value {
                "AUTO" => Some(Self::Auto),
                "V4_ONLY" => Some(Self::V4Only),
                "V6_ONLY" => Some(Self::V6Only),
                "V4_PREFERRED" => Some(Self::V4Preferred),
                "ALL" => Some(Self::All),
                _ => None,
            }
        }
    }
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum ClusterDiscoveryType {
        #[prost(enumeration = "DiscoveryType", tag = "2")]
        Type(i32),
        #[prost(message, tag = "38")]
        ClusterType(CustomClusterType),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LoadBalancingPolicy {
    #[prost(message, repeated, tag = "1")]
    pub policies: ::prost::alloc::vec::Vec<load_balancing_policy::Policy>,
}
/// Nested message and enum types in `LoadBalancingPolicy`.
pub mod load_balancing_policy {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
    pub struct Policy {
        #[prost(message, optional, tag = "4")]
        pub typed_extension_config: ::core::option::Option<super::super::super::core::v3::TypedExtensionConfig>,
    }
}
