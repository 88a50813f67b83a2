//! Chooses the client connections to evict when a new one arrives and no slot is free.
//!
//! The decision rests on observed activity alone ([`Evidence`]): what was received on a connection, when, and whether it ever
//! carried a whole request. The crate does no I/O and reads no clock: time is passed in.
#![forbid(unsafe_code)]

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// For this long a new connection that has sent nothing counts as fresh: its first request is expected soon.
pub const SOON: Nanos = 500 * MILLISECOND;
/// A connection accepted less than this time ago is not evicted for another: its first request may be in flight.
pub const JUST_CAME: Nanos = 100 * MILLISECOND;
/// A client that has begun a request and sent nothing for this long has stopped. Danger: a slow client sends in pieces, and
/// a shorter time would mistake its pauses for the end.
pub const STOPPED: Nanos = 1200 * MILLISECOND;
/// Connections without a request may hold one slot out of this many; beyond that they are a flood.
const FLOOD_DIVISOR: usize = 4;
/// Connections that are writing a request may hold one slot out of this many; beyond that they no longer outrank idle ones.
const WRITING_DIVISOR: usize = 2;

/// What is known about a connection that has no request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Number of whole requests received.
    pub asked: u64,
    /// A request was begun and is still incomplete.
    pub begun: bool,
    /// When it was accepted, or had its last response.
    pub since: Nanos,
    /// When bytes were last received or sent.
    pub moved: Nanos,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionActivity {
    /// Accepted a while ago and has sent nothing.
    Mute,
    /// Began a request and stopped sending.
    Stopped,
    /// Sent requests before, and sends none now.
    Idle,
    /// Just accepted.
    Fresh,
    /// Sending a request.
    Writing,
}

impl Evidence {
    /// The connection's activity at `now`, as far as the evidence shows.
    pub fn doing(&self, now: Nanos) -> ConnectionActivity {
        let elapsed = |since: Nanos| now.saturating_sub(since);
        match (self.begun, self.asked) {
            (true, _) if elapsed(self.moved) < STOPPED => ConnectionActivity::Writing,
            (true, _) => ConnectionActivity::Stopped,
            (false, 0) if elapsed(self.since) < SOON => ConnectionActivity::Fresh,
            (false, 0) => ConnectionActivity::Mute,
            (false, _) => ConnectionActivity::Idle,
        }
    }

    /// Whether it was accepted so recently that its first request may still be in flight.
    fn is_just_accepted(&self, now: Nanos) -> bool {
        self.asked == 0 && !self.begun && now.saturating_sub(self.since) < JUST_CAME
    }
}

/// Why a slot is to be freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRequest {
    /// A new connection has arrived and no slot is free.
    Place,
    /// Most slots are taken: one is freed ahead of need, if its connection is of no use.
    Slack,
}

/// Indexes of the connections that may be evicted, first candidate first. `places` is the number of slots for clients.
///
/// Danger: a flood of connections that send nothing must evict one another, and not those that send requests; but a
/// connection that was just accepted and is about to send its request must not be evicted before those that have had their
/// response. A slow client that still sends is not part of a flood, unless such clients hold half of all slots: then the ones
/// silent for longest are evicted first, whatever they are.
pub fn order(connections: &[Evidence], now: Nanos, places: usize, want: SlotRequest) -> Vec<usize> {
    let activities: Vec<ConnectionActivity> =
        connections.iter().map(|evidence| evidence.doing(now)).collect();
    let count = |counted: &[ConnectionActivity]| {
        activities.iter().filter(|activity| counted.contains(activity)).count()
    };
    let is_flood = count(&[ConnectionActivity::Mute, ConnectionActivity::Stopped, ConnectionActivity::Fresh])
        > places / FLOOD_DIVISOR;
    let writers_crowd = count(&[ConnectionActivity::Writing]) > places / WRITING_DIVISOR;
    if want == SlotRequest::Slack && is_flood {
        return Vec::new();
    }
    let rank = |index: usize| match activities[index] {
        ConnectionActivity::Mute | ConnectionActivity::Stopped => 0,
        ConnectionActivity::Fresh if is_flood => 0,
        ConnectionActivity::Writing if writers_crowd => 1,
        ConnectionActivity::Idle => 2,
        ConnectionActivity::Fresh => 3,
        ConnectionActivity::Writing => 4,
    };
    let is_spared = |index: usize| {
        want == SlotRequest::Slack
            && matches!(activities[index], ConnectionActivity::Fresh | ConnectionActivity::Writing)
    };
    let mut candidates: Vec<usize> = (0..connections.len()).filter(|index| !is_spared(*index)).collect();
    candidates.sort_by_key(|&index| {
        let evidence = &connections[index];
        (rank(index), evidence.moved.max(evidence.since), index)
    });
    candidates
}

/// Indexes of the connections to evict now, first candidate first: those of [`order`] up to the first that was just accepted.
///
/// Danger: if a new connection were evicted for the next one, which has shown no more activity itself, one after another would
/// be closed before its request can arrive. Where none may be evicted the new connection waits: for [`JUST_CAME`] at the
/// longest, if any connection may be evicted at all.
pub fn giving_way(connections: &[Evidence], now: Nanos, places: usize, want: SlotRequest) -> Vec<usize> {
    let mut evictable = order(connections, now, places, want);
    if let Some(first) = evictable.iter().position(|index| connections[*index].is_just_accepted(now)) {
        evictable.truncate(first);
    }
    evictable
}
