//! Reads Envoy's bootstrap file: what is static, where the rest comes from, who this proxy is.

use crate::cluster::{addresses, cluster, Cluster};
use crate::common::{address, source, From, Source};
use crate::listener::{listener, Listener};
use crate::pb::envoy::config::bootstrap::v3::Bootstrap as Proto;
use crate::pb::envoy::config::cluster::v3::Cluster as ProtoCluster;
use crate::pb::envoy::config::core::v3::{
    api_config_source::ApiType, data_source::Specifier as Data, grpc_service::TargetSpecifier,
    transport_socket::ConfigType, ApiConfigSource, ApiVersion, DataSource, Node,
};
use crate::pb::envoy::extensions::transport_sockets::tls::v3::{
    common_tls_context::ValidationContextType, UpstreamTlsContext,
};
use crate::text::{encode, parse};
use crate::wire::{any_name, Notes, Refused};
use prost::Message as _;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The full name of the message.
pub const BOOTSTRAP: &str = "envoy.config.bootstrap.v3.Bootstrap";

/// Mutual TLS with control services: PEM files, and the name in their certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// This proxy's certificate.
    pub cert: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority that signs the control services' certificates.
    pub ca: PathBuf,
    /// The name in their certificate.
    pub name: String,
}

/// The aggregated stream.
#[derive(Clone, Debug)]
pub struct Ads {
    /// Control services by address; one is followed at a time.
    pub addresses: Vec<SocketAddr>,
    /// The state-of-the-world variant is to be spoken (`GRPC`), not delta (`DELTA_GRPC`).
    pub sotw: bool,
    /// Mutual TLS.
    pub secrets: Option<Secrets>,
    /// The static cluster that they form.
    pub cluster: String,
}

/// A bootstrap file, read.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    /// Who this proxy is, as control services are told: an encoded `envoy.config.core.v3.Node`.
    pub node: Vec<u8>,
    /// Clusters that stand in the file, without the control services'; each with its encoded message.
    pub clusters: Vec<(Cluster, Vec<u8>)>,
    /// Listeners that stand in the file.
    pub listeners: Vec<(Listener, Vec<u8>)>,
    /// Where clusters come from beside.
    pub cds: Option<From>,
    /// Where listeners come from beside.
    pub lds: Option<From>,
    /// The aggregated stream.
    pub ads: Option<Ads>,
    /// Where the admin page is.
    pub admin: Option<SocketAddr>,
    /// Fields that are ignored, and why.
    pub notes: Notes,
}

/// Reads the text of a bootstrap file, YAML or JSON.
///
/// # Errors
/// The path of the field at fault, and what is wrong with it.
pub fn bootstrap(text: &str) -> Result<Bootstrap, Refused> {
    let mut notes = Notes::default();
    let encoded = encode(BOOTSTRAP, &parse(text)?, "", &mut notes)?;
    let told = Proto::decode(encoded.as_slice()).map_err(|e| Refused::at("(file)", e.to_string()))?;
    let node = told.node.as_ref().map(Node::encode_to_vec).unwrap_or_default();
    let resources = told.static_resources.unwrap_or_default();
    let dynamic = told.dynamic_resources.unwrap_or_default();
    let from = |name: &str, told: Option<_>| {
        told.map(|s| source(s).map_err(|r| r.below(format!("dynamic_resources.{name}")))).transpose()
    };
    let (cds, lds) =
        (from("cds_config", dynamic.cds_config.as_ref())?, from("lds_config", dynamic.lds_config.as_ref())?);
    let ads = match &dynamic.ads_config {
        None => None,
        Some(told) => {
            let below = |r: Refused| r.below("dynamic_resources.ads_config");
            Some(stream(told, &resources.clusters).map_err(below)?)
        }
    };
    let mut clusters = Vec::new();
    for (i, told) in resources.clusters.iter().enumerate() {
        let at = format!("static_resources.clusters[{i}]");
        if ads.as_ref().is_some_and(|a| a.cluster == told.name) {
            continue;
        }
        let read = cluster(told).and_then(Cluster::usable).map_err(|r| r.below(&at))?;
        if clusters.iter().any(|(c, _): &(Cluster, _)| c.name == read.name) {
            return Err(Refused::at(format!("{at}.name"), format!("{:?} stands already", read.name)));
        }
        clusters.push((read, told.encode_to_vec()));
    }
    let mut listeners = Vec::new();
    for (i, told) in resources.listeners.iter().enumerate() {
        let read = listener(told).map_err(|r| r.below(format!("static_resources.listeners[{i}]")))?;
        listeners.push((read, told.encode_to_vec()));
    }
    if listeners.len() > 1 {
        return Err(Refused::at("static_resources.listeners[1]", "one listener is served"));
    }
    if listeners.is_empty() && lds.is_none() {
        return Err(Refused::at(
            "static_resources.listeners",
            "expected one, or dynamic_resources.lds_config",
        ));
    }
    let mut sources: Vec<&Source> = cds.iter().chain(&lds).map(|f| &f.source).collect();
    for (cluster, _) in &clusters {
        if let crate::cluster::Members::Eds { from, .. } = &cluster.members {
            sources.push(&from.source);
        }
    }
    if ads.is_none() && sources.contains(&&Source::Ads) {
        return Err(Refused::at("dynamic_resources.ads_config", "missing, and a source says ads"));
    }
    let admin = told.admin.as_ref().and_then(|a| a.address.as_ref());
    let admin = admin.map(|a| address("admin.address", Some(a), true)).transpose()?;
    if let Some(beyond) = admin.filter(|a| !a.ip().is_loopback()) {
        return Err(Refused::at(
            "admin.address",
            format!("{beyond} is beyond loopback; the page has no locks"),
        ));
    }
    Ok(Bootstrap { node, clusters, listeners, cds, lds, ads, admin, notes })
}

