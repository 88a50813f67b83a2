//! The state machines of incumbent and successor under any order of events: together they stay within the limits, and
//! there is at most one successor.

use proptest::prelude::*;
use rushquay_handover::{
    ControlHandover, EndpointIncarnation, HandoverError, HandoverResponse, HandoverState, Incumbent,
    IncumbentMessage, MessageError, Offer, Peer, Reply, ResourceShare, SlowStartAllowance,
    StartClockHandover, Step, Successor, SuccessorMessage, MAX_MESSAGE_BYTES, PROTOCOL_VERSIONS,
};
use serde_json::{json, Value};

const TOTAL: ResourceShare = ResourceShare { sockets: 384, memory: 48 << 20 };

fn empty_state() -> HandoverState {
    HandoverState::default()
}

fn hello() -> SuccessorMessage {
    Successor::default().hello()
}

fn expect_offer(reply: Option<Reply>) -> ResourceShare {
    match reply {
        Some(Reply::WithListener(IncumbentMessage::Offer { sockets, memory, .. })) => {
            ResourceShare { sockets, memory }
        }
        other => panic!("no offer: {other:?}"),
    }
}

#[test]
fn limits_are_shared_and_restored() {
    let mut old = Incumbent::new(TOTAL);
    let new = expect_offer(old.handle_message(Peer(1), &hello(), 100, empty_state));
    assert_eq!((old.share().sockets + new.sockets, old.share().memory + new.memory), (384, 48 << 20));
    assert!(!old.handle_disconnect(Peer(1)), "it had not reported itself as serving");
    assert_eq!(old.share(), TOTAL, "the successor died before it served");
    // Sockets that the incumbent has open beyond its half are not offered.
    let new = expect_offer(old.handle_message(Peer(2), &hello(), 300, empty_state));
    assert_eq!(new.sockets, 84);
    assert!(!old.succeeded());
    assert_eq!(
        old.handle_message(Peer(2), &SuccessorMessage::Ready, 0, empty_state),
        Some(Reply::KeepOpen(IncumbentMessage::Heard))
    );
    assert_eq!(
        old.handle_message(Peer(2), &SuccessorMessage::Ready, 0, empty_state),
        None,
        "the second message has no effect"
    );
    assert!(old.succeeded());
    assert!(old.handle_disconnect(Peer(2)), "it had taken over the socket for hand-over requests");
    assert!(!old.succeeded(), "the successor has ended, so the incumbent serves alone");
}

#[test]
fn a_second_successor_waits_and_gives_up_with_an_error() {
    let mut old = Incumbent::new(TOTAL);
    expect_offer(old.handle_message(Peer(1), &hello(), 0, empty_state));
    assert_eq!(
        old.handle_message(Peer(2), &hello(), 0, empty_state),
        Some(Reply::ThenClose(IncumbentMessage::Busy))
    );
    // A process without an offer can't take over.
    old.handle_message(Peer(2), &SuccessorMessage::Ready, 0, empty_state);
    assert!(!old.succeeded());
    let mut second = Successor::default();
    let busy = || HandoverResponse::Answer { said: IncumbentMessage::Busy, listener: false };
    let mut requests = 0;
    while second.handle_response(busy()) == Ok(Step::Retry) {
        requests += 1;
    }
    assert!(requests > 10);
    assert_eq!(second.handle_response(busy()), Err(HandoverError::AnotherSuccessor));
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
        control: Value::Null,
        starts: Value::Null,
    };
    let share = ResourceShare { sockets: 9, memory: 8 };
    let heard =
        |said, listener| Successor::default().handle_response(HandoverResponse::Answer { said, listener });
    assert_eq!(
        heard(offer(1, Value::Null), true),
        Ok(Step::UseListener(Offer {
            share,
            list: None,
            settings: None,
            policy: None,
            cold: Vec::new(),
            control: None,
            starts: None,
        }))
    );
    assert_eq!(
        heard(offer(1, Value::Null), false),
        Ok(Step::Listen),
        "no socket, or one for another address"
    );
    assert_eq!(
        heard(offer(99, Value::Null), true),
        Ok(Step::Listen),
        "a protocol version that was not requested"
    );
    assert_eq!(heard(IncumbentMessage::Unknown { forms: vec![99] }, false), Ok(Step::Listen));
    assert_eq!(Successor::default().handle_response(HandoverResponse::NoAnswer), Ok(Step::Listen));
    assert_eq!(Successor::default().handle_response(HandoverResponse::NoIncumbent), Ok(Step::Listen));
    let node = json!({"id": "a", "addr": "10.0.0.1:80", "state": "draining"});
    let good = json!({"version": 7, "full": true, "servers": [node]});
    let Ok(Step::UseListener(Offer { list: Some(list), .. })) = heard(offer(1, good), true) else {
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
            Ok(Step::UseListener(Offer {
                share,
                list: None,
                settings: None,
                policy: None,
                cold: Vec::new(),
                control: None,
                starts: None,
            }))
        );
    }
}

