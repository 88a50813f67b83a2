//! A single route: what it matches and what it does with a matching request.

use crate::headers::Mutations;
use crate::retry::RetryRules;
use crate::text::{HeaderMatch, QueryMatch};
use crate::{Head, Nanos};
use regex::Regex;
use std::borrow::Cow;
use std::sync::Arc;

/// A matcher of the path without its query string.
#[derive(Clone, Debug)]
pub enum PathMatch {
    /// The path starts with this string (`prefix`).
    Prefix(String),
    /// The path equals this string or starts with it and a slash (`path_separated_prefix`).
    Under(String),
    /// The path equals this string (`path`).
    Exact(String),
    /// The whole path matches the expression (`safe_regex`).
    Regex(Regex),
}

/// The conditions of a route, all of which a request must meet (`RouteMatch`).
#[derive(Clone, Debug)]
pub struct Matcher {
    /// The path.
    pub path: PathMatch,
    /// Whether the path is compared case-sensitively.
    pub case_sensitive: bool,
    /// Header matchers.
    pub headers: Vec<HeaderMatch>,
    /// Query parameter matchers.
    pub query: Vec<QueryMatch>,
    /// The fraction of otherwise matching requests that match, from 0 to 1 (`runtime_fraction`).
    pub fraction: Option<f64>,
}

impl Matcher {
    /// Returns `true` if all conditions other than the path are met. `random` is in `[0, 1)`.
    pub fn other_conditions_match(&self, head: &dyn Head, random: f64) -> bool {
        self.headers.iter().all(|header| header.matches(head))
            && self.query.iter().all(|parameter| parameter.matches(head))
            && self.fraction.is_none_or(|fraction| random < fraction)
    }

    /// Returns `true` if the path matches.
    pub fn path_matches(&self, path: &str) -> bool {
        let has_prefix = |prefix: &str| {
            let start = path.as_bytes().get(..prefix.len());
            start.is_some_and(|start| match self.case_sensitive {
                true => start == prefix.as_bytes(),
                false => start.eq_ignore_ascii_case(prefix.as_bytes()),
            })
        };
        match &self.path {
            PathMatch::Prefix(prefix) => has_prefix(prefix),
            PathMatch::Exact(exact) => path.len() == exact.len() && has_prefix(exact),
            PathMatch::Under(prefix) => {
                has_prefix(prefix) && path.as_bytes().get(prefix.len()).is_none_or(|byte| *byte == b'/')
            }
            PathMatch::Regex(regex) => regex.is_match(path),
        }
    }
}

/// One of several weighted clusters (`WeightedCluster.ClusterWeight`).
#[derive(Clone, Debug)]
pub struct Weighted {
    /// The name of the cluster.
    pub cluster: Arc<str>,
    /// Weight of the cluster; the sum over all clusters is at least 1.
    pub weight: u32,
    /// Request header mutations.
    pub request: Mutations,
    /// Response header mutations.
    pub response: Mutations,
    /// Rewritten host name (`host_rewrite_literal`).
    pub host: Option<String>,
}

/// How the cluster of a request is chosen (`cluster_specifier`).
#[derive(Clone, Debug)]
pub enum Clusters {
    /// A fixed cluster (`cluster`).
    One(Arc<str>),
    /// One of several clusters, chosen by weight (`weighted_clusters`).
    Weighted(Vec<Weighted>),
    /// The cluster named by this request header (`cluster_header`).
    Header(String),
}

/// A rewrite of the path.
#[derive(Clone, Debug)]
pub enum Rewrite {
    /// The matched part of the path is replaced by this string (`prefix_rewrite`).
    Prefix(String),
    /// Every match of the expression is replaced by this string, in the replacement syntax of `regex`
    /// (`regex_rewrite`).
    Regex(Regex, String),
}

/// A response that the proxy sends without contacting an endpoint (`direct_response`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Direct {
    /// Response status, from 200 to 599.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
}

