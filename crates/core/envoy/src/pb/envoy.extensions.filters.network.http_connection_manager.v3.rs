// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct HttpConnectionManager {
    #[prost(enumeration = "http_connection_manager::CodecType", tag = "1")]
    pub codec_type: i32,
    #[prost(message, repeated, tag = "5")]
    pub http_filters: ::prost::alloc::vec::Vec<HttpFilter>,
    #[prost(oneof = "http_connection_manager::RouteSpecifier", tags = "3, 4")]
    pub route_specifier: ::core::option::Option<http_connection_manager::RouteSpecifier>,
    #[prost(oneof = "http_connection_manager::StripPortMode", tags = "42")]
    pub strip_port_mode: ::core::option::Option<http_connection_manager::StripPortMode>,
}
/// Nested message and enum types in `HttpConnectionManager`.
pub mod http_connection_manager {
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ::prost::Enumeration)]
    #[repr(i32)]
    pub enum CodecType {
        Auto = 0,
        Http1 = 1,
        Http2 = 2,
        Http3 = 3,
    }
    impl CodecType {
        /// String value of the enum field names used in the ProtoBuf definition.
        ///
        /// The values are not transformed in any way and thus are considered stable
        /// (if the ProtoBuf definition does not change) and safe for programmatic use.
        pub fn as_str_name(&self) -> &'static str {
            match self {
                Self::Auto => "AUTO",
                Self::Http1 => "HTTP1",
                Self::Http2 => "HTTP2",
                Self::Http3 => "HTTP3",
            }
        }
        /// Creates an enum from field names used in the ProtoBuf definition.
        pub fn from_str_name(value: &str) -> ::core::option::Option<Self> {
            match value {
                "AUTO" => Some(Self::Auto),
                "HTTP1" => Some(Self::Http1),
                "HTTP2" => Some(Self::Http2),
                "HTTP3" => Some(Self::Http3),
                _ => None,
            }
        }
    }
    #[derive(Clone, PartialEq, ::prost::Oneof)]
    pub enum RouteSpecifier {
        #[prost(message, tag = "3")]
        Rds(super::Rds),
        #[prost(message, tag = "4")]
        RouteConfig(super::super::super::super::super::super::config::route::v3::RouteConfiguration),
    }
    #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum StripPortMode {
        #[prost(bool, tag = "42")]
        StripAnyHostPort(bool),
    }
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Rds {
    #[prost(message, optional, tag = "1")]
    pub config_source: ::core::option::Option<super::super::super::super::super::config::core::v3::ConfigSource>,
    #[prost(string, tag = "2")]
    pub route_config_name: ::prost::alloc::string::String,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct HttpFilter {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
    #[prost(bool, tag = "6")]
    pub is_optional: bool,
    #[prost(bool, tag = "7")]
    pub disabled: bool,
    #[prost(oneof = "http_filter::ConfigType", tags = "4")]
    pub config_type: ::core::option::Option<http_filter::ConfigType>,
}
/// Nested message and enum types in `HttpFilter`.
pub mod http_filter {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum ConfigType {
        #[prost(message, tag = "4")]
        TypedConfig(::envoy_types::pb::google::protobuf::Any),
    }
}
