//! The subscriber's end of a stream: what it asks for, what it holds, and when it comes back.
//!
//! It outlives connections. After a break it asks with the versions that it holds, so that a server that knows them
//! sends what has changed alone; until then all that was taken stands.

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

/// A resource as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedResource {
    /// Its name; `None` where the variant doesn't tell it beside the body.
    pub name: Option<String>,
    /// Its version; empty in state-of-the-world answers.
    pub version: String,
    /// The body's type.
    pub type_url: String,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// An answer as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerAnswer {
    /// The type.
    pub type_url: String,
    /// The version of the whole.
    pub version: String,
    /// Identifies the answer.
    pub nonce: String,
    /// `control_plane.identifier`: the process that speaks.
    pub control_plane: String,
    /// The resources.
    pub resources: Vec<ReceivedResource>,
    /// Delta alone: what is gone.
    pub removed: Vec<String>,
}

/// What an accepted answer says.
#[derive(Clone, Debug, PartialEq)]
pub struct Update<T> {
    /// The kind.
    pub kind: Kind,
    /// The process that said so.
    pub control_plane: String,
    /// New or changed resources by name.
    pub upserts: Vec<(String, T)>,
    /// Names that are gone, or that don't exist.
    pub removed: Vec<String>,
}

/// What to do about an answer: send `ask`, and take `update` if there is one.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply<T> {
    /// ACK or NACK; `None` where the type isn't one that was asked for.
    pub ask: Option<ClientRequest>,
    /// What was accepted; `None` after a NACK.
    pub update: Option<Update<T>>,
    /// Why it was refused.
    pub refused: Option<String>,
}

/// What a session made of an answer.
#[derive(Debug)]
pub struct Taken<N> {
    /// To send, in order.
    pub asks: Vec<ClientRequest>,
    /// What it says.
    pub news: Option<N>,
    /// Why it was refused.
    pub refused: Option<String>,
    /// Why nothing more is to be heard from this server: another one is to be asked.
    pub leave: Option<String>,
}

/// What a process tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// How it is and what it acts by.
    Report,
    /// It asks for leave to act by a policy.
    PolicyLease,
}

impl Topic {
    /// All.
    pub const ALL: [Topic; 2] = [Topic::Report, Topic::PolicyLease];
}

/// What goes on over one stream after another; the sockets' side drives it and knows nothing of what it is about.
pub trait Session {
    /// What an answer may say.
    type News;
    /// The address to connect to next, from 0.
    fn address(&self) -> usize;
    /// The variant to speak there.
    fn variant(&self) -> Variant;
    /// A stream is open: what to send first.
    fn connected(&mut self) -> Vec<ClientRequest>;
    /// What is wanted has changed for another reason than an answer: what to send for it on the open stream.
    fn woken(&mut self) -> Vec<ClientRequest> {
        Vec::new()
    }
    /// What the next request is to tell of this process, in its node's metadata; asked once for each request.
    fn tells(&mut self) -> Vec<(Topic, String)> {
        Vec::new()
    }
    /// Takes an answer.
    fn answer(&mut self, answer: ServerAnswer) -> Taken<Self::News>;
    /// The stream has ended, or could not be opened. `random` is from 0 up to 1.
    fn ended(&mut self, how: Ended, random: f64) -> Retry;
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The server doesn't speak the variant.
    Unimplemented,
    /// The server stands by for another.
    StandsBy,
    /// The server ended it for what it was asked.
    Refused,
    /// In any other way.
    Broken,
}

#[derive(Default)]
struct Watch {
    names: BTreeSet<String>,
    /// Versions of what is held, by name.
    held: HashMap<String, String>,
    /// The first request on this stream has gone out.
    begun: bool,
    /// State-of-the-world: of the last answer, and the version last taken.
    nonce: String,
    version: String,
}

