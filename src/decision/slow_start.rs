//! What an endpoint with a cold cache may be sent.

use super::*;

/// The keys a cold server gets, by its surest warmth. Danger: at just its share newcomers idle (they warm
/// sooner than they must, and their misses cost them little) while warm servers drown in a release.
pub(super) const COLD_KEYS: f64 = 2.5;
/// The part of the fall rule's budget that proxies use; the rest is for bursts and uneven proxies.
pub(super) const COLD_BUDGET: f64 = 0.7;

impl Balancer {
    /// The part of its capacity that a server surely has by now.
    pub(super) fn warmth(&self, now: Nanos, s: &Server) -> f64 {
        if s.entry.started == 0 || self.settings.cold == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(s.entry.started) as f64 / self.settings.cold as f64;
        let from = self.settings.cold_from.clamp(0.0, 1.0);
        (from + (1.0 - from) * age).min(1.0)
    }

    /// A cold server enters a bucket once it is warmer than a hash of both says: all proxies admit it to the
    /// same growing part of its buckets.
    pub(super) fn admitted(&self, now: Nanos, b: u32, s: &Server) -> bool {
        let warmth = self.warmth(now, s);
        warmth >= 1.0 || unit(mix(s.entry.server ^ mix(place(b) ^ 0xc01d))) < COLD_KEYS * warmth
    }

    /// Takes a send to a cold server from this proxy's part of what it can bear. Danger: a burst of hot keys
    /// soon after a start pushes it over for good.
    pub(super) fn cold_allows(&mut self, now: Nanos, i: u32, take: bool) -> bool {
        let s = &self.servers[i as usize];
        let warmth = self.warmth(now, s);
        if warmth >= 1.0 || !self.ranks(s) {
            return true;
        }
        let part = 1.0 / s.inverse_weight / self.total_weight.max(1e-9);
        let traffic = self.rate(now).min(self.served.sum / SERVED_S + 1.0);
        let rate = COLD_BUDGET * self.settings.fall_multiple * warmth * part * traffic;
        let window = self.settings.fall as f64 / SECOND as f64;
        let cold = &mut self.servers[i as usize].cold;
        let allowed = cold.earn(now, rate, (rate * window).max(1.0)) >= 1.0;
        cold.left -= f64::from(u8::from(allowed && take));
        allowed
    }

    /// Gives away what each cold server may still be sent: over an upgrade two processes are one proxy.
    pub fn give_cold(&mut self, now: Nanos) -> Vec<ColdLeft> {
        let cold = self.settings.cold;
        let still = |s: &&mut Server| s.entry.started > 0 && now < s.entry.started.saturating_add(cold);
        let gives = |s: &mut Server| ColdLeft::of(&s.entry, std::mem::take(&mut s.cold.left));
        self.servers.iter_mut().filter(still).map(gives).collect()
    }

    /// Takes what another process gave, in place of what a process that starts has by chance.
    pub fn take_cold(&mut self, now: Nanos, given: &[ColdLeft]) {
        for ColdLeft { server, started, left } in given {
            let Some(&i) = self.by_id.get(server) else { continue };
            let s = &mut self.servers[i as usize];
            if s.entry.started.abs_diff(*started) < MS {
                s.cold = Allowance { left: *left, at: now };
            }
        }
    }
}
