//! The invariants.

use rushquay_fleet_harness::{call, Asked, Fleet, Process, StrictClients};
use rushquay_history::{Effect, Entry, History, Tolerance, MILLI};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// With a store that answers, somebody leads again so soon, whatever one control service does.
const LEADERLESS_MOST: Duration = Duration::from_secs(15);
/// From discovery's word of a drain to the last request at that node: told within 6 s, the grace, and what a busy machine adds.
const DRAIN_MOST: u64 = 8500 * MILLI;
/// After a client's close an attempt may begin for 0.1 s; what a busy machine adds.
const GONE_MOST: Duration = Duration::from_millis(1100);
/// The time that a node is told may exceed what the client has left by 0.15 s; what a busy machine adds.
const LEFT_MOST: Duration = Duration::from_millis(750);

/// A drain: which node, and from when to when discovery said so.
pub struct Drain {
    pub node: String,
    pub from: Instant,
    pub to: Option<Instant>,
}

/// Panics where nobody comes to lead.
pub async fn somebody_leads(fleet: &Fleet) {
    let start = Instant::now();
    while start.elapsed() < LEADERLESS_MOST {
        for control in &fleet.controls {
            if control.process.as_ref().is_none_or(Process::is_stopped) {
                continue;
            }
            let status = call(control.admin, hyper::Method::GET, "/status", None, None).await;
            if status.is_some_and(|(_, s)| s["standby"]["leads"] == true) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("nobody has led for {LEADERLESS_MOST:?}");
}

/// Panics where an invariant was broken.
pub fn all(fleet: &Fleet, clients: &[StrictClients], drains: &[Drain], seed: u64) {
    let asked: BTreeMap<String, Asked> = clients.iter().flat_map(StrictClients::asked).collect();
    let mut found: Vec<String> = Vec::new();
    for line in fleet.history.with("rule broken") {
        found.push(line.to_string());
    }
    // No node's process starts anew here, so that no word of one can be out of date.
    for line in fleet.history.with("is passed over") {
        found.push(line.to_string());
    }
    for (proxy, client) in fleet.proxies.iter().zip(clients) {
        for (at, broken) in client.broken() {
            let at = at.saturating_duration_since(fleet.history.begin());
            found.push(format!("{:.3} {broken:?}\n{}", at.as_secs_f64(), around(fleet, &proxy.name, at)));
        }
    }
    found.extend(at_nodes(fleet, &asked));
    found.extend(books(fleet, &asked, drains).into_iter().map(|b| b.to_string()));
    let (answered, served) =
        clients.iter().map(StrictClients::answered).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    println!("seed {seed}: {} asked, {answered} answered, {served} of them served", asked.len());
    assert!(found.is_empty(), "seed {seed}: {} broken:\n{}", found.len(), found.join("\n"));
    assert!(served * 2 > answered, "seed {seed}: {served} of {answered} served");
}

/// What was noted of a proxy and of troubles round a moment.
fn around(fleet: &Fleet, proxy: &str, at: Duration) -> String {
    let near = |l: &&rushquay_fleet_harness::Line| {
        l.at + Duration::from_secs(3) > at && l.at < at + Duration::from_millis(500)
    };
    let of = |l: &&rushquay_fleet_harness::Line| l.who == proxy || l.who == "soak" || l.who == "test";
    fleet.history.lines().iter().filter(near).filter(of).map(|l| format!("    {l}\n")).collect()
}

/// What nodes got against what clients did.
fn at_nodes(fleet: &Fleet, asked: &BTreeMap<String, Asked>) -> Vec<String> {
    let mut found = Vec::new();
    for (_, node) in &fleet.nodes {
        for (at, id, left) in node.told_left() {
            let Some(asked) = asked.get(&id) else { continue };
            let until = asked.at + asked.within + LEFT_MOST;
            if at + Duration::from_secs_f64(left) > until {
                let over = (at + Duration::from_secs_f64(left)) - (asked.at + asked.within);
                let asked_at = asked.at.saturating_duration_since(fleet.history.begin());
                let proxy = id.split('-').next().unwrap_or_default();
                found.push(format!(
                    "{id} at {}: told of {over:?} more than its client has; asked at {:.3}, came {:?} later\n{}",
                    node.id,
                    asked_at.as_secs_f64(),
                    at.saturating_duration_since(asked.at),
                    around(fleet, proxy, asked_at)
                ));
            }
            if asked.gone.is_some_and(|gone| at > gone + GONE_MOST) {
                found.push(format!(
                    "{id} at {}: came {:?} after its client had gone",
                    node.id,
                    asked.gone.map(|g| at - g)
                ));
            }
        }
    }
    found
}

/// The books of effects and drains. Answers are the strict clients' to judge.
fn books(
    fleet: &Fleet,
    asked: &BTreeMap<String, Asked>,
    drains: &[Drain],
) -> Vec<rushquay_history::Violation> {
    let mut books = History::default();
    let begin = fleet.history.begin();
    let at = |at: Instant| at.saturating_duration_since(begin).as_nanos() as u64;
    for (id, one) in asked {
        let effect = if one.writes { Effect::Keyed } else { Effect::Safe };
        let within = one.within.as_nanos() as u64;
        books.record(at(one.at), Entry::Asked { id: id.clone(), effect, within });
        books.record(at(one.at), Entry::Excused { id: id.clone() });
    }
    for (_, node) in &fleet.nodes {
        let name = || node.id.clone();
        node.sent().into_iter().for_each(|(t, id)| books.record(at(t), Entry::Sent { id, node: name() }));
        node.ran().into_iter().for_each(|(t, id)| books.record(at(t), Entry::Ran { id, node: name() }));
    }
    for drain in drains {
        books.record(at(drain.from), Entry::Drained { node: drain.node.clone() });
        drain.to.iter().for_each(|to| books.record(at(*to), Entry::Ready { node: drain.node.clone() }));
    }
    books.audit(Tolerance { late: 0, drain: DRAIN_MOST, crossing: 0 })
}
