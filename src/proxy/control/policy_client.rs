//! The proxy's participation in policies: it requests leases, and applies the policies that it holds a lease for, or the fallback
//! policy without a lease (`docs/design-policy.md`). `rushquay_policy` makes the decisions; this module connects it to the clock, the
//! messages of the control service and the layers of settings.

use crate::api::Nanos;
use crate::proxy::config::layers::{ConfigLayers, PolicyLayer};
use crate::proxy::control::policy_settings::PolicySource;
use rushquay_control_service::Clocks;
use rushquay_policy::{
    ActivePolicy, BroadcastError, FallbackPolicy, Incarnation, LeaseGrant, Member, Policy as Body,
    PolicyBroadcast, PolicyNumber, PolicySet, Revision,
};
use rushquay_xds_resources::PolicyMessage;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Advised wait of a request that a policy rejects, unless the maximum in the settings is lower.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The policy state that an incumbent hands over to its successor.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyHandover {
    member: rushquay_policy::MemberSnapshot,
    /// The applied broadcast, as it was received.
    holding: Option<String>,
}

impl PolicyHandover {
    /// Serializes the state as JSON.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the state. One that cannot be parsed is logged and ignored: the control service sends everything again.
    pub fn read(text: &str) -> Option<Self> {
        let read = serde_json::from_str(text);
        read.map_err(|e| crate::proxy::log(format_args!("ignoring the policy of the old process: {e}"))).ok()
    }
}

/// The lease state of this process and the broadcasts that it has received.
struct State {
    member: Member,
    /// The applied broadcast.
    applied: Option<PolicyBroadcast>,
    /// The last received broadcast, or its revision and why it cannot be applied.
    received: Option<Result<PolicyBroadcast, (Revision, String)>>,
    /// A lease grant for policies that have not been received yet.
    pending_grant: Option<LeaseGrant>,
    /// The policies last passed to the layers of settings.
    last_passed: Option<(ActivePolicy, Option<PolicySet>)>,
}

/// This process as a member of policies.
pub struct PolicyClient {
    source: PolicySource,
    layers: Rc<ConfigLayers>,
    clocks: Clocks,
    state: RefCell<State>,
    /// The active policy does not expire before this time.
    valid_until: Cell<Nanos>,
    /// Whether a lease request is due.
    request_due: Cell<bool>,
    news: Arc<Notify>,
    lease_granted: Notify,
}

impl PolicyClient {
    /// Creates a client that starts with the incumbent's policies, but without its lease, or without any policy.
    pub fn new(
        source: PolicySource,
        layers: Rc<ConfigLayers>,
        clocks: Clocks,
        inherited: Option<PolicyHandover>,
        news: Arc<Notify>,
    ) -> Rc<Self> {
        let (boot, now) = (Incarnation(layers.engine().now()), (clocks.monotonic)());
        let parse_broadcast = |text: &str| {
            let read = PolicyBroadcast::read(text);
            read.map_err(|e| crate::proxy::log(format_args!("ignoring the policy of the old process: {e}")))
                .ok()
        };
        let fresh = Member::new(boot, source.startup, now);
        let (member, applied) = match inherited {
            None => (fresh, None),
            Some(PolicyHandover { member, holding: None }) => {
                (Member::take_over(boot, source.startup, member, now), None)
            }
            Some(PolicyHandover { member, holding: Some(text) }) => match parse_broadcast(&text) {
                Some(held) => (Member::take_over(boot, source.startup, member, now), Some(held)),
                None => (fresh, None),
            },
        };
        let state =
            RefCell::new(State { member, applied, received: None, pending_grant: None, last_passed: None });
        let policy = Rc::new(PolicyClient {
            source,
            layers,
            clocks,
            state,
            valid_until: Cell::new(0),
            request_due: Cell::new(true),
            news,
            lease_granted: Notify::new(),
        });
        policy.refresh();
        policy
    }

