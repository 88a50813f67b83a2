//! [`SharedState`] in etcd.

use crate::client::Client;
use crate::messages::*;
use rushquay_overrides::{Override, OverrideEvent as BookEvent, OverrideLimits, OverrideSet};
use rushquay_state::{
    sealed, unsealed, Campaign, EndpointWrite, HeldLease, OverrideWrite, RecordWrite, StoredEndpoint,
    StoredState,
};
use rushquay_state::{SharedError, SharedState, StateError};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::future::Future;
use std::path::PathBuf;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tonic::transport::ClientTlsConfig;
use tonic::{Code, Status};

/// Steps of a transaction: etcd takes 128 unless it is told otherwise (`--max-txn-ops`).
const STEPS: usize = 100;
/// Keys read at a time.
const PAGE: i64 = 2000;

/// Where in etcd's keys the state stands. Everything under it is this service's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix(String);

impl Prefix {
    /// Checked: not empty, and with a slash at its end.
    pub fn new(text: &str) -> Option<Prefix> {
        let text = text.trim_end_matches('/');
        (!text.is_empty()).then(|| Prefix(format!("{text}/")))
    }

    fn key(&self, name: &str) -> Vec<u8> {
        format!("{}{name}", self.0).into_bytes()
    }

    /// Numbers in the order of their keys.
    fn numbered(&self, table: &str, number: u64) -> Vec<u8> {
        self.key(&format!("{table}/{number:020}"))
    }
}

