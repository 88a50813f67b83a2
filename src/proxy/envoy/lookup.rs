//! DNS look-ups for clusters whose endpoints are given by name.

use rushquay_envoy::Family;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

/// The timeout of a DNS query.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(5);

/// A pending DNS query.
pub type Lookup = Pin<Box<dyn Future<Output = Result<Vec<IpAddr>, String>>>>;

/// Resolves host names.
pub trait Resolver {
    /// Resolves a name to all its IPv4 and IPv6 addresses.
    fn resolve(&self, name: &str) -> Lookup;
}

/// The resolver of the operating system.
pub struct SystemResolver;

impl Resolver for SystemResolver {
    fn resolve(&self, name: &str) -> Lookup {
        let name = name.to_owned();
        Box::pin(async move {
            let found = tokio::net::lookup_host((name.as_str(), 0)).await.map_err(|e| e.to_string())?;
            Ok(found.map(|a| a.ip()).collect())
        })
    }
}

/// Awaits a query, with a timeout, and keeps the addresses that match the address family.
pub async fn resolve_family(lookup: Lookup, family: Family) -> Result<Vec<IpAddr>, String> {
    let found =
        tokio::time::timeout(LOOKUP_TIMEOUT, lookup).await.map_err(|_| "no answer in time".to_owned())??;
    let of_version = |v4: bool| found.iter().copied().filter(|ip| ip.is_ipv4() == v4).collect::<Vec<_>>();
    let first = |a: Vec<IpAddr>, b: Vec<IpAddr>| if a.is_empty() { b } else { a };
    Ok(match family {
        Family::V4 => of_version(true),
        Family::V6 => of_version(false),
        Family::V6First => first(of_version(false), of_version(true)),
        Family::V4First => first(of_version(true), of_version(false)),
        Family::All => found,
    })
}
