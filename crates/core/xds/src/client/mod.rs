//! The subscriber's side of xDS: its subscriptions, the versions it has, and when it reconnects.
//!
//! It outlives connections. After a break it subscribes with the versions that it has, so that a server that knows
//! them sends only what has changed; until then all accepted resources stay in use.

mod backoff;
mod outage;

pub use backoff::{Backoff, Retry};
pub use outage::Outage;

use crate::server::{DeltaRequest, SotwRequest, Variant};
use crate::{Kind, Pattern, KINDS};
use std::collections::{BTreeSet, HashMap, HashSet};

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientRequest {
    /// On a delta stream.
    Delta(DeltaRequest),
    /// On a state-of-the-world stream.
    Sotw(SotwRequest),
}

/// A received resource.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedResource {
    /// The name; `None` where the variant does not send it beside the body.
    pub name: Option<String>,
    /// The version; empty in state-of-the-world answers.
    pub version: String,
    /// The type URL of the body.
    pub type_url: String,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// A received answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerAnswer {
    /// The type URL.
    pub type_url: String,
    /// The version of the answer as a whole.
    pub version: String,
    /// The nonce that identifies the answer.
    pub nonce: String,
    /// `control_plane.identifier`: the incarnation of the server.
    pub control_plane: String,
    /// The resources.
    pub resources: Vec<ReceivedResource>,
    /// Delta only: the names of removed resources.
    pub removed: Vec<String>,
}

/// The content of an accepted answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Update<T> {
    /// The kind.
    pub kind: Kind,
    /// The incarnation of the server.
    pub control_plane: String,
    /// New or changed resources by name.
    pub upserts: Vec<(String, T)>,
    /// The names that are removed or do not exist.
    pub removed: Vec<String>,
}

/// The reaction to an answer: send `ask`, and apply `update` if there is one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply<T> {
    /// ACK or NACK; `None` where the type is not subscribed to.
    pub ask: Option<ClientRequest>,
    /// What was accepted; `None` after a NACK.
    pub update: Option<Update<T>>,
    /// Why it was rejected.
    pub refused: Option<String>,
}

/// A session's reaction to an answer.
#[derive(Debug)]
pub struct Taken<N> {
    /// The requests to send, in order.
    pub asks: Vec<ClientRequest>,
    /// The news of the answer.
    pub news: Option<N>,
    /// Why it was rejected.
    pub refused: Option<String>,
    /// Why the session leaves this server and tries another one.
    pub leave: Option<String>,
}

/// A topic of the metadata that a process sends about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Its status and its active configuration.
    Report,
    /// Its request for a policy lease.
    PolicyLease,
}

impl Topic {
    /// All topics.
    pub const ALL: [Topic; 2] = [Topic::Report, Topic::PolicyLease];
}

/// A session over a sequence of streams; the transport drives it and knows nothing of its content.
pub trait Session {
    /// The news that an answer may bring.
    type News;
    /// The address to connect to next, from 0.
    fn address(&self) -> usize;
    /// The variant to use there.
    fn variant(&self) -> Variant;
    /// Called when a stream is open; returns the first requests.
    fn connected(&mut self) -> Vec<ClientRequest>;
    /// Called when the subscriptions have changed for another reason than an answer; returns the requests for the
    /// open stream.
    fn woken(&mut self) -> Vec<ClientRequest> {
        Vec::new()
    }
    /// The metadata for the node of the next request; called once for each request.
    fn tells(&mut self) -> Vec<(Topic, String)> {
        Vec::new()
    }
    /// Handles an answer.
    fn answer(&mut self, answer: ServerAnswer) -> Taken<Self::News>;
    /// Called when the stream has ended, or could not be opened. `random` is from 0 up to 1.
    fn ended(&mut self, how: Ended, random: f64) -> Retry;
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The server does not support the variant.
    Unimplemented,
    /// The server is in standby for another one.
    StandsBy,
    /// The server ended it because of a request.
    Refused,
    /// For any other reason.
    Broken,
}

#[derive(Default)]
struct Watch {
    names: BTreeSet<String>,
    /// The versions of the accepted resources, by name.
    versions: HashMap<String, String>,
    /// Whether the first request on this stream was sent.
    is_started: bool,
    /// State-of-the-world: the nonce of the last answer, and the last accepted version.
    nonce: String,
    version: String,
}

/// The subscriber's side.
pub struct Client {
    watches: [Watch; KINDS],
    backoff: Backoff,
    /// For each address: whether the server has answered that it does not support delta.
    speaks_only_sotw: Vec<bool>,
    address_index: usize,
    is_connected: bool,
    max_resources: usize,
    is_delta_disabled: bool,
}