    fn now(&self) -> Nanos {
        (self.clocks.monotonic)()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.state.borrow().member.incarnation().0
    }

    /// Returns the interval between lease requests.
    pub fn request_interval(&self) -> Duration {
        self.source.request_interval
    }

    /// Sends a lease request as soon as possible.
    pub fn request_lease_now(&self) {
        self.request_due.set(true);
        self.news.notify_one();
        // Leases expire by the clock even if the stream is down.
        self.refresh();
    }

    /// Returns the lease request, if one is due.
    pub fn due_lease_request(&self) -> Option<String> {
        let now = self.now();
        self.request_due.replace(false).then(|| self.state.borrow_mut().member.next_request(now).text())
    }

    /// Returns whether any request may be served.
    pub fn permits_serving(&self) -> bool {
        self.refresh();
        !self.layers.rejects_all()
    }

    /// Returns once it holds a lease.
    pub async fn wait_for_lease(&self) {
        while !matches!(self.state.borrow().member.acting(self.now()), ActivePolicy::Leased(_)) {
            self.lease_granted.notified().await;
        }
    }

    /// Returns the state to hand over to a successor.
    pub fn handover(&self) -> PolicyHandover {
        let state = self.state.borrow();
        PolicyHandover {
            member: state.member.snapshot(),
            holding: state.applied.as_ref().map(PolicyBroadcast::text),
        }
    }

    /// Applies the policies that are active now, if the last ones may have expired. Danger: a timer may fire late, and a process that was
    /// stopped may handle a request before its timers fire, so each request calls this.
    pub fn refresh(&self) {
        if self.now() >= self.valid_until.get() {
            self.apply_active();
        }
    }

    /// Returns the `Retry-After` of a class if the active policies reject it.
    pub fn rejects(&self, class: usize) -> Option<Duration> {
        let max = self.layers.engine().active_config().settings.max_retry_after;
        self.layers.rejects(class).then(|| RETRY_AFTER.min(Duration::from_nanos(max)))
    }

    /// Handles messages from the control service.
    pub fn on_messages(&self, texts: &[PolicyMessage]) {
        for text in texts {
            match text {
                PolicyMessage::Broadcast(text) => self.on_broadcast(text),
                PolicyMessage::LeaseGrant(text) => match LeaseGrant::read(text) {
                    Ok(grant) => self.on_lease_grant(&grant),
                    Err(e) => crate::proxy::log(format_args!("ignoring a policy lease grant: {e}")),
                },
            }
        }
    }

    /// Handles a broadcast of policies.
    fn on_broadcast(&self, text: &str) {
        let received = match PolicyBroadcast::read(text) {
            Ok(broadcast) => Ok(broadcast),
            Err(BroadcastError::Unsupported { revision, why }) => Err((revision, why)),
            // This process never joins the revision, and is fenced once its lease expires.
            Err(e) => return crate::proxy::log(format_args!("ignoring a policy broadcast: {e}")),
        };
        self.state.borrow_mut().received = Some(received);
        let pending_grant = self.state.borrow_mut().pending_grant.take();
        pending_grant.iter().for_each(|grant| self.on_lease_grant(grant));
        // The leader may be waiting for this process to receive the broadcast.
        self.request_lease_now();
    }

    /// Handles a lease grant.
    fn on_lease_grant(&self, grant: &LeaseGrant) {
        let new = {
            let state = &mut *self.state.borrow_mut();
            let received = match &state.received {
                Some(Ok(broadcast)) => Some(broadcast.revision),
                Some(Err((revision, _))) => Some(*revision),
                None => None,
            };
            if grant.revision > state.member.revision() && received < Some(grant.revision) {
                // The broadcast of the granted policies has not arrived yet.
                state.pending_grant = Some(*grant);
                return;
            }
            let (layers, fallback, received) = (&self.layers, &self.source.floor, &state.received);
            let new = state.member.process_grant(grant, |policy_set| match received {
                Some(Err((revision, why))) if *revision == grant.revision => Err(why.clone()),
                Some(Ok(broadcast))
                    if broadcast.revision == grant.revision && broadcast.policy_set == policy_set =>
                {
                    check_broadcast(layers, broadcast, fallback)
                }
                _ => Err(format!("revision {} was never received by this process", grant.revision.0)),
            });
            if new {
                state.applied = state.received.clone().and_then(Result::ok);
            }
            new
        };
        self.apply_active();
        if new {
            // The leader may be waiting for this process to apply the policies.
            self.request_lease_now();
        }
        self.lease_granted.notify_one();
    }

