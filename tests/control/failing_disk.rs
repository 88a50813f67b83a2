//! A disk that fails for a while: what was taken on is kept once it works again, by itself.

use super::overrides::say_to;
use super::program::Running;
use super::*;
use rushquay_harness::Faults;
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
