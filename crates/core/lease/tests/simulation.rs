//! Simulates instances with drifting clocks and long pauses, and a store that responds late or not at all. At most one instance leads at any
//! time, and each leader's epoch is higher than all earlier ones.

use rushquay_lease::{Action, Elector, Epoch, Fence, LeaseTerms, Nanos, Role, SECOND};

/// The store that grants the lease; its times are true time, without drift.
#[derive(Default)]
struct Store {
    epoch: u64,
    /// The instance that holds the lease, and when the lease expires.
    holder: Option<(usize, Nanos)>,
}

struct Instance {
    elector: Elector,
    /// Rate error of its clock, in parts per thousand; positive: fast.
    drift_per_mille: i64,
    paused_until: Nanos,
    /// A response in flight, with its time of arrival.
    response: Option<(Nanos, Response)>,
}

#[derive(Clone, Copy)]
enum Response {
    Won(u64, Nanos),
    HeldByOther,
    Renewed(Nanos),
    Fenced,
    Lost,
}

impl Instance {
    fn clock(&self, now: Nanos) -> Nanos {
        (now as i64 + now as i64 / 1000 * self.drift_per_mille) as Nanos
    }
}

/// Returns the number of leases granted, and the longest time without a leader.
fn simulate(seed: u64) -> (u64, Nanos) {
    let mut random = fastrand::Rng::with_seed(seed);
    let terms = LeaseTerms::from_ttl(5 * SECOND).expect("terms");
    let mut store = Store::default();
    let mut instances: Vec<Instance> = (0..3)
        .map(|_| Instance {
            elector: Elector::new(terms),
            drift_per_mille: random.i64(-45..=45),
            paused_until: 0,
            response: None,
        })
        .collect();
    let (mut fence, mut max_leaderless, mut last_led_at) = (Fence::default(), 0, 0);
    let step = SECOND / 50;
    for now in (0..600 * SECOND).step_by(step as usize) {
        for (i, instance) in instances.iter_mut().enumerate() {
            if now < instance.paused_until {
                continue;
            }
            if random.u32(0..8000) == 0 {
                instance.paused_until = now + random.u64(1..180) * SECOND;
                continue;
            }
            let clock = instance.clock(now);
            if let Some((arrives_at, response)) = instance.response {
                if now < arrives_at {
                    if instance.elector.next_action(clock) == Action::StepDown {
                        instance.elector.lease_lost(clock);
                    }
                    continue;
                }
                instance.response = None;
                match response {
                    Response::Won(epoch, sent) => drop(instance.elector.granted(Epoch(epoch), sent, clock)),
                    Response::HeldByOther => instance.elector.lease_held_by_other(None, clock),
                    Response::Renewed(sent) => instance.elector.lease_renewed(sent),
                    Response::Fenced => instance.elector.lease_lost(clock),
                    Response::Lost => instance.elector.store_unavailable(clock),
                }
            }
            let is_free = store.holder.is_none_or(|(_, expires_at)| expires_at <= now);
            // Some requests and some responses are lost.
            let (request_arrives, response_arrives) = (random.u32(0..20) > 0, random.u32(0..20) > 0);
            let arrives_at = now + random.u64(0..SECOND);
            let action = instance.elector.next_action(clock);
            let response = match action {
                Action::Wait(_) => continue,
                Action::StepDown => {
                    instance.elector.lease_lost(clock);
                    continue;
                }
                Action::Campaign if request_arrives && is_free => {
                    store.epoch += 1;
                    store.holder = Some((i, now + terms.ttl));
                    Response::Won(store.epoch, clock)
                }
                Action::Campaign => Response::HeldByOther,
                Action::Renew if request_arrives => match &instance.elector.role() {
                    Role::Leader { epoch, .. } if epoch.0 == store.epoch && !is_free => {
                        store.holder = Some((i, now + terms.ttl));
                        Response::Renewed(clock)
                    }
                    _ => Response::Fenced,
                },
                Action::Renew => Response::Lost,
            };
            instance.response = Some((arrives_at, if response_arrives { response } else { Response::Lost }));
        }
        // Paused instances count too: a pause may end at any instruction, and the instance would then act as the leader.
        let leaders: Vec<(usize, Epoch)> = instances
            .iter()
            .enumerate()
            .filter_map(|(i, instance)| Some((i, instance.elector.leader_epoch(instance.clock(now))?)))
            .collect();
        assert!(leaders.len() <= 1, "seed {seed}: several leaders at {now}: {leaders:?}");
        match leaders.first() {
            Some((_, epoch)) => {
                fence.check(*epoch).unwrap_or_else(|e| panic!("seed {seed}: at {now}: {e}"));
                last_led_at = now;
            }
            // No instance can lead while all are paused.
            None if instances.iter().all(|instance| now < instance.paused_until) => last_led_at = now,
            None => max_leaderless = max_leaderless.max(now - last_led_at),
        }
    }
    (store.epoch, max_leaderless)
}

#[test]
fn at_most_one_instance_leads_and_epochs_increase() {
    let (mut leases_won, mut max_leaderless) = (0, 0);
    for seed in 0..60 {
        let (won, leaderless) = simulate(seed);
        leases_won += won;
        max_leaderless = max_leaderless.max(leaderless);
    }
    // Enough changes of the leader for the simulation to be meaningful, and a standby always takes over eventually.
    assert!(leases_won > 200, "only {leases_won} leases were won");
    assert!(max_leaderless < 60 * SECOND, "{} s without a leader", max_leaderless / SECOND);
}
