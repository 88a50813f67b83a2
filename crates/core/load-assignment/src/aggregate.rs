//! How requests are split over the clusters of an aggregate.
//!
//! Source: Envoy's documentation, "Aggregate Cluster": the priorities of all clusters stand in one row, in the order in which
//! the clusters are named, and load spills along that row by the usual rules. Within a cluster its own priorities share as
//! ever.

use crate::levels::{loads, Level};

/// Percent of the requests that each cluster takes, in order; they add up to 100, or to 0 where nobody can take any. A
/// cluster that isn't there has no levels.
pub fn split(clusters: &[Vec<Level>], panic: f64) -> Vec<u32> {
    let row: Vec<Level> = clusters.iter().flatten().copied().collect();
    let mut loads = loads(&row, panic).into_iter();
    let taken = |levels: &Vec<Level>| loads.by_ref().take(levels.len()).map(|l| l.healthy + l.degraded).sum();
    clusters.iter().map(taken).collect()
}

/// The one that a number from 0 up to 1 falls to; `None` where all parts are 0. The same number falls to the same one for
/// as long as the parts are the same, so that a key keeps its cluster.
pub fn pick(parts: &[u32], at: f64) -> Option<usize> {
    let whole: u64 = parts.iter().map(|p| u64::from(*p)).sum();
    let mut point = (at * whole as f64) as u64;
    parts.iter().position(|part| {
        let part = u64::from(*part);
        let here = point < part;
        point = point.saturating_sub(part);
        here
    })
}
