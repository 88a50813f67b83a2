// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct Bootstrap {
    #[prost(message, optional, tag = "1")]
    pub node: ::core::option::Option<super::super::core::v3::Node>,
    #[prost(message, optional, tag = "2")]
    pub static_resources: ::core::option::Option<bootstrap::StaticResources>,
    #[prost(message, optional, tag = "3")]
    pub dynamic_resources: ::core::option::Option<bootstrap::DynamicResources>,
    #[prost(message, optional, tag = "4")]
    pub cluster_manager: ::core::option::Option<ClusterManager>,
    #[prost(message, optional, tag = "17")]
    pub layered_runtime: ::core::option::Option<LayeredRuntime>,
    #[prost(message, optional, tag = "12")]
    pub admin: ::core::option::Option<Admin>,
}
/// Nested message and enum types in `Bootstrap`.
pub mod bootstrap {
    #[derive(Clone, PartialEq, ::prost::Message)]
    pub struct StaticResources {
        #[prost(message, repeated, tag = "1")]
        pub listeners: ::prost::alloc::vec::Vec<super::super::super::listener::v3::Listener>,
        #[prost(message, repeated, tag = "2")]
        pub clusters: ::prost::alloc::vec::Vec<super::super::super::cluster::v3::Cluster>,
    }
    #[derive(Clone, PartialEq, ::prost::Message)]
    pub struct DynamicResources {
        #[prost(message, optional, tag = "1")]
        pub lds_config: ::core::option::Option<super::super::super::core::v3::ConfigSource>,
        #[prost(message, optional, tag = "2")]
        pub cds_config: ::core::option::Option<super::super::super::core::v3::ConfigSource>,
        #[prost(message, optional, tag = "3")]
        pub ads_config: ::core::option::Option<super::super::super::core::v3::ApiConfigSource>,
    }
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct Admin {
    #[prost(message, optional, tag = "3")]
    pub address: ::core::option::Option<super::super::core::v3::Address>,
}
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct ClusterManager {
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct RuntimeLayer {
    #[prost(string, tag = "1")]
    pub name: ::prost::alloc::string::String,
}
#[derive(Clone, PartialEq, ::prost::Message)]
pub struct LayeredRuntime {
    #[prost(message, repeated, tag = "1")]
    pub layers: ::prost::alloc::vec::Vec<RuntimeLayer>,
}