    /// Applies the policies that are active now.
    fn apply_active(&self) {
        let state = &mut *self.state.borrow_mut();
        let (leave, until) = state.member.active_policy_until(self.now());
        let last = state.member.last_policy_set();
        self.valid_until.set(until);
        if state.last_passed == Some((leave, last)) {
            return;
        }
        state.last_passed = Some((leave, last));
        let policies: BTreeMap<PolicyNumber, Body> =
            state.applied.as_ref().map(|h| h.policies.clone()).unwrap_or_default();
        let layer = PolicyLayer { leave, last, policies, fallback_policy: self.source.floor.clone() };
        let revision = state.member.revision().0;
        match self.layers.apply_policy(layer) {
            Ok(()) => {
                crate::proxy::log(format_args!(
                    "policy: acting by {} (revision {revision})",
                    describe(leave)
                ));
            }
            // Policies were validated before the lease was accepted, but a fallback policy may name a class that this proxy does not
            // have.
            Err(why) => {
                crate::proxy::log(format_args!(
                    "policy: {} cannot be applied: {why}; all requests are rejected",
                    describe(leave)
                ));
                let reject_all = PolicyLayer {
                    leave: ActivePolicy::Denied,
                    last,
                    policies: BTreeMap::new(),
                    fallback_policy: FallbackPolicy::Nobody,
                };
                let _ = self.layers.apply_policy(reject_all);
            }
        }
    }
}

/// Describes the active policies for the log.
fn describe(leave: ActivePolicy) -> String {
    match leave {
        ActivePolicy::Leased(PolicySet::Pure(one)) => format!("policy {} alone", one.0),
        ActivePolicy::Leased(PolicySet::Joint(old, new)) => {
            format!("policies {} and {} at once", old.0, new.0)
        }
        ActivePolicy::Fallback => "the floor".into(),
        ActivePolicy::Denied => "nothing".into(),
    }
}

/// Checks that every policy of a broadcast can be applied by this proxy, and that this proxy's own fallback policy is no looser than any
/// of them.
fn check_broadcast(
    layers: &ConfigLayers,
    broadcast: &PolicyBroadcast,
    fallback: &FallbackPolicy,
) -> Result<(), String> {
    for (number, body) in &broadcast.policies {
        let paths = fallback.looser_paths(&body.settings);
        if !paths.is_empty() {
            return Err(format!(
                "the floor in this proxy's own settings is looser than policy {} in {}",
                number.0,
                paths.join(", ")
            ));
        }
        // Each policy is checked alone and with its fallback policy. Their intersection is checked below.
        let policy_set = Some(PolicySet::Pure(*number));
        for leave in [ActivePolicy::Leased(PolicySet::Pure(*number)), ActivePolicy::Fallback] {
            let layer = PolicyLayer {
                leave,
                last: policy_set,
                policies: broadcast.policies.clone(),
                fallback_policy: fallback.clone(),
            };
            layers.check_policy(&layer)?;
        }
    }
    let leave = ActivePolicy::Leased(broadcast.policy_set);
    let policies = broadcast.policies.clone();
    layers.check_policy(&PolicyLayer {
        leave,
        last: Some(broadcast.policy_set),
        policies,
        fallback_policy: fallback.clone(),
    })
}
