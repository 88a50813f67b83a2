//! Dumps of the state as text, for backups: one line of JSON each. First a header, then endpoints, overrides, events
//! and the records of other components.

use crate::record::{StoredEndpoint, FORMAT_VERSION};
use crate::{EndpointWrite, OverrideWrite, StoredState};
use rushquay_endpoints::SourcedEndpoint;
use rushquay_overrides::OverrideSet;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    rushquay_state: u16,
    version: Option<u64>,
    nodes: usize,
    /// Dumps from before there were overrides have none of these fields.
    #[serde(default)]
    overrides: usize,
    #[serde(default)]
    events: usize,
    #[serde(default)]
    next: u64,
    #[serde(default)]
    revision: u64,
    /// Dumps from before there were such records have no such field.
    #[serde(default)]
    records: usize,
}

/// A record of another component.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct NamedRecord {
    name: String,
    record: Value,
}

/// The oldest version of dumps that can be restored.
const OLDEST_FORMAT_VERSION: u16 = 2;

/// Why a dump can't be restored.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The first line is not a dump's header.
    #[error("line 1: not a dump's first line: {0}")]
    Header(serde_json::Error),
    /// The dump was written in another format version.
    #[error(
        "line 1: a dump of form {0}, expected {OLDEST_FORMAT_VERSION} to {FORMAT_VERSION}: \
         use the version that wrote it"
    )]
    Version(u16),
    /// Lines are missing, or there are too many.
    #[error("{announced} records announced and {found} found: the dump is cut off")]
    Truncated {
        /// The number of records by the header.
        announced: usize,
        /// The number of lines after the header.
        found: usize,
    },
    /// A record can't be read.
    #[error("line {line}: {source}")]
    Line {
        /// The line, counted from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// What a dump holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Dump {
    /// The endpoints.
    pub nodes: EndpointWrite,
    /// The overrides.
    pub book: OverrideWrite,
    /// The records of other components: rollouts, policies.
    pub records: Records,
}

type Records = BTreeMap<String, Value>;

/// Dumps the whole state as text.
pub fn dump(state: &StoredState, overrides: &OverrideSet, records: &Records) -> String {
    let header = Header {
        rushquay_state: FORMAT_VERSION,
        version: state.version,
        nodes: state.nodes.len(),
        overrides: overrides.live().count(),
        events: overrides.history().count(),
        next: overrides.next_id(),
        revision: overrides.revision(),
        records: records.len(),
    };
    let mut events: Vec<_> = overrides.history().map(line).collect();
    events.reverse();
    let nodes = state.nodes.iter().map(|n| line(&StoredEndpoint::from(n)));
    let records = records
        .iter()
        .map(|(name, record)| line(&NamedRecord { name: name.clone(), record: record.clone() }));
    let header = std::iter::once(line(&header));
    header.chain(nodes).chain(overrides.live().map(line)).chain(events).chain(records).collect()
}

fn line(content: &impl Serialize) -> String {
    // Plain fields always have a JSON form.
    serde_json::to_string(content).unwrap_or_default() + "\n"
}

/// Parses a dump into the writes that put it in place of the stored state.
///
/// # Errors
/// The line that can't be read, or that lines are missing.
pub fn restore(text: &str) -> Result<Dump, RestoreError> {
    let mut lines = text.lines().enumerate();
    let first = lines.next().map_or("", |(_, l)| l);
    let header: Header = serde_json::from_str(first).map_err(RestoreError::Header)?;
    if !(OLDEST_FORMAT_VERSION..=FORMAT_VERSION).contains(&header.rushquay_state) {
        return Err(RestoreError::Version(header.rushquay_state));
    }
    let found = text.lines().count() - 1;
    let announced = [header.nodes, header.overrides, header.events, header.records]
        .iter()
        .fold(0, |sum: usize, count| sum.saturating_add(*count));
    if found != announced {
        return Err(RestoreError::Truncated { announced, found });
    }
    let nodes = read::<StoredEndpoint>(&mut lines, header.nodes)?;
    let set: Vec<SourcedEndpoint> = nodes.into_iter().map(SourcedEndpoint::from).collect();
    let book = OverrideWrite {
        live: read(&mut lines, header.overrides)?,
        events: read(&mut lines, header.events)?,
        next: header.next,
        revision: header.revision,
        history: header.events,
    };
    let records = read::<NamedRecord>(&mut lines, header.records)?;
    let records = records.into_iter().map(|n| (n.name, n.record)).collect();
    let nodes = EndpointWrite { whole: true, version: header.version, set, gone: Vec::new() };
    Ok(Dump { nodes, book, records })
}

fn read<'a, T: DeserializeOwned>(
    lines: &mut impl Iterator<Item = (usize, &'a str)>,
    count: usize,
) -> Result<Vec<T>, RestoreError> {
    let parse = |(number, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| RestoreError::Line { line: number + 1, source })
    };
    lines.take(count).map(parse).collect()
}
