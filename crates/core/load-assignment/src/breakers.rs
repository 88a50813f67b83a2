//! Circuit breakers: limits on the requests, retries and connecting attempts in flight to a cluster.
//!
//! Source: Envoy's documentation, "Circuit breaking", and `envoy/config/cluster/v3/circuit_breaker.proto`.
//! Anything over a limit is rejected at once; nothing is queued.

use std::cell::RefCell;
use std::rc::Rc;

/// The priority of a route (`envoy.config.core.v3.RoutingPriority`); each has its own thresholds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePriority {
    /// `DEFAULT`.
    #[default]
    Default,
    /// `HIGH`.
    High,
}

/// Retry budget: limits the retries in flight to a percentage of the requests in flight (`retry_budget`).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Percentage of the requests in flight; 20 by default (`budget_percent`).
    pub percent: f64,
    /// Number of retries that may always be in flight; 3 by default (`min_retry_concurrency`).
    pub min_concurrency: u32,
}

/// Thresholds for one routing priority. The defaults are Envoy's and apply to fields that the configuration omits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Connections, including idle ones.
    pub connections: u32,
    /// Attempts that wait for a connection to be established.
    pub pending: u32,
    /// Requests in flight.
    pub requests: u32,
    /// Retries in flight; ignored if there is a retry budget.
    pub retries: u32,
    /// Retry budget.
    pub budget: Option<RetryBudget>,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { connections: 1024, pending: 1024, requests: 1024, retries: 3, budget: None }
    }
}

impl Thresholds {
    /// No limits, for a cluster without thresholds: only the proxy's own limits apply.
    pub const NONE: Thresholds = Thresholds {
        connections: u32::MAX,
        pending: u32::MAX,
        requests: u32::MAX,
        retries: u32::MAX,
        budget: None,
    };

    /// Returns the limit of retries while `requests` requests are in flight.
    fn max_retries(&self, requests: u32) -> u32 {
        match self.budget {
            None => self.retries,
            Some(budget) => {
                let share = f64::from(requests) * budget.percent / 100.0;
                (share as u32).max(budget.min_concurrency)
            }
        }
    }
}

/// A limit that a circuit breaker enforces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerLimit {
    /// `max_requests`.
    Requests,
    /// `max_retries` or the retry budget.
    Retries,
    /// `max_pending_requests`.
    Pending,
}

/// Counts in flight for one routing priority.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    requests: u32,
    retries: u32,
    pending: u32,
}

#[derive(Debug)]
struct State {
    /// Thresholds, indexed by [`RoutePriority`].
    limits: [Thresholds; 2],
    /// Counts in flight, indexed by [`RoutePriority`].
    in_flight: [InFlight; 2],
    /// Number of rejections by each limit, indexed by [`BreakerLimit`].
    trips: [u64; 3],
}

/// The circuit breakers of a cluster: limits and counts in flight. Clones share one state.
#[derive(Clone, Debug)]
pub struct Breakers(Rc<RefCell<State>>);

/// A slot acquired under a limit, released on drop.
#[derive(Debug)]
pub struct BreakerSlot {
    breakers: Breakers,
    importance: RoutePriority,
    limit: BreakerLimit,
}

impl Breakers {
    /// Creates circuit breakers with the thresholds for the default and the high priority.
    pub fn new(limits: [Thresholds; 2]) -> Self {
        Breakers(Rc::new(RefCell::new(State { limits, in_flight: Default::default(), trips: [0; 3] })))
    }

    /// Replaces the thresholds; slots already acquired stay counted.
    pub fn set(&self, limits: [Thresholds; 2]) {
        self.0.borrow_mut().limits = limits;
    }

    /// Acquires a slot for a request, a retry or a connecting attempt.
    ///
    /// # Errors
    /// Returns the limit that has been reached.
    pub fn acquire(
        &self,
        importance: RoutePriority,
        limit: BreakerLimit,
    ) -> Result<BreakerSlot, BreakerLimit> {
        let mut state = self.0.borrow_mut();
        let thresholds = state.limits[importance as usize];
        let in_flight = state.in_flight[importance as usize];
        let (current, max) = match limit {
            BreakerLimit::Requests => (in_flight.requests, thresholds.requests),
            BreakerLimit::Pending => (in_flight.pending, thresholds.pending),
            BreakerLimit::Retries => (in_flight.retries, thresholds.max_retries(in_flight.requests)),
        };
        if current >= max {
            state.trips[limit as usize] += 1;
            return Err(limit);
        }
        *state.in_flight[importance as usize].count_mut(limit) += 1;
        Ok(BreakerSlot { breakers: self.clone(), importance, limit })
    }

    /// Returns the limit of connections.
    pub fn connections(&self, importance: RoutePriority) -> u32 {
        self.0.borrow().limits[importance as usize].connections
    }

    /// Returns the numbers of requests, retries and connecting attempts in flight.
    pub fn in_flight(&self, importance: RoutePriority) -> [u32; 3] {
        let in_flight = self.0.borrow().in_flight[importance as usize];
        [in_flight.requests, in_flight.retries, in_flight.pending]
    }

    /// Returns how often the limits of requests, retries and connecting attempts, in this order, rejected something.
    pub fn trips(&self) -> [u64; 3] {
        self.0.borrow().trips
    }
}

impl InFlight {
    fn count_mut(&mut self, limit: BreakerLimit) -> &mut u32 {
        match limit {
            BreakerLimit::Requests => &mut self.requests,
            BreakerLimit::Retries => &mut self.retries,
            BreakerLimit::Pending => &mut self.pending,
        }
    }
}

impl Drop for BreakerSlot {
    fn drop(&mut self) {
        let mut state = self.breakers.0.borrow_mut();
        *state.in_flight[self.importance as usize].count_mut(self.limit) -= 1;
    }
}
