//! Look-ups of names, for clusters that have them.

use rushquay_envoy::Family;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::time::Duration;

/// A look-up takes at most so long.
const WITHIN: Duration = Duration::from_secs(5);

/// A look-up on its way.
pub type Lookup = Pin<Box<dyn Future<Output = Result<Vec<IpAddr>, String>>>>;

/// Who looks up names.
pub trait Resolver {
    /// All addresses of a name, of both versions.
    fn resolve(&self, name: &str) -> Lookup;
}

/// This machine's own look-ups.
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

/// Looks a name up, in time, and keeps the addresses that count.
pub async fn look(lookup: Lookup, family: Family) -> Result<Vec<IpAddr>, String> {
    let found = tokio::time::timeout(WITHIN, lookup).await.map_err(|_| "no answer in time".to_owned())??;
    let of = |v4: bool| found.iter().copied().filter(|ip| ip.is_ipv4() == v4).collect::<Vec<_>>();
    let first = |a: Vec<IpAddr>, b: Vec<IpAddr>| if a.is_empty() { b } else { a };
    Ok(match family {
        Family::V4 => of(true),
        Family::V6 => of(false),
        Family::V6First => first(of(false), of(true)),
        Family::V4First => first(of(true), of(false)),
        Family::All => found,
    })
}
