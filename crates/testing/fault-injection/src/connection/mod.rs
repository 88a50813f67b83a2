//! One relayed connection as a state machine: bytes, ends and time go in; what to write, to end and to break comes out.

mod active_rule;
mod direction;
mod output;

use crate::action::{Cut, FaultAction};
use crate::protocol_position::{Found, Http1, Http2, Methods, Resp};
use crate::rules::{millis, Performed, Plan, RuleSet};
use crate::script::At;
use crate::{Direction, Nanos, RuleRng};
use active_rule::ActiveRule;
use direction::{Due, In};
use output::{Both, Item, Next, Shape};

/// Bytes that one direction holds at most, so that a sender that is faster than its receiver is made to wait.
pub const HELD_MOST: usize = 64 << 10;

/// Under this name commands stand in a trace.
const COMMAND: &str = "command";

/// What becomes of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It is led on, after this wait.
    Lead(Nanos),
    /// It is answered with a reset.
    Refuse,
    /// Nothing ever comes of it.
    Stall,
}

/// What may be done in one direction now.
#[derive(Debug, PartialEq, Eq)]
pub enum Transmit<'a> {
    /// Write these bytes, or the first of them, and say how many by [`Connection::sent`].
    Write(&'a [u8]),
    /// End this direction, and say so by [`Connection::finished`].
    Finish,
    /// Nothing, at least until [`Connection::wake`].
    Nothing,
}

/// A relayed connection.
#[derive(Debug)]
pub struct Connection {
    listener: String,
    ordinal: u64,
    dice: RuleRng,
    start: Nanos,
    lanes: [In; 2],
    rules: Vec<ActiveRule>,
    methods: Methods,
    places: Vec<Found>,
    due: Vec<(u64, u64)>,
    opening: Opening,
    frozen: Vec<(String, Option<Nanos>)>,
    cut: Option<Cut>,
    performed: Vec<Performed>,
    /// Replay in order: turns below this may be taken. `None`: in any order.
    turns: Option<u64>,
    passed: Vec<u64>,
    wakes: [Option<Nanos>; 2],
}

impl Connection {
    /// The connection of this ordinal, from 1, at this listener, under these rules. `now` counts from the start of the
    /// run.
    pub fn new(listener: &str, ordinal: u64, rules: &RuleSet, now: Nanos) -> Self {
        let matching = rules.rules.iter().filter(|r| r.rule.matches(listener, ordinal));
        Self::with(
            listener,
            ordinal,
            rules.dice(listener, ordinal),
            matching.map(ActiveRule::rule).collect(),
            now,
        )
    }

    /// The same connection of a run that is played again: what its trace says is done, and nothing else. With `ordered`
    /// each deed waits for those before it, also on other connections.
    pub fn replay(listener: &str, ordinal: u64, plan: &Plan, ordered: bool, now: Nanos) -> Self {
        let rules = plan.of(listener, ordinal).into_iter().map(ActiveRule::planned).collect();
        let mut connection = Self::with(listener, ordinal, RuleRng::new(0), rules, now);
        if ordered {
            connection.turns = Some(0);
        }
        connection.gates();
        for lane in Direction::BOTH {
            connection.fire(lane, now);
        }
        connection
    }

    fn with(listener: &str, ordinal: u64, dice: RuleRng, rules: Vec<ActiveRule>, now: Nanos) -> Self {
        let mut connection = Connection {
            listener: listener.to_owned(),
            ordinal,
            dice,
            start: now,
            lanes: [In::default(), In::default()],
            rules: Vec::new(),
            methods: Methods::default(),
            places: Vec::new(),
            due: Vec::new(),
            opening: Opening::Lead(0),
            frozen: Vec::new(),
            cut: None,
            performed: Vec::new(),
            turns: None,
            passed: Vec::new(),
            wakes: [None; 2],
        };
        let planned = rules.iter().any(|r| r.turn().is_some());
        for rule in rules {
            connection.arm(rule);
        }
        connection.connect();
        if !planned {
            for lane in Direction::BOTH {
                connection.fire(lane, now);
            }
        }
        connection
    }

