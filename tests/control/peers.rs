//! Subscribers of all sorts at the control service, by hand: good ones, ones that refuse, and ones that misbehave.

use super::*;
use envoy_types::pb::envoy::config::core::v3::{HealthStatus, Node as NodeId};
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::config::listener::v3::Listener;
use envoy_types::pb::envoy::config::route::v3::RouteConfiguration;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    http_connection_manager::RouteSpecifier, HttpConnectionManager,
};
use envoy_types::pb::envoy::service::cluster::v3::cluster_discovery_service_client::ClusterDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::envoy::service::endpoint::v3::endpoint_discovery_service_client::EndpointDiscoveryServiceClient;
use envoy_types::pb::google::protobuf::Any;
use envoy_types::pb::google::rpc::Status as RpcStatus;
use rushquay_xds::Kind;
use rushquay_xds_grpc::{Tls, TlsFiles};
use std::sync::atomic::Ordering::Relaxed;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};
use tonic::{Code, Status, Streaming};

async fn channel(xds: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{xds}")).expect("a URI");
    // What a peer lets come unread is its own affair; these let 64 KiB come.
    let endpoint = endpoint.initial_stream_window_size(64 << 10).initial_connection_window_size(64 << 10);
    endpoint.connect().await.expect("connected")
}

/// A delta stream by hand.
pub struct DeltaPeer {
    asks: mpsc::Sender<DeltaDiscoveryRequest>,
    answers: Streaming<DeltaDiscoveryResponse>,
}

impl DeltaPeer {
    pub async fn new(xds: SocketAddr, id: &str, first: DeltaDiscoveryRequest) -> Self {
        let (asks, rest) = mpsc::channel(64);
        let node = Some(NodeId { id: id.into(), ..NodeId::default() });
        asks.send(DeltaDiscoveryRequest { node, ..first }).await.expect("sent");
        let mut client = AggregatedDiscoveryServiceClient::new(channel(xds).await);
        let answers = client.delta_aggregated_resources(ReceiverStream::new(rest)).await.expect("a stream");
        DeltaPeer { asks, answers: answers.into_inner() }
    }

    pub async fn answer(&mut self) -> Result<DeltaDiscoveryResponse, Status> {
        let answer = tokio::time::timeout(LONG, self.answers.message()).await.expect("an answer in time");
        answer.map(|a| a.expect("the stream goes on"))
    }

    pub async fn reply(&mut self, to: &DeltaDiscoveryResponse, error: Option<&str>) {
        let error_detail = error.map(|m| RpcStatus { code: 3, message: m.into(), details: vec![] });
        let (type_url, response_nonce) = (to.type_url.clone(), to.nonce.clone());
        let ask = DeltaDiscoveryRequest { type_url, response_nonce, error_detail, ..Default::default() };
        self.asks.send(ask).await.expect("sent");
    }
}

pub fn subscribe(kind: Kind, names: &[&str]) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: kind.type_url().into(),
        resource_names_subscribe: names.iter().map(|n| n.to_string()).collect(),
        ..DeltaDiscoveryRequest::default()
    }
}

