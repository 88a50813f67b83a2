//! The endpoints by the list of discovery.

use super::*;

#[derive(Default)]
pub(super) struct Server {
    pub(super) entry: Entry,
    pub(super) inverse_weight: f64,
    pub(super) inflight: f64,
    /// How surely it fails more than servers do on the whole: a sum of logarithms of odds.
    pub(super) evidence: f64,
    pub(super) suspect_until: Nanos,
    pub(super) backoff: Nanos,
    /// What it may still be sent while it is cold.
    pub(super) cold: Allowance,
    /// When an attempt there last ended on an open connection; 0: no connection was to be had since.
    pub(super) reached_at: Nanos,
}

impl Balancer {
    pub(super) fn list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: Vec<Entry>,
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            (self.subscribed, self.asked) = (false, false);
            self.failures = (self.failures + 1).min(8);
            return self.ask_later(actions);
        }
        if kind != ListKind::Delta {
            let named: rustc_hash::FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            let mut gone: Vec<ServerId> = self.by_id.keys().filter(|s| !named.contains(s)).copied().collect();
            gone.sort_unstable();
            gone.into_iter().for_each(|s| self.remove(s));
        }
        for entry in entries {
            let server = entry.server;
            if entry.state == State::Gone {
                self.remove(server);
            } else {
                self.upsert(now, entry);
                self.let_go(server, actions);
            }
        }
        self.weigh();
        if kind == ListKind::Cached && self.settings.must_ask {
            self.ask_later(actions);
        } else if self.asked {
            (self.asked, self.subscribed, self.failures) = (false, true, 0);
        }
    }

    /// Closes what is idle at a draining server, where that is a rule: on every notice of the drain, and on
    /// every outcome there, since its connection is idle from then on.
    pub(super) fn let_go(&self, server: ServerId, actions: &mut Vec<Action>) {
        let state = self.by_id.get(&server).map(|&i| self.servers[i as usize].entry.state);
        if self.settings.let_go > 0 && state == Some(State::Draining) {
            actions.push(Action::Close(server));
        }
    }

    pub(super) fn is_origin(&self, s: &Server) -> bool {
        self.settings.origin_kind == Some(s.entry.kind)
    }

    pub(super) fn ranks(&self, s: &Server) -> bool {
        // The origin of an aside deployment is a server of last resort, never a candidate.
        s.entry.state == State::Ready && !(self.settings.aside && self.is_origin(s))
    }

    /// May a class be sent to this server? The origin of an aside deployment is open to all.
    pub(super) fn open_to(&self, class: Option<&Class>, s: &Server) -> bool {
        let fits = |set: &Option<Vec<u32>>, at: u32| set.as_ref().is_none_or(|set| set.contains(&at));
        let placed = |c: &Class| fits(&c.zones, s.entry.zone) && fits(&c.kinds, s.entry.kind);
        class.is_none_or(placed) || self.settings.aside && self.is_origin(s)
    }

    pub(super) fn remove(&mut self, server: ServerId) {
        if let Some(i) = self.by_id.remove(&server) {
            self.inflight -= self.servers[i as usize].inflight;
            if self.is_origin(&self.servers[i as usize]) {
                self.origin_out = (self.origin_out - self.servers[i as usize].inflight).max(0.0);
            }
            self.servers[i as usize].inflight = 0.0;
            self.servers[i as usize].entry.state = State::Gone;
            self.free.push(i);
        }
    }

    pub(super) fn upsert(&mut self, now: Nanos, entry: Entry) {
        if let Some(&i) = self.by_id.get(&entry.server) {
            let s = &mut self.servers[i as usize];
            if s.entry.started != entry.started {
                // A changed start means a new process: no cache, no history of failures.
                (s.evidence, s.suspect_until, s.backoff) = (0.0, 0, 0);
                s.cold = Allowance { left: unit(mix(self.random ^ entry.started)), at: now };
            }
            s.entry = entry;
            return;
        }
        let (server, cold) = (entry.server, Allowance { left: self.chance(), at: now });
        let fresh = Server { entry, inverse_weight: 1.0, cold, ..Server::default() };
        let i = self.free.pop().unwrap_or(self.servers.len() as u32);
        self.servers.resize_with(self.servers.len().max(i as usize + 1), Server::default);
        self.servers[i as usize] = fresh;
        self.by_id.insert(server, i);
    }

    /// Takes the weights of the servers from the list.
    pub(super) fn weigh(&mut self) {
        (self.total_weight, self.live) = (0.0, 0.0);
        for i in 0..self.servers.len() {
            let listed = self.servers[i].entry.weight;
            let weight = if listed.is_finite() { listed.clamp(1e-6, 1e9) } else { 1.0 };
            self.servers[i].inverse_weight = 1.0 / weight;
            if self.ranks(&self.servers[i]) {
                self.total_weight += weight;
                self.live += 1.0;
            }
        }
        self.version += 1;
    }
}