#[test]
fn a_version_mismatch_is_reported() {
    let mut old = Incumbent::new(TOTAL);
    let reply = old.handle_message(Peer(1), &SuccessorMessage::Hello { forms: vec![2, 3] }, 0, empty_state);
    assert_eq!(
        reply,
        Some(Reply::ThenClose(IncumbentMessage::Unknown { forms: PROTOCOL_VERSIONS.to_vec() }))
    );
    assert_eq!(old.share(), TOTAL);
    // Of several versions, the newest that both support.
    let reply = old.handle_message(Peer(2), &SuccessorMessage::Hello { forms: vec![9, 1] }, 0, empty_state);
    assert!(matches!(reply, Some(Reply::WithListener(IncumbentMessage::Offer { form: 1, .. }))));
}

#[test]
fn a_second_upgrade_waits_until_the_first_incumbent_has_ended() {
    // Danger: three processes with one half of the limits each would exceed them.
    let share = ResourceShare { sockets: 100, memory: 20 << 20 };
    let mut new = Incumbent::beside(TOTAL, share);
    assert_eq!(new.share(), share);
    assert_eq!(
        new.handle_message(Peer(1), &hello(), 0, empty_state),
        Some(Reply::ThenClose(IncumbentMessage::Busy))
    );
    new.alone();
    assert_eq!(new.share(), TOTAL);
    assert_eq!(
        expect_offer(new.handle_message(Peer(1), &hello(), 0, empty_state)),
        TOTAL.beside(TOTAL.incumbent_share(), 0)
    );
}

#[test]
fn an_incumbent_that_closed_its_listener_offers_nothing() {
    let mut old = Incumbent::new(TOTAL);
    expect_offer(old.handle_message(Peer(1), &hello(), 0, empty_state));
    old.close();
    old.handle_message(Peer(1), &SuccessorMessage::Ready, 0, empty_state);
    assert!(old.succeeded(), "a listener handed over earlier belongs to the successor");
    assert!(!old.handle_disconnect(Peer(1)), "a closed incumbent does not reopen the request socket");
    let reply = old.handle_message(Peer(2), &hello(), 0, empty_state);
    assert_eq!(reply, Some(Reply::ThenClose(IncumbentMessage::Unknown { forms: Vec::new() })));
}

#[test]
fn messages_round_trip_and_invalid_ones_are_rejected() {
    let cold = vec![SlowStartAllowance {
        node: u64::MAX,
        started: 1_700_000_000_000_000_000,
        left: 2.5,
        incarnation: None,
    }];
    let offer = IncumbentMessage::Offer {
        form: 1,
        sockets: 3,
        memory: 4,
        list: json!({"version": 1}),
        settings: None,
        policy: None,
        cold,
        control: Value::Null,
        starts: Value::Null,
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
        matches!(SuccessorMessage::length([255; 4]), Err(MessageError::TooLong(n)) if n > MAX_MESSAGE_BYTES)
    );
    assert!(matches!(SuccessorMessage::read(b"{\"say\":\"what\"}"), Err(MessageError::Malformed(_))));
    assert!(IncumbentMessage::read(b"GET / HTTP/1.1").is_err());
}

