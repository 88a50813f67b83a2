//! What a script may say, and how it is told what it may not.

use rushquay_fault_injection::{Direction, Flow, Plan, RuleSet, Script, Trace, TraceError, MILLI};

fn fault(rule: &str) -> (usize, String, String) {
    let listeners = "[[listener]]\nname = 'a'\nlisten = '127.0.0.1:0'\ntarget = '127.0.0.1:1'\n\
                     [[listener]]\nname = 'u'\nudp = true\nlisten = '127.0.0.1:0'\ntarget = '127.0.0.1:1'\n";
    let e = Script::parse(&format!("{listeners}{rule}")).expect_err(rule);
    // Listeners take nine lines.
    (e.line - 9, e.field, e.what)
}

#[test]
fn faults_name_line_and_field() {
    let head = "[[rule]]\nname = 'r'\nlisteners = ['a']\n";
    for (rest, line, field, what) in [
        ("at = { offset = 1 }\ndo = { cut = 'gone' }", 5, "cut", "unknown variant"),
        ("at = { ofset = 1 }\ndo = { cut = 'fin' }", 4, "ofset", "unknown field"),
        ("at = { offset = 1, http = 'head' }\ndo = { cut = 'fin' }", 4, "rule.at", "just one of"),
        ("at = { http = 'tail' }\ndo = { cut = 'fin' }", 4, "rule.at.http", "chunk-size"),
        ("at = { http = 'head', nth = 0 }\ndo = { cut = 'fin' }", 4, "rule.at.nth", "1 or more"),
        ("at = { http = 'head', edge = 'end' }\ndo = { cut = 'fin' }", 4, "rule.at.edge", "text only"),
        ("at = { http = 'end', plus = -65 }\ndo = { cut = 'fin' }", 4, "rule.at.plus", "-64"),
        ("at = { offset = 2, plus = -3 }\ndo = { cut = 'fin' }", 4, "rule.at.plus", "before the stream"),
        ("at = { text = '' }\ndo = { cut = 'fin' }", 4, "rule.at.text", "not empty"),
        (
            "at = { http2 = 'frame', frame_type = 'DATUM' }\ndo = { cut = 'fin' }",
            4,
            "rule.at.frame_type",
            "SETTINGS",
        ),
        ("at = { from_ms = 5, to_ms = 5 }\ndo = { freeze = true }", 4, "rule.at.to_ms", "more than"),
        ("at = { offset = 1 }\nchance = 1.5\ndo = { cut = 'fin' }", 5, "rule.chance", "0 to 1"),
        ("at = { offset = 1 }\nconnections = '0..3'\ndo = { cut = 'fin' }", 5, "rule.connections", "from 1"),
        ("at = { offset = 1 }\nseen = { text = '' }\ndo = { cut = 'fin' }", 5, "rule.seen.text", "not empty"),
        ("at = { offset = 1 }\ndo = { }", 5, "rule.do", "just one of"),
        ("at = { offset = 1 }\ndo = { drop = 0 }", 5, "rule.do.drop", "1 or more"),
        ("at = { offset = 1 }\ndo = { drop = 1, gap_ms = 2 }", 5, "rule.do.gap_ms", "split only"),
        ("at = { offset = 1 }\ndo = { freeze = true }", 5, "rule.do", "pause_ms"),
        ("at = { after_ms = 1 }\ndo = { garble = 1 }", 5, "rule.do", "another place in each run"),
        ("at = { connect = true }\ndo = { cut = 'fin' }", 5, "rule.do", "refuse"),
        ("at = { datagram = true }\ndo = { drop = 1 }", 5, "rule.do", "datagrams only"),
    ] {
        let (l, f, w) = fault(&format!("{head}{rest}"));
        assert_eq!((l, f.as_str()), (line, field), "{rest}: {w}");
        assert!(w.contains(what), "{rest}: {w}");
    }
    let (line, field, _) =
        fault("[[rule]]\nname = 'r'\nlisteners = ['a', 'b']\nat = { offset = 1 }\ndo = { drop = 1 }");
    assert_eq!((line, field.as_str()), (3, "rule.listeners"));
    let twice = "[[rule]]\nname = 'r'\nlisteners = ['a']\nat = { offset = 1 }\ndo = { drop = 1 }\n".repeat(2);
    let (line, field, _) = fault(&twice);
    assert_eq!((line, field.as_str()), (6, "rule.name"));
    let (_, field, what) = fault("[[rule]]\nname = 'r'\nat = { offset = 1 }\ndo = { drop = 1 }");
    assert!(field == "rule.do" && what.contains("name its listeners"), "{field} {what}");
    let e = Script::parse("[[listener]]\nname = 'a'\nlisten = 'here'\ntarget = '127.0.0.1:1'")
        .expect_err("no address");
    assert_eq!(e.to_string(), "line 3: listener.listen: expected an address IP:PORT, found \"here\"");
}

