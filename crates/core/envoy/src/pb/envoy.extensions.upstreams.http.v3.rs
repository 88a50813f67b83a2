// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct HttpProtocolOptions {
    #[prost(message, optional, tag = "1")]
    pub common_http_protocol_options: ::core::option::Option<super::super::super::super::config::core::v3::HttpProtocolOptions>,
    #[prost(oneof = "http_protocol_options::UpstreamProtocolOptions", tags = "3")]
    pub upstream_protocol_options: ::core::option::Option<http_protocol_options::UpstreamProtocolOptions>,
}
/// Nested message and enum types in `HttpProtocolOptions`.
pub mod http_protocol_options {
    #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
    pub struct ExplicitHttpConfig {
        #[prost(oneof = "explicit_http_config::ProtocolConfig", tags = "1, 2")]
        pub protocol_config: ::core::option::Option<explicit_http_config::ProtocolConfig>,
    }
    /// Nested message and enum types in `ExplicitHttpConfig`.
    pub mod explicit_http_config {
        #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Oneof)]
        pub enum ProtocolConfig {
            #[prost(message, tag = "1")]
            HttpProtocolOptions(super::super::super::super::super::super::config::core::v3::Http1ProtocolOptions),
            #[prost(message, tag = "2")]
            Http2ProtocolOptions(super::super::super::super::super::super::config::core::v3::Http2ProtocolOptions),
        }
    }
    #[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum UpstreamProtocolOptions {
        #[prost(message, tag = "3")]
        ExplicitHttpConfig(ExplicitHttpConfig),
    }
}
