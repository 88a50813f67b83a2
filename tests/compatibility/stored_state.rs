//! Stores as they stand on disks and in etcd: written by the version that these tests came with, read by this one with everything in it.

use crate::admin_pages::fleet_with_history;
use crate::golden::{assert_same, path, read, run, rushquay, Folder};
use base64::Engine as _;
use rushquay_etcd_standin::Etcd;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read as _, Write as _};
use std::net::SocketAddr;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(60);
const STORE: &str = "store/shared.redb";
const ETCD: &str = "store/etcd.txt";

fn text(path: &std::path::Path) -> String {
    path.to_str().expect("a path").to_owned()
}

/// Writes the stores anew, for a form of record that is new. Existing files stay as they are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "writes golden files"]
async fn write_stores() {
    let (mut fleet, _) = fleet_with_history(|_| {}).await;
    let folder = fleet.config(0).parent().expect("a folder").to_owned();
    for control in &mut fleet.controls {
        control.process = None;
    }
    std::fs::create_dir_all(path("store")).expect("a folder");
    std::fs::copy(folder.join("shared.redb"), path(STORE)).expect("copied");
    drop(fleet);
    let etcd = Etcd::start().await;
    let endpoint = etcd.endpoint();
    let (fleet, _) = fleet_with_history(|shape| shape.etcd = Some(endpoint)).await;
    let mut keys = String::new();
    for (key, value) in etcd.entries("/rushquay/") {
        if !key.ends_with("/leader") {
            keys += &format!("{key} {}\n", base64::engine::general_purpose::STANDARD.encode(value));
        }
    }
    std::fs::write(path(ETCD), keys).expect("written");
    drop(fleet);
}

/// A copy that the test may write to.
fn copy(folder: &Folder) -> String {
    let file = folder.0.join("shared.redb");
    std::fs::copy(path(STORE), &file).expect("copied");
    text(&file)
}

#[test]
fn a_stored_file_is_read_with_everything_in_it() {
    let folder = Folder::new("store");
    let dumped = run(&["control", "state", "dump", &copy(&folder)]);
    assert!(dumped.status.success(), "{dumped:?}");
    assert_same("store/dump.jsonl", &String::from_utf8(dumped.stdout).expect("text"));
}

#[test]
fn a_dump_is_restored_with_everything_in_it() {
    let folder = Folder::new("restored");
    let (file, dump) = (text(&folder.0.join("new.redb")), text(&path("store/dump.jsonl")));
    let restored = run(&["control", "state", "restore", &file, &dump]);
    assert!(restored.status.success(), "{restored:?}");
    let dumped = run(&["control", "state", "dump", &file]);
    assert_eq!(String::from_utf8(dumped.stdout).expect("text"), read("store/dump.jsonl"));
}

struct Service {
    child: Child,
    admin: SocketAddr,
}

impl Service {
    fn start(folder: &Folder, store: &str) -> Self {
        let settings = format!("[standby]\nname = 'c0'\nttl_s = 1.0\n{store}\n[rollout]\n[policy]\n");
        let settings = text(&folder.write("control.toml", &settings));
        let nodes = text(&folder.write("nodes.json", r#"{"version":1,"full":true,"servers":[]}"#));
        let any = "127.0.0.1:0";
        let arguments =
            ["control", "--listen", any, "--admin", any, "--nodes", &nodes, "--config", &settings];
        let mut child = rushquay(&arguments).stdout(Stdio::piped()).spawn().expect("started");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
        let admin = line.trim().split_once("admin=").and_then(|(_, a)| a.parse().ok()).expect("an address");
        Service { child, admin }
    }

    fn get(&self, path: &str) -> Option<Value> {
        let mut stream = std::net::TcpStream::connect(self.admin).ok()?;
        stream.set_read_timeout(Some(LONG)).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        head.contains(" 200 ").then(|| serde_json::from_str(body).ok())?
    }

    /// What a leader says; until it leads it says nothing.
    fn told(&self, path: &str) -> Value {
        let start = Instant::now();
        loop {
            if let Some(said) = self.get(path) {
                return said;
            }
            assert!(start.elapsed() < LONG, "{path} is not answered");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// What does not hang on the time of the day or on who is there now.
    fn known(&self) -> String {
        let mut rollout = self.told("/v1/rollout");
        let rollout = serde_json::json!({
            "holds": rollout["holds"].take(), "change": {"id": rollout["change"]["id"].take(), "phase": rollout["change"]["phase"].take(),
            "author": rollout["change"]["author"].take(), "reason": rollout["change"]["reason"].take()}});
        let mut policy = self.told("/v1/policy");
        let policy = serde_json::json!({"holds": policy["holds"].take(), "last": policy["last"].take()});
        let mut events = self.told("/v1/overrides/history");
        // Overrides that have run out since are events too.
        if let Some(all) = events["events"].as_array_mut() {
            all.retain(|event| event["kind"] != "expired");
        }
        let pages = [
            ("/v1/rollout", rollout),
            ("/v1/rollout/history", self.told("/v1/rollout/history")),
            ("/v1/policy", policy),
            ("/v1/policy/history", self.told("/v1/policy/history")),
            ("/v1/overrides/history", events),
        ];
        pages.iter().map(|(path, page)| format!("{path}\n{page:#}\n")).collect()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_service_goes_on_from_a_stored_file() {
    let folder = Folder::new("goes-on");
    let service = Service::start(&folder, &format!("file = '{}'", copy(&folder)));
    assert_same("store/known_from_file.txt", &service.known());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_goes_on_from_etcd() {
    let etcd = Etcd::start().await;
    for line in read(ETCD).lines() {
        let (key, value) = line.split_once(' ').expect("a key and a value");
        etcd.put(key, base64::engine::general_purpose::STANDARD.decode(value).expect("base64"));
    }
    let store = format!("etcd = ['{}']", etcd.endpoint());
    let known = tokio::task::spawn_blocking(move || {
        let folder = Folder::new("etcd");
        Service::start(&folder, &store).known()
    });
    assert_same("store/known_from_etcd.txt", &known.await.expect("an answer"));
}