async fn rig() -> (Vec<Node>, Discovery, ControlService) {
    let fleet = nodes(&["a", "b"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = control(discovery.addr).await;
    let hub = service.hub().clone();
    until("the list is there", || hub.store().is_open()).await;
    (fleet, discovery, service)
}

fn read<M: prost::Message + Default>(any: &Any) -> M {
    M::decode(any.value.as_slice()).expect("a message of its type")
}

/// The order in which a proxyless gRPC client resolves `xds:///cache-nodes` (gRFC A27), over one stream.
#[tokio::test]
async fn a_proxyless_client_resolves_the_cluster_and_sees_the_drain() {
    let (_fleet, discovery, service) = rig().await;
    let (asks, rest) = mpsc::channel::<DiscoveryRequest>(64);
    let mut client = AggregatedDiscoveryServiceClient::new(channel(service.xds).await);
    let ask = |kind: Kind, names: &[&str], last: Option<&DiscoveryResponse>| DiscoveryRequest {
        type_url: kind.type_url().into(),
        resource_names: names.iter().map(|n| n.to_string()).collect(),
        response_nonce: last.map(|l| l.nonce.clone()).unwrap_or_default(),
        version_info: last.map(|l| l.version_info.clone()).unwrap_or_default(),
        ..DiscoveryRequest::default()
    };
    asks.send(ask(Kind::Listener, &["cache-nodes"], None)).await.expect("sent");
    let stream = client.stream_aggregated_resources(ReceiverStream::new(rest)).await.expect("a stream");
    let mut answers = stream.into_inner();
    let mut next = async |kind: Kind| {
        let answer =
            tokio::time::timeout(LONG, answers.message()).await.expect("in time").expect("an answer");
        let answer = answer.expect("the stream goes on");
        assert_eq!(answer.type_url, kind.type_url());
        answer
    };
    let listener = next(Kind::Listener).await;
    let api: Listener = read(&listener.resources[0]);
    let api = api.api_listener.and_then(|a| a.api_listener).expect("an API listener");
    let manager: HttpConnectionManager = read(&api);
    let Some(RouteSpecifier::Rds(rds)) = manager.route_specifier else { panic!("no RDS") };
    assert_eq!(manager.http_filters.last().map(|f| f.name.as_str()), Some("envoy.filters.http.router"));
    asks.send(ask(Kind::Route, &[&rds.route_config_name], None)).await.expect("sent");
    let route = next(Kind::Route).await;
    let table: RouteConfiguration = read(&route.resources[0]);
    assert_eq!(table.virtual_hosts[0].domains, ["*"]);
    asks.send(ask(Kind::Cluster, &["cache-nodes"], None)).await.expect("sent");
    let cluster = next(Kind::Cluster).await;
    assert_eq!(cluster.resources.len(), 1, "the origin was not asked for");
    asks.send(ask(Kind::Endpoints, &["cache-nodes"], None)).await.expect("sent");
    let endpoints = next(Kind::Endpoints).await;
    let health = |answer: &DiscoveryResponse| {
        let a: ClusterLoadAssignment = read(&answer.resources[0]);
        assert!(a.endpoints.iter().all(|l| l.load_balancing_weight.is_some_and(|w| w.value > 0)));
        a.endpoints.iter().flat_map(|l| &l.lb_endpoints).map(|e| e.health_status).collect::<Vec<_>>()
    };
    assert_eq!(health(&endpoints), [HealthStatus::Healthy as i32; 2]);
    asks.send(ask(Kind::Endpoints, &["cache-nodes"], Some(&endpoints))).await.expect("sent");
    discovery.set("b", "draining");
    let drained = next(Kind::Endpoints).await;
    assert_eq!(health(&drained), [HealthStatus::Healthy as i32, HealthStatus::Draining as i32]);
}

#[tokio::test]
async fn the_services_for_one_type_speak_both_variants() {
    let (_fleet, _discovery, service) = rig().await;
    let mut cds = ClusterDiscoveryServiceClient::new(channel(service.xds).await);
    let mut eds = EndpointDiscoveryServiceClient::new(channel(service.xds).await);
    let one = DiscoveryRequest { resource_names: vec!["cache-nodes".into()], ..DiscoveryRequest::default() };
    let sotw =
        |r: DiscoveryRequest| tokio_stream::StreamExt::chain(tokio_stream::once(r), tokio_stream::pending());
    let delta = |r: DeltaDiscoveryRequest| {
        tokio_stream::StreamExt::chain(tokio_stream::once(r), tokio_stream::pending())
    };
    let mut clusters =
        cds.stream_clusters(sotw(DiscoveryRequest::default())).await.expect("CDS").into_inner();
    assert_eq!(clusters.message().await.expect("an answer").expect("one").resources.len(), 2);
    let mut clusters =
        cds.delta_clusters(delta(subscribe(Kind::Cluster, &[]))).await.expect("CDS").into_inner();
    assert_eq!(clusters.message().await.expect("an answer").expect("one").resources.len(), 2);
    let mut endpoints = eds.stream_endpoints(sotw(one.clone())).await.expect("EDS").into_inner();
    assert_eq!(endpoints.message().await.expect("an answer").expect("one").resources.len(), 1);
    let asked = subscribe(Kind::Endpoints, &["cache-nodes", "no-such"]);
    let mut endpoints = eds.delta_endpoints(delta(asked)).await.expect("EDS").into_inner();
    let answer = endpoints.message().await.expect("an answer").expect("one");
    assert_eq!((answer.resources.len(), answer.removed_resources), (1, vec!["no-such".to_owned()]));
    assert_eq!(eds.fetch_endpoints(one).await.expect("a fetch").into_inner().resources.len(), 1);
    let wrong = cds.stream_clusters(sotw(DiscoveryRequest {
        type_url: Kind::Endpoints.type_url().into(),
        ..Default::default()
    }));
    let mut wrong = wrong.await.expect("a stream").into_inner();
    assert_eq!(wrong.message().await.expect_err("another type").code(), Code::InvalidArgument);
}

#[tokio::test]
async fn a_refusal_is_counted_and_holds_back_nobody_else() {
    let (_fleet, discovery, service) = rig().await;
    let (mut bad, mut good) = (
        DeltaPeer::new(service.xds, "bad", subscribe(Kind::Endpoints, &["cache-nodes"])).await,
        DeltaPeer::new(service.xds, "good", subscribe(Kind::Endpoints, &["cache-nodes"])).await,
    );
    let (first, second) = (bad.answer().await.expect("an answer"), good.answer().await.expect("an answer"));
    bad.reply(&first, None).await;
    good.reply(&second, None).await;
    discovery.set("b", "draining");
    let (refused, taken) = (bad.answer().await.expect("an answer"), good.answer().await.expect("an answer"));
    bad.reply(&refused, Some("it isn't liked")).await;
    good.reply(&taken, None).await;
    let hub = service.hub().clone();
    let standing = |node: &str| {
        let all = hub.subscribers();
        let found = all.iter().find(|s| s.node == node).expect("a subscriber");
        found.standing[0].1.clone()
    };
    until("the refusal is counted", || standing("bad").nacks == 1 && standing("good").acks == 2).await;
    assert_eq!(
        (standing("bad").acked, standing("bad").last_error.as_str()),
        (first.system_version_info, "it isn't liked")
    );
    assert_eq!(standing("good").acked, taken.system_version_info);
    discovery.set("b", "ready");
    good.answer().await.expect("an answer");
    bad.answer().await.expect("the next version is tried");
}

/// A stream's messages as bytes.
struct Raw;
impl Codec for Raw {
    type Encode = Vec<u8>;
    type Decode = Vec<u8>;
    type Encoder = Raw;
    type Decoder = Raw;
    fn encoder(&mut self) -> Raw {
        Raw
    }
    fn decoder(&mut self) -> Raw {
        Raw
    }
}
impl Encoder for Raw {
    type Item = Vec<u8>;
    type Error = Status;
    fn encode(&mut self, item: Vec<u8>, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        bytes::BufMut::put_slice(to, &item);
        Ok(())
    }
}
impl Decoder for Raw {
    type Item = Vec<u8>;
    type Error = Status;
    fn decode(&mut self, from: &mut DecodeBuf<'_>) -> Result<Option<Vec<u8>>, Status> {
        let mut item = vec![0; bytes::Buf::remaining(from)];
        bytes::Buf::copy_to_slice(from, &mut item);
        Ok(Some(item))
    }
}

async fn raw(xds: SocketAddr, message: Vec<u8>) -> Status {
    let mut grpc = tonic::client::Grpc::new(channel(xds).await);
    grpc.ready().await.expect("ready");
    let path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
    let asks = tokio_stream::StreamExt::chain(tokio_stream::once(message), tokio_stream::pending());
    let streaming = grpc.streaming(tonic::Request::new(asks), path.parse().expect("a path"), Raw).await;
    match streaming {
        Err(status) => status,
        Ok(stream) => {
            let answer = tokio::time::timeout(LONG, stream.into_inner().message()).await.expect("in time");
            answer.expect_err("an error")
        }
    }
}

#[tokio::test]
async fn what_is_malformed_or_too_large_is_an_error_to_that_peer_alone() {
    let (_fleet, discovery, service) = rig().await;
    let mut good = DeltaPeer::new(service.xds, "good", subscribe(Kind::Cluster, &[])).await;
    let first = good.answer().await.expect("an answer");
    good.reply(&first, None).await;
    let mut watching =
        DeltaPeer::new(service.xds, "watching", subscribe(Kind::Endpoints, &["cache-nodes"])).await;
    let seen = watching.answer().await.expect("an answer");
    watching.reply(&seen, None).await;

    let malformed = raw(service.xds, vec![0xff; 64]).await;
    assert!(matches!(malformed.code(), Code::Internal | Code::InvalidArgument), "{malformed:?}");
    // A length field that promises more than there is.
    let cut = raw(service.xds, vec![0x12, 0xff, 0xff, 0xff, 0xff, 0x07, b'a']).await;
    assert!(matches!(cut.code(), Code::Internal | Code::InvalidArgument), "{cut:?}");
    let oversized = raw(service.xds, vec![0; 2 << 20]).await;
    assert!(matches!(oversized.code(), Code::OutOfRange | Code::ResourceExhausted), "{oversized:?}");
    let names: Vec<String> = (0..10_000).map(|i| format!("name-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut many = DeltaPeer::new(service.xds, "many", subscribe(Kind::Endpoints, &names)).await;
    assert_eq!(many.answer().await.expect_err("too many").code(), Code::ResourceExhausted);
    let unknown =
        DeltaDiscoveryRequest { type_url: "type.googleapis.com/no.Such".into(), ..Default::default() };
    let mut unknown = DeltaPeer::new(service.xds, "unknown", unknown).await;
    assert_eq!(unknown.answer().await.expect_err("unknown").code(), Code::InvalidArgument);

    let hub = service.hub().clone();
    until("those have gone", || hub.open_streams() == 2).await;
    discovery.set("b", "draining");
    assert_eq!(watching.answer().await.expect("goes on").resources.len(), 1);
}

/// One reads nothing and says nothing; one reads nothing and acknowledges what it never saw.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_subscriber_that_never_reads_holds_a_bounded_number_of_answers() {
    let service = start(options(SourceOption::Discovery("127.0.0.1:9".parse().expect("an address"))))
        .await
        .expect("started");
    let list = |version: u64| {
        let node = |i: u64| json!({"id": format!("n{i}"), "addr": "127.0.0.1:1", "zone": "z", "kind": "k", "state": "ready", "weight": (version + i) as f64});
        members(version, true, &(0..1000).map(node).collect::<Vec<_>>())
    };
    service.process_endpoint_list(list(1));
    let mut silent =
        DeltaPeer::new(service.xds, "silent", subscribe(Kind::Endpoints, &["cache-nodes"])).await;
    let blind = DeltaPeer::new(service.xds, "blind", subscribe(Kind::Endpoints, &["cache-nodes"])).await;
    for nonce in 1..=60u32 {
        let ack =
            DeltaDiscoveryRequest { response_nonce: nonce.to_string(), ..subscribe(Kind::Endpoints, &[]) };
        blind.asks.send(ack).await.expect("sent");
        service.process_endpoint_list(list(u64::from(nonce) + 1));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut reading =
        DeltaPeer::new(service.xds, "reading", subscribe(Kind::Endpoints, &["cache-nodes"])).await;
    let newest = reading.answer().await.expect("an answer");
    assert!(newest.system_version_info.ends_with(&service.hub().store().seq().to_string()), "the newest");
    let answers = service.hub().counters.answers.load(Relaxed);
    let body = newest.resources[0].resource.as_ref().expect("a body").value.len();
    assert!(body > 100_000, "{body} bytes: too little to fill a window");
    // Without the bound it would be some sixty.
    assert!(answers <= 10, "{answers} answers of {body} bytes were made for two that read nothing");
    // And once it reads it gets what was on its way, then the newest.
    let old = silent.answer().await.expect("an answer");
    silent.reply(&old, None).await;
    let then = silent.answer().await.expect("an answer");
    assert_eq!(then.resources[0].version, newest.resources[0].version);
}

/// Certificates for one test, under an authority of their own.
struct Pki {
    dir: std::path::PathBuf,
}

impl Pki {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("rushquay-pki-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let write = |file: &str, text: String| std::fs::write(dir.join(file), text).expect("written");
        let key = rcgen::KeyPair::generate().expect("a key");
        let mut ca = rcgen::CertificateParams::new(vec![]).expect("parameters");
        ca.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let ca_cert = ca.self_signed(&key).expect("an authority");
        write("ca.pem", ca_cert.pem());
        let issuer = rcgen::Issuer::new(ca, key);
        for end in ["server", "client"] {
            let key = rcgen::KeyPair::generate().expect("a key");
            let params = rcgen::CertificateParams::new(vec![format!("{end}.rushquay")]).expect("parameters");
            write(&format!("{end}.pem"), params.signed_by(&key, &issuer).expect("signed").pem());
            write(&format!("{end}.key"), key.serialize_pem());
        }
        Pki { dir }
    }

    fn files(&self, end: &str) -> TlsFiles {
        let path = |file: String| self.dir.join(file);
        TlsFiles {
            cert: path(format!("{end}.pem")),
            key: path(format!("{end}.key")),
            ca: path("ca.pem".into()),
        }
    }
}

impl Drop for Pki {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn over_mutual_tls_only_who_shows_a_certificate_is_told() {
    let (pki, other) = (Pki::new("own"), Pki::new("other"));
    let fleet = nodes(&["a", "b"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let settings = Settings { tls: Some(pki.files("server")), ..Settings::default() };
    let source = SourceOption::Discovery(discovery.addr);
    let service = start(Options { settings, ..options(source) }).await.expect("a control service");
    assert!(Tls::read(&pki.files("server")).is_ok());

    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let mut config = proxy_config("p", silent.addr, &[service.xds], &[]);
    let files = pki.files("client");
    config["control_service"]["tls"] =
        json!({"cert": files.cert, "key": files.key, "ca": files.ca, "server_name": "server.rushquay"});
    let proxy = LocalProxy::start(&config.to_string()).expect("a proxy");
    all_taken(&service, 1).await;
    assert_eq!(served_by(&proxy, 50).await.len(), 2);

    let read = |path: &std::path::Path| std::fs::read(path).expect("a file");
    let trusting = || {
        ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(read(&files.ca)))
            .domain_name("server.rushquay")
    };
    let foreign = other.files("client");
    let stranger = Identity::from_pem(read(&foreign.cert), read(&foreign.key));
    for tls in [trusting(), trusting().identity(stranger)] {
        let endpoint = Endpoint::from_shared(format!("https://{}", service.xds)).expect("a URI");
        let answer = match endpoint.tls_config(tls).expect("TLS").connect().await {
            Err(_) => None,
            Ok(channel) => {
                let mut client = EndpointDiscoveryServiceClient::new(channel);
                client
                    .fetch_endpoints(DiscoveryRequest {
                        resource_names: vec!["cache-nodes".into()],
                        ..Default::default()
                    })
                    .await
                    .ok()
            }
        };
        assert!(answer.is_none(), "told without a certificate that it knows");
    }
}

/// A subscriber asks for something else while an answer that it hasn't read is on its way, and takes one of its
/// subscriptions back.
#[tokio::test]
async fn what_is_subscribed_to_may_change_while_an_answer_is_on_its_way() {
    let (_fleet, discovery, service) = rig().await;
    let mut peer = DeltaPeer::new(service.xds, "p", subscribe(Kind::Endpoints, &["cache-nodes"])).await;
    let hub = service.hub().clone();
    until("an answer is on its way", || hub.counters.answers.load(Relaxed) == 1).await;
    let unsubscribe = vec!["cache-nodes".to_owned()];
    let ask = DeltaDiscoveryRequest {
        resource_names_unsubscribe: unsubscribe,
        ..subscribe(Kind::Endpoints, &["origin"])
    };
    peer.asks.send(ask).await.expect("sent");
    let first = peer.answer().await.expect("an answer");
    assert_eq!(first.resources[0].name, "cache-nodes");
    peer.reply(&first, None).await;
    let second = peer.answer().await.expect("an answer");
    assert_eq!(second.resources.iter().map(|r| r.name.as_str()).collect::<Vec<_>>(), ["origin"]);
    peer.reply(&second, None).await;
    // A change of what it no longer wants is not told; it lacks nothing for it.
    let seq = hub.store().seq();
    discovery.set("b", "draining");
    until("the drain is declared", || hub.store().seq() > seq).await;
    peer.asks.send(subscribe(Kind::Cluster, &["origin"])).await.expect("sent");
    let third = peer.answer().await.expect("an answer");
    assert_eq!(third.type_url, Kind::Cluster.type_url());
    peer.reply(&third, None).await;
    until("it has taken all", || hub.counters.acks.load(Relaxed) == 3 && hub.subscribers()[0].lag == 0).await;
    assert_eq!(hub.counters.answers.load(Relaxed), 3);
}

#[tokio::test]
async fn streams_beyond_the_limit_are_turned_away() {
    let fleet = nodes(&["a"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let limits = rushquay_control_service::LimitSettings { streams: 2, ..Default::default() };
    let settings = Settings { limits, ..Settings::default() };
    let service = start(Options { settings, ..options(SourceOption::Discovery(discovery.addr)) })
        .await
        .expect("started");
    let mut held = Vec::new();
    for i in 0..2 {
        let mut peer = DeltaPeer::new(service.xds, &i.to_string(), subscribe(Kind::Cluster, &[])).await;
        peer.answer().await.expect("an answer");
        held.push(peer);
    }
    let mut client = AggregatedDiscoveryServiceClient::new(channel(service.xds).await);
    let refused = client.delta_aggregated_resources(tokio_stream::once(subscribe(Kind::Cluster, &[]))).await;
    assert_eq!(refused.expect_err("one too many").code(), Code::ResourceExhausted);
    // A place that is given up is there for the next.
    drop(held.pop());
    let hub = service.hub().clone();
    until("the place is free", || hub.open_streams() == 1).await;
    DeltaPeer::new(service.xds, "next", subscribe(Kind::Cluster, &[]))
        .await
        .answer()
        .await
        .expect("an answer");
}
