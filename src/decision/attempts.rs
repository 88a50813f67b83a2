//! Attempts: first ones, retries, hedges, and the final answer.

use super::*;

/// Retries and hedges earned by each request.
pub(super) const BUDGET: f64 = 0.3;
/// Timer tokens: the low bits are a request id.
pub(super) const HEDGE: u64 = 1 << 56;

impl Balancer {
    /// May a further attempt go to this server, after attempts that may have run?
    pub(super) fn in_group(&self, now: Nanos, open: &Open, s: &Server) -> bool {
        let Some(class) = open.class() else { return true };
        let mut ran = open.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed => ran.all(|a| {
                // The margin covers the way to the server.
                let fresh = now.saturating_add(100 * MS) < a.sent.saturating_add(class.dedup_window);
                fresh
                    && match class.group {
                        Group::All => true,
                        Group::Zone => a.zone == s.entry.zone,
                        Group::Cell => a.cell == s.entry.cell && a.zone == s.entry.zone,
                    }
            }),
        }
    }

    /// Whether the rules allow this attempt. Whatever chose the server, nothing is sent without it.
    pub(super) fn lawful(&self, now: Nanos, open: &Open, s: &Server) -> bool {
        let alone = open.attempts.iter().all(|a| !a.pending);
        s.entry.state == State::Ready
            && self.open_to(open.class(), s)
            && now < open.deadline
            && !open.streaming
            && (open.attempts.len() as u32) < open.terms.max_attempts.max(1)
            && (alone || open.terms.second_copies)
            && self.in_group(now, open, s)
    }

    pub(super) fn send(&mut self, now: Nanos, id: RequestId, i: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        // The cold budget is spent here, last of all, by whatever is sent.
        let (lawful, fetch) = (self.lawful(now, open, &self.servers[i as usize]), open.fetch);
        let alone = open.attempts.iter().all(|a| !a.pending);
        if !(lawful && self.cold_allows(now, i, true)) {
            return if alone {
                self.give_up(now, id, actions)
            };
        }
        let proof = self.proof(now);
        let to_origin = self.is_origin(&self.servers[i as usize]);
        if to_origin || fetch {
            self.origin_out += 1.0;
        }
        let s = &mut self.servers[i as usize];
        s.inflight += 1.0;
        self.inflight += 1.0;
        if s.evidence >= 0.5 * proof && s.backoff > 0 {
            // A trial: no second one before its answer is due.
            s.suspect_until = now.saturating_add(s.backoff.max(SECOND));
        }
        let (server, zone, cell) = (s.entry.server, s.entry.zone, s.entry.cell);
        let Some(open) = self.open.get_mut(&id) else { return };
        open.attempts.push(Attempt { server, zone, cell, sent: now, pending: true, may_have_run: false });
        let tries = open.attempts.len() as u32;
        let terms = open.terms.clone();
        let more = tries < terms.max_attempts;
        let left = open.aim_at.min(open.deadline).saturating_sub(now) as f64;
        let class = terms.classes.get(open.class);
        let seen = self.seen.get(open.class).cloned().unwrap_or_default();
        let safe = class.is_some_and(|c| c.effect != Effect::Unsafe && !c.stream);
        let patience =
            if seen.count < 5.0 { left * 0.5 } else { (seen.mean + 3.5 * seen.spread).max(0.2 * left) };
        // Danger: work for an answer that is worth nothing any more keeps others waiting.
        let worthless = left > 0.0 && class.is_some_and(|c| c.late_value <= 0.0);
        let mut timeout = if worthless { left as Nanos } else { 0 };
        if safe && more && !to_origin && terms.second_copies && patience + seen.mean < left {
            // Danger: an answer that got lost, or a server that hangs, holds the request until its aim. While
            // all servers are slow, patience grows past what is left and nothing is sent twice.
            actions.push(Action::Timer { token: HEDGE | id, delay: patience as Nanos });
        } else if safe && more && !to_origin && terms.aside && patience + seen.mean < left {
            timeout = patience as Nanos;
        }
        actions.push(Action::Send { id, server, timeout });
    }

    /// The request has had its answer: what it was worth is noted, copies still out are called off.
    pub(super) fn finished(&mut self, now: Nanos, o: &Outcome, actions: &mut Vec<Action>) {
        let Some(open) = self.close(o.id) else { return };
        let late = open.class().map_or(0.0, |c| c.late_value);
        let served = f64::from(u8::from(o.status == Status::Ok));
        self.within_share(now, open.tenant, served);
        let worth = if now <= open.aim_at { served } else { served * late };
        self.ended(&open, worth);
        let out = open.attempts.iter().enumerate().filter(|(_, a)| a.pending && open.terms.cancel);
        actions.extend(out.map(|(n, _)| Action::Cancel { id: o.id, attempt: n as u32 }));
    }

    /// The next step of a request that still lacks its answer: the origin, a retry, or the final answer.
    pub(super) fn go_on(&mut self, now: Nanos, o: &Outcome, to_origin: bool, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&o.id) else { return };
        if open.streaming || open.attempts.iter().any(|a| a.pending) {
            return;
        }
        if o.status == Status::Miss && self.settings.aside {
            if let Some(i) = self.origin(now, open) {
                return self.send(now, o.id, i, actions);
            }
        }
        // Danger: the key's other servers do not hold it, so a retry after a full, late or failed answer is a
        // miss more at an origin that may be the cause. Only a server that did not take the request, because
        // it cannot be reached or left, is worth another; and in aside deployments silence counts as a miss.
        // A thin proxy cannot know that a server is full; while the origin is well it tries the next one.
        let lost = matches!(o.status, Status::ConnectFailed | Status::Reset | Status::Moot);
        let silent = o.status == Status::Timeout && self.settings.aside;
        let lost = lost && (!to_origin || o.status == Status::Reset);
        let unseen = o.status == Status::Full && !to_origin && self.calm() && self.thin(now);
        let again = lost || unseen || !to_origin && (silent || self.suspect(now, o.server));
        if !again || !self.another(now, o.id, (silent, to_origin), actions) {
            self.give_up(now, o.id, actions);
        }
    }

    /// Whether a further attempt can still bring an answer that is worth something.
    pub(super) fn in_time(&self, now: Nanos, open: &Open) -> bool {
        let worthless = open.class().is_some_and(|c| c.late_value <= 0.0);
        let end = if worthless { open.aim_at.min(open.deadline) } else { open.deadline };
        let mean = self.seen.get(open.class).map_or(0.0, |s| s.mean);
        end.saturating_sub(now) as f64 > (0.5 * mean).max(MS as f64)
    }

    pub(super) fn hedge(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let slow: Vec<ServerId> = open.attempts.iter().filter(|a| a.pending).map(|a| a.server).collect();
        if slow.len() != 1 || open.streaming || now >= open.deadline {
            return;
        }
        // No answer for so long counts against the server at once: a hung one is left after two of these.
        self.failed(now, slow[0], 1.0);
        self.another(now, id, (true, false), actions);
    }

    /// Sends a further attempt if time, budget and rules allow it; tells whether it did. After silence an
    /// aside deployment asks the origin and no other server, which would lack the key.
    pub(super) fn another(
        &mut self,
        now: Nanos,
        id: RequestId,
        after: (bool, bool),
        actions: &mut Vec<Action>,
    ) -> bool {
        let (silent, to_origin) = after;
        let Some(open) = self.open.remove(&id) else { return false };
        // Danger: where a hot key drowns a server, silence of a thousand proxies floods the origin as well.
        let calm = !silent || !(self.settings.aside || open.fetch) || self.origin_late < ORIGIN_LATE;
        let more = calm && (open.attempts.len() as u32) < open.terms.max_attempts.max(1);
        let target = match (more && self.budget >= 1.0 && self.in_time(now, &open), silent || to_origin) {
            (false, _) => None,
            (true, true) if self.settings.aside => self.origin(now, &open),
            (true, _) => self.choose(now, &open, 1),
        };
        self.open.insert(id, open);
        let Some(i) = target else { return false };
        self.budget -= 1.0;
        self.send(now, id, i, actions);
        true
    }

    /// The final answer when nothing more can be done: a refusal where it is true that a repeat does no harm.
    pub(super) fn give_up(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.close(id) else { return };
        self.ended(&open, 0.0);
        let class = open.class();
        let past =
            now >= open.aim_at && !open.attempts.is_empty() && class.is_some_and(|c| c.late_value <= 0.0);
        let ran = open.attempts.iter().any(|a| a.pending || a.may_have_run);
        let harmless = match class.map_or(Effect::Unsafe, |c| c.effect) {
            Effect::Safe => true,
            Effect::Keyed => !ran || class.is_some_and(|c| c.group == Group::All),
            Effect::Unsafe => !ran,
        };
        if harmless {
            // Advice to stay away while not all is taken.
            let wait =
                if past || self.taken < 1.0 || self.extra < 1.0 { open.terms.max_retry_after } else { 0 };
            actions.push(Action::Refuse { id, retry_after: wait });
        } else {
            actions.push(Action::Fail { id });
        }
    }
}
