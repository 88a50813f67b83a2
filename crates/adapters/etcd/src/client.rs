//! Calls of etcd's v3 API.

use prost::Message;
use rushquay_grpc_transport::DialNamed;
use std::time::Duration;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};
use tonic::{Code, Request, Status, Streaming};
use tonic_prost::ProstCodec;

/// An answer is at most this long: a history of a hundred thousand events is read in pages.
const ANSWER_MOST: usize = 64 << 20;

/// Some endpoints of one cluster, asked one after another.
pub(crate) struct Client {
    channels: Vec<Channel>,
    /// The one that answered last.
    good: std::sync::atomic::AtomicUsize,
    within: Duration,
}

/// Whether another endpoint might do better: this one can't be reached, has no leader, or is too busy.
fn elsewhere(status: &Status) -> bool {
    matches!(status.code(), Code::Unavailable | Code::DeadlineExceeded | Code::Cancelled | Code::Unknown)
}

impl Client {
    /// Connects when something is asked. Must be called on a runtime.
    pub fn new(
        endpoints: &[String],
        within: Duration,
        tls: Option<ClientTlsConfig>,
    ) -> Result<Client, tonic::transport::Error> {
        let channel = |uri: &String| {
            let mut endpoint = Endpoint::from_shared(uri.clone())?.connect_timeout(within);
            if let Some(tls) = &tls {
                endpoint = endpoint.tls_config(tls.clone())?;
            }
            let endpoint = endpoint.http2_keep_alive_interval(within).keep_alive_timeout(within);
            // Danger: read by the runtime itself, an answer that comes in parts may be waited for in vain.
            Ok(endpoint.connect_with_connector_lazy(DialNamed))
        };
        let channels = endpoints.iter().map(channel).collect::<Result<_, tonic::transport::Error>>()?;
        Ok(Client { channels, good: std::sync::atomic::AtomicUsize::new(0), within })
    }

    async fn grpc(&self, at: usize) -> Result<Grpc<Channel>, Status> {
        let mut grpc = Grpc::new(self.channels[at].clone()).max_decoding_message_size(ANSWER_MOST);
        grpc.ready().await.map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(grpc)
    }

    /// Danger: a call that failed at one endpoint may have been carried out there. What is asked here may be carried out
    /// twice: reads, writes under a lease, and leases that end by themselves where nobody knows of them.
    pub async fn call<A, B>(&self, path: &'static str, ask: A) -> Result<B, Status>
    where
        A: Message + Clone + Default + 'static,
        B: Message + Default + 'static,
    {
        let path = PathAndQuery::from_static(path);
        self.any(async |at| {
            let mut grpc = self.grpc(at).await?;
            let codec = ProstCodec::<A, B>::default();
            Ok(grpc.unary(Request::new(ask.clone()), path.clone(), codec).await?.into_inner())
        })
        .await
    }

    /// Asks one question on a call that is a stream either way, and gives what comes back on it.
    pub async fn stream<A, B>(&self, path: &'static str, ask: A) -> Result<Streaming<B>, Status>
    where
        A: Message + Clone + Default + 'static,
        B: Message + Default + 'static,
    {
        let path = PathAndQuery::from_static(path);
        self.any(async |at| {
            let mut grpc = self.grpc(at).await?;
            let codec = ProstCodec::<A, B>::default();
            // Danger: the call ends when its questions do.
            let asks =
                tokio_stream::StreamExt::chain(tokio_stream::once(ask.clone()), tokio_stream::pending::<A>());
            Ok(grpc.streaming(Request::new(asks), path.clone(), codec).await?.into_inner())
        })
        .await
    }

    async fn any<T>(&self, mut of: impl AsyncFnMut(usize) -> Result<T, Status>) -> Result<T, Status> {
        let first = self.good.load(std::sync::atomic::Ordering::Relaxed);
        let mut last = Status::unavailable("no endpoint");
        for i in 0..self.channels.len() {
            let at = (first + i) % self.channels.len();
            let answered = tokio::time::timeout(self.within, of(at)).await;
            match answered.unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time"))) {
                Err(status) if elsewhere(&status) => last = status,
                done => {
                    self.good.store(at, std::sync::atomic::Ordering::Relaxed);
                    return done;
                }
            }
        }
        Err(last)
    }
}