/// The first key behind all that begin so.
fn behind(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.last_mut() {
        if *last < 0xff {
            *last += 1;
            return end;
        }
        end.pop();
    }
    // Up to the end of all.
    vec![0]
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Numbers {
    next: u64,
    revision: u64,
}

/// Leases and state in an etcd cluster.
pub struct EtcdShared {
    // Danger: dropped on a runtime's own thread a runtime may not wait for its end.
    runtime: Option<Runtime>,
    client: Client,
    endpoints: Vec<String>,
    prefix: Prefix,
    /// The lease asked for last: a campaign whose answer was lost is gone on with under it.
    lease: AtomicI64,
    within: Duration,
}

impl EtcdShared {
    /// For endpoints such as `http://127.0.0.1:2379`. Each call waits for at most `within` at each of them. Nothing is asked
    /// yet.
    ///
    /// # Errors
    /// An endpoint that is none, or no thread to be had.
    pub fn new(
        endpoints: &[String],
        prefix: Prefix,
        within: Duration,
        tls: Option<ClientTlsConfig>,
    ) -> Result<Self, String> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let client = {
            let _on = runtime.enter();
            Client::new(endpoints, within, tls).map_err(|e| format!("{}: {e}", endpoints.join(", ")))?
        };
        Ok(EtcdShared {
            runtime: Some(runtime),
            client,
            endpoints: endpoints.to_vec(),
            prefix,
            lease: AtomicI64::new(0),
            within,
        })
    }

    fn wait_for<T>(&self, what: impl Future<Output = Result<T, Status>>) -> Result<T, SharedError> {
        let Some(runtime) = &self.runtime else {
            return Err(SharedError::Unreachable("etcd: the service is ending".into()));
        };
        runtime.block_on(what).map_err(|status| {
            let at =
                format!("etcd at {}: {:?}: {}", self.endpoints.join(", "), status.code(), status.message());
            match status.code() {
                // What etcd itself says of its own room.
                Code::ResourceExhausted if status.message().contains("space") => {
                    SharedError::State(StateError::Full(PathBuf::from(at)))
                }
                _ => SharedError::Unreachable(at),
            }
        })
    }

    async fn range(&self, from: Vec<u8>, to: Vec<u8>) -> Result<Vec<KeyValue>, Status> {
        let (mut all, mut key, mut revision) = (Vec::new(), from, 0);
        loop {
            let ask = RangeRequest { key, range_end: to.clone(), limit: PAGE, revision };
            let page: RangeResponse = self.client.call(path::RANGE, ask).await?;
            // The rest as of the same revision.
            if revision == 0 {
                revision = page.header.map_or(0, |h| h.revision);
            }
            let more = page.more;
            all.extend(page.kvs);
            let Some(last) = all.last().filter(|_| more) else { return Ok(all) };
            key = last.key.clone();
            key.push(0);
        }
    }

    async fn under(&self, name: &str) -> Result<Vec<KeyValue>, Status> {
        let from = self.prefix.key(name);
        let to = behind(&from);
        self.range(from, to).await
    }

    /// Carries steps out while the lease is held, in as many transactions as etcd wants.
    fn commit(&self, held: HeldLease, steps: Vec<Step>) -> Result<(), SharedError> {
        let leads = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Create as i32,
            key: self.prefix.key("leader"),
            with: Some(CompareWith::CreateRevision(held.epoch as i64)),
        };
        for some in steps.chunks(STEPS) {
            let success = some.iter().map(|s| RequestOp { request: Some(s.clone()) }).collect();
            let ask = TxnRequest { compare: vec![leads.clone()], success, failure: Vec::new() };
            let done: TxnResponse = self.wait_for(self.client.call(path::TXN, ask))?;
            if !done.succeeded {
                return Err(SharedError::Fenced(held.epoch));
            }
        }
        Ok(())
    }

    async fn campaigning(&self, me: &str, ttl: Duration) -> Result<Campaign, Status> {
        let leader = self.prefix.key("leader");
        let mut lease = self.lease.load(Ordering::Relaxed);
        if lease == 0 || self.alive(lease).await? == 0 {
            // Danger: etcd counts in whole seconds; rounded up, the store holds it for longer than the leader leans on it.
            let ttl = ttl.as_secs() as i64 + i64::from(ttl.subsec_nanos() > 0);
            let granted: LeaseGrantResponse =
                self.client.call(path::LEASE_GRANT, LeaseGrantRequest { ttl, id: 0 }).await?;
            lease = granted.id;
            self.lease.store(lease, Ordering::Relaxed);
        }
        let free = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Create as i32,
            key: leader.clone(),
            with: Some(CompareWith::CreateRevision(0)),
        };
        let put = Step::Put(PutRequest { key: leader.clone(), value: me.as_bytes().to_vec(), lease });
        let get = Step::Range(RangeRequest { key: leader, ..RangeRequest::default() });
        let op = |step| RequestOp { request: Some(step) };
        // Read in either case: a campaign that won and whose answer was lost finds its own key.
        let ask = TxnRequest {
            compare: vec![free],
            success: vec![op(put), op(get.clone())],
            failure: vec![op(get)],
        };
        let done: TxnResponse = self.client.call(path::TXN, ask).await?;
        let found = done.responses.into_iter().find_map(|r| match r.response {
            Some(Done::Range(range)) => range.kvs.into_iter().next(),
            _ => None,
        });
        let found = found.ok_or_else(|| Status::internal("the leader's key is not where it was put"))?;
        Ok(match found.lease == lease {
            true => Campaign::Won(HeldLease { epoch: found.create_revision as u64, lease }),
            false => Campaign::Taken { by: String::from_utf8_lossy(&found.value).into_owned() },
        })
    }

    /// Lets a lease run on; its time in seconds, 0: it is over.
    async fn alive(&self, lease: i64) -> Result<i64, Status> {
        let mut answers: tonic::Streaming<LeaseKeepAliveResponse> =
            self.client.stream(path::LEASE_KEEP_ALIVE, LeaseKeepAliveRequest { id: lease }).await?;
        let answer = tokio::time::timeout(self.within, answers.message()).await;
        let answer = answer.map_err(|_| Status::deadline_exceeded("no answer in time"))??;
        Ok(answer.map_or(0, |a| a.ttl))
    }

    fn fault(&self, key: &[u8], fault: rushquay_state::RecordError) -> SharedError {
        let path = PathBuf::from(format!("etcd at {}", self.endpoints.join(", ")));
        let key = String::from_utf8_lossy(key).into_owned();
        SharedError::State(StateError::Record { path, table: "etcd", key, fault })
    }

    fn read<T: DeserializeOwned>(&self, kv: &KeyValue) -> Result<T, SharedError> {
        unsealed(&kv.value).map_err(|f| self.fault(&kv.key, f))
    }
}