impl Client {
    /// Creates a client for this many addresses (at least one), that has at most `max_resources` resources of a kind.
    pub fn new(addresses: usize, backoff: Backoff, max_resources: usize) -> Self {
        let speaks_only_sotw = vec![false; addresses.max(1)];
        Client {
            watches: Default::default(),
            backoff,
            speaks_only_sotw,
            address_index: 0,
            is_connected: false,
            max_resources,
            is_delta_disabled: false,
        }
    }

    /// Uses only the state-of-the-world variant, at all addresses.
    pub fn speak_sotw(&mut self) {
        self.is_delta_disabled = true;
        self.speaks_only_sotw.fill(true);
    }

    /// The address to connect to next, from 0.
    pub fn address(&self) -> usize {
        self.address_index
    }

    /// The variant to use there.
    pub fn variant(&self) -> Variant {
        match self.speaks_only_sotw[self.address_index] {
            true => Variant::Sotw,
            false => Variant::Delta,
        }
    }

    /// Sets the names subscribed to of a kind; returns the request to send for it, and the names of resources that
    /// are no longer subscribed to.
    pub fn want(&mut self, kind: Kind, names: BTreeSet<String>) -> (Option<ClientRequest>, Vec<String>) {
        let variant = self.variant();
        let watch = &mut self.watches[kind as usize];
        if watch.names == names {
            return (None, Vec::new());
        }
        let add: Vec<String> = names.difference(&watch.names).cloned().collect();
        let drop: Vec<String> = watch.names.difference(&names).cloned().collect();
        watch.names = names;
        let patterns = watch.patterns();
        let unwanted: Vec<String> =
            watch.versions.keys().filter(|n| !patterns.iter().any(|p| p.matches(n))).cloned().collect();
        unwanted.iter().for_each(|n| std::mem::drop(watch.versions.remove(n)));
        let ask =
            (self.is_connected && is_supported(variant, kind)).then(|| match (variant, watch.is_started) {
                (_, false) => watch.initial_request(kind, variant),
                (Variant::Delta, true) => ClientRequest::Delta(DeltaRequest {
                    type_url: kind.type_url().into(),
                    subscribe: add,
                    unsubscribe: drop,
                    ..DeltaRequest::default()
                }),
                (Variant::Sotw, true) => watch.sotw_request(kind, None),
            });
        (ask, unwanted)
    }

    /// Called when a stream is open; returns the first requests.
    pub fn connected(&mut self) -> Vec<ClientRequest> {
        self.is_connected = true;
        let variant = self.variant();
        let mut asks = Vec::new();
        for kind in Kind::ORDER {
            let watch = &mut self.watches[kind as usize];
            watch.is_started = false;
            watch.nonce.clear();
            if !watch.names.is_empty() && is_supported(variant, kind) {
                asks.push(watch.initial_request(kind, variant));
            }
        }
        asks
    }

    /// Handles an answer. `decode` parses a resource, and returns its name with it. One invalid resource rejects the
    /// whole answer, and everything stays unchanged.
    pub fn answer<T>(
        &mut self,
        answer: ServerAnswer,
        decode: impl FnMut(Kind, &ReceivedResource) -> Result<(String, T), String>,
    ) -> Reply<T> {
        let nothing = Reply { ask: None, update: None, refused: None };
        let variant = self.variant();
        let Some(kind) = Kind::of(&answer.type_url) else { return nothing };
        let watch = &mut self.watches[kind as usize];
        if !watch.is_started {
            return nothing;
        }
        self.backoff.worked();
        watch.nonce.clone_from(&answer.nonce);
        let decoded = watch.decode_all(kind, &answer.resources, decode);
        let decoded = decoded.and_then(|decoded| watch.check_count(decoded, self.max_resources));
        let Decoded { upserts, versions } = match decoded {
            Ok(decoded) => decoded,
            Err(reason) => {
                let ask = watch.reply(kind, variant, answer.nonce, Some(reason.clone()));
                return Reply { ask: Some(ask), update: None, refused: Some(reason) };
            }
        };
        let mut removed = answer.removed;
        if variant == Variant::Sotw && kind.whole() {
            // What a whole answer leaves out is removed.
            let named: HashSet<&str> = versions.iter().map(|(n, _)| n.as_str()).collect();
            removed.extend(watch.versions.keys().filter(|n| !named.contains(n.as_str())).cloned());
        }
        for name in &removed {
            watch.versions.remove(name);
        }
        watch.versions.extend(versions);
        watch.version = answer.version;
        let ask = watch.reply(kind, variant, answer.nonce, None);
        let update = Update { kind, control_plane: answer.control_plane, upserts, removed };
        Reply { ask: Some(ask), update: Some(update), refused: None }
    }

