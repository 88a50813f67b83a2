//! Operators' overrides from the command line to the proxies' routing.

use super::link::Link;
use super::*;
use std::path::Path;
use std::process::Command;

async fn service(discovery: SocketAddr, state: Option<&Path>) -> ControlService {
    let source = SourceOption::Discovery(discovery);
    let any = "127.0.0.1:0".parse().expect("an address");
    let options = Options { admin: Some(any), state_file: state.map(Path::to_owned), ..options(source) };
    let service = start(options).await.expect("a control service");
    let hub = service.hub().clone();
    until("it knows the list", || hub.store().is_open()).await;
    service
}

/// The command as an engineer gives it; what it prints, and whether it went well.
pub async fn say(service: &ControlService, words: &str) -> (bool, String) {
    say_to(service.admin.expect("an admin address"), words).await
}

/// The same to an admin address.
pub async fn say_to(admin: SocketAddr, words: &str) -> (bool, String) {
    let admin = admin.to_string();
    let words: Vec<String> = words.split(' ').map(|w| w.replace('_', " ")).collect();
    let said = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
        command.env_clear().env("USER", "asha").env("TZ", "UTC").arg("override").args(["--admin", &admin]);
        command.args(words).output().expect("it ran")
    });
    let out = said.await.expect("it ended");
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (out.status.success(), text)
}

async fn served(proxy: &LocalProxy) -> Vec<String> {
    served_by(proxy, 120).await.into_keys().collect()
}

