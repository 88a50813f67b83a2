//! Remembers the ids of requests that may have run, so that none of them runs again under its id.
//!
//! A request claims its id before it is sent. The claim ends with the request; if the request may have run, its id is remembered for
//! [`RETENTION`] more. It is no deduplication of retries: a retry has an id of its own. Requests that may run any number of times claim
//! nothing. Two processes that serve at the same address share their claims through a log of [`ClaimRecord`]s, in which the first one counts.
//!
//! Main types: [`ClaimedIds`], [`ClaimRecord`]. The crate does no I/O and reads no clock: time is passed in.
#![forbid(unsafe_code)]

mod digest;
mod log;

pub use digest::RequestDigest;
pub use log::{claimed_before, ClaimRecord, ProcessTag};

use std::collections::{HashSet, VecDeque};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// How long an id is remembered behind the end of its request: twice the longest time that clients wait for an answer.
pub const RETENTION: Nanos = 60_000_000_000;
/// Maximum number of ids that are remembered. Beyond it the oldest are forgotten early: a client that invents ids must not fill the memory.
pub const MAX_REMEMBERED: usize = 1 << 16;

/// An id is taken: its request is in flight, or may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyClaimed;

/// The ids of the requests that are in flight or may have run.
#[derive(Default)]
pub struct ClaimedIds {
    in_flight: HashSet<RequestDigest>,
    remembered: HashSet<RequestDigest>,
    /// The remembered ids by age, with the time at which each was remembered.
    by_age: VecDeque<(Nanos, RequestDigest)>,
}

impl ClaimedIds {
    /// Claims the id of a request that is about to be sent.
    ///
    /// # Errors
    /// The id is taken.
    pub fn claim(&mut self, id: RequestDigest, now: Nanos) -> Result<(), AlreadyClaimed> {
        self.forget_expired(now);
        if self.remembered.contains(&id) || !self.in_flight.insert(id) {
            return Err(AlreadyClaimed);
        }
        Ok(())
    }

    /// Ends the claim of a request that cannot have run.
    pub fn release(&mut self, id: RequestDigest) {
        self.in_flight.remove(&id);
    }

    /// Remembers a request that may have run, here or in another process, and ends its claim.
    pub fn remember(&mut self, id: RequestDigest, now: Nanos) {
        self.in_flight.remove(&id);
        if self.remembered.insert(id) {
            self.by_age.push_back((now, id));
        }
        self.forget_expired(now);
    }

    /// Returns all ids that are taken.
    pub fn iter(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.in_flight.iter().chain(&self.remembered).copied()
    }

    /// The number of ids that are remembered.
    pub fn remembered(&self) -> usize {
        self.remembered.len()
    }

    fn forget_expired(&mut self, now: Nanos) {
        while let Some((since, id)) = self.by_age.front().copied() {
            let is_expired = now.saturating_sub(since) >= RETENTION || self.by_age.len() > MAX_REMEMBERED;
            if !is_expired {
                return;
            }
            self.by_age.pop_front();
            self.remembered.remove(&id);
        }
    }
}