#[derive(Clone, Debug)]
enum Event {
    Hello(u64, usize),
    Ready(u64),
    Lost(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0u64..6, 0usize..500).prop_map(|(p, open_sockets)| Event::Hello(p, open_sockets)),
        (0u64..6).prop_map(Event::Ready),
        (0u64..6).prop_map(Event::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Danger: all processes of one proxy together must stay within its limits, in any order of events.
    #[test]
    fn all_processes_together_stay_within_the_limits(events in prop::collection::vec(any_event(), 0..80)) {
        let mut old = Incumbent::new(TOTAL);
        let mut offers: Vec<(u64, ResourceShare)> = Vec::new();
        let mut ready: Option<u64> = None;
        for event in events {
            match event {
                Event::Hello(p, open_sockets) => match old.handle_message(Peer(p), &hello(), open_sockets, empty_state) {
                    Some(Reply::WithListener(IncumbentMessage::Offer { sockets, memory, .. })) => {
                        prop_assert!(sockets + open_sockets.max(TOTAL.incumbent_share().sockets) <= TOTAL.sockets.max(open_sockets));
                        offers.push((p, ResourceShare { sockets, memory }));
                    }
                    reply => prop_assert_eq!(reply, Some(Reply::ThenClose(IncumbentMessage::Busy))),
                },
                Event::Ready(p) => {
                    old.handle_message(Peer(p), &SuccessorMessage::Ready, 0, empty_state);
                    if offers.iter().any(|o| o.0 == p) {
                        ready = Some(p);
                    }
                }
                Event::Lost(p) => {
                    old.handle_disconnect(Peer(p));
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
            prop_assert!(sum.sockets <= TOTAL.sockets && sum.memory <= TOTAL.memory, "{:?}", sum);
            if offers.is_empty() {
                prop_assert_eq!(old.share(), TOTAL);
            }
        }
    }
}

/// The settings assigned to the incumbent are handed over to the successor. A version that does not know them uses the
/// rest of the offer, and a successor that receives none uses its own file.
#[test]
fn settings_are_handed_over_between_versions_that_know_them() {
    let mut old = Incumbent::new(TOTAL);
    let state = || HandoverState { settings: Some("by these".into()), ..HandoverState::default() };
    let Some(Reply::WithListener(offer)) = old.handle_message(Peer(1), &hello(), 0, state) else {
        panic!("no offer")
    };
    let bytes = offer.bytes();
    let step = Successor::default().handle_response(HandoverResponse::Answer { said: offer, listener: true });
    assert!(matches!(step, Ok(Step::UseListener(Offer { settings: Some(s), .. })) if s == "by these"));
    // The same message without the field, as an earlier version writes it, and with an unknown field, as a later one may.
    let text = String::from_utf8(bytes[4..].to_vec()).expect("JSON");
    let earlier = text.replace(",\"settings\":\"by these\"", "");
    assert_ne!(earlier, text);
    let said = IncumbentMessage::read(earlier.as_bytes()).expect("read");
    assert!(matches!(said, IncumbentMessage::Offer { settings: None, .. }));
    let later = text.replacen('{', "{\"later\":[],", 1);
    assert!(matches!(
        IncumbentMessage::read(later.as_bytes()).expect("read"),
        IncumbentMessage::Offer { settings: Some(_), .. }
    ));
}

/// What a proxy of a fleet of this size holds by word of the control service, with each of its overrides.
fn control_of(nodes: usize, overridden: usize) -> ControlHandover {
    let statement = |n: usize| {
        let overrides =
            if n < overridden { json!({"out": [1, 9_000_000_000_000_000_000u64]}) } else { json!({}) };
        json!({"stated": {"endpoint": {"id": format!("cache-{n}.gandhinagar"), "addr": "127.0.0.1:80", "zone": "gandhinagar", "kind": "std-1c",
               "cell": 0, "state": "ready", "weight": 1.0, "started_ms": 0.0}, "started_ns": 0, "list_version": 4, "is_from_discovery": true,
               "overrides": overrides}, "age": 5, "is_named": true, "is_confirmed": true})
    };
    let statements: Vec<Value> = (0..nodes).map(statement).collect();
    let clock = json!({"unix_nanos": 1_764_000_000_000_000_000u64, "monotonic_nanos": 5, "error_nanos": 3});
    serde_json::from_value(json!({"clock": clock, "view": {"process": "c@3", "statements": statements}}))
        .expect("a state")
}

/// Guards against an offer that is too long for a message, so that the successor starts without any of the state.
#[test]
fn an_offer_fits_a_message_however_much_the_control_service_has_said() {
    for (nodes, overridden) in [(1000, 1000), (3200, 1000), (20_000, 20_000)] {
        let control = control_of(nodes, overridden);
        let mut state = HandoverState {
            control: Some(control),
            list: json!("x".repeat(300_000)),
            ..HandoverState::default()
        };
        let dropped = state.fit_message();
        let kept = state.control.as_ref().map_or(0, |control| control.view.statements.len());
        assert_eq!(kept + dropped, nodes);
        // The most restrictive statements come first, and stay.
        assert!(kept >= overridden.min(1500), "{kept} of {nodes}");
        let reply = Incumbent::new(TOTAL).handle_message(Peer(1), &hello(), 0, || state);
        let Some(Reply::WithListener(offer)) = reply else { panic!("no offer") };
        assert!(offer.bytes().len() <= MAX_MESSAGE_BYTES, "{nodes} nodes: {} bytes", offer.bytes().len());
    }
}

/// Guards against a successor that refuses an offer for what an incumbent of another version says in it.
#[test]
fn a_state_in_an_unknown_form_is_ignored_and_one_with_more_fields_is_read() {
    let control = serde_json::to_value(control_of(1, 1)).expect("JSON");
    let mut with_more = control.clone();
    with_more["view"]["later"] = json!(1);
    with_more["view"]["statements"][0]["stated"]["overrides"]["later"] = json!([1]);
    for (control, expected) in
        [(with_more, Some(control_of(1, 1))), (json!({"another": "form"}), None), (Value::Null, None)]
    {
        let said = IncumbentMessage::Offer {
            form: 1,
            sockets: 9,
            memory: 8,
            list: Value::Null,
            settings: None,
            policy: None,
            cold: Vec::new(),
            control,
            starts: Value::Null,
        };
        let said = IncumbentMessage::read(&said.bytes()[4..]).expect("a message");
        let step = Successor::default().handle_response(HandoverResponse::Answer { said, listener: true });
        let Ok(Step::UseListener(offer)) = step else { panic!("{step:?}") };
        assert_eq!(offer.control.as_deref(), expected.as_ref());
    }
}

/// Guards against a part of the state that is added and not handed over: it has to be named here, and to travel.
#[test]
fn every_part_of_the_state_travels() {
    let list = json!({"version": 3, "full": true, "servers": [{"id": "a", "addr": "127.0.0.1:80", "zone": "", "kind": "", "cell": 0,
        "state": "ready", "weight": 1.0, "started_ms": 0.0}]});
    let cold = vec![SlowStartAllowance {
        node: 7,
        started: 9,
        left: 1.5,
        incarnation: Some(EndpointIncarnation { started_ms: 8, cold_return_ms: 5 }),
    }];
    let HandoverState { list, settings, policy, cold, control, starts } = HandoverState {
        list,
        settings: Some("s".into()),
        policy: Some("p".into()),
        cold,
        control: Some(control_of(2, 1)),
        starts: Some(StartClockHandover { starts_nanos: 4, process_nanos: 6, monotonic_nanos: 2 }),
    };
    let state = HandoverState {
        list: list.clone(),
        settings: settings.clone(),
        policy: policy.clone(),
        cold: cold.clone(),
        control: control.clone(),
        starts,
    };
    let reply = Incumbent::new(TOTAL).handle_message(Peer(1), &hello(), 0, || state);
    let Some(Reply::WithListener(said)) = reply else { panic!("no offer") };
    let said = IncumbentMessage::read(&said.bytes()[4..]).expect("a message");
    let step = Successor::default().handle_response(HandoverResponse::Answer { said, listener: true });
    let Ok(Step::UseListener(offer)) = step else { panic!("{step:?}") };
    let Offer { share: _, list: offered, settings: s, policy: p, cold: c, control: held, starts: clocks } =
        offer;
    assert_eq!(serde_json::to_value(offered).expect("JSON"), list);
    assert_eq!((s, p, c, held.as_deref(), clocks), (settings, policy, cold, control.as_ref(), starts));
}
