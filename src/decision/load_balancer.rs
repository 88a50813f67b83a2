//! Choice of the endpoint for an attempt.

use super::*;

/// The most that a candidate may hold, in means, before it passes a request on; drawn for each between
/// one mean and this. Danger: at one bound all its buckets leave a server, and return, at once.
pub(super) const BUSIEST: f64 = 3.0;
/// The part of attempts without a connection past which open ones are preferred, and the gain with which it
/// is followed.
pub(super) const UNREACHED: f64 = 0.1;
pub(super) const UNREACHED_GAIN: f64 = 0.05;

impl Balancer {
    /// The server for the next attempt of a request.
    pub(super) fn choose(&mut self, now: Nanos, open: &Open, spread: usize) -> Option<u32> {
        // A proxy knows its own part alone, and one request of its own already out may be a heavy one that
        // the next would wait for.
        let own = self.inflight / self.total_weight.max(1e-9);
        let most = own * (1.0 + (BUSIEST - 1.0) * self.chance());
        let b = open.bucket.unwrap_or_else(|| self.bucket(open.class, now ^ self.random));
        self.rank(b);
        let order = self.ordered(now, b, spread);
        let fits = |i: &u32| {
            let s = &self.servers[*i as usize];
            let asked = open.attempts.iter().any(|a| a.server == s.entry.server);
            let lawful = self.open_to(open.class(), s) && self.in_group(now, open, s);
            self.ranks(s) && s.suspect_until <= now && lawful && !asked
        };
        let pinned = open.pinned.and_then(|p| self.by_id.get(&p).copied()).filter(fits);
        let mut order: Vec<u32> = order.into_iter().filter(fits).collect();
        if order.is_empty() {
            // No ranked server will do: any that may be used, nearest first, in the bucket's own order.
            order = (0..self.servers.len() as u32).filter(fits).collect();
            order.sort_by_key(|&i| {
                let s = &self.servers[i as usize];
                (s.entry.zone != self.settings.zone, mix(s.entry.server ^ mix(place(b))))
            });
        }
        if self.unreached > UNREACHED {
            // Danger: where new connections are hard to get (full tables, slow handshakes), each try
            // elsewhere fails too. Servers with an open connection come first, any of them if need be.
            let open_at = |i: &u32| {
                let s = &self.servers[*i as usize];
                s.reached_at > 0 && s.reached_at.saturating_add(self.settings.conn_idle) > now
            };
            if !order.iter().any(open_at) {
                order.extend((0..self.servers.len() as u32).filter(|i| fits(i) && open_at(i)));
            }
            order.sort_by_key(|i| !open_at(i));
        }
        if let Some(i) = pinned.filter(|&i| self.cold_allows(now, i, false)) {
            return Some(i);
        }
        order.retain(|&i| self.cold_allows(now, i, false));
        let roomy = |i: &&u32| {
            let s = &self.servers[**i as usize];
            s.inflight < 0.5 + most / s.inverse_weight
        };
        order.iter().take(SIGMA.max(spread)).find(roomy).or(order.first()).copied()
    }

    /// An attempt out less, and a connection that was or was not to be had.
    pub(super) fn released(&mut self, now: Nanos, o: &Outcome, actions: &mut Vec<Action>) {
        self.let_go(o.server, actions);
        let Some(&i) = self.by_id.get(&o.server) else { return };
        let s = &mut self.servers[i as usize];
        let held = s.inflight.min(1.0);
        (s.inflight, self.inflight) = (s.inflight - held, self.inflight - held);
        let refused = o.status == Status::ConnectFailed;
        if !matches!(o.status, Status::Cancelled | Status::Moot) {
            s.reached_at = if refused { 0 } else { now };
            self.unreached += UNREACHED_GAIN * (f64::from(u8::from(refused)) - self.unreached);
        }
    }
}
