//! A rule on one connection: where it stands, and what it has counted.

use super::direction::{In, Quiet};
use crate::action::FaultAction;
use crate::protocol_position::{Found, Part, Text};
use crate::rules::{millis, Planned, Shared};
use crate::script::{Act, At, Nth, Place};
use crate::{Direction, Nanos, RuleRng};
use std::sync::Arc;

#[derive(Debug)]
pub(super) enum Source {
    /// A rule of the script: chance is still to be drawn.
    Rule(Arc<Shared>),
    /// A line of a trace.
    Planned(Planned),
}

#[derive(Debug)]
pub(super) struct ActiveRule {
    pub name: String,
    pub lane: Direction,
    pub at: At,
    pub source: Source,
    /// Still to be seen.
    seen: Option<(Direction, Text)>,
    text: Option<Text>,
    /// Places of its kind so far.
    candidates: u64,
    pub done: bool,
    /// When what it did is lifted.
    pub until: Option<Nanos>,
}

impl ActiveRule {
    pub fn rule(shared: &Arc<Shared>) -> Self {
        let rule = &shared.rule;
        let text = match &rule.at {
            At::Place(Place::Text(pattern, _), ..) => Some(Text::new(pattern)),
            _ => None,
        };
        ActiveRule {
            name: rule.name.clone(),
            lane: rule.lane,
            at: rule.at.clone(),
            seen: rule.seen.as_ref().map(|(lane, text)| (*lane, Text::new(text))),
            source: Source::Rule(shared.clone()),
            text,
            candidates: 0,
            done: false,
            until: None,
        }
    }

    pub fn planned(planned: Planned) -> Self {
        let p = &planned.performed;
        let at = match p.deed {
            FaultAction::Refuse | FaultAction::Stall => At::Connect,
            _ => At::Place(Place::Offset(p.offset), Nth::Only(1), 0),
        };
        ActiveRule {
            name: p.rule.clone(),
            lane: p.lane,
            at,
            source: Source::Planned(planned),
            seen: None,
            text: None,
            candidates: 0,
            done: false,
            until: None,
        }
    }

    /// Whether it must be shown each byte of this lane.
    pub fn watches(&self, lane: Direction) -> bool {
        !self.done
            && match &self.seen {
                Some((of, _)) if *of == lane => true,
                _ => matches!(self.at, At::Place(..)) && self.lane == lane,
            }
    }

    pub fn needs_http1(&self) -> bool {
        !self.done && matches!(self.at, At::Place(Place::Http(..), ..))
    }

    pub fn needs_http2(&self) -> bool {
        !self.done && matches!(self.at, At::Place(Place::Http2(..), ..))
    }

    pub fn needs_resp(&self) -> bool {
        !self.done && matches!(self.at, At::Place(Place::Resp(..), ..))
    }

    /// An offset is known from the start, unless something is to be seen first.
    pub fn known_offset(&self) -> Option<u64> {
        match (&self.at, &self.seen) {
            (At::Place(Place::Offset(offset), ..), None) => Some(*offset),
            _ => None,
        }
    }

    /// How many of the last bytes must be held back for it.
    pub fn holds(&self, lane: &In) -> usize {
        let At::Place(place, _, plus) = &self.at else { return 0 };
        if self.done || self.seen.is_some() {
            return 0;
        }
        let back = |busy: bool| if busy { plus.min(&0).unsigned_abs() as usize } else { 0 };
        match place {
            Place::Offset(_) | Place::Text(_, false) => 0,
            Place::Text(_, true) => self.text.as_ref().map_or(0, Text::partial),
            Place::Http(..) => back(lane.http1.as_ref().is_some_and(|h| h.busy())),
            Place::Http2(..) => {
                let h = lane.http2.as_ref();
                h.map_or(0, |h| h.partial()) + back(h.is_some_and(|h| h.busy()))
            }
            Place::Resp(_) => back(lane.resp.as_ref().is_some_and(|r| r.busy())),
        }
    }

