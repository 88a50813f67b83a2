//! All virtual hosts of a route configuration.

use crate::headers::Mutations;
use crate::index::Index;
use crate::route::{Action, Clusters, Found, Route};
use crate::Head;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A virtual host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// The domains that it stands for: `www.x.y`, `*.x.y`, `www.*` or `*`.
    pub domains: Vec<String>,
    /// In order; the first that fits counts.
    pub routes: Vec<Route>,
    /// Changes of request headers.
    pub request: Mutations,
    /// Changes of response headers.
    pub response: Mutations,
}

/// Why virtual hosts can't stand side by side; correct them at their source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DomainError {
    /// No request could be told to belong to one of the two.
    #[error("virtual_hosts[{host}].domains[{domain}]: {text:?} stands already in virtual_hosts[{first}]")]
    Twice {
        /// The later one.
        host: usize,
        /// Its domain.
        domain: usize,
        /// The text of both.
        text: String,
        /// The earlier one.
        first: usize,
    },
    /// It can't match anything.
    #[error("virtual_hosts[{host}].domains[{domain}]: {text:?}; expected a name, *.name, name.* or *")]
    Form {
        /// The virtual host.
        host: usize,
        /// Its domain.
        domain: usize,
        /// Its text.
        text: String,
    },
}

/// Domains with a wildcard on one side, the longest first.
type Wild = Vec<(String, usize)>;

/// A route configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    name: String,
    hosts: Vec<(Host, Index)>,
    exact: HashMap<String, usize>,
    /// `*.name`: the part behind the star.
    suffixes: Wild,
    /// `name.*`: the part before the star.
    prefixes: Wild,
    any: Option<usize>,
    request: Mutations,
    response: Mutations,
    /// Changes of the most specific place are made last and so win (`most_specific_header_mutations_wins`).
    specific_last: bool,
    ignore_port: bool,
}

impl Table {
    /// A table of these hosts.
    ///
    /// # Errors
    /// Domains that stand twice, or that can match nothing.
    pub fn new(name: &str, hosts: Vec<Host>) -> Result<Self, DomainError> {
        let mut table = Table { name: name.to_owned(), ..Table::default() };
        for (h, host) in hosts.into_iter().enumerate() {
            for (d, domain) in host.domains.iter().enumerate() {
                let text = domain.to_ascii_lowercase();
                let stars = text.matches('*').count();
                let before = match (text.as_str(), stars) {
                    ("*", _) => table.any.replace(h),
                    ("", _) => return Err(DomainError::Form { host: h, domain: d, text }),
                    (_, 0) => table.exact.insert(text.clone(), h),
                    (_, 1) if text.starts_with('*') => put(&mut table.suffixes, &text[1..], h),
                    (_, 1) if text.ends_with('*') => put(&mut table.prefixes, &text[..text.len() - 1], h),
                    _ => return Err(DomainError::Form { host: h, domain: d, text }),
                };
                if let Some(first) = before {
                    return Err(DomainError::Twice { host: h, domain: d, text, first });
                }
            }
            let index = Index::new(&host.routes);
            table.hosts.push((host, index));
        }
        for wild in [&mut table.suffixes, &mut table.prefixes] {
            wild.sort_by_key(|(part, _)| std::cmp::Reverse(part.len()));
        }
        Ok(table)
    }

    /// With changes of headers for all requests and responses.
    pub fn with_headers(mut self, request: Mutations, response: Mutations, specific_last: bool) -> Self {
        (self.request, self.response, self.specific_last) = (request, response, specific_last);
        self
    }

    /// With a port in the authority that doesn't count (`ignore_port_in_host_matching`).
    pub fn without_ports(mut self, ignore: bool) -> Self {
        self.ignore_port |= ignore;
        self
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its virtual hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().map(|(host, _)| host)
    }

    /// The clusters that its routes name, not those that a header may.
    pub fn clusters(&self) -> BTreeSet<&Arc<str>> {
        let mut names = BTreeSet::new();
        for route in self.hosts().flat_map(|h| &h.routes) {
            match &route.action {
                Action::Forward { clusters: Clusters::One(name), .. } => drop(names.insert(name)),
                Action::Forward { clusters: Clusters::Weighted(parts), .. } => {
                    names.extend(parts.iter().filter(|p| p.weight > 0).map(|p| &p.cluster));
                }
                _ => {}
            }
        }
        names
    }

    /// The route of a request; `None`: there is none, which is answered with 404. `random` gives numbers from 0 up to 1.
    pub fn find(&self, head: &dyn Head, mut random: impl FnMut() -> f64) -> Option<Found<'_>> {
        let (host, index) = &self.hosts[self.host(head.authority())?];
        let fits = |i: u32| {
            let matcher = &host.routes[i as usize].matcher;
            let chance = if matcher.part.is_some() { random() } else { 0.0 };
            matcher.path_fits(head.path()) && matcher.rest_fits(head, chance)
        };
        let route = &host.routes[index.first(head.path(), fits)? as usize];
        let order = |host, all| if self.specific_last { [all, host] } else { [host, all] };
        Some(Found {
            route,
            request: order(&host.request, &self.request),
            response: order(&host.response, &self.response),
            specific_last: self.specific_last,
        })
    }

    /// "Exact domain names, then suffix wildcards, then prefix wildcards, then `*`"; of wildcards the longest.
    fn host(&self, authority: &str) -> Option<usize> {
        let authority = authority.to_ascii_lowercase();
        let name = match authority.rsplit_once(':') {
            Some((name, port)) if self.ignore_port && port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => &authority,
        };
        let longer = |part: &str| name.len() > part.len();
        let exact = self.exact.get(name).copied();
        let suffix = || self.suffixes.iter().find(|(p, _)| longer(p) && name.ends_with(p.as_str()));
        let prefix = || self.prefixes.iter().find(|(p, _)| longer(p) && name.starts_with(p.as_str()));
        exact.or_else(|| suffix().map(|w| w.1)).or_else(|| prefix().map(|w| w.1)).or(self.any)
    }
}

fn put(wild: &mut Wild, part: &str, host: usize) -> Option<usize> {
    let before = wild.iter().find(|(p, _)| p == part).map(|(_, h)| *h);
    wild.push((part.to_owned(), host));
    before
}
