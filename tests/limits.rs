//! The limits on the module's text that its porters rely on.

const LOGIC: &str = include_str!("../src/logic.rs");

fn lines(text: &str) -> usize {
    text.lines().filter(|l| !l.trim().is_empty()).count()
}

#[test]
fn the_module_holds_at_most_1200_lines_that_are_not_blank() {
    assert_eq!(lines("a\n\n  \n// b\n"), 2, "comments count, blank lines do not");
    assert!(lines(LOGIC) <= 1200, "{} lines", lines(LOGIC));
}

#[test]
fn no_line_runs_past_110_characters() {
    let files = [LOGIC, include_str!("../src/api.rs"), include_str!("../src/wire.rs")];
    let long = files.iter().flat_map(|f| f.lines()).find(|l| l.chars().count() > 110);
    assert_eq!(long, None);
}

#[test]
fn the_head_of_the_module_names_the_interface_file() {
    assert!(LOGIC.lines().take(3).any(|l| l.contains("src/api.rs")));
}
