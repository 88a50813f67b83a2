//! Parses resources from an xDS stream or a file.

use crate::cluster::{cluster, Cluster};
use crate::endpoints::assignment;
use crate::listener::{listener, Listener};
use crate::pb::envoy::config::cluster::v3::Cluster as ProtoCluster;
use crate::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use crate::pb::envoy::config::listener::v3::Listener as ProtoListener;
use crate::pb::envoy::config::route::v3::RouteConfiguration;
use crate::pb::envoy::service::discovery::v3::DiscoveryResponse;
use crate::route::table;
use crate::text::{encode, parse};
use crate::wire::{any_name, check, Notes, Refused};
use prost::Message;
use rushquay_load_assignment::Assignment;
use rushquay_routing::Table;
use rushquay_xds::Kind;
use std::sync::Arc;

/// A parsed resource.
#[derive(Clone, Debug)]
pub enum Item {
    /// A cluster (CDS).
    Cluster(Box<Cluster>),
    /// A load assignment (EDS).
    Endpoints(Arc<Assignment>),
    /// A listener (LDS).
    Listener(Box<Listener>),
    /// A route table (RDS).
    Table(Arc<Table>),
}

/// A parsed resource with its encoded message.
#[derive(Clone, Debug)]
pub struct Resource {
    /// Its name.
    pub name: String,
    /// The version given by the server; may be empty.
    pub version: String,
    /// The parsed content.
    pub item: Item,
    /// The encoded message.
    pub encoded: Vec<u8>,
}

/// The full name of a kind's message.
pub fn message_of(kind: Kind) -> &'static str {
    any_name(kind.type_url())
}

/// Parses an encoded resource.
///
/// # Errors
/// Returns the path of the first invalid field and the reason; no part of the resource may be used.
pub fn decode(kind: Kind, encoded: &[u8], notes: &mut Notes) -> Result<(String, Item), Refused> {
    check(message_of(kind), encoded, "", notes)?;
    fn read<M: Message + Default>(encoded: &[u8]) -> Result<M, Refused> {
        M::decode(encoded).map_err(|e| Refused::at("", e.to_string()))
    }
    let non_empty = |name: &str, field| match name {
        "" => Err(Refused::at(field, "empty")),
        name => Ok(name.to_owned()),
    };
    Ok(match kind {
        Kind::Cluster => {
            let proto: ProtoCluster = read(encoded)?;
            let item = cluster(&proto)?.usable()?;
            (proto.name, Item::Cluster(Box::new(item)))
        }
        Kind::Endpoints => {
            let proto: ClusterLoadAssignment = read(encoded)?;
            (non_empty(&proto.cluster_name, "cluster_name")?, Item::Endpoints(Arc::new(assignment(&proto)?)))
        }
        Kind::Listener => {
            let proto: ProtoListener = read(encoded)?;
            (non_empty(&proto.name, "name")?, Item::Listener(Box::new(listener(&proto)?)))
        }
        Kind::Route => {
            let proto: RouteConfiguration = read(encoded)?;
            (non_empty(&proto.name, "name")?, Item::Table(Arc::new(table(&proto, false)?)))
        }
        Kind::Endpoint => return Err(Refused::at("", "collections are not read here")),
        Kind::Extension => return Err(Refused::at("", "extensions are not read here")),
    })
}

/// Parses a file of resources (`path_config_source`): a `DiscoveryResponse` in YAML or JSON.
///
/// # Errors
/// As for [`decode`]; also if a resource has another type or a name occurs twice.
pub fn file(kind: Kind, text: &str, notes: &mut Notes) -> Result<Vec<Resource>, Refused> {
    let name = "envoy.service.discovery.v3.DiscoveryResponse";
    let encoded = encode(name, &parse(text)?, "", notes)?;
    let proto =
        DiscoveryResponse::decode(encoded.as_slice()).map_err(|e| Refused::at("(file)", e.to_string()))?;
    let mut read: Vec<Resource> = Vec::with_capacity(proto.resources.len());
    for (i, any) in proto.resources.into_iter().enumerate() {
        let at = format!("resources[{i}]");
        if any_name(&any.type_url) != message_of(kind) {
            return Err(Refused::at(at, format!("{}; expected {}", any.type_url, message_of(kind))));
        }
        let (name, item) = decode(kind, &any.value, notes).map_err(|r| r.below(&at))?;
        if read.iter().any(|r| r.name == name) {
            return Err(Refused::at(at, format!("{name:?} stands already")));
        }
        read.push(Resource { name, version: proto.version_info.clone(), item, encoded: any.value });
    }
    Ok(read)
}
