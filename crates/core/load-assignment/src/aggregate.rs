//! Distribution of requests over the clusters of an aggregate cluster.
//!
//! Source: Envoy's documentation, "Aggregate Cluster": the priorities of all clusters are concatenated in the
//! order in which the clusters are listed, and load spills over along that sequence by the usual rules. Within each cluster,
//! its own priorities apply.

use crate::levels::{loads, Level};

/// Returns the percentage of requests for each cluster, in order. The sum is 100, or 0 if no cluster has an
/// eligible endpoint. A cluster that does not exist is passed as an empty list of levels.
pub fn split(clusters: &[Vec<Level>], panic: f64) -> Vec<u32> {
    let all_levels: Vec<Level> = clusters.iter().flatten().copied().collect();
    let mut loads = loads(&all_levels, panic).into_iter();
    let cluster_load = |levels: &Vec<Level>| {
        loads.by_ref().take(levels.len()).map(|load| load.healthy + load.degraded).sum()
    };
    clusters.iter().map(cluster_load).collect()
}

/// Returns the index that `at`, in `[0, 1)`, selects in proportion to `parts`, or `None` if all are 0. The result depends on
/// the arguments only, so a key hashed to `at` stays on its cluster while the parts are unchanged.
pub fn pick(parts: &[u32], at: f64) -> Option<usize> {
    let total: u64 = parts.iter().map(|part| u64::from(*part)).sum();
    let mut remaining = (at * total as f64) as u64;
    parts.iter().position(|part| {
        let part = u64::from(*part);
        let is_selected = remaining < part;
        remaining = remaining.saturating_sub(part);
        is_selected
    })
}
