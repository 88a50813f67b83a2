//! Control services that restart, are old, or are gone.

use super::link::Link;
use super::*;

struct Rig {
    fleet: Vec<Node>,
    discovery: Discovery,
    service: ControlService,
    link: Link,
    proxies: Vec<LocalProxy>,
}

/// Two proxies that have taken a drain of `b` from the control service alone; their own discovery is behind it.
async fn drained() -> Rig {
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = control(discovery.addr).await;
    let link = Link::to(service.xds).await;
    let behind = Discovery::start(41, &ready(&fleet)).await;
    let proxies: Vec<_> =
        ["p", "q"].iter().map(|n| proxy(n, behind.addr, &[link.addr], &ready(&fleet))).collect();
    all_taken(&service, 2).await;
    discovery.set("b", "draining");
    until("the control service has heard", || drains(&service)).await;
    all_taken(&service, 2).await;
    // What the proxies' own discovery says from here on is nothing.
    behind.down(true);
    let rig = Rig { fleet, discovery, service, link, proxies };
    rig.only(&["a", "c"]).await;
    rig
}

fn drains(service: &ControlService) -> bool {
    let hub = service.hub();
    let store = hub.store();
    // Changes: the first declaration, then the drain.
    store.is_open() && hub.counters.answers.load(std::sync::atomic::Ordering::Relaxed) > 0 && {
        let name = rushquay_resources::endpoint_name("cache-nodes", "rajkot", "b");
        let resource = store.get(rushquay_xds::Kind::Endpoint, &name).cloned();
        resource.is_some_and(|r| {
            let came = rushquay_xds::client::Came {
                name: Some(name.clone()),
                type_url: rushquay_xds::Kind::Endpoint.type_url().into(),
                body: r.body.to_vec(),
                ..Default::default()
            };
            let item =
                rushquay_resources::decode(rushquay_xds::Kind::Endpoint, &came).expect("an endpoint").1;
            matches!(item, rushquay_resources::Item::Endpoint(s)
                if s.member.state == rushquay_nodes::NodeState::Draining)
        })
    }
}

impl Rig {
    async fn only(&self, ids: &[&str]) {
        for proxy in &self.proxies {
            let by = served_by(proxy, 150).await;
            assert_eq!(by.keys().map(String::as_str).collect::<Vec<_>>(), ids);
        }
    }

    /// Another control service takes the place of the present one.
    async fn replace(&mut self, service: ControlService) {
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
    rig.discovery.put(entry(&rig.fleet[1], "rajkot", "std-1c", "ready", 9000));
    let hub = rig.service.hub().clone();
    let start = hub.store().seq();
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
    let load = rushquay_standins::Load::start(proxy.addr, "load", 4, Duration::from_millis(1));
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
