//! What was seen, by one clock.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Something that was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Since the beginning.
    pub at: Duration,
    /// Who said or suffered it.
    pub who: String,
    /// What.
    pub what: String,
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:9.3} {:6} {}", self.at.as_secs_f64(), self.who, self.what)
    }
}

/// All that was seen, in order. Clones are the same history.
#[derive(Clone, Debug)]
pub struct EventLog {
    begin: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog { begin: Instant::now(), lines: Arc::default() }
    }
}

impl EventLog {
    /// Notes something now.
    pub fn note(&self, who: &str, what: impl Into<String>) {
        let line = Line { at: self.begin.elapsed(), who: who.to_owned(), what: what.into() };
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// When it began.
    pub fn begin(&self) -> Instant {
        self.begin
    }

    /// All of it.
    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Those of them in which this stands.
    pub fn with(&self, text: &str) -> Vec<Line> {
        self.lines().into_iter().filter(|l| l.what.contains(text)).collect()
    }

    /// The last of it, for a test that fails.
    pub fn last(&self, most: usize) -> String {
        let lines = self.lines();
        let from = lines.len().saturating_sub(most);
        lines[from..].iter().map(|l| format!("{l}\n")).collect()
    }
}
