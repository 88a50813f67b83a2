//! A proxy that missed something.

use super::link::Link;
use super::*;
use rushquay_test_servers::Load;

/// Missed: a node drained, one drained, removed and back under its id with a new start, one removed for good, and one
/// that is new.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_missed_several_updates_ends_with_the_declared_state() {
    let fleet = nodes(&["a", "drained", "back", "removed", "new"]).await;
    let (before, new) = (ready(&fleet[..4]), &fleet[4]);
    let discovery = Discovery::start(40, &before).await;
    // The proxy's own discovery is silent: all comes from the control service.
    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let service = control(discovery.addr).await;
    let link = Link::to(service.xds).await;
    let proxy = proxy("p", silent.addr, &[link.addr], &[]);
    all_taken(&service, 1).await;
    assert_eq!(served_by(&proxy, 400).await.len(), 4);

    link.cut();
    let hub = service.hub().clone();
    until("the control service has seen the cut", || hub.subscribers().is_empty()).await;
    discovery.set("drained", "draining");
    discovery.set("back", "draining");
    discovery.set("back", "gone");
    discovery.set("removed", "draining");
    discovery.set("removed", "gone");
    discovery.put(entry(&fleet[2], "rajkot", "std-1c", "ready", 5000));
    discovery.put(entry(new, "surat", "std-1c", "ready", 5000));
    let open = |id: &str| {
        hub.store().names(rushquay_xds::Kind::Endpoint, &rushquay_xds::Pattern::All).any(|n| n.ends_with(id))
    };
    until("the control service knows", || open("/new") && !open("/removed")).await;
    // Cut off it goes on with what it has.
    assert_eq!(served_by(&proxy, 200).await.len(), 4);

    fleet.iter().for_each(Node::clear);
    let load = Load::start(proxy.addr, "load", 4, Duration::from_millis(1));
    link.mend(service.xds);
    all_taken(&service, 1).await;
    // From here on: what had been sent before it heard is out of the way once the load has gone on for a while.
    let after = Instant::now();
    until("the new nodes serve", || fleet[2].count() > 0 && new.count() > 0).await;
    let outcomes = load.stop().await;
    assert_eq!((outcomes.lost, outcomes.failed, outcomes.served), (0, 0, outcomes.asked));
    for gone in ["drained", "removed"] {
        let node = fleet.iter().find(|n| n.id == gone).expect("a node");
        let late = node.sent().iter().filter(|(at, _)| *at > after).count();
        assert_eq!(late, 0, "{gone} is sent to after the proxy has taken its state");
    }
    let by = served_by(&proxy, 400).await;
    assert_eq!(by.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "back", "new"]);
}

/// The answer that brings it up to date breaks off at every place.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_cut_inside_a_message_is_taken_up_again() {
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(40, &ready(&fleet)).await;
    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let service = control(discovery.addr).await;
    // How much it takes to tell all.
    let whole = Link::to(service.xds).await;
    let other = proxy("other", silent.addr, &[whole.addr], &[]);
    all_taken(&service, 1).await;
    let (total, hub) = (whole.passed() as usize, service.hub().clone());
    drop(other);
    until("it has gone", || hub.subscribers().is_empty()).await;

    for part in 1..=12 {
        let link = Link::to(service.xds).await;
        link.cut_after(total * part / 16);
        let proxy = proxy("p", silent.addr, &[link.addr], &[]);
        until("the link is spent", || link.spent()).await;
        link.mend(service.xds);
        all_taken(&service, 1).await;
        assert_eq!(served_by(&proxy, 60).await.len(), 3, "cut after {part} sixteenths");
        drop(proxy);
        until("it has gone", || hub.subscribers().is_empty()).await;
    }
}
