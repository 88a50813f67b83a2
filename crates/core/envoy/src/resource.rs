//! Reads resources as they come, on a stream or in a file.

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

/// A resource, read.
#[derive(Clone, Debug)]
pub enum Item {
    /// CDS.
    Cluster(Box<Cluster>),
    /// EDS.
    Endpoints(Arc<Assignment>),
    /// LDS.
    Listener(Box<Listener>),
    /// RDS.
    Table(Arc<Table>),
}

/// A resource with what it was read from.
#[derive(Clone, Debug)]
pub struct Resource {
    /// Its name.
    pub name: String,
    /// Its version, as far as it is told.
    pub version: String,
    /// What it says.
    pub item: Item,
    /// The encoded message.
    pub encoded: Vec<u8>,
}

/// The full name of a kind's message.
pub fn message_of(kind: Kind) -> &'static str {
    any_name(kind.type_url())
}

/// Reads an encoded resource.
///
/// # Errors
/// The path of the field at fault, and what is wrong with it; nothing of the resource is to be used.
pub fn decode(kind: Kind, encoded: &[u8], notes: &mut Notes) -> Result<(String, Item), Refused> {
    check(message_of(kind), encoded, "", notes)?;
    fn read<M: Message + Default>(encoded: &[u8]) -> Result<M, Refused> {
        M::decode(encoded).map_err(|e| Refused::at("", e.to_string()))
    }
    let named = |name: &str, field| match name {
        "" => Err(Refused::at(field, "empty")),
        name => Ok(name.to_owned()),
    };
    Ok(match kind {
        Kind::Cluster => {
            let told: ProtoCluster = read(encoded)?;
            let item = cluster(&told)?.usable()?;
            (told.name, Item::Cluster(Box::new(item)))
        }
        Kind::Endpoints => {
            let told: ClusterLoadAssignment = read(encoded)?;
            (named(&told.cluster_name, "cluster_name")?, Item::Endpoints(Arc::new(assignment(&told)?)))
        }
        Kind::Listener => {
            let told: ProtoListener = read(encoded)?;
            (named(&told.name, "name")?, Item::Listener(Box::new(listener(&told)?)))
        }
        Kind::Route => {
            let told: RouteConfiguration = read(encoded)?;
            (named(&told.name, "name")?, Item::Table(Arc::new(table(&told, false)?)))
        }
        Kind::Endpoint => return Err(Refused::at("", "collections are not read here")),
        Kind::Extension => return Err(Refused::at("", "extensions are not read here")),
    })
}

/// Reads a file of resources (`path_config_source`): a `DiscoveryResponse` in YAML or JSON.
///
/// # Errors
/// As for [`decode`].
pub fn file(kind: Kind, text: &str, notes: &mut Notes) -> Result<Vec<Resource>, Refused> {
    let name = "envoy.service.discovery.v3.DiscoveryResponse";
    let encoded = encode(name, &parse(text)?, "", notes)?;
    let told =
        DiscoveryResponse::decode(encoded.as_slice()).map_err(|e| Refused::at("(file)", e.to_string()))?;
    let mut read: Vec<Resource> = Vec::with_capacity(told.resources.len());
    for (i, any) in told.resources.into_iter().enumerate() {
        let at = format!("resources[{i}]");
        if any_name(&any.type_url) != message_of(kind) {
            return Err(Refused::at(at, format!("{}; expected {}", any.type_url, message_of(kind))));
        }
        let (name, item) = decode(kind, &any.value, notes).map_err(|r| r.below(&at))?;
        if read.iter().any(|r| r.name == name) {
            return Err(Refused::at(at, format!("{name:?} stands already")));
        }
        read.push(Resource { name, version: told.version_info.clone(), item, encoded: any.value });
    }
    Ok(read)
}
