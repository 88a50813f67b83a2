//! The proxy's view of a control service: its subscriptions, and the endpoints, settings and policies that it
//! receives.

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

/// The configuration of a follower.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The number of addresses.
    pub addresses: usize,
    /// The clusters whose endpoints make up the endpoint list.
    pub clusters: Vec<String>,
    /// Whether to subscribe to LEDS collections on delta streams.
    pub collections: bool,
    /// The initial and the maximal backoff between connection attempts, in nanoseconds.
    pub backoff: (Nanos, Nanos),
    /// The most endpoints.
    pub most: usize,
}

/// The content of an answer.
#[derive(Clone, Debug)]
pub struct FollowerEvent {
    /// The incarnation of the control service.
    pub process: String,
    /// The change of the endpoint list.
    pub nodes: Option<WatchEvent>,
    /// The settings for this proxy.
    pub settings: Option<ConfigAssignment>,
    /// The messages about policies.
    pub policy: Vec<PolicyMessage>,
}

/// Checks whether this proxy can apply the settings that it is assigned; the error says why not.
type CheckSettings = Box<dyn Fn(&ConfigAssignment) -> Result<(), String>>;
/// Returns the metadata that is due, if any.
type NextMetadata = Box<dyn FnMut() -> Option<String>>;

/// The proxy's participation in rollouts of settings.
struct Settings {
    name: String,
    check: CheckSettings,
    next_metadata: NextMetadata,
}

/// The proxy's participation in policy changes.
struct Policy {
    /// The name of this process's policy lease.
    lease_name: String,
    next_metadata: NextMetadata,
}

/// The texts of an answer.
#[derive(Default)]
struct Texts {
    settings: Option<ConfigAssignment>,
    policy: Vec<PolicyMessage>,
}

/// Follows the clusters of a control service over a sequence of streams.
pub struct ControlFollower {
    config: FollowerConfig,
    client: Client,
    /// By name of the assignment: the inline endpoints by id, and the names of collections.
    assignments: HashMap<String, (BTreeMap<String, SourcedEndpoint>, Vec<String>)>,
    /// The endpoints of collections by resource name.
    endpoints: HashMap<String, SourcedEndpoint>,
    /// The clusters that the server has only in the plain form.
    plain_clusters: BTreeSet<String>,
    /// The endpoints reported last, by id.
    last_reported: BTreeMap<String, SourcedEndpoint>,
    /// Rejects answers of control services of an earlier epoch.
    fence: Fence,
    settings: Option<Settings>,
    policy: Option<Policy>,
    /// Whether metadata of this process is due.
    is_metadata_due: bool,
    /// Whether the last server ended the stream because of a request: it is of a version without settings.
    is_older_server: bool,
}

impl ControlFollower {
    /// Creates a follower without any endpoints.
    pub fn new(config: FollowerConfig) -> Self {
        let backoff = Backoff::new(config.backoff.0, config.backoff.1);
        let client = Client::new(config.addresses, backoff, config.most);
        let (assignments, endpoints) = Default::default();
        let (plain_clusters, last_reported, fence) = Default::default();
        let (settings, policy, is_metadata_due, is_older_server) = (None, None, false, false);
        ControlFollower {
            config,
            client,
            assignments,
            endpoints,
            plain_clusters,
            last_reported,
            fence,
            settings,
            policy,
            is_metadata_due,
            is_older_server,
        }
    }

    /// Subscribes to the settings of this proxy as well. Settings that `check` rejects are rejected with its error;
    /// `next_metadata` returns the metadata of this process, at the start of each stream and whenever the session is woken.
    pub fn settings(
        &mut self,
        proxy: &str,
        check: impl Fn(&ConfigAssignment) -> Result<(), String> + 'static,
        next_metadata: impl FnMut() -> Option<String> + 'static,
    ) {
        let (check, next_metadata) = (Box::new(check), Box::new(next_metadata));
        self.settings = Some(Settings { name: settings_name(proxy), check, next_metadata });
    }

    /// Subscribes to the policies in force, and to the policy lease of this process. `next_metadata` returns its next lease
    /// request, at the same times as for `settings`; `None`: none is due.
    pub fn policy(
        &mut self,
        proxy: &str,
        boot: u64,
        next_metadata: impl FnMut() -> Option<String> + 'static,
    ) {
        self.policy = Some(Policy {
            lease_name: policy_lease_name(proxy, boot),
            next_metadata: Box::new(next_metadata),
        });
    }

    /// The texts that are subscribed to.
    fn wanted_texts(&self) -> BTreeSet<String> {
        let policy = self.policy.iter().flat_map(|p| [POLICY_RESOURCE.to_owned(), p.lease_name.clone()]);
        self.settings.iter().map(|s| s.name.clone()).chain(policy).collect()
    }

    /// Rejects answers of epochs before this one.
    pub fn since_epoch(&mut self, epoch: Epoch) {
        // The first epoch always passes.
        let _ = self.fence.check(epoch);
    }

    /// The highest epoch received.
    pub fn epoch(&self) -> Epoch {
        self.fence.seen()
    }

    fn wanted_assignments(&self) -> BTreeSet<String> {
        let delta = self.client.variant() == Variant::Delta && self.config.collections;
        let wanted = self.config.clusters.iter().map(|c| match delta && !self.plain_clusters.contains(c) {
            true => assignment_name(c),
            false => c.clone(),
        });
        wanted.collect()
    }

