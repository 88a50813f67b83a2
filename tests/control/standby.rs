//! Several control services, one of which leads.

use super::overrides::say_to;
use super::program::{Folder, Running};
use super::*;
use rushquay_control_service::{LeadershipState, StandbySettings};
use rushquay_etcd_standin::Etcd;
use std::path::Path;

enum Place<'a> {
    File(&'a Path),
    Etcd(&'a Etcd),
}

fn settings(name: &str, place: &Place<'_>, ttl_s: f64) -> Settings {
    let (file, etcd) = match place {
        Place::File(path) => (Some(path.to_path_buf()), Vec::new()),
        Place::Etcd(etcd) => (None, vec![etcd.endpoint()]),
    };
    let (name, prefix) = (name.to_owned(), "/rushquay".to_owned());
    let standby = Some(StandbySettings { name, ttl_s, file, etcd, prefix, tls: None });
    Settings { standby, ..Settings::default() }
}

async fn instance(name: &str, discovery: SocketAddr, place: &Place<'_>) -> ControlService {
    let any = "127.0.0.1:0".parse().expect("an address");
    let settings = settings(name, place, 1.0);
    let source = SourceOption::Discovery(discovery);
    start(Options { admin: Some(any), settings, ..options(source) }).await.expect("a control service")
}

fn state(service: &ControlService) -> LeadershipState {
    service.leadership_state().expect("one of several")
}

async fn leads(service: &ControlService) -> u64 {
    until("it leads and hands out", || state(service).epoch > 0 && service.hub().store().is_open()).await;
    state(service).epoch
}

/// The leader is stopped, then its successor: whoever follows goes on, with drains and overrides, in a higher epoch.
async fn handed_over(place: &Place<'_>) {
    let fleet = nodes(&["a", "b", "c", "d"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = instance("first", discovery.addr, place).await;
    let epoch = leads(&first).await;
    let second = instance("second", discovery.addr, place).await;
    until("the second knows who leads", || state(&second).leader.as_deref() == Some("first")).await;
    let silent = Discovery::start(41, &ready(&fleet)).await;
    let proxy = proxy("p", silent.addr, &[second.xds, first.xds], &ready(&fleet));
    all_taken(&first, 1).await;
    silent.down(true);
    discovery.set("b", "draining");
    let hub = first.hub().clone();
    until("the drain is known", || hub.store().seq() > 5).await;
    let (well, text) =
        say_to(first.admin.expect("admin"), "set --node c --out --for 1h --reason boiler --force").await;
    assert!(well && !text.contains("memory"), "{text}");
    all_taken(&first, 1).await;
    assert_eq!(served_by(&proxy, 150).await.into_keys().collect::<Vec<_>>(), ["a", "d"]);
    // Commands are the leader's to take.
    let (well, text) = say_to(second.admin.expect("admin"), "list").await;
    assert!(!well && text.contains("stands by: first leads"), "{text}");
    first.stop().await;
    let next = leads(&second).await;
    assert!(next > epoch, "{next} after {epoch}");
    all_taken(&second, 1).await;
    assert_eq!(served_by(&proxy, 150).await.into_keys().collect::<Vec<_>>(), ["a", "d"]);
    let (_, text) = say_to(second.admin.expect("admin"), "list").await;
    assert!(text.contains("node c"), "{text}");
    let (well, text) = say_to(second.admin.expect("admin"), "lift 1 --author ravi").await;
    assert!(well, "{text}");
    all_taken(&second, 1).await;
    assert_eq!(served_by(&proxy, 150).await.into_keys().collect::<Vec<_>>(), ["a", "c", "d"]);
    second.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_standby_on_the_same_machine_goes_on_where_the_leader_stopped() {
    let file = File::new("handed-over");
    handed_over(&Place::File(&file.0)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_standby_on_another_machine_goes_on_where_the_leader_stopped() {
    let etcd = Etcd::start().await;
    handed_over(&Place::Etcd(&etcd)).await;
}

struct Program {
    _folder: Folder,
    running: Running,
}

/// The program itself, which can be killed and paused.
fn program(name: &str, discovery: SocketAddr, file: &Path) -> Program {
    let folder = Folder::new(&format!("standby-{name}"));
    let text = format!("[standby]\nname = '{name}'\nttl_s = 1.0\nfile = '{}'\n", file.display());
    let config = folder.write("control.toml", &text);
    let discovery = discovery.to_string();
    let config = config.to_str().expect("a path");
    let running = Running::new(&["--discovery", &discovery, "--config", config]);
    Program { _folder: folder, running }
}

impl Program {
    fn xds(&self) -> SocketAddr {
        self.running.xds.parse().expect("an address")
    }

    fn standby(&self) -> (bool, u64) {
        let status: Value = serde_json::from_str(&self.running.get("/status").1).expect("JSON");
        let standby = &status["standby"];
        (standby["leads"] == true && status["open"] == true, standby["epoch"].as_u64().expect("an epoch"))
    }

    /// Danger: stopped in the midst of a call it would hold the file until it goes on.
    fn stop_between_writes(&self, file: &Path) {
        let start = Instant::now();
        loop {
            self.running.signal("-STOP");
            // The other opens it as well, for moments.
            if (0..200).any(|_| {
                std::thread::sleep(Duration::from_millis(2));
                rushquay_state::StateStore::open(file).is_ok()
            }) {
                return;
            }
            self.running.signal("-CONT");
            assert!(start.elapsed() < LONG, "it always holds the file");
        }
    }

    /// Stops it in the middle of a call: it holds the file until it goes on.
    fn stop_in_a_write(&self, file: &Path) {
        let start = Instant::now();
        loop {
            self.running.signal("-STOP");
            let locked = || {
                std::thread::sleep(Duration::from_millis(2));
                matches!(rushquay_state::StateStore::open(file), Err(rushquay_state::StateError::Locked(_)))
            };
            // Nobody else has it open.
            if (0..5).all(|_| locked()) {
                return;
            }
            self.running.signal("-CONT");
            assert!(start.elapsed() < LONG, "it is never met in a call");
        }
    }

    async fn leads(&self) -> u64 {
        until("the program leads", || self.standby().0).await;
        self.standby().1
    }
}

/// A leader is killed in the middle of a drain that nobody but it and its proxies know of by then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_outlives_its_leader() {
    let file = File::new("leader-killed");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = program("first", discovery.addr, &file.0);
    let epoch = first.leads().await;
    // Its own discovery never hears of the drain.
    let behind = Discovery::start(41, &ready(&fleet)).await;
    let second = instance("second", behind.addr, &Place::File(&file.0)).await;
    let silent = Discovery::start(41, &ready(&fleet)).await;
    let known = proxy("known", silent.addr, &[first.xds(), second.xds], &ready(&fleet));
    silent.down(true);
    discovery.set("b", "draining");
    let start = Instant::now();
    loop {
        let by = served_by(&known, 60).await;
        if by.keys().map(String::as_str).collect::<Vec<_>>() == ["a", "c"] {
            break;
        }
        assert!(start.elapsed() < LONG, "{by:?}");
    }
    // Kept before the leader dies: the state is written within moments of the drain.
    until("the drain is kept", || {
        let (_, text) = first.running.get("/status");
        let status: Value = serde_json::from_str(&text).expect("JSON");
        status["state"]["version"] == status["source"]["version"] && status["state"]["fault"].is_null()
    })
    .await;
    // The standby has it from what is shared, or not at all.
    drop(first);
    assert!(leads(&second).await > epoch);
    let fresh = proxy("fresh", silent.addr, &[second.xds], &ready(&fleet));
    all_taken(&second, 2).await;
    for proxy in [&known, &fresh] {
        assert_eq!(served_by(proxy, 150).await.into_keys().collect::<Vec<_>>(), ["a", "c"]);
    }
}

/// A leader that was stopped for longer than its lease wakes up: it steps down, writes nothing, and moves nobody back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_old_leader_that_wakes_up_steps_down() {
    let file = File::new("leader-paused");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = program("first", discovery.addr, &file.0);
    let epoch = first.leads().await;
    let second = instance("second", discovery.addr, &Place::File(&file.0)).await;
    let silent = Discovery::start(41, &ready(&fleet)).await;
    let proxy = proxy("p", silent.addr, &[first.xds(), second.xds], &ready(&fleet));
    silent.down(true);
    assert_eq!(served_by(&proxy, 150).await.len(), 3);
    first.stop_between_writes(&file.0);
    let next = leads(&second).await;
    assert!(next > epoch);
    discovery.set("c", "draining");
    let hub = second.hub().clone();
    until("the proxy follows the second", || {
        hub.subscribers().iter().any(|s| s.has_all(rushquay_xds::Kind::Endpoint))
    })
    .await;
    let seq = hub.store().seq();
    assert!(seq > 0);
    let start = Instant::now();
    while served_by(&proxy, 60).await.contains_key("c") {
        assert!(start.elapsed() < LONG, "the drain never arrived");
    }
    first.running.signal("-CONT");
    until("the old leader has stepped down", || first.standby() == (false, 0)).await;
    // It stays so, and nobody is moved back.
    let (well, text) = say_to(first.running.admin, "set --node a --out --for 1h --reason old --force").await;
    assert!(!well && text.contains("stands by"), "{text}");
    assert_eq!(state(&second).epoch, next);
    assert_eq!(served_by(&proxy, 150).await.into_keys().collect::<Vec<_>>(), ["a", "b"]);
}

/// A leader that is stopped in the middle of a call keeps the file locked for as long as it stands still: another leads all the same,
/// with all that was kept, and what the stopped one was doing comes to nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_is_stopped_in_the_middle_of_a_call_is_followed() {
    let file = File::new("leader-stopped");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = program("first", discovery.addr, &file.0);
    let epoch = first.leads().await;
    let (well, text) =
        say_to(first.running.admin, "set --node c --out --for 1h --reason boiler --force").await;
    assert!(well && !text.contains("memory"), "{text}");
    first.stop_in_a_write(&file.0);
    let second = instance("second", discovery.addr, &Place::File(&file.0)).await;
    let next = leads(&second).await;
    assert!(next > epoch, "{next} after {epoch}");
    let (_, text) = say_to(second.admin.expect("admin"), "list").await;
    assert!(text.contains("node c"), "{text}");
    let (well, text) =
        say_to(second.admin.expect("admin"), "set --node b --out --for 1h --reason pump --force").await;
    assert!(well && !text.contains("memory"), "{text}");
    first.running.signal("-CONT");
    until("the old leader has stepped down", || first.standby() == (false, 0)).await;
    let (well, text) = say_to(first.running.admin, "set --node a --out --for 1h --reason old --force").await;
    assert!(!well && text.contains("stands by"), "{text}");
    // It follows in its turn, with what the second has kept.
    second.stop().await;
    assert!(first.leads().await > next);
    let (_, text) = say_to(first.running.admin, "list").await;
    assert!(text.contains("node b") && text.contains("node c"), "{text}");
}

/// While what is shared can't be reached a leader leads on until its lease is over, and no longer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_is_cut_off_from_etcd_stops_in_time_and_comes_back() {
    let etcd = Etcd::start().await;
    let fleet = nodes(&["a", "b"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = instance("only", discovery.addr, &Place::Etcd(&etcd)).await;
    let epoch = leads(&service).await;
    etcd.away(true);
    until("it has stepped down", || state(&service).epoch == 0).await;
    assert!(service.hub().served().is_none() && state(&service).fault.is_some());
    etcd.away(false);
    assert!(leads(&service).await > epoch);
}

/// Danger: who reads that an instance leads, and in no epoch, takes the one before for the newer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_says_that_it_leads_says_in_which_epoch() {
    let file = File::new("leader-epoch");
    let fleet = nodes(&["a"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = instance("first", discovery.addr, &Place::File(&file.0)).await;
    leads(&first).await;
    let second = instance("second", discovery.addr, &Place::File(&file.0)).await;
    let admin = second.admin.expect("admin");
    let asked = async || {
        let said = rushquay_fleet_harness::call(admin, hyper::Method::GET, "/status", None, None).await;
        said.expect("an answer").1["standby"].clone()
    };
    until("it follows the list", || state(&second).leader.as_deref() == Some("first")).await;
    let stopping = tokio::spawn(first.stop());
    let start = Instant::now();
    // Looked at again and again while it takes over.
    loop {
        let standby = asked().await;
        let (epoch, takeovers) = (&standby["epoch"], &standby["takeovers"]);
        assert!(standby["leads"] != true || (*epoch != 0 && *takeovers == 1), "{standby:#}");
        if standby["leads"] == true {
            break;
        }
        assert!(start.elapsed() < LONG, "it never leads");
    }
    stopping.await.expect("stopped");
}
