//! Incumbent and successor in every order of events: the limits hold together, and there is at most one successor.

use proptest::prelude::*;
use rushquay_handover::{
    HandoverError, HandoverState, Heard, Incumbent, IncumbentMessage, MessageError, Offer, Peer, Reply,
    ResourceShare, SlowStartAllowance, Step, Successor, SuccessorMessage, MAX_MESSAGE_BYTES,
    PROTOCOL_VERSIONS,
};
use serde_json::{json, Value};

const WHOLE: ResourceShare = ResourceShare { sockets: 384, memory: 48 << 20 };

fn nothing() -> HandoverState {
    HandoverState::default()
}

fn hello() -> SuccessorMessage {
    Successor::default().hello()
}

fn offered(reply: Option<Reply>) -> ResourceShare {
    match reply {
        Some(Reply::WithListener(IncumbentMessage::Offer { sockets, memory, .. })) => {
            ResourceShare { sockets, memory }
        }
        other => panic!("no offer: {other:?}"),
    }
}

#[test]
fn limits_are_shared_and_restored() {
    let mut old = Incumbent::new(WHOLE);
    let new = offered(old.said(Peer(1), &hello(), 100, nothing));
    assert_eq!((old.share().sockets + new.sockets, old.share().memory + new.memory), (384, 48 << 20));
    assert!(!old.lost(Peer(1)), "it had not said yes");
    assert_eq!(old.share(), WHOLE, "the new one died before its yes");
    // What the incumbent still holds over its half is not given away.
    let new = offered(old.said(Peer(2), &hello(), 300, nothing));
    assert_eq!(new.sockets, 84);
    assert!(!old.succeeded());
    assert_eq!(
        old.said(Peer(2), &SuccessorMessage::Ready, 0, nothing),
        Some(Reply::And(IncumbentMessage::Heard))
    );
    assert_eq!(old.said(Peer(2), &SuccessorMessage::Ready, 0, nothing), None, "told twice");
    assert!(old.succeeded());
    assert!(old.lost(Peer(2)), "it had taken the place where new processes ask");
    assert!(!old.succeeded(), "the successor is gone, so it has to serve alone");
}

#[test]
fn a_second_successor_waits_and_gives_up_with_an_error() {
    let mut old = Incumbent::new(WHOLE);
    offered(old.said(Peer(1), &hello(), 0, nothing));
    assert_eq!(old.said(Peer(2), &hello(), 0, nothing), Some(Reply::Only(IncumbentMessage::Busy)));
    // No process takes over without an offer.
    old.said(Peer(2), &SuccessorMessage::Ready, 0, nothing);
    assert!(!old.succeeded());
    let mut second = Successor::default();
    let busy = || Heard::Answer { said: IncumbentMessage::Busy, listener: false };
    let mut asked = 0;
    while second.heard(busy()) == Ok(Step::AskAgain) {
        asked += 1;
    }
    assert!(asked > 10);
    assert_eq!(second.heard(busy()), Err(HandoverError::Another));
}

#[test]
fn an_unusable_answer_leads_to_listening_alone() {
    let offer = |form, list| IncumbentMessage::Offer {
        form,
        sockets: 9,
        memory: 8,
        list,
        settings: None,
        policy: None,
        cold: Vec::new(),
    };
    let share = ResourceShare { sockets: 9, memory: 8 };
    let heard = |said, listener| Successor::default().heard(Heard::Answer { said, listener });
    assert_eq!(
        heard(offer(1, Value::Null), true),
        Ok(Step::Take(Offer { share, list: None, settings: None, policy: None, cold: Vec::new() }))
    );
    assert_eq!(
        heard(offer(1, Value::Null), false),
        Ok(Step::Listen),
        "no socket, or one for another address"
    );
    assert_eq!(heard(offer(99, Value::Null), true), Ok(Step::Listen), "a form that was never asked for");
    assert_eq!(heard(IncumbentMessage::Unknown { forms: vec![99] }, false), Ok(Step::Listen));
    assert_eq!(Successor::default().heard(Heard::Nothing), Ok(Step::Listen));
    assert_eq!(Successor::default().heard(Heard::Nobody), Ok(Step::Listen));
    let node = json!({"id": "a", "addr": "10.0.0.1:80", "state": "draining"});
    let good = json!({"version": 7, "full": true, "servers": [node]});
    let Ok(Step::Take(Offer { list: Some(list), .. })) = heard(offer(1, good), true) else {
        panic!("no list")
    };
    assert_eq!((list.version, list.servers.len()), (7, 1));
    for bad in [
        json!({"version": 7, "full": false, "servers": [node]}),
        json!({"version": 7, "full": true, "servers": []}),
        json!({"version": "seven"}),
    ] {
        assert_eq!(
            heard(offer(1, bad), true),
            Ok(Step::Take(Offer { share, list: None, settings: None, policy: None, cold: Vec::new() }))
        );
    }
}

