//! Routes requests: selects the cluster and changes the request's head, or answers the request directly.

use crate::api::Nanos;
use crate::proxy::config::interner::key;
use crate::proxy::http::answer::Answer;
use crate::proxy::http::responses::{plain, respond_with};
use crate::proxy::upstream::attempt_policy::AttemptPolicy;
use crate::proxy::upstream::load_assignment::{Cluster, ClusterSet};
use crate::proxy::Body;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use rushquay_load_assignment::{BreakerLimit, BreakerSlot, RoutePriority};
use rushquay_routing::{self as routes, Action, Append, Clusters, Head, Mutations};
use std::rc::Rc;
use std::time::Duration;

/// `Retry-After` of a rejected request, if the settings allow as much: limits and overloads pass soon.
const MAX_OWN_RETRY_AFTER: Nanos = 1_000_000_000;

/// The result of routing a request.
pub enum Routed {
    /// The proxy answers the request itself.
    Answered(Response<Body>),
    /// The request is forwarded.
    Forward(Box<Forward>),
}

/// A request to be forwarded; its head has been changed by its route.
pub struct Forward {
    pub cluster: Rc<Cluster>,
    /// The class, if the route names one.
    pub class: Option<String>,
    /// Maximum time for the request.
    pub timeout: Option<Nanos>,
    pub terms: Rc<AttemptPolicy>,
    /// Changes to the response headers, in order.
    response_changes: Vec<Mutations>,
    _slot: Option<BreakerSlot>,
}

impl Forward {
    /// Applies the route's changes to the response headers.
    pub fn change_response(&self, answer: &mut Response<Body>) {
        self.response_changes.iter().for_each(|m| apply_changes(m, answer.headers_mut()));
    }
}

/// The request head as the route matchers see it.
struct RequestHead<'a> {
    parts: &'a Parts,
    authority: &'a str,
}

impl Head for RequestHead<'_> {
    fn authority(&self) -> &str {
        self.authority
    }

    fn path(&self) -> &str {
        self.parts.uri.path()
    }

    fn query(&self) -> &str {
        self.parts.uri.query().unwrap_or("")
    }

    fn method(&self) -> &str {
        self.parts.method.as_str()
    }

    fn header<'a>(&'a self, name: &'a str) -> Box<dyn Iterator<Item = &'a str> + 'a> {
        match HeaderName::from_bytes(name.as_bytes()) {
            Ok(name) => {
                Box::new(self.parts.headers.get_all(name).iter().map(|v| v.to_str().unwrap_or_default()))
            }
            Err(_) => Box::new(std::iter::empty()),
        }
    }
}

