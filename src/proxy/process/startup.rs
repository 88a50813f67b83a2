//! The start of a process: what it takes from the one before it, and when it takes that one's place.

use crate::proxy::config::Config;
use crate::proxy::control::policy_client::PolicyHandover;
use crate::proxy::listener::listener_socket::{self, ListenSocket};
use crate::proxy::process::handover::{self, Found, HandoverServer, Link};
use crate::proxy::server::Server;
use rushquay_endpoints::EndpointList;
use rushquay_handover::{ResourceShare, SlowStartAllowance};
use rushquay_invariants::check_reported_serving;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A process that is to serve looks so often whether it can.
const SERVE_LOOK: Duration = Duration::from_millis(10);
/// A new process waits so long for leave before it goes by the floor of its policy.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// Where the old process can't be heard of it has gone by then: the new one has 6 s to say yes, and SIGKILL comes soon after.
const BESIDE_FOR: Duration = Duration::from_secs(12);

/// What a process takes from the one before it.
#[derive(Default)]
pub(crate) struct Inherited {
    /// The settings that it was given to act by.
    pub settings: Option<String>,
    /// What it left to be sent to cold nodes.
    pub cold: Vec<SlowStartAllowance>,
    /// What it acted by of policies.
    pub policy: Option<PolicyHandover>,
}

/// What a process begins with.
pub(crate) struct StartupPlan {
    /// Its place at the clients' address.
    pub listening: ListenSocket,
    /// That address.
    pub bound: SocketAddr,
    /// What it may hold at first.
    pub share: ResourceShare,
    /// The process that hands over to it.
    pub predecessor: Option<Link>,
    pub inherited: Inherited,
}

impl StartupPlan {
    /// Finds the process to take over from, or takes the address.
    ///
    /// # Errors
    /// An address that can't be listened on, or another new process that is just taking over.
    pub async fn find(
        config: &mut Config,
        meeting: Option<&Path>,
        whole: ResourceShare,
    ) -> Result<Self, String> {
        let found = match meeting {
            Some(meeting) => handover::look(meeting, config.listen).await?,
            None => Found::None,
        };
        let (listening, mut share, predecessor, inherited) = match found {
            Found::Old { listener, offer, link } => {
                // What the old process was told counts as told to this one.
                config.known = newer(config.known.take(), offer.list);
                let policy = offer.policy.and_then(|text| PolicyHandover::read(&text));
                let inherited = Inherited { settings: offer.settings, cold: offer.cold, policy };
                (ListenSocket::Alone(listener), offer.share, Some(link), inherited)
            }
            Found::None => (listener_socket::bind(config.listen)?, whole, None, Inherited::default()),
        };
        let bound = match &listening {
            ListenSocket::Alone(listener) => listener.local_addr(),
            ListenSocket::Beside(_) => {
                share = whole.kept();
                Ok(config.listen)
            }
        };
        let bound = bound.map_err(|e| format!("PROXY_LISTEN: {}: {e}", config.listen))?;
        Ok(StartupPlan { listening, bound, share, predecessor, inherited })
    }

    /// Whether another process serves at the address.
    pub fn is_beside(&self) -> bool {
        matches!(self.listening, ListenSocket::Beside(_)) || self.predecessor.is_some()
    }
}

/// The later of two lists.
fn newer(known: Option<EndpointList>, told: Option<EndpointList>) -> Option<EndpointList> {
    match (known, told) {
        (Some(known), Some(told)) if known.version > told.version => Some(known),
        (known, told) => told.or(known),
    }
}

/// What came of waiting for the moment in which a new process takes the old one's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TakeOver {
    /// It may serve.
    Ready,
    /// The old process has ended before.
    PredecessorGone,
    /// This process was told to end before.
    Stopped,
}

impl Server {
    /// Waits until this process may serve in place of the old one. Danger: what it accepts before that it takes away from the old
    /// one, which could serve it.
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

    /// Returns once the guard of serving lets this process say that it serves.
    async fn until_ready(&self) {
        while !self.backend.can_serve() {
            sleep(SERVE_LOOK).await;
        }
        // Danger: without leave it goes by the floor, and refuses what the old one would serve.
        if let Some(policy) = &self.policy {
            if timeout(LEAVE_WITHIN, policy.wait_for_lease()).await.is_err() {
                crate::proxy::log("no leave yet: it goes by the floor until it is answered");
            }
        }
        while self.readiness().is_err() {
            sleep(SERVE_LOOK).await;
        }
    }

    /// Tells the old process that this one serves in its place, and has this one hold all that it may once that one has ended.
    pub(crate) async fn succeed(&self, predecessor: Option<Link>, beside: bool, keeper: Rc<HandoverServer>) {
        if let Some(mut link) = predecessor {
            self.check_said_serving();
            link.ready().await;
            tokio::task::spawn_local(async move {
                link.ended().await;
                crate::proxy::log("the old process has ended");
                keeper.alone();
            });
        } else if beside {
            tokio::task::spawn_local(async move {
                sleep(BESIDE_FOR).await;
                keeper.alone();
            });
        }
    }

    /// Counts a word that this process serves, given where the guard forbids it.
    pub(crate) fn check_said_serving(&self) {
        if let Some(violation) = check_reported_serving(&self.serve_facts()) {
            crate::proxy::violation(&self.metrics, violation, &format!("{:?}", self.serve_facts()));
        }
    }
}

async fn ended(link: &mut Option<Link>) {
    match link {
        Some(link) => link.ended().await,
        None => std::future::pending().await,
    }
}
