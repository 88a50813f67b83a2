//! State as text, for backups: a line of JSON each, the version first.

use crate::record::Kept;
use crate::{Change, Saved};
use rushquay_nodes::Stated;
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    rushquay_state: u16,
    version: Option<u64>,
    nodes: usize,
}

/// All that is kept, as text.
pub fn dump(saved: &Saved) -> String {
    let head = Head { rushquay_state: crate::FORM, version: saved.version, nodes: saved.nodes.len() };
    let line = |of: serde_json::Result<String>| of.unwrap_or_default() + "\n";
    let nodes = saved.nodes.iter().map(|n| line(serde_json::to_string(&Kept::from(n))));
    std::iter::once(line(serde_json::to_string(&head))).chain(nodes).collect()
}

/// The change that puts a dump in place of whatever is kept.
///
/// # Errors
/// The line that can't be read, or that lines are missing.
pub fn restore(text: &str) -> Result<Change, String> {
    let mut lines = text.lines().enumerate();
    let first = lines.next().map_or("", |(_, l)| l);
    let head: Head =
        serde_json::from_str(first).map_err(|e| format!("line 1: not a dump's first line: {e}"))?;
    if head.rushquay_state != crate::FORM {
        let form = head.rushquay_state;
        return Err(format!(
            "line 1: a dump of form {form}, expected {}: use the version that wrote it",
            crate::FORM
        ));
    }
    let read = |(number, line): (usize, &str)| {
        let kept: Kept = serde_json::from_str(line).map_err(|e| format!("line {}: {e}", number + 1))?;
        Ok(Stated::from(kept))
    };
    let set = lines.map(read).collect::<Result<Vec<_>, String>>()?;
    if set.len() != head.nodes {
        return Err(format!("{} nodes announced and {} found: the dump is cut off", head.nodes, set.len()));
    }
    Ok(Change { whole: true, version: head.version, set, gone: Vec::new() })
}
