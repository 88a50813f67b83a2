//! Fields that `Connection` names: what a request, a node's answer and a client that sends many of them come to.

mod rig;

use rig::*;
use serde_json::json;

/// Forms in which a request names its own id.
const FORMS: [&[u8]; 6] = [
    b"Connection: X-Correlation-Id\r\n",
    b"Connection: x-correlation-id\r\n",
    b"Connection: close, X-CORRELATION-ID\r\n",
    b"Connection: , ,x-correlation-id,\r\n",
    b"Connection: keep-alive\r\nConnection: x-correlation-id\r\n",
    b"Connection: \xff\xfe, x-correlation-id\r\n",
];

/// The number of descriptors that a process has open.
fn open_descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors").count()
}

/// Guards against clients that name their id in `Connection`, get neither an answer nor a close, and keep their places when they have gone,
/// until no usual client is answered any more.
#[test]
fn requests_that_name_their_own_id_are_refused_and_leave_their_places() {
    /// More than the proxy has places.
    const CLIENTS: usize = 120;
    let (cache, discovery) = (Server::new(), Server::new());
    let mut config = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 24, "sockets": 192});
    let proxy = Proxy::new(&config);
    let mut before = proxy.client();
    before.ask("read", "");
    let mut node = cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "served");
    assert_eq!(before.answer().status(), 200);
    drop(before);
    assert_eq!(proxy.health(), 200);
    let descriptors = open_descriptors(&proxy);
    for n in 0..CLIENTS {
        let form = FORMS[n % FORMS.len()];
        let mut client = proxy.client();
        let text = get("read", "").into_bytes();
        let head = &text[..text.len() - 2];
        std::io::Write::write_all(client.0.get_mut(), &[head, form, b"\r\n"].concat()).expect("written");
        assert_eq!(client.answer().status(), 400, "{}", String::from_utf8_lossy(form));
        assert!(client.read().is_none(), "the connection is closed");
    }
    let mut usual = proxy.client();
    usual.ask("read", "");
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "served");
    assert_eq!(usual.answer().status(), 200);
    drop(usual);
    let start = std::time::Instant::now();
    while open_descriptors(&proxy) > descriptors {
        assert!(start.elapsed() < LONG, "{} descriptors, {descriptors} before", open_descriptors(&proxy));
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
}

/// Guards against a change that its node cannot deduplicate, because the request names its key in `Connection` and the node gets none.
#[test]
fn a_keyed_change_goes_to_no_node_without_its_key() {
    let rig = rig();
    let mut client = rig.proxy.client();
    client.write(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: one\r\nIdempotency-Key: k\r\nConnection: Idempotency-Key\r\n\
         Content-Length: 0\r\n\r\n",
    );
    assert_eq!(client.answer().status(), 400);
    assert!(rig.cache.none_came());
}

/// Guards against a node that knows less than the proxy acts by: the tenant by which it counts quotas, or that a request is a retry.
#[test]
fn a_node_gets_the_fields_that_connection_must_not_name() {
    let rig = rig();
    let mut client = rig.proxy.client();
    client.ask(
        "read",
        "X-Repeat: 1\r\nX-Own: 1\r\nConnection: X-Account, x-repeat, Host, X-Time-Left, X-Own\r\n",
    );
    let mut node = rig.cache.take();
    let request = node.request();
    assert_eq!(request.header("x-account"), Some("acme"));
    assert_eq!(request.header("x-repeat"), Some("1"));
    assert_eq!(request.header("host"), Some("backend.local"));
    assert!(request.header("x-time-left").is_some());
    assert_eq!(request.header("x-own"), None);
    // The same for a node's answer.
    node.reply(
        "200 OK",
        "X-Lookup: hit\r\nContent-Type: text/plain\r\nX-Own: 1\r\nConnection: X-Lookup, content-type, x-own\r\n",
        "served",
    );
    let answer = client.answer();
    assert_eq!(answer.header("x-lookup"), Some("hit"));
    assert_eq!(answer.header("content-type"), Some("text/plain"));
    assert_eq!((answer.header("x-own"), answer.body.as_slice()), (None, &b"served"[..]));
}
