//! The proxy's reading of a control service: which resources it asks for, and what they say of the nodes.

use crate::decode::{decode, DecodedResource, PolicyMessage};
use crate::names::{assignment_name, policy_lease_name, settings_name, POLICY_RESOURCE};
use rushquay_config_version::ConfigAssignment;
use rushquay_endpoints::{SourcedEndpoint, WatchEvent};
use rushquay_lease::{Epoch, Fence};
use rushquay_xds::client::{
    Backoff, Client, ClientRequest, Ended, Retry, ServerAnswer, Session, Taken, Topic, Update,
};
use rushquay_xds::server::{DeltaRequest, Variant};
use rushquay_xds::{Kind, Nanos, Pattern};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What to follow.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// How many addresses there are.
    pub addresses: usize,
    /// The clusters whose endpoints are the node list.
    pub clusters: Vec<String>,
    /// Ask for LEDS collections where the stream is a delta one.
    pub collections: bool,
    /// Waits between attempts to connect, in nanoseconds: the first, and the longest.
    pub backoff: (Nanos, Nanos),
    /// Most endpoints.
    pub most: usize,
}

/// What an answer says.
#[derive(Clone, Debug)]
pub struct FollowerEvent {
    /// The process that says so.
    pub process: String,
    /// Of the nodes.
    pub nodes: Option<WatchEvent>,
    /// What this proxy is to act by.
    pub settings: Option<ConfigAssignment>,
    /// Of policies.
    pub policy: Vec<PolicyMessage>,
}

/// Whether this proxy can obey what it is given; why not, where it can't.
type Obeys = Box<dyn Fn(&ConfigAssignment) -> Result<(), String>>;
/// What this process tells of itself.
type Tells = Box<dyn FnMut() -> Option<String>>;

/// A proxy's part in changes of settings.
struct Settings {
    name: String,
    obeys: Obeys,
    tells: Tells,
}

/// A proxy's part in changes of policy.
struct Policy {
    /// The name of this process's leave.
    leave: String,
    tells: Tells,
}

/// What the texts of an answer say.
#[derive(Default)]
struct Texts {
    settings: Option<ConfigAssignment>,
    policy: Vec<PolicyMessage>,
}

/// Follows the clusters over one stream after another.
pub struct ControlFollower {
    config: FollowerConfig,
    client: Client,
    /// By name of the assignment: endpoints inline, by id, and the collections named.
    assignments: HashMap<String, (BTreeMap<String, SourcedEndpoint>, Vec<String>)>,
    /// Endpoints of collections by resource name.
    endpoints: HashMap<String, SourcedEndpoint>,
    /// Clusters that the server has only in the plain form.
    plain: BTreeSet<String>,
    /// What was last said, by id.
    said: BTreeMap<String, SourcedEndpoint>,
    /// Epochs of control services that lead one after another.
    fence: Fence,
    settings: Option<Settings>,
    policy: Option<Policy>,
    /// Something is to be told of this process.
    telling: bool,
    /// The last server ended the stream for what it was asked: one from before there were settings to follow.
    older: bool,
}

impl ControlFollower {
    /// Nothing is held yet.
    pub fn new(config: FollowerConfig) -> Self {
        let backoff = Backoff::new(config.backoff.0, config.backoff.1);
        let client = Client::new(config.addresses, backoff, config.most);
        let (assignments, endpoints) = Default::default();
        let (plain, said, fence) = Default::default();
        let (settings, policy, telling, older) = (None, None, false, false);
        ControlFollower {
            config,
            client,
            assignments,
            endpoints,
            plain,
            said,
            fence,
            settings,
            policy,
            telling,
            older,
        }
    }

    /// Follows the settings of this proxy too. What `obeys` refuses is refused to the server, with what it says; `tells` is
    /// asked for what this process tells of itself, at the start of each stream and whenever the session is woken.
    pub fn settings(
        &mut self,
        proxy: &str,
        obeys: impl Fn(&ConfigAssignment) -> Result<(), String> + 'static,
        tells: impl FnMut() -> Option<String> + 'static,
    ) {
        let (obeys, tells) = (Box::new(obeys), Box::new(tells));
        self.settings = Some(Settings { name: settings_name(proxy), obeys, tells });
    }

