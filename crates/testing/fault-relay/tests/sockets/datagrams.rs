//! Datagrams through the relay.

use super::*;
use rushquay_fault_relay::Script;
use tokio::net::UdpSocket;

async fn rig(rules: &str) -> (Relay, UdpSocket, UdpSocket) {
    let far = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let target = far.local_addr().expect("an address");
    let script = format!(
        "seed = 5\n[[listener]]\nname = 'u'\nudp = true\nlisten = '127.0.0.1:0'\ntarget = '{target}'\n{rules}"
    );
    let relay =
        Relay::start(Script::parse(&script).expect("a script"), Options::default()).await.expect("a relay");
    let near = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    near.connect(relay.first()).await.expect("connected");
    (relay, near, far)
}

#[tokio::test]
async fn datagrams_pass_both_ways_and_rules_act_on_them() {
    let rules = "[[rule]]\nname = 'd'\nat = { datagram = true, nth = 2 }\ndo = { drop = 1 }\n\
                 [[rule]]\nname = 'r'\nat = { datagram = true, nth = 3 }\ndo = { reorder = 1 }\n\
                 [[rule]]\nname = 'b'\nlane = 'down'\nat = { datagram = true }\ndo = { duplicate = 1 }";
    let (relay, near, far) = rig(rules).await;
    let mut data = [0; 16];
    let mut got = Vec::new();
    for i in b'1'..=b'5' {
        near.send(&[i]).await.expect("sent");
        // One at a time, so that the kernel loses none; the second never comes, the third comes behind the fourth.
        if !matches!(i, b'2' | b'3') {
            for _ in 0..if i == b'4' { 2 } else { 1 } {
                let (n, from) = within("a datagram came", far.recv_from(&mut data)).await.expect("read");
                got.extend_from_slice(&data[..n]);
                if i == b'5' {
                    far.send_to(b"back", from).await.expect("sent");
                }
            }
        }
    }
    assert_eq!(got, b"1435");
    for _ in 0..2 {
        let n = within("an answer came", near.recv(&mut data)).await.expect("read");
        assert_eq!(&data[..n], b"back");
    }
    assert_eq!(relay.trace().performed.len(), 3);
}
