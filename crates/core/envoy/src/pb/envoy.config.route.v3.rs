// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct VirtualHost {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(string, repeated, tag = "2")]
    pub domains: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(message, repeated, tag = "3")]
    pub routes: ::prost::alloc::vec::Vec<Route>,
    #[prost(message, repeated, tag = "7")]
    pub request_headers_to_add: ::prost::alloc::vec::Vec<super::super::core::v3::HeaderValueOption>,
    #[prost(string, repeated, tag = "13")]
    pub request_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(message, repeated, tag = "10")]
    pub response_headers_to_add: ::prost::alloc::vec::Vec<super::super::core::v3::HeaderValueOption>,
    #[prost(string, repeated, tag = "11")]
    pub response_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(message, optional, tag = "16")]
    pub retry_policy: ::core::option::Option<RetryPolicy>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Route {
    #[prost(string, tag = "14")]
    pub name: ::prost::alloc::string::String,
    #[prost(message, optional, tag = "1")]
    pub r#match: ::core::option::Option<RouteMatch>,
    #[prost(message, optional, tag = "4")]
    pub metadata: ::core::option::Option<super::super::core::v3::Metadata>,
    #[prost(message, repeated, tag = "9")]
    pub request_headers_to_add: ::prost::alloc::vec::Vec<super::super::core::v3::HeaderValueOption>,
    #[prost(string, repeated, tag = "12")]
    pub request_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(message, repeated, tag = "10")]
    pub response_headers_to_add: ::prost::alloc::vec::Vec<super::super::core::v3::HeaderValueOption>,
    #[prost(string, repeated, tag = "11")]
    pub response_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(oneof = "route::Action", tags = "2, 7")]
    pub action: ::core::option::Option<route::Action>,
}
/// Nested message and enum types in `Route`.
pub mod route {
    #[derive(Clone, PartialEq, ::prost::Oneof)]
    pub enum Action {
        #[prost(message, tag = "2")]
        Route(super::RouteAction),
        #[prost(message, tag = "7")]
        DirectResponse(super::DirectResponseAction),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct WeightedCluster {
    #[prost(message, repeated, tag = "1")]
    pub clusters: ::prost::alloc::vec::Vec<weighted_cluster::ClusterWeight>,
    #[prost(message, optional, tag = "3")]
    pub total_weight: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
}
/// Nested message and enum types in `WeightedCluster`.
pub mod weighted_cluster {
    #[derive(Clone, PartialEq, ::prost::Message)]
    pub struct ClusterWeight {
        #[prost(string, tag = "1")]
        pub name: ::prost::alloc::string::String,
        #[prost(message, optional, tag = "2")]
        pub weight: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
        #[prost(message, repeated, tag = "4")]
        pub request_headers_to_add: ::prost::alloc::vec::Vec<super::super::super::core::v3::HeaderValueOption>,
        #[prost(string, repeated, tag = "9")]
        pub request_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
        #[prost(message, repeated, tag = "5")]
        pub response_headers_to_add: ::prost::alloc::vec::Vec<super::super::super::core::v3::HeaderValueOption>,
        #[prost(string, repeated, tag = "6")]
        pub response_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
        #[prost(oneof = "cluster_weight::HostRewriteSpecifier", tags = "11")]
        pub host_rewrite_specifier: ::core::option::Option<cluster_weight::HostRewriteSpecifier>,
    }
    /// Nested message and enum types in `ClusterWeight`.
    pub mod cluster_weight {
        #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
        pub enum HostRewriteSpecifier {
            #[prost(string, tag = "11")]
            HostRewriteLiteral(::prost::alloc::string::String),
        }
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct RouteMatch {
    #[prost(message, optional, tag = "4")]
    pub case_sensitive: ::core::option::Option<::envoy_types::pb::google::protobuf::BoolValue>,
    #[prost(message, optional, tag = "9")]
    pub runtime_fraction: ::core::option::Option<super::super::core::v3::RuntimeFractionalPercent>,
    #[prost(message, repeated, tag = "6")]
    pub headers: ::prost::alloc::vec::Vec<HeaderMatcher>,
    #[prost(message, repeated, tag = "7")]
    pub query_parameters: ::prost::alloc::vec::Vec<QueryParameterMatcher>,
    #[prost(oneof = "route_match::PathSpecifier", tags = "1, 2, 10, 14")]
    pub path_specifier: ::core::option::Option<route_match::PathSpecifier>,
}
/// Nested message and enum types in `RouteMatch`.
pub mod route_match {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum PathSpecifier {
        #[prost(string, tag = "1")]
        Prefix(::prost::alloc::string::String),
        #[prost(string, tag = "2")]
        Path(::prost::alloc::string::String),
        #[prost(message, tag = "10")]
        SafeRegex(super::super::super::super::r#type::matcher::v3::RegexMatcher),
        #[prost(string, tag = "14")]
        PathSeparatedPrefix(::prost::alloc::string::String),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct RouteAction {
    #[prost(enumeration = "route_action::ClusterNotFoundResponseCode", tag = "20")]
    pub cluster_not_found_response_code: i32,
    #[prost(string, tag = "5")]
    pub prefix_rewrite: ::prost::alloc::string::String,
    #[prost(message, optional, tag = "32")]
    pub regex_rewrite: ::core::option::Option<super::super::super::r#type::matcher::v3::RegexMatchAndSubstitute>,
    #[prost(message, optional, tag = "8")]
    pub timeout: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
    #[prost(message, optional, tag = "9")]
    pub retry_policy: ::core::option::Option<RetryPolicy>,
    #[prost(enumeration = "super::super::core::v3::RoutingPriority", tag = "11")]
    pub priority: i32,
    #[prost(oneof = "route_action::ClusterSpecifier", tags = "1, 2, 3")]
    pub cluster_specifier: ::core::option::Option<route_action::ClusterSpecifier>,
    #[prost(oneof = "route_action::HostRewriteSpecifier", tags = "6")]
    pub host_rewrite_specifier: ::core::option::Option<route_action::HostRewriteSpecifier>,
}
/// Nested message and enum types in `RouteAction`.
pub mod route_action {
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
    #[repr(i32)]
    pub enum ClusterNotFoundResponseCode {
        ServiceUnavailable = 0,
        NotFound = 1,
        InternalServerError = 2,
    }
    impl ClusterNotFoundResponseCode {
        /// String value of the enum field names used in the ProtoBuf definition.
        ///
        /// The values are not transformed in any way and thus are considered stable
        /// (if the ProtoBuf definition does not change) and safe for programmatic use.
        pub fn as_str_name(&self) -> &'static str {
            match self {
                Self::ServiceUnavailable => "SERVICE_UNAVAILABLE",
                Self::NotFound => "NOT_FOUND",
                Self::InternalServerError => "INTERNAL_SERVER_ERROR",
            }
        }
        /// Creates an enum from field names used in the ProtoBuf definition.
        pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
            match value {
                "SERVICE_UNAVAILABLE" => Some(Self::ServiceUnavailable),
                "NOT_FOUND" => Some(Self::NotFound),
                "INTERNAL_SERVER_ERROR" => Some(Self::InternalServerError),
                _ => None,
            }
        }
    }
    #[derive(Clone, PartialEq, ::prost::Oneof)]
    pub enum ClusterSpecifier {
        #[prost(string, tag = "1")]
        Cluster(::prost::alloc::string::String),
        #[prost(string, tag = "2")]
        ClusterHeader(::prost::alloc::string::String),
        #[prost(message, tag = "3")]
        WeightedClusters(super::WeightedCluster),
    }
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum HostRewriteSpecifier {
        #[prost(string, tag = "6")]
        HostRewriteLiteral(::prost::alloc::string::String),
    }
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct RetryPolicy {
    #[prost(string, tag = "1")]
    pub retry_on: ::prost::alloc::string::String,
    #[prost(message, optional, tag = "2")]
    pub num_retries: ::core::option::Option<::envoy_types::pb::google::protobuf::UInt32Value>,
    #[prost(message, optional, tag = "3")]
    pub per_try_timeout: ::core::option::Option<::envoy_types::pb::google::protobuf::Duration>,
    #[prost(uint32, repeated, tag = "7")]
    pub retriable_status_codes: ::prost::alloc::vec::Vec<u32>,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct DirectResponseAction {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(message, optional, tag = "2")]
    pub body: ::core::option::Option<super::super::core::v3::DataSource>,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct HeaderMatcher {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(bool, tag = "8")]
    pub invert_match: bool,
    #[prost(bool, tag = "14")]
    pub treat_missing_header_as_empty: bool,
    #[prost(oneof = "header_matcher::HeaderMatchSpecifier", tags = "4, 11, 6, 7, 9, 10, 12, 13")]
    pub header_match_specifier: ::core::option::Option<header_matcher::HeaderMatchSpecifier>,
}
/// Nested message and enum types in `HeaderMatcher`.
pub mod header_matcher {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum HeaderMatchSpecifier {
        #[prost(string, tag = "4")]
        ExactMatch(::prost::alloc::string::String),
        #[prost(message, tag = "11")]
        SafeRegexMatch(super::super::super::super::r#type::matcher::v3::RegexMatcher),
        #[prost(message, tag = "6")]
        RangeMatch(super::super::super::super::r#type::v3::Int64Range),
        #[prost(bool, tag = "7")]
        PresentMatch(bool),
        #[prost(string, tag = "9")]
        PrefixMatch(::prost::alloc::string::String),
        #[prost(string, tag = "10")]
        SuffixMatch(::prost::alloc::string::String),
        #[prost(string, tag = "12")]
        ContainsMatch(::prost::alloc::string::String),
        #[prost(message, tag = "13")]
        StringMatch(super::super::super::super::r#type::matcher::v3::StringMatcher),
    }
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct QueryParameterMatcher {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(oneof = "query_parameter_matcher::QueryParameterMatchSpecifier", tags = "5, 6")]
    pub query_parameter_match_specifier: ::core::option::Option<query_parameter_matcher::QueryParameterMatchSpecifier>,
}
/// Nested message and enum types in `QueryParameterMatcher`.
pub mod query_parameter_matcher {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum QueryParameterMatchSpecifier {
        #[prost(message, tag = "5")]
        StringMatch(super::super::super::super::r#type::matcher::v3::StringMatcher),
        #[prost(bool, tag = "6")]
        PresentMatch(bool),
    }
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct RouteConfiguration {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(message, repeated, tag = "2")]
    pub virtual_hosts: ::prost::alloc::vec::Vec<VirtualHost>,
    #[prost(message, repeated, tag = "4")]
    pub response_headers_to_add: ::prost::alloc::vec::Vec<super::super::core::v3::HeaderValueOption>,
    #[prost(string, repeated, tag = "5")]
    pub response_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(message, repeated, tag = "6")]
    pub request_headers_to_add: ::prost::alloc::vec::Vec<super::super::core::v3::HeaderValueOption>,
    #[prost(string, repeated, tag = "8")]
    pub request_headers_to_remove: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
    #[prost(bool, tag = "10")]
    pub most_specific_header_mutations_wins: bool,
    #[prost(bool, tag = "14")]
    pub ignore_port_in_host_matching: bool,
}
