//! The client: runs the streams of a [`Session`], one after another.

use crate::server::{STANDBY_METADATA, TIME_METADATA};
use crate::{convert, Tls};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use rushquay_grpc_transport::Dial;
use rushquay_xds::client::{ClientRequest, Ended, Session, Topic};
use rushquay_xds::server::Variant;
use rushquay_xds::Nanos;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio_stream::wrappers::ReceiverStream;
use tonic::metadata::MetadataMap;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status, Streaming};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream has to be open within this time.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests buffered for a stream: there is room for one of each kind.
const REQUEST_BUFFER: usize = 16;
/// An idle server is pinged after this time. Danger: a machine that vanished sends nothing, which would not be
/// noticed before TCP gives up.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// The interval at which the offset between the clocks is measured again, since clocks drift.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(300);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Where to connect to, and under which identity.
#[derive(Clone)]
pub struct ClientOptions {
    /// The control services, the preferred one first.
    pub addresses: Vec<SocketAddr>,
    /// `node.id`.
    pub node: String,
    /// `node.cluster`.
    pub cluster: String,
    /// Mutual TLS, and the name in the server's certificate.
    pub tls: Option<(Tls, String)>,
    /// The longest answer, in bytes.
    pub message: usize,
    /// The whole `node`, where it has more than id and cluster; it takes precedence over those.
    pub identity: Option<Box<Node>>,
    /// Notified when the subscriptions of the session have changed for another reason than an answer.
    pub wake: Option<Arc<Notify>>,
}

/// An event of the client.
#[derive(Debug)]
pub enum ClientEvent<N> {
    /// A stream is open at this address.
    Connected(SocketAddr),
    /// An answer brought news.
    News(N),
    /// An answer was rejected.
    Refused(String),
    /// The offset of the server's clock to `now`, and its uncertainty, in nanoseconds.
    Ahead(i64, Nanos),
    /// The stream at this address has ended, or could not be opened.
    Lost(SocketAddr, String),
}

enum ResponseStream {
    Delta(Streaming<envoy_types::pb::envoy::service::discovery::v3::DeltaDiscoveryResponse>),
    Sotw(Streaming<envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse>),
}

/// Runs a session forever. `random` returns numbers from 0 up to 1; `on_event` is called for each event, with the
/// session as it is then.
pub async fn run<S: Session>(
    options: ClientOptions,
    session: &mut S,
    mut random: impl FnMut() -> f64,
    now: impl Fn() -> Nanos,
    mut on_event: impl FnMut(&S, ClientEvent<S::News>),
) {
    loop {
        let addr = options.addresses[session.address() % options.addresses.len()];
        let Err(status) = run_stream(&options, addr, session, &now, &mut on_event).await;
        let ended = match status.code() {
            Code::Unimplemented => Ended::Unimplemented,
            Code::InvalidArgument => Ended::Refused,
            _ if status.metadata().contains_key(STANDBY_METADATA) => Ended::StandsBy,
            _ => Ended::Broken,
        };
        let reason = format!("{:?}: {}", status.code(), status.message());
        let retry = session.ended(ended, random());
        on_event(session, ClientEvent::Lost(addr, reason));
        tokio::time::sleep(Duration::from_nanos(retry.wait)).await;
    }
}

async fn connect(options: &ClientOptions, addr: SocketAddr) -> Result<Channel, Status> {
    let unavailable = |e: tonic::transport::Error| {
        let cause = std::error::Error::source(&e).map(|s| format!(": {s}")).unwrap_or_default();
        Status::unavailable(format!("{e}{cause}"))
    };
    let scheme = if options.tls.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{addr}"))
        .map_err(unavailable)?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .keep_alive_while_idle(true);
    if let Some((tls, name)) = &options.tls {
        endpoint = endpoint.tls_config(tls.client(Some(name))).map_err(unavailable)?;
    }
    endpoint.connect_with_connector(Dial(addr)).await.map_err(unavailable)
}