/// The subscriber's end.
pub struct Client {
    watches: [Watch; KINDS],
    backoff: Backoff,
    /// For each address: it has said that it doesn't speak delta.
    only_sotw: Vec<bool>,
    at: usize,
    connected: bool,
    most: usize,
    no_delta: bool,
}

impl Client {
    /// For so many addresses (one at least), that holds at most `most` resources of a kind.
    pub fn new(addresses: usize, backoff: Backoff, most: usize) -> Self {
        let only_sotw = vec![false; addresses.max(1)];
        Client {
            watches: Default::default(),
            backoff,
            only_sotw,
            at: 0,
            connected: false,
            most,
            no_delta: false,
        }
    }

    /// Speaks the state-of-the-world variant alone, at all addresses.
    pub fn speak_sotw(&mut self) {
        self.no_delta = true;
        self.only_sotw.fill(true);
    }

    /// The address to connect to next, from 0.
    pub fn address(&self) -> usize {
        self.at
    }

    /// The variant to speak there.
    pub fn variant(&self) -> Variant {
        match self.only_sotw[self.at] {
            true => Variant::Sotw,
            false => Variant::Delta,
        }
    }

    /// Sets all names of a kind that are wanted; returns what to send for it, and what is no longer held.
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
            watch.held.keys().filter(|n| !patterns.iter().any(|p| p.matches(n))).cloned().collect();
        unwanted.iter().for_each(|n| std::mem::drop(watch.held.remove(n)));
        let ask = (self.connected && carries(variant, kind)).then(|| match (variant, watch.begun) {
            (_, false) => watch.first(kind, variant),
            (Variant::Delta, true) => ClientRequest::Delta(DeltaRequest {
                type_url: kind.type_url().into(),
                subscribe: add,
                unsubscribe: drop,
                ..DeltaRequest::default()
            }),
            (Variant::Sotw, true) => watch.sotw(kind, None),
        });
        (ask, unwanted)
    }

    /// A stream is open: what to send first.
    pub fn connected(&mut self) -> Vec<ClientRequest> {
        self.connected = true;
        let variant = self.variant();
        let mut asks = Vec::new();
        for kind in Kind::ORDER {
            let watch = &mut self.watches[kind as usize];
            watch.begun = false;
            watch.nonce.clear();
            if !watch.names.is_empty() && carries(variant, kind) {
                asks.push(watch.first(kind, variant));
            }
        }
        asks
    }

    /// Takes an answer. `decode` turns a resource into what it stands for, with its name. One that can't be read
    /// refuses the whole answer, and all stays as it was.
    pub fn answer<T>(
        &mut self,
        answer: ServerAnswer,
        mut decode: impl FnMut(Kind, &ReceivedResource) -> Result<(String, T), String>,
    ) -> Reply<T> {
        let nothing = Reply { ask: None, update: None, refused: None };
        let variant = self.variant();
        let Some(kind) = Kind::of(&answer.type_url) else { return nothing };
        let watch = &mut self.watches[kind as usize];
        if !watch.begun {
            return nothing;
        }
        self.backoff.worked();
        watch.nonce.clone_from(&answer.nonce);
        let patterns = watch.patterns();
        let mut upserts = Vec::with_capacity(answer.resources.len());
        let mut versions = Vec::with_capacity(answer.resources.len());
        let mut refused = None;
        for came in &answer.resources {
            if came.type_url != kind.type_url() {
                refused = Some(format!("a {} among {}", came.type_url, kind.type_url()));
                break;
            }
            match decode(kind, came) {
                Ok((name, item)) => {
                    // It was on its way when it was no longer wanted.
                    if patterns.iter().any(|p| p.matches(&name)) {
                        versions.push((name.clone(), came.version.clone()));
                        upserts.push((name, item));
                    }
                }
                Err(e) => {
                    let name = came.name.as_deref().unwrap_or("a resource");
                    refused = Some(format!("{name}: {e}"));
                    break;
                }
            }
        }
        if watch.held.len() + upserts.len() > self.most && refused.is_none() {
            let new = versions.iter().filter(|(n, _)| !watch.held.contains_key(n)).count();
            if watch.held.len() + new > self.most {
                refused = Some(format!("more than {} resources", self.most));
            }
        }
        if let Some(why) = refused {
            let ask = match variant {
                Variant::Delta => watch.delta(kind, answer.nonce, Some(why.clone())),
                Variant::Sotw => watch.sotw(kind, Some(why.clone())),
            };
            return Reply { ask: Some(ask), update: None, refused: Some(why) };
        }
        let mut removed = answer.removed;
        if variant == Variant::Sotw && kind.whole() {
            // What a whole answer leaves out is gone.
            let named: HashSet<&str> = versions.iter().map(|(n, _)| n.as_str()).collect();
            removed.extend(watch.held.keys().filter(|n| !named.contains(n.as_str())).cloned());
        }
        for name in &removed {
            watch.held.remove(name);
        }
        watch.held.extend(versions);
        watch.version = answer.version;
        let ask = match variant {
            Variant::Delta => watch.delta(kind, answer.nonce, None),
            Variant::Sotw => watch.sotw(kind, None),
        };
        let update = Update { kind, control_plane: answer.control_plane, upserts, removed };
        Reply { ask: Some(ask), update: Some(update), refused: None }
    }

    /// The stream, or the attempt to open one, has ended: when to try again. `random` is from 0 up to 1.
    pub fn ended(&mut self, how: Ended, random: f64) -> Retry {
        self.connected = false;
        if how == Ended::Unimplemented && !self.only_sotw[self.at] {
            self.only_sotw[self.at] = true;
            return Retry { wait: 0 };
        }
        // Danger: to stay with an address that takes connections and breaks each would keep the proxy from the next.
        self.at = (self.at + 1) % self.only_sotw.len();
        // Another process may listen there by then.
        self.only_sotw[self.at] &= how == Ended::Unimplemented || self.no_delta;
        match how {
            Ended::StandsBy => self.backoff.stands_by(random),
            Ended::Unimplemented | Ended::Refused | Ended::Broken => self.backoff.failed(random),
        }
    }
}