#[test]
fn traces_are_checked() {
    assert!(matches!(Trace::parse(""), Err(TraceError::Header(_))));
    assert_eq!(Trace::parse("{\"trace\":7,\"seed\":1}"), Err(TraceError::Form(7)));
    let cut_off = Trace::header(1) + "{\"listener\":\"a\",\"conn";
    assert!(matches!(Trace::parse(&cut_off), Err(TraceError::Line { line: 2, .. })));
}

fn flow(rule: &str) -> (Flow, RuleSet) {
    let text = format!(
        "seed = 3\n[[listener]]\nname = 'u'\nudp = true\nlisten = '127.0.0.1:0'\ntarget = '127.0.0.1:1'\n\
         [[rule]]\nname = 'r'\nat = {{ datagram = true, every = 1 }}\n{rule}"
    );
    let script = Script::parse(&text).unwrap_or_else(|e| panic!("{e}"));
    let rules = RuleSet::new(script.seed, script.rules);
    (Flow::new("u", 1, &rules), rules)
}

/// Sends ten datagrams; what arrives, and the deeds.
fn ten(flow: &mut Flow) -> Vec<Vec<u8>> {
    let mut out = Vec::new();
    for i in 0..10u8 {
        flow.offer(Direction::Up, &[b'0' + i], u64::from(i));
        out.extend(std::iter::from_fn(|| flow.take(Direction::Up, u64::from(i))));
    }
    while let Some(wake) = flow.wake() {
        out.extend(flow.take(Direction::Up, wake));
    }
    out
}

#[test]
fn datagrams_are_dropped_doubled_spoilt_late_and_out_of_order() {
    let text = |all: &[Vec<u8>]| String::from_utf8_lossy(&all.concat()).into_owned();
    let got = |rule: &str| text(&ten(&mut flow(rule).0));
    assert_eq!(got("chance = 0.0\ndo = { drop = 1 }"), "0123456789");
    assert_eq!(got("do = { drop = 1 }"), "");
    assert_eq!(got("do = { duplicate = 1 }"), "00112233445566778899");
    assert_eq!(got("do = { pause_ms = 5 }"), "0123456789");
    assert!(got("do = { garble = 1 }").bytes().zip(b'0'..=b'9').all(|(a, b)| a != b));
    let some = got("chance = 0.4\ndo = { drop = 1 }");
    assert!(!some.is_empty() && some.len() < 10, "{some}");
    let mixed = got("chance = 0.4\ndo = { reorder = 2 }");
    let mut sorted: Vec<char> = mixed.chars().collect();
    assert_ne!(mixed, "0123456789");
    sorted.sort_unstable();
    assert_eq!(sorted.iter().collect::<String>(), "0123456789");
}

#[test]
fn datagrams_are_replayed() {
    for rule in [
        "chance = 0.4\ndo = { reorder = 2 }",
        "chance = 0.5\ndo = { garble = 1 }",
        "chance = 0.5\ndo = { drop = 1 }",
    ] {
        let (mut first, _) = flow(rule);
        let got = ten(&mut first);
        let performed = first.take_performed();
        let mut again = Flow::replay("u", 1, &Plan::new(performed.clone()));
        assert_eq!(ten(&mut again), got, "{rule}");
        assert_eq!(again.take_performed(), performed);
    }
}

#[test]
fn a_flood_of_datagrams_is_held_to_a_bound() {
    let (mut flow, _) = flow("do = { pause_ms = 1000 }");
    for _ in 0..10_000 {
        flow.offer(Direction::Up, b"x", 0);
    }
    assert_eq!(flow.dropped(), 10_000 - 256);
    assert_eq!(flow.wake(), Some(1000 * MILLI));
}
