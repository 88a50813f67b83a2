//! The proxy's part in policies: it requests leases, applies the policies that it holds a lease for, and the fallback policy without one
//! (`docs/design-policy.md`). `rushquay_policy` decides; here are the clock, the messages and the layers of settings.

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

/// Retry-After for a request that a policy rejects, as far as the settings allow it.
const WAIT: Duration = Duration::from_secs(1);

/// What an incumbent hands over to its successor.
#[derive(Debug, Serialize, Deserialize)]
pub struct PolicyHandover {
    member: rushquay_policy::MemberSnapshot,
    /// The broadcast that is applied, as it was received.
    holding: Option<String>,
}

impl PolicyHandover {
    /// The message as JSON.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses it; one that cannot be parsed is ignored: the control service sends everything again.
    pub fn read(text: &str) -> Option<Self> {
        let read = serde_json::from_str(text);
        read.map_err(|e| crate::proxy::log(format_args!("the old process's policy is not taken: {e}"))).ok()
    }
}

struct State {
    member: Member,
    /// The broadcast that is applied.
    held: Option<PolicyBroadcast>,
    /// The last broadcast received, or its revision and why it cannot be applied.
    came: Option<Result<PolicyBroadcast, (Revision, String)>>,
    /// A lease grant whose policies have not been received yet.
    waits: Option<LeaseGrant>,
    /// What was last passed to the layers.
    said: Option<(ActivePolicy, Option<PolicySet>)>,
}

/// This process as a member of policies.
pub struct PolicyClient {
    source: PolicySource,
    layers: Rc<ConfigLayers>,
    clocks: Clocks,
    state: RefCell<State>,
    /// Nothing expires before this time.
    until: Cell<Nanos>,
    /// A lease request is due.
    due: Cell<bool>,
    news: Arc<Notify>,
    lease_granted: Notify,
}

impl PolicyClient {
    /// Starts on what the incumbent applied, without its lease, or on nothing yet.
    pub fn new(
        source: PolicySource,
        layers: Rc<ConfigLayers>,
        clocks: Clocks,
        handed: Option<PolicyHandover>,
        news: Arc<Notify>,
    ) -> Rc<Self> {
        let (boot, now) = (Incarnation(layers.engine().now()), (clocks.steady)());
        let holding = |text: &str| {
            let read = PolicyBroadcast::read(text);
            read.map_err(|e| crate::proxy::log(format_args!("the old process's policy is not taken: {e}")))
                .ok()
        };
        let fresh = Member::new(boot, source.unanswered, now);
        let (member, held) = match handed {
            None => (fresh, None),
            Some(PolicyHandover { member, holding: None }) => {
                (Member::take_over(boot, source.unanswered, member, now), None)
            }
            Some(PolicyHandover { member, holding: Some(text) }) => match holding(&text) {
                Some(held) => (Member::take_over(boot, source.unanswered, member, now), Some(held)),
                None => (fresh, None),
            },
        };
        let state = RefCell::new(State { member, held, came: None, waits: None, said: None });
        let policy = Rc::new(PolicyClient {
            source,
            layers,
            clocks,
            state,
            until: Cell::new(0),
            due: Cell::new(true),
            news,
            lease_granted: Notify::new(),
        });
        policy.refresh();
        policy
    }

    fn now(&self) -> Nanos {
        (self.clocks.steady)()
    }

    /// The incarnation of this process.
    pub fn boot(&self) -> u64 {
        self.state.borrow().member.boot().0
    }

    /// Interval between lease requests.
    pub fn request_interval(&self) -> Duration {
        self.source.every
    }

    /// Sends a lease request as soon as possible.
    pub fn request_lease_now(&self) {
        self.due.set(true);
        self.news.notify_one();
        // The stream may be down; what is due by the clock is done anyway.
        self.refresh();
    }

    /// The lease request that is due.
    pub fn due_lease_request(&self) -> Option<String> {
        let now = self.now();
        self.due.replace(false).then(|| self.state.borrow_mut().member.ask(now).text())
    }

    /// Whether any request may be served.
    pub fn permits_serving(&self) -> bool {
        self.refresh();
        !self.layers.rejects_all()
    }

    /// Returns once it holds a lease.
    pub async fn answered(&self) {
        while !matches!(self.state.borrow().member.acting(self.now()), ActivePolicy::Leased(_)) {
            self.lease_granted.notified().await;
        }
    }

    /// What a successor has to know.
    pub fn handover(&self) -> PolicyHandover {
        let state = self.state.borrow();
        PolicyHandover {
            member: state.member.snapshot(),
            holding: state.held.as_ref().map(PolicyBroadcast::text),
        }
    }

    /// Applies what there is a lease for now. Danger: a timer may fire late, and a process that was stopped continues with a request
    /// before its timers.
    pub fn refresh(&self) {
        if self.now() >= self.until.get() {
            self.act();
        }
    }

    /// Whether the active policies reject a class, with the advised wait.
    pub fn rejects(&self, class: usize) -> Option<Duration> {
        let most = self.layers.engine().acting().settings.max_retry_after;
        self.layers.rejects(class).then(|| WAIT.min(Duration::from_nanos(most)))
    }