/// Collections are part of the incremental variant alone ("LEDS"). What is held of them stands while the other variant is
/// spoken, with its versions. Danger: were these forgotten, nobody would tell of what was removed meanwhile.
fn carries(variant: Variant, kind: Kind) -> bool {
    variant == Variant::Delta || kind != Kind::Endpoint
}

impl Watch {
    /// The names to ask for. All of them are asked for by naming none ("How the client specifies what resources to
    /// return"): servers that are older than `*` know that alone.
    fn asked(&self, kind: Kind) -> Vec<String> {
        match kind.whole() && self.names.len() == 1 && self.names.contains("*") {
            true => Vec::new(),
            false => self.names.iter().cloned().collect(),
        }
    }

    fn patterns(&self) -> Vec<Pattern> {
        self.names.iter().map(|n| Pattern::parse(n)).collect()
    }

    fn first(&mut self, kind: Kind, variant: Variant) -> ClientRequest {
        self.begun = true;
        match variant {
            Variant::Sotw => self.sotw(kind, None),
            Variant::Delta => ClientRequest::Delta(DeltaRequest {
                type_url: kind.type_url().into(),
                subscribe: self.asked(kind),
                initial_versions: self.held.clone(),
                ..DeltaRequest::default()
            }),
        }
    }

    fn delta(&self, kind: Kind, nonce: String, error: Option<String>) -> ClientRequest {
        ClientRequest::Delta(DeltaRequest {
            type_url: kind.type_url().into(),
            nonce,
            error,
            ..DeltaRequest::default()
        })
    }

    fn sotw(&self, kind: Kind, error: Option<String>) -> ClientRequest {
        ClientRequest::Sotw(SotwRequest {
            type_url: kind.type_url().into(),
            version: self.version.clone(),
            names: self.asked(kind),
            nonce: self.nonce.clone(),
            error,
        })
    }
}
