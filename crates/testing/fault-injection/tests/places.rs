//! Where things lie in streams, and that acts land there: seen by what a byte put in there does to the stream.

mod common;

use common::*;
use rushquay_fault_injection::Cut;

const ASKED: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\nPUT /b HTTP/1.1\r\nContent-Length:  5\r\n\r\nvalueGET /c HTTP/1.1\r\n\r\n";
const ANSWERED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabcHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
    Transfer-Encoding: chunked\r\n\r\n4;x=1\r\nabcd\r\n0a\r\n0123456789\r\n0\r\nt: 1\r\n\r\nHTTP/1.1 204 No\r\n\r\n";

/// The stream with a mark put in at the place.
fn marked(lane: &str, at: &str, up: &[u8], down: &[u8]) -> String {
    let rule =
        format!("[[rule]]\nname = \"m\"\nlane = \"{lane}\"\nat = {{ {at} }}\ndo = {{ insert = \"|\" }}");
    let run = whole(fresh(&rules(&rule), 1), up, down);
    String::from_utf8_lossy(&run.out[usize::from(lane == "down")]).into_owned()
}

fn mark(text: &str, before: &str, nth: usize) -> String {
    let (at, _) = text.match_indices(before).nth(nth).expect("the text");
    format!("{}|{}", &text[..at], &text[at..])
}

#[test]
fn parts_of_http_messages() {
    let up = |at: &str| marked("up", at, ASKED.as_bytes(), b"");
    let down = |at: &str| marked("down", at, ASKED.as_bytes(), ANSWERED.as_bytes());
    assert_eq!(up("http = 'head'"), mark(ASKED, "GET /a", 0));
    assert_eq!(up("http = 'head', nth = 3"), mark(ASKED, "GET /c", 0));
    assert_eq!(up("http = 'length'"), mark(ASKED, "5\r\n", 0));
    assert_eq!(up("http = 'body', nth = 2"), mark(ASKED, "value", 0));
    assert_eq!(up("http = 'body', message = 2, plus = 2"), mark(ASKED, "lue", 0));
    assert_eq!(up("http = 'end', nth = 2"), mark(ASKED, "GET /c", 0));
    assert_eq!(up("http = 'end', nth = 2, plus = -1"), mark(ASKED, "eGET", 0));
    assert_eq!(up("http = 'end', nth = 2, plus = 1"), mark(ASKED, "ET /c", 0));
    assert_eq!(up("http = 'end', plus = -1"), mark(ASKED, "\nPUT", 0));
    assert_eq!(down("http = 'length'"), mark(ANSWERED, "3\r\n\r\nabc", 0));
    assert_eq!(down("http = 'head', nth = 2"), mark(ANSWERED, "HTTP/1.1 100", 0));
    assert_eq!(down("http = 'head', nth = 3"), mark(ANSWERED, "HTTP/1.1 200", 1));
    assert_eq!(down("http = 'chunk-size'"), mark(ANSWERED, "4;x", 0));
    assert_eq!(down("http = 'chunk-size', nth = 2"), mark(ANSWERED, "0a\r\n", 0));
    assert_eq!(down("http = 'end', message = 3"), mark(ANSWERED, "HTTP/1.1 204", 0));
    assert_eq!(down("http = 'end', nth = 4"), format!("{ANSWERED}|"));
}

/// The answer to a HEAD has a length and no body: only the request tells.
#[test]
fn an_answer_to_head_ends_with_its_head() {
    let asked = "HEAD /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    let answered =
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let got = marked("down", "http = 'head', nth = 2", asked.as_bytes(), answered.as_bytes());
    assert_eq!(got, mark(answered, "HTTP", 1));
}

#[test]
fn frames_of_http2() {
    let frame = |kind: u8, payload: &[u8]| {
        let mut f = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        f.extend([kind, 0, 0, 0, 0, 1]);
        f.extend(payload);
        f
    };
    let mut up = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    let settings = up.len();
    up.extend(frame(4, b""));
    let headers = up.len();
    up.extend(frame(1, b"hhh"));
    let data = up.len();
    up.extend(frame(0, b"data"));
    let at = |at: &str| {
        let rule = format!("[[rule]]\nname = \"m\"\nat = {{ {at} }}\ndo = {{ insert = \"||||\" }}");
        let run = whole(fresh(&rules(&rule), 1), &up, b"");
        run.out[0].windows(4).position(|w| w == b"||||").expect("a mark")
    };
    assert_eq!(at("http2 = 'frame'"), settings);
    assert_eq!(at("http2 = 'frame', nth = 2"), headers);
    assert_eq!(at("http2 = 'frame', frame_type = 'DATA'"), data);
    assert_eq!(at("http2 = 'payload', frame_type = 1"), headers + 9);
    assert_eq!(at("http2 = 'end', frame_type = 'HEADERS'"), data);
    assert_eq!(at("http2 = 'end', frame_type = 'DATA', plus = -1"), up.len() - 1);
}

