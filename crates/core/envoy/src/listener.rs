//! Parses `Listener` and its `HttpConnectionManager`.

use crate::common::{address, source, ResourceSource};
use crate::pb::envoy::config::listener::v3::{filter::ConfigType, Listener as Proto};
use crate::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    http_connection_manager::{CodecType, RouteSpecifier},
    http_filter, HttpConnectionManager,
};
use crate::route::table;
use crate::wire::{any_name, Refused};
use envoy_types::pb::google::protobuf::Any;
use prost::Message as _;
use rushquay_routing::Table;
use std::net::SocketAddr;
use std::sync::Arc;

const MANAGER: &str = "envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
const ROUTER: &str = "envoy.extensions.filters.http.router.v3.Router";

/// Where a listener's routes come from.
#[derive(Clone, Debug)]
pub enum Routes {
    /// They are part of the listener resource.
    Inline(Arc<Table>),
    /// They come from a `RouteConfiguration` (RDS).
    Rds {
        /// The route configuration's name.
        name: Arc<str>,
        /// The source of the route configuration.
        from: ResourceSource,
        /// Whether the port in a request's authority is ignored.
        without_ports: bool,
    },
}

/// A parsed listener.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// The address in the resource; `None` for an API listener.
    pub address: Option<SocketAddr>,
    /// Its routes.
    pub routes: Routes,
}

/// Parses a listener.
pub fn listener(proto: &Proto) -> Result<Listener, Refused> {
    if let Some(api) = proto.api_listener.as_ref().and_then(|a| a.api_listener.as_ref()) {
        let routes = connection_manager(api).map_err(|r| r.below("api_listener.api_listener"))?;
        return Ok(Listener { name: proto.name.clone(), address: None, routes });
    }
    let address = address("address", proto.address.as_ref(), true)?;
    let [chain] = proto.filter_chains.as_slice() else {
        return Err(Refused::at("filter_chains", "expected one"));
    };
    let [filter] = chain.filters.as_slice() else {
        return Err(Refused::at("filter_chains[0].filters", "expected the HTTP connection manager alone"));
    };
    let at = "filter_chains[0].filters[0].typed_config";
    let Some(ConfigType::TypedConfig(any)) = &filter.config_type else {
        return Err(Refused::at(at, "missing"));
    };
    let routes = connection_manager(any).map_err(|r| r.below(at))?;
    Ok(Listener { name: proto.name.clone(), address: Some(address), routes })
}

fn connection_manager(any: &Any) -> Result<Routes, Refused> {
    if any_name(&any.type_url) != MANAGER {
        return Err(Refused::at("", format!("expected {MANAGER}")));
    }
    let proto = HttpConnectionManager::decode(any.value.as_slice());
    let proto = proto.map_err(|e| Refused::at("", e.to_string()))?;
    if !matches!(CodecType::try_from(proto.codec_type), Ok(CodecType::Auto | CodecType::Http1)) {
        return Err(Refused::at("codec_type", "expected AUTO or HTTP1"));
    }
    let mut router = false;
    for (i, filter) in proto.http_filters.iter().enumerate() {
        let known = match &filter.config_type {
            Some(http_filter::ConfigType::TypedConfig(any)) => any_name(&any.type_url) == ROUTER,
            _ => false,
        };
        let last = i + 1 == proto.http_filters.len();
        match (known, filter.is_optional || filter.disabled) {
            (true, _) if last && !filter.disabled => router = true,
            (false, true) => {}
            _ => {
                return Err(Refused::at(
                    format!("http_filters[{i}]"),
                    "only the router is done here, as the last one",
                ))
            }
        }
    }
    if !router {
        return Err(Refused::at("http_filters", "expected envoy.filters.http.router as the last one"));
    }
    use crate::pb::envoy::extensions::filters::network::http_connection_manager::v3::http_connection_manager::StripPortMode;
    let without_ports = matches!(proto.strip_port_mode, Some(StripPortMode::StripAnyHostPort(true)));
    match &proto.route_specifier {
        Some(RouteSpecifier::RouteConfig(config)) => {
            Ok(Routes::Inline(Arc::new(table(config, without_ports).map_err(|r| r.below("route_config"))?)))
        }
        Some(RouteSpecifier::Rds(rds)) if !rds.route_config_name.is_empty() => {
            let from = rds.config_source.as_ref();
            let from = from.ok_or_else(|| Refused::at("rds.config_source", "missing"))?;
            let from = source(from).map_err(|r| r.below("rds.config_source"))?;
            Ok(Routes::Rds { name: rds.route_config_name.as_str().into(), from, without_ports })
        }
        _ => Err(Refused::at("route_specifier", "expected route_config or rds with a name")),
    }
}
