//! Commands while a relay runs, over HTTP as an operator gives them.

use super::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use rushquay_fault_relay::RelayError;

async fn ask(admin: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let io = hyper_util::rt::TokioIo::new(connect(admin).await);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.expect("HTTP");
    tokio::spawn(connection);
    let request = hyper::Request::builder().method(method).uri(path).header("host", "admin");
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("a request");
    let response = within("a command was answered", sender.send_request(request)).await.expect("an answer");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test]
async fn rules_come_and_go_connections_are_listed_paused_and_cut() {
    let (target, addr) = listener().await;
    let loopback: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let options = Options { admin: Some(loopback), ..Options::default() };
    let relay = Relay::between(addr, 1, "", options).await.expect("a relay");
    let admin = relay.admin().expect("an admin address");
    let mut near = connect(relay.first()).await;
    let mut far = accept(&target).await;
    exchange(&mut near, &mut far, b"question").await;

    let (status, listed) = ask(admin, "GET", "/connections", "").await;
    let listed: Vec<serde_json::Value> = serde_json::from_str(&listed).expect("a list");
    assert_eq!((status, listed.len(), &listed[0]["up"]), (200, 1, &serde_json::json!([8, 8])));

    let rule = "[[rule]]\nname = 'stop'\nat = { from_ms = 0 }\ndo = { freeze = true }";
    assert_eq!(ask(admin, "POST", "/rules", rule).await, (200, "{\"rules\":1}".into()));
    // It is obeyed soon, not at once: what passes before does so unharmed.
    within("nothing passes", async {
        loop {
            near.write_all(b"x").await.expect("written");
            if tokio::time::timeout(Duration::from_millis(100), far.read_exact(&mut [0])).await.is_err() {
                return;
            }
        }
    })
    .await;
    let (status, told) = ask(admin, "GET", "/rules", "").await;
    assert!(status == 200 && told.contains("\"stop\""), "{told}");
    assert_eq!(ask(admin, "DELETE", "/rules/stop", "").await.0, 200);
    assert_eq!(ask(admin, "DELETE", "/rules/stop", "").await.0, 404);
    within("it passes again", far.read_exact(&mut [0])).await.expect("read");
    let (status, told) = ask(admin, "POST", "/rules", "[[rule]]\nname = 'x'\nat = { }\ndo = { }").await;
    assert!(status == 400 && told.contains("line 3: rule.at: expected just one of"), "{told}");

    assert_eq!(ask(admin, "POST", "/pause?listener=l", "").await.0, 200);
    assert_eq!(ask(admin, "POST", "/resume", "").await.0, 200);
    exchange(&mut near, &mut far, b"on again").await;

    assert_eq!(ask(admin, "POST", "/listeners/none/shut", "").await.0, 404);
    let (status, told) = ask(admin, "GET", "/listeners", "").await;
    assert!(status == 200 && told.contains("\"open\""), "{told}");
    let (second, elsewhere) = listener().await;
    assert_eq!(ask(admin, "POST", &format!("/listeners/l/target?target={elsewhere}"), "").await.0, 200);
    let mut other = connect(relay.first()).await;
    let mut beyond = accept(&second).await;
    exchange(&mut other, &mut beyond, b"elsewhere").await;

    assert_eq!(ask(admin, "POST", "/cut?connection=1&how=fin", "").await, (200, "{\"cut\":1}".into()));
    assert_eq!(rest(&mut near).await, (vec![], true));
    exchange(&mut other, &mut beyond, b"goes on").await;
    let (_, trace) = ask(admin, "GET", "/trace", "").await;
    assert!(trace.lines().last().is_some_and(|l| l.contains("\"command\"")), "{trace}");
}

#[tokio::test]
async fn commands_are_taken_on_loopback_only() {
    let options = Options { admin: Some("0.0.0.0:0".parse().expect("an address")), ..Options::default() };
    let (_target, addr) = listener().await;
    let refused = Relay::between(addr, 1, "", options).await;
    assert!(matches!(refused, Err(RelayError::Admin(_))));
}