#[test]
fn values_of_resp() {
    let down =
        "+OK\r\n$5\r\nhello\r\n*2\r\n:1\r\n%1\r\n+k\r\n$1\r\nv\r\n$-1\r\n*0\r\n|1\r\n+a\r\n+b\r\n_\r\n#t\r\n";
    let at = |at: &str| marked("down", at, b"x", down.as_bytes());
    assert_eq!(at("resp = 'reply', nth = 2"), mark(down, "$5", 0));
    assert_eq!(at("resp = 'length'"), mark(down, "5\r\n", 0));
    assert_eq!(at("resp = 'body'"), mark(down, "hello", 0));
    assert_eq!(at("resp = 'end', nth = 2"), mark(down, "*2", 0));
    assert_eq!(at("resp = 'end', nth = 3"), mark(down, "$-1", 0));
    assert_eq!(at("resp = 'reply', nth = 6"), mark(down, "|1", 0));
    // An attribute belongs to the value behind it.
    assert_eq!(at("resp = 'reply', nth = 7"), mark(down, "#t", 0));
}

/// A hard case: the string lies across two reads, at every place; also one that begins again inside itself.
#[test]
fn a_text_split_over_reads() {
    // In the first what has matched so far begins the match anew, one byte later.
    for (text, stream, at) in
        [("aab", "xaaab--", 2), ("abab", "xabaabab--", 4), ("\r\n\r\n", "a\r\n\r\r\n\r\nb", 4)]
    {
        for cut in 1..stream.len() {
            for (edge, place) in [("start", at), ("end", at + text.len())] {
                let rule = format!(
                    "[[rule]]\nname = \"m\"\nat = {{ text = {text:?}, edge = \"{edge}\" }}\ndo = {{ cut = \"fin\" }}"
                );
                let mut pieces = Pieces(vec![stream.len(), cut], 1);
                let run = drive(fresh(&rules(&rule), 1), stream.as_bytes(), b"", &mut pieces, 1);
                assert_eq!(run.out[0], stream.as_bytes()[..place], "{text:?} {edge}, cut at {cut}");
                assert_eq!(run.cut, Some(Cut::Fin));
            }
        }
    }
}

/// A hard case: exactly between the request's last byte and the answer's first, and one byte either side.
#[test]
fn a_cut_between_question_and_answer() {
    let (up, down) =
        ("PUT /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv");
    for (lane, at, sent) in [
        ("up", "http = 'end', plus = -1", (up.len() - 1, 0)),
        // Two before: the first of them has come before the end shows.
        ("up", "http = 'end', plus = -2", (up.len() - 2, 0)),
        ("up", "http = 'end'", (up.len(), 0)),
        ("down", "http = 'head', plus = 1", (up.len(), 1)),
    ] {
        let rule =
            format!("[[rule]]\nname = \"m\"\nlane = \"{lane}\"\nat = {{ {at} }}\ndo = {{ cut = \"rst\" }}");
        // Also where each byte is a read of its own: what lies before a place must not have gone when it shows.
        for reads in [1 << 20, 1] {
            let mut pieces = Pieces(vec![reads], 0);
            let run = drive(fresh(&rules(&rule), 1), up.as_bytes(), down.as_bytes(), &mut pieces, 1);
            assert_eq!((run.out[0].len(), run.out[1].len()), sent, "{lane} {at}, reads of {reads}");
            assert_eq!(run.cut, Some(Cut::Rst));
        }
    }
}

/// A hard case: inside a Content-Length, a chunk size, an HTTP/2 frame's length, a RESP bulk's length.
#[test]
fn garbling_inside_a_length_field() {
    let http = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\n";
    let frame = "\0\0\u{4}\0\0\0\0\0\u{1}data";
    for (at, with, stream, from, bytes) in [
        ("http = 'length'", "digits", http, http.find("3\r").expect("it"), 1),
        ("http = 'chunk-size'", "digits", chunked, chunked.find("1f").expect("it"), 2),
        ("http2 = 'frame'", "bits", frame, 0, 3),
        ("resp = 'length'", "digits", "$5\r\nhello\r\n", 1, 1),
    ] {
        let rule = format!(
            "seed = 5\n[[rule]]\nname = \"g\"\nlane = \"down\"\nat = {{ {at} }}\ndo = {{ garble = {bytes}, with = \"{with}\" }}"
        );
        let run = whole(fresh(&rules(&rule), 1), b"GET / HTTP/1.1\r\n\r\n", stream.as_bytes());
        let changed: Vec<usize> =
            (0..stream.len()).filter(|i| run.out[1][*i] != stream.as_bytes()[*i]).collect();
        assert_eq!(changed, (from..from + bytes).collect::<Vec<_>>(), "{at}");
        if with == "digits" {
            assert!(changed.iter().all(|i| run.out[1][*i].is_ascii_digit()), "{at}: it is still a number");
        }
    }
}

/// A hard case: a half-close in the middle of a pipelined answer ends that direction and not the other.
#[test]
fn a_half_close_inside_a_pipelined_answer() {
    let rule = "[[rule]]\nname = \"h\"\nlane = \"down\"\nat = { http = 'body', nth = 2, plus = 1 }\ndo = { half_close = true }";
    let down = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc".repeat(3);
    let up = "GET /a HTTP/1.1\r\n\r\n".repeat(3);
    let run = whole(fresh(&rules(rule), 1), up.as_bytes(), down.as_bytes());
    assert_eq!(run.out[1], &down.as_bytes()[..down.len() / 3 * 2 - 2]);
    assert_eq!((run.out[0].as_slice(), run.ended, run.cut), (up.as_bytes(), [false, true], None));
}
