//! What etcd keeps: keys with revisions, leases, and who watches. Time is an argument.

use rushquay_etcd::messages::*;
use std::collections::{BTreeMap, BTreeSet};

/// What etcd answers a transaction with too many steps with (`--max-txn-ops`).
const STEPS_MOST: usize = 128;

#[derive(Default)]
struct Lease {
    ttl: u64,
    /// In milliseconds.
    until: u64,
    keys: BTreeSet<Vec<u8>>,
}

/// A fault as etcd words it.
#[derive(Debug, PartialEq, Eq)]
pub enum Fault {
    /// `etcdserver: requested lease not found`
    NoLease,
    /// `etcdserver: too many operations in txn request`
    TooMany,
    /// `etcdserver: duplicate key given in txn request`
    Duplicate,
    /// `etcdserver: mvcc: database space exceeded`
    Full,
}

#[derive(Default)]
pub struct Store {
    keys: BTreeMap<Vec<u8>, KeyValue>,
    revision: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    /// What happened since the last time that somebody looked.
    pub events: Vec<Event>,
    pub transactions: u64,
    /// Nothing more is put (the alarm NOSPACE); leases and reads go on.
    pub full: bool,
}

fn within(key: &[u8], from: &[u8], to: &[u8]) -> bool {
    match to {
        [] => key == from,
        // "If range_end is '\0', the range is all keys >= key."
        [0] => key >= from,
        to => key >= from && key < to,
    }
}

impl Store {
    pub fn header(&self) -> Option<ResponseHeader> {
        Some(ResponseHeader { revision: self.revision })
    }

    pub fn range(&self, ask: &RangeRequest) -> RangeResponse {
        let all: Vec<&KeyValue> =
            self.keys.values().filter(|kv| within(&kv.key, &ask.key, &ask.range_end)).collect();
        let most = if ask.limit > 0 { ask.limit as usize } else { all.len() };
        RangeResponse {
            header: self.header(),
            more: all.len() > most,
            count: all.len() as i64,
            kvs: all.into_iter().take(most).cloned().collect(),
        }
    }

    fn put(&mut self, ask: &PutRequest, revision: i64) -> Result<(), Fault> {
        if ask.lease != 0 && !self.leases.contains_key(&ask.lease) {
            return Err(Fault::NoLease);
        }
        let before = self.keys.get(&ask.key);
        let kv = KeyValue {
            key: ask.key.clone(),
            create_revision: before.map_or(revision, |b| b.create_revision),
            mod_revision: revision,
            version: before.map_or(1, |b| b.version + 1),
            value: ask.value.clone(),
            lease: ask.lease,
        };
        if let Some(old) = before.and_then(|b| self.leases.get_mut(&b.lease)) {
            old.keys.remove(&ask.key);
        }
        if let Some(lease) = self.leases.get_mut(&ask.lease) {
            lease.keys.insert(ask.key.clone());
        }
        self.events.push(Event { kind: EventType::Put as i32, kv: Some(kv.clone()) });
        self.keys.insert(ask.key.clone(), kv);
        Ok(())
    }

