//! Hosts that are killed, and what the next one finds.

use super::*;

/// Waits for a line of one proxy's host or process.
async fn line(fleet: &Fleet, who: &str, what: &str, times: usize) {
    let begin = Instant::now();
    while fleet.history.with(what).iter().filter(|l| l.who == who).count() < times {
        assert!(begin.elapsed() < rushquay_fleet_harness::LONG, "{what}\n{}", fleet.history.last(60));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Every host is killed at some moment of its own upgrade: as the new process is started, after its yes, as the old one is told to
/// end. The next host finds what runs, starts nothing twice, and the change is done.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_killed_in_the_midst_is_followed_by_one_that_goes_on() {
    let mut fleet = loaded(81, 2).await;
    let new = fleet.add_program(b"\nversion 2");
    start(&fleet, json!({"program": new}), plan()).await;
    let moments = [
        format!("of program {} is started", &new[..8]),
        "a new process serves".into(),
        "is told to end".into(),
    ];
    let mut left: Vec<usize> = (0..fleet.proxies.len()).collect();
    while !left.is_empty() {
        let hit = left.iter().copied().find(|n| {
            let name = &fleet.proxies[*n].name;
            fleet.history.with(&moments[n % 3]).iter().any(|l| l.who == *name)
        });
        if let Some(n) = hit {
            left.retain(|l| *l != n);
            fleet.proxies[n].process.as_mut().expect("it runs").kill();
            assert!(fleet.running(n).len() <= 2, "{:?}", fleet.running(n));
            fleet.start_proxy(n);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.until("the change is done", |s| phase(s) == "done").await;
    all_run(&fleet, &new).await;
    let starts = fleet.history.with(&format!("of program {} is started", &new[..8])).len();
    assert!(starts <= 6 + 2, "{starts} processes of the new program for six proxies");
    assert_eq!(lost(&fleet), 0, "requests at the door");
    in_order(fleet).await;
}

/// Two hosts of one folder: the second starts nothing and says why.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_host_of_the_same_folder_starts_nothing() {
    let fleet = loaded(82, 1).await;
    let before = fleet.running(0);
    let said = fleet.second_host(0);
    assert!(said.contains("another host runs here"), "{said}");
    assert_eq!(fleet.running(0), before);
    line(&fleet, "p0.gandhinagar", "is started", 1).await;
    in_order(fleet).await;
}

/// Both control services are gone as the first host has just begun: it ends what it began by itself, nobody else moves, and the change
/// goes on to its end once they are back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_nobody_to_ask_a_host_ends_what_it_began_and_no_other_begins() {
    let mut fleet = loaded(83, 2).await;
    let (own, new) = (fleet.add_program(&[]), fleet.add_program(b"\nversion 2"));
    start(&fleet, json!({"program": new}), plan()).await;
    let name = first_tried(&fleet, &new).await;
    fleet.controls.iter_mut().for_each(|c| c.process.as_mut().expect("it runs").kill());
    let n = alone(&fleet, &name, &new).await;
    let others = (0..fleet.proxies.len()).filter(|o| *o != n).flat_map(|o| fleet.running(o));
    assert!(others.map(|(_, program)| program).all(|p| p == own), "others moved with nobody to tell them");
    (0..2).for_each(|c| fleet.start_control(c));
    fleet.until("the change is done", |s| phase(s) == "done").await;
    all_run(&fleet, &new).await;
    assert_eq!((tried(&fleet, &new).len(), lost(&fleet)), (6, 0), "hosts, and requests lost at the door");
    in_order(fleet).await;
}

/// A machine is cut off from both control services as its new process comes up: it ends what it began, nobody else moves while it is
/// not heard, and once it is heard the change goes on to its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_machine_cut_off_in_the_midst_of_its_upgrade_is_waited_for() {
    let fleet = loaded(84, 2).await;
    let new = fleet.add_program(b"\nversion 2");
    start(&fleet, json!({"program": new}), plan()).await;
    let name = first_tried(&fleet, &new).await;
    let legs = ["ctl", "hst"].map(|kind| format!("{kind}:{name}:"));
    legs.iter().for_each(|leg| fleet.cut(leg));
    alone(&fleet, &name, &new).await;
    fleet.until("it is known to be cut off", |s| away(s) == 1).await;
    assert_eq!(tried(&fleet, &new), [name], "nobody else has moved");
    legs.iter().for_each(|leg| fleet.mend(leg));
    fleet.until("the change is done", |s| phase(s) == "done").await;
    all_run(&fleet, &new).await;
    assert_eq!((tried(&fleet, &new).len(), lost(&fleet)), (6, 0), "hosts, and requests lost at the door");
    in_order(fleet).await;
}