    fn arm(&mut self, mut rule: ActiveRule) {
        let index = self.rules.len();
        let fresh = self.lanes.iter().all(|l| l.offset == 0);
        let protocol = rule.needs_http1() || rule.needs_http2() || rule.needs_resp();
        if protocol && !fresh {
            // Where its messages begin is not known in the midst of a stream.
            rule.done = true;
        } else if rule.needs_http1() {
            for lane in Direction::BOTH {
                let answers = lane == Direction::Down;
                self.lanes[lane.index()].http1.get_or_insert_with(|| Http1::new(answers));
            }
        } else if rule.needs_http2() {
            let client = rule.lane == Direction::Up;
            self.lanes[rule.lane.index()].http2.get_or_insert_with(|| Http2::new(client));
        } else if rule.needs_resp() {
            self.lanes[rule.lane.index()].resp.get_or_insert_with(Resp::default);
        }
        if let Some(offset) = rule.known_offset() {
            let lane = &mut self.lanes[rule.lane.index()];
            if offset >= lane.released {
                lane.scheduled.entry(offset).or_default().push(Due { rule: index, n: 1 });
            }
            rule.done = true;
        }
        self.rules.push(rule);
    }

    /// In a replay the other direction waits where it stood when both were stopped.
    fn gates(&mut self) {
        for i in 0..self.rules.len() {
            if let (Some(other), Some(turn)) = (self.rules[i].other(), self.rules[i].turn()) {
                let lane = &mut self.lanes[self.rules[i].lane.other().index()];
                let due = Due { rule: i, n: GATE + turn };
                lane.scheduled.entry(other).or_default().push(due);
            }
        }
    }

    fn connect(&mut self) {
        for i in 0..self.rules.len() {
            if self.rules[i].at != At::Connect || self.opening != Opening::Lead(0) {
                continue;
            }
            self.rules[i].done = true;
            let Some(deed) = self.rules[i].draw(self.dice, 1) else { continue };
            self.opening = match deed {
                FaultAction::Refuse => Opening::Refuse,
                FaultAction::Stall => Opening::Stall,
                FaultAction::Pause(span) => Opening::Lead(span),
                _ => continue,
            };
            let rule = self.rules[i].name.clone();
            self.note(Direction::Up, 0, None, rule, deed);
        }
    }

    /// What becomes of the connect.
    pub fn opening(&self) -> Opening {
        self.opening
    }

    /// How many bytes may be read in this direction now; 0: none until something has been sent.
    pub fn wants(&self, lane: Direction) -> usize {
        let l = &self.lanes[lane.index()];
        if self.cut.is_some() || l.ended {
            return 0;
        }
        if l.closed {
            return HELD_MOST;
        }
        HELD_MOST.saturating_sub(self.held(lane))
    }

    /// Bytes have come in, in any pieces. Returns how many of them were taken; the rest is to be offered again once
    /// something has been sent. Danger: a rule may make much out of one byte, so that room is looked for at each.
    pub fn offer(&mut self, lane: Direction, bytes: &[u8], now: Nanos) -> usize {
        let at = lane.index();
        if !self.lanes[at].closed && !self.watched(lane) {
            let room = bytes.len().min(self.wants(lane));
            let l = &mut self.lanes[at];
            l.release(l.offset, now);
            l.pass(&bytes[..room], now);
            return room;
        }
        for (i, byte) in bytes.iter().enumerate() {
            if self.lanes[at].closed {
                self.lanes[at].offset += (bytes.len() - i) as u64;
                return bytes.len();
            }
            if self.wants(lane) == 0 {
                self.decide(lane, now);
                return i;
            }
            self.look(lane, *byte);
            // What is due is done before the next byte is looked at; all else is let go in one piece.
            if self.lanes[at]
                .scheduled
                .first_key_value()
                .is_some_and(|(due, _)| *due <= self.lanes[at].offset)
            {
                self.decide(lane, now);
            }
        }
        self.decide(lane, now);
        bytes.len()
    }