/// The priority of a route, which selects the circuit breaker thresholds of its cluster (`RoutingPriority`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePriority {
    /// `DEFAULT`.
    #[default]
    Default,
    /// `HIGH`.
    High,
}

/// What a route does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Forwards the request to a cluster.
    Forward {
        /// How the cluster is chosen.
        clusters: Clusters,
        /// Response status if the cluster does not exist: 404, 500 or 503.
        not_found: u16,
        /// Rewrite of the path.
        rewrite: Option<Rewrite>,
        /// Rewritten host name (`host_rewrite_literal`).
        host: Option<String>,
        /// Timeout for all attempts together; `None`: the timeout of the request class.
        timeout: Option<Nanos>,
        /// Retry policy; `None`: the route adds no limits to those of the decision module.
        retries: Option<RetryRules>,
        /// Selects the circuit breaker thresholds.
        importance: RoutePriority,
    },
    /// Responds directly.
    Direct(Direct),
}

/// A route of a virtual host.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route; may be empty.
    pub name: String,
    /// What a request must match.
    pub matcher: Matcher,
    /// What is done with a matching request.
    pub action: Action,
    /// Request class (metadata `rushquay.class`); `None`: derived from the first path segment.
    pub class: Option<String>,
    /// Request header mutations.
    pub request: Mutations,
    /// Response header mutations.
    pub response: Mutations,
}

/// The result of a route lookup.
#[derive(Clone, Copy, Debug)]
pub struct Found<'t> {
    /// The matching route.
    pub route: &'t Route,
    /// Request header mutations of the virtual host and of the route configuration, in the order in which to apply them.
    pub request: [&'t Mutations; 2],
    /// Response header mutations, in the same order.
    pub response: [&'t Mutations; 2],
    /// Whether the mutations of the route and its cluster are applied after those of the virtual host and the route
    /// configuration.
    pub specific_last: bool,
}

impl Clusters {
    /// Returns the cluster for a request and, for weighted clusters, the chosen entry. `at` is in `[0, 1)`; the same
    /// number selects the same cluster while the weights are unchanged.
    pub fn pick(&self, head: &dyn Head, at: f64) -> Option<(Cow<'_, str>, Option<&Weighted>)> {
        match self {
            Clusters::One(name) => Some((Cow::Borrowed(name), None)),
            Clusters::Header(header) => {
                let name = head.header(header).next().filter(|name| !name.is_empty());
                name.map(|name| (Cow::Owned(name.to_owned()), None))
            }
            Clusters::Weighted(entries) => {
                let total_weight: u64 = entries.iter().map(|entry| u64::from(entry.weight)).sum();
                let mut remaining = (at * total_weight as f64) as u64;
                let chosen = entries.iter().find(|entry| {
                    let weight = u64::from(entry.weight);
                    let is_chosen = remaining < weight;
                    remaining = remaining.saturating_sub(weight);
                    is_chosen
                });
                chosen.map(|entry| (Cow::Borrowed(&*entry.cluster), Some(entry)))
            }
        }
    }
}

impl Route {
    /// Returns the rewritten path without its query string, or `None` if this route does not rewrite paths.
    pub fn rewritten(&self, path: &str) -> Option<String> {
        let Action::Forward { rewrite, .. } = &self.action else { return None };
        match rewrite.as_ref()? {
            Rewrite::Regex(regex, replacement) => {
                Some(regex.replace_all(path, replacement.as_str()).into_owned())
            }
            Rewrite::Prefix(replacement) => {
                let matched_len = match &self.matcher.path {
                    PathMatch::Prefix(matched) | PathMatch::Under(matched) | PathMatch::Exact(matched) => {
                        matched.len()
                    }
                    PathMatch::Regex(_) => path.len(),
                };
                Some(format!("{replacement}{}", &path[matched_len.min(path.len())..]))
            }
        }
    }
}
