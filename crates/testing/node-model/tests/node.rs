//! What a node does when things go wrong.

use rand::SeedableRng;
use rushquay_node_model::{
    Answer, Chance, Fault, Nanos, Node, NodeEvent, NodeSettings, Out, Request, MILLI, SECOND,
};

const SETTINGS: &str = "
cores = 2
waiting = 4
work = { fixed = 10.0 }
fetched-work = { fixed = 2.0 }
";

struct Rig {
    node: Node,
    chance: Chance,
    out: Vec<Out>,
    next: u64,
}

fn settings(more: &str) -> NodeSettings {
    let text = SETTINGS.replace("fetched-work", "fetched_work") + more;
    toml::from_str(&text).expect("settings")
}

impl Rig {
    fn new(more: &str, started: Nanos) -> Rig {
        let node = Node::new(settings(more), started).expect("settings");
        Rig { node, chance: Chance::seed_from_u64(3), out: Vec::new(), next: 0 }
    }

    fn ask(&mut self, ms: f64, key: u64, write: bool, token: Option<u64>) -> u64 {
        self.next += 1;
        let job = Request { id: self.next, key, write, token };
        self.node.arrive(at(ms), job, &mut self.chance, &mut self.out);
        self.next
    }

    fn read(&mut self, ms: f64, key: u64) -> u64 {
        self.ask(ms, key, false, None)
    }

    fn until(&mut self, ms: f64) {
        self.node.advance(at(ms), &mut self.chance, &mut self.out);
    }

    fn fault(&mut self, ms: f64, fault: Fault) {
        self.node.fault(at(ms), fault, &mut self.chance, &mut self.out);
    }

    /// What was said of a request, and when.
    fn answer(&self, id: u64) -> Option<(f64, Answer)> {
        self.out.iter().find_map(|o| match o.say {
            NodeEvent::Answer(of, answer) if of == id => Some((o.at as f64 / MILLI as f64, answer)),
            _ => None,
        })
    }

    fn fetches(&self) -> Vec<u64> {
        let of = |o: &Out| match o.say {
            NodeEvent::Fetch(job) => Some(job.id),
            _ => None,
        };
        self.out.iter().filter_map(of).collect()
    }
}

fn at(ms: f64) -> Nanos {
    (ms * MILLI as f64) as Nanos
}

const KEPT: &str = "kept = { keys = 100, lasts_ms = 60000.0 }\n";
const HIT: Answer = Answer::Served { hit: true, ran: true };

#[test]
fn cores_work_the_room_waits_and_the_rest_is_turned_away() {
    let mut rig = Rig::new("mode = 'all'\n", 0);
    let ids: Vec<u64> = (0..8).map(|key| rig.read(0.0, key)).collect();
    rig.until(100.0);
    let whens: Vec<f64> = ids[..6].iter().map(|id| rig.answer(*id).expect("answered").0).collect();
    assert_eq!(whens, [10.0, 10.0, 20.0, 20.0, 30.0, 30.0]);
    assert_eq!(rig.answer(ids[6]), Some((0.0, Answer::Full)));
    assert_eq!(rig.node.counts().full, 2);
}

#[test]
fn a_miss_holds_the_request_while_it_is_fetched_and_leaves_the_key() {
    let mut rig = Rig::new(KEPT, 0);
    let first = rig.read(0.0, 7);
    rig.until(10.0);
    assert_eq!(rig.fetches(), [first]);
    rig.node.fetched(at(60.0), first, true, &mut rig.chance, &mut rig.out);
    rig.until(62.0);
    assert_eq!(rig.answer(first), Some((62.0, Answer::Served { hit: false, ran: true })));
    let second = rig.read(100.0, 7);
    rig.until(110.0);
    assert_eq!(rig.answer(second), Some((110.0, HIT)));
}

/// A hard case: a false miss makes the origin fetch again what is there.
#[test]
fn a_false_miss_fetches_twice() {
    let mut rig = Rig::new(KEPT, 0);
    rig.node.keep(7, 0);
    rig.fault(0.0, Fault::FalseMisses(1.0));
    let id = rig.read(0.0, 7);
    rig.until(10.0);
    assert_eq!(rig.fetches(), [id]);
    assert_eq!((rig.node.counts().false_misses, rig.node.counts().misses), (1, 1));
}

/// A hard case: a pause that is longer than clients wait, and a queue that then answers nobody.
#[test]
fn after_a_pause_the_queue_works_for_those_that_have_gone() {
    let mut rig = Rig::new("mode = 'all'\n", 0);
    let working = rig.read(0.0, 1);
    rig.fault(5.0, Fault::Pause(at(2000.0)));
    let door: Vec<u64> = (0..4).map(|key| rig.read(100.0, key)).collect();
    assert_eq!(rig.node.inside(), 5);
    // The clients of two of them, and of the one that is worked on, give up.
    for id in [working, door[0], door[1]] {
        rig.node.left(id);
    }
    rig.until(3000.0);
    assert_eq!(rig.answer(working), None);
    assert_eq!(rig.node.counts().late, 1);
    let when = rig.answer(door[2]).expect("it stayed").0;
    assert!(when >= 2010.0, "{when}");
    assert_eq!(rig.answer(door[0]), None);
}

