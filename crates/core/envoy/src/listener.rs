//! Reads `Listener` with its `HttpConnectionManager`.

use crate::common::{address, source, From};
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
    /// They stand in the listener.
    Inline(Arc<Table>),
    /// A route configuration of this name.
    Rds {
        /// Its name.
        name: Arc<str>,
        /// Where it comes from.
        from: From,
        /// Ports in authorities don't count.
        without_ports: bool,
    },
}

/// A listener.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Where it would listen; `None` for an API listener.
    pub address: Option<SocketAddr>,
    /// Its routes.
    pub routes: Routes,
}

/// Reads a listener.
pub fn listener(told: &Proto) -> Result<Listener, Refused> {
    if let Some(api) = told.api_listener.as_ref().and_then(|a| a.api_listener.as_ref()) {
        let routes = manager(api).map_err(|r| r.below("api_listener.api_listener"))?;
        return Ok(Listener { name: told.name.clone(), address: None, routes });
    }
    let address = address("address", told.address.as_ref(), true)?;
    let [chain] = told.filter_chains.as_slice() else {
        return Err(Refused::at("filter_chains", "expected one"));
    };
    let [filter] = chain.filters.as_slice() else {
        return Err(Refused::at("filter_chains[0].filters", "expected the HTTP connection manager alone"));
    };
    let at = "filter_chains[0].filters[0].typed_config";
    let Some(ConfigType::TypedConfig(any)) = &filter.config_type else {
        return Err(Refused::at(at, "missing"));
    };
    let routes = manager(any).map_err(|r| r.below(at))?;
    Ok(Listener { name: told.name.clone(), address: Some(address), routes })
}

fn manager(any: &Any) -> Result<Routes, Refused> {
    if any_name(&any.type_url) != MANAGER {
        return Err(Refused::at("", format!("expected {MANAGER}")));
    }
    let told = HttpConnectionManager::decode(any.value.as_slice());
    let told = told.map_err(|e| Refused::at("", e.to_string()))?;
    if !matches!(CodecType::try_from(told.codec_type), Ok(CodecType::Auto | CodecType::Http1)) {
        return Err(Refused::at("codec_type", "expected AUTO or HTTP1"));
    }
    let mut router = false;
    for (i, filter) in told.http_filters.iter().enumerate() {
        let known = match &filter.config_type {
            Some(http_filter::ConfigType::TypedConfig(any)) => any_name(&any.type_url) == ROUTER,
            _ => false,
        };
        let last = i + 1 == told.http_filters.len();
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
    let without_ports = matches!(told.strip_port_mode, Some(StripPortMode::StripAnyHostPort(true)));
    match &told.route_specifier {
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
