//! From the list at the control service to the list at the proxy, with everything between them: the control state,
//! the resources, both sides of the protocol, and the merger. No sockets.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushquay_control_state::{ControlConfig, ControlState, EndpointChange, ListOutcome, ListSource};
use rushquay_endpoints::{
    Endpoint, EndpointList, EndpointMerger, EndpointState, MergeLimits, MergeTime, StatedStart, WatchEvent,
};
use rushquay_xds::client::{ClientRequest, Ended, ReceivedResource, ServerAnswer, Session, Topic};
use rushquay_xds::server::{Answer, DeltaRequest, Limits, SotwRequest, Stream, Variant};
use rushquay_xds::{Kind, Store};
use rushquay_xds_resources::{
    assignment_name, collection_name, declare, declare_changed, ClusterNames, ControlFollower, FollowerConfig,
};
use std::collections::{BTreeMap, VecDeque};

fn follow(collections: bool) -> ControlFollower {
    ControlFollower::new(FollowerConfig {
        addresses: 1,
        clusters: vec!["cache-nodes".into(), "origin".into()],
        collections,
        backoff: (1, 1),
        most: 1000,
    })
}

fn node(id: u8, zone: u8, kind: u8, state: EndpointState, started: u64, weight: f64) -> Endpoint {
    Endpoint {
        id: id.to_string(),
        addr: Some(([127, 0, 0, 1], 1000 + u16::from(id)).into()),
        zone: format!("z{zone}"),
        kind: if kind == 0 { "origin".into() } else { "std".into() },
        cell: 3,
        state,
        weight,
        started: StatedStart::from_unix_nanos(started),
    }
}

struct World {
    version: u64,
    truth: BTreeMap<String, Endpoint>,
    control: ControlState,
    store: Store,
    processes: u32,
    stream: Option<Stream>,
    follow: ControlFollower,
    merge: EndpointMerger,
    to_server: VecDeque<ClientRequest>,
    to_client: VecDeque<Answer>,
    garble: bool,
    speaks_delta: bool,
    has_collections: bool,
    refusals: u32,
}

impl World {
    fn new(has_collections: bool) -> Self {
        let mut w = World {
            version: 100,
            truth: BTreeMap::new(),
            control: ControlState::new(ControlConfig::default(), ListSource::Discovery),
            store: Store::new("p0", 16),
            processes: 0,
            stream: None,
            follow: follow(true),
            merge: EndpointMerger::new(MergeLimits::default()),
            to_server: VecDeque::new(),
            to_client: VecDeque::new(),
            garble: false,
            speaks_delta: true,
            has_collections,
            refusals: 0,
        };
        w.truth.insert("200".into(), node(200, 0, 1, EndpointState::Ready, 1, 1.0));
        w.whole();
        w
    }

    /// Applies the whole list at the control service.
    fn whole(&mut self) {
        let servers = self.truth.values().cloned().collect();
        let taken =
            self.control.process_list(&EndpointList { version: self.version, full: true, servers }, 0);
        self.taken(taken);
    }

    fn change(&mut self, changed: Endpoint) {
        self.version += 1;
        match changed.state {
            EndpointState::Gone => drop(self.truth.remove(&changed.id)),
            _ => drop(self.truth.insert(changed.id.clone(), changed.clone())),
        }
        let list = EndpointList { version: self.version, full: false, servers: vec![changed] };
        let taken = self.control.process_list(&list, 0);
        self.taken(taken);
    }

    fn taken(&mut self, taken: ListOutcome) {
        match taken {
            ListOutcome::First => {
                let shape = ClusterNames { cluster: "cache-nodes".into(), origin: "origin".into() };
                declare(&mut self.store, &shape, self.control.clusters(), 0);
                self.store.open();
            }
            ListOutcome::Changed(EndpointChange { changed, removed: gone }) => {
                for i in 0..2 {
                    let (name, nodes) = (self.control.cluster_names()[i], self.control.clusters()[i]);
                    declare_changed(&mut self.store, name, nodes, &changed[i], &gone[i], 0);
                }
            }
            ListOutcome::EmptyListIgnored => panic!("there is always a node"),
        }
        if !self.has_collections {
            // A server that has only the plain form.
            for cluster in ["cache-nodes", "origin"] {
                self.store.remove(Kind::Endpoints, &assignment_name(cluster), 0);
            }
        }
    }