    /// Bytes that one direction holds.
    pub fn held(&self, lane: Direction) -> usize {
        let l = &self.lanes[lane.index()];
        l.out.held + l.held()
    }

    /// Whether single bytes of this direction matter.
    fn watched(&self, lane: Direction) -> bool {
        self.lanes[lane.index()].changes() || self.rules.iter().any(|r| r.watches(lane) || r.needs_http1())
    }

    /// Looks at a byte: the places that it shows, and which rules are to act there.
    fn look(&mut self, lane: Direction, byte: u8) {
        let at = lane.index();
        let mut places = std::mem::take(&mut self.places);
        places.clear();
        self.lanes[at].take(byte, &mut self.methods, &mut places);
        let (after, quiet) = (self.lanes[at].offset, self.lanes[at].quiet);
        for i in 0..self.rules.len() {
            self.rules[i].shown(lane, (byte, after), (&places, quiet), &mut self.due);
            for (offset, n) in self.due.drain(..) {
                self.lanes[at].scheduled.entry(offset).or_default().push(Due { rule: i, n });
            }
        }
        self.places = places;
    }

    /// Lets go what has come, but for what may yet turn out to lie behind a place.
    fn decide(&mut self, lane: Direction, now: Nanos) {
        let l = &self.lanes[lane.index()];
        let hold = self.rules.iter().filter(|r| r.lane == lane).map(|r| r.holds(l)).max().unwrap_or(0);
        let upto = l.offset.saturating_sub(hold as u64).max(l.released);
        self.release(lane, upto, now);
    }

    /// Decides up to this offset, with what is to happen on the way.
    fn release(&mut self, lane: Direction, upto: u64, now: Nanos) {
        let at = lane.index();
        while !self.lanes[at].closed {
            self.fire(lane, now);
            let l = &mut self.lanes[at];
            if l.closed || l.released >= upto {
                return;
            }
            let next = l.scheduled.range(l.released + 1..).next().map_or(upto, |(offset, _)| *offset);
            l.release(next.min(upto), now);
        }
    }

    /// Does what is to be done where the decided part of a direction ends.
    fn fire(&mut self, lane: Direction, now: Nanos) {
        let at = lane.index();
        while let Some(entry) = self.lanes[at].scheduled.first_entry() {
            if *entry.key() > self.lanes[at].released || self.lanes[at].closed {
                return;
            }
            for Due { rule, n } in entry.remove() {
                if n >= GATE {
                    self.lanes[at].out.items.push_back(Item::Gate(n - GATE));
                    continue;
                }
                let Some(deed) = self.rules[rule].draw(self.dice, n) else { continue };
                self.perform(lane, rule, deed, now);
                if self.lanes[at].closed {
                    return;
                }
            }
        }
    }

