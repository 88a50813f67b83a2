//! [`SharedState`] in etcd.

use super::EtcdShared;
use crate::messages::*;
use crate::prefix::range_end;
use rushquay_overrides::{Override, OverrideEvent, OverrideLimits, OverrideSet};
use rushquay_state::{
    sealed, Campaign, EndpointWrite, HeldLease, OverrideWrite, RecordWrite, SharedError, SharedState,
    StoredEndpoint, StoredState,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The numbers from which a set of overrides continues.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Counters {
    next: u64,
    revision: u64,
}

impl SharedState for EtcdShared {
    fn name(&self) -> String {
        format!("etcd at {} under {}", self.endpoints.join(", "), self.prefix.0)
    }

    fn campaign(&self, candidate: &str, ttl: Duration) -> Result<Campaign, SharedError> {
        self.wait_for(self.try_campaign(candidate, ttl))
    }

    fn renew(&self, held: HeldLease) -> Result<(), SharedError> {
        match self.wait_for(self.keep_alive(held.lease))? {
            0 => Err(SharedError::Fenced(held.epoch)),
            // The lease may be valid while somebody has deleted the key.
            _ => self.commit(held, vec![Step::get(self.leader_key())]),
        }
    }

    fn resign(&self, held: HeldLease) -> Result<(), SharedError> {
        self.lease.store(0, Ordering::Relaxed);
        let request = LeaseRevokeRequest { id: held.lease };
        self.wait_for(self.client.call::<_, LeaseRevokeResponse>(path::LEASE_REVOKE, request)).map(drop)
    }

    fn wait(&self, max: Duration) {
        let start = Instant::now();
        let watched = self.wait_for(async {
            tokio::time::timeout(max, self.until_leader_key_is_deleted()).await.unwrap_or(Ok(()))
        });
        if watched.is_err() {
            // As long as the watch would have lasted: an unreachable store must not be called without a pause.
            std::thread::sleep(max.saturating_sub(start.elapsed()));
        }
    }

    fn load(&self, limits: OverrideLimits) -> Result<(StoredState, OverrideSet), SharedError> {
        let mut state = StoredState::default();
        if let Some(kv) = self.wait_for(self.range(self.prefix.key("version"), Vec::new()))?.first() {
            state.version = Some(self.parse(kv)?);
        }
        for kv in self.wait_for(self.range_under("nodes/"))? {
            let stored = StoredEndpoint::read(&kv.value).map_err(|e| self.record_error(&kv.key, e))?;
            state.nodes.push(stored.into());
        }
        let (mut live, mut events) = (Vec::<Override>::new(), Vec::<OverrideEvent>::new());
        for kv in self.wait_for(self.range_under("overrides/"))? {
            live.push(self.parse(&kv)?);
        }
        for kv in self.wait_for(self.range_under("history/"))? {
            events.push(self.parse(&kv)?);
        }
        let counters = match self.wait_for(self.range(self.prefix.key("book"), Vec::new()))?.first() {
            Some(kv) => self.parse(kv)?,
            None => Counters { next: 1, revision: 0 },
        };
        Ok((state, OverrideSet::restore(limits, live, events, counters.next, counters.revision)))
    }

    fn keep(&self, held: HeldLease, write: &EndpointWrite) -> Result<(), SharedError> {
        let endpoint_key = |id: &str| self.prefix.key(&format!("nodes/{id}"));
        let mut operations = Vec::new();
        if write.whole {
            let all = self.prefix.key("nodes/");
            let range_end = range_end(&all);
            operations.push(Step::delete_range(all, range_end));
        }
        for sourced in &write.set {
            let (key, value) = (endpoint_key(&sourced.member.id), StoredEndpoint::from(sourced).record());
            operations.push(Step::put(key, value));
        }
        operations.extend(write.gone.iter().map(|id| Step::delete(endpoint_key(id))));
        // The version comes last: where there are several transactions, each endpoint's record has the version of its
        // list.
        if let Some(version) = write.version {
            let value = sealed(&version);
            operations.push(Step::put(self.prefix.key("version"), value));
        }
        self.commit(held, operations)
    }

    fn keep_book(&self, held: HeldLease, write: &OverrideWrite) -> Result<(), SharedError> {
        // Keys that are no longer live are deleted one by one; etcd rejects two operations on one key in a
        // transaction.
        let live: BTreeMap<Vec<u8>, &Override> =
            write.live.iter().map(|o| (self.prefix.numbered_key("overrides", o.id), o)).collect();
        let stored = self.wait_for(self.range_under("overrides/"))?;
        let stored: BTreeMap<&[u8], &[u8]> =
            stored.iter().map(|kv| (kv.key.as_slice(), kv.value.as_slice())).collect();
        let mut operations = Vec::new();
        for (key, live) in &live {
            let value = sealed(*live);
            if stored.get(key.as_slice()) != Some(&value.as_slice()) {
                operations.push(Step::put(key.clone(), value));
            }
        }
        for key in stored.keys().filter(|key| !live.contains_key(**key)) {
            operations.push(Step::delete(key.to_vec()));
        }
        operations.extend(self.history_operations(write));
        let value = sealed(&Counters { next: write.next, revision: write.revision });
        operations.push(Step::put(self.prefix.key("book"), value));
        self.commit(held, operations)
    }

    fn load_records(&self) -> Result<BTreeMap<String, Value>, SharedError> {
        let start = self.prefix.key("records/");
        let name =
            |kv: &KeyValue| String::from_utf8_lossy(&kv.key[start.len().min(kv.key.len())..]).into_owned();
        let found = self.wait_for(self.range_under("records/"))?;
        found.iter().map(|kv| Ok((name(kv), self.parse(kv)?))).collect()
    }

    fn keep_records(&self, held: HeldLease, write: &RecordWrite) -> Result<(), SharedError> {
        let key = |name: &str| self.prefix.key(&format!("records/{name}"));
        let put = |(name, content): (&String, &Value)| Step::put(key(name), sealed(content));
        let delete = |name: &String| Step::delete(key(name));
        // etcd rejects two operations on one key in a transaction.
        let gone = write.gone.iter().filter(|name| !write.set.contains_key(*name)).map(delete);
        self.commit(held, write.set.iter().map(put).chain(gone).collect())
    }
}

impl EtcdShared {
    /// Appends the new events to the history, and truncates it.
    fn history_operations(&self, write: &OverrideWrite) -> Vec<Step> {
        let mut operations = Vec::new();
        for event in &write.events {
            let key = self.prefix.numbered_key("history", event.number);
            operations.push(Step::put(key, sealed(event)));
        }
        // Danger: a history that is never truncated grows without bound.
        if let Some(last) = write.events.last().map(|e| e.number) {
            let first_retained = (last + 1).saturating_sub(write.history as u64);
            let oldest = write.events.first().map_or(last, |e| e.number);
            if first_retained > 1 && first_retained <= oldest {
                let (key, range_end) = (
                    self.prefix.numbered_key("history", 0),
                    self.prefix.numbered_key("history", first_retained),
                );
                operations.push(Step::Delete(DeleteRangeRequest { key, range_end }));
            }
        }
        operations
    }
}
