// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct ClusterConfig {
    #[prost(string, repeated, tag = "1")]
    pub clusters: ::prost::alloc::vec::Vec<::prost::alloc::string::String>,
}
