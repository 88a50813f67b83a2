//! Changes of policy over a fleet of real processes with a relay on every leg: ten proxies in four data centres, three control services
//! on one store, nodes, discovery, and clients that ask all the while. Whether one policy was obeyed by all is told from what requests
//! got alone: each policy forbids one data centre to a class, and the next one another (`rushquay_fleet_harness::two_at_once`).

mod clocks;
mod cuts;
mod down;
mod figures;
mod good;
mod leaders;
mod refused;
mod storm;

use rushquay_fleet_harness::{in_order, two_at_once, Fleet, Held, Shape, SPARE, ZONES};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A leave, in seconds: a proxy that is down is waited for so long.
const LEAVE_S: f64 = 3.0;

/// Data centres that policies forbid in turn; the floor allows none of them.
const FORBIDDEN: [&str; 3] = [ZONES[1], ZONES[2], SPARE];

/// What the class asks: all data centres but one.
fn settings(n: usize) -> Value {
    let out = 1 + n % 3;
    let allowed: Vec<usize> = (0..4).filter(|zone| *zone != out).collect();
    json!({"categories": [{"name": "plan", "allowed_in": allowed}]})
}

fn floor() -> Value {
    json!({"categories": [{"name": "plan", "allowed_in": [0]}]})
}

fn shape(seed: u64) -> Shape {
    let control = format!("leave_s = {LEAVE_S:?}\nlimit_s = 60.0\nfloor_s = 600.0\nlook_ms = 50\n");
    let policy = Some((control, "ask_ms = 300\n".into()));
    let shape = Shape::new(env!("CARGO_BIN_EXE_rushquay"), seed);
    Shape { spare: 1, controls: 3, policy, ..shape }
}

/// A fleet, and the policies that held in it.
struct Play {
    fleet: Fleet,
    held: Vec<Held>,
    /// Policies proposed so far.
    proposed: usize,
}

impl Play {
    /// Under load, with a first policy that holds everywhere.
    async fn start(shape: Shape) -> Play {
        Play::begin(Fleet::start(shape).await).await
    }

    async fn begin(fleet: Fleet) -> Play {
        let mut play = Play { fleet, held: Vec::new(), proposed: 0 };
        let number = play.propose().await;
        play.committed(number).await;
        // What was served by the files alone, before any policy, is none of the check's.
        play.held = vec![Held { from: Duration::ZERO, by: Duration::ZERO, forbids: vec![FORBIDDEN[0]] }];
        play.fleet.load(3, Duration::from_millis(15));
        play.served(500).await;
        play
    }

    fn now(&self) -> Duration {
        self.fleet.history.begin().elapsed()
    }

    /// Proposes the next policy; gives its number. It is not known whether it will hold.
    async fn propose(&mut self) -> u64 {
        let n = self.proposed;
        self.proposed += 1;
        self.propose_again(n).await
    }

    async fn propose_again(&mut self, n: usize) -> u64 {
        let ask = json!({"settings": settings(n), "floor": floor(), "author": "ravi", "reason": format!("policy {n}")});
        let from = self.now();
        let start = Instant::now();
        loop {
            let (status, said) = self.fleet.post("/v1/policy", ask.clone()).await;
            match status {
                201 => {
                    self.held.push(Held { from, by: Duration::MAX, forbids: vec![FORBIDDEN[n % 3]] });
                    return said["policy"].as_u64().expect("a number");
                }
                // The leader may just have changed.
                0 | 503 | 507 if start.elapsed() < rushquay_fleet_harness::LONG => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                _ => panic!("{status} {said}\n{}", self.fleet.history.last(60)),
            }
        }
    }

    /// Waits until the policy that was proposed last is decided; gives how.
    async fn decided(&mut self, number: u64) -> Value {
        let status = self.until("it is decided", |s| s["last"]["policy"] == number).await;
        let by = self.now();
        match status["last"]["ended"]["ended"].as_str() {
            Some("committed") => self.held.last_mut().expect("it was proposed").by = by,
            _ => drop(self.held.pop()),
        }
        status
    }

