//! Chooses which client connections to evict when a new one arrives and no connection slot is free.
//!
//! The decision rests on observed activity alone ([`Evidence`]): what was received on a connection, when, and whether it ever
//! carried a complete request. The crate does no I/O and reads no clock: time is passed in.
#![forbid(unsafe_code)]

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// A new connection that has sent nothing counts as fresh for this long, as its first request is expected soon.
pub const FRESH_PERIOD: Nanos = 500 * MILLISECOND;
/// A connection that has sent nothing is not evicted until this long after it was accepted, as its first request may be in
/// flight.
pub const EVICTION_GRACE: Nanos = 100 * MILLISECOND;
/// A client that has sent part of a request and then nothing for this long counts as stopped. Danger: a slow client pauses
/// between the pieces that it sends, and a shorter time would mistake these pauses for a stop.
pub const STOPPED_AFTER: Nanos = 1200 * MILLISECOND;
/// Mute, stopped and fresh connections are a flood if they occupy more than one slot out of this many.
const FLOOD_DIVISOR: usize = 4;
/// Connections that are sending a request are evicted before idle ones if they occupy more than one slot out of this many.
const WRITING_DIVISOR: usize = 2;

/// What was observed of a connection for which no complete request is being processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Number of complete requests received.
    pub complete_requests: u64,
    /// Whether a request has been received in part.
    pub has_partial_request: bool,
    /// When it was accepted, or had its last response.
    pub since: Nanos,
    /// When bytes were last received or sent on it.
    pub last_io_at: Nanos,
}

/// The activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionActivity {
    /// Accepted at least [`FRESH_PERIOD`] ago, and has sent nothing.
    Mute,
    /// Has sent part of a request, and nothing more for [`STOPPED_AFTER`].
    Stopped,
    /// Has sent requests before, and sends none now.
    Idle,
    /// Accepted less than [`FRESH_PERIOD`] ago, and has sent nothing.
    Fresh,
    /// Sending a request.
    Writing,
}

impl Evidence {
    /// The connection's activity at `now`.
    pub fn activity(&self, now: Nanos) -> ConnectionActivity {
        let elapsed = |since: Nanos| now.saturating_sub(since);
        match (self.has_partial_request, self.complete_requests) {
            (true, _) if elapsed(self.last_io_at) < STOPPED_AFTER => ConnectionActivity::Writing,
            (true, _) => ConnectionActivity::Stopped,
            (false, 0) if elapsed(self.since) < FRESH_PERIOD => ConnectionActivity::Fresh,
            (false, 0) => ConnectionActivity::Mute,
            (false, _) => ConnectionActivity::Idle,
        }
    }

    /// Whether it was accepted within [`EVICTION_GRACE`] and its first request may still be in flight.
    fn is_just_accepted(&self, now: Nanos) -> bool {
        self.complete_requests == 0
            && !self.has_partial_request
            && now.saturating_sub(self.since) < EVICTION_GRACE
    }
}

/// Why a slot should be freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRequest {
    /// A new connection has arrived and no slot is free.
    NewConnection,
    /// Most slots are taken: one is freed in advance if a connection is mute, stopped or idle.
    InAdvance,
}

/// Returns the indexes of all candidates for eviction, in the order of eviction. `places` is the number of slots for clients.
///
/// Danger: connections of a flood, which send nothing, must evict one another and not those that send requests; yet without a
/// flood, a fresh connection that is about to send its first request must not be evicted before idle ones. A slow client that
/// is still sending does not belong to a flood; but if such clients occupy more than half of all slots, those that have been
/// silent for longest are evicted before idle ones.
pub fn eviction_order(connections: &[Evidence], now: Nanos, places: usize, want: SlotRequest) -> Vec<usize> {
    let activities: Vec<ConnectionActivity> =
        connections.iter().map(|evidence| evidence.activity(now)).collect();
    let count = |counted: &[ConnectionActivity]| {
        activities.iter().filter(|activity| counted.contains(activity)).count()
    };
    let is_flood = count(&[ConnectionActivity::Mute, ConnectionActivity::Stopped, ConnectionActivity::Fresh])
        > places / FLOOD_DIVISOR;
    let are_writers_crowding = count(&[ConnectionActivity::Writing]) > places / WRITING_DIVISOR;
    if want == SlotRequest::InAdvance && is_flood {
        return Vec::new();
    }
    let rank = |index: usize| match activities[index] {
        ConnectionActivity::Mute | ConnectionActivity::Stopped => 0,
        ConnectionActivity::Fresh if is_flood => 0,
        ConnectionActivity::Writing if are_writers_crowding => 1,
        ConnectionActivity::Idle => 2,
        ConnectionActivity::Fresh => 3,
        ConnectionActivity::Writing => 4,
    };
    let is_spared = |index: usize| {
        want == SlotRequest::InAdvance
            && matches!(activities[index], ConnectionActivity::Fresh | ConnectionActivity::Writing)
    };
    let mut candidates: Vec<usize> = (0..connections.len()).filter(|index| !is_spared(*index)).collect();
    candidates.sort_by_key(|&index| {
        let evidence = &connections[index];
        (rank(index), evidence.last_io_at.max(evidence.since), index)
    });
    candidates
}

/// Returns the indexes of the connections that may be evicted now, in the order of eviction: the candidates of [`eviction_order`] that
/// precede the first one accepted within [`EVICTION_GRACE`].
///
/// Danger: if each new connection were evicted for the next one, which has shown no more activity, all of them would be closed
/// before their first requests arrive. If no connection may be evicted, the new one has to wait: for at most
/// [`EVICTION_GRACE`], unless there are no candidates at all.
pub fn evictable_connections(
    connections: &[Evidence],
    now: Nanos,
    places: usize,
    want: SlotRequest,
) -> Vec<usize> {
    let mut evictable = eviction_order(connections, now, places, want);
    if let Some(first_spared) = evictable.iter().position(|index| connections[*index].is_just_accepted(now)) {
        evictable.truncate(first_spared);
    }
    evictable
}
