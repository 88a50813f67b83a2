//! Limits on what is out at once at a cluster.
//!
//! Source: Envoy's documentation, "Circuit breaking", and `envoy/config/cluster/v3/circuit_breaker.proto`. What is over a
//! limit is refused at once; nothing waits for a place.

use std::cell::RefCell;
use std::rc::Rc;

/// A route's priority (`envoy.config.core.v3.RoutingPriority`); each has limits of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Importance {
    /// `DEFAULT`.
    #[default]
    Default,
    /// `HIGH`.
    High,
}

/// How many repeats may be out, as a part of the requests that are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Percent of the requests that are out; 20 where nothing is told.
    pub percent: f64,
    /// So many may be out in any case; 3 where nothing is told.
    pub least: u32,
}

/// Limits of one importance. Envoy's own stand where a threshold is given and the field is not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Connections, idle ones among them.
    pub connections: u32,
    /// Attempts that wait for their connection to come up.
    pub pending: u32,
    /// Requests.
    pub requests: u32,
    /// Repeats; not read where there is a budget.
    pub retries: u32,
    /// Repeats as a part of the requests.
    pub budget: Option<Budget>,
}

impl Default for Thresholds {
    fn default() -> Self {
        Thresholds { connections: 1024, pending: 1024, requests: 1024, retries: 3, budget: None }
    }
}

impl Thresholds {
    /// For a cluster that names no limits: the proxy's own hold.
    pub const NONE: Thresholds = Thresholds {
        connections: u32::MAX,
        pending: u32::MAX,
        requests: u32::MAX,
        retries: u32::MAX,
        budget: None,
    };
}

/// What has reached its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trip {
    /// `max_requests`.
    Requests,
    /// `max_retries`, or the budget.
    Retries,
    /// `max_pending_requests`.
    Pending,
}

#[derive(Clone, Copy, Debug, Default)]
struct Out {
    requests: u32,
    retries: u32,
    pending: u32,
}

#[derive(Debug)]
struct State {
    limits: [Thresholds; 2],
    out: [Out; 2],
    /// How often each limit was reached.
    trips: [u64; 3],
}

/// The limits of a cluster and what is out. Clones share one state.
#[derive(Clone, Debug)]
pub struct Breakers(Rc<RefCell<State>>);

/// A place, given back when it is dropped.
#[derive(Debug)]
pub struct Hold {
    breakers: Breakers,
    importance: Importance,
    of: Trip,
}

impl Breakers {
    /// Limits by importance, default and high.
    pub fn new(limits: [Thresholds; 2]) -> Self {
        Breakers(Rc::new(RefCell::new(State { limits, out: Default::default(), trips: [0; 3] })))
    }

    /// Other limits from now on; what is out stays out.
    pub fn set(&self, limits: [Thresholds; 2]) {
        self.0.borrow_mut().limits = limits;
    }

    /// Takes a place for a request, a repeat or an attempt that connects.
    ///
    /// # Errors
    /// The limit that is reached.
    pub fn take(&self, importance: Importance, of: Trip) -> Result<Hold, Trip> {
        let mut state = self.0.borrow_mut();
        let (limits, out) = (state.limits[importance as usize], state.out[importance as usize]);
        let (now, most) = match of {
            Trip::Requests => (out.requests, limits.requests),
            Trip::Pending => (out.pending, limits.pending),
            Trip::Retries => (
                out.retries,
                match limits.budget {
                    None => limits.retries,
                    Some(budget) => {
                        let part = f64::from(out.requests) * budget.percent / 100.0;
                        (part as u32).max(budget.least)
                    }
                },
            ),
        };
        if now >= most {
            state.trips[of as usize] += 1;
            return Err(of);
        }
        *state.out[importance as usize].of(of) += 1;
        Ok(Hold { breakers: self.clone(), importance, of })
    }

    /// How many connections there may be.
    pub fn connections(&self, importance: Importance) -> u32 {
        self.0.borrow().limits[importance as usize].connections
    }

    /// How many requests, repeats and connecting attempts are out.
    pub fn out(&self, importance: Importance) -> [u32; 3] {
        let out = self.0.borrow().out[importance as usize];
        [out.requests, out.retries, out.pending]
    }

    /// How often the limits on requests, repeats and connecting attempts were reached.
    pub fn trips(&self) -> [u64; 3] {
        self.0.borrow().trips
    }
}

impl Out {
    fn of(&mut self, of: Trip) -> &mut u32 {
        match of {
            Trip::Requests => &mut self.requests,
            Trip::Retries => &mut self.retries,
            Trip::Pending => &mut self.pending,
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.breakers.0.borrow_mut();
        *state.out[self.importance as usize].of(self.of) -= 1;
    }
}