async fn run_stream<S: Session>(
    options: &ClientOptions,
    addr: SocketAddr,
    session: &mut S,
    now: &impl Fn() -> Nanos,
    on_event: &mut impl FnMut(&S, ClientEvent<S::News>),
) -> Result<std::convert::Infallible, Status> {
    let channel = connect(options, addr).await?;
    let mut client =
        AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(options.message);
    // Only the first request has the node ("Only the first request on a stream").
    let node = convert::node(&options.node, &options.cluster);
    let node = options.identity.as_ref().map_or(node, |identity| (**identity).clone());
    let mut is_first = true;
    let (delta_requests, delta_receiver) = mpsc::channel(REQUEST_BUFFER);
    let (sotw_requests, sotw_receiver) = mpsc::channel(REQUEST_BUFFER);
    let stream_ended = |_| Status::unavailable("the stream has ended");
    let mut send = async |request: ClientRequest, metadata: Vec<(Topic, String)>| {
        // Later requests have it where there is metadata to send.
        let with_node = std::mem::take(&mut is_first) || !metadata.is_empty();
        let node = with_node.then(|| convert::with_metadata(node.clone(), metadata));
        match request {
            ClientRequest::Delta(r) => delta_requests
                .send(convert::to_delta_request(r, node))
                .await
                .map_err(|_| ())
                .map_err(stream_ended),
            ClientRequest::Sotw(r) => sotw_requests
                .send(convert::to_sotw_request(r, node))
                .await
                .map_err(|_| ())
                .map_err(stream_ended),
        }
    };
    // Danger: a server may answer the call only after the first request. The buffer has room for one request of each
    // kind.
    for request in session.connected() {
        send(request, session.tells()).await?;
    }
    let requested_at = now();
    let mut clock_client = client.clone();
    let opening = async {
        match session.variant() {
            Variant::Delta => {
                client.delta_aggregated_resources(ReceiverStream::new(delta_receiver)).await.map(|r| {
                    (clock_offset(r.metadata(), requested_at, now()), ResponseStream::Delta(r.into_inner()))
                })
            }
            Variant::Sotw => {
                client.stream_aggregated_resources(ReceiverStream::new(sotw_receiver)).await.map(|r| {
                    (clock_offset(r.metadata(), requested_at, now()), ResponseStream::Sotw(r.into_inner()))
                })
            }
        }
    };
    let opened = tokio::time::timeout(OPEN_TIMEOUT, opening).await;
    let (clock, mut responses) =
        opened.map_err(|_| Status::deadline_exceeded("the stream did not open in time"))??;
    on_event(session, ClientEvent::Connected(addr));
    if let Some((ahead, error)) = clock {
        on_event(session, ClientEvent::Ahead(ahead, error));
    }
    let mut clock_checks =
        tokio::time::interval_at(tokio::time::Instant::now() + CLOCK_CHECK_INTERVAL, CLOCK_CHECK_INTERVAL);
    loop {
        let answer = async {
            Ok::<_, Status>(match &mut responses {
                ResponseStream::Delta(s) => s.message().await?.map(convert::from_delta_response),
                ResponseStream::Sotw(s) => s.message().await?.map(convert::from_sotw_response),
            })
        };
        let wake = async {
            match &options.wake {
                Some(wake) => wake.notified().await,
                None => std::future::pending().await,
            }
        };
        let answer = tokio::select! {
            answer = answer => answer?,
            () = wake => {
                for request in session.woken() {
                    send(request, session.tells()).await?;
                }
                continue;
            }
            // A server that sent no time is not asked for it again.
            _ = clock_checks.tick(), if clock.is_some() => {
                if let Some((ahead, error)) = measure_clock(&mut clock_client, now).await {
                    on_event(session, ClientEvent::Ahead(ahead, error));
                }
                continue;
            }
        };
        let answer = answer.ok_or_else(|| Status::unavailable("the server ended the stream"))?;
        let taken = session.answer(answer);
        // News take effect before they are acknowledged.
        if let Some(news) = taken.news {
            on_event(session, ClientEvent::News(news));
        }
        if let Some(reason) = taken.refused {
            on_event(session, ClientEvent::Refused(reason));
        }
        for request in taken.asks {
            send(request, session.tells()).await?;
        }
        if let Some(reason) = taken.leave {
            return Err(Status::failed_precondition(reason));
        }
    }
}

/// The offset of the server's clock, from the time in the response to a call that was made at `requested_at`: the
/// server took that time somewhere in between.
fn clock_offset(metadata: &MetadataMap, requested_at: Nanos, now: Nanos) -> Option<(i64, Nanos)> {
    let server_time: Nanos = metadata.get(TIME_METADATA)?.to_str().ok()?.parse().ok()?;
    let error = now.saturating_sub(requested_at) / 2;
    Some((server_time as i64 - (requested_at + error) as i64, error))
}

/// Measures the clock on a call of its own, which ends at once.
async fn measure_clock(
    client: &mut AggregatedDiscoveryServiceClient<Channel>,
    now: &impl Fn() -> Nanos,
) -> Option<(i64, Nanos)> {
    let requested_at = now();
    let call = client.delta_aggregated_resources(tokio_stream::pending());
    let answer = tokio::time::timeout(CONNECT_TIMEOUT, call).await.ok()?.ok()?;
    clock_offset(answer.metadata(), requested_at, now())
}
