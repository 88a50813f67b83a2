//! State as text, for backups: a line of JSON each. First what follows, then nodes, overrides, events and records of other parts.

use crate::record::StoredEndpoint;
use crate::{EndpointWrite, OverrideWrite, StoredState};
use rushquay_endpoints::SourcedEndpoint;
use rushquay_overrides::OverrideSet;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    rushquay_state: u16,
    version: Option<u64>,
    nodes: usize,
    /// Dumps from before there were overrides have none of these.
    #[serde(default)]
    overrides: usize,
    #[serde(default)]
    events: usize,
    #[serde(default)]
    next: u64,
    #[serde(default)]
    revision: u64,
    /// Dumps from before other parts had records have none.
    #[serde(default)]
    records: usize,
}

/// A record of another part.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Named {
    name: String,
    record: Value,
}

/// What a dump holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Dump {
    /// Nodes.
    pub nodes: EndpointWrite,
    /// The book of overrides.
    pub book: OverrideWrite,
    /// Records of other parts: changes in stages, policies.
    pub records: Records,
}

type Records = BTreeMap<String, Value>;

/// All that is kept, as text.
pub fn dump(saved: &StoredState, book: &OverrideSet, records: &Records) -> String {
    let head = Head {
        rushquay_state: crate::FORMAT_VERSION,
        version: saved.version,
        nodes: saved.nodes.len(),
        overrides: book.live().count(),
        events: book.history().count(),
        next: book.next_id(),
        revision: book.revision(),
        records: records.len(),
    };
    let mut events: Vec<_> = book.history().map(line).collect();
    events.reverse();
    let nodes = saved.nodes.iter().map(|n| line(&StoredEndpoint::from(n)));
    let records =
        records.iter().map(|(name, record)| line(&Named { name: name.clone(), record: record.clone() }));
    let head = std::iter::once(line(&head));
    head.chain(nodes).chain(book.live().map(line)).chain(events).chain(records).collect()
}

fn line(of: &impl Serialize) -> String {
    // Plain fields always have a JSON form.
    serde_json::to_string(of).unwrap_or_default() + "\n"
}

/// What puts a dump in place of whatever is kept.
///
/// # Errors
/// The line that can't be read, or that lines are missing.
pub fn restore(text: &str) -> Result<Dump, String> {
    let mut lines = text.lines().enumerate();
    let first = lines.next().map_or("", |(_, l)| l);
    let head: Head =
        serde_json::from_str(first).map_err(|e| format!("line 1: not a dump's first line: {e}"))?;
    if !(2..=crate::FORMAT_VERSION).contains(&head.rushquay_state) {
        let form = head.rushquay_state;
        return Err(format!(
            "line 1: a dump of form {form}, expected 2 to {}: use the version that wrote it",
            crate::FORMAT_VERSION
        ));
    }
    let found = text.lines().count() - 1;
    let announced = [head.nodes, head.overrides, head.events, head.records]
        .iter()
        .fold(0, |a: usize, b| a.saturating_add(*b));
    if found != announced {
        return Err(format!("{announced} records announced and {found} found: the dump is cut off"));
    }
    let nodes = read::<StoredEndpoint>(&mut lines, head.nodes)?;
    let set: Vec<SourcedEndpoint> = nodes.into_iter().map(SourcedEndpoint::from).collect();
    let book = OverrideWrite {
        live: read(&mut lines, head.overrides)?,
        events: read(&mut lines, head.events)?,
        next: head.next,
        revision: head.revision,
        history: head.events,
    };
    let records = read::<Named>(&mut lines, head.records)?;
    let records = records.into_iter().map(|n| (n.name, n.record)).collect();
    let nodes = EndpointWrite { whole: true, version: head.version, set, gone: Vec::new() };
    Ok(Dump { nodes, book, records })
}

fn read<'a, T: DeserializeOwned>(
    lines: &mut impl Iterator<Item = (usize, &'a str)>,
    count: usize,
) -> Result<Vec<T>, String> {
    let one = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("line {}: {e}", number + 1))
    };
    lines.take(count).map(one).collect()
}
