//! What a rule comes to once all chance in it is drawn; this is what a trace holds and a replay performs.

use crate::script::Act;
use crate::{Nanos, RuleRng, MILLI};
use serde::{Deserialize, Serialize};

/// How a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// In order, towards both ends.
    Fin,
    /// Reset, towards both ends.
    Rst,
    /// As of a machine that vanished: nothing is read or written any more, and nothing is closed.
    Silence,
}

/// How bytes are spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Garble {
    /// Some of the bits of each byte are turned.
    Bits,
    /// Each digit becomes another digit, so that a number stays a number and says something else. Hexadecimal letters
    /// become digits; anything else is left as it is.
    Digits,
}

/// How a listener takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListenerState {
    /// As usual.
    Open,
    /// It does not listen: the kernel refuses connects.
    Shut,
    /// Connects get no answer at all, as from a machine that is gone.
    Mute,
}

/// One act with all its figures drawn. Times are nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// What comes after this point waits once.
    Pause(Nanos),
    /// Each byte from this point on takes so much longer.
    Delay(Nanos),
    /// From this point on so many bytes pass in a second.
    Throttle(u64),
    /// The connection is ended.
    Cut(Cut),
    /// This direction is ended in order; the other goes on.
    HalfClose,
    /// The next bytes are spoilt, each by its draw.
    Garble(Garble, Vec<u8>),
    /// The next bytes are swallowed.
    Drop(u64),
    /// The next bytes pass twice, the second time behind the first.
    Duplicate(u64),
    /// These bytes are put in.
    Insert(String),
    /// From this point on writes hold so many bytes at most, with a wait between them.
    Split(u64, Nanos),
    /// From this point on bytes wait until there are so many, or for so long.
    Merge(u64, Nanos),
    /// Nothing passes in either direction; for this long, or until it is lifted.
    Freeze(Option<Nanos>),
    /// The connect is answered with a reset.
    Refuse,
    /// The connect is taken and nothing ever comes of it.
    Stall,
    /// Datagrams: passed on after so many later ones.
    Reorder(u64),
}

/// Longest run of bytes that one garbling may touch: its draws stand in the trace.
pub(crate) const GARBLE_MOST: u64 = 4096;

impl FaultAction {
    /// Draws what is left to chance in an act of a rule, for its `n`-th time on a connection. `None`: it is no matter
    /// of a connection.
    pub(crate) fn draw(act: &Act, dice: RuleRng, rule: &str, n: u64) -> Option<FaultAction> {
        let millis = |ms: u64, jitter: u64| {
            let part = dice.part(&format!("{rule}/jitter"), n);
            ms * MILLI + (part * (jitter * MILLI) as f64) as Nanos
        };
        Some(match act {
            Act::Pause { ms, jitter_ms } => FaultAction::Pause(millis(*ms, *jitter_ms)),
            Act::Delay { ms, jitter_ms } => FaultAction::Delay(millis(*ms, *jitter_ms)),
            Act::Throttle { bytes_per_s } => FaultAction::Throttle(*bytes_per_s),
            Act::Cut(how) => FaultAction::Cut(*how),
            Act::HalfClose => FaultAction::HalfClose,
            Act::Garble { bytes, with } => {
                let draw = |i: u64| {
                    let drawn = dice.draw(&format!("{rule}/garble/{i}"), n);
                    // Never 0, so that each byte changes.
                    match with {
                        Garble::Bits => (drawn % 255) as u8 + 1,
                        Garble::Digits => (drawn % 9) as u8 + 1,
                    }
                };
                FaultAction::Garble(*with, (0..(*bytes).min(GARBLE_MOST)).map(draw).collect())
            }
            Act::Drop { bytes } => FaultAction::Drop(*bytes),
            Act::Duplicate { bytes } => FaultAction::Duplicate(*bytes),
            Act::Insert { text } => FaultAction::Insert(text.clone()),
            Act::Split { bytes, gap_ms } => FaultAction::Split(*bytes, gap_ms * MILLI),
            Act::Merge { bytes, within_ms } => FaultAction::Merge(*bytes, within_ms * MILLI),
            Act::Freeze => FaultAction::Freeze(None),
            Act::Refuse => FaultAction::Refuse,
            Act::Stall => FaultAction::Stall,
            Act::Reorder { by } => FaultAction::Reorder(*by),
            Act::Listener(_) => return None,
        })
    }
}

/// One byte, spoilt by its draw.
pub(crate) fn garbled(with: Garble, draw: u8, byte: u8) -> u8 {
    match with {
        Garble::Bits => byte ^ draw,
        Garble::Digits => match byte {
            b'0'..=b'9' => b'0' + (byte - b'0' + draw) % 10,
            b'a'..=b'f' | b'A'..=b'F' => b'0' + draw,
            other => other,
        },
    }
}