    fn restart(&mut self) {
        self.cut();
        self.processes += 1;
        self.control = ControlState::new(ControlConfig::default(), ListSource::Discovery);
        self.store = Store::new(&format!("p{}", self.processes), 16);
        self.whole();
    }

    fn cut(&mut self) {
        if self.stream.take().is_some() {
            self.follow.ended(Ended::Broken, 0.5);
            self.merge.apply_control_event("", WatchEvent::Lost, MergeTime::default());
        }
        self.to_server.clear();
        self.to_client.clear();
    }

    fn connect(&mut self) {
        if self.follow.variant() == Variant::Delta && !self.speaks_delta {
            self.follow.connected();
            self.follow.ended(Ended::Unimplemented, 0.5);
        }
        self.stream =
            Some(Stream::new(self.follow.variant(), None, Limits { answer: 600, ..Limits::default() }));
        self.to_server.extend(self.follow.connected());
    }

    fn pass(&mut self) -> bool {
        if self.stream.is_none() {
            self.connect();
        }
        let stream = self.stream.as_mut().expect("a stream");
        let ask = self.to_server.pop_front();
        let mut moved = ask.is_some();
        match ask {
            Some(ClientRequest::Delta(r)) => drop(stream.delta(r).expect("a good request")),
            Some(ClientRequest::Sotw(r)) => drop(stream.sotw(r).expect("a good request")),
            None => {}
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
        let delta = self.follow.variant() == Variant::Delta;
        let type_url = answer.kind.type_url().to_owned();
        let garble = std::mem::take(&mut self.garble);
        let came = |r: &std::sync::Arc<rushquay_xds::Resource>| ReceivedResource {
            name: delta.then(|| r.name.to_string()),
            version: if delta { r.version.to_string() } else { String::new() },
            type_url: type_url.clone(),
            body: if garble { vec![0xff; 9] } else { r.body.to_vec() },
        };
        let taken = self.follow.answer(ServerAnswer {
            resources: answer.resources.iter().map(came).collect(),
            removed: answer.removed.iter().map(|n| n.to_string()).collect(),
            version: answer.version,
            nonce: answer.nonce,
            control_plane: self.store.incarnation().to_string(),
            type_url: type_url.clone(),
        });
        self.to_server.extend(taken.asks);
        self.refusals += u32::from(taken.refused.is_some());
        if let Some(said) = taken.news {
            self.merge.apply_control_event(
                &said.process,
                said.nodes.expect("nodes alone are followed"),
                MergeTime::default(),
            );
        }
    }

    fn settle(&mut self) {
        let mut quiet = 0;
        for _ in 0..5000 {
            quiet = if self.pass() { 0 } else { quiet + 1 };
            if quiet > 3 {
                return;
            }
        }
        panic!("no end of messages");
    }

    fn merged(&self) -> BTreeMap<String, Endpoint> {
        self.merge.nodes().map(|v| (v.member.id.clone(), v.member.clone())).collect()
    }
}

#[test]
fn all_fields_of_an_endpoint_arrive() {
    let mut w = World::new(true);
    let odd = Endpoint {
        zone: String::new(),
        kind: "a/b*".into(),
        ..node(1, 1, 1, EndpointState::Draining, 1_764_000_000_123_456_789, 0.1)
    };
    w.change(odd);
    w.change(node(2, 1, 0, EndpointState::Ready, 5, 2.5));
    w.settle();
    assert_eq!(w.merged(), w.truth);
}

#[test]
fn one_change_sends_one_endpoint_whatever_their_number() {
    let mut sizes = Vec::new();
    for count in [10u8, 190] {
        let mut w = World::new(true);
        (0..count).for_each(|i| w.change(node(i, i % 4, 1, EndpointState::Ready, 1, 1.0)));
        w.settle();
        w.change(node(3, 3, 1, EndpointState::Draining, 1, 1.0));
        let mut bytes = 0;
        while let Ok(Some(answer)) = w.stream.as_mut().expect("a stream").next(&w.store) {
            bytes += answer.resources.iter().map(|r| r.body.len() + r.name.len()).sum::<usize>();
            w.take(answer);
            w.settle();
        }
        assert_eq!(w.merged()["3"].state, EndpointState::Draining);
        sizes.push(bytes);
    }
    assert_eq!(sizes[0], sizes[1]);
}

#[test]
fn whole_clusters_are_requested_from_a_server_without_delta() {
    let mut w = World::new(true);
    w.speaks_delta = false;
    w.change(node(1, 1, 1, EndpointState::Ready, 1, 1.0));
    w.settle();
    assert_eq!((w.follow.variant(), w.merged()), (Variant::Sotw, w.truth.clone()));
    // And back, with what changed meanwhile.
    w.cut();
    w.speaks_delta = true;
    w.change(node(1, 1, 1, EndpointState::Gone, 1, 1.0));
    w.change(node(2, 1, 1, EndpointState::Ready, 1, 1.0));
    w.settle();
    assert_eq!((w.follow.variant(), w.merged()), (Variant::Delta, w.truth.clone()));
}

#[test]
fn the_plain_form_is_requested_from_a_server_without_collections() {
    let mut w = World::new(false);
    w.change(node(1, 1, 1, EndpointState::Draining, 1, 1.0));
    w.settle();
    assert_eq!((w.follow.variant(), w.merged()), (Variant::Delta, w.truth.clone()));
}

#[test]
fn subscriptions_are_requested_by_name() {
    let mut f = follow(true);
    let asks = f.connected();
    let ClientRequest::Delta(DeltaRequest { subscribe, .. }) = &asks[0] else { panic!("delta") };
    assert_eq!(*subscribe, [assignment_name("cache-nodes"), assignment_name("origin")]);
    f.ended(Ended::Unimplemented, 0.0);
    let asks = f.connected();
    let ClientRequest::Sotw(SotwRequest { names, .. }) = &asks[0] else { panic!("state-of-the-world") };
    assert_eq!(
        (names.as_slice(), asks.len()),
        (["cache-nodes".to_owned(), "origin".to_owned()].as_slice(), 1)
    );
    assert!(collection_name("c", "z").ends_with("/c/z/*"));
}

#[test]
fn a_rejected_answer_changes_nothing_and_the_next_one_has_everything() {
    let mut w = World::new(true);
    w.settle();
    let before = w.merged();
    w.garble = true;
    w.change(node(1, 0, 1, EndpointState::Ready, 1, 1.0));
    w.settle();
    assert_eq!((w.refusals, w.merged()), (1, before));
    w.change(node(2, 0, 1, EndpointState::Ready, 1, 1.0));
    w.settle();
    assert_eq!(w.merged(), w.truth);
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8, u8, u8, bool, u64),
    Gone(u8),
    Pass(u8),
    Garble,
    Cut,
    Restart,
    Delta(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0u8..6, 0u8..3, 0u8..3, any::<bool>(), 1u64..4).prop_map(|(i, z, k, d, s)| Step::Put(i, z, k, d, s)),
        2 => (0u8..6).prop_map(Step::Gone),
        6 => (1u8..8).prop_map(Step::Pass),
        1 => Just(Step::Garble),
        1 => Just(Step::Cut),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Delta),
    ]
}

