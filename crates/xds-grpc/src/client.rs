//! The subscriber's sockets: one stream after another, as a [`Session`] says.

use crate::{convert, Tls};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use rushquay_xds::client::{Ask, Ended, Session};
use rushquay_xds::server::Variant;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status, Streaming};

const CONNECT: Duration = Duration::from_secs(2);
/// A server that has said nothing for so long is asked whether it is there. Danger: a machine that vanished says
/// nothing, and nothing would be learned until TCP gives up.
const KEEPALIVE: Duration = Duration::from_secs(2);
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
}

/// What happens on the client's side.
#[derive(Debug)]
pub enum Notice<N> {
    /// A stream is open at this address.
    Connected(SocketAddr),
    /// An answer that says something.
    News(N),
    /// An answer was refused.
    Refused(String),
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
    mut notice: impl FnMut(&S, Notice<S::News>),
) {
    loop {
        let addr = options.addresses[session.address() % options.addresses.len()];
        let Err(status) = stream(&options, addr, session, &mut notice).await;
        let unimplemented = status.code() == Code::Unimplemented;
        let how = if unimplemented { Ended::Unimplemented } else { Ended::Broken };
        let why = format!("{:?}: {}", status.code(), status.message());
        let retry = session.ended(how, random());
        notice(session, Notice::Lost(addr, why));
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
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEPALIVE)
        .keep_alive_timeout(KEEPALIVE_WITHIN)
        .keep_alive_while_idle(true);
    if let Some((tls, name)) = &options.tls {
        endpoint = endpoint.tls_config(tls.client(name)).map_err(fault)?;
    }
    endpoint.connect().await.map_err(fault)
}

async fn stream<S: Session>(
    options: &ClientOptions,
    addr: SocketAddr,
    session: &mut S,
    notice: &mut impl FnMut(&S, Notice<S::News>),
) -> Result<std::convert::Infallible, Status> {
    let channel = connect(options, addr).await?;
    let mut client =
        AggregatedDiscoveryServiceClient::new(channel).max_decoding_message_size(options.message);
    // The node stands in the first request alone ("Only the first request on a stream").
    let mut node = Some(convert::node(&options.node, &options.cluster));
    let (delta, delta_asks) = mpsc::channel(16);
    let (sotw, sotw_asks) = mpsc::channel(16);
    let gone = |_| Status::unavailable("the stream has ended");
    let mut send = async |ask: Ask| match ask {
        Ask::Delta(r) => {
            delta.send(convert::to_delta_request(r, node.take())).await.map_err(|_| ()).map_err(gone)
        }
        Ask::Sotw(r) => {
            sotw.send(convert::to_sotw_request(r, node.take())).await.map_err(|_| ()).map_err(gone)
        }
    };
    // Danger: a server may answer the call only once something was asked. There is room for an ask of each kind.
    for ask in session.connected() {
        send(ask).await?;
    }
    let opening = async {
        match session.variant() {
            Variant::Delta => client
                .delta_aggregated_resources(ReceiverStream::new(delta_asks))
                .await
                .map(|r| Reading::Delta(r.into_inner())),
            Variant::Sotw => client
                .stream_aggregated_resources(ReceiverStream::new(sotw_asks))
                .await
                .map(|r| Reading::Sotw(r.into_inner())),
        }
    };
    let opened = tokio::time::timeout(CONNECT * 5, opening).await;
    let mut reading = opened.map_err(|_| Status::deadline_exceeded("the stream did not open in time"))??;
    notice(session, Notice::Connected(addr));
    loop {
        let answer = match &mut reading {
            Reading::Delta(s) => s.message().await?.map(convert::from_delta_response),
            Reading::Sotw(s) => s.message().await?.map(convert::from_sotw_response),
        };
        let answer = answer.ok_or_else(|| Status::unavailable("the server ended the stream"))?;
        let taken = session.answer(answer);
        // What was told counts before it is acknowledged.
        if let Some(news) = taken.news {
            notice(session, Notice::News(news));
        }
        if let Some(why) = taken.refused {
            notice(session, Notice::Refused(why));
        }
        for ask in taken.asks {
            send(ask).await?;
        }
    }
}