    /// Does a deed at the end of the decided part of a direction.
    fn perform(&mut self, lane: Direction, rule: usize, deed: FaultAction, now: Nanos) {
        let (name, turn, other) =
            (self.rules[rule].name.clone(), self.rules[rule].turn(), self.rules[rule].other());
        let l = &mut self.lanes[lane.index()];
        if let (Some(turn), true) = (turn, self.turns.is_some()) {
            l.out.items.push_back(Item::Turn(turn));
        }
        match deed.clone() {
            FaultAction::Pause(span) => l.out.items.push_back(Item::Pause(span)),
            FaultAction::Delay(span) => l.delay = Some((name.clone(), span)),
            FaultAction::Throttle(rate) => {
                l.out.items.push_back(Item::Shape(name.clone(), Shape::Throttle(rate)));
            }
            FaultAction::Split(n, gap) => {
                l.out.items.push_back(Item::Shape(name.clone(), Shape::Split(n, gap)));
            }
            FaultAction::Merge(n, within) => {
                l.out.items.push_back(Item::Shape(name.clone(), Shape::Merge(n, within)));
            }
            FaultAction::Garble(with, draws) => l.garble(with, draws),
            FaultAction::Drop(bytes) => l.drop(bytes),
            FaultAction::Duplicate(bytes) => l.duplicate(bytes, now),
            FaultAction::Insert(text) => l.insert(&text, now),
            FaultAction::HalfClose => {
                l.out.items.push_back(Item::End);
                l.closed = true;
            }
            FaultAction::Cut(how) => {
                // Noted when it is done: until then the other direction goes on.
                l.out.items.push_back(Item::Both { rule: name, both: Both::Cut(how), other, turn });
                l.closed = true;
                return;
            }
            FaultAction::Freeze(span) => {
                l.out.items.push_back(Item::Both { rule: name, both: Both::Freeze(span), other, turn });
                return;
            }
            FaultAction::Refuse | FaultAction::Stall | FaultAction::Reorder(_) => return,
        }
        let offset = self.lanes[lane.index()].released;
        self.note(lane, offset, None, name, deed);
    }

    fn note(&mut self, lane: Direction, offset: u64, other: Option<u64>, rule: String, deed: FaultAction) {
        let (listener, connection) = (self.listener.clone(), self.ordinal);
        self.performed.push(Performed { listener, connection, lane, offset, other, rule, deed });
    }

    /// A direction's input has ended in order.
    pub fn ended(&mut self, lane: Direction, now: Nanos) {
        let at = lane.index();
        if std::mem::replace(&mut self.lanes[at].ended, true) || self.lanes[at].closed {
            return;
        }
        let all = self.lanes[at].offset;
        self.release(lane, all, now);
        let l = &mut self.lanes[at];
        if !l.closed {
            l.flush(now);
            l.out.items.push_back(Item::End);
            l.closed = true;
        }
    }

    /// Time has passed: what is due by the clock is done.
    pub fn tick(&mut self, now: Nanos) {
        self.frozen.retain(|(_, until)| until.is_none_or(|u| u > now));
        for i in 0..self.rules.len() {
            if self.rules[i].until.is_some_and(|until| until <= now) {
                self.rules[i].until = None;
                let name = self.rules[i].name.clone();
                self.lift(&name);
            }
            if self.rules[i].time(self.start).is_none_or(|at| at > now) {
                continue;
            }
            self.rules[i].done = true;
            let until = match self.rules[i].at {
                At::Window(_, Some(to)) if millis(to) <= now => continue,
                At::Window(_, to) => to.map(millis),
                _ => None,
            };
            if let Some(deed) = self.rules[i].draw(self.dice, 1) {
                let (lane, name) = (self.rules[i].lane, self.rules[i].name.clone());
                self.at_once(lane, name, deed, until, now);
                self.rules[i].until = until;
            }
        }
    }

    /// Does a deed where a direction's output stands.
    fn at_once(
        &mut self,
        lane: Direction,
        rule: String,
        deed: FaultAction,
        until: Option<Nanos>,
        now: Nanos,
    ) {
        let other = self.lanes[lane.other().index()].out.reached();
        let l = &mut self.lanes[lane.index()];
        let offset = l.out.sent;
        let name = rule.clone();
        match deed {
            FaultAction::Pause(span) => l.out.wait = l.out.wait.max(now + span),
            FaultAction::Delay(span) => l.delay = Some((name, span)),
            FaultAction::Throttle(rate) => l.out.shape(name, Shape::Throttle(rate)),
            FaultAction::Split(n, gap) => l.out.shape(name, Shape::Split(n, gap)),
            FaultAction::Merge(n, within) => l.out.shape(name, Shape::Merge(n, within)),
            FaultAction::HalfClose => {
                l.out.clear();
                l.out.items.push_back(Item::End);
                l.closed = true;
            }
            FaultAction::Cut(how) => {
                self.cut = Some(how);
                return self.note(lane, offset, Some(other), rule, deed);
            }
            FaultAction::Freeze(_) => {
                self.frozen.push((name, until));
                let deed = FaultAction::Freeze(until.map(|u| u - now));
                return self.note(lane, offset, Some(other), rule, deed);
            }
            _ => return,
        }
        self.note(lane, offset, None, rule, deed);
    }

