//! The program's commands as they are run.

use super::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

pub struct Folder(PathBuf);

impl Folder {
    /// One that no other test has, whatever its name.
    pub fn new(name: &str) -> Self {
        static NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("rushquay-{name}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn rushquay(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rushquay"));
    command.env_clear().args(args);
    command
}

/// Runs a command that ends by itself.
fn run(args: &[&str]) -> Output {
    let mut child = rushquay(args).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("started");
    let start = Instant::now();
    while child.try_wait().expect("its state").is_none() {
        if start.elapsed() > LONG {
            let _ = child.kill();
            panic!("{args:?} does not end");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("its output")
}

fn check(path: &Path) -> (bool, String) {
    let out = run(&["check", path.to_str().expect("a path")]);
    (
        out.status.success(),
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr),
    )
}

/// A running `rushquay control`, ended with the test.
pub struct Running {
    child: Child,
    pub xds: String,
    pub admin: SocketAddr,
}

impl Running {
    pub fn new(args: &[&str]) -> Self {
        Self::with(args, &[])
    }

    /// The same, with these variables.
    pub fn with(args: &[&str], variables: &[(String, String)]) -> Self {
        let mut command = rushquay(&["control", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0"]);
        let mut child = command
            .args(args)
            .envs(variables.iter().cloned())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("output")).read_line(&mut line).expect("a line");
        let mut parts = line.trim().split(' ');
        assert_eq!(parts.next(), Some("listening"), "{line}");
        let xds = parts.next().and_then(|p| p.strip_prefix("xds=")).expect("xds=").to_owned();
        let admin =
            parts.next().and_then(|p| p.strip_prefix("admin=")).expect("admin=").parse().expect("an address");
        Running { child, xds, admin }
    }

    pub fn get(&self, path: &str) -> (u16, String) {
        let mut stream = std::net::TcpStream::connect(self.admin).expect("connected");
        stream.set_read_timeout(Some(LONG)).expect("time-out");
        write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        (head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status"), body.to_owned())
    }

    fn states(&self) -> Vec<(String, String)> {
        let status: Value = serde_json::from_str(&self.get("/status").1).expect("JSON");
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        status["nodes"]
            .as_array()
            .expect("nodes")
            .iter()
            .map(|n| (text(&n["id"]), text(&n["state"])))
            .collect()
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill").success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn list(version: u64, state: &str) -> String {
    let node = |id: &str, state: &str| json!({"id": id, "addr": "127.0.0.1:9", "zone": "rajkot", "kind": "std-1c", "state": state});
    json!({"version": version, "full": true, "servers": [node("a", "ready"), node("b", state)]}).to_string()
}

#[tokio::test]
async fn control_follows_a_file_and_tells_where_it_listens() {
    let folder = Folder::new("file");
    let file = folder.write("nodes.json", &list(1, "ready"));
    let mut running = Running::new(&["--nodes", file.to_str().expect("a path")]);
    assert!(running.xds.parse::<SocketAddr>().is_ok_and(|a| a.port() != 0));
    assert_eq!(running.get("/healthz").0, 200);
    let both = |state: &str| vec![("a".to_owned(), "ready".to_owned()), ("b".to_owned(), state.to_owned())];
    assert_eq!(running.states(), both("ready"));
    // Replaced by a rename.
    let new = folder.write("new.json", &list(2, "draining"));
    std::fs::rename(new, &file).expect("renamed");
    until("the new file counts", || running.states() == both("draining")).await;
    // What can't be read changes nothing, and is told.
    folder.write("nodes.json", "{");
    until("the fault is told", || {
        running.get("/status").1.contains("nodes.json")
            && running.get("/metrics").1.contains("rushquay_control_source_up 0")
    })
    .await;
    assert_eq!(running.states(), both("draining"));
    folder.write("nodes.json", &list(3, "ready"));
    running.signal("-HUP");
    until("the mended file counts", || running.states() == both("ready")).await;
    assert!(running.get("/metrics").1.contains("rushquay_control_nodes{state=\"ready\"} 2\n"));
    assert_eq!(running.get("/elsewhere").0, 404);
    running.signal("-TERM");
    assert!(running.child.wait().expect("ended").success());
}

/// Danger: a drain that is written while the service lacks descriptors would be told to nobody before the next change of the file.
#[tokio::test]
async fn a_list_that_changes_while_its_file_cannot_be_opened_is_taken_later() {
    let folder = Folder::new("unopened");
    let file = folder.write("nodes.json", &list(1, "ready"));
    let switch = std::env::temp_dir().join(format!("rushquay-unopened-{}", std::process::id()));
    let faults = rushquay_fleet_harness::Faults::new(39, "open:ENFILE=1").while_exists(&switch);
    let running = Running::with(&["--nodes", file.to_str().expect("a path")], &faults.variables());
    let both = |state: &str| vec![("a".to_owned(), "ready".to_owned()), ("b".to_owned(), state.to_owned())];
    until("the file counts", || running.states() == both("ready")).await;
    std::fs::write(&switch, "").expect("written");
    let new = folder.write("new.json", &list(2, "draining"));
    std::fs::rename(new, &file).expect("renamed");
    // The file is looked at ten times a second.
    until("the fault is told", || running.get("/status").1.contains("nodes.json")).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    std::fs::remove_file(&switch).expect("removed");
    until("the new file counts", || running.states() == both("draining")).await;
}

#[tokio::test]
async fn control_without_a_list_is_not_healthy() {
    let down = Discovery::start(1, &[]).await;
    down.down(true);
    let addr = down.addr.to_string();
    let running =
        tokio::task::spawn_blocking(move || Running::new(&["--discovery", &addr])).await.expect("started");
    let (running, health) = tokio::task::spawn_blocking(move || {
        let h = running.get("/healthz").0;
        (running, h)
    })
    .await
    .expect("asked");
    assert_eq!(health, 503);
    drop(running);
}

/// Operators look for the node that refuses.
#[tokio::test]
async fn a_refusal_is_logged_with_the_id_of_the_node() {
    let folder = Folder::new("refusal");
    let file = folder.write("nodes.json", &list(1, "ready"));
    let mut running = Running::new(&["--nodes", file.to_str().expect("a path")]);
    let xds = running.xds.parse().expect("an address");
    let ask = peers::subscribe(rushquay_xds::Kind::Cluster, &[]);
    let mut peer = peers::DeltaPeer::new(xds, "proxy-7.vadodara", ask).await;
    let answer = peer.answer().await.expect("an answer");
    peer.reply(&answer, Some("it isn't liked")).await;
    let log = BufReader::new(running.child.stderr.take().expect("a log"));
    let line =
        tokio::task::spawn_blocking(move || log.lines().map_while(Result::ok).next()).await.expect("read");
    let line = line.expect("a line");
    assert!(line.contains("proxy-7.vadodara") && line.contains("it isn't liked"), "{line}");
}

#[test]
fn listening_beyond_loopback_without_tls_is_refused() {
    let folder = Folder::new("beyond");
    let file = folder.write("nodes.json", &list(1, "ready"));
    let file = file.to_str().expect("a path");
    for args in [
        ["--listen", "0.0.0.0:0", "--admin", "127.0.0.1:0"],
        ["--listen", "127.0.0.1:0", "--admin", "0.0.0.0:0"],
    ] {
        let out = run(&[&["control", "--nodes", file][..], &args[..]].concat());
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && said.contains("beyond loopback"), "{said}");
    }
}

#[test]
fn check_names_file_field_and_what_was_expected() {
    let folder = Folder::new("check");
    let discovery = "127.0.0.1:9".parse().expect("an address");
    let good = proxy_config("p", discovery, &[discovery], &[]);
    let mut bad = good.clone();
    bad["settings"]["categories"][0]["deadline_ns"] = json!(0);
    let mut bare = good.clone();
    bare["control_service"]["addresses"] = json!(["10.0.0.1:5"]);
    let cases = [
        ("good.json", list(1, "ready"), None),
        ("list.json", list(1, "redy"), Some(("servers[1].state", "ready or draining"))),
        ("proxy.json", good.to_string(), None),
        ("deadline.json", bad.to_string(), Some(("settings.categories.0.deadline_ns", "missing or 0"))),
        ("bare.json", bare.to_string(), Some(("control_service.tls", "beyond loopback"))),
        ("none.json", "{}".into(), Some(("(file)", "servers"))),
        ("control.toml", "[control]\nhold_s = 60\n[control.weights]\n\"slow-1c\" = 0.7\n".into(), None),
        ("hold.toml", "[control]\nhold_s = 0\n".into(), Some(("control.hold_s", "seconds from 1 to 604800"))),
        ("word.toml", "[control]\nholds = 1\n".into(), Some(("holds", "expected one of"))),
        (
            "weight.toml",
            "[control.weights]\nx = 0.0\n".into(),
            Some(("control.weights.x", "a factor over 0")),
        ),
        ("limits.toml", "[limits]\nstreams = 0\n".into(), Some(("limits.streams", "1 to 1000000"))),
        ("sub.toml", "addresses = [\"127.0.0.1:9\"]\n".into(), None),
        ("empty.toml", "addresses = []\n".into(), Some(("addresses", "one address at least"))),
    ];
    for (name, text, fault) in cases {
        let path = folder.write(name, &text);
        let (passed, said) = check(&path);
        match fault {
            None => assert!(passed, "{name}: {said}"),
            Some((field, expected)) => {
                assert!(
                    !passed && [name, field, expected].iter().all(|p| said.contains(p)),
                    "{name}: {said}"
                );
            }
        }
    }
    // What is shipped is good.
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/subscription.toml");
    assert!(check(Path::new(shipped)).0);
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/control.toml");
    assert!(check(Path::new(shipped)).0);
}

/// Bare, and as `proxy`: both say the same without a configuration.
#[test]
fn bare_is_the_proxy() {
    let said = |args: &[&str]| String::from_utf8_lossy(&run(args).stderr).into_owned();
    assert!(said(&[]).contains("PROXY_CONFIG is not set"));
    assert_eq!(said(&[]), said(&["proxy"]));
}

#[test]
fn the_demo_shows_a_drain_and_ends() {
    let out = run(&["demo", "--once"]);
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{said} {}", String::from_utf8_lossy(&out.stderr));
    assert!(said.contains("draining cache-03") && said.contains("0 failed, 0 lost"), "{said}");
}

/// SIGINT, as Ctrl-C sends it, ends the demo cleanly.
#[test]
fn the_demo_ends_on_ctrl_c() {
    let mut child =
        rushquay(&["demo"]).stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("started");
    let mut out = BufReader::new(child.stdout.take().expect("output"));
    let mut line = String::new();
    while !line.contains("try by hand") {
        line.clear();
        assert!(out.read_line(&mut line).expect("a line") > 0, "it ended by itself");
    }
    let done = Command::new("kill").args(["-INT", &child.id().to_string()]).status();
    assert!(done.expect("kill").success());
    assert!(child.wait().expect("ended").success());
}

/// The program as a proxy, subscribed by either way of naming the file.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_subscribes_as_its_file_says() {
    let folder = Folder::new("subscribed");
    let fleet = nodes(&["a"]).await;
    let discovery = Discovery::start(1, &ready(&fleet)).await;
    let service = control(discovery.addr).await;
    let config = folder.write("proxy.json", &proxy_config("by-file", discovery.addr, &[], &[]).to_string());
    let file = folder.write("subscription.toml", &format!("addresses = [\"{}\"]\n", service.xds));
    let file = file.to_str().expect("a path");
    for (args, variable) in [(vec!["proxy", "--control", file], None), (vec![], Some(file))] {
        let mut command = rushquay(&args);
        command.env("PROXY_CONFIG", &config).stderr(Stdio::null());
        if let Some(file) = variable {
            command.env("PROXY_CONTROL", file);
        }
        let mut child = command.spawn().expect("started");
        all_taken(&service, 1).await;
        assert_eq!(service.hub().subscribers()[0].node, "by-file");
        child.kill().expect("ended");
        child.wait().expect("ended");
        let hub = service.hub().clone();
        until("it has gone", || hub.subscribers().is_empty()).await;
    }
}

/// Killed outright, its file dumped, checked, and restored elsewhere.
#[test]
fn kept_state_is_dumped_checked_and_restored() {
    let folder = Folder::new("state");
    let list = r#"{"version":3,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","kind":"k","state":"draining"}]}"#;
    let nodes = folder.write("nodes.json", list);
    let file = folder.0.join("control.redb");
    let of = |path: &Path| path.to_str().expect("a path").to_owned();
    let args = ["control", "--listen", "127.0.0.1:0", "--nodes", &of(&nodes), "--state", &of(&file)];
    let mut child = rushquay(&args).stdout(Stdio::piped()).spawn().expect("started");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("its output")).read_line(&mut line).expect("a line");
    let verify = || run(&["control", "state", "verify", &of(&file)]);
    let start = Instant::now();
    // While it runs the file is its own.
    let held = verify();
    assert!(String::from_utf8_lossy(&held.stderr).contains("another instance holds it"), "{held:?}");
    let copy = folder.0.join("copy.redb");
    let whole = || {
        std::fs::copy(&file, &copy).expect("copied");
        run(&["control", "state", "verify", &of(&copy)])
    };
    while !String::from_utf8_lossy(&whole().stdout).contains("1 nodes, list version 3") {
        assert!(start.elapsed() < LONG, "it never came that the list is kept");
    }
    child.kill().expect("killed");
    child.wait().expect("ended");
    let dumped = run(&["control", "state", "dump", &of(&file)]);
    let text = String::from_utf8_lossy(&dumped.stdout).into_owned();
    assert!(text.contains("\"draining\"") && text.lines().count() == 2, "{text}");
    let dump = folder.write("dump.jsonl", &text);
    let other = folder.0.join("other.redb");
    let restored = run(&["control", "state", "restore", &of(&other), &of(&dump)]);
    assert!(restored.status.success(), "{restored:?}");
    assert_eq!(run(&["control", "state", "dump", &of(&other)]).stdout, dumped.stdout);
    let missing = run(&["control", "state", "dump", &of(&folder.0.join("none"))]);
    assert!(!missing.status.success() && String::from_utf8_lossy(&missing.stderr).contains("no such file"));
}
