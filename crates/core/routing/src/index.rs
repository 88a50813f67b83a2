//! The routes of a virtual host, so that a request looks at few of them. The first that fits counts, as in the order in
//! which they stand; thousands of prefixes must not cost thousands of comparisons.

use crate::route::{PathMatch, Route};
use std::collections::{BTreeMap, HashMap};

/// Where routes stand that may fit a path.
#[derive(Clone, Debug, Default)]
pub struct Index {
    exact: HashMap<String, Vec<u32>>,
    /// By length of the prefix, then by prefix.
    prefixes: BTreeMap<usize, HashMap<String, Vec<u32>>>,
    /// Looked at for every path: expressions, and what doesn't mind case.
    others: Vec<u32>,
}

impl Index {
    /// Of these routes.
    pub fn new(routes: &[Route]) -> Self {
        let mut index = Index::default();
        for (i, route) in (0..).zip(routes) {
            match &route.matcher.path {
                _ if !route.matcher.case => index.others.push(i),
                PathMatch::Regex(_) => index.others.push(i),
                PathMatch::Exact(p) => index.exact.entry(p.clone()).or_default().push(i),
                PathMatch::Prefix(p) | PathMatch::Under(p) => {
                    index.prefixes.entry(p.len()).or_default().entry(p.clone()).or_default().push(i);
                }
            }
        }
        index
    }

    /// The first route, in their order, that `fits`. Only routes whose path may fit are asked.
    pub fn first(&self, path: &str, mut fits: impl FnMut(u32) -> bool) -> Option<u32> {
        // Each list is in order; they are few, so the smallest head is looked for.
        let mut lists: Vec<&[u32]> = Vec::with_capacity(8);
        lists.extend(self.exact.get(path).map(Vec::as_slice));
        lists.extend((!self.others.is_empty()).then_some(self.others.as_slice()));
        for (length, named) in self.prefixes.range(..=path.len()) {
            // A prefix can't end in the midst of a character that the path has.
            let start = path.get(..*length);
            lists.extend(start.and_then(|start| named.get(start)).map(Vec::as_slice));
        }
        loop {
            let next = lists.iter_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0])?;
            let i = next[0];
            *next = &next[1..];
            if fits(i) {
                return Some(i);
            }
        }
    }
}
