//! The gRPC services: ADS, CDS and EDS, each state-of-the-world and delta.

use crate::hub::{Hub, Place};
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
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataValue;
use tonic::{Request, Response, Status, Streaming};

/// A peer that has said nothing for so long is asked whether it is there; a machine that vanished answers never.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// And is given up after this.
const KEEPALIVE_WITHIN: Duration = Duration::from_secs(10);
/// Metadata of an answer: the server's Unix time in nanoseconds when it was made, so that who follows it knows how far
/// their clocks are apart.
pub(crate) const TIME: &str = "rushquay-unix-ns";
/// Metadata of a refusal: this server stands by for another.
pub(crate) const STANDS_BY: &str = "rushquay-stands-by";
/// Streams on one connection.
const STREAMS_A_CONNECTION: u32 = 100;

/// The messages of a variant.
trait Wire: Send + 'static {
    const VARIANT: Variant;
    type Request: Send + 'static;
    type Response: Send + 'static;
    fn node(request: &mut Self::Request) -> Option<Node>;
    fn hear(machine: &mut Machine, request: Self::Request) -> Result<RequestOutcome, StreamError>;
    fn say(answer: Answer, incarnation: &str) -> Self::Response;
}

struct Delta;
impl Wire for Delta {
    const VARIANT: Variant = Variant::Delta;
    type Request = DeltaDiscoveryRequest;
    type Response = DeltaDiscoveryResponse;
    fn node(request: &mut Self::Request) -> Option<Node> {
        request.node.take()
    }
    fn hear(machine: &mut Machine, request: Self::Request) -> Result<RequestOutcome, StreamError> {
        machine.delta(convert::delta_request(request))
    }
    fn say(answer: Answer, incarnation: &str) -> Self::Response {
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
    fn hear(machine: &mut Machine, request: Self::Request) -> Result<RequestOutcome, StreamError> {
        machine.sotw(convert::sotw_request(request))
    }
    fn say(answer: Answer, incarnation: &str) -> Self::Response {
        convert::sotw_response(answer, incarnation)
    }
}

fn stands_by() -> Status {
    let mut status = Status::unavailable("this control service stands by for another; ask that one");
    status.metadata_mut().insert(STANDS_BY, MetadataValue::from_static("1"));
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

/// All services on one hub.
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
            return Err(stands_by());
        }
        let place = self.0.enter(W::VARIANT, only, request.remote_addr());
        let place = place
            .ok_or_else(|| Status::resource_exhausted("too many streams; try another control service"))?;
        // Danger: what is made ahead of a subscriber that doesn't read is held for it. One answer waits here, and one
        // in the connection's own buffers.
        let (answers, given) = mpsc::channel(1);
        tokio::spawn(talk::<W>(self.0.clone(), place, served, request.into_inner(), answers));
        let mut response = Response::new(ReceiverStream::new(given));
        if let Ok(now) = MetadataValue::try_from(self.0.unix().to_string()) {
            response.metadata_mut().insert(TIME, now);
        }
        Ok(response)
    }

    /// One state-of-the-world answer ("REST and unary").
    fn fetch(&self, only: Kind, request: DiscoveryRequest) -> Result<Response<DiscoveryResponse>, Status> {
        let mut machine = Machine::new(Variant::Sotw, Some(only), self.0.limits.stream);
        let store = self.0.store();
        machine.sotw(convert::sotw_request(request)).map_err(|e| status(&e))?;
        let answer = machine.next(&store).map_err(|e| status(&e))?;
        let answer = answer.ok_or_else(|| Status::unavailable("nothing to tell yet; ask again later"))?;
        Ok(Response::new(convert::sotw_response(answer, store.incarnation())))
    }
}

