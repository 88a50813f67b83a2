//! Datagrams of one sender: dropped, doubled, spoilt, late, out of order.

use crate::action::{garbled, FaultAction};
use crate::rules::{Performed, RuleSet};
use crate::script::{Act, At, Rule};
use crate::{Direction, Nanos, RuleRng};
use std::collections::VecDeque;
use std::sync::Arc;

/// Datagrams held at most in each direction; what comes beyond is dropped, as a full queue on the way does.
const HELD_MOST: usize = 256;
/// One that waits for later ones goes on after this, though none come.
const REORDER_WITHIN: Nanos = 200 * crate::MILLI;

#[derive(Debug)]
struct Held {
    data: Vec<u8>,
    /// Not before then.
    due: Nanos,
    /// Later ones that still have to pass first, and until when it waits for them.
    behind: Option<(u64, Nanos)>,
}

/// The datagrams between one sender and the target.
#[derive(Debug)]
pub struct Flow {
    listener: String,
    ordinal: u64,
    dice: RuleRng,
    rules: Vec<(Rule, Arc<crate::rules::Shared>)>,
    counts: [u64; 2],
    held: [VecDeque<Held>; 2],
    performed: Vec<Performed>,
    planned: Option<Vec<Performed>>,
    dropped: u64,
}

impl Flow {
    /// The sender of this ordinal, from 1, at this listener.
    pub fn new(listener: &str, ordinal: u64, rules: &RuleSet) -> Self {
        let matching = rules.rules.iter().filter(|r| r.rule.matches(listener, ordinal));
        Flow {
            listener: listener.to_owned(),
            ordinal,
            dice: rules.dice(listener, ordinal),
            rules: matching.map(|r| (r.rule.clone(), r.clone())).collect(),
            counts: [0; 2],
            held: Default::default(),
            performed: Vec::new(),
            planned: None,
            dropped: 0,
        }
    }

    /// The same sender in a run that is played again.
    pub fn replay(listener: &str, ordinal: u64, plan: &crate::Plan) -> Self {
        let planned = plan.of(listener, ordinal).into_iter().map(|p| p.performed).collect();
        Flow { planned: Some(planned), ..Flow::new(listener, ordinal, &RuleSet::default()) }
    }

    /// What is done to the datagram of this number in a direction.
    fn deeds(&mut self, lane: Direction, number: u64) -> Vec<(String, FaultAction)> {
        if let Some(planned) = &self.planned {
            let here = planned.iter().filter(|p| p.lane == lane && p.offset == number);
            return here.map(|p| (p.rule.clone(), p.deed.clone())).collect();
        }
        let mut deeds = Vec::new();
        for (rule, shared) in &self.rules {
            let At::Datagram(nth) = rule.at else { continue };
            let acts = rule.lane == lane
                && nth.is(number)
                && (rule.chance >= 1.0 || self.dice.part(&rule.name, number) < rule.chance)
                && !matches!(rule.act, Act::Listener(_))
                && shared.take();
            if let Some(deed) =
                acts.then(|| FaultAction::draw(&rule.act, self.dice, &rule.name, number)).flatten()
            {
                deeds.push((rule.name.clone(), deed));
            }
        }
        deeds
    }

    /// A datagram has come.
    pub fn offer(&mut self, lane: Direction, datagram: &[u8], now: Nanos) {
        let at = lane.index();
        self.counts[at] += 1;
        let number = self.counts[at];
        let (mut copies, mut due, mut behind) = (1, 0, None);
        let mut data = datagram.to_vec();
        for (rule, deed) in self.deeds(lane, number) {
            match &deed {
                FaultAction::Drop(_) => copies = 0,
                FaultAction::Duplicate(_) => copies += copies.min(1),
                FaultAction::Pause(span) => due = now + span,
                FaultAction::Reorder(by) => behind = Some((*by, now + REORDER_WITHIN)),
                FaultAction::Garble(with, draws) => {
                    let bytes = data.iter_mut().zip(draws);
                    bytes.for_each(|(byte, draw)| *byte = garbled(*with, *draw, *byte));
                }
                _ => continue,
            }
            let (listener, connection) = (self.listener.clone(), self.ordinal);
            self.performed.push(Performed {
                listener,
                connection,
                lane,
                offset: number,
                other: None,
                rule,
                deed,
            });
        }
        for held in &mut self.held[at] {
            if let Some((left, _)) = &mut held.behind {
                *left = left.saturating_sub(1);
            }
        }
        for _ in 0..copies {
            if self.held[at].len() < HELD_MOST {
                self.held[at].push_back(Held { data: data.clone(), due, behind });
            } else {
                self.dropped += 1;
            }
        }
    }

    /// The next datagram that may go on. One that was overtaken comes behind the last that had to pass it.
    pub fn take(&mut self, lane: Direction, now: Nanos) -> Option<Vec<u8>> {
        let held = &mut self.held[lane.index()];
        let free = |h: &Held| h.due <= now && h.behind.is_none();
        let late = |h: &Held| h.behind.is_some_and(|(left, until)| left == 0 || until <= now);
        let next = held.iter().position(free).or_else(|| held.iter().position(late))?;
        held.remove(next).map(|h| h.data)
    }

    /// When one may go on though none comes.
    pub fn wake(&self) -> Option<Nanos> {
        let wake = |h: &Held| h.behind.map_or(h.due, |(_, until)| until.max(h.due));
        self.held.iter().flatten().map(wake).min()
    }

    /// What has been done since it was last asked.
    pub fn take_performed(&mut self) -> Vec<Performed> {
        std::mem::take(&mut self.performed)
    }

    /// Datagrams that found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