#[test]
fn a_version_mismatch_is_reported() {
    let mut old = Incumbent::new(WHOLE);
    let reply = old.said(Peer(1), &SuccessorMessage::Hello { forms: vec![2, 3] }, 0, nothing);
    assert_eq!(reply, Some(Reply::Only(IncumbentMessage::Unknown { forms: PROTOCOL_VERSIONS.to_vec() })));
    assert_eq!(old.share(), WHOLE);
    // Of several versions, the newest that both support.
    let reply = old.said(Peer(2), &SuccessorMessage::Hello { forms: vec![9, 1] }, 0, nothing);
    assert!(matches!(reply, Some(Reply::WithListener(IncumbentMessage::Offer { form: 1, .. }))));
}

#[test]
fn a_second_upgrade_waits_until_the_first_incumbent_has_ended() {
    // Danger: three processes with a half each would exceed the limits.
    let part = ResourceShare { sockets: 100, memory: 20 << 20 };
    let mut new = Incumbent::beside(WHOLE, part);
    assert_eq!(new.share(), part);
    assert_eq!(new.said(Peer(1), &hello(), 0, nothing), Some(Reply::Only(IncumbentMessage::Busy)));
    new.alone();
    assert_eq!(new.share(), WHOLE);
    assert_eq!(offered(new.said(Peer(1), &hello(), 0, nothing)), WHOLE.beside(WHOLE.kept(), 0));
}

#[test]
fn an_incumbent_that_closed_its_listener_offers_nothing() {
    let mut old = Incumbent::new(WHOLE);
    offered(old.said(Peer(1), &hello(), 0, nothing));
    old.close();
    old.said(Peer(1), &SuccessorMessage::Ready, 0, nothing);
    assert!(old.succeeded(), "what was handed on before is the other's own");
    assert!(!old.lost(Peer(1)), "one that listens no more takes nothing back");
    let reply = old.said(Peer(2), &hello(), 0, nothing);
    assert_eq!(reply, Some(Reply::Only(IncumbentMessage::Unknown { forms: Vec::new() })));
}

#[test]
fn messages_round_trip_and_invalid_ones_are_rejected() {
    let cold = vec![SlowStartAllowance { node: u64::MAX, started: 1_700_000_000_000_000_000, left: 2.5 }];
    let offer = IncumbentMessage::Offer {
        form: 1,
        sockets: 3,
        memory: 4,
        list: json!({"version": 1}),
        settings: None,
        policy: None,
        cold,
    };
    for message in [
        offer,
        IncumbentMessage::Heard,
        IncumbentMessage::Busy,
        IncumbentMessage::Unknown { forms: vec![1, 2] },
    ] {
        let bytes = message.bytes();
        let length = IncumbentMessage::length([bytes[0], bytes[1], bytes[2], bytes[3]]).expect("a length");
        assert_eq!(length, bytes.len() - 4);
        assert_eq!(IncumbentMessage::read(&bytes[4..]).expect("a message"), message);
    }
    for message in [hello(), SuccessorMessage::Ready] {
        assert_eq!(SuccessorMessage::read(&message.bytes()[4..]).expect("a message"), message);
    }
    assert!(
        matches!(SuccessorMessage::length([255; 4]), Err(MessageError::Long(n)) if n > MAX_MESSAGE_BYTES)
    );
    assert!(matches!(SuccessorMessage::read(b"{\"say\":\"what\"}"), Err(MessageError::Spoilt(_))));
    assert!(IncumbentMessage::read(b"GET / HTTP/1.1").is_err());
}

