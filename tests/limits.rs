//! Limits on the source text of the decision module, which whoever ports it relies on.

use std::path::{Path, PathBuf};

/// Most lines of one file of the decision module, blank lines not counted.
const MAX_LINES: usize = 400;
/// Most characters of one line.
const MAX_CHARACTERS: usize = 110;

/// All source files of the decision module, those in folders of its folder included.
fn decision_files() -> Vec<PathBuf> {
    fn collect(folder: &Path, files: &mut Vec<PathBuf>) {
        for entry in std::fs::read_dir(folder).expect("a folder that can be read") {
            let path = entry.expect("an entry that can be read").path();
            if path.is_dir() {
                collect(&path, files);
            } else {
                files.push(path);
            }
        }
    }
    let mut files = Vec::new();
    collect(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src/decision"), &mut files);
    files.sort();
    files
}

fn text(path: &Path) -> String {
    std::fs::read_to_string(path).expect("a source file that can be read")
}

fn lines(text: &str) -> usize {
    text.lines().filter(|l| !l.trim().is_empty()).count()
}

#[test]
fn each_file_of_the_decision_module_holds_at_most_400_lines_that_are_not_blank() {
    assert_eq!(lines("a\n\n  \n// b\n"), 2, "comments count, blank lines do not");
    let files = decision_files();
    assert!(files.len() >= 10, "one file for each thing that is decided: {files:?}");
    for file in files {
        let count = lines(&text(&file));
        assert!(count <= MAX_LINES, "{}: {count} lines", file.display());
    }
}

#[test]
fn no_line_of_the_decision_module_or_its_codec_is_longer_than_110_characters() {
    let codec = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/wire.rs");
    for file in decision_files().into_iter().chain([codec]) {
        let text = text(&file);
        let long = text.lines().find(|l| l.chars().count() > MAX_CHARACTERS);
        assert_eq!(long, None, "{}", file.display());
    }
}

#[test]
fn the_head_of_the_decision_module_names_the_interface_file() {
    let head = include_str!("../src/decision/mod.rs");
    assert!(head.lines().take(3).any(|l| l.contains("src/decision/api.rs")));
}

#[test]
fn the_deploy_files_list_each_file_of_the_decision_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for deploy in ["deploy/balancer.toml", "deploy/account.toml"] {
        let table: toml::Table = toml::from_str(&text(&root.join(deploy))).expect("TOML");
        let listed = table["policy"].as_array().expect("an array of files").iter();
        let mut listed: Vec<PathBuf> = listed.map(|f| root.join(f.as_str().expect("a path"))).collect();
        listed.sort();
        assert_eq!(listed, decision_files(), "{deploy}");
    }
}
