//! The gRPC services: ADS, CDS and EDS, each state-of-the-world and delta.

use crate::hub::{lock, Hub, Registration};
use crate::{convert, Tls};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::cluster::v3::cluster_discovery_service_server::{
    ClusterDiscoveryService, ClusterDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::envoy::service::endpoint::v3::endpoint_discovery_service_server::{
    EndpointDiscoveryService, EndpointDiscoveryServiceServer,
};
use rushquay_grpc_transport::Incoming;
use rushquay_xds::client::Topic;
use rushquay_xds::server::{Answer, RequestOutcome, Stream as Machine, StreamError, Variant};
use rushquay_xds::Kind;
use std::future::Future;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::{Request, Response, Status, Streaming};

/// An idle peer is pinged after this time; a machine that vanished never answers.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// The connection is closed without an answer to the ping within this time.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Metadata of a response: the server's Unix time in nanoseconds when it was made, so that a client can measure the
/// offset between the clocks.
pub(crate) const TIME_METADATA: &str = "rushquay-unix-ns";
/// Metadata of an error: this server is in standby.
pub(crate) const STANDBY_METADATA: &str = "rushquay-stands-by";
/// The most streams on one connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 100;

/// The messages of a variant.
trait Wire: Send + 'static {
    const VARIANT: Variant;
    type Request: Send + 'static;
    type Response: Send + 'static;
    fn node(request: &mut Self::Request) -> Option<Node>;
    fn apply(machine: &mut Machine, request: Self::Request) -> Result<RequestOutcome, StreamError>;
    fn encode(answer: Answer, incarnation: &str) -> Self::Response;
}

struct Delta;
impl Wire for Delta {
    const VARIANT: Variant = Variant::Delta;
    type Request = DeltaDiscoveryRequest;
    type Response = DeltaDiscoveryResponse;
    fn node(request: &mut Self::Request) -> Option<Node> {
        request.node.take()
    }
    fn apply(machine: &mut Machine, request: Self::Request) -> Result<RequestOutcome, StreamError> {
        machine.delta(convert::delta_request(request))
    }
    fn encode(answer: Answer, incarnation: &str) -> Self::Response {
        convert::delta_response(answer, incarnation)
    }
}

struct Sotw;
impl Wire for Sotw {
    const VARIANT: Variant = Variant::Sotw;
    type Request = DiscoveryRequest;
    type Response = DiscoveryResponse;
    fn node(request: &mut Self::Request) -> Option<Node> {
        request.node.take()
    }
    fn apply(machine: &mut Machine, request: Self::Request) -> Result<RequestOutcome, StreamError> {
        machine.sotw(convert::sotw_request(request))
    }
    fn encode(answer: Answer, incarnation: &str) -> Self::Response {
        convert::sotw_response(answer, incarnation)
    }
}

fn standby_status() -> Status {
    let mut status = Status::unavailable("this control service is in standby; connect to the leader");
    status.metadata_mut().insert(STANDBY_METADATA, MetadataValue::from_static("1"));
    status
}

fn status(e: &StreamError) -> Status {
    match e {
        StreamError::UnknownType(_) | StreamError::TooLong(_) => Status::invalid_argument(e.to_string()),
        StreamError::TooManyNames { .. } => Status::resource_exhausted(e.to_string()),
        StreamError::TooFarBehind => Status::aborted(e.to_string()),
    }
}

type Answers<W> = ReceiverStream<Result<<W as Wire>::Response, Status>>;

/// All services, on one hub.
#[derive(Clone)]
struct Service(Arc<Hub>);

