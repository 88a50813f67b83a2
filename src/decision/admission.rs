//! Admission: the part of the requests that is taken.

use super::*;

/// Of the requests sent in a window, the part late past which less is taken: well over what a failed fifth of
/// the servers makes late by itself, which refusing would not mend.
pub(super) const LATE: f64 = 0.35;
/// The part late or turned away past which work of little worth is refused; below half of it more is let in.
pub(super) const BUSY: f64 = 0.1;
/// Work worth less than this part of the usual for its time counts as being of little worth.
pub(super) const POOR: f64 = 0.5;
/// Fewer requests than this say nothing against the servers; the window stays open for more, for a while.
pub(super) const ENDS: f64 = 8.0;

/// What became of the requests that arrived in a window of time.
#[derive(Clone, Default)]
pub(super) struct Judged {
    pub(super) from: Nanos,
    /// When it closed to new arrivals.
    pub(super) until: Option<Nanos>,
    pub(super) sent: f64,
    pub(super) ends: f64,
    pub(super) late: f64,
    pub(super) full: f64,
    /// Worth and time of the requests asked for, good and poor, for the usual worth of a second's work.
    pub(super) worth: f64,
    pub(super) time: f64,
}

impl Balancer {
    /// The longest aim: what a window's requests came to is known by then.
    pub(super) fn settle(&self) -> Nanos {
        self.settings.classes.iter().map(|c| c.aim).max().unwrap_or(SECOND).clamp(100 * MS, 4 * SECOND)
    }

    /// Moves the parts of the tries that are taken, by what became of those of one window that were sent.
    /// Danger: judging by what ends just now answers to the load of before, and swings between all and none.
    /// What was refused says nothing, or refusing would feed itself.
    pub(super) fn steer(&mut self, now: Nanos) {
        let settle = self.settle();
        match self.judged.until {
            None => {
                let age = now.saturating_sub(self.judged.from);
                if self.judged.sent >= ENDS && age >= settle / 2 || age >= 4 * settle {
                    self.judged.until = Some(now);
                }
                return;
            }
            Some(until) if now < until.saturating_add(settle) => return,
            Some(_) => {}
        }
        let mut w = std::mem::replace(&mut self.judged, Judged { from: now, ..Judged::default() });
        // What is still out has run past its aim. Danger: where clients wait for longer, servers that answer
        // nothing would not be seen until they give up. What waits at the origin is not the servers' doing.
        let until = w.until.unwrap_or(now);
        let out = self.open.values().filter(|o| {
            let last = o.attempts.last().and_then(|a| self.by_id.get(&a.server));
            (!o.fetch || self.calm())
                && (w.from..until).contains(&o.arrived)
                && last.is_some_and(|&i| self.ranks(&self.servers[i as usize]))
        });
        let out = out.count() as f64;
        (w.late, w.ends) = (w.late + out, w.ends + out);
        let (late, busy) = (w.late / w.ends.max(ENDS), (w.late + w.full) / w.ends.max(ENDS));
        if w.time > 0.0 {
            self.usual_worth = w.worth / w.time;
        }
        // A thin proxy's windows last long: what is let in again goes by time, or it would take minutes.
        let steps = (now.saturating_sub(w.from) as f64 / (1.5 * settle as f64)).clamp(1.0, 8.0);
        // By chance a few of a small window go wrong.
        let chance = 1.5 * (BUSY / w.ends.max(1.0)).sqrt();
        if busy > BUSY + chance {
            self.extra = (self.extra * 0.5).max(0.02);
        } else if busy < BUSY / 2.0 + chance {
            self.extra = (self.extra * 1.1f64.powf(steps) + 0.01 * steps).min(1.0);
        }
        // To be turned away costs a handshake; where those have a price, hammering full servers is waste.
        let waste = if self.settings.handshake_price > 0.0 { 0.5 } else { 0.0 };
        let late = late + waste * w.full / w.ends.max(ENDS);
        if late > LATE {
            self.taken = (self.taken * (1.0 - late).max(0.1)).max(0.05);
        } else if late < LATE / 2.0 {
            self.taken = (self.taken * 1.1f64.powf(steps) + 0.02 * steps).min(1.0);
        }
    }

    /// Takes note of how a request that was sent has ended.
    pub(super) fn ended(&mut self, open: &Open, worth: f64) {
        // One that came past its aim could not have been in time: it says nothing of the servers.
        let counts = open.judged && !open.attempts.is_empty();
        let until = self.judged.until.unwrap_or(Nanos::MAX);
        if counts && (self.judged.from..until).contains(&open.arrived) {
            self.judged.ends += 1.0;
            match open.end {
                _ if worth > 0.0 => {}
                End::Late => self.judged.late += 1.0,
                End::Full => self.judged.full += 1.0,
                End::Other => {}
            }
        }
    }

    /// The part of a class's and tenant's tries to refuse unsent: what is worth little for its work first.
    pub(super) fn shed(&mut self, now: Nanos, open: &mut Open) -> f64 {
        let (class, tenant) = (open.class, open.tenant);
        self.steer(now);
        let time = self.usual(class).mean.max(1.0);
        let mut worth = self.settings.classes.get(class).map_or(1.0, |c| c.worth.max(1e-9));
        if self.settings.worth_by_work {
            worth *= time;
        }
        let within = self.within_share(now, tenant, 0.0);
        if !within {
            worth *= self.settings.over_share_worth.clamp(0.0, 1.0);
        }
        self.judged.worth += worth;
        self.judged.time += time;
        let ratio = worth / time / self.usual_worth.max(1e-30);
        let mut take = 1.0 - (1.0 - self.taken).powf(ratio.clamp(0.25, 4.0));
        open.poor = ratio < POOR && self.usual_worth > 0.0;
        if open.poor {
            take *= self.extra;
        }
        1.0 - take
    }
}
