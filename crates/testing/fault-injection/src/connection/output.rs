//! What is on its way out of one direction: bytes, and what is to happen between them.

use crate::action::Cut;
use crate::{Nanos, HELD_MOST};
use std::collections::VecDeque;

/// How bytes are written from some point on.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Shape {
    /// Bytes a second.
    Throttle(u64),
    /// Most bytes in a write, and the wait behind each.
    Split(u64, Nanos),
    /// Bytes to wait for, and for how long.
    Merge(u64, Nanos),
}

/// What concerns both directions.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Both {
    Cut(Cut),
    Freeze(Option<Nanos>),
}

#[derive(Debug)]
pub(super) enum Item {
    Bytes {
        data: Vec<u8>,
        /// Already written.
        gone: usize,
        /// Offset in the input of the first byte; bytes that were put in take no room there.
        origin: u64,
        natural: bool,
        due: Nanos,
    },
    Shape(String, Shape),
    Pause(Nanos),
    /// So many input bytes were swallowed here.
    Skip(u64),
    /// Waits for its turn among all connections.
    Turn(u64),
    /// Waits for what the other direction does with this turn.
    Gate(u64),
    /// With the offset that the other direction has to reach first.
    Both {
        rule: String,
        both: Both,
        other: Option<u64>,
        turn: Option<u64>,
    },
    End,
}

/// What may be done next.
pub(super) enum Next {
    /// So many bytes at the front may be written.
    Write(usize),
    Finish,
    /// The item at the front concerns both directions.
    Both,
    Turn(u64),
    Nothing(Option<Nanos>),
}

#[derive(Debug, Default)]
pub(super) struct Out {
    pub items: VecDeque<Item>,
    /// Bytes in all items.
    pub held: usize,
    /// Input bytes that have gone out.
    pub sent: u64,
    /// Set by which rule, and how.
    shapes: Vec<(String, Shape)>,
    /// Nothing before then.
    pub wait: Nanos,
    /// Since when bytes wait for more.
    merging: Option<Nanos>,
    pub finished: bool,
}

impl Out {
    pub fn push(&mut self, bytes: &[u8], origin: u64, natural: bool, due: Nanos) {
        if bytes.is_empty() {
            return;
        }
        self.held += bytes.len();
        if let Some(Item::Bytes { data, origin: first, natural: true, due: then, .. }) = self.items.back_mut()
        {
            if natural && *then == due && *first + data.len() as u64 == origin && data.len() < HELD_MOST {
                data.extend_from_slice(bytes);
                return;
            }
        }
        self.items.push_back(Item::Bytes { data: bytes.to_vec(), gone: 0, origin, natural, due });
    }

    /// The bytes that [`Next::Write`] spoke of.
    pub fn front(&self, n: usize) -> &[u8] {
        match self.items.front() {
            Some(Item::Bytes { data, gone, .. }) => &data[*gone..*gone + n],
            _ => &[],
        }
    }

    pub fn next(&mut self, now: Nanos) -> Next {
        loop {
            if self.wait > now {
                return Next::Nothing(Some(self.wait));
            }
            match self.items.front() {
                None => return Next::Nothing(None),
                Some(Item::Pause(span)) => {
                    self.wait = now + span;
                    self.items.pop_front();
                }
                Some(Item::Shape(..)) => {
                    if let Some(Item::Shape(rule, shape)) = self.items.pop_front() {
                        self.shape(rule, shape);
                    }
                }
                Some(Item::Skip(bytes)) => {
                    self.sent += bytes;
                    self.items.pop_front();
                }
                Some(Item::Turn(turn)) => return Next::Turn(*turn),
                Some(Item::Gate(_)) => return Next::Nothing(None),
                Some(Item::Both { .. }) => return Next::Both,
                Some(Item::End) if self.finished => return Next::Nothing(None),
                Some(Item::End) => return Next::Finish,
                Some(Item::Bytes { data, gone, due, .. }) => {
                    if *due > now {
                        return Next::Nothing(Some(*due));
                    }
                    return self.bytes(data.len() - gone, now);
                }
            }
        }
    }

    fn bytes(&mut self, here: usize, now: Nanos) -> Next {
        let mut most = here as u64;
        for (_, shape) in &self.shapes {
            match shape {
                Shape::Split(bytes, _) => most = most.min(*bytes),
                // A hundredth of a second's worth at a time.
                Shape::Throttle(rate) => most = most.min((rate / 100).max(1)),
                Shape::Merge(bytes, within) => {
                    let since = *self.merging.get_or_insert(now);
                    let run = self.items.iter().take_while(|i| matches!(i, Item::Bytes { .. }));
                    // What follows the bytes ends the wait: nothing more can come before it.
                    let (run, followed) = (run.count(), self.items.len());
                    let full = self.held as u64 >= *bytes || self.held >= HELD_MOST || run < followed;
                    if !full && now < since + within {
                        return Next::Nothing(Some(since + within));
                    }
                }
            }
        }
        Next::Write(most as usize)
    }

    /// So many of the bytes at the front were written.
    pub fn sent(&mut self, n: usize, now: Nanos) {
        let Some(Item::Bytes { data, gone, natural, .. }) = self.items.front_mut() else { return };
        *gone += n;
        self.held -= n;
        self.merging = None;
        if *natural {
            self.sent += n as u64;
        }
        if *gone == data.len() {
            self.items.pop_front();
        }
        for (_, shape) in &self.shapes {
            match shape {
                Shape::Split(_, gap) => self.wait = self.wait.max(now + gap),
                Shape::Throttle(rate) => {
                    let takes = (n as u64).saturating_mul(1_000_000_000) / rate;
                    self.wait = self.wait.max(now) + takes;
                }
                Shape::Merge(..) => {}
            }
        }
    }

    /// From now on writes are made so, in place of a shape of the same kind.
    pub fn shape(&mut self, rule: String, shape: Shape) {
        let kind = std::mem::discriminant(&shape);
        self.shapes.retain(|(_, s)| std::mem::discriminant(s) != kind);
        self.shapes.push((rule, shape));
    }

    /// What the rule set holds no longer.
    pub fn lift(&mut self, rule: &str) {
        self.shapes.retain(|(of, _)| of != rule);
        self.items.retain(|i| !matches!(i, Item::Shape(of, _) if of == rule));
    }

    /// Input bytes that have gone out, and one more where their end has: an end, too, has a place in the stream.
    pub fn reached(&self) -> u64 {
        self.sent + u64::from(self.finished)
    }

    /// Input bytes are swallowed here.
    pub fn skip(&mut self, bytes: u64) {
        match self.items.back_mut() {
            Some(Item::Skip(before)) => *before += bytes,
            _ => self.items.push_back(Item::Skip(bytes)),
        }
    }

    /// What follows is not to be sent.
    pub fn clear(&mut self) {
        self.items.clear();
        self.held = 0;
    }

    pub fn open_gate(&mut self, turn: u64) {
        self.items.retain(|i| !matches!(i, Item::Gate(of) if *of == turn));
    }
}