    /// Removes the unwanted form of a cluster once the wanted one has arrived; until then the other stays in use.
    fn prune(&mut self) {
        let wanted = self.wanted_assignments();
        for cluster in &self.config.clusters {
            let forms = [cluster.clone(), assignment_name(cluster)];
            if forms.iter().any(|f| wanted.contains(f) && self.assignments.contains_key(f)) {
                forms.iter().filter(|f| !wanted.contains(*f)).for_each(|f| drop(self.assignments.remove(f)));
            }
        }
    }

    fn apply(&mut self, update: Update<DecodedResource>) -> Texts {
        let mut texts = Texts::default();
        for name in update.removed {
            match update.kind {
                // The active settings stay in use: nothing has replaced them.
                Kind::Extension => {}
                Kind::Endpoint => drop(self.endpoints.remove(&name)),
                _ => {
                    self.assignments.remove(&name);
                    // Another server than this project's has no such form.
                    let only_plain = self.config.clusters.iter().find(|c| assignment_name(c) == name);
                    self.plain_clusters.extend(only_plain.cloned());
                }
            }
        }
        for (name, item) in update.upserts {
            match item {
                DecodedResource::Endpoint(endpoint) => {
                    self.endpoints.insert(name, endpoint);
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

    /// The changes since the last report; `None`: nothing changed.
    fn take_changes(&mut self) -> Option<WatchEvent> {
        let mut now: BTreeMap<String, SourcedEndpoint> = BTreeMap::new();
        let inline = self.assignments.values().flat_map(|(endpoints, _)| endpoints.values());
        for endpoint in self.endpoints.values().chain(inline) {
            // An endpoint that moved has two names until the old one is removed: its newer entry wins, and of equals
            // the more restrictive.
            let newer = |old: &SourcedEndpoint| {
                let rank = |s: &SourcedEndpoint| (s.member.started, s.list_version, s.member.state);
                rank(endpoint) >= rank(old)
            };
            if now.get(&endpoint.member.id).is_none_or(newer) {
                now.insert(endpoint.member.id.clone(), endpoint.clone());
            }
        }
        let changed: Vec<SourcedEndpoint> =
            now.values().filter(|s| self.last_reported.get(&s.member.id) != Some(s)).cloned().collect();
        let gone: Vec<String> =
            self.last_reported.keys().filter(|id| !now.contains_key(*id)).cloned().collect();
        self.last_reported = now;
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
        self.plain_clusters.clear();
        // The subscriptions are set before anything is sent, in the form that this stream supports.
        let _ = self.client.want(Kind::Endpoints, self.wanted_assignments());
        // Danger: a server that does not know the type ends the stream at each request for it, and the endpoints
        // would be lost too.
        let texts = if self.is_older_server { BTreeSet::new() } else { self.wanted_texts() };
        let _ = self.client.want(Kind::Extension, texts);
        self.is_metadata_due = true;
        self.client.connected()
    }

    fn woken(&mut self) -> Vec<ClientRequest> {
        // A server of the other variant takes each request for a subscription, and would answer it.
        if self.wanted_texts().is_empty() || self.is_older_server || self.client.variant() != Variant::Delta {
            return Vec::new();
        }
        self.is_metadata_due = true;
        let type_url = Kind::Extension.type_url().into();
        vec![ClientRequest::Delta(DeltaRequest { type_url, ..DeltaRequest::default() })]
    }

    fn tells(&mut self) -> Vec<(Topic, String)> {
        if !std::mem::take(&mut self.is_metadata_due) {
            return Vec::new();
        }
        let report = self.settings.as_mut().and_then(|s| (s.next_metadata)());
        let lease_request = self.policy.as_mut().and_then(|p| (p.next_metadata)());
        let report = report.map(|text| (Topic::Report, text));
        report.into_iter().chain(lease_request.map(|text| (Topic::PolicyLease, text))).collect()
    }

    fn answer(&mut self, answer: ServerAnswer) -> Taken<Self::News> {
        // Danger: an instance that was the leader before a pause of minutes sends its state from then, over any
        // stream that is still open.
        if let Err(stale) = self.fence.check(Epoch::from_name(&answer.control_plane)) {
            return Taken { asks: Vec::new(), news: None, refused: None, leave: Some(stale.to_string()) };
        }
        let settings = &self.settings;
        let reply = self.client.answer(answer, |kind, received| {
            let (name, item) = decode(kind, received).map_err(|e| e.to_string())?;
            if let (DecodedResource::Settings(assignment), Some(settings)) = (&item, settings) {
                (settings.check)(assignment)?;
            }
            Ok((name, item))
        });
        let mut taken =
            Taken { asks: reply.ask.into_iter().collect(), news: None, refused: reply.refused, leave: None };
        let Some(update) = reply.update else { return taken };
        let process = update.control_plane.clone();
        let Texts { settings, policy } = self.apply(update);
        self.prune();
        // Subscribe to the collections that the assignments name now.
        let (ask, _) = self.client.want(Kind::Endpoints, self.wanted_assignments());
        taken.asks.extend(ask);
        let collections: BTreeSet<String> =
            self.assignments.values().flat_map(|(_, c)| c.iter().cloned()).collect();
        let patterns: Vec<Pattern> = collections.iter().map(|c| Pattern::parse(c)).collect();
        self.endpoints.retain(|name, _| patterns.iter().any(|p| p.matches(name)));
        taken.asks.extend(self.client.want(Kind::Endpoint, collections).0);
        let nodes = self.take_changes();
        let has_news = nodes.is_some() || settings.is_some() || !policy.is_empty();
        taken.news = has_news.then_some(FollowerEvent { process, nodes, settings, policy });
        taken
    }

    fn ended(&mut self, how: Ended, random: f64) -> Retry {
        self.is_older_server = how == Ended::Refused;
        self.client.ended(how, random)
    }
}
