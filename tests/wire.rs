//! The wire codec line by line, and whole conversations with the adapter's binary.

use rushquay::api::*;
use rushquay::wire::{self, Line};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn converse(input: impl AsRef<[u8]>) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("stdin").write_all(input.as_ref()).expect("written");
    child.wait_with_output().expect("the adapter ends")
}

const START: &str = "frame 5000000000\n\
    new_instance proxy_3 77 categories.count=1 categories.0.deadline_ns=750000000 categories.0.promise_ns=300000000 \
    categories.0.effect=safe categories.0.value=1.0 caps.attempts_cap=3 discovery=automatic some.new.key=whatever\n\
    page 0 2\nentry node_a 0 0 0 IN 1 -\nentry node_b 1 0 0 IN 1.5 6100000000\n\
    backends_changed proxy_3 C 41 0\ngo\n";

#[test]
fn a_conversation_is_answered_from_start_to_end() {
    let input = format!(
        "{START}frame 5001000000\narrival proxy_3 42 0 0 91f03b7c55d20a64 540000000 - - 0\ngo\n\
         frame 5002000000\nshutdown proxy_3\ntick_due proxy_3 9\ngo\n"
    );
    let out = converse(input);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("text");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.iter().filter(|l| **l == "end").count(), 3);
    let sent = lines.iter().find(|l| l.starts_with("deliver proxy_3 42 node_")).expect("sent");
    assert_eq!(sent.split(' ').count(), 5);
    assert_eq!(lines.last(), Some(&"end"));
}

#[test]
fn malformed_input_stops_the_adapter_with_the_line_number_and_the_error() {
    for (bad, fault) in [
        ("arrival proxy_3", "corr is missing"),
        ("report_back proxy_3 1 0 node_a done 1 x - -", "final is neither 1 nor 0"),
        ("backends_changed proxy_3 F 42 3", "list 3 was never sent"),
        ("page 1 2\nentry node_a 0 0 0 IN 1 -\ngo", "list 1 lacks 1 entries"),
        ("peer proxy_3 1", "msg is missing"),
        ("frame 5000000001", "frame inside a batch"),
        ("nonsense proxy_3 1", "message is unknown"),
        ("arrival proxy_3 x 0 0 - 1 - - 0", "corr is not a number"),
        ("arrival proxy_3 1 0 0 zz 1 - - 0", "path_key is not hex"),
        ("report_back proxy_3 1 0 node_a odd 1 0 - -", "reason is unknown"),
        ("backends_changed proxy_3 D 42 9x", "buffer is not a number"),
        ("page 99 1", "list number is over 15"),
        ("entry node_a 0 0 0 IN 1 -", "entry without a list"),
        ("", "message name is missing"),
        ("sampled proxy_3 node_a done 1 x", "load is not a comma-separated list of numbers"),
        ("new_instance proxy_4 1 caps.cancelling", "setting has no value"),
        ("new_instance proxy_4 1 rules.let_go_in_ns=soon", "rules.let_go_in_ns has a bad value"),
        ("new_instance proxy_4 1 client_habits.marks_retry=2", "client_habits.marks_retry has a bad value"),
        (
            "new_instance proxy_4 1 categories.count=1 categories.0.allowed_in=0,x",
            "categories.0.allowed_in has a bad value",
        ),
    ] {
        let out = converse(format!("{START}frame 5000000001\n{bad}\ngo\n"));
        let error = String::from_utf8(out.stderr).expect("text");
        assert!(!out.status.success(), "{bad:?} was accepted");
        let line = 9 + bad.matches('\n').count();
        assert!(error.contains(&format!("line {line}:")) && error.contains(fault), "{bad:?}: {error}");
        assert_eq!(out.stdout, b"end\n", "{bad:?}: a malformed batch gets no answer");
    }
}

