//! What a control service says is to run, and what it is told of this host: the resource that the proxy itself follows, on a stream
//! of the host's own, so that a proxy that hangs or hears nothing is not what the host depends on.

use super::say;
use crate::proxy::control::settings::ControlSource;
use rushquay_config_version::ConfigAssignment;
use rushquay_lease::Epoch;
use rushquay_xds::client::Outage;
use rushquay_xds_grpc::{run, ClientEvent, ClientOptions, Tls, TlsFiles};
use rushquay_xds_resources::{ControlFollower, FollowerConfig, FollowerEvent};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, Notify};

/// An answer is at most this long.
const ANSWER_MOST: usize = 1 << 20;

/// Follows for good.
pub async fn follow(
    source: ControlSource,
    name: String,
    epoch: u64,
    news: Arc<Notify>,
    tells: impl FnMut() -> Option<String> + 'static,
    told: mpsc::UnboundedSender<(u64, ConfigAssignment)>,
) {
    let tls = match &source.tls {
        None => None,
        Some(t) => {
            let files = TlsFiles { cert: t.cert.clone(), key: t.key.clone(), ca: t.ca.clone() };
            match Tls::read(&files) {
                Ok(tls) => Some((tls, t.server_name.clone())),
                Err(e) => return say(format_args!("no control service is followed: {e}")),
            }
        }
    };
    let options = ClientOptions {
        addresses: source.addresses.clone(),
        node: format!("host/{name}"),
        cluster: "hosts".into(),
        tls,
        message: ANSWER_MOST,
        identity: None,
        wake: Some(news),
    };
    let millis = |ms: u64| ms.saturating_mul(1_000_000);
    let mut follow = ControlFollower::new(FollowerConfig {
        addresses: source.addresses.len(),
        clusters: Vec::new(),
        collections: false,
        backoff: (millis(source.backoff_ms), millis(source.backoff_most_ms)),
        most: 16,
    });
    follow.since_epoch(Epoch(epoch));
    // What this machine can't bring to run is told with the next report, with what came of it.
    follow.settings(&name, |_| Ok(()), tells);
    let begin = Instant::now();
    let mut outage = Outage::default();
    let notice = |_: &ControlFollower, notice: ClientEvent<FollowerEvent>| match notice {
        ClientEvent::Connected(addr) => {
            outage.over();
            say(format_args!("control service at {addr}: connected"));
        }
        ClientEvent::News(said) => {
            if let Some(given) = said.settings {
                // The receiver is gone only when the host ends.
                let _ = told.send((Epoch::from_name(&said.process).0, given));
            }
        }
        ClientEvent::Refused(why) => say(format_args!("control service: refused an answer: {why}")),
        ClientEvent::Lost(addr, why) => {
            if let Some(n) = outage.failed(&format!("{addr}: {why}")) {
                say(format_args!("control service at {addr}: {why}; what runs stays (failure {n})"));
            }
        }
        ClientEvent::Ahead(..) => {}
    };
    run(options, &mut follow, fastrand::f64, move || begin.elapsed().as_nanos() as u64, notice).await;
}
