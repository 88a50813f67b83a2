//! Commands, options, defaults and exit statuses.

use crate::golden::{assert_same, run, Folder};
use std::fmt::Write as _;

fn help(command: &[&str]) -> String {
    let output = run(&[command, &["--help"]].concat());
    assert!(output.status.success(), "{command:?}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// The names under `Commands:`.
fn subcommands(help: &str) -> Vec<String> {
    let section = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let entries = section.take_while(|line| !line.is_empty()).filter(|line| !line.starts_with("   "));
    let names = entries.filter_map(|line| line.split_whitespace().next());
    names.filter(|name| *name != "help").map(str::to_owned).collect()
}

/// What a script relies on in a page of help: usage, names of arguments and options, their values and defaults. Descriptions are prose.
fn form(help: &str) -> String {
    let mut text = String::new();
    for line in help.lines() {
        let entry = line.trim_start();
        if line.starts_with("Usage:") {
            let _ = writeln!(text, "{line}");
        } else if entry.starts_with('-')
            || entry.starts_with('<')
            || entry.starts_with('[') && line.starts_with("  ")
        {
            let names = entry.split("  ").next().unwrap_or_default();
            let _ = writeln!(text, "  {names}");
        }
        for part in ["[default: ", "[possible values: ", "[env: "] {
            if let Some(from) = line.find(part).filter(|_| !entry.starts_with(part)) {
                let _ = writeln!(text, "    {}", line[from..].split(']').next().unwrap_or_default());
            }
        }
    }
    text
}

fn forms(command: &[&str], text: &mut String) {
    let page = help(command);
    let _ = writeln!(text, "== rushquay {}\n{}", command.join(" "), form(&page));
    for name in subcommands(&page) {
        forms(&[command, &[name.as_str()]].concat(), text);
    }
}

#[test]
fn commands_options_and_defaults_are_unchanged() {
    let mut text = String::new();
    forms(&[], &mut text);
    assert_same("command_line.txt", &text);
}

#[test]
fn exit_statuses_are_unchanged() {
    let folder = Folder::new("exit");
    let good = folder.write("good.json", r#"{"version":1,"full":true,"servers":[]}"#);
    let bad = folder.write("bad.json", "{");
    let (good, bad) = (good.to_str().expect("a path"), bad.to_str().expect("a path"));
    let nobody = "127.0.0.1:9";
    let cases: [(&[&str], i32); 14] = [
        (&["--version"], 0),
        (&["no-such-command"], 2),
        (&["check"], 2),
        (&["check", good], 0),
        (&["check", bad], 1),
        (&["check", "--fields"], 0),
        (&["control"], 2),
        (&["control", "state", "dump", bad], 1),
        (&["override", "--admin", nobody, "list"], 1),
        (&["rollout", "--admin", nobody, "status"], 1),
        (&["policy", "--admin", nobody, "status"], 1),
        (&["host", "run", "--config", bad], 1),
        (&["account", bad], 1),
        (&["proxy"], 1),
    ];
    for (arguments, status) in cases {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(status), "{arguments:?}: {output:?}");
    }
}
