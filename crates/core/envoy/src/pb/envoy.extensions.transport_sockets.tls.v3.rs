// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct TlsCertificate {
    #[prost(message, optional, tag = "1")]
    pub certificate_chain: ::core::option::Option<super::super::super::super::config::core::v3::DataSource>,
    #[prost(message, optional, tag = "2")]
    pub private_key: ::core::option::Option<super::super::super::super::config::core::v3::DataSource>,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct CertificateValidationContext {
    #[prost(message, optional, tag = "1")]
    pub trusted_ca: ::core::option::Option<super::super::super::super::config::core::v3::DataSource>,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct UpstreamTlsContext {
    #[prost(message, optional, tag = "1")]
    pub common_tls_context: ::core::option::Option<CommonTlsContext>,
    #[prost(string, tag = "2")]
    pub sni: ::prost::alloc::string::String,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct CommonTlsContext {
    #[prost(message, repeated, tag = "2")]
    pub tls_certificates: ::prost::alloc::vec::Vec<TlsCertificate>,
    #[prost(oneof = "common_tls_context::ValidationContextType", tags = "3")]
    pub validation_context_type: ::core::option::Option<common_tls_context::ValidationContextType>,
}
/// Nested message and enum types in `CommonTlsContext`.
pub mod common_tls_context {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum ValidationContextType {
        #[prost(message, tag = "3")]
        ValidationContext(super::CertificateValidationContext),
    }
}
