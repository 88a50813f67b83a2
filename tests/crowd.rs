//! Thousands connect and never finish a request, while true clients come on connections of their own, some of them slow.

mod rig;

use rig::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Danger: whoever came first looks oldest; a true client that takes two seconds to write would go before a crowd that never
/// finishes.
#[test]
fn a_slow_client_is_served_among_a_crowd_that_never_finishes() {
    for half in [false, true] {
        let (cache, discovery) = (Server::new(), Server::new());
        let mut config = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
        config["limits"] = json!({"cores": 1.0, "memory_mb": 24, "sockets": 192});
        let proxy = Proxy::new(&config);
        let mut slow = proxy.client();
        let text = get("read", "");
        let mut crowd = Vec::new();
        // Some two seconds in pieces, and a crowd between each two of them that fills the table, or that sends a half each.
        for piece in text.as_bytes().chunks(text.len() / 10 + 1) {
            slow.0.get_mut().write_all(piece).expect("written");
            let many = if half { 20 } else { 100 };
            for _ in 0..many {
                let mut one = TcpStream::connect(proxy.addr).expect("connected");
                if half {
                    one.write_all(b"GET /read/1 HTTP/1.1\r\nHost:").expect("written");
                }
                crowd.push(one);
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        let mut node = cache.take();
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "served");
        assert_eq!(slow.answer().body, b"served", "half {half}");
        // Who comes now is served as well.
        let mut quick = proxy.client();
        quick.ask("read", "");
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "at once");
        assert_eq!(quick.answer().body, b"at once");
    }
}
