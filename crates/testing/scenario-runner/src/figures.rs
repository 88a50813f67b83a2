//! What came of a rehearsal.

use hdrhistogram::Histogram;
use rushquay_history::Violation;
use serde::Serialize;

/// Outcomes of one class.
#[derive(Clone)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// First tries, and repeats by clients.
    pub asked: u64,
    /// Of these, repeats.
    pub repeats: u64,
    /// Served.
    pub served: u64,
    /// Refused: a repeat is harmless.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Time from when each was due to when it was served, in microseconds.
    pub times: Histogram<u64>,
}

/// One second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Final answers.
    pub served: u64,
    /// Refusals.
    pub refused: u64,
    /// Failures.
    pub failed: u64,
    /// Attempts that came to the nodes, by node.
    pub nodes: Vec<u64>,
    /// Requests that came to the origin.
    pub origin: u64,
}

/// A rehearsal's figures.
pub struct Figures {
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Ids of the nodes.
    pub nodes: Vec<String>,
    /// Nodes that fell over.
    pub fell: Vec<String>,
    /// Broken rules.
    pub breaches: Vec<Violation>,
    /// A digest of all that happened, in order: the same for the same scenario.
    pub digest: u64,
    /// Things that happened.
    pub events: u64,
    /// What was done to whom, and when, in seconds.
    pub marks: Vec<(f64, String)>,
}

impl Figures {
    /// As Markdown.
    pub fn table(&self) -> String {
        use std::fmt::Write as _;
        let mut text = String::from(
            "| class | asked | repeats | served | refused | failed | p50 ms | p90 ms | p99 ms |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for c in &self.classes {
            let ms = |q: f64| c.times.value_at_quantile(q) as f64 / 1000.0;
            let ClassFigures { name, asked, repeats, served, refused, failed, .. } = c;
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "| {name} | {asked} | {repeats} | {served} | {refused} | {failed} | {:.1} | {:.1} | {:.1} |",
                ms(0.5),
                ms(0.9),
                ms(0.99)
            );
        }
        let origin = self.seconds.iter().map(|s| s.origin).max().unwrap_or(0);
        let _ = writeln!(
            text,
            "\n{} broken rules; fallen over: {}; most at the origin in a second: {origin}; {} events, digest {:016x}",
            self.breaches.len(),
            if self.fell.is_empty() { "none".to_owned() } else { self.fell.join(", ") },
            self.events,
            self.digest
        );
        for breach in self.breaches.iter().take(20) {
            let _ = writeln!(text, "- {breach}");
        }
        text
    }
}