impl SharedState for EtcdShared {
    fn name(&self) -> String {
        format!("etcd at {} under {}", self.endpoints.join(", "), self.prefix.0)
    }

    fn campaign(&self, me: &str, ttl: Duration) -> Result<Campaign, SharedError> {
        self.wait_for(self.campaigning(me, ttl))
    }

    fn renew(&self, held: HeldLease) -> Result<(), SharedError> {
        match self.wait_for(self.alive(held.lease))? {
            0 => Err(SharedError::Fenced(held.epoch)),
            // The lease may live while somebody has deleted the key.
            _ => self.commit(
                held,
                vec![Step::Range(RangeRequest { key: self.prefix.key("leader"), ..RangeRequest::default() })],
            ),
        }
    }

    fn resign(&self, held: HeldLease) -> Result<(), SharedError> {
        self.lease.store(0, Ordering::Relaxed);
        let ask = LeaseRevokeRequest { id: held.lease };
        self.wait_for(self.client.call::<_, LeaseRevokeResponse>(path::LEASE_REVOKE, ask)).map(drop)
    }

    fn wait(&self, most: Duration) {
        let start = Instant::now();
        let key = self.prefix.key("leader");
        let watched = self.wait_for(async {
            let watching = async {
                let create = WatchCreateRequest { key: key.clone(), ..WatchCreateRequest::default() };
                let ask = WatchRequest { request: Some(WatchAsk::Create(create)) };
                let mut news: tonic::Streaming<WatchResponse> = self.client.stream(path::WATCH, ask).await?;
                let mut looked = false;
                while let Some(told) = news.message().await? {
                    // Danger: what went before the watch was made is told to nobody.
                    if told.created && !looked {
                        looked = true;
                        if self.range(key.clone(), Vec::new()).await?.is_empty() {
                            return Ok(());
                        }
                    }
                    if told.canceled {
                        return Err(Status::unavailable("the watch has ended"));
                    }
                    if told.events.iter().any(|e| e.kind == EventType::Delete as i32) {
                        return Ok(());
                    }
                }
                Err(Status::unavailable("the watch has ended"))
            };
            tokio::time::timeout(most, watching).await.unwrap_or(Ok(()))
        });
        if watched.is_err() {
            // As long as it would have watched: what can't be reached is not asked without a pause.
            std::thread::sleep(most.saturating_sub(start.elapsed()));
        }
    }

    fn load(&self, policy: OverrideLimits) -> Result<(StoredState, OverrideSet), SharedError> {
        let mut saved = StoredState::default();
        if let Some(kv) = self.wait_for(self.range(self.prefix.key("version"), Vec::new()))?.first() {
            saved.version = Some(self.read(kv)?);
        }
        for kv in self.wait_for(self.under("nodes/"))? {
            let kept = StoredEndpoint::read(&kv.value).map_err(|f| self.fault(&kv.key, f))?;
            saved.nodes.push(kept.into());
        }
        let (mut live, mut events) = (Vec::<Override>::new(), Vec::<BookEvent>::new());
        for kv in self.wait_for(self.under("overrides/"))? {
            live.push(self.read(&kv)?);
        }
        for kv in self.wait_for(self.under("history/"))? {
            events.push(self.read(&kv)?);
        }
        let numbers = match self.wait_for(self.range(self.prefix.key("book"), Vec::new()))?.first() {
            Some(kv) => self.read(kv)?,
            None => Numbers { next: 1, revision: 0 },
        };
        Ok((saved, OverrideSet::restore(policy, live, events, numbers.next, numbers.revision)))
    }

