//! Each kind of fault, as both ends see it.

use super::*;
use rushquay_fault_relay::{Direction, ListenerState};
use std::time::Instant;

#[tokio::test]
async fn without_rules_all_passes_both_ways_and_ends_pass_too() {
    let (_relay, mut near, mut far) = pair("").await;
    exchange(&mut near, &mut far, b"question").await;
    near.shutdown().await.expect("ended");
    assert_eq!(rest(&mut far).await, (vec![], true));
    // One direction has ended, the other goes on.
    exchange(&mut far, &mut near, b"answer").await;
    drop(far);
    assert_eq!(rest(&mut near).await, (vec![], true));
}

#[tokio::test]
async fn cuts_end_both_ends_as_they_say() {
    for (how, in_order) in [("fin", true), ("rst", false)] {
        let rules =
            format!("[[rule]]\nname = 'c'\nlane = 'down'\nat = {{ offset = 3 }}\ndo = {{ cut = '{how}' }}");
        let (relay, mut near, mut far) = pair(&rules).await;
        exchange(&mut near, &mut far, b"question").await;
        far.write_all(b"answer").await.expect("written");
        assert_eq!(rest(&mut near).await, (b"ans".to_vec(), in_order), "{how}");
        assert_eq!(rest(&mut far).await, (vec![], in_order), "{how}");
        assert_eq!(relay.trace().performed.len(), 1);
    }
}

#[tokio::test]
async fn silence_says_nothing_and_closes_nothing() {
    let rules = "[[rule]]\nname = 'c'\nlane = 'down'\nat = { offset = 3 }\ndo = { cut = 'silence' }";
    let (_relay, mut near, mut far) = pair(rules).await;
    far.write_all(b"answer").await.expect("written");
    let mut got = [0; 3];
    near.read_exact(&mut got).await.expect("what came before");
    for stream in [&mut near, &mut far] {
        stream.write_all(b"x").await.expect("the kernel takes it");
        let read = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut got)).await;
        assert!(read.is_err(), "silence, and not {read:?}");
    }
}

#[tokio::test]
async fn a_half_close_ends_one_direction_alone() {
    let rules = "[[rule]]\nname = 'h'\nlane = 'down'\nat = { text = 'wer' }\ndo = { half_close = true }";
    let (_relay, mut near, mut far) = pair(rules).await;
    far.write_all(b"answer and more").await.expect("written");
    assert_eq!(rest(&mut near).await, (b"answer".to_vec(), true));
    exchange(&mut near, &mut far, b"still heard").await;
}

#[tokio::test]
async fn connects_are_refused_or_stalled() {
    let rules = "[[rule]]\nname = 'r'\nconnections = '1'\nat = { connect = true }\ndo = { refuse = true }\n\
                 [[rule]]\nname = 's'\nconnections = '2'\nat = { connect = true }\ndo = { stall = true }";
    let (target, addr) = listener().await;
    let relay = Relay::between(addr, 7, rules, Options::default()).await.expect("a relay");
    let mut refused = connect(relay.first()).await;
    assert_eq!(rest(&mut refused).await, (vec![], false));
    let mut stalled = connect(relay.first()).await;
    stalled.write_all(b"x").await.expect("the kernel takes it");
    let mut near = connect(relay.first()).await;
    // The third is the first that the target sees.
    let mut far = accept(&target).await;
    exchange(&mut near, &mut far, b"question").await;
    assert!(tokio::time::timeout(Duration::from_millis(20), stalled.read(&mut [0])).await.is_err());
}

