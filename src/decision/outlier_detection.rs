//! Ejection of endpoints that fail more than others.

use super::*;

/// The part of attempts that fail by chance, and the gain with which the true part is followed: slow enough
/// that what a few silent servers still hold does not pass for the usual.
pub(super) const FAILING: f64 = 0.02;
pub(super) const FAILING_GAIN: f64 = 0.005;
/// Odds of 400 to 1, as a logarithm: two failures in a row where hardly any attempt fails.
pub(super) const PROOF: f64 = 6.0;

impl Balancer {
    /// What a failure and a success say of one server, given how many attempts fail on the whole. Danger:
    /// with a slow origin or a jam all servers fail at times; leaving each for a few failures in a row moves
    /// all keys to the few servers left, which then drown, and each move is a miss.
    pub(super) fn odds(&self) -> (f64, f64) {
        let usual = self.failing.clamp(FAILING, 0.9);
        let broken = 0.5 + 0.5 * usual;
        ((broken / usual).ln(), ((1.0 - broken) / (1.0 - usual)).ln())
    }

    /// The evidence that makes a server suspect: a thin proxy cannot wait for a second silence.
    pub(super) fn proof(&self, now: Nanos) -> f64 {
        PROOF * if self.thin(now) { 0.5 } else { 1.0 }
    }

    /// Whether it surely sends a server less than one request a second: what fills it is not seen here.
    pub(super) fn thin(&self, now: Nanos) -> bool {
        self.count.sum > 3.0 * ENDS && self.rate(now) <= self.live
    }

    pub(super) fn failed(&mut self, now: Nanos, server: ServerId, weight: f64) {
        let jitter = 0.75 + 0.5 * self.chance();
        // A thin proxy sends it nothing for seconds anyway: to be left for as long would be no difference.
        let (worse, proof, least) = (self.odds().0, self.proof(now), if self.thin(now) { 8 } else { 2 });
        let Some(&i) = self.by_id.get(&server) else { return };
        let s = &mut self.servers[i as usize];
        s.evidence = (s.evidence + weight * worse).min(2.0 * PROOF);
        if s.evidence > proof && s.suspect_until <= now {
            // A suspect server gets one request each time its suspicion lapses; the next failure doubles it.
            s.backoff = (s.backoff * 2).clamp(least * SECOND, 16 * SECOND);
            s.suspect_until = now.saturating_add((s.backoff as f64 * jitter) as Nanos);
        }
        if self.ranks(&self.servers[i as usize]) {
            self.failing += FAILING_GAIN * (1.0 - self.failing);
        }
    }

    pub(super) fn passed(&mut self, now: Nanos, server: ServerId) {
        let (better, proof) = (self.odds().1, self.proof(now));
        let Some(&i) = self.by_id.get(&server) else { return };
        let s = &mut self.servers[i as usize];
        s.evidence = (0.5 * s.evidence + better).clamp(0.0, 0.5 * proof);
        s.suspect_until = 0;
        s.backoff = if s.backoff > 2 * SECOND { s.backoff / 2 } else { 0 };
        if self.ranks(&self.servers[i as usize]) {
            self.failing -= FAILING_GAIN * self.failing;
        }
    }

    pub(super) fn suspect(&self, now: Nanos, server: ServerId) -> bool {
        self.by_id.get(&server).is_none_or(|&i| self.servers[i as usize].suspect_until > now)
    }

    /// How many cache nodes the list names, and how many of these are sent nothing now, but for trials.
    pub fn avoided(&self, now: Nanos) -> (usize, usize) {
        let nodes = self.by_id.values().map(|&i| &self.servers[i as usize]).filter(|s| !self.is_origin(s));
        nodes.fold((0, 0), |(listed, avoided), s| {
            let avoid = s.entry.state != State::Ready || s.suspect_until > now;
            (listed + 1, avoided + usize::from(avoid))
        })
    }
}
