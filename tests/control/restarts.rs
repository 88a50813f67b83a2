//! Control services that restart, are old, or are gone.

use super::link::Link;
use super::*;

/// Three nodes, a control service that hears of them, and two proxies that hear from it over a link.
pub struct Rig {
    pub fleet: Vec<Node>,
    pub discovery: Discovery,
    /// The proxies' own discovery, which never hears of a change.
    pub behind: Discovery,
    pub service: ControlService,
    link: Link,
    proxies: Vec<LocalProxy>,
}

/// Two proxies that have taken a drain of `b` from the control service alone; their own discovery is behind it.
pub async fn drained() -> Rig {
    let rig = Rig::start(control).await;
    rig.discovery.set("b", "draining");
    until("the control service has heard", || drains(&rig.service)).await;
    all_taken(&rig.service, 2).await;
    // What the proxies' own discovery says from here on is nothing.
    rig.behind.down(true);
    rig.only(&["a", "c"]).await;
    rig
}

fn drains(service: &ControlService) -> bool {
    let hub = service.hub();
    let store = hub.store();
    // Changes: the first declaration, then the drain.
    store.is_open() && hub.counters.answers.load(std::sync::atomic::Ordering::Relaxed) > 0 && {
        let name = rushquay_xds_resources::endpoint_name("cache-nodes", "rajkot", "b");
        let resource = store.get(rushquay_xds::Kind::Endpoint, &name).cloned();
        resource.is_some_and(|r| {
            let came = rushquay_xds::client::ReceivedResource {
                name: Some(name.clone()),
                type_url: rushquay_xds::Kind::Endpoint.type_url().into(),
                body: r.body.to_vec(),
                ..Default::default()
            };
            let item =
                rushquay_xds_resources::decode(rushquay_xds::Kind::Endpoint, &came).expect("an endpoint").1;
            matches!(item, rushquay_xds_resources::DecodedResource::Endpoint(s)
                if s.member.state == rushquay_endpoints::EndpointState::Draining)
        })
    }
}

impl Rig {
    /// Started with this control service, which both proxies have taken the list from.
    pub async fn start(control: impl AsyncFnOnce(SocketAddr) -> ControlService) -> Self {
        let fleet = nodes(&["a", "b", "c"]).await;
        let discovery = Discovery::start(41, &ready(&fleet)).await;
        let service = control(discovery.addr).await;
        let link = Link::to(service.xds).await;
        let behind = Discovery::start(41, &ready(&fleet)).await;
        let proxies: Vec<_> =
            ["p", "q"].iter().map(|n| proxy(n, behind.addr, &[link.addr], &ready(&fleet))).collect();
        all_taken(&service, 2).await;
        Rig { fleet, discovery, behind, service, link, proxies }
    }

    pub async fn only(&self, ids: &[&str]) {
        for proxy in &self.proxies {
            let by = served_by(proxy, 150).await;
            assert_eq!(by.keys().map(String::as_str).collect::<Vec<_>>(), ids);
        }
    }

