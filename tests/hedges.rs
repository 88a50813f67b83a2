//! When the decision module sends a second copy while a response is arriving, and what it holds against the endpoint.

mod common;

use common::{entries, settings, Proxy, MS};
use rushquay::api::{Action, Event, RequestId, ServerId};

/// The request and the endpoint of its first attempt, with the token and delay of its hedge timer.
fn ask(p: &mut Proxy) -> (RequestId, ServerId, u64, u64) {
    let (id, actions) = p.ask(7);
    let server = actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    });
    let (token, delay) = timer(&actions).expect("a timer");
    (id, server.expect("an attempt"), token, delay)
}

fn timer(actions: &[Action]) -> Option<(u64, u64)> {
    actions.iter().find_map(|action| match action {
        Action::Timer { token, delay } => Some((*token, *delay)),
        _ => None,
    })
}

fn is_hedged(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send { .. }))
}

fn module() -> Proxy {
    let mut settings = settings();
    // A late answer is worth something, so that a late copy is too.
    settings.classes[0].late_value = 0.5;
    let mut p = Proxy::with(settings, entries(0..10));
    p.crowd(0..100);
    p
}

/// Reports that a byte of the first attempt's response came so long ago, and lets the hedge timer expire.
fn expire(p: &mut Proxy, id: RequestId, token: u64, silence: u64, may_be_long: bool) -> Vec<Action> {
    assert_eq!(rushquay::Balancer::hedged_request(token), Some(id));
    let last_byte_at = p.now - silence;
    p.event(Event::ResponseProgress { id, attempt: 0, last_byte_at, may_be_long });
    p.event(Event::Timer(token))
}

/// Guards against a copy of an answer that is arriving, and an endpoint that is ejected for giving it.
#[test]
fn a_response_that_arrives_is_not_hedged_while_bytes_come() {
    for may_be_long in [false, true] {
        let mut p = module();
        for _ in 0..6 {
            let (id, _, token, delay) = ask(&mut p);
            p.now += delay;
            let actions = expire(&mut p, id, token, 5 * MS, may_be_long);
            assert!(!is_hedged(&actions), "{actions:?}");
            assert!(timer(&actions).is_some_and(|(again, rest)| again == token && rest > 0), "{actions:?}");
        }
        assert_eq!(p.balancer.count_avoided_nodes(p.now).1, 0);
    }
}

/// Guards against a client that waits in vain for the rest of a response that has stopped.
#[test]
fn a_response_that_has_stopped_is_hedged() {
    let mut p = module();
    let (id, _, token, delay) = ask(&mut p);
    p.now += 2 * delay;
    assert!(
        is_hedged(&expire(&mut p, id, token, delay, false)),
        "short, silent for as long as an attempt may be"
    );
    let mut p = module();
    let (id, _, token, _) = ask(&mut p);
    p.now += 300 * MS;
    assert!(
        !is_hedged(&expire(&mut p, id, token, 200 * MS, true)),
        "perhaps long, with 700 ms left behind its byte"
    );
    p.now += 160 * MS;
    assert!(is_hedged(&expire(&mut p, id, token, 360 * MS, true)), "over half of the time is gone");
}

/// Guards against endpoints that are ejected for long answers that come in lumps.
#[test]
fn a_lull_in_a_long_answer_is_not_held_against_its_endpoint() {
    let mut p = module();
    for _ in 0..6 {
        let (id, _, token, _) = ask(&mut p);
        p.now += 500 * MS;
        expire(&mut p, id, token, 450 * MS, true);
    }
    assert_eq!(p.balancer.count_avoided_nodes(p.now).1, 0);
}