    /// Follows what holds of policies, and this process's leave. `tells` is asked for its next ask for leave, when `settings` would be;
    /// `None`: none is due.
    pub fn policy(&mut self, proxy: &str, boot: u64, tells: impl FnMut() -> Option<String> + 'static) {
        self.policy = Some(Policy { leave: policy_lease_name(proxy, boot), tells: Box::new(tells) });
    }

    /// The texts that are followed.
    fn texts_wanted(&self) -> BTreeSet<String> {
        let policy = self.policy.iter().flat_map(|p| [POLICY_RESOURCE.to_owned(), p.leave.clone()]);
        self.settings.iter().map(|s| s.name.clone()).chain(policy).collect()
    }

    /// Takes nothing of an epoch before this one.
    pub fn since_epoch(&mut self, epoch: Epoch) {
        // The first that is heard passes.
        let _ = self.fence.pass(epoch);
    }

    /// The highest epoch that was heard.
    pub fn epoch(&self) -> Epoch {
        self.fence.seen()
    }

    fn assignments_wanted(&self) -> BTreeSet<String> {
        let delta = self.client.variant() == Variant::Delta && self.config.collections;
        let wanted = self.config.clusters.iter().map(|c| match delta && !self.plain.contains(c) {
            true => assignment_name(c),
            false => c.clone(),
        });
        wanted.collect()
    }

    /// Which of the two forms of a cluster counts: the one wanted now, once it has come; the other stands until then.
    fn prune(&mut self) {
        let wanted = self.assignments_wanted();
        for cluster in &self.config.clusters {
            let forms = [cluster.clone(), assignment_name(cluster)];
            if forms.iter().any(|f| wanted.contains(f) && self.assignments.contains_key(f)) {
                forms.iter().filter(|f| !wanted.contains(*f)).for_each(|f| drop(self.assignments.remove(f)));
            }
        }
    }

    fn take(&mut self, update: Update<DecodedResource>) -> Texts {
        let mut texts = Texts::default();
        for name in update.removed {
            match update.kind {
                // What it acts by stands: nobody has told it otherwise.
                Kind::Extension => {}
                Kind::Endpoint => drop(self.endpoints.remove(&name)),
                _ => {
                    self.assignments.remove(&name);
                    // Another server than this project's has no such form.
                    let only_plain = self.config.clusters.iter().find(|c| assignment_name(c) == name);
                    self.plain.extend(only_plain.cloned());
                }
            }
        }
        for (name, item) in update.upserts {
            match item {
                DecodedResource::Endpoint(stated) => {
                    self.endpoints.insert(name, stated);
                }
                DecodedResource::Assignment { endpoints, collections } => {
                    let endpoints = endpoints.into_iter().map(|s| (s.member.id.clone(), s)).collect();
                    self.assignments.insert(name, (endpoints, collections));
                }
                DecodedResource::Settings(assignment) => texts.settings = Some(assignment),
                DecodedResource::Policy(text) => texts.policy.push(text),
            }
        }
        texts
    }

    /// What differs from what was last said; `None`: nothing.
    fn compare(&mut self) -> Option<WatchEvent> {
        let mut now: BTreeMap<String, SourcedEndpoint> = BTreeMap::new();
        let inline = self.assignments.values().flat_map(|(endpoints, _)| endpoints.values());
        for stated in self.endpoints.values().chain(inline) {
            // A node that moved stands under two names until the old one is removed: its newer entry counts, and of
            // equals the more restrictive.
            let newer = |old: &SourcedEndpoint| {
                let rank = |s: &SourcedEndpoint| (s.member.started, s.listed, s.member.state);
                rank(stated) >= rank(old)
            };
            if now.get(&stated.member.id).is_none_or(newer) {
                now.insert(stated.member.id.clone(), stated.clone());
            }
        }
        let changed: Vec<SourcedEndpoint> =
            now.values().filter(|s| self.said.get(&s.member.id) != Some(s)).cloned().collect();
        let gone: Vec<String> = self.said.keys().filter(|id| !now.contains_key(*id)).cloned().collect();
        self.said = now;
        (!changed.is_empty() || !gone.is_empty()).then_some(WatchEvent::Changed(changed, gone))
    }
}

