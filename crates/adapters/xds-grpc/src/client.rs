//! The subscriber's sockets: one stream after another, as a [`Session`] says.

use crate::server::{STANDS_BY, TIME};
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

const CONNECT: Duration = Duration::from_secs(2);
/// A server that has said nothing for so long is asked whether it is there. Danger: a machine that vanished says
/// nothing, and nothing would be learned until TCP gives up.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// Clocks drift: what was measured when the stream opened is measured again this often.
const LOOK: Duration = Duration::from_secs(300);
const KEEPALIVE_WITHIN: Duration = Duration::from_secs(1);

/// Where and as whom to connect.
#[derive(Clone)]
pub struct ClientOptions {
    /// Control services, the first preferred at the start.
    pub addresses: Vec<SocketAddr>,
    /// `node.id`.
    pub node: String,
    /// `node.cluster`.
    pub cluster: String,
    /// Mutual TLS, and the name in the server's certificate.
    pub tls: Option<(Tls, String)>,
    /// An answer is at most this long, in bytes.
    pub message: usize,
    /// The whole `node`, where it says more than id and cluster; it goes before those.
    pub identity: Option<Box<Node>>,
    /// Told when the session wants something else for another reason than an answer.
    pub wake: Option<Arc<Notify>>,
}

/// What happens on the client's side.
#[derive(Debug)]
pub enum ClientEvent<N> {
    /// A stream is open at this address.
    Connected(SocketAddr),
    /// An answer that says something.
    News(N),
    /// An answer was refused.
    Refused(String),
    /// How far the server's clock is ahead of the one that `now` tells, in nanoseconds, and by how much that may be wrong.
    Ahead(i64, Nanos),
    /// The stream at this address has ended, or could not be opened.
    Lost(SocketAddr, String),
}

enum Reading {
    Delta(Streaming<envoy_types::pb::envoy::service::discovery::v3::DeltaDiscoveryResponse>),
    Sotw(Streaming<envoy_types::pb::envoy::service::discovery::v3::DiscoveryResponse>),
}

/// Runs a session for good. `random` gives numbers from 0 up to 1; `notice` is called for all that happens, with the
/// session as it is then.
pub async fn run<S: Session>(
    options: ClientOptions,
    session: &mut S,
    mut random: impl FnMut() -> f64,
    now: impl Fn() -> Nanos,
    mut notice: impl FnMut(&S, ClientEvent<S::News>),
) {
    loop {
        let addr = options.addresses[session.address() % options.addresses.len()];
        let Err(status) = stream(&options, addr, session, &now, &mut notice).await;
        let how = match status.code() {
            Code::Unimplemented => Ended::Unimplemented,
            Code::InvalidArgument => Ended::Refused,
            _ if status.metadata().contains_key(STANDS_BY) => Ended::StandsBy,
            _ => Ended::Broken,
        };
        let why = format!("{:?}: {}", status.code(), status.message());
        let retry = session.ended(how, random());
        notice(session, ClientEvent::Lost(addr, why));
        tokio::time::sleep(Duration::from_nanos(retry.wait)).await;
    }
}

async fn connect(options: &ClientOptions, addr: SocketAddr) -> Result<Channel, Status> {
    let fault = |e: tonic::transport::Error| {
        let cause = std::error::Error::source(&e).map(|s| format!(": {s}")).unwrap_or_default();
        Status::unavailable(format!("{e}{cause}"))
    };
    let scheme = if options.tls.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{addr}"))
        .map_err(fault)?
        .connect_timeout(CONNECT)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE_WITHIN)
        .keep_alive_while_idle(true);
    if let Some((tls, name)) = &options.tls {
        endpoint = endpoint.tls_config(tls.client(Some(name))).map_err(fault)?;
    }
    endpoint.connect_with_connector(Dial(addr)).await.map_err(fault)
}