#[derive(Clone, Debug)]
enum Event {
    Hello(u64, usize),
    Ready(u64),
    Lost(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0u64..6, 0usize..500).prop_map(|(p, held)| Event::Hello(p, held)),
        (0u64..6).prop_map(Event::Ready),
        (0u64..6).prop_map(Event::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: together the processes of one proxy must stay within its limits, whatever the order of events.
    #[test]
    fn all_processes_together_stay_within_the_limits(events in prop::collection::vec(event(), 0..80)) {
        let mut old = Incumbent::new(WHOLE);
        let mut offers: Vec<(u64, ResourceShare)> = Vec::new();
        let mut ready: Option<u64> = None;
        for event in events {
            match event {
                Event::Hello(p, held) => match old.said(Peer(p), &hello(), held, nothing) {
                    Some(Reply::WithListener(IncumbentMessage::Offer { sockets, memory, .. })) => {
                        prop_assert!(sockets + held.max(WHOLE.kept().sockets) <= WHOLE.sockets.max(held));
                        offers.push((p, ResourceShare { sockets, memory }));
                    }
                    reply => prop_assert_eq!(reply, Some(Reply::Only(IncumbentMessage::Busy))),
                },
                Event::Ready(p) => {
                    old.said(Peer(p), &SuccessorMessage::Ready, 0, nothing);
                    if offers.iter().any(|o| o.0 == p) {
                        ready = Some(p);
                    }
                }
                Event::Lost(p) => {
                    old.lost(Peer(p));
                    offers.retain(|o| o.0 != p);
                    ready = ready.filter(|r| *r != p);
                }
            }
            prop_assert!(offers.len() <= 1);
            prop_assert_eq!(old.succeeded(), ready.is_some());
            let sum = offers.iter().fold(old.share(), |sum, (_, s)| ResourceShare {
                sockets: sum.sockets + s.sockets,
                memory: sum.memory + s.memory,
            });
            prop_assert!(sum.sockets <= WHOLE.sockets && sum.memory <= WHOLE.memory, "{:?}", sum);
            if offers.is_empty() {
                prop_assert_eq!(old.share(), WHOLE);
            }
        }
    }
}

/// The settings assigned to the incumbent go to the successor; a version that does not know them uses the rest, and
/// one that receives none uses its own file.
#[test]
fn settings_are_handed_over_between_versions_that_know_them() {
    let mut old = Incumbent::new(WHOLE);
    let known = || HandoverState { settings: Some("by these".into()), ..HandoverState::default() };
    let Some(Reply::WithListener(offer)) = old.said(Peer(1), &hello(), 0, known) else { panic!("no offer") };
    let bytes = offer.bytes();
    let taken = Successor::default().heard(Heard::Answer { said: offer, listener: true });
    assert!(matches!(taken, Ok(Step::Take(Offer { settings: Some(s), .. })) if s == "by these"));
    // As the previous version wrote it, and as a later one may.
    let text = String::from_utf8(bytes[4..].to_vec()).expect("JSON");
    let before = text.replace(",\"settings\":\"by these\"", "");
    assert_ne!(before, text);
    let said = IncumbentMessage::read(before.as_bytes()).expect("read");
    assert!(matches!(said, IncumbentMessage::Offer { settings: None, .. }));
    let more = text.replacen('{', "{\"later\":[],", 1);
    assert!(matches!(
        IncumbentMessage::read(more.as_bytes()).expect("read"),
        IncumbentMessage::Offer { settings: Some(_), .. }
    ));
}