/// The kernel's own refusal, and connects that get no answer at all.
#[tokio::test]
async fn a_listener_may_be_shut_or_mute_and_open_again() {
    let (target, addr) = listener().await;
    let relay = Relay::to(addr).await.expect("a relay");
    let control = relay.control();
    control.listener("l", ListenerState::Shut).expect("a listener");
    within("connects are refused", async {
        let refused = |c: std::io::Result<TcpStream>| {
            c.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
        };
        while !refused(TcpStream::connect(relay.first()).await) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    control.listener("l", ListenerState::Mute).expect("a listener");
    within("connects get no answer", async {
        loop {
            let connect = TcpStream::connect(relay.first());
            if tokio::time::timeout(Duration::from_millis(100), connect).await.is_err() {
                return;
            }
        }
    })
    .await;
    control.listener("l", ListenerState::Open).expect("a listener");
    let (mut near, mut far) = within("it is open again", async {
        loop {
            if let Ok(Ok(near)) =
                tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(relay.first())).await
            {
                if let Ok(accepted) = tokio::time::timeout(Duration::from_millis(500), target.accept()).await
                {
                    return (near, accepted.expect("accepted").0);
                }
            }
        }
    })
    .await;
    exchange(&mut near, &mut far, b"question").await;
    assert!(control.listener("other", ListenerState::Open).is_err());
}

/// Time is what a few rules are about; only lower bounds are checked.
#[tokio::test]
async fn delays_pauses_rates_and_pieces() {
    for (act, least) in [
        ("delay_ms = 40", 40),
        ("pause_ms = 40, jitter_ms = 10", 40),
        ("bytes_per_s = 1000", 90),
        ("split = 10, gap_ms = 5", 45),
        ("merge = 200, within_ms = 40", 40),
    ] {
        let rules = format!("[[rule]]\nname = 't'\nat = {{ offset = 0 }}\ndo = {{ {act} }}");
        let (_relay, mut near, mut far) = pair(&rules).await;
        let start = Instant::now();
        exchange(&mut near, &mut far, &[b'x'; 100]).await;
        assert!(start.elapsed() >= Duration::from_millis(least), "{act}: {:?}", start.elapsed());
    }
    // Enough to merge, or the end: no wait.
    let rules = "[[rule]]\nname = 't'\nat = { offset = 0 }\ndo = { merge = 50, within_ms = 60000 }";
    let (_relay, mut near, mut far) = pair(rules).await;
    for piece in [20, 20, 20] {
        near.write_all(&vec![b'x'; piece]).await.expect("written");
        tokio::task::yield_now().await;
    }
    let mut got = [0; 60];
    within("there is enough", far.read_exact(&mut got[..60])).await.expect("read");
    near.write_all(b"end").await.expect("written");
    near.shutdown().await.expect("ended");
    assert_eq!(rest(&mut far).await, (b"end".to_vec(), true));
}

/// Danger: a fast sender before a slow receiver would fill the relay's memory.
#[tokio::test]
async fn a_sender_waits_for_its_receiver() {
    let (relay, near, far) = pair("[[rule]]\nname = 'd'\nat = { offset = 0 }\ndo = { delay_ms = 1 }").await;
    let block = vec![b'x'; 1 << 20];
    let mut sent = 0;
    // Until nothing more is taken for a while.
    while let Ok(ready) = tokio::time::timeout(Duration::from_millis(300), near.writable()).await {
        ready.expect("writable");
        match near.try_write(&block) {
            Ok(n) => sent += n,
            Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock),
        }
        assert!(sent < 256 << 20, "it takes without end");
    }
    let live = relay.control().connections();
    let (came, went) = live[0].up;
    assert!(came - went <= rushquay_fault_injection::HELD_MOST as u64, "{came} came and {went} went");
    assert!(went > 0);
    drop(far);
}

/// A hard case: two thousand connections at once under one script. What each gets is what the pure machine says of its
/// ordinal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_thousand_connections_under_one_script() {
    const COUNT: usize = 2000;
    let rules = "[[rule]]\nname = 'c'\nlane = 'down'\nat = { offset = 5 }\nchance = 0.3\ndo = { cut = 'fin' }\n\
                 [[rule]]\nname = 'g'\nlane = 'down'\nat = { text = 'sw' }\nchance = 0.5\ndo = { garble = 2 }";
    let (target, addr) = listener().await;
    tokio::spawn(async move {
        while let Ok((mut far, _)) = target.accept().await {
            tokio::spawn(async move {
                let mut asked = [0; 8];
                far.read_exact(&mut asked).await?;
                far.write_all(b"answer").await?;
                // Until its client has gone.
                far.read(&mut asked).await
            });
        }
    });
    let relay = Relay::between(addr, 21, rules, Options::default()).await.expect("a relay");
    let mut all = Vec::new();
    for _ in 0..COUNT {
        let mut near = connect(relay.first()).await;
        near.write_all(b"question").await.expect("written");
        all.push(near);
    }
    assert!(all.len() == COUNT);
    // The order of accepts is that of connects, since these were made one after another.
    let script = rushquay_fault_relay::Script::parse(rules).expect("a script");
    let set = rushquay_fault_injection::RuleSet::new(21, script.rules);
    let mut cut = 0;
    for (i, near) in all.iter_mut().enumerate() {
        let mut pure = rushquay_fault_injection::Connection::new("l", i as u64 + 1, &set, 0);
        pure.offer(Direction::Down, b"answer", 0);
        let mut due = Vec::new();
        while let rushquay_fault_injection::Transmit::Write(bytes) = pure.transmit(Direction::Down, 0) {
            let n = bytes.len();
            due.extend_from_slice(bytes);
            pure.sent(Direction::Down, n, 0);
        }
        let mut got = vec![0; due.len()];
        within("an answer came", near.read_exact(&mut got)).await.expect("read");
        assert_eq!(got, due, "connection {}", i + 1);
        if pure.cut().is_some() {
            cut += 1;
            assert_eq!(rest(near).await, (vec![], true));
        }
    }
    assert_eq!(relay.trace().performed.iter().filter(|p| p.rule == "c").count(), cut);
    assert!((400..800).contains(&cut), "{cut}");
}
