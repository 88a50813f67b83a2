//! Simulation of instances with clock drift, long pauses, and a store that responds late or not at all: never do two lead at a time, and
//! each leader's epoch is higher than all before it.

use rushquay_lease::{Action, Elector, Epoch, Fence, LeaseTerms, Nanos, Role, SECOND};

/// The store, in true time.
#[derive(Default)]
struct Store {
    epoch: u64,
    holder: Option<(usize, Nanos)>,
}

struct Instance {
    elector: Elector,
    /// How much its clock runs fast, in parts per thousand.
    drift: i64,
    paused_until: Nanos,
    /// A response in flight: when it arrives, and what it contains.
    response: Option<(Nanos, Response)>,
}

#[derive(Clone, Copy)]
enum Response {
    Won(u64, Nanos),
    Taken,
    Renewed(Nanos),
    Fenced,
    Lost,
}

impl Instance {
    fn clock(&self, now: Nanos) -> Nanos {
        (now as i64 + now as i64 / 1000 * self.drift) as Nanos
    }
}

fn simulate(seed: u64) -> (u64, Nanos) {
    let mut random = fastrand::Rng::with_seed(seed);
    let terms = LeaseTerms::of(5 * SECOND).expect("terms");
    let mut store = Store::default();
    let mut instances: Vec<Instance> = (0..3)
        .map(|_| Instance {
            elector: Elector::new(terms),
            drift: random.i64(-45..=45),
            paused_until: 0,
            response: None,
        })
        .collect();
    let (mut fence, mut leaderless, mut last) = (Fence::default(), 0, 0);
    let step = SECOND / 50;
    for now in (0..600 * SECOND).step_by(step as usize) {
        for (i, one) in instances.iter_mut().enumerate() {
            if now < one.paused_until {
                continue;
            }
            if random.u32(0..8000) == 0 {
                one.paused_until = now + random.u64(1..180) * SECOND;
                continue;
            }
            let clock = one.clock(now);
            if let Some((when, response)) = one.response {
                if now < when {
                    if one.elector.act(clock) == Action::StepDown {
                        one.elector.lost(clock);
                    }
                    continue;
                }
                one.response = None;
                match response {
                    Response::Won(epoch, sent) => drop(one.elector.won(Epoch(epoch), sent, clock)),
                    Response::Taken => one.elector.beaten(None, clock),
                    Response::Renewed(sent) => one.elector.renewed(sent),
                    Response::Fenced => one.elector.lost(clock),
                    Response::Lost => one.elector.unknown(clock),
                }
            }
            let free = store.holder.is_none_or(|(_, until)| until <= now);
            // Some requests and some responses are lost.
            let (request_arrives, response_arrives) = (random.u32(0..20) > 0, random.u32(0..20) > 0);
            let after = now + random.u64(0..SECOND);
            let action = one.elector.act(clock);
            let response = match action {
                Action::Wait(_) => continue,
                Action::StepDown => {
                    one.elector.lost(clock);
                    continue;
                }
                Action::Campaign if request_arrives && free => {
                    store.epoch += 1;
                    store.holder = Some((i, now + terms.ttl));
                    Response::Won(store.epoch, clock)
                }
                Action::Campaign => Response::Taken,
                Action::Renew if request_arrives => match &one.elector.role() {
                    Role::Leader { epoch, .. } if epoch.0 == store.epoch && !free => {
                        store.holder = Some((i, now + terms.ttl));
                        Response::Renewed(clock)
                    }
                    _ => Response::Fenced,
                },
                Action::Renew => Response::Lost,
            };
            one.response = Some((after, if response_arrives { response } else { Response::Lost }));
        }
        // The instances that would act as the leader now, paused or not: a pause ends at any instruction.
        let leaders: Vec<(usize, Epoch)> = instances
            .iter()
            .enumerate()
            .filter_map(|(i, one)| Some((i, one.elector.leads(one.clock(now))?)))
            .collect();
        assert!(leaders.len() <= 1, "seed {seed}: at {now} lead {leaders:?}");
        match leaders.first() {
            Some((_, epoch)) => {
                fence.pass(*epoch).unwrap_or_else(|e| panic!("seed {seed}: at {now}: {e}"));
                last = now;
            }
            // No instance can lead while all are paused.
            None if instances.iter().all(|one| now < one.paused_until) => last = now,
            None => leaderless = leaderless.max(now - last),
        }
    }
    (store.epoch, leaderless)
}

#[test]
fn at_most_one_instance_leads_and_epochs_increase() {
    let (mut epochs, mut longest) = (0, 0);
    for seed in 0..60 {
        let (won, leaderless) = simulate(seed);
        epochs += won;
        longest = longest.max(leaderless);
    }
    // The simulation is rough enough to be meaningful, and a standby takes over in the end.
    assert!(epochs > 200, "only {epochs} leases were won");
    assert!(longest < 60 * SECOND, "{} s without a leader", longest / SECOND);
}
