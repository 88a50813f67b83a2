//! Requests that come again under their id: what may have run does not run again, whether its client has left or has its answer.

mod rig;

use rig::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often each id has run at the origin.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// What the origin does with its requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// It runs each, and answers after this time.
    Runs(Duration),
    /// It turns each away, and runs none.
    TurnsAway,
}

struct Place {
    proxy: Proxy,
    runs: Runs,
}

impl Place {
    fn new(kind: Origin) -> Self {
        let Rig { proxy, origin, cache, .. } = rig();
        let runs = Runs::default();
        for node in [origin, cache] {
            let runs = runs.clone();
            std::thread::spawn(move || {
                for stream in node.taken {
                    let (peer, runs) = (Peer::new(stream), runs.clone());
                    std::thread::spawn(move || serve(peer, kind, &runs));
                }
            });
        }
        Place { proxy, runs }
    }

    fn runs(&self, id: &str) -> u32 {
        self.runs.lock().expect("runs").get(id).copied().unwrap_or(0)
    }

    /// Sends a change, and leaves after this time without an answer.
    fn send_and_leave(&self, class: &str, id: &str, after: Duration) {
        let mut client = self.proxy.client();
        client.write(&change(class, id));
        std::thread::sleep(after);
    }

    /// Sends a change; returns the status of its answer.
    fn send(&self, class: &str, id: &str) -> u16 {
        let mut client = self.proxy.client();
        client.write(&change(class, id));
        client.answer().status()
    }
}

fn serve(mut node: Peer, kind: Origin, runs: &Runs) -> Option<()> {
    loop {
        let request = node.read()?;
        let id = request.header("x-correlation-id").expect("an id").to_owned();
        match kind {
            Origin::Runs(work) => {
                *runs.lock().expect("runs").entry(id).or_default() += 1;
                std::thread::sleep(work);
                node.reply("200 OK", "X-Lookup: hit\r\n", "");
            }
            Origin::TurnsAway => node.reply("503 Full", "X-Unprocessed: 1\r\n", ""),
        }
    }
}

fn change(class: &str, id: &str) -> String {
    get_as(id, class, "Idempotency-Key: k\r\nContent-Length: 0\r\n").replace("GET", "PUT")
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a change that runs again when its id comes again after its client has left.
#[test]
fn a_change_whose_client_left_does_not_run_again_under_its_id() {
    for (work, stay, pause) in [(300, 200, 300), (300, 200, 1_500), (300, 200, 0), (10, 50, 50), (10, 5, 0)] {
        for class in ["order", "set"] {
            let place = Place::new(Origin::Runs(ms(work)));
            for n in 0..3 {
                let id = format!("left-{n}");
                place.send_and_leave(class, &id, ms(stay));
                std::thread::sleep(ms(pause));
                let (status, case) = (place.send(class, &id), format!("{class}, {work}, {stay}, {pause} ms"));
                assert!(place.runs(&id) <= 1, "ran {} times: {case}", place.runs(&id));
                // A refusal would say that the first has not run.
                assert!(!matches!(status, 429 | 503), "{status}: {case}");
            }
        }
    }
}

/// Guards against a change that runs again when its id comes again after its answer.
#[test]
fn a_change_that_was_answered_does_not_run_again_under_its_id() {
    let place = Place::new(Origin::Runs(ms(1)));
    for n in 0..10 {
        let id = format!("answered-{n}");
        assert_eq!(place.send("order", &id), 200);
        assert_eq!(place.send("order", &id), 409);
        assert_eq!(place.runs(&id), 1);
    }
}

/// Guards against sound requests that suffer: what was refused may come again, and what is safe may come at any time.
#[test]
fn what_never_ran_or_may_run_again_is_not_held_back() {
    let place = Place::new(Origin::TurnsAway);
    for _ in 0..3 {
        assert_eq!(place.send("order", "refused"), 503);
    }
    let place = Place::new(Origin::Runs(ms(1)));
    for _ in 0..3 {
        let mut client = place.proxy.client();
        client.write(&get_as("safe", "read", ""));
        assert_eq!(client.answer().status(), 200);
    }
}