    fn delete(&mut self, key: &[u8], revision: i64) {
        if self.keys.remove(key).is_some() {
            let kv = KeyValue { key: key.to_vec(), mod_revision: revision, ..KeyValue::default() };
            self.events.push(Event { kind: EventType::Delete as i32, kv: Some(kv) });
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let (stands, with) = match compare.with {
            Some(CompareWith::Version(with)) => (kv.map_or(0, |kv| kv.version), with),
            Some(CompareWith::CreateRevision(with)) => (kv.map_or(0, |kv| kv.create_revision), with),
            None => (0, 0),
        };
        match CompareResult::try_from(compare.result) {
            Ok(CompareResult::Equal) => stands == with,
            Ok(CompareResult::Greater) => stands > with,
            Ok(CompareResult::Less) => stands < with,
            Ok(CompareResult::NotEqual) => stands != with,
            Err(_) => false,
        }
    }

    pub fn txn(&mut self, ask: &TxnRequest) -> Result<TxnResponse, Fault> {
        let steps = ask.success.len().max(ask.failure.len()).max(ask.compare.len());
        if steps > STEPS_MOST {
            return Err(Fault::TooMany);
        }
        for side in [&ask.success, &ask.failure] {
            let mut put = BTreeSet::new();
            for op in side {
                if let Some(Step::Put(p)) = &op.request {
                    let deleted = |op: &RequestOp| match &op.request {
                        Some(Step::Delete(d)) => within(&p.key, &d.key, &d.range_end),
                        _ => false,
                    };
                    if !put.insert(&p.key) || side.iter().any(deleted) {
                        return Err(Fault::Duplicate);
                    }
                }
            }
        }
        let succeeded = ask.compare.iter().all(|c| self.holds(c));
        let steps = if succeeded { &ask.success } else { &ask.failure };
        for op in steps {
            if let Some(Step::Put(p)) = &op.request {
                if p.lease != 0 && !self.leases.contains_key(&p.lease) {
                    return Err(Fault::NoLease);
                }
            }
        }
        if self.full && steps.iter().any(|op| matches!(op.request, Some(Step::Put(_)))) {
            return Err(Fault::Full);
        }
        let writes = steps.iter().any(|op| !matches!(op.request, Some(Step::Range(_)) | None));
        if writes {
            self.revision += 1;
            self.transactions += 1;
        }
        let revision = self.revision;
        let mut responses = Vec::new();
        for op in steps {
            let response = match &op.request {
                Some(Step::Range(r)) => Some(Done::Range(self.range(r))),
                Some(Step::Put(p)) => {
                    self.put(p, revision)?;
                    Some(Done::Put(PutResponse { header: None }))
                }
                Some(Step::Delete(d)) => {
                    let gone: Vec<Vec<u8>> =
                        self.keys.keys().filter(|k| within(k, &d.key, &d.range_end)).cloned().collect();
                    gone.iter().for_each(|k| self.delete(k, revision));
                    Some(Done::Delete(DeleteRangeResponse { header: None, deleted: gone.len() as i64 }))
                }
                None => None,
            };
            responses.push(ResponseOp { response });
        }
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    pub fn grant(&mut self, ttl: i64, now: u64) -> LeaseGrantResponse {
        self.next_lease += 1;
        let (id, seconds) = (self.next_lease, ttl.max(1) as u64);
        let lease = Lease { ttl: seconds * 1000, until: now + seconds * 1000, keys: BTreeSet::new() };
        self.leases.insert(id, lease);
        LeaseGrantResponse { header: self.header(), id, ttl }
    }

    pub fn keep_alive(&mut self, id: i64, now: u64) -> LeaseKeepAliveResponse {
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.until = now + lease.ttl;
            (lease.ttl / 1000) as i64
        });
        LeaseKeepAliveResponse { header: self.header(), id, ttl }
    }

    pub fn revoke(&mut self, id: i64) -> Result<LeaseRevokeResponse, Fault> {
        let lease = self.leases.remove(&id).ok_or(Fault::NoLease)?;
        if !lease.keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            lease.keys.iter().for_each(|k| self.delete(k, revision));
        }
        Ok(LeaseRevokeResponse { header: self.header() })
    }

    /// Ends the leases whose time is over.
    pub fn tick(&mut self, now: u64) {
        let over: Vec<i64> = self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in over {
            let _ = self.revoke(id);
        }
    }

    /// Keys under a prefix with their values, for tests.
    pub fn entries_under(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let under = self.keys.iter().filter(|(key, _)| key.starts_with(prefix.as_bytes()));
        under.map(|(key, kv)| (String::from_utf8_lossy(key).into_owned(), kv.value.clone())).collect()
    }

    /// Puts a key that goes with no lease, for tests.
    pub fn put_entry(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let (key, revision) = (key.as_bytes().to_vec(), self.revision);
        // A key without a lease is always taken.
        let _ = self.put(&PutRequest { key, value, lease: 0 }, revision);
    }

    /// Keys that there are, for tests.
    pub fn keys_under(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix.as_bytes())).count()
    }
}