fn number(variable: &str, usual: u64) -> u64 {
    std::env::var(variable).ok().and_then(|v| v.parse().ok()).unwrap_or(usual)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: number("CONVERGE_CASES", 400) as u32,
        rng_seed: RngSeed::Fixed(number("CONVERGE_SEED", 1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever disconnects, rejections and restarts there are, the proxy ends with the declared list.
    #[test]
    fn the_proxy_ends_with_the_declared_list(steps in prop::collection::vec(step(), 1..50)) {
        let mut w = World::new(true);
        let mut starts: BTreeMap<u8, u64> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Put(id, zone, kind, drains, newer) => {
                    // An endpoint's start never decreases.
                    let started = starts.entry(id).or_insert(1);
                    *started += u64::from(newer == 3);
                    let state = if drains { EndpointState::Draining } else { EndpointState::Ready };
                    w.change(node(id, zone, kind, state, *started, f64::from(kind) + 1.0));
                }
                Step::Gone(id) => {
                    if let Some(member) = w.truth.get(&id.to_string()).cloned() {
                        w.change(Endpoint { state: EndpointState::Gone, ..member });
                    }
                }
                Step::Pass(n) => {
                    for _ in 0..n {
                        w.pass();
                    }
                }
                Step::Garble => w.garble = true,
                Step::Cut => w.cut(),
                Step::Restart => w.restart(),
                Step::Delta(speaks) => {
                    w.cut();
                    w.speaks_delta = speaks;
                }
            }
        }
        w.garble = false;
        // What is due after a rejection comes with the next change: both forms of both clusters.
        w.change(node(201, 0, 1, EndpointState::Ready, 1, 1.0));
        w.change(node(202, 9, 0, EndpointState::Ready, 1, 1.0));
        w.settle();
        prop_assert_eq!(w.merged(), w.truth);
    }
}

