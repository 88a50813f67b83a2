//! What the routes say of a request: where it goes and what is changed on the way, or the answer that it gets at once.

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

/// A refusal's advice where the settings allow one: limits and overloads pass soon.
const ADVICE: Nanos = 1_000_000_000;

/// What is to be done with a request.
pub enum Routed {
    /// It is answered here.
    Answered(Response<Body>),
    /// It goes on.
    Forward(Box<Forward>),
}

/// A request that goes on. Its head has been changed as the routes say.
pub struct Forward {
    pub cluster: Rc<Cluster>,
    /// The class, where the route names one.
    pub class: Option<String>,
    /// Most time for it.
    pub timeout: Option<Nanos>,
    pub terms: Rc<AttemptPolicy>,
    /// Changes of the answer's headers, in order.
    response: Vec<Mutations>,
    _place: Option<BreakerSlot>,
}

impl Forward {
    /// Changes the answer's headers as the routes say.
    pub fn dress(&self, answer: &mut Response<Body>) {
        self.response.iter().for_each(|m| mutate(m, answer.headers_mut()));
    }
}

struct Seen<'a> {
    parts: &'a Parts,
    authority: &'a str,
}

impl Head for Seen<'_> {
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

/// A number from 0 up to 1 from a key, another one for each salt. A key keeps its cluster by it.
fn part(key: u64, salt: u64) -> f64 {
    let mut x = key ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

const BY_WEIGHT: u64 = 1;
const BY_AGGREGATE: u64 = 2;

impl ClusterSet {
    /// The advice that goes with a refusal of the proxy's own.
    fn advice(&self) -> Duration {
        Duration::from_nanos(self.settings().max_retry_after.min(ADVICE))
    }

    fn refuse(&self) -> Routed {
        Routed::Answered(respond_with(Answer::Refused(self.advice())))
    }

    /// Finds the route of a request and changes its head as that says. `random` gives numbers from 0 up to 1.
    pub fn route(&self, parts: &mut Parts, mut random: impl FnMut() -> f64) -> Routed {
        // Without routes it has not been told what to do; to try again is harmless.
        let Some(table) = self.table() else { return self.refuse() };
        let named = parts.headers.get(HOST).and_then(|h| h.to_str().ok()).map(str::to_owned);
        let authority = parts.uri.authority().map(|a| a.to_string()).or(named).unwrap_or_default();
        let seen = Seen { parts, authority: &authority };
        let Some(found) = table.find(&seen, &mut random) else {
            return Routed::Answered(plain(StatusCode::NOT_FOUND, "no such route"));
        };
        let route = found.route;
        let (clusters, not_found, host, timeout, retries, importance) = match &route.action {
            Action::Direct(direct) => {
                let mut answer = Response::new(Body::new(Bytes::from(direct.body.clone())));
                *answer.status_mut() = StatusCode::from_u16(direct.status).unwrap_or(StatusCode::OK);
                let changes = order(None, &route.response, found.response, found.specific_last);
                changes.iter().for_each(|m| mutate(m, answer.headers_mut()));
                return Routed::Answered(answer);
            }
            Action::Forward { clusters, not_found, host, timeout, retries, importance, .. } => {
                (clusters, *not_found, host, *timeout, retries, *importance)
            }
        };
        let rewritten = route.rewritten(seen.path());
        let path = rewritten.as_deref().unwrap_or(seen.path());
        // Danger: by chance alone a key would be spread over all clusters and found in none.
        let at = path.rsplit('/').next().filter(|k| !k.is_empty()).map(key);
        let mut at = |salt| at.map_or_else(&mut random, |key| part(key, salt));
        let picked = clusters.pick(&seen, at(BY_WEIGHT));
        let Some((name, weighted)) = picked else {
            return Routed::Answered(missing(not_found, self.advice()));
        };
        let cluster = match self.find(&name, at(BY_AGGREGATE)) {
            Some(Some(cluster)) => cluster,
            Some(None) => return self.refuse(),
            None => return Routed::Answered(missing(not_found, self.advice())),
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
        let place = breakers.as_ref().map(|b| b.acquire(importance, BreakerLimit::Requests)).transpose();
        let place = match place {
            // Where nobody may be sent to there is nothing to decide.
            Ok(place) if !shed && cluster.engine.can_serve() => place,
            _ => {
                cluster.rejected_requests.set(cluster.rejected_requests.get() + 1);
                return self.refuse();
            }
        };
        let changes = order(weighted.map(|w| &w.request), &route.request, found.request, found.specific_last);
        let response =
            order(weighted.map(|w| &w.response), &route.response, found.response, found.specific_last);
        let response = response.into_iter().cloned().collect();
        if let Some(path) = &rewritten {
            let whole = match parts.uri.query() {
                Some(query) => format!("{path}?{query}"),
                None => path.clone(),
            };
            match whole.parse::<Uri>() {
                Ok(uri) if whole.starts_with('/') => parts.uri = uri,
                _ => return Routed::Answered(plain(StatusCode::BAD_REQUEST, "the path can't be rewritten")),
            }
        }
        changes.into_iter().for_each(|m| mutate(m, &mut parts.headers));
        let host = weighted.and_then(|w| w.host.as_ref()).or(host.as_ref());
        if let Some(host) = host.and_then(|h| HeaderValue::from_str(h).ok()) {
            parts.headers.insert(HOST, host);
        }
        let one_group = parts.method == Method::GET
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
            single_group: one_group,
        });
        let class = route.class.clone();
        Routed::Forward(Box::new(Forward { cluster, class, timeout, terms, response, _place: place }))
    }
}

fn missing(status: u16, advice: Duration) -> Response<Body> {
    match StatusCode::from_u16(status) {
        Ok(StatusCode::SERVICE_UNAVAILABLE) | Err(_) => respond_with(Answer::Refused(advice)),
        Ok(status) => plain(status, "no such cluster"),
    }
}

/// "Custom request/response headers": those of the cluster first, then of the route, its host, and all; or the other way
/// round.
fn order<'m>(
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

fn mutate(changes: &Mutations, headers: &mut HeaderMap) {
    for name in &changes.remove {
        headers.remove(name.as_str());
    }
    for change in &changes.set {
        let name = HeaderName::from_bytes(change.name.as_bytes());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&change.value)) else { continue };
        let there = headers.contains_key(&name);
        match change.append {
            Append::Add => drop(headers.append(name, value)),
            Append::IfAbsent if there => {}
            Append::OverwriteOnly if !there => {}
            Append::IfAbsent | Append::Overwrite | Append::OverwriteOnly => {
                headers.insert(name, value);
            }
        }
    }
}
