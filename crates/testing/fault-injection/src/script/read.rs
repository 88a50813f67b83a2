//! Reads a script (TOML). Each error names the line and the field.

use super::{Act, At, FramePart, HttpPart, Listener, Nth, Place, RespPart, Rule, Script, Transport};
use crate::action::{Cut, Garble, ListenerState, GARBLE_MOST};
use crate::Direction;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use toml::Spanned;

/// What is wrong with a script, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {field}: {what}")]
pub struct ScriptError {
    /// Line of the script, from 1.
    pub line: usize,
    /// The field at fault, such as `rule.at.offset`.
    pub field: String,
    /// What is wrong, and what is expected.
    pub what: String,
}

/// Where a fault lies: a span of the text, or the text as a whole.
struct Fault(usize, String, String);

type Checked<T> = Result<T, Fault>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawScript {
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    listener: Vec<Spanned<RawListener>>,
    #[serde(default)]
    rule: Vec<Spanned<RawRule>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListener {
    name: String,
    #[serde(default)]
    udp: bool,
    listen: Spanned<String>,
    target: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRule {
    name: String,
    #[serde(default)]
    listeners: Vec<Spanned<String>>,
    connections: Option<Spanned<String>>,
    seen: Option<RawSeen>,
    #[serde(default = "up")]
    lane: Direction,
    at: Spanned<RawAt>,
    #[serde(default = "always")]
    chance: Spanned<f64>,
    most: Option<u64>,
    #[serde(rename = "do")]
    act: Spanned<RawAct>,
}

fn up() -> Direction {
    Direction::Up
}

fn always() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSeen {
    #[serde(default = "up")]
    lane: Direction,
    text: Spanned<String>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawAt {
    connect: Option<bool>,
    after_ms: Option<u64>,
    from_ms: Option<u64>,
    to_ms: Option<Spanned<u64>>,
    offset: Option<u64>,
    text: Option<Spanned<String>>,
    edge: Option<Spanned<String>>,
    http: Option<Spanned<String>>,
    message: Option<Spanned<u64>>,
    http2: Option<Spanned<String>>,
    frame_type: Option<Spanned<FrameType>>,
    resp: Option<Spanned<String>>,
    datagram: Option<bool>,
    nth: Option<Spanned<u64>>,
    every: Option<Spanned<u64>>,
    plus: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum FrameType {
    Number(u8),
    Name(String),
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawAct {
    pause_ms: Option<u64>,
    delay_ms: Option<u64>,
    jitter_ms: Option<u64>,
    bytes_per_s: Option<u64>,
    cut: Option<Cut>,
    half_close: Option<bool>,
    garble: Option<u64>,
    with: Option<Garble>,
    drop: Option<u64>,
    duplicate: Option<u64>,
    insert: Option<String>,
    split: Option<u64>,
    gap_ms: Option<u64>,
    merge: Option<u64>,
    within_ms: Option<u64>,
    freeze: Option<bool>,
    refuse: Option<bool>,
    stall: Option<bool>,
    reorder: Option<u64>,
    listener: Option<ListenerState>,
}

impl Script {
    /// Reads and checks a script.
    ///
    /// # Errors
    /// The first fault, with its line and field.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let raw: RawScript = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            ScriptError { line: line(at), field: key_at(text, at).to_owned(), what: e.message().to_owned() }
        })?;
        raw.checked().map_err(|Fault(at, field, what)| ScriptError { line: line(at), field, what })
    }

    /// Reads rules alone, for listeners that there are.
    ///
    /// # Errors
    /// As [`Script::parse`].
    pub fn parse_rules(text: &str, listeners: &[Listener]) -> Result<Vec<Rule>, ScriptError> {
        let mut script = Script::parse_for(text, listeners)?;
        Ok(std::mem::take(&mut script.rules))
    }

    fn parse_for(text: &str, listeners: &[Listener]) -> Result<Script, ScriptError> {
        let mut whole = String::from(text);
        // Behind the rules, so that the lines stay as the caller wrote them.
        for l in listeners {
            let udp = l.transport == Transport::Udp;
            whole += &format!(
                "\n[[listener]]\nname = {:?}\nudp = {udp}\nlisten = \"{}\"\ntarget = \"{}\"\n",
                l.name, l.listen, l.target
            );
        }
        Script::parse(&whole)
    }
}

/// The key that stands here, or whose value does.
fn key_at(text: &str, at: usize) -> &str {
    let (before, here) = text.split_at(at.min(text.len()));
    let before = before.lines().next_back().unwrap_or("").trim_end();
    let key = match before.strip_suffix('=') {
        Some(before) => before.rsplit(['{', ',']).next(),
        None => here.split(['=', ',', '}', '\n']).next(),
    };
    key.unwrap_or("").trim()
}

impl RawScript {
    fn checked(self) -> Checked<Script> {
        let mut listeners = Vec::new();
        let mut names = HashSet::new();
        for raw in self.listener {
            let at = raw.span().start;
            let raw = raw.into_inner();
            if raw.name.is_empty() || !names.insert(raw.name.clone()) {
                return Err(Fault(
                    at,
                    "listener.name".into(),
                    "expected a name that no other listener has".into(),
                ));
            }
            let address = |of: &Spanned<String>, field: &str| -> Checked<SocketAddr> {
                let what = || format!("expected an address IP:PORT, found {:?}", of.get_ref());
                of.get_ref().parse().map_err(|_| Fault(of.span().start, field.into(), what()))
            };
            listeners.push(Listener {
                listen: address(&raw.listen, "listener.listen")?,
                target: address(&raw.target, "listener.target")?,
                name: raw.name,
                transport: if raw.udp { Transport::Udp } else { Transport::Tcp },
            });
        }
        let (mut rules, mut taken) = (Vec::new(), HashSet::new());
        for raw in self.rule {
            let at = raw.span().start;
            let rule = raw.into_inner().checked(&listeners)?;
            if rule.name.is_empty() || !taken.insert(rule.name.clone()) {
                let what = "expected a name that no other rule has: chance is drawn under it";
                return Err(Fault(at, "rule.name".into(), what.into()));
            }
            rules.push(rule);
        }
        Ok(Script { seed: self.seed, listeners, rules })
    }
}

impl RawRule {
    fn checked(self, listeners: &[Listener]) -> Checked<Rule> {
        for of in &self.listeners {
            if !listeners.iter().any(|l| l.name == *of.get_ref()) {
                let what = format!("no listener is named {:?}", of.get_ref());
                return Err(Fault(of.span().start, "rule.listeners".into(), what));
            }
        }
        let chance = *self.chance.get_ref();
        if !(0.0..=1.0).contains(&chance) {
            let what = format!("expected 0 to 1, found {chance}");
            return Err(Fault(self.chance.span().start, "rule.chance".into(), what));
        }
        let seen = match self.seen {
            None => None,
            Some(seen) if seen.text.get_ref().is_empty() => {
                let what = "expected a text that is not empty".to_owned();
                return Err(Fault(seen.text.span().start, "rule.seen.text".into(), what));
            }
            Some(seen) => Some((seen.lane, seen.text.into_inner().into_bytes())),
        };
        let (place_at, act_at) = (self.at.span().start, self.act.span().start);
        let place = self.at.into_inner().checked(place_at)?;
        let act = self.act.into_inner().checked(act_at)?;
        let of = |l: &&Listener| {
            self.listeners.is_empty() || self.listeners.iter().any(|n| *n.get_ref() == l.name)
        };
        let udp = listeners.iter().filter(of).any(|l| l.transport == Transport::Udp);
        let tcp = listeners.iter().filter(of).any(|l| l.transport == Transport::Tcp);
        fits(&place, &act, seen.is_some(), udp, tcp).map_err(|what| Fault(act_at, "rule.do".into(), what))?;
        Ok(Rule {
            connections: ordinals(self.connections)?,
            name: self.name,
            listeners: self.listeners.into_iter().map(Spanned::into_inner).collect(),
            seen,
            lane: self.lane,
            at: place,
            chance,
            most: self.most,
            act,
        })
    }
}

/// `3`, `2..`, `..5` or `2..5`, both ends included.
fn ordinals(told: Option<Spanned<String>>) -> Checked<(u64, u64)> {
    let Some(told) = told else { return Ok((1, u64::MAX)) };
    let number = |text: &str, without: u64| match text.trim() {
        "" => Some(without),
        text => text.parse().ok(),
    };
    let read = match told.get_ref().split_once("..") {
        Some((first, last)) => number(first, 1).zip(number(last, u64::MAX)),
        None => told.get_ref().trim().parse().ok().map(|n: u64| (n, n)),
    };
    read.filter(|(first, last)| *first >= 1 && first <= last).ok_or_else(|| {
        let what =
            format!("expected ordinals from 1, as \"3\", \"2..\" or \"2..5\", found {:?}", told.get_ref());
        Fault(told.span().start, "rule.connections".into(), what)
    })
}

/// A field of `rule.at` that can't be used, at this place of the script.
fn at_fault<T>(at: usize, field: &str, what: &str) -> Checked<T> {
    Err(Fault(at, format!("rule.at.{field}"), what.into()))
}

impl RawAt {
    fn checked(self, at: usize) -> Checked<At> {
        let kind = self.kind(at)?;
        self.check_companions(kind)?;
        let nth = self.ordinal()?;
        let plus = self.plus.as_ref().map_or(0, |p| *p.get_ref());
        let plus_at = self.plus.as_ref().map_or(at, |p| p.span().start);
        if !(-64..=1 << 40).contains(&plus) {
            return at_fault(plus_at, "plus", "expected -64 or more: so many bytes are held back at most");
        }
        let place = |place| Ok(At::Place(place, nth, plus));
        match kind {
            "connect" => Ok(At::Connect),
            "after_ms" => Ok(At::After(self.after_ms.unwrap_or(0))),
            "from_ms" => self.window(),
            "datagram" => Ok(At::Datagram(nth)),
            "offset" => {
                let Some(offset) = self.offset.unwrap_or(0).checked_add_signed(plus) else {
                    return at_fault(plus_at, "plus", "lies before the stream");
                };
                Ok(At::Place(Place::Offset(offset), nth, 0))
            }
            "text" => place(self.text_place(plus, plus_at)?),
            "http" => place(Place::Http(http_part(self.http)?, self.message.map(Spanned::into_inner))),
            "http2" => {
                let frame_type = self.frame_type.map(frame_type).transpose()?;
                place(Place::Http2(frame_part(self.http2)?, frame_type))
            }
            _ => place(Place::Resp(resp_part(self.resp)?)),
        }
    }

    /// The one field that says what kind of place it is.
    fn kind(&self, at: usize) -> Checked<&'static str> {
        let kinds = [
            ("connect", self.connect.is_some()),
            ("after_ms", self.after_ms.is_some()),
            ("from_ms", self.from_ms.is_some()),
            ("offset", self.offset.is_some()),
            ("text", self.text.is_some()),
            ("http", self.http.is_some()),
            ("http2", self.http2.is_some()),
            ("resp", self.resp.is_some()),
            ("datagram", self.datagram.is_some()),
        ];
        let named: Vec<&'static str> = kinds.iter().filter(|(_, is)| *is).map(|(name, _)| *name).collect();
        match named[..] {
            [kind] => Ok(kind),
            _ => {
                let all: Vec<&str> = kinds.iter().map(|(name, _)| *name).collect();
                Err(Fault(at, "rule.at".into(), format!("expected just one of {}", all.join(", "))))
            }
        }
    }

    /// Checks that fields which refine a kind stand beside that kind.
    fn check_companions(&self, kind: &str) -> Checked<()> {
        let only_with = |at: Option<usize>, field: &str, with: &[&str]| match at {
            Some(at) if !with.contains(&kind) => {
                at_fault(at, field, &format!("goes with {} only", with.join(", ")))
            }
            _ => Ok(()),
        };
        only_with(self.to_ms.as_ref().map(|s| s.span().start), "to_ms", &["from_ms"])?;
        only_with(self.edge.as_ref().map(|s| s.span().start), "edge", &["text"])?;
        only_with(self.message.as_ref().map(|s| s.span().start), "message", &["http"])?;
        only_with(self.frame_type.as_ref().map(|s| s.span().start), "frame_type", &["http2"])?;
        let places = ["offset", "text", "http", "http2", "resp"];
        only_with(self.plus.as_ref().map(|s| s.span().start), "plus", &places)?;
        let repeated = ["text", "http", "http2", "resp", "datagram"];
        only_with(self.nth.as_ref().map(|s| s.span().start), "nth", &repeated)?;
        only_with(self.every.as_ref().map(|s| s.span().start), "every", &repeated)
    }

    /// Which occurrence is meant; the first where nothing is said.
    fn ordinal(&self) -> Checked<Nth> {
        match (&self.nth, &self.every) {
            (Some(_), Some(every)) => {
                at_fault(every.span().start, "every", "expected nth or every, not both")
            }
            (Some(n), _) if *n.get_ref() == 0 => at_fault(n.span().start, "nth", "expected 1 or more"),
            (_, Some(n)) if *n.get_ref() == 0 => at_fault(n.span().start, "every", "expected 1 or more"),
            (Some(n), _) => Ok(Nth::Only(*n.get_ref())),
            (_, Some(n)) => Ok(Nth::Every(*n.get_ref())),
            _ => Ok(Nth::Only(1)),
        }
    }

    fn window(self) -> Checked<At> {
        let from = self.from_ms.unwrap_or(0);
        match self.to_ms {
            Some(to) if *to.get_ref() <= from => {
                at_fault(to.span().start, "to_ms", "expected more than from_ms")
            }
            to => Ok(At::Window(from, to.map(Spanned::into_inner))),
        }
    }

    fn text_place(self, plus: i64, plus_at: usize) -> Checked<Place> {
        let text = self.text.unwrap_or_else(|| Spanned::new(0..0, String::new()));
        if text.get_ref().is_empty() {
            return at_fault(text.span().start, "text", "expected a text that is not empty");
        }
        if plus < 0 {
            let what = "expected 0 or more with text: edge = \"start\" acts before it";
            return at_fault(plus_at, "plus", what);
        }
        let at_start = match self.edge.as_ref().map(|e| (e.get_ref().as_str(), e.span().start)) {
            None | Some(("end", _)) => false,
            Some(("start", _)) => true,
            Some((_, at)) => return at_fault(at, "edge", "expected start or end"),
        };
        Ok(Place::Text(text.into_inner().into_bytes(), at_start))
    }
}

fn http_part(name: Option<Spanned<String>>) -> Checked<HttpPart> {
    let parts = [
        ("head", HttpPart::Head),
        ("length", HttpPart::Length),
        ("chunk-size", HttpPart::ChunkSize),
        ("body", HttpPart::Body),
        ("end", HttpPart::End),
    ];
    named(name, "http", &parts)
}

fn frame_part(name: Option<Spanned<String>>) -> Checked<FramePart> {
    let parts = [("frame", FramePart::Frame), ("payload", FramePart::Payload), ("end", FramePart::End)];
    named(name, "http2", &parts)
}

fn resp_part(name: Option<Spanned<String>>) -> Checked<RespPart> {
    let parts = [
        ("reply", RespPart::Reply),
        ("length", RespPart::Length),
        ("body", RespPart::Body),
        ("end", RespPart::End),
    ];
    named(name, "resp", &parts)
}

fn named<T: Copy>(told: Option<Spanned<String>>, field: &str, of: &[(&str, T)]) -> Checked<T> {
    let told = told.unwrap_or_else(|| Spanned::new(0..0, String::new()));
    let found = of.iter().find(|(name, _)| name == told.get_ref()).map(|(_, t)| *t);
    found.ok_or_else(|| {
        let names: Vec<_> = of.iter().map(|(name, _)| *name).collect();
        let what = format!("expected {}, found {:?}", names.join(", "), told.get_ref());
        Fault(told.span().start, format!("rule.at.{field}"), what)
    })
}

/// RFC 9113, 6.
fn frame_type(told: Spanned<FrameType>) -> Checked<u8> {
    const NAMES: [&str; 10] = [
        "DATA",
        "HEADERS",
        "PRIORITY",
        "RST_STREAM",
        "SETTINGS",
        "PUSH_PROMISE",
        "PING",
        "GOAWAY",
        "WINDOW_UPDATE",
        "CONTINUATION",
    ];
    let at = told.span().start;
    match told.into_inner() {
        FrameType::Number(n) => Ok(n),
        FrameType::Name(name) => {
            let number = NAMES.iter().position(|n| *n == name).map(|n| n as u8);
            let what = || format!("expected a number or one of {}", NAMES.join(", "));
            number.ok_or_else(|| Fault(at, "rule.at.frame_type".into(), what()))
        }
    }
}

impl RawAct {
    fn checked(self, at: usize) -> Checked<Act> {
        let fault = |field: &str, what: &str| Err(Fault(at, format!("rule.do.{field}"), what.into()));
        let acts = [
            ("pause_ms", self.pause_ms.is_some()),
            ("delay_ms", self.delay_ms.is_some()),
            ("bytes_per_s", self.bytes_per_s.is_some()),
            ("cut", self.cut.is_some()),
            ("half_close", self.half_close.is_some()),
            ("garble", self.garble.is_some()),
            ("drop", self.drop.is_some()),
            ("duplicate", self.duplicate.is_some()),
            ("insert", self.insert.is_some()),
            ("split", self.split.is_some()),
            ("merge", self.merge.is_some()),
            ("freeze", self.freeze.is_some()),
            ("refuse", self.refuse.is_some()),
            ("stall", self.stall.is_some()),
            ("reorder", self.reorder.is_some()),
            ("listener", self.listener.is_some()),
        ];
        let told: Vec<_> = acts.iter().filter(|(_, is)| *is).map(|(name, _)| *name).collect();
        let [act] = told[..] else {
            let all: Vec<_> = acts.iter().map(|(name, _)| *name).collect();
            return Err(Fault(at, "rule.do".into(), format!("expected just one of {}", all.join(", "))));
        };
        for (extra, is, with) in [
            ("jitter_ms", self.jitter_ms.is_some(), "pause_ms delay_ms"),
            ("with", self.with.is_some(), "garble"),
            ("gap_ms", self.gap_ms.is_some(), "split"),
            ("within_ms", self.within_ms.is_some(), "merge"),
        ] {
            if is && !with.split(' ').any(|w| w == act) {
                return fault(extra, &format!("goes with {with} only"));
            }
        }
        if [self.half_close, self.freeze, self.refuse, self.stall].contains(&Some(false)) {
            return fault(act, "expected true");
        }
        let figure =
            [self.bytes_per_s, self.garble, self.drop, self.duplicate, self.split, self.merge, self.reorder];
        if figure.contains(&Some(0)) {
            return fault(act, "expected 1 or more");
        }
        let jitter_ms = self.jitter_ms.unwrap_or(0);
        Ok(match act {
            "pause_ms" => Act::Pause { ms: self.pause_ms.unwrap_or(0), jitter_ms },
            "delay_ms" => Act::Delay { ms: self.delay_ms.unwrap_or(0), jitter_ms },
            "bytes_per_s" => Act::Throttle { bytes_per_s: self.bytes_per_s.unwrap_or(1) },
            "cut" => Act::Cut(self.cut.unwrap_or(Cut::Fin)),
            "half_close" => Act::HalfClose,
            "garble" => {
                let bytes = self.garble.unwrap_or(1);
                if bytes > GARBLE_MOST {
                    return fault("garble", &format!("expected {GARBLE_MOST} bytes at most"));
                }
                Act::Garble { bytes, with: self.with.unwrap_or(Garble::Bits) }
            }
            "drop" => Act::Drop { bytes: self.drop.unwrap_or(1) },
            "duplicate" => match self.duplicate.unwrap_or(1) {
                bytes if bytes > 4096 => return fault("duplicate", "expected 4096 bytes at most"),
                bytes => Act::Duplicate { bytes },
            },
            "insert" => match self.insert.unwrap_or_default() {
                text if text.len() > 4096 => return fault("insert", "expected 4096 bytes at most"),
                text => Act::Insert { text },
            },
            "split" => Act::Split { bytes: self.split.unwrap_or(1), gap_ms: self.gap_ms.unwrap_or(0) },
            "merge" => {
                let bytes = self.merge.unwrap_or(1);
                if bytes > crate::HELD_MOST as u64 {
                    return fault("merge", &format!("expected {} bytes at most", crate::HELD_MOST));
                }
                Act::Merge { bytes, within_ms: self.within_ms.unwrap_or(10) }
            }
            "freeze" => Act::Freeze,
            "refuse" => Act::Refuse,
            "stall" => Act::Stall,
            "reorder" => Act::Reorder { by: self.reorder.unwrap_or(1) },
            _ => Act::Listener(self.listener.unwrap_or(ListenerState::Open)),
        })
    }
}

/// Whether such an act can be done at such a place.
fn fits(at: &At, act: &Act, seen: bool, udp: bool, tcp: bool) -> Result<(), String> {
    let no = |what: &str| Err(what.to_owned());
    if udp && tcp {
        return no("the rule is for datagrams and connections at once; name its listeners");
    }
    if udp {
        let fine = matches!(
            act,
            Act::Pause { .. }
                | Act::Drop { .. }
                | Act::Duplicate { .. }
                | Act::Garble { .. }
                | Act::Reorder { .. }
        );
        return match (at, fine && !seen) {
            (At::Datagram(_), true) => Ok(()),
            (At::Window(..), _)
                if matches!(act, Act::Listener(ListenerState::Open | ListenerState::Mute)) =>
            {
                Ok(())
            }
            _ => no("at a datagram: expected pause_ms, drop, duplicate, garble or reorder, and no seen"),
        };
    }
    match (at, act) {
        (At::Datagram(_), _) | (_, Act::Reorder { .. }) => no("goes with listeners of datagrams only"),
        (At::Window(..), Act::Listener(_)) => Ok(()),
        (_, Act::Listener(_)) => no("listener goes with from_ms only"),
        (At::Connect, Act::Refuse | Act::Stall | Act::Pause { .. }) if !seen => Ok(()),
        (At::Connect, _) => no("at connect: expected refuse, stall or pause_ms, and no seen"),
        (_, Act::Refuse | Act::Stall) => no("goes with connect only"),
        (
            At::After(_) | At::Window(..),
            Act::Garble { .. } | Act::Drop { .. } | Act::Duplicate { .. } | Act::Insert { .. },
        ) => no("changes bytes and so needs a place in the stream: a time is another place in each run"),
        (At::Place(..), Act::Freeze) => {
            no("freeze lasts until it is lifted: expected from_ms or after_ms; use pause_ms at a place")
        }
        _ => Ok(()),
    }
}
