//! Process startup: the state inherited from a predecessor, and the moment at which this process takes over from it.

use crate::proxy::config::Config;
use crate::proxy::control::policy_client::PolicyHandover;
use crate::proxy::listener::listener_socket::{self, ListenSocket};
use crate::proxy::process::handover::{self, Found, HandoverServer, Link};
use crate::proxy::server::Server;
use rushquay_endpoints::EndpointList;
use rushquay_handover::{ControlHandover, ResourceShare, SlowStartAllowance, StartClockHandover};
use rushquay_invariants::check_reported_serving;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often a starting process checks whether it can serve.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a new process waits for a policy lease before it applies its fallback policy.
const POLICY_LEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// An old process to which there is no connection has ended by then: the new one has 6 s to report that it serves, and the old one
/// gets SIGKILL soon after.
const PREDECESSOR_EXIT_TIMEOUT: Duration = Duration::from_secs(12);

/// The state that a process inherits from its predecessor.
#[derive(Default)]
pub(crate) struct Inherited {
    /// The settings that the predecessor was assigned.
    pub settings: Option<String>,
    /// The remaining slow-start allowances of cold nodes.
    pub cold: Vec<SlowStartAllowance>,
    /// The policy state that the predecessor applied.
    pub policy: Option<PolicyHandover>,
    /// What the predecessor held by word of the control service.
    pub control: Option<ControlHandover>,
    /// The clocks by which the predecessor told how long ago nodes started.
    pub starts: Option<StartClockHandover>,
}

/// What a process starts with.
pub(crate) struct StartupPlan {
    /// The socket at the client address.
    pub listening: ListenSocket,
    /// The client address.
    pub bound: SocketAddr,
    /// The share of the resources that it may use at first.
    pub share: ResourceShare,
    /// The connection to the process that hands over.
    pub predecessor: Option<Link>,
    pub inherited: Inherited,
}

impl StartupPlan {
    /// Finds the process to take over from, or binds the address if there is none.
    ///
    /// # Errors
    /// An address that can't be listened on, or another new process that is just taking over.
    pub async fn find(
        config: &mut Config,
        meeting: Option<&Path>,
        whole: ResourceShare,
    ) -> Result<Self, String> {
        let found = match meeting {
            Some(meeting) => handover::find_predecessor(meeting, config.listen).await?,
            None => Found::None,
        };
        let (listening, mut share, predecessor, inherited) = match found {
            Found::Old { listener, offer, link } => {
                // A newer endpoint list that the old process had received applies to this one too.
                config.known = newer(config.known.take(), offer.list);
                let policy = offer.policy.and_then(|text| PolicyHandover::read(&text));
                let inherited = Inherited {
                    settings: offer.settings,
                    cold: offer.cold,
                    policy,
                    control: offer.control.map(|control| *control),
                    starts: offer.starts,
                };
                (ListenSocket::Alone(listener), offer.share, Some(link), inherited)
            }
            Found::None => (listener_socket::bind(config.listen)?, whole, None, Inherited::default()),
        };
        let bound = match &listening {
            ListenSocket::Alone(listener) => listener.local_addr(),
            ListenSocket::Beside(_) => {
                share = whole.incumbent_share();
                Ok(config.listen)
            }
        };
        let bound = bound.map_err(|e| format!("PROXY_LISTEN: {}: {e}", config.listen))?;
        Ok(StartupPlan { listening, bound, share, predecessor, inherited })
    }

    /// Whether another process also serves at the address.
    pub fn is_beside(&self) -> bool {
        matches!(self.listening, ListenSocket::Beside(_)) || self.predecessor.is_some()
    }
}

/// The newer of two endpoint lists.
fn newer(known: Option<EndpointList>, offered: Option<EndpointList>) -> Option<EndpointList> {
    match (known, offered) {
        (Some(known), Some(offered)) if known.version > offered.version => Some(known),
        (known, offered) => offered.or(known),
    }
}

/// The outcome of waiting to take over from the old process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakeOver {
    /// This process may serve.
    Ready,
    /// The old process ended first.
    PredecessorGone,
    /// This process was asked to end first.
    Stopped,
}

impl Server {
    /// Waits until this process may serve in place of the old one. Danger: any connection that it accepts earlier is taken from the
    /// old process, which could serve it.
    pub(crate) async fn wait_to_take_over(
        &self,
        stop: &mut Pin<&mut impl Future<Output = ()>>,
        predecessor: &mut Option<Link>,
    ) -> TakeOver {
        tokio::select! {
            biased;
            () = stop.as_mut() => TakeOver::Stopped,
            () = self.until_ready() => TakeOver::Ready,
            () = ended(predecessor) => {
                crate::proxy::log("the old process has ended");
                TakeOver::PredecessorGone
            }
        }
    }

    /// Returns once this process is allowed to report that it serves.
    async fn until_ready(&self) {
        while !self.backend.can_serve() {
            sleep(READINESS_POLL_INTERVAL).await;
        }
        // Danger: without a policy lease it applies the fallback policy, and rejects requests that the old process would serve.
        if let Some(policy) = &self.policy {
            if timeout(POLICY_LEASE_TIMEOUT, policy.wait_for_lease()).await.is_err() {
                crate::proxy::log(
                    "no leave yet: applying the fallback policy until a policy lease is granted",
                );
            }
        }
        while self.readiness().is_err() {
            sleep(READINESS_POLL_INTERVAL).await;
        }
    }

    /// Reports to the old process that this one serves in its place. Once the old process has ended, this one uses its full share of
    /// the resources.
    pub(crate) async fn succeed(
        &self,
        predecessor: Option<Link>,
        beside: bool,
        handover_server: Rc<HandoverServer>,
    ) {
        if let Some(mut link) = predecessor {
            self.check_said_serving();
            link.ready().await;
            tokio::task::spawn_local(async move {
                link.ended().await;
                crate::proxy::log("the old process has ended");
                handover_server.predecessor_ended();
            });
        } else if beside {
            tokio::task::spawn_local(async move {
                sleep(PREDECESSOR_EXIT_TIMEOUT).await;
                handover_server.predecessor_ended();
            });
        }
    }

    /// Counts a violation if this process reports that it serves while it is not allowed to.
    pub(crate) fn check_said_serving(&self) {
        if let Some(violation) = check_reported_serving(&self.serve_facts()) {
            crate::proxy::violation(&self.metrics, violation, &format!("{:?}", self.serve_facts()));
        }
    }
}

/// Returns when the predecessor has ended; never if there is none.
async fn ended(link: &mut Option<Link>) {
    match link {
        Some(link) => link.ended().await,
        None => std::future::pending().await,
    }
}