    /// What may be done in a direction now.
    pub fn transmit(&mut self, lane: Direction, now: Nanos) -> Transmit<'_> {
        let at = lane.index();
        self.wakes[at] = None;
        loop {
            if self.cut.is_some() || !self.frozen.is_empty() {
                return Transmit::Nothing;
            }
            match self.lanes[at].out.next(now) {
                Next::Write(n) => return Transmit::Write(self.lanes[at].out.front(n)),
                Next::Finish => return Transmit::Finish,
                Next::Nothing(wake) => {
                    self.wakes[at] = wake;
                    return Transmit::Nothing;
                }
                Next::Turn(turn) => {
                    if self.turns.is_some_and(|next| turn > next) {
                        return Transmit::Nothing;
                    }
                    self.lanes[at].out.items.pop_front();
                    self.passed.push(turn);
                }
                Next::Both => {
                    if !self.both(lane, now) {
                        return Transmit::Nothing;
                    }
                }
            }
        }
    }

    /// Does what stands at the front of a direction and concerns both, once the other is where it must be.
    fn both(&mut self, lane: Direction, now: Nanos) -> bool {
        let sent = self.lanes[lane.other().index()].out.reached();
        let out = &mut self.lanes[lane.index()].out;
        let Some(Item::Both { other, .. }) = out.items.front() else { return false };
        if other.is_some_and(|other| sent < other) {
            return false;
        }
        let offset = out.sent;
        let Some(Item::Both { rule, both, turn, .. }) = out.items.pop_front() else { return false };
        let deed = match both {
            Both::Cut(how) => {
                self.cut = Some(how);
                FaultAction::Cut(how)
            }
            Both::Freeze(span) => {
                self.frozen.push((rule.clone(), span.map(|s| now + s)));
                FaultAction::Freeze(span)
            }
        };
        if let Some(turn) = turn {
            self.lanes[lane.other().index()].out.open_gate(turn);
        }
        self.note(lane, offset, Some(sent), rule, deed);
        true
    }

    /// So many of the bytes of [`Transmit::Write`] were written.
    pub fn sent(&mut self, lane: Direction, n: usize, now: Nanos) {
        self.lanes[lane.index()].out.sent(n, now);
    }

    /// The direction was ended.
    pub fn finished(&mut self, lane: Direction) {
        self.lanes[lane.index()].out.finished = true;
    }

    /// Whether both directions have come to their end.
    pub fn done(&self) -> bool {
        self.lanes.iter().all(|l| l.out.finished)
    }

    /// How it is to be ended, if it is.
    pub fn cut(&self) -> Option<Cut> {
        self.cut
    }

    /// When something may have to be done though nothing comes; asked for after [`Connection::transmit`].
    pub fn wake(&self) -> Option<Nanos> {
        let rules = self.rules.iter().flat_map(|r| [r.time(self.start), r.until]);
        let thaws = self.frozen.iter().map(|(_, until)| *until);
        rules.chain(thaws).chain(self.wakes).flatten().min()
    }

    /// What has been done since it was last asked.
    pub fn take_performed(&mut self) -> Vec<Performed> {
        std::mem::take(&mut self.performed)
    }

    /// Turns that were taken since it was last asked.
    pub fn take_passed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.passed)
    }

    /// Turns that it will not take any more, since it has ended.
    pub fn turns_left(&self) -> impl Iterator<Item = u64> + '_ {
        self.rules.iter().filter_map(ActiveRule::turn)
    }

    /// The next turn, in a replay in order.
    pub fn turn(&mut self, next: u64) {
        if self.turns.is_some() {
            self.turns = Some(next);
        }
    }

    /// The rules have changed: new ones act from here on, and what others that are gone had set is lifted. Places in
    /// protocols are found on connections that begin later only, offsets and texts from here on.
    pub fn update(&mut self, rules: &RuleSet) {
        let gone: Vec<String> = self
            .rules
            .iter()
            .filter(|r| matches!(&r.source, active_rule::Source::Rule(s) if !rules.rules.iter().any(|n| std::sync::Arc::ptr_eq(n, s))))
            .map(|r| r.name.clone())
            .collect();
        for name in gone {
            self.lift(&name);
            // The place stays: what is scheduled names it by its number.
            self.rules.iter_mut().filter(|r| r.name == name).for_each(|r| r.done = true);
        }
        for shared in &rules.rules {
            let known = |r: &ActiveRule| matches!(&r.source, active_rule::Source::Rule(s) if std::sync::Arc::ptr_eq(s, shared));
            if shared.rule.matches(&self.listener, self.ordinal) && !self.rules.iter().any(known) {
                let mut armed = ActiveRule::rule(shared);
                armed.done = armed.at == At::Connect;
                self.arm(armed);
            }
        }
    }

    /// Lifts what the rule of this name has set.
    pub fn lift(&mut self, rule: &str) {
        self.frozen.retain(|(name, _)| name != rule);
        let of: Vec<bool> = self.rules.iter().map(|r| r.name == rule).collect();
        for lane in &mut self.lanes {
            lane.out.lift(rule);
            if lane.delay.as_ref().is_some_and(|(name, _)| name == rule) {
                lane.delay = None;
            }
            lane.scheduled.values_mut().for_each(|dues| dues.retain(|d| !of[d.rule]));
            lane.scheduled.retain(|_, dues| !dues.is_empty());
        }
    }

    /// Ends it now.
    pub fn cut_now(&mut self, how: Cut, now: Nanos) {
        if self.cut.is_none() {
            self.at_once(Direction::Up, COMMAND.into(), FaultAction::Cut(how), None, now);
        }
    }

    /// Nothing passes either way from now on, or again.
    pub fn pause(&mut self, paused: bool, now: Nanos) {
        match paused {
            true if self.frozen.iter().any(|(name, _)| name == COMMAND) => {}
            true => self.at_once(Direction::Up, COMMAND.into(), FaultAction::Freeze(None), None, now),
            false => self.frozen.retain(|(name, _)| name != COMMAND),
        }
    }

    /// Bytes that came in this direction, and those of them that have gone out.
    pub fn counts(&self, lane: Direction) -> (u64, u64) {
        let l = &self.lanes[lane.index()];
        (l.offset, l.out.sent)
    }

    /// Drops rules that have nothing more to do here, so that what follows passes unlooked at.
    pub fn settle(&mut self) {
        for rule in &mut self.rules {
            rule.done |= rule.spent() && !matches!(rule.at, At::Window(..));
        }
        let idle = |p: fn(&ActiveRule) -> bool| !self.rules.iter().any(p);
        let (no_http1, no_http2, no_resp) =
            (idle(ActiveRule::needs_http1), idle(ActiveRule::needs_http2), idle(ActiveRule::needs_resp));
        for lane in &mut self.lanes {
            if no_http1 {
                lane.http1 = None;
            }
            if no_http2 {
                lane.http2 = None;
            }
            if no_resp {
                lane.resp = None;
            }
        }
    }
}

/// From here on numbers of times are turns of gates.
const GATE: u64 = 1 << 63;