#[test]
fn unusual_but_valid_input_is_answered() {
    let again = START.replace("frame 5000000000\n", "").replace("go\n", "");
    let input = format!(
        "{START}frame 5001000000\nshutdown proxy_3\n{again}\
         arrival proxy_3 1 0 - - 0 - - -\narrival proxy_3 2 7 9 00000000000000ff 99 - - 7\n\
         report_back proxy_3 77 5 node_zz done 1 1 - inf,-,NaN\ntick_due proxy_3 0\nexpired proxy_3 1\n\
         page 0 0\nbackends_changed proxy_3 F 42 0\narrival proxy_3 3 0 0 - 500000000 - - 0\n\
         backends_changed proxy_3 X 43\nfirst proxy_3 3 0 node_a 5\npeer proxy_3 1 6869\ngo\n"
    );
    let out = converse(input);
    let text = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(!text.contains("bug "), "{text}");
    for id in [1, 3] {
        let finals = [format!("bounce proxy_3 {id} "), format!("abort proxy_3 {id}")];
        let count = text.lines().filter(|l| finals.iter().any(|f| l.starts_with(f.as_str()))).count();
        assert_eq!(count, 1, "request {id} without an endpoint or time left: {text}");
    }
}

#[test]
fn truncated_or_non_utf8_input_is_an_error() {
    let out = converse(format!("{START}frame 5001000000\n"));
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("ends inside a batch"));
    let out = converse(b"frame 1\nshutdown \xff\ngo\n");
    assert!(!out.status.success() && out.stdout.is_empty());
    assert!(String::from_utf8_lossy(&out.stderr).contains("line 2: not UTF-8"));
}

#[test]
fn parsed_lines_hold_the_values_of_the_wire() {
    let line = "report_back proxy_3 2526988522394052 1 node_abuevth done 18500000 1 2 3.5,-";
    let Ok(Line::Event(instance, Event::Outcome { id, attempt, server, status, elapsed, last, hit })) =
        wire::parse(line)
    else {
        panic!("not an outcome")
    };
    assert_eq!((instance.as_str(), id, attempt, elapsed), ("proxy_3", 2_526_988_522_394_052, 1, 18_500_000));
    assert_eq!((server, status, last, hit), (server_id("node_abuevth"), Status::Ok, true, Some(false)));
    let Ok(Line::Event(_, Event::Arrival(r))) =
        wire::parse("arrival proxy_3 7 1 - 91f03b7c55d20a64 -5 12000000 1.5 7")
    else {
        panic!("not an arrival")
    };
    assert_eq!((r.class, r.tenant, r.key), (1, None, Some(0x91f0_3b7c_55d2_0a64)));
    assert_eq!((r.remaining, r.is_write, r.is_marked_retry), (0, true, true));
}

#[test]
fn settings_are_parsed_and_unknown_values_get_the_strictest_meaning() {
    let line =
        "new_instance proxy_4 1 categories.count=3 categories.0.allowed_in=0,2 categories.0.allowed_on=1 \
        categories.1.allowed_in= categories.1.effect=new categories.1.group=new rules.let_go_in_ns=500 \
        client_habits.marks_retry=true some.new.key=x,y";
    let Ok(Line::New { settings: s, .. }) = wire::parse(line) else { panic!("no start") };
    assert_eq!((&s.classes[0].zones, &s.classes[0].kinds), (&Some(vec![0, 2]), &Some(vec![1])));
    assert_eq!(s.classes[1].zones, Some(vec![]), "an empty list allows none");
    assert_eq!((s.classes[1].effect, s.classes[1].group), (Effect::Unsafe, Group::Cell), "the strictest");
    assert_eq!(s.classes[2].zones, None);
    assert_eq!((s.idle_close_limit, s.marks_retry), (500, true));
}

#[test]
fn actions_are_written_in_the_wire_format() {
    let mut out = String::new();
    let actions = [
        Action::Send { id: 1, server: server_id("node_a"), timeout: 80 },
        Action::Cancel { id: 1, attempt: 0 },
        Action::Reject { id: 2, retry_after: 5 },
        Action::Fail { id: 3 },
        Action::Timer { token: 4, delay: 6 },
        Action::Close(server_id("node_a")),
        Action::Subscribe,
    ];
    for a in &actions {
        wire::write(&mut out, "proxy_0", a, |_| Some("node_a".into()));
    }
    let want = "deliver proxy_0 1 node_a 80\nabandon proxy_0 1 0\nbounce proxy_0 2 5\nabort proxy_0 3\n\
        arm proxy_0 4 6\nclose proxy_0 node_a\nstream_changes proxy_0 1\n";
    assert_eq!(out, want);
}