    /// Shown a byte of this lane and the places that it shows, `after` bytes into it: where to act, and for the
    /// so-many-th time.
    pub fn shown(
        &mut self,
        lane: Direction,
        (byte, after): (u8, u64),
        (places, quiet): (&[Found], Quiet),
        due: &mut Vec<(u64, u64)>,
    ) {
        if self.done {
            return;
        }
        if let Some((of, text)) = &mut self.seen {
            if *of == lane && text.take(byte) {
                self.seen = None;
                if let (At::Place(Place::Offset(offset), ..), true) = (&self.at, self.lane == lane) {
                    // Counted from where the text ended.
                    due.push((after + offset, 1));
                    self.done = true;
                }
            }
            return;
        }
        let At::Place(place, nth, plus) = &self.at else { return };
        if self.lane != lane {
            return;
        }
        let (nth, plus) = (*nth, *plus);
        let mut at = Vec::new();
        let least = match place {
            Place::Http(..) => quiet.http1,
            Place::Http2(..) => quiet.http2,
            Place::Resp(_) => quiet.resp,
            Place::Offset(_) | Place::Text(..) => 0,
        };
        match place {
            Place::Offset(_) => {}
            Place::Text(_, start) => {
                let text = self.text.as_mut();
                if let Some(text) = text {
                    if text.take(byte) {
                        at.push(if *start { after - text.len() as u64 } else { after });
                    }
                }
            }
            Place::Http(part, message) => {
                at.extend(places.iter().filter_map(|f| match f.part {
                    Part::Http(p, m) if p == *part && message.is_none_or(|n| n == m) => Some(f.offset),
                    _ => None,
                }));
            }
            Place::Http2(part, kind) => {
                at.extend(places.iter().filter_map(|f| match f.part {
                    Part::Frame(p, k) if p == *part && kind.is_none_or(|n| n == k) => Some(f.offset),
                    _ => None,
                }));
            }
            Place::Resp(part) => {
                at.extend(places.iter().filter_map(|f| match f.part {
                    Part::Resp(p) if p == *part => Some(f.offset),
                    _ => None,
                }));
            }
        }
        for offset in at {
            self.candidates += 1;
            if nth.is(self.candidates) {
                due.push((offset.saturating_add_signed(plus).max(least), self.candidates));
            }
            self.done |= matches!(nth, Nth::Only(n) if n <= self.candidates);
        }
    }

    /// Whether it acts this time, and what it does then.
    pub fn draw(&self, dice: RuleRng, n: u64) -> Option<FaultAction> {
        match &self.source {
            Source::Planned(planned) => Some(planned.performed.deed.clone()),
            Source::Rule(shared) => {
                let rule = &shared.rule;
                let acts = rule.chance >= 1.0 || dice.part(&rule.name, n) < rule.chance;
                if !acts || !shared.take() {
                    return None;
                }
                FaultAction::draw(&rule.act, dice, &rule.name, n)
            }
        }
    }

    pub fn turn(&self) -> Option<u64> {
        match &self.source {
            Source::Planned(planned) => Some(planned.turn),
            Source::Rule(_) => None,
        }
    }

    /// For a deed of both directions in a replay: how far the other one got.
    pub fn other(&self) -> Option<u64> {
        match &self.source {
            Source::Planned(planned) => planned.performed.other,
            Source::Rule(_) => None,
        }
    }

    /// When it acts by the clock; `start` is when the connection was accepted.
    pub fn time(&self, start: Nanos) -> Option<Nanos> {
        if self.done || self.seen.is_some() {
            return None;
        }
        match &self.at {
            At::After(ms) => Some(start + millis(*ms)),
            At::Window(from, _) if !self.of_listener() => Some(millis(*from)),
            _ => None,
        }
    }

    fn of_listener(&self) -> bool {
        matches!(&self.source, Source::Rule(shared) if matches!(shared.rule.act, Act::Listener(_)))
    }

    pub fn spent(&self) -> bool {
        matches!(&self.source, Source::Rule(shared) if shared.spent())
    }
}
