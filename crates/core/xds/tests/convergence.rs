//! A server and a subscriber under random changes, disconnects, rejections, restarts and new subscriptions. In the
//! end the subscriber always has what is declared.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_xds::client::{Backoff, Client, ClientRequest, Ended, ReceivedResource, ServerAnswer};
use rushquay_xds::server::{Answer, Limits, Stream, Variant};
use rushquay_xds::{version_of, Declared, Kind, Store};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The kinds that both variants support.
const KINDS: [Kind; 2] = [Kind::Cluster, Kind::Endpoints];

#[derive(Clone, Debug)]
enum Step {
    Set(u8, u8, u8),
    Remove(u8, u8),
    /// The subscriber subscribes to these.
    Want(u8, BTreeSet<u8>),
    /// This many messages are delivered, in each direction alternately.
    Pass(u8),
    /// The next answer is rejected.
    Refuse,
    /// The stream breaks; messages on their way are lost.
    Cut,
    /// The server restarts empty, and is filled again; its versions start over.
    Restart,
    /// Whether the server supports delta from here on.
    Delta(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..2, 0u8..6, 0u8..4).prop_map(|(k, n, v)| Step::Set(k, n, v)),
        2 => (0u8..2, 0u8..6).prop_map(|(k, n)| Step::Remove(k, n)),
        1 => (0u8..2, prop::collection::btree_set(0u8..7, 1..4)).prop_map(|(k, n)| Step::Want(k, n)),
        6 => (1u8..6).prop_map(Step::Pass),
        1 => Just(Step::Refuse),
        1 => Just(Step::Cut),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Delta),
    ]
}

fn declared(text: &str) -> Declared {
    Declared { version: version_of(text.as_bytes()), body: Bytes::copy_from_slice(text.as_bytes()) }
}

struct World {
    truth: [BTreeMap<String, String>; 2],
    store: Store,
    stream: Option<Stream>,
    client: Client,
    to_server: VecDeque<ClientRequest>,
    to_client: VecDeque<Answer>,
    held: [BTreeMap<String, String>; 2],
    wanted: [BTreeSet<String>; 2],
    refuse: bool,
    speaks_delta: bool,
    restarts: u32,
}

impl World {
    fn new() -> Self {
        let mut w = World {
            truth: Default::default(),
            store: Store::new("0", 3),
            stream: None,
            client: Client::new(1, Backoff::new(1, 1), 1000),
            to_server: VecDeque::new(),
            to_client: VecDeque::new(),
            held: Default::default(),
            wanted: Default::default(),
            refuse: false,
            speaks_delta: true,
            restarts: 0,
        };
        w.store.open();
        w.want(0, ["*".to_owned()].into());
        w.want(1, ["0".to_owned(), "1".to_owned()].into());
        w
    }

    fn want(&mut self, kind: usize, names: BTreeSet<String>) {
        let (ask, unwanted) = self.client.want(KINDS[kind], names.clone());
        self.to_server.extend(ask);
        unwanted.iter().for_each(|n| drop(self.held[kind].remove(n)));
        self.wanted[kind] = names;
        // State-of-the-world answers about endpoints have no versions; those resources go with the subscription.
        let wanted = &self.wanted[kind];
        self.held[kind].retain(|n, _| wanted.contains(n) || wanted.contains("*"));
    }

    fn cut(&mut self) {
        if self.stream.take().is_some() {
            self.client.ended(Ended::Broken, 0.5);
        }
        self.to_server.clear();
        self.to_client.clear();
    }

    fn connect(&mut self) {
        if self.client.variant() == Variant::Delta && !self.speaks_delta {
            self.client.connected();
            self.client.ended(Ended::Unimplemented, 0.5);
        }
        // Later disconnects are like any other.
        self.stream =
            Some(Stream::new(self.client.variant(), None, Limits { answer: 8, ..Limits::default() }));
        self.to_server.extend(self.client.connected());
    }

    fn pass(&mut self) -> bool {
        if self.stream.is_none() {
            self.connect();
        }
        let mut moved = false;
        let stream = self.stream.as_mut().expect("a stream");
        if let Some(ask) = self.to_server.pop_front() {
            moved = true;
            let heard = match ask {
                ClientRequest::Delta(r) => stream.delta(r),
                ClientRequest::Sotw(r) => stream.sotw(r),
            };
            heard.expect("a good request");
        }
        match stream.next(&self.store) {
            Ok(answer) => {
                moved |= answer.is_some();
                self.to_client.extend(answer);
            }
            Err(_) => {
                self.cut();
                return true;
            }
        }
        if let Some(answer) = self.to_client.pop_front() {
            moved = true;
            self.take(answer);
        }
        moved
    }

