//! The figures as text. Each line is `name value` or `name{lane="class"} value`.

use crate::{End, Ledger};
use std::fmt::Write as _;

/// All figures, a line each, and the line that ends them.
pub fn figures(ledger: &Ledger) -> String {
    let mut text = String::new();
    for (name, end) in [("completed", End::Completed), ("rejected", End::Rejected), ("failed", End::Failed)] {
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
    text.push_str(".\n");
    text
}

/// A label's value in the text format of metrics.
fn escaped(label: &str) -> String {
    label.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
