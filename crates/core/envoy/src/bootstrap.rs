//! Parses Envoy's bootstrap file: static resources, sources of dynamic resources, and this proxy's node identity.

use crate::cluster::{addresses, cluster, Cluster};
use crate::common::{address, source, ResourceSource, Source};
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

/// The full name of the bootstrap message.
pub const BOOTSTRAP: &str = "envoy.config.bootstrap.v3.Bootstrap";

/// Mutual TLS with control services: PEM files and the expected name in the services' certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// This proxy's certificate.
    pub cert: PathBuf,
    /// The private key of `cert`.
    pub key: PathBuf,
    /// The authority that signs the control services' certificates.
    pub ca: PathBuf,
    /// The expected name in the control services' certificate (SNI).
    pub name: String,
}

/// The aggregated discovery service (ADS) stream.
#[derive(Clone, Debug)]
pub struct Ads {
    /// Addresses of the control services; the proxy subscribes to one at a time.
    pub addresses: Vec<SocketAddr>,
    /// Whether to use the state-of-the-world variant (`GRPC`) instead of delta (`DELTA_GRPC`).
    pub sotw: bool,
    /// Mutual TLS; required unless all addresses are loopback.
    pub secrets: Option<Secrets>,
    /// The static cluster that contains the control services.
    pub cluster: String,
}

/// A parsed bootstrap file.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    /// This proxy's identity as sent to control services: an encoded `envoy.config.core.v3.Node`.
    pub node: Vec<u8>,
    /// Static clusters except that of the control services, each with its encoded message.
    pub clusters: Vec<(Cluster, Vec<u8>)>,
    /// Static listeners, each with its encoded message.
    pub listeners: Vec<(Listener, Vec<u8>)>,
    /// The source of dynamic clusters.
    pub cds: Option<ResourceSource>,
    /// The source of dynamic listeners.
    pub lds: Option<ResourceSource>,
    /// The ADS stream.
    pub ads: Option<Ads>,
    /// The address of the admin page.
    pub admin: Option<SocketAddr>,
    /// Ignored fields, with the reasons.
    pub notes: Notes,
}

/// Parses the text of a bootstrap file, YAML or JSON.
///
/// # Errors
/// Returns the path of the first invalid field and the reason.
pub fn bootstrap(text: &str) -> Result<Bootstrap, Refused> {
    let mut notes = Notes::default();
    let encoded = encode(BOOTSTRAP, &parse(text)?, "", &mut notes)?;
    let proto = Proto::decode(encoded.as_slice()).map_err(|e| Refused::at("(file)", e.to_string()))?;
    let node = proto.node.as_ref().map(Node::encode_to_vec).unwrap_or_default();
    let resources = proto.static_resources.unwrap_or_default();
    let dynamic = proto.dynamic_resources.unwrap_or_default();
    let from = |name: &str, proto: Option<_>| {
        proto.map(|s| source(s).map_err(|r| r.below(format!("dynamic_resources.{name}")))).transpose()
    };
    let (cds, lds) =
        (from("cds_config", dynamic.cds_config.as_ref())?, from("lds_config", dynamic.lds_config.as_ref())?);
    let ads = match &dynamic.ads_config {
        None => None,
        Some(proto) => {
            let below = |r: Refused| r.below("dynamic_resources.ads_config");
            Some(ads_stream(proto, &resources.clusters).map_err(below)?)
        }
    };
    let mut clusters = Vec::new();
    for (i, proto) in resources.clusters.iter().enumerate() {
        let at = format!("static_resources.clusters[{i}]");
        if ads.as_ref().is_some_and(|a| a.cluster == proto.name) {
            continue;
        }
        let read = cluster(proto).and_then(Cluster::usable).map_err(|r| r.below(&at))?;
        if clusters.iter().any(|(c, _): &(Cluster, _)| c.name == read.name) {
            return Err(Refused::at(format!("{at}.name"), format!("{:?} stands already", read.name)));
        }
        clusters.push((read, proto.encode_to_vec()));
    }
    let mut listeners = Vec::new();
    for (i, proto) in resources.listeners.iter().enumerate() {
        let read = listener(proto).map_err(|r| r.below(format!("static_resources.listeners[{i}]")))?;
        listeners.push((read, proto.encode_to_vec()));
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
    let admin = proto.admin.as_ref().and_then(|a| a.address.as_ref());
    let admin = admin.map(|a| address("admin.address", Some(a), true)).transpose()?;
    if let Some(beyond) = admin.filter(|a| !a.ip().is_loopback()) {
        return Err(Refused::at(
            "admin.address",
            format!("{beyond} is beyond loopback; the page has no locks"),
        ));
    }
    Ok(Bootstrap { node, clusters, listeners, cds, lds, ads, admin, notes })
}

fn ads_stream(proto: &ApiConfigSource, clusters: &[ProtoCluster]) -> Result<Ads, Refused> {
    let sotw = match ApiType::try_from(proto.api_type) {
        Ok(ApiType::Grpc) => true,
        Ok(ApiType::DeltaGrpc) => false,
        _ => return Err(Refused::at("api_type", "expected GRPC or DELTA_GRPC")),
    };
    if !matches!(ApiVersion::try_from(proto.transport_api_version), Ok(ApiVersion::V3)) {
        return Err(Refused::at("transport_api_version", "expected V3"));
    }
    let [service] = proto.grpc_services.as_slice() else {
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
    let secrets = tls_secrets(found).map_err(below)?;
    if let Some(beyond) = addresses.iter().find(|a| secrets.is_none() && !a.ip().is_loopback()) {
        return Err(Refused::at(
            at,
            format!("{beyond} is beyond loopback and has no TLS; give it transport_socket"),
        ));
    }
    Ok(Ads { addresses, sotw, secrets, cluster: grpc.cluster_name.clone() })
}

fn tls_secrets(proto: &ProtoCluster) -> Result<Option<Secrets>, Refused> {
    let Some(socket) = &proto.transport_socket else { return Ok(None) };
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
    let file = |proto: Option<&DataSource>, name: &str| match proto.and_then(|d| d.specifier.as_ref()) {
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
