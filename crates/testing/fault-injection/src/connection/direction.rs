//! One direction on its way in: its places, what is held back until it is decided, and what changes its bytes.

use super::output::Out;
use crate::action::{garbled, Garble};
use crate::protocol_position::{Found, Http1, Http2, Methods, Resp};
use crate::Nanos;
use std::collections::BTreeMap;

/// A rule that is to act at an offset, for its so-many-th time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Due {
    /// Index of the rule among those of the connection.
    pub rule: usize,
    pub n: u64,
}

/// Where the last message, frame or value had ended, by protocol. What lies before is not held back for what follows (the peer may
/// wait for it), so that a rule that acts before a place acts no earlier than here, however the reads were cut.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Quiet {
    pub http1: u64,
    pub http2: u64,
    pub resp: u64,
}

#[derive(Debug, Default)]
pub(super) struct In {
    /// Bytes that have come.
    pub offset: u64,
    /// Bytes that are decided upon.
    pub released: u64,
    pub quiet: Quiet,
    held: Vec<u8>,
    pub scheduled: BTreeMap<u64, Vec<Due>>,
    pub http1: Option<Http1>,
    pub http2: Option<Http2>,
    pub resp: Option<Resp>,
    garbles: Vec<(Garble, std::vec::IntoIter<u8>)>,
    drop: u64,
    duplicate: Option<(u64, Vec<u8>)>,
    /// Added to the time of what is decided from here on, and the rule that set it.
    pub delay: Option<(String, Nanos)>,
    pub ended: bool,
    /// What still comes goes nowhere.
    pub closed: bool,
    pub out: Out,
}

impl In {
    /// Whether something waits that looks at single bytes.
    pub fn changes(&self) -> bool {
        !self.scheduled.is_empty() || !self.garbles.is_empty() || self.drop > 0 || self.duplicate.is_some()
    }

    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Takes a byte in; the places that it shows.
    pub fn take(&mut self, byte: u8, methods: &mut Methods, places: &mut Vec<Found>) {
        // Before the byte: one that ends a message shows places of the message.
        if !self.http1.as_ref().is_some_and(Http1::busy) {
            self.quiet.http1 = self.offset;
        }
        if !self.http2.as_ref().is_some_and(Http2::busy) {
            self.quiet.http2 = self.offset;
        }
        if !self.resp.as_ref().is_some_and(Resp::busy) {
            self.quiet.resp = self.offset;
        }
        self.held.push(byte);
        self.offset += 1;
        if let Some(http1) = &mut self.http1 {
            http1.take(byte, methods, |f| places.push(f));
        }
        if let Some(http2) = &mut self.http2 {
            http2.take(byte, |f| places.push(f));
        }
        if let Some(resp) = &mut self.resp {
            resp.take(byte, |f| places.push(f));
        }
    }

    /// Takes what no rule looks at.
    pub fn pass(&mut self, bytes: &[u8], now: Nanos) {
        let due = self.due(now);
        self.out.push(bytes, self.released, true, due);
        self.offset += bytes.len() as u64;
        self.released = self.offset;
    }

    fn due(&self, now: Nanos) -> Nanos {
        self.delay.as_ref().map_or(0, |(_, delay)| now + delay)
    }

    /// Lets so many of the bytes held back go on.
    pub fn release(&mut self, upto: u64, now: Nanos) {
        let n = (upto - self.released) as usize;
        let due = self.due(now);
        if self.garbles.is_empty() && self.drop == 0 && self.duplicate.is_none() {
            self.out.push(&self.held[..n], self.released, true, due);
        } else {
            for i in 0..n {
                self.change(self.held[i], self.released + i as u64, due);
            }
        }
        self.held.drain(..n);
        self.released = upto;
    }

    fn change(&mut self, mut byte: u8, origin: u64, due: Nanos) {
        self.garbles.retain_mut(|(with, draws)| {
            if let Some(draw) = draws.next() {
                byte = garbled(*with, draw, byte);
            }
            draws.len() > 0
        });
        if self.drop > 0 {
            self.drop -= 1;
            return self.out.skip(1);
        }
        self.out.push(&[byte], origin, true, due);
        if let Some((left, kept)) = &mut self.duplicate {
            kept.push(byte);
            *left -= 1;
            if *left == 0 {
                self.again(due);
            }
        }
    }

    fn again(&mut self, due: Nanos) {
        if let Some((_, kept)) = self.duplicate.take() {
            self.out.push(&kept, self.released, false, due);
        }
    }

    pub fn garble(&mut self, with: Garble, draws: Vec<u8>) {
        self.garbles.push((with, draws.into_iter()));
    }

    pub fn drop(&mut self, bytes: u64) {
        self.drop += bytes;
    }

    pub fn duplicate(&mut self, bytes: u64, now: Nanos) {
        self.again(self.due(now));
        self.duplicate = Some((bytes, Vec::new()));
    }

    pub fn insert(&mut self, text: &str, now: Nanos) {
        let due = self.due(now);
        self.out.push(text.as_bytes(), self.released, false, due);
    }

    /// The input has ended: what was to pass twice does so as far as it came.
    pub fn flush(&mut self, now: Nanos) {
        self.again(self.due(now));
    }
}
