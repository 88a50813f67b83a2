//! A client for calls of etcd's v3 API, with failover between the endpoints of a cluster.

use prost::Message;
use rushquay_grpc_transport::DialNamed;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};
use tonic::{Code, Request, Status, Streaming};
use tonic_prost::ProstCodec;

/// The longest response: a history of a hundred thousand events is read in pages.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The endpoints of one cluster, tried one after another.
pub(crate) struct Client {
    channels: Vec<Channel>,
    /// The index of the endpoint that answered last.
    last_good: AtomicUsize,
    timeout: Duration,
}

/// Whether another endpoint may succeed: this one is unreachable, has no leader, or is overloaded.
fn should_try_next(status: &Status) -> bool {
    matches!(status.code(), Code::Unavailable | Code::DeadlineExceeded | Code::Cancelled | Code::Unknown)
}

impl Client {
    /// Creates a client that connects on the first call. Must be called on a runtime.
    pub fn new(
        endpoints: &[String],
        timeout: Duration,
        tls: Option<ClientTlsConfig>,
    ) -> Result<Client, tonic::transport::Error> {
        let channel = |uri: &String| {
            let mut endpoint = Endpoint::from_shared(uri.clone())?.connect_timeout(timeout);
            if let Some(tls) = &tls {
                endpoint = endpoint.tls_config(tls.clone())?;
            }
            let endpoint = endpoint.http2_keep_alive_interval(timeout).keep_alive_timeout(timeout);
            // Danger: read by the runtime itself, a response that arrives in parts may never be completed.
            Ok(endpoint.connect_with_connector_lazy(DialNamed))
        };
        let channels = endpoints.iter().map(channel).collect::<Result<_, tonic::transport::Error>>()?;
        Ok(Client { channels, last_good: AtomicUsize::new(0), timeout })
    }

    async fn grpc(&self, index: usize) -> Result<Grpc<Channel>, Status> {
        let mut grpc = Grpc::new(self.channels[index].clone()).max_decoding_message_size(MAX_RESPONSE_BYTES);
        grpc.ready().await.map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(grpc)
    }

    /// Danger: a call that failed at one endpoint may have been carried out there, and may be carried out twice. Only
    /// calls for which that is harmless may be made here: reads, writes under a lease, and leases, which expire by
    /// themselves where nobody knows of them.
    pub async fn call<Req, Resp>(&self, path: &'static str, request: Req) -> Result<Resp, Status>
    where
        Req: Message + Clone + Default + 'static,
        Resp: Message + Default + 'static,
    {
        let path = PathAndQuery::from_static(path);
        self.try_endpoints(async |index| {
            let mut grpc = self.grpc(index).await?;
            let codec = ProstCodec::<Req, Resp>::default();
            Ok(grpc.unary(Request::new(request.clone()), path.clone(), codec).await?.into_inner())
        })
        .await
    }

    /// Sends one request on a bidirectional stream, and returns the stream of responses.
    pub async fn stream<Req, Resp>(&self, path: &'static str, request: Req) -> Result<Streaming<Resp>, Status>
    where
        Req: Message + Clone + Default + 'static,
        Resp: Message + Default + 'static,
    {
        let path = PathAndQuery::from_static(path);
        self.try_endpoints(async |index| {
            let mut grpc = self.grpc(index).await?;
            let codec = ProstCodec::<Req, Resp>::default();
            // Danger: the call ends when its request stream does.
            let requests = tokio_stream::StreamExt::chain(
                tokio_stream::once(request.clone()),
                tokio_stream::pending::<Req>(),
            );
            Ok(grpc.streaming(Request::new(requests), path.clone(), codec).await?.into_inner())
        })
        .await
    }

    async fn try_endpoints<T>(
        &self,
        mut call: impl AsyncFnMut(usize) -> Result<T, Status>,
    ) -> Result<T, Status> {
        let first = self.last_good.load(Ordering::Relaxed);
        let mut last_error = Status::unavailable("no endpoint");
        for offset in 0..self.channels.len() {
            let index = (first + offset) % self.channels.len();
            let result = tokio::time::timeout(self.timeout, call(index)).await;
            match result.unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time"))) {
                Err(status) if should_try_next(&status) => last_error = status,
                result => {
                    self.last_good.store(index, Ordering::Relaxed);
                    return result;
                }
            }
        }
        Err(last_error)
    }
}