    fn take(&mut self, answer: Answer) {
        let type_url = answer.kind.type_url().to_owned();
        let delta = self.client.variant() == Variant::Delta;
        let came = |r: &std::sync::Arc<rushquay_xds::Resource>| ReceivedResource {
            name: delta.then(|| r.name.to_string()),
            version: if delta { r.version.to_string() } else { String::new() },
            type_url: type_url.clone(),
            // A state-of-the-world body contains its name.
            body: format!("{}={}", r.name, String::from_utf8_lossy(&r.body)).into_bytes(),
        };
        let message = ServerAnswer {
            resources: answer.resources.iter().map(came).collect(),
            removed: answer.removed.iter().map(|n| n.to_string()).collect(),
            version: answer.version,
            nonce: answer.nonce,
            control_plane: self.store.incarnation().to_string(),
            type_url: type_url.clone(),
        };
        let refuse = std::mem::take(&mut self.refuse);
        let reply = self.client.answer(message, |_, came| {
            let text = String::from_utf8_lossy(&came.body).into_owned();
            let (name, value) = text.split_once('=').ok_or("no value")?;
            if refuse {
                Err("refused".to_owned())
            } else {
                Ok((name.to_owned(), value.to_owned()))
            }
        });
        self.to_server.extend(reply.ask);
        if let Some(update) = reply.update {
            let kind = KINDS.iter().position(|k| *k == update.kind).expect("a kind");
            update.removed.iter().for_each(|n| drop(self.held[kind].remove(n)));
            self.held[kind].extend(update.upserts);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Set(k, n, v) => {
                let (kind, name, value) = (k as usize, n.to_string(), v.to_string());
                self.store.set(KINDS[kind], &name, declared(&value), 0);
                self.truth[kind].insert(name, value);
            }
            Step::Remove(k, n) => {
                self.store.remove(KINDS[k as usize], &n.to_string(), 0);
                self.truth[k as usize].remove(&n.to_string());
            }
            Step::Want(k, names) => {
                let text = |n: &u8| if *n == 6 { "*".to_owned() } else { n.to_string() };
                // Clusters are subscribed to as a whole: what a whole answer leaves out is removed.
                let names = if k == 0 { ["*".to_owned()].into() } else { names.iter().map(text).collect() };
                self.want(k as usize, names);
            }
            Step::Pass(n) => {
                for _ in 0..n {
                    self.pass();
                }
            }
            Step::Refuse => self.refuse = true,
            Step::Cut => self.cut(),
            Step::Restart => {
                self.cut();
                self.restarts += 1;
                self.store = Store::new(&self.restarts.to_string(), 3);
                for (kind, truth) in KINDS.iter().zip(&self.truth) {
                    for (name, value) in truth {
                        self.store.set(*kind, name, declared(value), 0);
                    }
                }
                self.store.open();
            }
            Step::Delta(speaks) => {
                self.cut();
                self.speaks_delta = speaks;
            }
        }
    }

    /// The resources that the subscriber should have.
    fn declared(&self, kind: usize) -> BTreeMap<String, String> {
        let wanted = |n: &String| self.wanted[kind].contains("*") || self.wanted[kind].contains(n);
        self.truth[kind].iter().filter(|(n, _)| wanted(n)).map(|(n, v)| (n.clone(), v.clone())).collect()
    }
}

fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

proptest! {
    // The same cases every time; `CONVERGE_CASES` and `CONVERGE_SEED` try others.
    #![proptest_config(ProptestConfig {
        cases: number("CONVERGE_CASES", 1500) as u32,
        rng_seed: RngSeed::Fixed(number("CONVERGE_SEED", 1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_subscriber_always_converges(steps in prop::collection::vec(step(), 1..60)) {
        let mut w = World::new();
        for step in steps {
            w.step(step);
        }
        w.refuse = false;
        // After a rejection the next change brings everything that is due.
        for (kind, of) in KINDS.iter().enumerate() {
            w.store.set(*of, "5", declared("the end"), 0);
            w.truth[kind].insert("5".into(), "the end".into());
        }
        let mut quiet = 0;
        for _ in 0..2000 {
            quiet = if w.pass() { 0 } else { quiet + 1 };
            if quiet > 3 { break; }
        }
        prop_assert!(quiet > 3, "messages do not end");
        prop_assert_eq!(&w.held[0], &w.declared(0));
        // Only delta reports a removed name; state-of-the-world endpoints keep their last content.
        let mut endpoints = w.held[1].clone();
        if w.client.variant() == Variant::Sotw {
            endpoints.retain(|n, _| w.truth[1].contains_key(n));
        }
        prop_assert_eq!(endpoints, w.declared(1));
    }
}