/// One stream, until either side ends it.
async fn talk<W: Wire>(
    hub: Arc<Hub>,
    place: Place,
    served: Option<u64>,
    mut inbound: Streaming<W::Request>,
    answers: mpsc::Sender<Result<W::Response, Status>>,
) {
    let mut changed = hub.watch();
    let mut due = false;
    let ended = loop {
        tokio::select! {
            message = inbound.message() => {
                let mut request = match message {
                    Ok(Some(request)) => request,
                    // Danger: a client may close its half and still read; xDS has no use for that.
                    Ok(None) => break None,
                    Err(e) => {
                        hub.counters.faults.fetch_add(1, Relaxed);
                        break Some(e);
                    }
                };
                if let Some(mut node) = W::node(&mut request) {
                    place.name(&node.id);
                    for topic in Topic::ALL {
                        if let Some(told) = convert::take_metadata(&mut node, topic) {
                            place.told(topic, told);
                        }
                    }
                }
                let heard = {
                    let mut machine = place.stream.lock().unwrap_or_else(PoisonError::into_inner);
                    W::hear(&mut machine, request)
                };
                match heard {
                    Ok(RequestOutcome::Acked(_)) => drop(hub.counters.acks.fetch_add(1, Relaxed)),
                    Ok(RequestOutcome::Nacked(kind, why)) => {
                        hub.counters.nacks.fetch_add(1, Relaxed);
                        tracing::warn!(subscriber = %place.node(), ?kind, ?why, "a subscriber refused an answer");
                    }
                    Ok(RequestOutcome::Subscribed | RequestOutcome::Stale(_)) => {}
                    Err(e) => {
                        hub.counters.faults.fetch_add(1, Relaxed);
                        tracing::warn!(subscriber = %place.node(), fault = %e, "a stream ends for its peer's fault");
                        break Some(status(&e));
                    }
                }
                due = true;
            }
            permit = answers.reserve(), if due => {
                let Ok(permit) = permit else { break None };
                let next = {
                    let store = hub.store();
                    // While the store is held no other can take its place.
                    if hub.served() != served {
                        break Some(stands_by());
                    }
                    let mut machine = place.stream.lock().unwrap_or_else(PoisonError::into_inner);
                    machine.next(&store).map(|a| a.map(|a| (a, store.incarnation().clone())))
                };
                match next {
                    Ok(None) => due = false,
                    Ok(Some((answer, incarnation))) => {
                        let bytes: usize = answer.resources.iter().map(|r| r.body.len()).sum();
                        hub.counters.answers.fetch_add(1, Relaxed);
                        hub.counters.bytes.fetch_add(bytes as u64, Relaxed);
                        permit.send(Ok(W::say(answer, &incarnation)));
                    }
                    Err(e) => break Some(status(&e)),
                }
            }
            alive = changed.changed() => {
                if alive.is_err() {
                    break None;
                }
                // Another store, or none: what this stream was told has no continuation here.
                if hub.served() != served {
                    break Some(stands_by());
                }
                due = true;
            }
            () = answers.closed() => break None,
        }
    };
    drop(place);
    if let Some(status) = ended {
        // A peer that doesn't read its error either is left to the connection's own end.
        let _ = tokio::time::timeout(KEEPALIVE_WITHIN, answers.send(Err(status))).await;
    }
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
/// TLS that can't be used, or a listener that fails for good.
pub async fn serve(
    listener: TcpListener,
    hub: Arc<Hub>,
    tls: Option<&Tls>,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let message = hub.limits.message;
    let service = Service(hub);
    let mut builder = tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE_WITHIN))
        .max_concurrent_streams(Some(STREAMS_A_CONNECTION));
    if let Some(tls) = tls {
        builder = builder.tls_config(tls.server())?;
    }
    let ads = AggregatedDiscoveryServiceServer::new(service.clone()).max_decoding_message_size(message);
    let cds = ClusterDiscoveryServiceServer::new(service.clone()).max_decoding_message_size(message);
    let eds = EndpointDiscoveryServiceServer::new(service).max_decoding_message_size(message);
    let incoming = Incoming::new(listener);
    builder
        .add_service(ads.max_encoding_message_size(usize::MAX))
        .add_service(cds.max_encoding_message_size(usize::MAX))
        .add_service(eds.max_encoding_message_size(usize::MAX))
        .serve_with_incoming_shutdown(incoming, stop)
        .await
}