    /// The same, and it holds.
    async fn committed(&mut self, number: u64) -> Value {
        let status = self.decided(number).await;
        assert_eq!(status["last"]["ended"]["ended"], "committed", "{status:#}");
        assert_eq!(status["holds"], number);
        status
    }

    /// Waits until what the leader says of policies is so.
    async fn until(&self, what: &str, mut holds: impl FnMut(&Value) -> bool) -> Value {
        let start = Instant::now();
        let mut seen = Value::Null;
        loop {
            let status = self.fleet.get("/v1/policy").await;
            if status["in_words"] != seen {
                seen = status["in_words"].clone();
                self.fleet.history.note("seen", format!("{seen}"));
            }
            if holds(&status) {
                self.fleet.history.note("seen", what);
                return status;
            }
            assert!(
                start.elapsed() < rushquay_fleet_harness::LONG,
                "it never came that {what}: {status:#}\n{}",
                self.fleet.history.last(80)
            );
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    /// Waits until so many more requests were served, over all proxies.
    async fn served(&self, more: u64) {
        let all = || -> u64 {
            let counts = self.fleet.proxies.iter().flat_map(|p| self.fleet.counts(&p.name).into_values());
            counts.map(|c| c.served).sum()
        };
        let (from, start) = (all(), Instant::now());
        while all() < from + more {
            assert!(start.elapsed() < rushquay_fleet_harness::LONG, "{}", self.fleet.history.last(80));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until so many more requests were served at one proxy.
    async fn served_at(&self, proxy: usize, more: u64) {
        let all =
            || -> u64 { self.fleet.counts(&self.fleet.proxies[proxy].name).values().map(|c| c.served).sum() };
        let (from, start) = (all(), Instant::now());
        while all() < from + more {
            assert!(start.elapsed() < rushquay_fleet_harness::LONG, "{}", self.fleet.history.last(80));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn number(&self, name: &str) -> usize {
        self.fleet.proxies.iter().position(|p| p.name == name).expect("a proxy")
    }

    fn process(&mut self, proxy: usize) -> &mut rushquay_fleet_harness::Process {
        self.fleet.proxies[proxy].process.as_mut().expect("it runs")
    }

    fn control(&mut self, n: usize) -> &mut rushquay_fleet_harness::Process {
        self.fleet.controls[n].process.as_mut().expect("it runs")
    }

    /// By what a proxy acted, by its own log, in order.
    fn acted(&self, name: &str) -> Vec<String> {
        let begin = "rushquay: policy: acting by ";
        let lines = self.fleet.history.with(begin).into_iter().filter(|l| l.who == name);
        let word = |what: &str| what.trim_start_matches(begin).split(" (").next().unwrap_or("").to_owned();
        lines.map(|l| word(&l.what)).collect()
    }

    /// Waits until a proxy acts so, by its own log.
    async fn acts(&self, name: &str, words: &str) {
        let start = Instant::now();
        while self.acted(name).last().map(String::as_str) != Some(words) {
            assert!(
                start.elapsed() < rushquay_fleet_harness::LONG,
                "{name} never acted by {words}: {:?}\n{}",
                self.acted(name),
                self.fleet.history.last(80)
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// What shows two policies at once, if anything does.
    fn breach(&self) -> Option<String> {
        let mut plans = self.fleet.ended();
        plans.retain(|r| r.class == "plan");
        assert!(plans.iter().filter(|r| r.zone.is_some()).count() > 50, "too little was served to tell");
        two_at_once(&self.held, &plans)
    }

    /// Ends the load, and asserts that one policy was obeyed by all at each moment and that no rule was broken.
    async fn over(mut self) {
        self.fleet.calm().await;
        assert_eq!(self.breach(), None, "{:?}", self.held);
        in_order(self.fleet).await;
    }
}