/// A machine that is down for the whole change comes back with the old version after its end: it is told what holds, and takes it by
/// hand-over, alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_machine_that_was_down_for_all_of_it_takes_the_new_version_when_it_comes() {
    let mut fleet = loaded(85, 2).await;
    let (own, new) = (fleet.add_program(&[]), fleet.add_program(b"\nversion 2"));
    let n = fleet.proxies.len() - 1;
    let name = fleet.proxies[n].name.clone();
    fleet.proxies[n].process.as_mut().expect("it runs").kill();
    let (pid, program) = fleet.running(n).remove(0);
    assert_eq!(program, own);
    fleet.kill_hosted(n, pid);
    let serving = |s: &Value| -> u64 {
        let of = |f: &Value| f["proxies"]["serving"].as_u64().unwrap_or(0);
        s["fleet"].as_array().map_or(0, |f| f.iter().map(of).sum())
    };
    fleet.until("one is known to be away", |s| serving(s) == 5).await;
    start(&fleet, json!({"program": new}), plan()).await;
    fleet.until("the change is done", |s| phase(s) == "done").await;
    assert!(!tried(&fleet, &new).contains(&name), "it is down");
    fleet.start_proxy(n);
    line(&fleet, &name, "told to run program", 1).await;
    all_run(&fleet, &new).await;
    let came_as = fleet.history.with(&format!("of program {} is started", &own[..8]));
    assert_eq!(came_as.iter().filter(|l| l.who == name).count(), 2, "as the old one first, both times");
    fleet.until("it is heard", |s| serving(s) == 6).await;
    in_order(fleet).await;
}

/// A whole data centre falls off the net in the midst of its upgrade: what began there ends by itself, nothing goes on anywhere, the
/// others serve, and once the data centre is back the change goes on to its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_data_centre_cut_off_in_the_midst_of_its_upgrade_is_waited_for() {
    let fleet = loaded(86, 2).await;
    let (own, new) = (fleet.add_program(&[]), fleet.add_program(b"\nversion 2"));
    start(&fleet, json!({"program": new}), plan()).await;
    let first = first_tried(&fleet, &new).await;
    let zone = fleet.proxies.iter().find(|p| p.name == first).expect("one of them").zone;
    let there =
        |f: &Fleet| -> Vec<usize> { (0..f.proxies.len()).filter(|n| f.proxies[*n].zone == zone).collect() };
    let legs: Vec<String> = there(&fleet)
        .into_iter()
        .flat_map(|n| ["ctl", "hst", "disc"].map(|kind| format!("{kind}:{}", fleet.proxies[n].name)))
        .collect();
    legs.iter().for_each(|leg| fleet.cut(leg));
    fleet.until("both there are known to be cut off", |s| away(s) == 2).await;
    let n = alone(&fleet, &first, &new).await;
    let others = (0..fleet.proxies.len()).filter(|o| *o != n).flat_map(|o| fleet.running(o));
    assert!(others.map(|(_, program)| program).all(|p| p == own), "others moved meanwhile");
    legs.iter().for_each(|leg| fleet.mend(leg));
    fleet.until("the change is done", |s| phase(s) == "done").await;
    all_run(&fleet, &new).await;
    assert_eq!((tried(&fleet, &new).len(), lost(&fleet)), (6, 0), "hosts, and requests lost at the door");
    in_order(fleet).await;
}

/// A machine that has the new version is cut off, and the change is taken back meanwhile: done with, as far as anybody hears. When it
/// is heard it has the new one still, and is told what holds: it goes back alone, by hand-over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_machine_that_comes_back_with_the_new_version_after_all_went_back_goes_back_too() {
    let fleet = loaded(87, 2).await;
    let (own, new) = (fleet.add_program(&[]), fleet.add_program(b"\nversion 2"));
    let mut long = plan();
    long["stages"] = json!([{"count": 1, "soak_s": 60.0}]);
    start(&fleet, json!({"program": new}), long).await;
    let first = first_tried(&fleet, &new).await;
    fleet.until("the first soaks", |s| phase(s) == "soaking").await;
    let legs = ["ctl", "hst"].map(|kind| format!("{kind}:{first}:"));
    legs.iter().for_each(|leg| fleet.cut(leg));
    fleet.until("it is known to be cut off", |s| away(s) == 1).await;
    let (status, said) = fleet.post("/v1/rollout/back", json!({"by": "ravi"})).await;
    assert_eq!(status, 200, "{said}");
    fleet.until("all that are heard have gone back", |s| phase(s) == "gone-back").await;
    let n = fleet.proxies.iter().position(|p| p.name == first).expect("one of them");
    assert!(fleet.running(n).iter().all(|(_, program)| *program == new), "nobody could tell it");
    legs.iter().for_each(|leg| fleet.mend(leg));
    all_run(&fleet, &own).await;
    assert_eq!((tried(&fleet, &new), lost(&fleet)), (vec![first], 0), "hosts, and requests lost at the door");
    in_order(fleet).await;
}

/// The first host that starts a program.
async fn first_tried(fleet: &Fleet, program: &str) -> String {
    let begin = Instant::now();
    loop {
        if let Some(name) = tried(fleet, program).first() {
            return name.clone();
        }
        assert!(begin.elapsed() < rushquay_fleet_harness::LONG, "{}", fleet.history.last(60));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until a proxy's host runs one process, of this program; the proxy's number.
async fn alone(fleet: &Fleet, name: &str, program: &str) -> usize {
    let begin = Instant::now();
    let n = fleet.proxies.iter().position(|p| p.name == name).expect("one of them");
    while fleet.running(n).len() != 1 || fleet.running(n)[0].1 != program {
        assert!(begin.elapsed() < rushquay_fleet_harness::LONG, "{}", fleet.history.last(60));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    n
}