impl Service {
    fn open<W: Wire>(
        &self,
        only: Option<Kind>,
        request: Request<Streaming<W::Request>>,
    ) -> Result<Response<Answers<W>>, Status> {
        let served = self.0.served();
        if served.is_none() {
            return Err(standby_status());
        }
        let registration = self.0.register(W::VARIANT, only, request.remote_addr());
        let registration = registration
            .ok_or_else(|| Status::resource_exhausted("too many streams; try another control service"))?;
        // Danger: answers made ahead of a subscriber that does not read use memory. One answer waits here, and one in
        // the connection's own buffers.
        let (answers, receiver) = mpsc::channel(1);
        tokio::spawn(run_stream::<W>(self.0.clone(), registration, served, request.into_inner(), answers));
        let mut response = Response::new(ReceiverStream::new(receiver));
        if let Ok(now) = MetadataValue::try_from(self.0.unix().to_string()) {
            response.metadata_mut().insert(TIME_METADATA, now);
        }
        Ok(response)
    }

    /// A single state-of-the-world answer ("REST and unary").
    fn fetch(&self, only: Kind, request: DiscoveryRequest) -> Result<Response<DiscoveryResponse>, Status> {
        let mut machine = Machine::new(Variant::Sotw, Some(only), self.0.limits.stream);
        let store = self.0.store();
        machine.sotw(convert::sotw_request(request)).map_err(|e| status(&e))?;
        let answer = machine.next(&store).map_err(|e| status(&e))?;
        let answer = answer.ok_or_else(|| Status::unavailable("no resources yet; retry later"))?;
        Ok(Response::new(convert::sotw_response(answer, store.incarnation())))
    }
}

/// Runs one stream, until either side ends it.
async fn run_stream<W: Wire>(
    hub: Arc<Hub>,
    registration: Registration,
    served: Option<u64>,
    mut inbound: Streaming<W::Request>,
    answers: mpsc::Sender<Result<W::Response, Status>>,
) {
    let mut changed = hub.subscribe_changes();
    let mut is_due = false;
    let status = loop {
        tokio::select! {
            message = inbound.message() => {
                let request = match message {
                    Ok(Some(request)) => request,
                    // Danger: a client may close its half and still read; xDS has no use for that.
                    Ok(None) => break None,
                    Err(e) => {
                        hub.counters.faults.fetch_add(1, Relaxed);
                        break Some(e);
                    }
                };
                if let Err(status) = on_request::<W>(&hub, &registration, request) {
                    break Some(status);
                }
                is_due = true;
            }
            permit = answers.reserve(), if is_due => {
                let Ok(permit) = permit else { break None };
                match next_answer(&hub, &registration, served) {
                    Ok(None) => is_due = false,
                    Ok(Some((answer, incarnation))) => {
                        let bytes: usize = answer.resources.iter().map(|r| r.body.len()).sum();
                        hub.counters.answers.fetch_add(1, Relaxed);
                        hub.counters.bytes.fetch_add(bytes as u64, Relaxed);
                        permit.send(Ok(W::encode(answer, &incarnation)));
                    }
                    Err(status) => break Some(status),
                }
            }
            alive = changed.changed() => {
                if alive.is_err() {
                    break None;
                }
                // Another store, or none: it does not continue what this stream has sent.
                if hub.served() != served {
                    break Some(standby_status());
                }
                is_due = true;
            }
            () = answers.closed() => break None,
        }
    };
    drop(registration);
    if let Some(status) = status {
        // A peer that does not read its error either is left to the end of the connection.
        let _ = tokio::time::timeout(KEEPALIVE_TIMEOUT, answers.send(Err(status))).await;
    }
}

/// Handles one request of a subscriber. An error ends its stream.
fn on_request<W: Wire>(
    hub: &Hub,
    registration: &Registration,
    mut request: W::Request,
) -> Result<(), Status> {
    if let Some(mut node) = W::node(&mut request) {
        registration.set_node(&node.id);
        for topic in Topic::ALL {
            if let Some(text) = convert::take_metadata(&mut node, topic) {
                registration.on_metadata(topic, text);
            }
        }
    }
    let outcome = W::apply(&mut lock(&registration.stream), request);
    match outcome {
        Ok(RequestOutcome::Acked(_)) => drop(hub.counters.acks.fetch_add(1, Relaxed)),
        Ok(RequestOutcome::Nacked(kind, reason)) => {
            hub.counters.nacks.fetch_add(1, Relaxed);
            let subscriber = registration.node();
            tracing::warn!(%subscriber, ?kind, ?reason, "subscriber rejected an answer");
        }
        Ok(RequestOutcome::Subscribed | RequestOutcome::Stale(_)) => {}
        Err(error) => {
            hub.counters.faults.fetch_add(1, Relaxed);
            tracing::warn!(subscriber = %registration.node(), %error, "stream ended: invalid request");
            return Err(status(&error));
        }
    }
    Ok(())
}