    fn keep(&self, held: HeldLease, change: &EndpointWrite) -> Result<(), SharedError> {
        let node = |id: &str| self.prefix.key(&format!("nodes/{id}"));
        let mut steps = Vec::new();
        if change.whole {
            let all = self.prefix.key("nodes/");
            let range_end = behind(&all);
            steps.push(Step::Delete(DeleteRangeRequest { key: all, range_end }));
        }
        for stated in &change.set {
            let (key, value) = (node(&stated.member.id), StoredEndpoint::from(stated).record());
            steps.push(Step::Put(PutRequest { key, value, lease: 0 }));
        }
        let gone = change.gone.iter().map(|id| DeleteRangeRequest { key: node(id), range_end: Vec::new() });
        steps.extend(gone.map(Step::Delete));
        // The version last: where it takes several transactions, each node's record says by itself which list it is from.
        if let Some(version) = change.version {
            let value = sealed(&version);
            steps.push(Step::Put(PutRequest { key: self.prefix.key("version"), value, lease: 0 }));
        }
        self.commit(held, steps)
    }

    fn keep_book(&self, held: HeldLease, change: &OverrideWrite) -> Result<(), SharedError> {
        // Keys of what is no longer live; etcd refuses two steps on one key in a transaction.
        let live: std::collections::BTreeMap<Vec<u8>, &Override> =
            change.live.iter().map(|o| (self.prefix.numbered("overrides", o.id), o)).collect();
        let kept = self.wait_for(self.under("overrides/"))?;
        let kept: std::collections::BTreeMap<&[u8], &[u8]> =
            kept.iter().map(|kv| (kv.key.as_slice(), kv.value.as_slice())).collect();
        let mut steps = Vec::new();
        for (key, one) in &live {
            let value = sealed(*one);
            if kept.get(key.as_slice()) != Some(&value.as_slice()) {
                steps.push(Step::Put(PutRequest { key: key.clone(), value, lease: 0 }));
            }
        }
        for key in kept.keys().filter(|key| !live.contains_key(**key)) {
            steps.push(Step::Delete(DeleteRangeRequest { key: key.to_vec(), range_end: Vec::new() }));
        }
        for event in &change.events {
            let key = self.prefix.numbered("history", event.number);
            steps.push(Step::Put(PutRequest { key, value: sealed(event), lease: 0 }));
        }
        // Danger: a history that is never cut grows for ever.
        if let Some(last) = change.events.last().map(|e| e.number) {
            let keep_from = (last + 1).saturating_sub(change.history as u64);
            let oldest = change.events.first().map_or(last, |e| e.number);
            if keep_from > 1 && keep_from <= oldest {
                let (key, range_end) =
                    (self.prefix.numbered("history", 0), self.prefix.numbered("history", keep_from));
                steps.push(Step::Delete(DeleteRangeRequest { key, range_end }));
            }
        }
        let value = sealed(&Numbers { next: change.next, revision: change.revision });
        steps.push(Step::Put(PutRequest { key: self.prefix.key("book"), value, lease: 0 }));
        self.commit(held, steps)
    }

    fn load_records(&self) -> Result<BTreeMap<String, Value>, SharedError> {
        let start = self.prefix.key("records/");
        let name =
            |kv: &KeyValue| String::from_utf8_lossy(&kv.key[start.len().min(kv.key.len())..]).into_owned();
        let found = self.wait_for(self.under("records/"))?;
        found.iter().map(|kv| Ok((name(kv), self.read(kv)?))).collect()
    }

    fn keep_records(&self, held: HeldLease, change: &RecordWrite) -> Result<(), SharedError> {
        let key = |name: &str| self.prefix.key(&format!("records/{name}"));
        let put = |(name, content): (&String, &Value)| {
            Step::Put(PutRequest { key: key(name), value: sealed(content), lease: 0 })
        };
        let gone = |name: &String| Step::Delete(DeleteRangeRequest { key: key(name), range_end: Vec::new() });
        // Etcd refuses two steps on one key in a transaction.
        let gone = change.gone.iter().filter(|name| !change.set.contains_key(*name)).map(gone);
        self.commit(held, change.set.iter().map(put).chain(gone).collect())
    }
}

impl Drop for EtcdShared {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_behind_a_prefix() {
        assert_eq!(behind(b"a/"), b"a0");
        assert_eq!(behind(&[1, 0xff]), [2]);
        assert_eq!(behind(&[0xff]), [0]);
        assert_eq!(Prefix::new("/"), None);
        assert_eq!(Prefix::new("/rushquay").map(|p| p.key("leader")), Some(b"/rushquay/leader".to_vec()));
    }
}
