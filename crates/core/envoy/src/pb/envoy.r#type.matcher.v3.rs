// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct RegexMatcher {
    #[prost(string, tag = "2")]
    pub regex: ::prost::alloc::string::String,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct RegexMatchAndSubstitute {
    #[prost(message, optional, tag = "1")]
    pub pattern: ::core::option::Option<RegexMatcher>,
    #[prost(string, tag = "2")]
    pub substitution: ::prost::alloc::string::String,
}
#[derive(Clone, PartialEq, Eq, Hash, ::prost::Message)]
pub struct StringMatcher {
    #[prost(bool, tag = "6")]
    pub ignore_case: bool,
    #[prost(oneof = "string_matcher::MatchPattern", tags = "1, 2, 3, 5, 7")]
    pub match_pattern: ::core::option::Option<string_matcher::MatchPattern>,
}
/// Nested message and enum types in `StringMatcher`.
pub mod string_matcher {
    #[derive(Clone, PartialEq, Eq, Hash, ::prost::Oneof)]
    pub enum MatchPattern {
        #[prost(string, tag = "1")]
        Exact(::prost::alloc::string::String),
        #[prost(string, tag = "2")]
        Prefix(::prost::alloc::string::String),
        #[prost(string, tag = "3")]
        Suffix(::prost::alloc::string::String),
        #[prost(message, tag = "5")]
        SafeRegex(super::RegexMatcher),
        #[prost(string, tag = "7")]
        Contains(::prost::alloc::string::String),
    }
}