/// The next answer that is due, with the incarnation of the store. An error ends the stream.
fn next_answer(
    hub: &Hub,
    registration: &Registration,
    served: Option<u64>,
) -> Result<Option<(Answer, Arc<str>)>, Status> {
    let store = hub.store();
    // The store can't be reregistrationd while this guard is held.
    if hub.served() != served {
        return Err(standby_status());
    }
    let answer = lock(&registration.stream).next(&store).map_err(|e| status(&e))?;
    Ok(answer.map(|answer| (answer, store.incarnation().clone())))
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for Service {
    type StreamAggregatedResourcesStream = Answers<Sotw>;
    type DeltaAggregatedResourcesStream = Answers<Delta>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Answers<Sotw>>, Status> {
        self.open::<Sotw>(None, request)
    }

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Answers<Delta>>, Status> {
        self.open::<Delta>(None, request)
    }
}

#[tonic::async_trait]
impl ClusterDiscoveryService for Service {
    type StreamClustersStream = Answers<Sotw>;
    type DeltaClustersStream = Answers<Delta>;

    async fn stream_clusters(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Answers<Sotw>>, Status> {
        self.open::<Sotw>(Some(Kind::Cluster), request)
    }

    async fn delta_clusters(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Answers<Delta>>, Status> {
        self.open::<Delta>(Some(Kind::Cluster), request)
    }

    async fn fetch_clusters(
        &self,
        request: Request<DiscoveryRequest>,
    ) -> Result<Response<DiscoveryResponse>, Status> {
        self.fetch(Kind::Cluster, request.into_inner())
    }
}

#[tonic::async_trait]
impl EndpointDiscoveryService for Service {
    type StreamEndpointsStream = Answers<Sotw>;
    type DeltaEndpointsStream = Answers<Delta>;

    async fn stream_endpoints(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Answers<Sotw>>, Status> {
        self.open::<Sotw>(Some(Kind::Endpoints), request)
    }

    async fn delta_endpoints(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Answers<Delta>>, Status> {
        self.open::<Delta>(Some(Kind::Endpoints), request)
    }

    async fn fetch_endpoints(
        &self,
        request: Request<DiscoveryRequest>,
    ) -> Result<Response<DiscoveryResponse>, Status> {
        self.fetch(Kind::Endpoints, request.into_inner())
    }
}

/// Serves a hub on a listener until `stop`.
///
/// # Errors
/// Unusable TLS settings, or a permanent error of the listener.
pub async fn serve(
    listener: TcpListener,
    hub: Arc<Hub>,
    tls: Option<&Tls>,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let max_message = hub.limits.message;
    let service = Service(hub);
    let mut builder = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .max_concurrent_streams(Some(MAX_STREAMS_PER_CONNECTION));
    if let Some(tls) = tls {
        builder = builder.tls_config(tls.server())?;
    }
    let ads = AggregatedDiscoveryServiceServer::new(service.clone()).max_decoding_message_size(max_message);
    let cds = ClusterDiscoveryServiceServer::new(service.clone()).max_decoding_message_size(max_message);
    let eds = EndpointDiscoveryServiceServer::new(service).max_decoding_message_size(max_message);
    let incoming = Incoming::new(listener);
    builder
        .add_service(ads.max_encoding_message_size(usize::MAX))
        .add_service(cds.max_encoding_message_size(usize::MAX))
        .add_service(eds.max_encoding_message_size(usize::MAX))
        .serve_with_incoming_shutdown(incoming, stop)
        .await
}
