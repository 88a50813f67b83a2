//! The real program and a discovery that a test plays by hand: watches that fall silent or break, and lists that are pushed.

mod rig;
use rig::*;
use serde_json::json;
use std::io::Write;

/// A proxy with one cache node; `settings` changes what it is told.
struct Followed {
    proxy: Proxy,
    cache: Server,
    discovery: Server,
}

fn followed(settings: &[(&[&str], serde_json::Value)]) -> Followed {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut told = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    for (path, value) in settings {
        let place = path.iter().fold(&mut told["settings"], |at, name| &mut at[*name]);
        *place = value.clone();
    }
    Followed { proxy: Proxy::new(&told), cache, discovery }
}

impl Followed {
    fn drained(&self, version: u64) -> String {
        list(version, false, &[member("c1", self.cache.addr, "std", "draining")]).to_string()
    }

    /// Nothing new goes to the node any more.
    fn refuses(&self) {
        let mut client = self.proxy.client();
        client.ask("read", "");
        assert_eq!(client.answer().status(), 503);
        assert!(self.cache.none_came(), "a request went to a node that drains");
    }
}

/// How long discovery is asked to wait for news, in milliseconds.
fn hold(message: &Message) -> u64 {
    let (_, hold) =
        message.line.split_once("&hold_ms=").unwrap_or_else(|| panic!("no watch: {}", message.line));
    hold.trim_end_matches(" HTTP/1.1").parse().expect("milliseconds")
}

/// The agent is given two fifths of this grace for an answer.
fn pushed(grace_ms: u64) -> Followed {
    followed(&[
        (&["discovery"], json!("automatic")),
        (&["rules", "drain_grace_ns"], json!(grace_ms * 1_000_000)),
    ])
}

/// Danger: what an agent has counts as told, whether or not anybody asks it.
#[test]
fn an_agent_that_lists_are_pushed_to_is_asked_from_the_start_and_followed() {
    let f = pushed(20_000);
    let mut agent = f.discovery.take();
    let first = agent.request();
    assert!(first.line.starts_with("GET /catalog/members?from=41&"), "{}", first.line);
    assert_eq!(hold(&first), 0, "what it has counts at once");
    agent.reply("200 OK", "", &list(41, false, &[]).to_string());
    let watch = agent.request();
    assert!((1..=1000).contains(&hold(&watch)), "{}", watch.line);
    agent.reply("200 OK", "", &f.drained(42));
    assert!(agent.request().line.contains("from=42"));
    f.refuses();
}

/// Danger: an agent that is silent learns nothing, and what it gets at its return counts at once.
#[test]
fn an_agent_that_is_silent_is_asked_again_and_again() {
    let f = pushed(500);
    let mut silent: Vec<Peer> = Vec::new();
    for _ in 0..5 {
        let mut call = f.discovery.take();
        assert_eq!(hold(&call.request()), 0);
        silent.push(call);
    }
    // A test on a busy machine may answer too late itself; then the next call is answered.
    let drained = f.drained(42);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{drained}", drained.len());
    let watched = (0..100).any(|_| {
        let mut agent = f.discovery.take();
        let asked = agent.read().is_some() && agent.0.get_mut().write_all(answer.as_bytes()).is_ok();
        asked && agent.read().is_some_and(|next| next.line.contains("from=42"))
    });
    assert!(watched);
    f.refuses();
    for mut call in silent {
        assert_eq!(call.read(), None, "given up");
    }
}

/// Danger: a watch that waits is silent, and so is one that is dead. What follows a dead one must not wait for news.
#[test]
fn after_a_watch_that_fell_silent_the_list_is_asked_for_at_once() {
    let f = followed(&[(&["rules", "must_ask_in_ns"], json!(400_000_000))]);
    let mut watch = f.discovery.take();
    assert!(hold(&watch.request()) > 0, "a watch");
    let mut anew = f.discovery.take();
    let call = anew.request();
    assert!(call.line.contains("from=41"), "{}", call.line);
    assert_eq!(hold(&call), 0);
    assert_eq!(watch.read(), None, "the silent one is given up");
    anew.reply("200 OK", "", &f.drained(42));
    assert!(hold(&anew.request()) > 0, "and it is watched again");
    f.refuses();
}

#[test]
fn after_a_watch_that_broke_the_list_is_asked_for_at_once() {
    let f = followed(&[]);
    let mut watch = f.discovery.take();
    watch.request();
    watch.reply("200 OK", "", &list(41, false, &[]).to_string());
    watch.request();
    drop(watch);
    let mut anew = f.discovery.take();
    assert_eq!(hold(&anew.request()), 0);
    anew.reply("200 OK", "", &f.drained(42));
    assert!(hold(&anew.request()) > 0);
    f.refuses();
}