/// A former leader answers again: its answer is rejected, and the subscriber moves on to another server.
#[test]
fn answers_from_an_earlier_epoch_are_rejected() {
    let node_of = |state| node(1, 0, 1, state, 1, 1.0);
    let told = |process: &str, state| {
        let mut control = ControlState::new(ControlConfig::default(), ListSource::Discovery);
        control.process_list(&EndpointList { version: 1, full: true, servers: vec![node_of(state)] }, 0);
        let mut store = Store::new(process, 16);
        let shape = ClusterNames { cluster: "cache-nodes".into(), origin: "origin".into() };
        declare(&mut store, &shape, control.clusters(), 0);
        let resource = store.get(Kind::Endpoints, "cache-nodes").expect("a resource").clone();
        ServerAnswer {
            type_url: Kind::Endpoints.type_url().into(),
            nonce: "1".into(),
            control_plane: process.into(),
            resources: vec![ReceivedResource {
                name: Some("cache-nodes".into()),
                version: resource.version.to_string(),
                type_url: Kind::Endpoints.type_url().into(),
                body: resource.body.to_vec(),
            }],
            ..ServerAnswer::default()
        }
    };
    let mut f = follow(false);
    f.connected();
    let taken = f.answer(told("new@7", EndpointState::Draining));
    assert!(taken.news.is_some() && taken.leave.is_none());
    for old in ["old@6", "without"] {
        let taken = f.answer(told(old, EndpointState::Ready));
        assert!(taken.news.is_none() && taken.asks.is_empty(), "{old}");
        assert!(taken.leave.is_some_and(|why| why.contains("7 was seen")), "{old}");
    }
    assert!(f.answer(told("newer@8", EndpointState::Ready)).news.is_some());
}

/// A control service of a version without settings ends the stream for a request: the endpoints are followed without
/// them, and settings are requested again once another stream has ended for another reason.
#[test]
fn an_older_control_service_is_followed_for_endpoints_only() {
    let mut f = follow(true);
    f.settings("p", |_| Ok(()), || Some("told".into()));
    let kinds = |asks: &[ClientRequest]| -> Vec<String> {
        let url = |a: &ClientRequest| match a {
            ClientRequest::Delta(r) => r.type_url.clone(),
            ClientRequest::Sotw(r) => r.type_url.clone(),
        };
        asks.iter().map(url).collect()
    };
    let asks_for =
        |f: &mut ControlFollower| kinds(&f.connected()).contains(&Kind::Extension.type_url().to_owned());
    assert!(asks_for(&mut f));
    assert_eq!((f.tells(), f.tells()), (vec![(Topic::Report, "told".into())], Vec::new()), "once a stream");
    assert_eq!(f.woken().len(), 1);
    f.ended(Ended::Refused, 0.5);
    assert!(!asks_for(&mut f) && f.woken().is_empty());
    f.ended(Ended::Broken, 0.5);
    assert!(asks_for(&mut f));
}