/// A hard case: a node that restarts under its id in the midst of requests.
#[test]
fn a_restart_breaks_what_is_under_way_and_forgets_what_is_kept() {
    let mut rig = Rig::new(KEPT, 0);
    rig.node.keep(7, 0);
    let (running, fetching) = (rig.read(0.0, 7), rig.read(0.0, 8));
    let waiting = rig.read(1.0, 7);
    rig.fault(5.0, Fault::Restart);
    for id in [running, fetching, waiting] {
        assert_eq!(rig.answer(id), Some((5.0, Answer::Reset)), "{id}");
    }
    assert_eq!(rig.node.started(), at(5.0));
    // What the old process was fetching says nothing to the new one.
    rig.node.fetched(at(6.0), fetching, true, &mut rig.chance, &mut rig.out);
    let again = rig.read(10.0, 7);
    rig.until(30.0);
    assert_eq!(rig.fetches().last(), Some(&again), "nothing is kept");
}

#[test]
fn a_repeat_of_a_token_does_not_run_again_while_it_is_remembered() {
    let mut rig = Rig::new("mode = 'all'\nremembers_ms = 100.0\n", 0);
    let ids =
        [rig.ask(0.0, 1, true, Some(9)), rig.ask(50.0, 1, true, Some(9)), rig.ask(200.0, 1, true, Some(9))];
    rig.until(300.0);
    let ran: Vec<_> =
        ids.iter().map(|id| matches!(rig.answer(*id), Some((_, Answer::Served { ran: true, .. })))).collect();
    assert_eq!(ran, [true, false, true]);
}

const COLD: &str =
    "mode = 'all'\ncold = { from = 0.2, for_ms = 20000.0 }\nfall = { multiple = 3.0, for_ms = 1000.0 }\n";

/// Sends so many a second for five seconds, from a start at one second; whether the node fell.
fn fell(rate: f64, share: impl Fn(f64) -> f64) -> bool {
    let mut rig = Rig::new(COLD, SECOND);
    let (mut ms, mut owed) = (1000.0, 0.0);
    while ms < 15_000.0 {
        owed += share(rig.node.warmth(at(ms)));
        if owed >= 1.0 {
            owed -= 1.0;
            rig.read(ms, 1);
        }
        ms += 1000.0 / rate;
    }
    rig.node.is_down()
}

/// A hard case: a freshly started node falls over when it is sent full load, and does not where load follows its warmth.
#[test]
fn a_cold_node_falls_under_full_load_and_not_under_a_ramp() {
    // Two cores at 10 ms each do 200 a second warm; with 40 to begin with, 180 are 4.5 times that.
    assert!(fell(180.0, |_| 1.0));
    assert!(!fell(180.0, |warmth| warmth));
    // A warm one is slow under too much, and stays up.
    let mut rig = Rig::new(COLD, 0);
    for i in 0..4000 {
        rig.read(f64::from(i), 1);
    }
    assert!(!rig.node.is_down() && rig.node.counts().full > 2000);
}

#[test]
fn what_is_slow_fails_or_breaks_does_so() {
    let mut rig = Rig::new("mode = 'all'\n", 0);
    rig.fault(0.0, Fault::Slow(5.0));
    let slow = rig.read(0.0, 1);
    rig.until(100.0);
    assert_eq!(rig.answer(slow).map(|a| a.0), Some(50.0));
    rig.fault(100.0, Fault::Slow(1.0));
    rig.fault(100.0, Fault::Errors(1.0));
    let error = rig.read(100.0, 1);
    rig.until(200.0);
    rig.fault(200.0, Fault::Errors(0.0));
    rig.fault(200.0, Fault::Resets(1.0));
    let reset = rig.read(200.0, 1);
    rig.until(300.0);
    assert_eq!(
        (rig.answer(error), rig.answer(reset)),
        (Some((110.0, Answer::Error)), Some((210.0, Answer::Reset)))
    );
    rig.fault(300.0, Fault::Vanish);
    let gone = rig.read(300.0, 1);
    rig.until(9000.0);
    assert_eq!(rig.answer(gone), None);
}

#[test]
fn settings_that_make_no_sense_are_named() {
    let field = |more: &str| Node::new(settings(more), 0).map(drop).expect_err(more).field;
    assert_eq!(field("speed = 0.0\n"), "speed");
    assert_eq!(field("false_misses = 1.5\n"), "false_misses");
    assert_eq!(field("cold = { from = 0.0, for_ms = 1.0 }\n"), "cold.from");
    assert!(toml::from_str::<NodeSettings>("cores = 1\nwaiting = 1\nwork = { fixed = 1.0 }\ncoers = 2\n")
        .is_err());
}