fn stream(told: &ApiConfigSource, clusters: &[ProtoCluster]) -> Result<Ads, Refused> {
    let sotw = match ApiType::try_from(told.api_type) {
        Ok(ApiType::Grpc) => true,
        Ok(ApiType::DeltaGrpc) => false,
        _ => return Err(Refused::at("api_type", "expected GRPC or DELTA_GRPC")),
    };
    if !matches!(ApiVersion::try_from(told.transport_api_version), Ok(ApiVersion::V3)) {
        return Err(Refused::at("transport_api_version", "expected V3"));
    }
    let [service] = told.grpc_services.as_slice() else {
        return Err(Refused::at("grpc_services", "expected one"));
    };
    let Some(TargetSpecifier::EnvoyGrpc(grpc)) = &service.target_specifier else {
        return Err(Refused::at("grpc_services[0]", "expected envoy_grpc"));
    };
    let at = "grpc_services[0].envoy_grpc.cluster_name";
    let found = clusters.iter().enumerate().find(|(_, c)| c.name == grpc.cluster_name);
    let (i, found) =
        found.ok_or_else(|| Refused::at(at, format!("{:?} is no static cluster", grpc.cluster_name)))?;
    let below = |r: Refused| r.below(format!("static_resources.clusters[{i}]"));
    if !cluster(found).map_err(below)?.http2 {
        let why = format!("{:?} does not speak HTTP/2; give it http2_protocol_options", grpc.cluster_name);
        return Err(Refused::at(at, why));
    }
    let addresses = addresses(found).map_err(below)?.into_iter().map(|(host, port)| {
        let ip = host.parse().map_err(|_| Refused::at(at, format!("{host:?} is no IP address")));
        Ok(SocketAddr::new(ip?, port))
    });
    let addresses = addresses.collect::<Result<Vec<_>, Refused>>()?;
    let secrets = secrets(found).map_err(below)?;
    if let Some(beyond) = addresses.iter().find(|a| secrets.is_none() && !a.ip().is_loopback()) {
        return Err(Refused::at(
            at,
            format!("{beyond} is beyond loopback and has no TLS; give it transport_socket"),
        ));
    }
    Ok(Ads { addresses, sotw, secrets, cluster: grpc.cluster_name.clone() })
}

fn secrets(told: &ProtoCluster) -> Result<Option<Secrets>, Refused> {
    let Some(socket) = &told.transport_socket else { return Ok(None) };
    let at = "transport_socket.typed_config";
    let Some(ConfigType::TypedConfig(any)) = &socket.config_type else {
        return Err(Refused::at(at, "missing"));
    };
    if any_name(&any.type_url) != "envoy.extensions.transport_sockets.tls.v3.UpstreamTlsContext" {
        return Err(Refused::at(at, "expected UpstreamTlsContext"));
    }
    let read =
        UpstreamTlsContext::decode(any.value.as_slice()).map_err(|e| Refused::at(at, e.to_string()))?;
    let context = read.common_tls_context.unwrap_or_default();
    let file = |told: Option<&DataSource>, name: &str| match told.and_then(|d| d.specifier.as_ref()) {
        Some(Data::Filename(path)) => Ok(PathBuf::from(path)),
        _ => Err(Refused::at(format!("{at}.common_tls_context.{name}"), "expected a filename")),
    };
    let [pair] = context.tls_certificates.as_slice() else {
        return Err(Refused::at(format!("{at}.common_tls_context.tls_certificates"), "expected one"));
    };
    let ca = match &context.validation_context_type {
        Some(ValidationContextType::ValidationContext(v)) => v.trusted_ca.as_ref(),
        _ => None,
    };
    Ok(Some(Secrets {
        cert: file(pair.certificate_chain.as_ref(), "tls_certificates[0].certificate_chain")?,
        key: file(pair.private_key.as_ref(), "tls_certificates[0].private_key")?,
        ca: file(ca, "validation_context.trusted_ca")?,
        name: read.sni,
    }))
}