/// Five in the morning: taken out, refused where too much would go, listed, masked, lifted, written down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_story_of_five_in_the_morning() {
    let fleet = nodes(&["cache-06", "cache-07", "cache-08", "cache-09"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = service(discovery.addr, None).await;
    let proxy = proxy("p", discovery.addr, &[service.xds], &[]);
    all_taken(&service, 1).await;
    assert_eq!(served(&proxy).await.len(), 4);
    let (well, text) = say(&service, "set --node cache-07 --out --for 2h --reason boiler_room").await;
    assert!(
        well && text.contains("out on node cache-07 until") && text.contains("no --state file"),
        "{text}"
    );
    all_taken(&service, 1).await;
    assert_eq!(served(&proxy).await, ["cache-06", "cache-08", "cache-09"]);
    // The list says it is ready, and it leaves and comes back: the override stands.
    discovery.set("cache-07", "gone");
    discovery.put(entry(&fleet[1], "rajkot", "std-1c", "ready", 2000));
    let hub = service.hub().clone();
    let seq = hub.store().seq();
    discovery.put(entry(&fleet[3], "rajkot", "std-1c", "draining", 1000));
    until("the control service has heard", || hub.store().seq() > seq).await;
    all_taken(&service, 1).await;
    until("the proxy has heard", || discovery.calls() > 1).await;
    assert!(!served(&proxy).await.contains(&"cache-07".to_owned()));
    let (well, text) = say(&service, "set --node cache-08 --out --for 1h --reason more").await;
    assert!(!well && text.contains("must stay") && text.contains("say force"), "{text}");
    let (well, text) = say(&service, "set --node cache-07 --weight 0.5 --for 90m --reason slow").await;
    assert!(well, "{text}");
    let (_, text) = say(&service, "list").await;
    assert!(text.contains("masked on 1 of 1 by [1]") && text.contains("in force on 1"), "{text}");
    let (well, text) = say(&service, "set --node cahce-07 --out --for 1h --reason slip").await;
    assert!(!well && text.contains("no node is named"), "{text}");
    let (well, text) = say(&service, "set --node cache-07 --out --for 30h --reason long").await;
    assert!(!well && text.contains("12.0 hours"), "{text}");
    let (well, _) = say(&service, "lift 1 --author ravi").await;
    assert!(well);
    all_taken(&service, 1).await;
    assert!(served(&proxy).await.contains(&"cache-07".to_owned()));
    let (_, text) = say(&service, "history").await;
    let kinds: Vec<&str> = text.lines().skip(1).filter_map(|l| l.split_whitespace().nth(2)).collect();
    assert_eq!(kinds, ["lifted", "set", "set"], "{text}");
    let (_, text) = say(&service, "list --json").await;
    let listed: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((listed["overrides"].as_array().map(Vec::len), &listed["revision"]), (Some(1), &json!(3)));
}

/// Cut off from everything, a proxy still lets an override end on time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_override_ends_at_a_proxy_that_is_cut_off() {
    let fleet = nodes(&["a", "b", "c", "d"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = service(discovery.addr, None).await;
    let link = Link::to(service.xds).await;
    let own = Discovery::start(41, &ready(&fleet)).await;
    let proxy = proxy("p", own.addr, &[link.addr], &ready(&fleet));
    all_taken(&service, 1).await;
    let set = Instant::now();
    let (well, text) = say(&service, "set --node b --out --for 8s --reason short").await;
    assert!(well, "{text}");
    all_taken(&service, 1).await;
    link.cut();
    own.down(true);
    assert_eq!(served(&proxy).await, ["a", "c", "d"]);
    assert!(set.elapsed() < Duration::from_secs(8), "too slow to tell anything");
    let before = fleet[1].count();
    let load = rushquay_test_servers::Load::start(proxy.addr, "load", 4, Duration::from_millis(2));
    until("it is sent to again", || fleet[1].count() > before).await;
    let after = set.elapsed();
    assert!(after >= Duration::from_millis(7900), "sent to after {after:?}");
    let outcomes = load.stop().await;
    assert_eq!((outcomes.lost, outcomes.failed, outcomes.served), (0, 0, outcomes.asked));
}

/// What was acknowledged outlives the service; what expired while it was down is over, and said so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overrides_outlive_a_restart_and_expire_while_the_service_is_down() {
    let file = File::new("overrides");
    let fleet = nodes(&["a", "b", "c", "d"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = service(discovery.addr, Some(&file.0)).await;
    for words in
        ["set --node a --out --for 1h --reason long", "set --node b --weight 0.9 --for 1s --reason short"]
    {
        let (well, text) = say(&first, words).await;
        assert!(well && !text.contains("memory"), "{text}");
    }
    first.stop().await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    let second = service(discovery.addr, Some(&file.0)).await;
    let (_, text) = say(&second, "list").await;
    assert!(text.contains("node a") && !text.contains("node b"), "{text}");
    let (_, text) = say(&second, "history").await;
    let kinds: Vec<&str> = text.lines().skip(1).filter_map(|l| l.split_whitespace().nth(2)).collect();
    assert_eq!(kinds, ["expired", "set", "set"], "{text}");
    let silent = Discovery::start(1, &[]).await;
    silent.down(true);
    let proxy = proxy("fresh", silent.addr, &[second.xds], &[]);
    all_taken(&second, 1).await;
    assert_eq!(served(&proxy).await, ["b", "c", "d"]);
}

/// Keys and classes that are pinned to a node go there while it takes work; elsewhere while it drains, and after the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_pinned_goes_to_its_node_while_it_may() {
    let fleet = nodes(&["a", "b", "c", "d"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let service = service(discovery.addr, None).await;
    let proxy = proxy("p", discovery.addr, &[service.xds], &[]);
    all_taken(&service, 1).await;
    let (well, text) = say(&service, "set --node c --pin-class read --for 1h --reason plant").await;
    assert!(well && text.contains("pinned class read on node c"), "{text}");
    all_taken(&service, 1).await;
    assert_eq!(served(&proxy).await, ["c"]);
    // A narrower one, on keys: half of the keys begin with one of eight digits.
    for digit in 0..8 {
        let words = format!("set --node a --pin-class read --pin-keys {digit}* --for 1h --reason plant");
        assert!(say(&service, &words).await.0);
    }
    all_taken(&service, 1).await;
    let by = served_by(&proxy, 200).await;
    assert_eq!(by.keys().map(String::as_str).collect::<Vec<_>>(), ["a", "c"]);
    assert!(by["a"] > 60 && by["c"] > 60, "{by:?}");
    let (_, text) = say(&service, "list").await;
    assert!(text.contains("pinned class read keys 7*"), "{text}");
    // The list drains the node: its pins undo nothing.
    let hub = service.hub().clone();
    // Danger: read after the drain it may count it already.
    let seq = hub.store().seq();
    discovery.set("c", "draining");
    until("the drain is known", || hub.store().seq() > seq).await;
    all_taken(&service, 1).await;
    let start = Instant::now();
    while served_by(&proxy, 60).await.contains_key("c") {
        assert!(start.elapsed() < LONG, "the drain never arrived");
    }
    let elsewhere = served(&proxy).await;
    assert!(elsewhere.contains(&"a".to_owned()) && elsewhere.len() > 1, "{elsewhere:?}");
    for id in 1..=9 {
        assert!(say(&service, &format!("lift {id} --author ravi")).await.0);
    }
    all_taken(&service, 1).await;
    assert_eq!(served(&proxy).await, ["a", "b", "d"]);
}
