//! The routing table: all virtual hosts of a route configuration and the choice among them by authority.

use crate::headers::Mutations;
use crate::index::Index;
use crate::route::{Action, Clusters, Found, Route};
use crate::Head;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// A virtual host: the routes for requests to its domains (`VirtualHost`).
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the virtual host.
    pub name: String,
    /// The domains that it matches: `www.x.y`, `*.x.y`, `www.*` or `*`.
    pub domains: Vec<String>,
    /// Routes in order; the first matching one wins.
    pub routes: Vec<Route>,
    /// Request header mutations.
    pub request: Mutations,
    /// Response header mutations.
    pub response: Mutations,
}

/// An invalid or ambiguous domain in a route configuration; to be corrected at its source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DomainError {
    /// The same domain is listed twice, so the virtual host for its requests is ambiguous.
    #[error("virtual_hosts[{host}].domains[{domain}]: {text:?} is already listed in virtual_hosts[{first}]")]
    Duplicate {
        /// Index of the later virtual host.
        host: usize,
        /// Index of the domain in the later virtual host.
        domain: usize,
        /// The domain in lower case.
        text: String,
        /// Index of the earlier virtual host.
        first: usize,
    },
    /// The domain is not a valid pattern and cannot match any authority.
    #[error("virtual_hosts[{host}].domains[{domain}]: {text:?}; expected a name, *.name, name.* or *")]
    InvalidPattern {
        /// Index of the virtual host.
        host: usize,
        /// Index of the domain in the virtual host.
        domain: usize,
        /// The domain in lower case.
        text: String,
    },
}

/// Wildcard domains without their star, the longest first, each with the index of its virtual host.
type WildcardDomains = Vec<(String, usize)>;

/// A route configuration (`RouteConfiguration`).
#[derive(Clone, Debug, Default)]
pub struct Table {
    name: String,
    hosts: Vec<(Host, Index)>,
    /// Domains without a wildcard.
    exact: HashMap<String, usize>,
    /// `*.name`: the part after the star.
    suffixes: WildcardDomains,
    /// `name.*`: the part before the star.
    prefixes: WildcardDomains,
    /// The virtual host of the domain `*`.
    catch_all: Option<usize>,
    request: Mutations,
    response: Mutations,
    /// Whether the most specific header mutations are applied last and so take precedence
    /// (`most_specific_header_mutations_wins`).
    specific_last: bool,
    /// Whether a port in the authority is ignored (`ignore_port_in_host_matching`).
    ignore_port: bool,
}

impl Table {
    /// Creates a table of virtual hosts.
    ///
    /// # Errors
    /// Returns an error if a domain is listed twice or cannot match any authority.
    pub fn new(name: &str, hosts: Vec<Host>) -> Result<Self, DomainError> {
        let mut table = Table { name: name.to_owned(), ..Table::default() };
        for (host_index, host) in hosts.into_iter().enumerate() {
            for (domain_index, domain) in host.domains.iter().enumerate() {
                table.insert_domain(host_index, domain_index, domain.to_ascii_lowercase())?;
            }
            let index = Index::new(&host.routes);
            table.hosts.push((host, index));
        }
        for wildcards in [&mut table.suffixes, &mut table.prefixes] {
            wildcards.sort_by_key(|(part, _)| std::cmp::Reverse(part.len()));
        }
        Ok(table)
    }

    /// Maps a domain (in lower case) to the virtual host at index `host`.
    fn insert_domain(&mut self, host: usize, domain: usize, text: String) -> Result<(), DomainError> {
        let stars = text.matches('*').count();
        let previous = match (text.as_str(), stars) {
            ("*", _) => self.catch_all.replace(host),
            ("", _) => return Err(DomainError::InvalidPattern { host, domain, text }),
            (_, 0) => self.exact.insert(text.clone(), host),
            (_, 1) if text.starts_with('*') => insert_wildcard(&mut self.suffixes, &text[1..], host),
            (_, 1) if text.ends_with('*') => {
                insert_wildcard(&mut self.prefixes, &text[..text.len() - 1], host)
            }
            _ => return Err(DomainError::InvalidPattern { host, domain, text }),
        };
        match previous {
            Some(first) => Err(DomainError::Duplicate { host, domain, text, first }),
            None => Ok(()),
        }
    }

