use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads a request without a body; returns its first line, or `None` at the end of the connection.
async fn request(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await.ok()?;
        text.push(char::from(byte[0]));
    }
    text.lines().next().map(str::to_owned)
}

async fn reply(stream: &mut TcpStream, version: u64, state: &str) {
    let node = format!(r#"{{"id":"a","addr":"10.0.0.1:80","state":"{state}"}}"#);
    let body = format!(r#"{{"version":{version},"full":true,"servers":[{node}]}}"#);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes()).await.expect("written");
}

/// Guards against: a second whole list that nobody asked for, behind a response and of its version, brings a drained node back.
#[tokio::test]
async fn a_list_that_nobody_asked_for_is_dropped_with_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("an address");
    let (events, mut received) = mpsc::channel(8);
    let following = tokio::spawn(follow(addr, events));
    let (mut first, _) = listener.accept().await.expect("accepted");
    request(&mut first).await.expect("a request for the whole list");
    reply(&mut first, 42, "draining").await;
    assert!(request(&mut first).await.expect("a watch").contains("from=42&"));
    reply(&mut first, 42, "ready").await;
    let (mut second, _) = listener.accept().await.expect("accepted");
    assert!(request(&mut second).await.expect("the watch again").contains("from=42&"));
    assert_eq!(request(&mut first).await, None);
    reply(&mut second, 43, "ready").await;
    for expected in [42, 43] {
        match received.recv().await.expect("an event") {
            SourceEvent::EndpointList(list) => assert_eq!(list.version, expected),
            _ => panic!("discovery is not lost"),
        }
    }
    following.abort();
}