/// A call that is refused, one that brings what is no list, one that breaks off: each is followed by another.
#[test]
fn a_call_that_fails_is_made_again_until_discovery_answers() {
    let f = followed(&[]);
    for _ in 0..2 {
        let mut call = f.discovery.take();
        assert!(call.request().line.contains("from=41"));
        call.reply("503 Service Unavailable", "Connection: close\r\n", "");
    }
    let mut call = f.discovery.take();
    assert!(call.request().line.contains("from=41"));
    call.reply("200 OK", "Connection: close\r\n", r#"{"version":42,"full":false,"servers":[{"id""#);
    let mut whole = f.discovery.take();
    assert_eq!(
        whole.request().line,
        "GET /catalog/members HTTP/1.1",
        "what could not be read is asked for whole"
    );
    whole.write("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"version\":42,");
    drop(whole);
    let mut whole = f.discovery.take();
    assert_eq!(whole.request().line, "GET /catalog/members HTTP/1.1");
    whole.reply("200 OK", "", &f.drained(42).replace("false", "true"));
    assert!(whole.request().line.contains("from=42"));
    f.refuses();
}

/// Danger: settings that are still being written when the signal comes would never be read whole.
#[test]
fn settings_that_are_half_written_at_a_reload_are_read_once_they_are_whole() {
    let (node, first, second) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", node.addr, "std", "ready")];
    let proxy = Proxy::new(&config(first.addr, &servers));
    first.take().request();
    let whole = config(second.addr, &servers).to_string();
    std::fs::write(&proxy.file, &whole[..whole.len() / 2]).expect("written");
    proxy.signal("-HUP");
    std::thread::sleep(std::time::Duration::from_millis(400));
    assert!(second.none_came(), "half of the settings can't be read");
    std::fs::write(&proxy.file, &whole).expect("written");
    second.take().request();
}

/// Danger: by a clock that was an hour ahead when the process started, each node that starts would be taken for a warm one.
#[test]
fn a_process_that_starts_on_a_stepped_clock_takes_starts_by_discoverys() {
    let (node, discovery) = (Server::new(), Server::new());
    let switch = std::env::temp_dir().join(format!("rushquay-stepped-start-{}", std::process::id()));
    std::fs::write(&switch, "").expect("written");
    let faults = rushquay_fleet_harness::Faults::new(39, "jump=3600").while_exists(&switch);
    let variables = faults.variables();
    let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    let servers = [member("c1", node.addr, "std", "ready")];
    let mut proxy = Proxy::with(&config(discovery.addr, &servers), &variables);
    let mut asked = discovery.take();
    asked.request();
    std::fs::remove_file(&switch).expect("removed");
    let date = jiff::fmt::rfc2822::to_string(&jiff::Zoned::now()).expect("a date");
    asked.reply("200 OK", &format!("Date: {date}\r\n"), &list(42, true, &servers).to_string());
    proxy.logged("nodes' starts go by discovery's");
}

/// Guards against: a second whole list that nobody asked for, behind an answer and of its version, brings a drained node back.
#[test]
fn a_list_that_nobody_asked_for_brings_no_drained_node_back() {
    let f = followed(&[]);
    let mut watch = f.discovery.take();
    watch.request();
    watch.reply("200 OK", "", &f.drained(42));
    assert!(watch.request().line.contains("from=42&"));
    watch.reply("200 OK", "", &list(42, true, &[member("c1", f.cache.addr, "std", "ready")]).to_string());
    // Where it came from nothing more is believed.
    let mut again = f.discovery.take();
    assert!(again.request().line.contains("from=42&"));
    assert_eq!(watch.read(), None);
    f.refuses();
    again.reply("200 OK", "", &list(43, false, &[member("c1", f.cache.addr, "std", "ready")]).to_string());
    assert!(again.request().line.contains("from=43&"), "what is newer is taken as ever");
}

/// Guards against a list of the largest fleet that is refused for its size when it comes indented, so that drains go unheard.
#[test]
fn an_indented_list_of_the_largest_fleet_is_followed() {
    const NODES: usize = 3_200;
    let f = followed(&[]);
    let mut watch = f.discovery.take();
    watch.request();
    let mut servers = vec![member("c1", f.cache.addr, "std", "draining")];
    servers.extend(
        (1..NODES).map(|n| member(&format!("cache-{n:04}.example.org"), f.cache.addr, "std", "draining")),
    );
    let indent = format!("\n{}", " ".repeat(24));
    let text =
        list(42, true, &servers).to_string().replace(',', &format!(",{indent}")).replace("\":", "\": ");
    assert!(text.len() > 1 << 20, "{} bytes", text.len());
    watch.reply("200 OK", "", &text);
    // The next watch says that the list has been taken.
    assert!(f.discovery.taken.try_recv().is_err() && watch.request().line.contains("from=42"));
    f.refuses();
}