    /// Called when the stream, or the attempt to open one, has ended; returns when to retry. `random` is from 0 up to
    /// 1.
    pub fn ended(&mut self, how: Ended, random: f64) -> Retry {
        self.is_connected = false;
        if how == Ended::Unimplemented && !self.speaks_only_sotw[self.address_index] {
            self.speaks_only_sotw[self.address_index] = true;
            return Retry { wait: 0 };
        }
        // Danger: a client that stayed with an address that accepts connections and breaks each would never reach the
        // next.
        self.address_index = (self.address_index + 1) % self.speaks_only_sotw.len();
        // Another process may listen at that address by then.
        self.speaks_only_sotw[self.address_index] &= how == Ended::Unimplemented || self.is_delta_disabled;
        match how {
            Ended::StandsBy => self.backoff.stands_by(random),
            Ended::Unimplemented | Ended::Refused | Ended::Broken => self.backoff.failed(random),
        }
    }
}

/// Whether a variant supports a kind. Collections are part of the incremental variant only ("LEDS"). The resources in
/// them stay, with their versions, while the other variant is in use. Danger: without these versions the server could
/// not report what was removed meanwhile.
fn is_supported(variant: Variant, kind: Kind) -> bool {
    variant == Variant::Delta || kind != Kind::Endpoint
}

impl Watch {
    /// The names to request. All resources are requested by naming none ("How the client specifies what resources to
    /// return"), which servers from before `*` understand as well.
    fn requested_names(&self, kind: Kind) -> Vec<String> {
        match kind.whole() && self.names.len() == 1 && self.names.contains("*") {
            true => Vec::new(),
            false => self.names.iter().cloned().collect(),
        }
    }

    fn patterns(&self) -> Vec<Pattern> {
        self.names.iter().map(|n| Pattern::parse(n)).collect()
    }

    fn initial_request(&mut self, kind: Kind, variant: Variant) -> ClientRequest {
        self.is_started = true;
        match variant {
            Variant::Sotw => self.sotw_request(kind, None),
            Variant::Delta => ClientRequest::Delta(DeltaRequest {
                type_url: kind.type_url().into(),
                subscribe: self.requested_names(kind),
                initial_versions: self.versions.clone(),
                ..DeltaRequest::default()
            }),
        }
    }

    fn delta_reply(&self, kind: Kind, nonce: String, error: Option<String>) -> ClientRequest {
        ClientRequest::Delta(DeltaRequest {
            type_url: kind.type_url().into(),
            nonce,
            error,
            ..DeltaRequest::default()
        })
    }

    fn sotw_request(&self, kind: Kind, error: Option<String>) -> ClientRequest {
        ClientRequest::Sotw(SotwRequest {
            type_url: kind.type_url().into(),
            version: self.version.clone(),
            names: self.requested_names(kind),
            nonce: self.nonce.clone(),
            error,
        })
    }

    /// ACK or NACK of the answer with this nonce.
    fn reply(&self, kind: Kind, variant: Variant, nonce: String, error: Option<String>) -> ClientRequest {
        match variant {
            Variant::Delta => self.delta_reply(kind, nonce, error),
            Variant::Sotw => self.sotw_request(kind, error),
        }
    }

    /// Decodes all resources of an answer that are still subscribed to.
    fn decode_all<T>(
        &self,
        kind: Kind,
        resources: &[ReceivedResource],
        mut decode: impl FnMut(Kind, &ReceivedResource) -> Result<(String, T), String>,
    ) -> Result<Decoded<T>, String> {
        let patterns = self.patterns();
        let mut upserts = Vec::with_capacity(resources.len());
        let mut versions = Vec::with_capacity(resources.len());
        for received in resources {
            if received.type_url != kind.type_url() {
                return Err(format!("a {} among {}", received.type_url, kind.type_url()));
            }
            let (name, item) = decode(kind, received)
                .map_err(|e| format!("{}: {e}", received.name.as_deref().unwrap_or("a resource")))?;
            // Others were sent before the server knew that they are no longer subscribed to.
            if patterns.iter().any(|p| p.matches(&name)) {
                versions.push((name.clone(), received.version.clone()));
                upserts.push((name, item));
            }
        }
        Ok(Decoded { upserts, versions })
    }

    /// Checks that there are at most `max` resources with those of an answer.
    fn check_count<T>(&self, decoded: Decoded<T>, max: usize) -> Result<Decoded<T>, String> {
        let new = decoded.versions.iter().filter(|(name, _)| !self.versions.contains_key(name)).count();
        match self.versions.len() + new > max {
            true => Err(format!("more than {max} resources")),
            false => Ok(decoded),
        }
    }
}

/// The decoded resources of an answer, and their versions, by name.
struct Decoded<T> {
    upserts: Vec<(String, T)>,
    versions: Vec<(String, String)>,
}