    /// Another control service takes the place of the present one.
    pub async fn replace(&mut self, service: ControlService) {
        self.link.cut();
        let old = std::mem::replace(&mut self.service, service);
        old.stop().await;
        self.link.mend(self.service.xds);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_empty_control_service_whose_discovery_is_down_takes_nothing_away() {
    let mut rig = drained().await;
    rig.discovery.down(true);
    let empty = control(rig.discovery.addr).await;
    rig.replace(empty).await;
    let hub = rig.service.hub().clone();
    until("both have subscribed again", || {
        hub.subscribers().iter().filter(|s| !s.standing.is_empty()).count() == 2
    })
    .await;
    rig.only(&["a", "c"]).await;
    assert_eq!(hub.counters.answers.load(std::sync::atomic::Ordering::Relaxed), 0, "it has nothing to say");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_service_that_restarts_on_an_old_list_does_not_bring_a_draining_node_back() {
    let mut rig = drained().await;
    rig.discovery.replace(41, &ready(&rig.fleet));
    let restarted = control(rig.discovery.addr).await;
    rig.replace(restarted).await;
    all_taken(&rig.service, 2).await;
    rig.only(&["a", "c"]).await;
    // A list from after the drain says that it is over.
    rig.discovery.replace(50, &ready(&rig.fleet));
    rig.discovery.put(entry(&rig.fleet[1], "rajkot", "std-1c", "ready", 1000));
    let restarted = control(rig.discovery.addr).await;
    rig.replace(restarted).await;
    all_taken(&rig.service, 2).await;
    rig.only(&["a", "b", "c"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_restarts_with_versions_starting_over_keep_the_drain_and_hear_what_is_new() {
    let mut rig = drained().await;
    for version in [1, 1] {
        rig.discovery.replace(version, &ready(&rig.fleet));
        let restarted = control(rig.discovery.addr).await;
        rig.replace(restarted).await;
        all_taken(&rig.service, 2).await;
        rig.only(&["a", "c"]).await;
    }
    // A new start of the node is news whatever the versions say.
    let hub = rig.service.hub().clone();
    // Read before: the start may be declared as soon as discovery has it.
    let start = hub.store().seq();
    rig.discovery.put(entry(&rig.fleet[1], "rajkot", "std-1c", "ready", 9000));
    until("the start is declared", || hub.store().seq() > start).await;
    all_taken(&rig.service, 2).await;
    rig.only(&["a", "b", "c"]).await;
}

/// The first of two control services goes; the second stands still at an old list, from before the drain and before
/// a node came.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_old_control_service_moves_nothing_back() {
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet[..2])).await;
    let stuck = Discovery::start(41, &ready(&fleet[..2])).await;
    let (new, old) = (control(discovery.addr).await, control(stuck.addr).await);
    let own = Discovery::start(41, &ready(&fleet[..2])).await;
    let link = Link::to(new.xds).await;
    let proxy = proxy("p", own.addr, &[link.addr, old.xds], &[]);
    all_taken(&new, 1).await;
    let c = entry(&fleet[2], "rajkot", "std-1c", "ready", 2000);
    discovery.put(c.clone());
    discovery.set("b", "draining");
    until("the control service has heard", || drains(&new)).await;
    all_taken(&new, 1).await;
    // Its own discovery has heard of the new node, not of the drain.
    own.put(c);
    until("its own discovery has been asked again", || own.calls() >= 2).await;
    assert_eq!(served_by(&proxy, 200).await.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
    link.cut();
    all_taken(&old, 1).await;
    assert_eq!(served_by(&proxy, 200).await.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_control_service_leaves_the_proxy_on_its_own_discovery_without_a_flap() {
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = control(discovery.addr).await;
    let link = Link::to(service.xds).await;
    let proxy = proxy("p", discovery.addr, &[link.addr], &[]);
    all_taken(&service, 1).await;
    assert_eq!(served_by(&proxy, 150).await.len(), 3);
    let load = rushquay_test_servers::Load::start(proxy.addr, "load", 4, Duration::from_millis(1));
    link.cut();
    service.stop().await;
    assert_eq!(served_by(&proxy, 150).await.len(), 3);
    // It goes on following its own discovery.
    fleet.iter().for_each(Node::clear);
    discovery.set("c", "draining");
    let calls = discovery.calls();
    until("discovery has been asked again", || discovery.calls() > calls).await;
    until("the others serve", || fleet[0].count() > 20 && fleet[1].count() > 20).await;
    assert_eq!(served_by(&proxy, 150).await.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "b"]);
    let outcomes = load.stop().await;
    assert_eq!((outcomes.lost, outcomes.failed, outcomes.served), (0, 0, outcomes.asked));
}

/// A control service that keeps what it knows in a file.
async fn keeping(discovery: SocketAddr, file: &std::path::Path) -> ControlService {
    let source = SourceOption::Discovery(discovery);
    start(Options { state_file: Some(file.into()), ..options(source) }).await.expect("a control service")
}

/// Entries last told in several lists; a control service that starts anew has them all from the newest, and sends
/// nothing again, since it kept where each is from.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_control_service_sends_nothing_that_is_held_already() {
    use std::sync::atomic::Ordering::Relaxed;
    let file = File::new("held");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(1, &ready(&fleet)).await;
    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let service = keeping(discovery.addr, &file.0).await;
    let link = Link::to(service.xds).await;
    let _proxy = proxy("p", silent.addr, &[link.addr], &[]);
    all_taken(&service, 1).await;
    let before = service.hub().counters.bytes.load(Relaxed);
    assert!(before > 0);
    for weight in [2.0, 3.0] {
        let mut heavier = entry(&fleet[0], "rajkot", "std-1c", "ready", 1000);
        heavier["weight"] = json!(weight);
        let seq = service.hub().store().seq();
        discovery.put(heavier);
        let hub = service.hub().clone();
        until("the control service has heard", || hub.store().seq() > seq).await;
        all_taken(&service, 1).await;
    }
    link.cut();
    service.stop().await;
    let restarted = keeping(discovery.addr, &file.0).await;
    let hub = restarted.hub().clone();
    until("it knows the list", || hub.store().is_open()).await;
    link.mend(restarted.xds);
    all_taken(&restarted, 1).await;
    assert_eq!(hub.counters.bytes.load(Relaxed), 0, "sent again");
    // What is new is sent: a drain, and that alone.
    let seq = hub.store().seq();
    discovery.set("b", "draining");
    until("the control service has heard", || hub.store().seq() > seq).await;
    all_taken(&restarted, 1).await;
    let sent = hub.counters.bytes.load(Relaxed);
    assert!(sent > 0 && sent < before / 2, "{sent} of {before}");
}

/// Discovery has forgotten a drain, and the control service is another process since: it still stands, also for clients
/// that keep nothing themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_that_discovery_forgot_outlives_a_restart_of_the_control_service() {
    let file = File::new("drain");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = keeping(discovery.addr, &file.0).await;
    let hub = service.hub().clone();
    until("it knows the list", || hub.store().is_open()).await;
    let seq = hub.store().seq();
    discovery.set("b", "draining");
    until("the control service has heard", || hub.store().seq() > seq).await;
    service.stop().await;
    discovery.replace(41, &ready(&fleet));
    let restarted = keeping(discovery.addr, &file.0).await;
    let hub = restarted.hub().clone();
    until("it knows the list", || hub.store().is_open()).await;
    // A proxy that never heard of the drain.
    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let proxy = proxy("fresh", silent.addr, &[restarted.xds], &[]);
    all_taken(&restarted, 1).await;
    assert_eq!(served_by(&proxy, 150).await.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
}

/// With its source down as well it hands out what it kept, after a while; and a file held by another leaves it running
/// from memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_kept_is_served_without_a_source_and_a_held_file_is_no_end() {
    let file = File::new("alone");
    let fleet = nodes(&["a", "b"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = keeping(discovery.addr, &file.0).await;
    let hub = service.hub().clone();
    until("it knows the list", || hub.store().is_open()).await;
    let second = keeping(discovery.addr, &file.0).await;
    let other = second.hub().clone();
    until("the second serves from memory", || other.store().is_open()).await;
    second.stop().await;
    service.stop().await;
    discovery.down(true);
    let alone = keeping(discovery.addr, &file.0).await;
    let hub = alone.hub().clone();
    assert!(!hub.store().is_open(), "it waits for its source first");
    until("it serves what it kept", || hub.store().is_open()).await;
    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let proxy = proxy("p", silent.addr, &[alone.xds], &[]);
    all_taken(&alone, 1).await;
    assert_eq!(served_by(&proxy, 100).await.len(), 2);
}
