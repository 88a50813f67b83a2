//! When a client may have written the last byte of its upload: from then on it waits for the answer.
//!
//! The proxy reads an upload at the pace of its node. While the node takes nothing, the rest of the body waits in the system's buffers on both
//! sides of the client's connection, and its last byte may be there without the proxy having seen it.

use rushquay_stream_progress::{Nanos, SECOND};
use std::collections::VecDeque;

/// How long a node may take nothing of a body whose last byte has certainly not been written.
const MAX_NODE_SILENCE: Nanos = 10 * SECOND;
/// What a client's system holds at most of what the client has written: Linux's default limit.
const MAX_SEND_BUFFER: u64 = 4 << 20;
/// A client whose bytes keep arriving at shorter intervals than this still sends. What a system sends to a peer that has no room for it
/// arrives less often.
const MAX_FLOW_GAP: Nanos = SECOND / 7;
/// Number of bytes after which progress is noted.
const PROGRESS_STEP: u64 = 64 << 10;

/// What is known of an upload at one moment.
#[derive(Clone, Copy, Debug)]
pub struct UploadFacts {
    /// Number of bytes that were read of the client's input.
    pub read: u64,
    /// Number of bytes that the system holds unread.
    pub unread: u64,
    /// Whether there is room for far more unread bytes.
    pub has_room: bool,
    /// Number of bytes of the client's input up to the end of the body; `None`: unknown.
    pub end: Option<u64>,
    /// Whether an attempt waits for the client, so that everything that was read has been passed on.
    pub is_awaited: bool,
}

impl UploadFacts {
    /// Returns the number of bytes that have arrived.
    fn arrived(&self) -> u64 {
        self.read + self.unread
    }

    /// Returns whether everything that the client has written was read, and its last byte was not among it. Danger: if the system holds unread
    /// bytes, more may wait in the client's system, however few they are.
    fn is_caught_up(&self) -> bool {
        self.unread == 0 && self.end.map_or(self.is_awaited, |end| self.read < end)
    }
}

/// What had arrived of an upload by some time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Nanos,
    bytes: u64,
}

/// Bounds from below when the last byte of an upload was written, by looking at the upload from time to time.
#[derive(Debug)]
pub struct ArrivalClock {
    /// The last byte was not written before the first of these, and may have been at each later one.
    arrivals: VecDeque<Arrival>,
    observed_at: Nanos,
    /// Bytes that had arrived when the upload was last looked at.
    arrived: u64,
    /// Bytes that had been read, and since when.
    read: u64,
    read_since: Nanos,
    /// When bytes were last seen to have arrived.
    grew_at: Nanos,
    /// The last byte had certainly not been written.
    is_incomplete: bool,
}

impl ArrivalClock {
    /// Starts the clock of an upload of which the beginning was read: so many bytes of the client's input.
    pub fn new(now: Nanos, read: u64) -> Self {
        ArrivalClock {
            arrivals: VecDeque::from([Arrival { at: now, bytes: read }]),
            observed_at: now,
            arrived: read,
            read,
            read_since: now,
            grew_at: now,
            is_incomplete: true,
        }
    }

    /// Takes note of the upload's present state.
    pub fn observe(&mut self, now: Nanos, facts: &UploadFacts) {
        let arrived = facts.arrived();
        self.is_incomplete = facts.is_caught_up();
        if self.is_incomplete {
            self.restart(now, arrived);
        } else if self.is_flowing(now, facts) {
            // What has come since the last look, perhaps with the last byte, was written after it.
            self.restart(self.observed_at, arrived);
        } else if self.arrivals.back().is_none_or(|last| arrived >= last.bytes + PROGRESS_STEP) {
            self.arrivals.push_back(Arrival { at: now, bytes: arrived });
        }
        self.drop_refuted(now, facts.end.unwrap_or(arrived));
        if arrived > self.arrived {
            self.grew_at = now;
        }
        if facts.read > self.read || facts.is_awaited {
            (self.read, self.read_since) = (facts.read, now);
        }
        (self.observed_at, self.arrived) = (now, arrived);
    }

    /// Returns whether the client still sends while nobody reads. Danger: while somebody does, what arrives may have waited in the client's
    /// system for room.
    fn is_flowing(&self, now: Nanos, facts: &UploadFacts) -> bool {
        let is_unread = facts.read == self.read;
        let has_grown = facts.arrived() > self.arrived && now - self.grew_at <= MAX_FLOW_GAP;
        is_unread && has_grown && facts.has_room
    }

    fn restart(&mut self, at: Nanos, bytes: u64) {
        self.arrivals.clear();
        self.arrivals.push_back(Arrival { at, bytes });
    }

    /// Drops the times at which the last byte cannot have been written, since it is at `last_byte` or behind it: too far beyond what had
    /// arrived to have waited in the client's system.
    fn drop_refuted(&mut self, now: Nanos, last_byte: u64) {
        while self.arrivals.front().is_some_and(|first| first.bytes + MAX_SEND_BUFFER < last_byte) {
            self.arrivals.pop_front();
        }
        if self.arrivals.is_empty() {
            self.is_incomplete = true;
            self.restart(now, self.arrived);
        }
    }

    /// Returns how long ago the last byte may have been written; `None`: it certainly had not been when last looked at.
    pub fn written_for(&self, now: Nanos) -> Option<Nanos> {
        let first = self.arrivals.front().filter(|_| !self.is_incomplete)?;
        Some(now.saturating_sub(first.at))
    }

    /// Returns whether the answer is due for a client that waits for `time_limit` after its last byte.
    pub fn is_due(&self, time_limit: Nanos) -> bool {
        match self.written_for(self.observed_at) {
            Some(waited) => waited >= time_limit,
            None => self.observed_at.saturating_sub(self.read_since) >= MAX_NODE_SILENCE,
        }
    }
}

#[cfg(test)]
mod tests;
