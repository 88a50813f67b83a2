//! Which of the clients' connections gives way when a new one comes and there is no room. Decided by evidence alone: what
//! has come on a connection, when, and whether it ever asked. No I/O and no clock: time is passed in.
#![forbid(unsafe_code)]

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

const MILLI: Nanos = 1_000_000;
/// A connection that has just come is about to ask.
pub const SOON: Nanos = 500 * MILLI;
/// A connection that has come within this time is not sent away for another: its request is on its way.
pub const JUST_CAME: Nanos = 100 * MILLI;
/// Who has begun a request and sent nothing for so long has stopped. Danger: a slow client sends in pieces, and a shorter span
/// would take its pauses for the end.
pub const STOPPED: Nanos = 1200 * MILLI;
/// Of so many places one may be held by connections that have asked nothing yet; more are a flood.
const FLOOD_PART: usize = 4;
/// Of so many places one may be held by requests that are being written; more of them do not go before those that asked.
const WRITING_PART: usize = 2;

/// What is known of a connection that has no request in work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Whole requests that have come on it.
    pub asked: u64,
    /// A request has begun on it and is not whole.
    pub begun: bool,
    /// When it came, or had its last answer.
    pub since: Nanos,
    /// When bytes last came or went.
    pub moved: Nanos,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionActivity {
    /// It came some time ago and has sent nothing.
    Mute,
    /// It has begun a request and stopped.
    Stopped,
    /// It has asked before, and asks nothing now.
    Idle,
    /// It has just come.
    Fresh,
    /// It is writing a request.
    Writing,
}

impl Evidence {
    /// What it says at this time.
    pub fn doing(&self, now: Nanos) -> ConnectionActivity {
        let past = |from: Nanos| now.saturating_sub(from);
        match (self.begun, self.asked) {
            (true, _) if past(self.moved) < STOPPED => ConnectionActivity::Writing,
            (true, _) => ConnectionActivity::Stopped,
            (false, 0) if past(self.since) < SOON => ConnectionActivity::Fresh,
            (false, 0) => ConnectionActivity::Mute,
            (false, _) => ConnectionActivity::Idle,
        }
    }

    /// Whether it has come so lately that its first request may be on its way.
    fn just_came(&self, now: Nanos) -> bool {
        self.asked == 0 && !self.begun && now.saturating_sub(self.since) < JUST_CAME
    }
}

/// Why room is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRequest {
    /// A connection has come for which there is no place.
    Place,
    /// Clients hold many places: one is freed ahead of time, if it is of no use.
    Slack,
}

/// The connections that may give way, the first one first; `places`: how many clients may hold.
///
/// Danger: a flood of connections that say nothing must push out one another, and not those that ask; but what has just
/// come and is about to ask must not go before those that have their answer. A slow client that still writes is no part of a
/// flood, unless such clients hold half of all places: then those who stopped first go first, whatever they are.
pub fn order(connections: &[Evidence], now: Nanos, places: usize, want: SlotRequest) -> Vec<usize> {
    let doing: Vec<ConnectionActivity> = connections.iter().map(|c| c.doing(now)).collect();
    let count = |of: &[ConnectionActivity]| doing.iter().filter(|d| of.contains(d)).count();
    let flood = count(&[ConnectionActivity::Mute, ConnectionActivity::Stopped, ConnectionActivity::Fresh])
        > places / FLOOD_PART;
    let crowded = count(&[ConnectionActivity::Writing]) > places / WRITING_PART;
    if want == SlotRequest::Slack && flood {
        return Vec::new();
    }
    let rank = |n: usize| match doing[n] {
        ConnectionActivity::Mute | ConnectionActivity::Stopped => 0,
        ConnectionActivity::Fresh if flood => 0,
        ConnectionActivity::Writing if crowded => 1,
        ConnectionActivity::Idle => 2,
        ConnectionActivity::Fresh => 3,
        ConnectionActivity::Writing => 4,
    };
    let spared = |n: usize| {
        want == SlotRequest::Slack
            && matches!(doing[n], ConnectionActivity::Fresh | ConnectionActivity::Writing)
    };
    let mut order: Vec<usize> = (0..connections.len()).filter(|n| !spared(*n)).collect();
    order.sort_by_key(|&n| (rank(n), connections[n].moved.max(connections[n].since), n));
    order
}

/// The connections that give way now, the first one first: those of [`order`] up to the first that has just come. Danger: sent away for
/// the next newcomer, which can say no more for itself, one newcomer after another is closed before its request can come. Where none
/// gives way, the newcomer waits: for [`JUST_CAME`] at the longest if any connection may give way at all.
pub fn giving_way(connections: &[Evidence], now: Nanos, places: usize, want: SlotRequest) -> Vec<usize> {
    let mut giving = order(connections, now, places, want);
    if let Some(first) = giving.iter().position(|n| connections[*n].just_came(now)) {
        giving.truncate(first);
    }
    giving
}
