// Made by examples/types.rs from the descriptors of the published API; not to be changed by hand.
#[derive(Clone, Copy, PartialEq, Eq, Hash, ::prost::Message)]
pub struct ClientSideWeightedRoundRobin {
}