impl Session for ControlFollower {
    type News = FollowerEvent;

    fn address(&self) -> usize {
        self.client.address()
    }

    fn variant(&self) -> Variant {
        self.client.variant()
    }

    fn connected(&mut self) -> Vec<ClientRequest> {
        self.plain.clear();
        // What is wanted is set before anything is sent, in the form that this stream can carry.
        let _ = self.client.want(Kind::Endpoints, self.assignments_wanted());
        // Danger: a server that doesn't know the type ends the stream at each request for it, and the nodes would be lost too.
        let texts = if self.older { BTreeSet::new() } else { self.texts_wanted() };
        let _ = self.client.want(Kind::Extension, texts);
        self.telling = true;
        self.client.connected()
    }

    fn woken(&mut self) -> Vec<ClientRequest> {
        // A server that speaks the other variant takes each request for a subscription, and would answer it.
        if self.texts_wanted().is_empty() || self.older || self.client.variant() != Variant::Delta {
            return Vec::new();
        }
        self.telling = true;
        let type_url = Kind::Extension.type_url().into();
        vec![ClientRequest::Delta(DeltaRequest { type_url, ..DeltaRequest::default() })]
    }

    fn tells(&mut self) -> Vec<(Topic, String)> {
        if !std::mem::take(&mut self.telling) {
            return Vec::new();
        }
        let report = self.settings.as_mut().and_then(|s| (s.tells)());
        let leave = self.policy.as_mut().and_then(|p| (p.tells)());
        let report = report.map(|text| (Topic::Report, text));
        report.into_iter().chain(leave.map(|text| (Topic::PolicyLease, text))).collect()
    }

    fn answer(&mut self, answer: ServerAnswer) -> Taken<Self::News> {
        // Danger: an instance that led before a pause of minutes sends what it knew then, from whatever it still holds open.
        if let Err(stale) = self.fence.pass(Epoch::of(&answer.control_plane)) {
            return Taken { asks: Vec::new(), news: None, refused: None, leave: Some(stale.to_string()) };
        }
        let settings = &self.settings;
        let reply = self.client.answer(answer, |kind, came| {
            let (name, item) = decode(kind, came).map_err(|e| e.to_string())?;
            if let (DecodedResource::Settings(assignment), Some(settings)) = (&item, settings) {
                (settings.obeys)(assignment)?;
            }
            Ok((name, item))
        });
        let mut taken =
            Taken { asks: reply.ask.into_iter().collect(), news: None, refused: reply.refused, leave: None };
        let Some(update) = reply.update else { return taken };
        let process = update.control_plane.clone();
        let Texts { settings, policy } = self.take(update);
        self.prune();
        // What the assignments name now.
        let (ask, _) = self.client.want(Kind::Endpoints, self.assignments_wanted());
        taken.asks.extend(ask);
        let collections: BTreeSet<String> =
            self.assignments.values().flat_map(|(_, c)| c.iter().cloned()).collect();
        let patterns: Vec<Pattern> = collections.iter().map(|c| Pattern::parse(c)).collect();
        self.endpoints.retain(|name, _| patterns.iter().any(|p| p.matches(name)));
        taken.asks.extend(self.client.want(Kind::Endpoint, collections).0);
        let nodes = self.compare();
        let says = nodes.is_some() || settings.is_some() || !policy.is_empty();
        taken.news = says.then_some(FollowerEvent { process, nodes, settings, policy });
        taken
    }

    fn ended(&mut self, how: Ended, random: f64) -> Retry {
        self.older = how == Ended::Refused;
        self.client.ended(how, random)
    }
}
