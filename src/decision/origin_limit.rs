//! Limit on the attempts out at the origin.

use super::*;

/// Attempts that may be out at the origin before anything is known of it.
pub(super) const ORIGIN_ROOM: f64 = 32.0;
/// The same for all proxies together: what a few of them take by that figure.
pub(super) const ORIGIN_ALL: f64 = 128.0;
/// The least; below one by chance. Danger: many proxies with one each still send more than is served.
pub(super) const LEAST_ROOM: f64 = 0.3;
/// The part of fetches that may come late with the origin still well, and the gain with which it is followed.
pub(super) const ORIGIN_LATE: f64 = 0.1;
pub(super) const ORIGIN_GAIN: f64 = 0.1;

impl Balancer {
    /// Whether fetches come in time on the whole.
    pub(super) fn calm(&self) -> bool {
        self.origin_late < 2.0 * ORIGIN_LATE
    }

    /// Whether there is room at the origin for one more request of this kind.
    pub(super) fn has_room(&self, open: &Open) -> bool {
        // Writes have nowhere else to go; what is worth little leaves room for the rest.
        let part = match (open.write, open.poor) {
            (true, _) => 1.5,
            (_, true) => 0.5,
            _ => 1.0,
        };
        self.origin_out + 1.0 <= (self.origin_room * part).max(1.0)
    }

    /// The origin, where it is to be asked by the proxy and has room for this request.
    pub(super) fn origin(&self, now: Nanos, open: &Open) -> Option<u32> {
        if !self.has_room(open) {
            return None;
        }
        let fits = |i: &u32| {
            let s = &self.servers[*i as usize];
            s.entry.state == State::Ready && self.is_origin(s) && self.in_group(now, open, s)
        };
        let all = (0..self.servers.len() as u32).filter(fits);
        all.min_by(|a, b| self.servers[*a as usize].inflight.total_cmp(&self.servers[*b as usize].inflight))
    }

    /// Learns from an attempt at the origin how many may be out there. Danger: an origin that goes on with
    /// work nobody waits for any more fills no cache, so every read stays a miss and the jam feeds itself.
    pub(super) fn origin_learn(&mut self, now: Nanos, class: Option<usize>, status: Status, elapsed: Nanos) {
        let aims = self.settings.classes.iter().enumerate();
        // A server that fetches adds its own work to the time, which is a class's own matter.
        let aims = aims.filter(|(n, _)| self.settings.aside || class == Some(*n));
        let patience = aims.map(|(_, c)| c.aim).min().unwrap_or(SECOND);
        let in_time = status == Status::Ok && elapsed <= patience;
        // A connection that breaks is no sign of a jam.
        if matches!(status, Status::Cancelled | Status::Moot | Status::ConnectFailed | Status::Reset) {
            return;
        }
        self.origin_late += ORIGIN_GAIN * (f64::from(u8::from(!in_time)) - self.origin_late);
        // Danger: where servers fetch, answers get lost or work is uneven, some are late with no jam;
        // but an error is a fetch that failed.
        let by_chance = self.origin_late <= ORIGIN_LATE + 1.5 * self.failing;
        let jam = self.settings.aside || status == Status::Error || !by_chance;
        // Room that is not used proves nothing; and a jam counts once for all that was out when it was met.
        if in_time && self.origin_out + 1.0 >= 0.5 * self.origin_room {
            self.origin_room += (0.2 * self.origin_room).min(1.0 / self.origin_room);
        } else if !in_time && jam && now.saturating_sub(elapsed) >= self.origin_cut_at {
            // In through deployments it may be the servers that are jammed, and a quick fall helps.
            let most = if self.settings.aside { f64::MAX } else { 2.0 * self.origin_out + 2.0 };
            let least = if status == Status::Full { self.origin_room.min(1.0) } else { LEAST_ROOM };
            self.origin_room = (self.origin_room.min(most) * 0.8).max(least);
            self.origin_cut_at = now;
        }
    }
}