async fn stream<S: Session>(
    options: &ClientOptions,
    addr: SocketAddr,
    session: &mut S,
    now: &impl Fn() -> Nanos,
    notice: &mut impl FnMut(&S, ClientEvent<S::News>),
) -> Result<std::convert::Infallible, Status> {
    let channel = connect(options, addr).await?;
    let mut client =
        AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(options.message);
    // The node stands in the first request alone ("Only the first request on a stream").
    let node = convert::node(&options.node, &options.cluster);
    let node = options.identity.as_ref().map_or(node, |own| (**own).clone());
    let mut first = true;
    let (delta, delta_asks) = mpsc::channel(16);
    let (sotw, sotw_asks) = mpsc::channel(16);
    let gone = |_| Status::unavailable("the stream has ended");
    let mut send = async |ask: ClientRequest, told: Vec<(Topic, String)>| {
        // It comes again where there is something to tell of it.
        let named = std::mem::take(&mut first) || !told.is_empty();
        let node = named.then(|| convert::with_metadata(node.clone(), told));
        match ask {
            ClientRequest::Delta(r) => {
                delta.send(convert::to_delta_request(r, node)).await.map_err(|_| ()).map_err(gone)
            }
            ClientRequest::Sotw(r) => {
                sotw.send(convert::to_sotw_request(r, node)).await.map_err(|_| ()).map_err(gone)
            }
        }
    };
    // Danger: a server may answer the call only once something was asked. There is room for an ask of each kind.
    for ask in session.connected() {
        send(ask, session.tells()).await?;
    }
    let asked = now();
    let mut clocks = client.clone();
    let opening = async {
        match session.variant() {
            Variant::Delta => client
                .delta_aggregated_resources(ReceiverStream::new(delta_asks))
                .await
                .map(|r| (ahead(r.metadata(), asked, now()), Reading::Delta(r.into_inner()))),
            Variant::Sotw => client
                .stream_aggregated_resources(ReceiverStream::new(sotw_asks))
                .await
                .map(|r| (ahead(r.metadata(), asked, now()), Reading::Sotw(r.into_inner()))),
        }
    };
    let opened = tokio::time::timeout(CONNECT * 5, opening).await;
    let (clock, mut reading) =
        opened.map_err(|_| Status::deadline_exceeded("the stream did not open in time"))??;
    notice(session, ClientEvent::Connected(addr));
    if let Some((ahead, error)) = clock {
        notice(session, ClientEvent::Ahead(ahead, error));
    }
    let mut looks = tokio::time::interval_at(tokio::time::Instant::now() + LOOK, LOOK);
    loop {
        let answer = async {
            Ok::<_, Status>(match &mut reading {
                Reading::Delta(s) => s.message().await?.map(convert::from_delta_response),
                Reading::Sotw(s) => s.message().await?.map(convert::from_sotw_response),
            })
        };
        let woken = async {
            match &options.wake {
                Some(wake) => wake.notified().await,
                None => std::future::pending().await,
            }
        };
        let answer = tokio::select! {
            answer = answer => answer?,
            () = woken => {
                for ask in session.woken() {
                    send(ask, session.tells()).await?;
                }
                continue;
            }
            // A server that told no time is not asked for it.
            _ = looks.tick(), if clock.is_some() => {
                if let Some((ahead, error)) = look(&mut clocks, now).await {
                    notice(session, ClientEvent::Ahead(ahead, error));
                }
                continue;
            }
        };
        let answer = answer.ok_or_else(|| Status::unavailable("the server ended the stream"))?;
        let taken = session.answer(answer);
        // What was told counts before it is acknowledged.
        if let Some(news) = taken.news {
            notice(session, ClientEvent::News(news));
        }
        if let Some(why) = taken.refused {
            notice(session, ClientEvent::Refused(why));
        }
        for ask in taken.asks {
            send(ask, session.tells()).await?;
        }
        if let Some(why) = taken.leave {
            return Err(Status::failed_precondition(why));
        }
    }
}

/// How far the server is ahead, from what it told as it answered a call that was made at `asked`: the answer was made at
/// some time in between.
fn ahead(told: &MetadataMap, asked: Nanos, now: Nanos) -> Option<(i64, Nanos)> {
    let told: Nanos = told.get(TIME)?.to_str().ok()?.parse().ok()?;
    let error = now.saturating_sub(asked) / 2;
    Some((told as i64 - (asked + error) as i64, error))
}

/// Asks for the time on a call of its own, which is over at once.
async fn look(
    client: &mut AggregatedDiscoveryServiceClient<Channel>,
    now: &impl Fn() -> Nanos,
) -> Option<(i64, Nanos)> {
    let asked = now();
    let call = client.delta_aggregated_resources(tokio_stream::pending());
    let answer = tokio::time::timeout(CONNECT, call).await.ok()?.ok()?;
    ahead(answer.metadata(), asked, now())
}
