//! One route: what a request must be, and what is then done.

use crate::headers::Mutations;
use crate::retry::Retries;
use crate::text::{HeaderMatch, QueryMatch};
use crate::{Head, Nanos};
use regex::Regex;
use std::borrow::Cow;
use std::sync::Arc;

/// How the path must be. Queries don't count.
#[derive(Clone, Debug)]
pub enum PathMatch {
    /// It begins so.
    Prefix(String),
    /// It is this, or begins with this and a slash.
    Under(String),
    /// It is this.
    Exact(String),
    /// The whole of it fits the expression.
    Regex(Regex),
}

/// What a request must be.
#[derive(Clone, Debug)]
pub struct Matcher {
    /// Its path.
    pub path: PathMatch,
    /// The case of the path matters.
    pub case: bool,
    /// All of these headers.
    pub headers: Vec<HeaderMatch>,
    /// All of these query parameters.
    pub query: Vec<QueryMatch>,
    /// The part of such requests that match, from 0 to 1 (`runtime_fraction`).
    pub part: Option<f64>,
}

impl Matcher {
    /// Whether all but the path fits. `random` is from 0 up to 1.
    pub fn rest_fits(&self, head: &dyn Head, random: f64) -> bool {
        self.headers.iter().all(|h| h.fits(head))
            && self.query.iter().all(|q| q.fits(head))
            && self.part.is_none_or(|part| random < part)
    }

    /// Whether the path fits.
    pub fn path_fits(&self, path: &str) -> bool {
        let begins = |with: &str| {
            let start = path.as_bytes().get(..with.len());
            start.is_some_and(|s| match self.case {
                true => s == with.as_bytes(),
                false => s.eq_ignore_ascii_case(with.as_bytes()),
            })
        };
        match &self.path {
            PathMatch::Prefix(with) => begins(with),
            PathMatch::Exact(whole) => path.len() == whole.len() && begins(whole),
            PathMatch::Under(with) => {
                begins(with) && path.as_bytes().get(with.len()).is_none_or(|b| *b == b'/')
            }
            PathMatch::Regex(r) => r.is_match(path),
        }
    }
}

/// A part of weighted clusters.
#[derive(Clone, Debug)]
pub struct Weighted {
    /// The cluster.
    pub cluster: Arc<str>,
    /// Its weight; all add up to 1 at least.
    pub weight: u32,
    /// Changes of request headers.
    pub request: Mutations,
    /// Changes of response headers.
    pub response: Mutations,
    /// Another host name.
    pub host: Option<String>,
}

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Clusters {
    /// To this one.
    One(Arc<str>),
    /// To one of these by weight.
    Weighted(Vec<Weighted>),
    /// To the one that this header names.
    Header(String),
}

/// How the path changes.
#[derive(Clone, Debug)]
pub enum Rewrite {
    /// What matched becomes this.
    Prefix(String),
    /// Every place that fits becomes this; `\1` stands for a group.
    Regex(Regex, String),
}

/// An answer that needs no node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Direct {
    /// Its status, from 200 to 599.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// A route's priority: which limits of its cluster hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Importance {
    /// `DEFAULT`.
    #[default]
    Default,
    /// `HIGH`.
    High,
}

/// What is done with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// It goes on.
    Forward {
        /// Where to.
        clusters: Clusters,
        /// The answer's status where there is no such cluster: 404, 500 or 503.
        not_found: u16,
        /// How the path changes.
        rewrite: Option<Rewrite>,
        /// Another host name.
        host: Option<String>,
        /// Most time for all attempts together; `None`: as the class has it.
        timeout: Option<Nanos>,
        /// When to try again; `None`: as the decision module will.
        retries: Option<Retries>,
        /// Which limits hold.
        importance: Importance,
    },
    /// It is answered here.
    Direct(Direct),
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name; may be empty.
    pub name: String,
    /// What a request must be.
    pub matcher: Matcher,
    /// What is done with it.
    pub action: Action,
    /// The class that requests are taken for (metadata `rushquay.class`); `None`: as the path's first part says.
    pub class: Option<String>,
    /// Changes of request headers.
    pub request: Mutations,
    /// Changes of response headers.
    pub response: Mutations,
}

/// What a table has found for a request.
#[derive(Clone, Copy, Debug)]
pub struct Found<'t> {
    /// The route.
    pub route: &'t Route,
    /// Changes of request headers of the virtual host and of the whole table, in the order in which they are made.
    pub request: [&'t Mutations; 2],
    /// The same for responses.
    pub response: [&'t Mutations; 2],
    /// Changes of the route and its cluster come last.
    pub specific_last: bool,
}

impl Clusters {
    /// The cluster that a request goes to, with the part of weighted ones that it came by. `at` is from 0 up to 1; the same
    /// number leads to the same cluster for as long as the weights stand.
    pub fn pick(&self, head: &dyn Head, at: f64) -> Option<(Cow<'_, str>, Option<&Weighted>)> {
        match self {
            Clusters::One(name) => Some((Cow::Borrowed(name), None)),
            Clusters::Header(header) => {
                let named = head.header(header).next().filter(|n| !n.is_empty());
                named.map(|n| (Cow::Owned(n.to_owned()), None))
            }
            Clusters::Weighted(parts) => {
                let whole: u64 = parts.iter().map(|p| u64::from(p.weight)).sum();
                let mut point = (at * whole as f64) as u64;
                let here = parts.iter().find(|p| {
                    let weight = u64::from(p.weight);
                    let here = point < weight;
                    point = point.saturating_sub(weight);
                    here
                });
                here.map(|p| (Cow::Borrowed(&*p.cluster), Some(p)))
            }
        }
    }
}

impl Route {
    /// The path as it goes on, without its query; `None`: it stays.
    pub fn rewritten(&self, path: &str) -> Option<String> {
        let Action::Forward { rewrite, .. } = &self.action else { return None };
        match rewrite.as_ref()? {
            Rewrite::Regex(expression, to) => Some(expression.replace_all(path, to.as_str()).into_owned()),
            Rewrite::Prefix(to) => {
                let matched = match &self.matcher.path {
                    PathMatch::Prefix(p) | PathMatch::Under(p) | PathMatch::Exact(p) => p.len(),
                    PathMatch::Regex(_) => path.len(),
                };
                Some(format!("{to}{}", &path[matched.min(path.len())..]))
            }
        }
    }
}