    /// Handles messages of the control service.
    pub fn on_messages(&self, texts: &[PolicyMessage]) {
        for text in texts {
            match text {
                PolicyMessage::Broadcast(text) => self.holds(text),
                PolicyMessage::LeaseGrant(text) => match LeaseGrant::read(text) {
                    Ok(grant) => self.granted(&grant),
                    Err(e) => crate::proxy::log(format_args!("a leave is not taken: {e}")),
                },
            }
        }
    }

    fn holds(&self, text: &str) {
        let came = match PolicyBroadcast::read(text) {
            Ok(holding) => Ok(holding),
            Err(BroadcastError::Beyond { revision, why }) => Err((revision, why)),
            // This process never joins the revision, and is fenced in time.
            Err(e) => return crate::proxy::log(format_args!("what holds of policies is not taken: {e}")),
        };
        self.state.borrow_mut().came = Some(came);
        let waits = self.state.borrow_mut().waits.take();
        waits.iter().for_each(|grant| self.granted(grant));
        // The leader that waits for this process learns the sooner.
        self.request_lease_now();
    }

    fn granted(&self, grant: &LeaseGrant) {
        let new = {
            let state = &mut *self.state.borrow_mut();
            let came = match &state.came {
                Some(Ok(holding)) => Some(holding.revision),
                Some(Err((revision, _))) => Some(*revision),
                None => None,
            };
            if grant.revision > state.member.revision() && came < Some(grant.revision) {
                // The policies that it grants are still on their way.
                state.waits = Some(*grant);
                return;
            }
            let (layers, begin_by, came) = (&self.layers, &self.source.floor, &state.came);
            let new = state.member.granted(grant, |told| match came {
                Some(Err((revision, why))) if *revision == grant.revision => Err(why.clone()),
                Some(Ok(holding)) if holding.revision == grant.revision && holding.told == told => {
                    could(layers, holding, begin_by)
                }
                _ => Err(format!("revision {} was never told here", grant.revision.0)),
            });
            if new {
                state.held = state.came.clone().and_then(Result::ok);
            }
            new
        };
        self.act();
        if new {
            // The leader that waits for this process is told immediately.
            self.request_lease_now();
        }
        self.lease_granted.notify_one();
    }

    /// Applies what there is a lease for now.
    fn act(&self) {
        let state = &mut *self.state.borrow_mut();
        let (leave, until) = state.member.standing(self.now());
        let last = state.member.told();
        self.until.set(until);
        if state.said == Some((leave, last)) {
            return;
        }
        state.said = Some((leave, last));
        let policies: BTreeMap<PolicyNumber, Body> =
            state.held.as_ref().map(|h| h.policies.clone()).unwrap_or_default();
        let say = PolicyLayer { leave, last, policies, begin_by: self.source.floor.clone() };
        let revision = state.member.revision().0;
        match self.layers.apply_policy(say) {
            Ok(()) => {
                crate::proxy::log(format_args!("policy: acting by {} (revision {revision})", words(leave)));
            }
            // It was validated before it was accepted; a fallback policy may still name a class that this proxy does not have.
            Err(why) => {
                crate::proxy::log(format_args!(
                    "policy: {} can't be obeyed: {why}; nobody is served",
                    words(leave)
                ));
                let nobody = PolicyLayer {
                    leave: ActivePolicy::Denied,
                    last,
                    policies: BTreeMap::new(),
                    begin_by: FallbackPolicy::Nobody,
                };
                let _ = self.layers.apply_policy(nobody);
            }
        }
    }
}

fn words(leave: ActivePolicy) -> String {
    match leave {
        ActivePolicy::Leased(PolicySet::Pure(one)) => format!("policy {} alone", one.0),
        ActivePolicy::Leased(PolicySet::Joint(old, new)) => {
            format!("policies {} and {} at once", old.0, new.0)
        }
        ActivePolicy::Fallback => "the floor".into(),
        ActivePolicy::Denied => "nothing".into(),
    }
}

/// Checks that every policy of a broadcast can be applied here, and is no stricter than this proxy's own fallback policy.
fn could(layers: &ConfigLayers, holding: &PolicyBroadcast, begin_by: &FallbackPolicy) -> Result<(), String> {
    for (number, body) in &holding.policies {
        let paths = begin_by.looser(&body.settings);
        if !paths.is_empty() {
            return Err(format!(
                "the floor of its own file is looser than policy {} in {}",
                number.0,
                paths.join(", ")
            ));
        }
        // Each alone, with its fallback policy, and their intersection.
        let told = Some(PolicySet::Pure(*number));
        for leave in [ActivePolicy::Leased(PolicySet::Pure(*number)), ActivePolicy::Fallback] {
            let say = PolicyLayer {
                leave,
                last: told,
                policies: holding.policies.clone(),
                begin_by: begin_by.clone(),
            };
            layers.check_policy(&say)?;
        }
    }
    let leave = ActivePolicy::Leased(holding.told);
    let policies = holding.policies.clone();
    layers.check_policy(&PolicyLayer {
        leave,
        last: Some(holding.told),
        policies,
        begin_by: begin_by.clone(),
    })
}
