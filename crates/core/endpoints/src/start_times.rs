//! How long ago endpoints started, by the clock of this process.
//!
//! A start is stated as Unix time by the clock of whoever recorded it, while this process derives its Unix time from a wall clock that may
//! have been wrong by an hour or more when it was read. Three clocks may show how far the two are apart: this process's own, discovery's,
//! which dates its responses, and the control service's. None of them is certain to be that of the starts.
//!
//! Danger: an endpoint with a cold cache that counts as warm is overloaded, while a warm one that counts as cold only gets less load until
//! its slow start is over. So among the clocks that the starts themselves do not contradict, the one by which endpoints are youngest counts.

use crate::{Endpoint, EndpointList, EndpointState, Nanos, StatedStart};
use rushquay_lease::Skew;
use std::collections::HashMap;

const SECOND: Nanos = 1_000_000_000;
/// Bound on the error of a dated response: dates are whole seconds, and a response takes time to arrive.
const DATE_ERROR: Nanos = SECOND;
/// Differences between clocks that are smaller than this are not acted on.
const MIN_OFFSET: i64 = 2 * SECOND as i64;
/// Maximum time between the start of an endpoint and the first list with that start: discovery learns of starts several
/// seconds late.
const MAX_START_DELAY: Nanos = 30 * SECOND;

/// Beyond this number of endpoints those that are no longer listed are forgotten, as ids change without bound over the life of the
/// process.
const MAX_REMEMBERED: usize = 20_000;

/// What this process has seen of a start, by its own clock.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    stated: StatedStart,
    /// When it was first seen: nothing starts later than it is seen.
    first_seen_at: Nanos,
    /// It cannot have started earlier, or an earlier list would have had it.
    earliest: Nanos,
    /// Whether discovery lists the endpoint.
    is_listed: bool,
}

impl Sighting {
    /// How far the clock of this process can be ahead of that of the starts at most, if this start is not in the future.
    fn max_ahead(&self) -> i64 {
        self.first_seen_at as i64 - self.stated.unix_nanos() as i64
    }
}

/// The clock that the ages of endpoints go by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartClock {
    /// This process's own.
    #[default]
    Own,
    /// That of discovery, which dates its responses.
    Discovery,
    /// That of the control service.
    Control,
    /// That which the predecessor of this process went by.
    Predecessor,
    /// None: all of them contradict the starts. The middle one of the starts counts as just now.
    Starts,
}

impl StartClock {
    /// The name for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            StartClock::Own => "this process's clock",
            StartClock::Discovery => "discovery's",
            StartClock::Control => "the control service's",
            StartClock::Predecessor => "the predecessor's",
            StartClock::Starts => "their own order",
        }
    }
}

/// The clock in use, and how far this process's is ahead of it, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Offset {
    clock: StartClock,
    ahead: i64,
}

/// Tells when endpoints started by the clock of this process.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The last start of each endpoint, by id.
    sightings: HashMap<String, Sighting>,
    /// How far discovery's clock is ahead, by the dates of its responses.
    discovery: Skew,
    /// How far this process's clock is ahead of the control service's; `None`: unknown.
    control_ahead: Option<i64>,
    /// How far this process's clock is ahead of the one that its predecessor went by; `None`: unknown, or measured since.
    predecessor_ahead: Option<i64>,
    /// When the last list was seen; `None`: none was.
    last_list_at: Option<Nanos>,
    offset: Offset,
    /// Whether something has changed that the offset depends on.
    is_stale: bool,
}

impl StartTimes {
    /// Records that discovery dated a response with this Unix time of its own clock.
    pub fn record_response_date(&mut self, date: Nanos, now: Nanos) {
        // Between its date and now at most the error twice has passed.
        let ahead = date as i64 - now as i64 + DATE_ERROR as i64;
        self.is_stale |= self.discovery.add_measurement(ahead, DATE_ERROR, now);
        self.predecessor_ahead = None;
    }

    /// Records how far the control service's clock is ahead of this process's.
    pub fn record_control_clock(&mut self, ahead: i64) {
        self.control_ahead = Some(-ahead);
        self.predecessor_ahead = None;
        self.is_stale = true;
    }

    /// Records how far this process's clock is ahead of the one that its predecessor went by.
    pub fn inherit_offset(&mut self, ahead: i64) {
        self.predecessor_ahead = Some(ahead);
        self.is_stale = true;
    }

