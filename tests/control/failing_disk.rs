//! A disk that fails for a while: what was taken on is kept once it works again, by itself.

use super::overrides::say_to;
use super::program::Running;
use super::*;
use rushquay_fleet_harness::Faults;
use std::path::{Path, PathBuf};

const SEED: u64 = 37;

/// A file while which the disk fails.
struct Switch(PathBuf);

impl Switch {
    fn new(name: &str) -> Self {
        Switch(std::env::temp_dir().join(format!("rushquay-disk-{name}-{}", std::process::id())))
    }

    fn on(&self) {
        std::fs::write(&self.0, "").expect("written");
        // The library looks at the file every few milliseconds.
        std::thread::sleep(Duration::from_millis(20));
    }

    fn off(&self) {
        std::fs::remove_file(&self.0).expect("removed");
    }
}

impl Drop for Switch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn keeping_on(file: &Path, discovery: SocketAddr, faults: Option<&Faults>) -> Running {
    let (file, discovery) = (file.to_str().expect("a path"), discovery.to_string());
    let variables = faults.map(Faults::variables).unwrap_or_default();
    Running::with(&["--discovery", &discovery, "--state", file], &variables)
}

fn status(running: &Running) -> Value {
    serde_json::from_str(&running.get("/status").1).expect("JSON")
}

/// Each way of failing: an override that is set meanwhile says that it is held in memory alone, with an exit status of its own, is kept
/// as soon as the disk works, and outlives a kill, as do those from before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_set_while_the_disk_failed_is_kept_once_it_works() {
    for (number, rules) in ["sync:EIO=1", "write:ENOSPC=1", "write:EIO=0.5;sync:EIO=0.5"].iter().enumerate() {
        println!("seed {SEED}, {rules}");
        let file = File::new(&format!("failing-disk-{number}"));
        let switch = Switch::new(&number.to_string());
        let fleet = nodes(&["a", "b", "c", "d"]).await;
        let discovery = Discovery::start(41, &ready(&fleet)).await;
        let faults = Faults::new(SEED, rules).while_exists(&switch.0);
        let service = keeping_on(&file.0, discovery.addr, Some(&faults));
        until("it has the list", || status(&service)["open"] == true).await;
        let (well, text) = say_to(service.admin, "set --node a --out --for 1h --reason before --force").await;
        assert!(well, "{text}");
        switch.on();
        let mut unkept = 0;
        for (node, reason) in [("b", "one"), ("c", "two")] {
            let words = format!("set --node {node} --out --for 1h --reason {reason} --force");
            let (well, text) = say_to(service.admin, &words).await;
            assert_eq!(well, !text.contains("in memory alone"), "{text}");
            unkept += u32::from(!well);
        }
        assert!(unkept > 0, "{rules}: no write failed");
        switch.off();
        // Nobody does anything.
        until("all is kept", || status(&service)["state"]["unkept_overrides"] == false).await;
        service.signal("-KILL");
        drop(service);
        let next = keeping_on(&file.0, discovery.addr, None);
        let (_, text) = say_to(next.admin, "list").await;
        for node in ["node a", "node b", "node c"] {
            assert!(text.contains(node), "{rules}: {node} is lost: {text}");
        }
    }
}

/// A disk that fails at the start for a moment: what it holds is read all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disk_that_fails_at_the_start_is_waited_for() {
    let file = File::new("failing-start");
    let switch = Switch::new("start");
    let fleet = nodes(&["a", "b", "c"]).await;
    let discovery = Discovery::start(41, &ready(&fleet)).await;
    let first = keeping_on(&file.0, discovery.addr, None);
    until("it has the list", || status(&first)["open"] == true).await;
    let (well, text) = say_to(first.admin, "set --node a --out --for 1h --reason before --force").await;
    assert!(well, "{text}");
    first.signal("-KILL");
    drop(first);
    switch.on();
    let faults = Faults::new(SEED, "sync:EIO=1;write:EIO=1").while_exists(&switch.0);
    let (path, addr) = (file.0.clone(), discovery.addr);
    let starting = tokio::task::spawn_blocking(move || keeping_on(&path, addr, Some(&faults)));
    tokio::time::sleep(Duration::from_millis(700)).await;
    switch.off();
    let next = starting.await.expect("started");
    let (_, text) = say_to(next.admin, "list").await;
    assert!(text.contains("node a"), "{text}");
    assert!(status(&next)["state"]["fault"].is_null());
}

/// A control service whose disk the test can have fail.
struct Keeping {
    file: File,
    switch: Switch,
    discovery: Discovery,
    _folder: super::program::Folder,
    settings: PathBuf,
    rules: &'static str,
}

impl Keeping {
    async fn new(name: &str, settings: &str, rules: &'static str) -> Self {
        println!("seed {SEED}, {rules}");
        let folder = super::program::Folder::new(&format!("failing-{name}"));
        let settings = folder.write("control.toml", settings);
        let fleet = nodes(&["a"]).await;
        let discovery = Discovery::start(41, &ready(&fleet)).await;
        let (file, switch) = (File::new(&format!("failing-{name}")), Switch::new(name));
        Keeping { file, switch, discovery, _folder: folder, settings, rules }
    }

