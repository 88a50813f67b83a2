//! The client side of the shared state in etcd: leases, transactions and reads.

mod state;

use crate::client::Client;
use crate::messages::*;
use crate::prefix::{range_end, Prefix};
use rushquay_state::{unsealed, Campaign, HeldLease, SharedError, StateError};
use serde::de::DeserializeOwned;
use std::future::Future;
use std::path::PathBuf;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;
use tokio::runtime::Runtime;
use tonic::transport::ClientTlsConfig;
use tonic::{Code, Status};

/// The most operations of a transaction: etcd accepts 128 by default (`--max-txn-ops`).
const MAX_TXN_OPERATIONS: usize = 100;
/// How many keys are read at a time.
const PAGE_KEYS: i64 = 2000;

/// The leader's lease and the shared state in an etcd cluster.
pub struct EtcdShared {
    // Danger: a runtime that is dropped on another runtime's thread may not block until it has ended.
    runtime: Option<Runtime>,
    client: Client,
    endpoints: Vec<String>,
    prefix: Prefix,
    /// The lease granted last: a campaign whose response was lost is resumed under it.
    lease: AtomicI64,
    timeout: Duration,
}

impl EtcdShared {
    /// Creates a client for endpoints such as `http://127.0.0.1:2379`. Each call waits for at most `timeout` at each
    /// of them. No call is made yet.
    ///
    /// # Errors
    /// An invalid endpoint, or no thread can be started.
    pub fn new(
        endpoints: &[String],
        prefix: Prefix,
        timeout: Duration,
        tls: Option<ClientTlsConfig>,
    ) -> Result<Self, String> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let client = {
            let _guard = runtime.enter();
            Client::new(endpoints, timeout, tls).map_err(|e| format!("{}: {e}", endpoints.join(", ")))?
        };
        Ok(EtcdShared {
            runtime: Some(runtime),
            client,
            endpoints: endpoints.to_vec(),
            prefix,
            lease: AtomicI64::new(0),
            timeout,
        })
    }

    pub(super) fn wait_for<T>(
        &self,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, SharedError> {
        let Some(runtime) = &self.runtime else {
            return Err(SharedError::Unreachable("etcd: the service is ending".into()));
        };
        runtime.block_on(call).map_err(|status| {
            let location =
                format!("etcd at {}: {:?}: {}", self.endpoints.join(", "), status.code(), status.message());
            match status.code() {
                // etcd reports that its own storage is full.
                Code::ResourceExhausted if status.message().contains("space") => {
                    SharedError::State(StateError::Full(PathBuf::from(location)))
                }
                _ => SharedError::Unreachable(location),
            }
        })
    }

    pub(super) fn leader_key(&self) -> Vec<u8> {
        self.prefix.key("leader")
    }

    pub(super) async fn range(&self, from: Vec<u8>, to: Vec<u8>) -> Result<Vec<KeyValue>, Status> {
        let (mut all, mut key, mut revision) = (Vec::new(), from, 0);
        loop {
            let request = RangeRequest { key, range_end: to.clone(), limit: PAGE_KEYS, revision };
            let page: RangeResponse = self.client.call(path::RANGE, request).await?;
            // Read the other pages as of the same revision.
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

    pub(super) async fn range_under(&self, name: &str) -> Result<Vec<KeyValue>, Status> {
        let from = self.prefix.key(name);
        let to = range_end(&from);
        self.range(from, to).await
    }

    /// Executes operations while the lease is held, in as many transactions as etcd's limit requires.
    pub(super) fn commit(&self, held: HeldLease, operations: Vec<Step>) -> Result<(), SharedError> {
        let is_leader = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Create as i32,
            key: self.leader_key(),
            with: Some(CompareWith::CreateRevision(held.epoch as i64)),
        };
        for chunk in operations.chunks(MAX_TXN_OPERATIONS) {
            let success = chunk.iter().map(|s| RequestOp { request: Some(s.clone()) }).collect();
            let request = TxnRequest { compare: vec![is_leader.clone()], success, failure: Vec::new() };
            let response: TxnResponse = self.wait_for(self.client.call(path::TXN, request))?;
            if !response.succeeded {
                return Err(SharedError::Fenced(held.epoch));
            }
        }
        Ok(())
    }

    pub(super) async fn try_campaign(&self, candidate: &str, ttl: Duration) -> Result<Campaign, Status> {
        let leader = self.leader_key();
        let mut lease = self.lease.load(Ordering::Relaxed);
        if lease == 0 || self.keep_alive(lease).await? == 0 {
            // Danger: etcd counts in whole seconds. Rounded up, the store holds the lease for longer than the leader
            // relies on it.
            let ttl = ttl.as_secs() as i64 + i64::from(ttl.subsec_nanos() > 0);
            let granted: LeaseGrantResponse =
                self.client.call(path::LEASE_GRANT, LeaseGrantRequest { ttl, id: 0 }).await?;
            lease = granted.id;
            self.lease.store(lease, Ordering::Relaxed);
        }
        let is_free = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Create as i32,
            key: leader.clone(),
            with: Some(CompareWith::CreateRevision(0)),
        };
        let put = Step::Put(PutRequest { key: leader.clone(), value: candidate.as_bytes().to_vec(), lease });
        let get = Step::get(leader);
        let op = |operation| RequestOp { request: Some(operation) };
        // Read in either case: a candidate that won and whose response was lost finds its own key.
        let request = TxnRequest {
            compare: vec![is_free],
            success: vec![op(put), op(get.clone())],
            failure: vec![op(get)],
        };
        let response: TxnResponse = self.client.call(path::TXN, request).await?;
        let found = response.responses.into_iter().find_map(|r| match r.response {
            Some(Done::Range(range)) => range.kvs.into_iter().next(),
            _ => None,
        });
        let found = found.ok_or_else(|| Status::internal("the leader's key is not where it was put"))?;
        Ok(match found.lease == lease {
            true => Campaign::Won(HeldLease { epoch: found.create_revision as u64, lease }),
            false => Campaign::Taken { by: String::from_utf8_lossy(&found.value).into_owned() },
        })
    }

    /// Renews a lease; returns its time in seconds, 0 where it has expired. Danger: a call that ends without an answer says nothing of the
    /// lease; taken for an expired one, the leader would step down under a lease that it holds.
    pub(super) async fn keep_alive(&self, lease: i64) -> Result<i64, Status> {
        let mut answers: tonic::Streaming<LeaseKeepAliveResponse> =
            self.client.stream(path::LEASE_KEEP_ALIVE, LeaseKeepAliveRequest { id: lease }).await?;
        let answer = tokio::time::timeout(self.timeout, answers.message()).await;
        let answer = answer.map_err(|_| Status::deadline_exceeded("no answer in time"))??;
        let answer = answer.ok_or_else(|| Status::unavailable("the keep-alive ended without an answer"))?;
        Ok(answer.ttl)
    }

    /// Watches the leader's key until it is deleted, or not there to begin with.
    pub(super) async fn until_leader_key_is_deleted(&self) -> Result<(), Status> {
        let key = self.leader_key();
        let create = WatchCreateRequest { key: key.clone(), ..WatchCreateRequest::default() };
        let request = WatchRequest { request: Some(WatchAsk::Create(create)) };
        let mut events: tonic::Streaming<WatchResponse> = self.client.stream(path::WATCH, request).await?;
        let mut has_checked = false;
        while let Some(response) = events.message().await? {
            // Danger: the watch does not report what happened before it was created.
            if response.created && !has_checked {
                has_checked = true;
                if self.range(key.clone(), Vec::new()).await?.is_empty() {
                    return Ok(());
                }
            }
            if response.canceled {
                return Err(Status::unavailable("the watch has ended"));
            }
            if response.events.iter().any(|e| e.kind == EventType::Delete as i32) {
                return Ok(());
            }
        }
        Err(Status::unavailable("the watch has ended"))
    }

    pub(super) fn record_error(&self, key: &[u8], error: rushquay_state::RecordError) -> SharedError {
        let path = PathBuf::from(format!("etcd at {}", self.endpoints.join(", ")));
        let key = String::from_utf8_lossy(key).into_owned();
        SharedError::State(StateError::Record { path, table: "etcd", key, fault: error })
    }

    pub(super) fn parse<T: DeserializeOwned>(&self, kv: &KeyValue) -> Result<T, SharedError> {
        unsealed(&kv.value).map_err(|e| self.record_error(&kv.key, e))
    }
}

impl Drop for EtcdShared {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