    /// Records the starts of a list of discovery, whole or incremental.
    pub fn record_list(&mut self, list: &EndpointList, now: Nanos) {
        if list.full {
            self.sightings.values_mut().for_each(|sighting| sighting.is_listed = false);
        }
        let earliest = self.last_list_at.map_or(0, |at| at.saturating_sub(MAX_START_DELAY));
        for endpoint in &list.servers {
            self.record_since(endpoint, earliest, now);
            if let Some(sighting) = self.sightings.get_mut(&endpoint.id) {
                sighting.is_listed = endpoint.state != EndpointState::Gone;
            }
        }
        self.last_list_at = Some(now);
        if self.sightings.len() > MAX_REMEMBERED {
            self.sightings.retain(|_, sighting| sighting.is_listed);
        }
    }

    /// Records the start of an endpoint that another source than discovery lists.
    pub fn record(&mut self, endpoint: &Endpoint, now: Nanos) {
        self.record_since(endpoint, 0, now);
    }

    fn record_since(&mut self, endpoint: &Endpoint, earliest: Nanos, now: Nanos) {
        let stated = endpoint.started;
        let is_known = self.sightings.get(&endpoint.id).is_some_and(|sighting| sighting.stated == stated);
        if is_known || !stated.is_known() {
            return;
        }
        self.sightings
            .insert(endpoint.id.clone(), Sighting { stated, first_seen_at: now, earliest, is_listed: false });
        self.is_stale = true;
    }

    /// Chooses the clock that ages go by. Returns whether the starts told so far have to be told again.
    pub fn update_offset(&mut self) -> bool {
        if !std::mem::take(&mut self.is_stale) {
            return false;
        }
        let offset = self.chosen_offset();
        let has_changed = offset.ahead.abs_diff(self.offset.ahead) >= MIN_OFFSET.unsigned_abs();
        if has_changed {
            self.offset = offset;
        }
        has_changed
    }

    fn chosen_offset(&self) -> Offset {
        let max_ahead = self.middle_max_ahead();
        let is_contradicted =
            |offset: &Offset| max_ahead.is_some_and(|max| offset.ahead > max.saturating_add(MIN_OFFSET));
        let clocks = [
            (StartClock::Own, Some(0)),
            (StartClock::Discovery, self.discovery_ahead()),
            (StartClock::Control, self.control_ahead),
            (StartClock::Predecessor, self.predecessor_ahead),
        ];
        let offsets = clocks.into_iter().filter_map(|(clock, ahead)| Some(Offset { clock, ahead: ahead? }));
        // Clocks that agree with this process's own say nothing new.
        let offsets =
            offsets.filter(|offset| offset.clock == StartClock::Own || offset.ahead.abs() >= MIN_OFFSET);
        let youngest = offsets.filter(|offset| !is_contradicted(offset)).max_by_key(|offset| offset.ahead);
        youngest.unwrap_or(Offset { clock: StartClock::Starts, ahead: max_ahead.unwrap_or(0) })
    }

    /// How far this process's clock is ahead of discovery's at most, by the dates of its responses; `None`: they agree, or have none.
    fn discovery_ahead(&self) -> Option<i64> {
        let error = self.discovery.error(0)?;
        let ahead = -self.discovery.ahead();
        (ahead.unsigned_abs() > error).then(|| ahead.saturating_add_unsigned(error))
    }

    /// How far this process's clock is ahead of that of the starts at most, by the middle one of them. Danger: the clock of a single
    /// machine that states a start in the future would make all other endpoints count as older.
    fn middle_max_ahead(&self) -> Option<i64> {
        let mut bounds: Vec<i64> = self.sightings.values().map(Sighting::max_ahead).collect();
        let middle = bounds.len() / 2;
        (middle < bounds.len()).then(|| *bounds.select_nth_unstable(middle).1)
    }

    /// How far this process's clock is ahead of the one that ages go by, in nanoseconds.
    pub fn ahead(&self) -> i64 {
        self.offset.ahead
    }

    /// The clock that ages go by.
    pub fn clock(&self) -> StartClock {
        self.offset.clock
    }

    /// When an endpoint started by the clock of this process; 0: long ago.
    pub fn local_start(&mut self, endpoint: &Endpoint, now: Nanos) -> Nanos {
        if !endpoint.started.is_known() {
            return 0;
        }
        // Sources other than discovery may state a start that none of its lists has.
        self.record(endpoint, now);
        let Some(sighting) = self.sightings.get(&endpoint.id) else { return now };
        let local = sighting.stated.unix_nanos().saturating_add_signed(self.offset.ahead);
        if local < sighting.earliest {
            return sighting.first_seen_at;
        }
        local.min(sighting.first_seen_at)
    }
}
