//! The figures as text. Each line is `name value` or `name{lane="class"} value`.

use crate::{LabelCounter, RequestMetrics, RequestOutcome};
use rushquay_invariants::Label;
use std::fmt::Write as _;

/// All figures, a line each, and the line that ends them.
pub fn figures(ledger: &RequestMetrics) -> String {
    let mut text = String::new();
    for (name, end) in [
        ("completed", RequestOutcome::Completed),
        ("rejected", RequestOutcome::Rejected),
        ("failed", RequestOutcome::Failed),
    ] {
        for (number, class) in ledger.classes().iter().enumerate() {
            let (class, value) = (escaped(class), ledger.ended(number, end));
            let _ = writeln!(text, "proxy_{name}{{lane=\"{class}\"}} {value}");
        }
    }
    let rest = [
        ("upstream_requests", ledger.attempts.get()),
        ("pending", ledger.pending()),
        ("members", ledger.members.get()),
        ("members_unavailable", ledger.unavailable.get()),
    ];
    for (name, value) in rest {
        let _ = writeln!(text, "proxy_{name} {value}");
    }
    by_label(&mut text, "retries", "after", &ledger.retries);
    by_label(&mut text, "refusals", "after", &ledger.refusals);
    by_label(&mut text, "failures", "after", &ledger.failures);
    by_label(&mut text, "turned_away", "reason", &ledger.turned_away);
    by_label(&mut text, "attempts_denied", "cause", &ledger.denied);
    by_label(&mut text, "client_closes", "cause", &ledger.closes);
    by_label(&mut text, "node_closes", "cause", &ledger.node_closes);
    by_label(&mut text, "violations", "rule", &ledger.violations);
    text.push_str(".\n");
    text
}

/// A figure by label: those that were counted, and the total.
fn by_label<L: Label>(text: &mut String, name: &str, label: &str, tally: &LabelCounter<L>) {
    for (value, count) in tally.counted() {
        let _ = writeln!(text, "proxy_{name}{{{label}=\"{}\"}} {count}", value.name());
    }
    let _ = writeln!(text, "proxy_{name}_total {}", tally.total());
}

/// A label's value in the text format of metrics.
fn escaped(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