    /// Starts the service, or its next process, with a file of its own.
    async fn start(&self) -> Running {
        let service = self.started_with(&["--state", self.file.0.to_str().expect("a path")]);
        until("it has the list", || status(&service)["open"] == true).await;
        service
    }

    /// Starts the service; its settings say where state is kept.
    fn start_without_state(&self) -> Running {
        self.started_with(&[])
    }

    fn started_with(&self, more: &[&str]) -> Running {
        let (addr, settings) = (self.discovery.addr.to_string(), self.settings.to_str().expect("a path"));
        let args = [&["--discovery", &addr, "--config", settings], more].concat();
        let faults = Faults::new(SEED, self.rules).while_exists(&self.switch.0);
        Running::with(&args, &faults.variables())
    }

    /// Asks for something while the disk fails, then kills the service once the disk has worked again for a while, and starts the next.
    /// Gives the revision from before the ask too.
    async fn refused_then_killed(&self, path: &str, ask: &Value) -> (Value, Running) {
        let service = self.start().await;
        let before = shown(&service, path)["revision"].clone();
        self.switch.on();
        let (said, body) = post(&service, path, ask).await;
        assert_eq!(said, 507, "{body}");
        self.switch.off();
        // Nobody does anything; the service looks at its changes ten times a second.
        until("the file is whole", || status(&service)["state"]["fault"].is_null()).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let shown = shown(&service, path);
        let stands = (&shown["fault"], &shown["change"], &shown["revision"]);
        assert_eq!(stands, (&Value::Null, &Value::Null, &before), "{shown:#}");
        service.signal("-KILL");
        drop(service);
        (before, self.start().await)
    }
}

async fn post(service: &Running, path: &str, ask: &Value) -> (u16, Value) {
    let asked =
        rushquay_fleet_harness::call(service.admin, hyper::Method::POST, path, Some("*"), Some(ask.clone()));
    asked.await.expect("an answer")
}

fn shown(service: &Running, path: &str) -> Value {
    serde_json::from_str(&service.get(path).1).expect("JSON")
}

fn settings_for_reads() -> Value {
    json!({"categories": [{"name": "read", "promise_ns": 900_000_000u64}]})
}

/// Danger: a write whose sync fails may stand in the file all the same. A change that its operator was told is not begun would be begun by
/// the next process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_that_was_not_kept_is_not_begun_by_the_next_process() {
    let keeping = Keeping::new("change", "[rollout]\nlook_ms = 100\n", "sync:EIO=1").await;
    let plan = json!({"stages": [{"count": 1}], "soak_s": 1.0, "confirm_s": 10.0, "patience_s": 30.0,
                      "limit_s": 60.0});
    let ask = json!({"settings": settings_for_reads(), "plan": plan, "author": "asha", "reason": "a test",
                     "displace": true});
    let (before, next) = keeping.refused_then_killed("/v1/rollout", &ask).await;
    let stands = shown(&next, "/v1/rollout");
    assert_eq!((&stands["revision"], &stands["change"]), (&before, &Value::Null), "{stands:#}");
    // What can be kept is begun.
    let (said, body) = post(&next, "/v1/rollout", &ask).await;
    assert_eq!(said, 201, "{body}");
}

/// The same of a change of policy: neither is it made, nor does nobody have leave from then on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_policy_that_was_not_kept_is_not_made_and_ends_no_leave() {
    for (name, rules) in [("policy-sync", "sync:EIO=1"), ("policy-all", "sync:EIO=1;write:EIO=1")] {
        let keeping = Keeping::new(name, "[policy]\nlook_ms = 100\n", rules).await;
        let ask = json!({"settings": settings_for_reads(), "author": "asha", "reason": "a test"});
        let (before, next) = keeping.refused_then_killed("/v1/policy", &ask).await;
        let stands = shown(&next, "/v1/policy");
        assert_eq!((&stands["revision"], &stands["change"]), (&before, &Value::Null), "{stands:#}");
        let (said, body) = post(&next, "/v1/policy", &ask).await;
        assert_eq!(said, 201, "{body}");
    }
}

/// Danger: a leader whose store fails loses its lease with it, and what it held in memory alone is gone when the next one leads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_leader_takes_on_while_the_shared_store_fails_is_not_lost() {
    let file = File::new("failing-shared");
    let settings = format!("[standby]\nname = 'only'\nttl_s = 1.0\nfile = '{}'\n", file.0.display());
    let keeping = Keeping::new("shared", &settings, "sync:EIO=1;write:EIO=1").await;
    let service = keeping.start_without_state();
    let leads = || status(&service)["standby"]["leads"] == true;
    until("it leads", leads).await;
    let (well, text) = say_to(service.admin, "set --node a --out --for 1h --reason before --force").await;
    assert!(well, "{text}");
    keeping.switch.on();
    let (well, text) = say_to(service.admin, "set --zone rajkot --weight 0.5 --for 1h --reason while").await;
    until("its lease is over", || !leads()).await;
    keeping.switch.off();
    until("it leads again", leads).await;
    let (_, list) = say_to(service.admin, "list").await;
    assert!(list.contains("node a"), "{list}");
    // It was refused, or it is there.
    let refused = !well && text.contains("not done");
    assert!(refused || list.contains("rajkot"), "taken on and lost: {text}\n{list}");
}
