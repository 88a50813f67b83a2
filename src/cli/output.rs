//! Output of the commands for operators: a response as JSON or as a table.

use jiff::tz::TimeZone;
use jiff::Timestamp;
use serde_json::Value;

/// Renders a response as readable text.
pub type Render = fn(&Value) -> String;

/// Prints a response as JSON, or as rendered by `render`.
pub fn print_answer(answer: &Value, as_json: bool, render: Render) {
    match as_json {
        true => println!("{answer:#}"),
        false => print!("{}", render(answer)),
    }
}

/// Formats rows with aligned columns; the first row is the heading.
pub fn aligned(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}

/// The heading of a table.
pub fn heading<const N: usize>(columns: [&str; N]) -> Vec<Vec<String>> {
    vec![columns.map(str::to_owned).to_vec()]
}

/// The string in a value; empty if it holds none.
pub fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

/// Formats Unix time in nanoseconds in this machine's time zone; empty if the value holds none.
pub fn time(nanos: &Value) -> String {
    let at = nanos.as_u64().and_then(|nanos| Timestamp::from_nanosecond(i128::from(nanos)).ok());
    at.map_or_else(String::new, |at| at.to_zoned(TimeZone::system()).strftime("%F %T").to_string())
}