/// Hashes a key to a number in [0, 1), different for each salt, so that a key always selects the same cluster.
fn key_fraction(key: u64, salt: u64) -> f64 {
    let mut x = key ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Salts of the choice among weighted clusters, and among the members of an aggregate cluster.
const BY_WEIGHT: u64 = 1;
const BY_AGGREGATE: u64 = 2;

impl ClusterSet {
    /// Returns the `Retry-After` of a request that the proxy itself rejects.
    fn retry_after(&self) -> Duration {
        Duration::from_nanos(self.settings().max_retry_after.min(MAX_OWN_RETRY_AFTER))
    }

    fn reject(&self) -> Routed {
        Routed::Answered(respond_with(Answer::Rejected(self.retry_after())))
    }

    /// Finds the route of a request and applies the route's changes to its head. `random` returns numbers in [0, 1).
    pub fn route(&self, parts: &mut Parts, mut random: impl FnMut() -> f64) -> Routed {
        // No routes have been received yet; the client may retry.
        let Some(table) = self.table() else { return self.reject() };
        let host_header = parts.headers.get(HOST).and_then(|h| h.to_str().ok()).map(str::to_owned);
        let authority = parts.uri.authority().map(|a| a.to_string()).or(host_header).unwrap_or_default();
        let request_head = RequestHead { parts, authority: &authority };
        let Some(found) = table.find(&request_head, &mut random) else {
            return Routed::Answered(plain(StatusCode::NOT_FOUND, "no such route"));
        };
        let route = found.route;
        let (clusters, not_found, host, timeout, retries, importance) = match &route.action {
            Action::Direct(direct) => {
                let mut answer = Response::new(Body::new(Bytes::from(direct.body.clone())));
                *answer.status_mut() = StatusCode::from_u16(direct.status).unwrap_or(StatusCode::OK);
                let changes = header_changes(None, &route.response, found.response, found.specific_last);
                changes.iter().for_each(|m| apply_changes(m, answer.headers_mut()));
                return Routed::Answered(answer);
            }
            Action::Forward { clusters, not_found, host, timeout, retries, importance, .. } => {
                (clusters, *not_found, host, *timeout, retries, *importance)
            }
        };
        let rewritten = route.rewritten(request_head.path());
        let path = rewritten.as_deref().unwrap_or(request_head.path());
        // Danger: if clusters were chosen at random, each key would be spread over all of them, and seldom be cached where it is requested.
        let key_hash = path.rsplit('/').next().filter(|k| !k.is_empty()).map(key);
        let mut fraction = |salt| key_hash.map_or_else(&mut random, |key| key_fraction(key, salt));
        let picked = clusters.pick(&request_head, fraction(BY_WEIGHT));
        let Some((name, weighted)) = picked else {
            return Routed::Answered(missing_cluster(not_found, self.retry_after()));
        };
        let cluster = match self.find(&name, fraction(BY_AGGREGATE)) {
            Some(Some(cluster)) => cluster,
            Some(None) => return self.reject(),
            None => return Routed::Answered(missing_cluster(not_found, self.retry_after())),
        };
        cluster.requests.set(cluster.requests.get() + 1);
        let shed = {
            let overloads = cluster.overloads.borrow();
            overloads.iter().any(|o| random() < o.part)
                || cluster.rejected_fraction.get() > 0.0 && random() < cluster.rejected_fraction.get()
        };
        let importance = match importance {
            routes::RoutePriority::Default => RoutePriority::Default,
            routes::RoutePriority::High => RoutePriority::High,
        };
        let breakers = cluster.breakers.borrow().clone();
        let slot = breakers.as_ref().map(|b| b.acquire(importance, BreakerLimit::Requests)).transpose();
        let slot = match slot {
            // Without an endpoint that can serve, the request is rejected here.
            Ok(slot) if !shed && cluster.engine.can_serve() => slot,
            _ => {
                cluster.rejected_requests.set(cluster.rejected_requests.get() + 1);
                return self.reject();
            }
        };
        let changes =
            header_changes(weighted.map(|w| &w.request), &route.request, found.request, found.specific_last);
        let response_changes = header_changes(
            weighted.map(|w| &w.response),
            &route.response,
            found.response,
            found.specific_last,
        );
        let response_changes = response_changes.into_iter().cloned().collect();
        if let Some(path) = &rewritten {
            let path_and_query = match parts.uri.query() {
                Some(query) => format!("{path}?{query}"),
                None => path.clone(),
            };
            match path_and_query.parse::<Uri>() {
                Ok(uri) if path_and_query.starts_with('/') => parts.uri = uri,
                _ => return Routed::Answered(plain(StatusCode::BAD_REQUEST, "the path can't be rewritten")),
            }
        }
        changes.into_iter().for_each(|m| apply_changes(m, &mut parts.headers));
        let host = weighted.and_then(|w| w.host.as_ref()).or(host.as_ref());
        if let Some(host) = host.and_then(|h| HeaderValue::from_str(h).ok()) {
            parts.headers.insert(HOST, host);
        }
        let is_single_group = parts.method == Method::GET
            || match clusters {
                Clusters::Weighted(w) => {
                    self.have_same_group(w.iter().filter(|w| w.weight > 0).map(|w| &*w.cluster))
                }
                _ => self.have_same_group(std::iter::once(&*name)),
            };
        let (group_since, routes_since) = (cluster.group_since.clone(), self.routes_since());
        let retries = retries.clone();
        let terms = Rc::new(AttemptPolicy {
            retries,
            importance,
            breakers,
            group_since,
            routes_since,
            single_group: is_single_group,
        });
        let class = route.class.clone();
        Routed::Forward(Box::new(Forward { cluster, class, timeout, terms, response_changes, _slot: slot }))
    }
}

/// Builds the response to a request whose cluster does not exist.
fn missing_cluster(status: u16, retry_after: Duration) -> Response<Body> {
    match StatusCode::from_u16(status) {
        Ok(StatusCode::SERVICE_UNAVAILABLE) | Err(_) => respond_with(Answer::Rejected(retry_after)),
        Ok(status) => plain(status, "no such cluster"),
    }
}

/// Orders header changes as in Envoy's "Custom request/response headers": those of the weighted cluster first, then of the route, of its
/// virtual host, and of the route table; with `specific_last`, the most specific ones last.
fn header_changes<'m>(
    cluster: Option<&'m Mutations>,
    route: &'m Mutations,
    wider: [&'m Mutations; 2],
    specific_last: bool,
) -> Vec<&'m Mutations> {
    let specific = cluster.into_iter().chain([route]);
    let mut all: Vec<&Mutations> = match specific_last {
        false => specific.chain(wider).collect(),
        true => wider.into_iter().chain([route]).chain(cluster).collect(),
    };
    all.retain(|m| !m.is_empty());
    all
}

/// Applies header changes.
fn apply_changes(changes: &Mutations, headers: &mut HeaderMap) {
    for name in &changes.remove {
        headers.remove(name.as_str());
    }
    for change in &changes.set {
        let name = HeaderName::from_bytes(change.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&change.value)) else { continue };
        let exists = headers.contains_key(&name);
        match change.append {
            Append::Add => drop(headers.append(name, value)),
            Append::IfAbsent if exists => {}
            Append::OverwriteOnly if !exists => {}
            Append::IfAbsent | Append::Overwrite | Append::OverwriteOnly => {
                headers.insert(name, value);
            }
        }
    }
}
