//! Index of the routes of a virtual host by path. A lookup returns the same route as a linear search (the first matching one in
//! configuration order), but its cost does not grow with the number of prefixes.

use crate::route::{PathMatch, Route};
use std::collections::{BTreeMap, HashMap};

/// Positions of routes by the paths they may match. Each list of positions is in ascending order.
#[derive(Clone, Debug, Default)]
pub struct Index {
    exact: HashMap<String, Vec<u32>>,
    /// By prefix length in bytes, then by prefix.
    prefixes: BTreeMap<usize, HashMap<String, Vec<u32>>>,
    /// Candidates for every path: regular expressions and case-insensitive matches.
    unindexed: Vec<u32>,
}

impl Index {
    /// Builds the index of `routes`.
    pub fn new(routes: &[Route]) -> Self {
        let mut index = Index::default();
        for (position, route) in (0..).zip(routes) {
            match &route.matcher.path {
                _ if !route.matcher.case_sensitive => index.unindexed.push(position),
                PathMatch::Regex(_) => index.unindexed.push(position),
                PathMatch::Exact(path) => index.exact.entry(path.clone()).or_default().push(position),
                PathMatch::Prefix(prefix) | PathMatch::Under(prefix) => {
                    let same_length = index.prefixes.entry(prefix.len()).or_default();
                    same_length.entry(prefix.clone()).or_default().push(position);
                }
            }
        }
        index
    }

    /// Returns the position of the first route, in configuration order, for which `matches` returns `true`. `matches` is
    /// called only for routes whose path may match.
    pub fn first(&self, path: &str, mut matches: impl FnMut(u32) -> bool) -> Option<u32> {
        // Merges the sorted lists. There are few of them, so a linear scan for the smallest first element is enough.
        let mut lists: Vec<&[u32]> = Vec::with_capacity(8);
        lists.extend(self.exact.get(path).map(Vec::as_slice));
        lists.extend((!self.unindexed.is_empty()).then_some(self.unindexed.as_slice()));
        for (length, by_prefix) in self.prefixes.range(..=path.len()) {
            // `get` returns `None` if the length splits a multi-byte character; no prefix of that length can match then.
            let path_prefix = path.get(..*length);
            lists.extend(path_prefix.and_then(|prefix| by_prefix.get(prefix)).map(Vec::as_slice));
        }
        loop {
            let next = lists.iter_mut().filter(|list| !list.is_empty()).min_by_key(|list| list[0])?;
            let position = next[0];
            *next = &next[1..];
            if matches(position) {
                return Some(position);
            }
        }
    }
}
