//! Text exposition of the metrics: one `name value` or `name{label="value"} value` per line.

use crate::{LabelCounter, RequestMetrics, RequestOutcome};
use rushquay_invariants::Label;
use std::fmt::Write as _;

/// Renders all metrics, one per line, followed by the terminating `.` line.
pub fn figures(metrics: &RequestMetrics) -> String {
    let mut text = String::new();
    for (name, outcome) in [
        ("completed", RequestOutcome::Completed),
        ("rejected", RequestOutcome::Rejected),
        ("failed", RequestOutcome::Failed),
    ] {
        for (index, class_name) in metrics.classes().iter().enumerate() {
            let (class, value) = (escape_label(class_name), metrics.ended(index, outcome));
            let _ = writeln!(text, "proxy_{name}{{lane=\"{class}\"}} {value}");
        }
    }
    let gauges_and_totals = [
        ("upstream_requests", metrics.attempts.get()),
        ("pending", metrics.pending()),
        ("members", metrics.members.get()),
        ("members_unavailable", metrics.unavailable.get()),
    ];
    for (name, value) in gauges_and_totals {
        let _ = writeln!(text, "proxy_{name} {value}");
    }
    write_labelled(&mut text, "retries", "after", &metrics.retries);
    write_labelled(&mut text, "refusals", "after", &metrics.refusals);
    write_labelled(&mut text, "failures", "after", &metrics.failures);
    write_labelled(&mut text, "turned_away", "reason", &metrics.turned_away);
    write_labelled(&mut text, "attempts_denied", "cause", &metrics.denied);
    write_labelled(&mut text, "client_closes", "cause", &metrics.closes);
    write_labelled(&mut text, "node_closes", "cause", &metrics.node_closes);
    write_labelled(&mut text, "violations", "rule", &metrics.violations);
    write_labelled(&mut text, "statements_passed_over", "source", &metrics.passed_over);
    let offsets = &metrics.clock_offsets;
    for (clock, offset) in [("discovery", &offsets.discovery), ("control", &offsets.control)] {
        let _ = writeln!(text, "proxy_clock_ahead_ms{{clock=\"{clock}\"}} {}", offset.get());
    }
    text.push_str(".\n");
    text
}

/// Writes a labelled counter: its non-zero values, then the total.
fn write_labelled<L: Label>(text: &mut String, name: &str, label: &str, counter: &LabelCounter<L>) {
    for (value, count) in counter.counted() {
        let _ = writeln!(text, "proxy_{name}{{{label}=\"{}\"}} {count}", value.name());
    }
    let _ = writeln!(text, "proxy_{name}_total {}", counter.total());
}

/// Escapes a label value for the text exposition format.
fn escape_label(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
