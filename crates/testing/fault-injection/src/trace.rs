//! Traces: what was done in a run, a line of JSON each. There is no time in them, so that two runs that did the same
//! have the same trace.

use crate::rules::{Performed, Plan};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    /// Form of the lines that follow.
    trace: u32,
    seed: u64,
}

const FORM: u32 = 1;

/// What was done in a run, in the order in which it was done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The seed of the run.
    pub seed: u64,
    /// What was done.
    pub performed: Vec<Performed>,
}

/// What is wrong with a trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TraceError {
    /// It has no first line that says what it is.
    #[error("line 1: expected {{\"trace\":{FORM},\"seed\":N}}: {0}")]
    Header(String),
    /// It is of a form that this program does not know.
    #[error("line 1: trace: form {0} is not known, only {FORM}: use the program that wrote it")]
    Form(u32),
    /// A line is broken.
    #[error("line {line}: {what}; what stands before it can be replayed: cut the file here")]
    Line {
        /// Which, from 1.
        line: usize,
        /// What is wrong with it.
        what: String,
    },
}

impl Trace {
    /// The first line of a trace's text, with its line end.
    pub fn header(seed: u64) -> String {
        line(&Header { trace: FORM, seed })
    }

    /// One further line.
    pub fn line(performed: &Performed) -> String {
        line(performed)
    }

    /// The whole text.
    pub fn text(&self) -> String {
        let lines = self.performed.iter().map(Trace::line);
        std::iter::once(Trace::header(self.seed)).chain(lines).collect()
    }

    /// Reads a trace's text.
    ///
    /// # Errors
    /// The first line that can't be read.
    pub fn parse(text: &str) -> Result<Trace, TraceError> {
        let mut lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
        let first = lines.next().map_or("", |(_, l)| l);
        let header: Header = serde_json::from_str(first).map_err(|e| TraceError::Header(e.to_string()))?;
        if header.trace != FORM {
            return Err(TraceError::Form(header.trace));
        }
        let read = |(number, line): (usize, &str)| {
            serde_json::from_str(line).map_err(|e| TraceError::Line { line: number + 1, what: e.to_string() })
        };
        Ok(Trace { seed: header.seed, performed: lines.map(read).collect::<Result<_, _>>()? })
    }

    /// The same in an order that does not tell how connections fell among each other: by listener, connection, lane and
    /// offset.
    pub fn by_connection(mut self) -> Trace {
        self.performed.sort_by(|a, b| {
            let of = |p: &Performed| (p.listener.clone(), p.connection, p.lane, p.offset);
            of(a).cmp(&of(b))
        });
        self
    }

    /// What its connections are to do in a replay.
    pub fn plan(&self) -> Plan {
        Plan::new(self.performed.iter().cloned())
    }
}

fn line(of: &impl Serialize) -> String {
    // Plain records of numbers and texts always have a JSON form.
    serde_json::to_string(of).unwrap_or_default() + "\n"
}
