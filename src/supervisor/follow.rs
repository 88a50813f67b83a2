//! The supervisor's connection to the control service: receives config assignments and sends reports. It subscribes to
//! the same resource as the proxy, but on a stream of its own, so that it does not depend on a proxy that hangs or is
//! disconnected.

use super::log;
use crate::proxy::control::settings::ControlSource;
use rushquay_config_version::ConfigAssignment;
use rushquay_lease::Epoch;
use rushquay_xds::client::Outage;
use rushquay_xds_grpc::{run, ClientEvent, ClientOptions, Tls, TlsFiles};
use rushquay_xds_resources::{ControlFollower, FollowerConfig, FollowerEvent};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, Notify};

/// The longest response of the control service, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Follows the control service until the task is dropped. `epoch` is the highest epoch seen so far; `report_due` wakes
/// the sender of reports; `next_report` returns the report to send; `assignments` receives each assignment with its epoch.
pub async fn follow(
    source: ControlSource,
    name: String,
    epoch: u64,
    report_due: Arc<Notify>,
    next_report: impl FnMut() -> Option<String> + 'static,
    assignments: mpsc::UnboundedSender<(u64, ConfigAssignment)>,
) {
    let tls = match &source.tls {
        None => None,
        Some(settings) => {
            let files =
                TlsFiles { cert: settings.cert.clone(), key: settings.key.clone(), ca: settings.ca.clone() };
            match Tls::read(&files) {
                Ok(tls) => Some((tls, settings.server_name.clone())),
                Err(e) => return log(format_args!("the control service is not used: {e}")),
            }
        }
    };
    let options = ClientOptions {
        addresses: source.addresses.clone(),
        node: format!("host/{name}"),
        cluster: "hosts".into(),
        tls,
        message: MAX_RESPONSE_BYTES,
        identity: None,
        wake: Some(report_due),
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
    // Every assignment is accepted here: one that fails on this machine is reported with the reason in the next report.
    follow.settings(&name, |_| Ok(()), next_report);
    let started_at = Instant::now();
    let mut outage = Outage::default();
    let notice = |_: &ControlFollower, notice: ClientEvent<FollowerEvent>| match notice {
        ClientEvent::Connected(addr) => {
            outage.over();
            log(format_args!("control service at {addr}: connected"));
        }
        ClientEvent::News(event) => {
            if let Some(assignment) = event.settings {
                // The receiver is dropped only when the supervisor ends.
                let _ = assignments.send((Epoch::from_name(&event.process).0, assignment));
            }
        }
        ClientEvent::Refused(why) => log(format_args!("control service: rejected a response: {why}")),
        ClientEvent::Lost(addr, why) => {
            if let Some(n) = outage.failed(&format!("{addr}: {why}")) {
                log(format_args!(
                    "control service at {addr}: {why}; the running program stays (failure {n})"
                ));
            }
        }
        ClientEvent::Ahead(..) => {}
    };
    run(options, &mut follow, fastrand::f64, move || started_at.elapsed().as_nanos() as u64, notice).await;
}