    /// Sets the header mutations for all requests and responses, and whether the most specific mutations are applied last.
    pub fn with_headers(mut self, request: Mutations, response: Mutations, specific_last: bool) -> Self {
        (self.request, self.response, self.specific_last) = (request, response, specific_last);
        self
    }

    /// If `ignore` is set, ignores a port in the authority (`ignore_port_in_host_matching`).
    pub fn without_ports(mut self, ignore: bool) -> Self {
        self.ignore_port |= ignore;
        self
    }

    /// Returns the name of the route configuration.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the virtual hosts, in order.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().map(|(host, _)| host)
    }

    /// Returns the clusters that routes name directly; those named by a request header are not included.
    pub fn clusters(&self) -> BTreeSet<&Arc<str>> {
        let mut names = BTreeSet::new();
        for route in self.hosts().flat_map(|host| &host.routes) {
            match &route.action {
                Action::Forward { clusters: Clusters::One(name), .. } => drop(names.insert(name)),
                Action::Forward { clusters: Clusters::Weighted(entries), .. } => {
                    names.extend(entries.iter().filter(|entry| entry.weight > 0).map(|entry| &entry.cluster));
                }
                _ => {}
            }
        }
        names
    }

    /// Returns the route of a request, or `None` if no route matches (the response is then a 404). `random` returns
    /// numbers in `[0, 1)`; it is called only for routes that match a fraction of requests.
    pub fn find(&self, head: &dyn Head, mut random: impl FnMut() -> f64) -> Option<Found<'_>> {
        let (host, index) = &self.hosts[self.host_index(head.authority())?];
        let matches = |position: u32| {
            let matcher = &host.routes[position as usize].matcher;
            let fraction = if matcher.fraction.is_some() { random() } else { 0.0 };
            matcher.path_matches(head.path()) && matcher.other_conditions_match(head, fraction)
        };
        let route = &host.routes[index.first(head.path(), matches)? as usize];
        let in_order = |host, table| if self.specific_last { [table, host] } else { [host, table] };
        Some(Found {
            route,
            request: in_order(&host.request, &self.request),
            response: in_order(&host.response, &self.response),
            specific_last: self.specific_last,
        })
    }

    /// Returns the index of the virtual host for an authority, in Envoy's search order: "Exact domain names, then suffix
    /// wildcards, then prefix wildcards, then `*`"; among wildcards the longest wins.
    fn host_index(&self, authority: &str) -> Option<usize> {
        let authority = authority.to_ascii_lowercase();
        let name = match authority.rsplit_once(':') {
            Some((name, port)) if self.ignore_port && port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => &authority,
        };
        // The star of a wildcard matches at least one character.
        let is_longer = |part: &str| name.len() > part.len();
        let exact = self.exact.get(name).copied();
        let by_suffix = || {
            let mut wildcards = self.suffixes.iter();
            wildcards.find(|(suffix, _)| is_longer(suffix) && name.ends_with(suffix.as_str()))
        };
        let by_prefix = || {
            let mut wildcards = self.prefixes.iter();
            wildcards.find(|(prefix, _)| is_longer(prefix) && name.starts_with(prefix.as_str()))
        };
        exact
            .or_else(|| by_suffix().map(|(_, host)| *host))
            .or_else(|| by_prefix().map(|(_, host)| *host))
            .or(self.catch_all)
    }
}

/// Adds a wildcard domain and returns the virtual host that already listed it, if any.
fn insert_wildcard(wildcards: &mut WildcardDomains, part: &str, host: usize) -> Option<usize> {
    let previous = wildcards.iter().find(|(known, _)| known == part).map(|(_, host)| *host);
    wildcards.push((part.to_owned(), host));
    previous
}
