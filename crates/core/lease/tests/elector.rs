//! Instances with clocks that drift, a store that answers late or not at all, and pauses of minutes: never do two lead at
//! a time, and each leader's epoch is higher than all before it.

use rushquay_lease::{Action, Elector, Epoch, Fence, LeaseTerms, Nanos, Role, SECOND};

/// The store, on true time.
#[derive(Default)]
struct Store {
    epoch: u64,
    holder: Option<(usize, Nanos)>,
}

struct Instance {
    elector: Elector,
    /// Its clock runs this much fast, in parts of a thousand.
    drift: i64,
    paused_until: Nanos,
    /// An answer under way: when it comes, and what it says.
    answer: Option<(Nanos, Answer)>,
}

#[derive(Clone, Copy)]
enum Answer {
    Won(u64, Nanos),
    Taken,
    Renewed(Nanos),
    Fenced,
    Silence,
}

impl Instance {
    fn clock(&self, now: Nanos) -> Nanos {
        (now as i64 + now as i64 / 1000 * self.drift) as Nanos
    }
}

fn play(seed: u64) -> (u64, Nanos) {
    let mut random = fastrand::Rng::with_seed(seed);
    let terms = LeaseTerms::of(5 * SECOND).expect("terms");
    let mut store = Store::default();
    let mut instances: Vec<Instance> = (0..3)
        .map(|_| Instance {
            elector: Elector::new(terms),
            drift: random.i64(-45..=45),
            paused_until: 0,
            answer: None,
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
            if let Some((when, answer)) = one.answer {
                if now < when {
                    if one.elector.act(clock) == Action::StepDown {
                        one.elector.lost(clock);
                    }
                    continue;
                }
                one.answer = None;
                match answer {
                    Answer::Won(epoch, asked) => drop(one.elector.won(Epoch(epoch), asked, clock)),
                    Answer::Taken => one.elector.beaten(None, clock),
                    Answer::Renewed(asked) => one.elector.renewed(asked),
                    Answer::Fenced => one.elector.lost(clock),
                    Answer::Silence => one.elector.unknown(clock),
                }
            }
            let free = store.holder.is_none_or(|(_, until)| until <= now);
            // Some questions never arrive, and some answers never do.
            let (heard, comes) = (random.u32(0..20) > 0, random.u32(0..20) > 0);
            let after = now + random.u64(0..SECOND);
            let act = one.elector.act(clock);
            let answer = match act {
                Action::Wait(_) => continue,
                Action::StepDown => {
                    one.elector.lost(clock);
                    continue;
                }
                Action::Campaign if heard && free => {
                    store.epoch += 1;
                    store.holder = Some((i, now + terms.ttl));
                    Answer::Won(store.epoch, clock)
                }
                Action::Campaign => Answer::Taken,
                Action::Renew if heard => match &one.elector.role() {
                    Role::Leader { epoch, .. } if epoch.0 == store.epoch && !free => {
                        store.holder = Some((i, now + terms.ttl));
                        Answer::Renewed(clock)
                    }
                    _ => Answer::Fenced,
                },
                Action::Renew => Answer::Silence,
            };
            one.answer = Some((after, if comes { answer } else { Answer::Silence }));
        }
        // Who would speak now, paused or not: a pause ends at any instruction.
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
            // Nobody can lead while all are paused.
            None if instances.iter().all(|one| now < one.paused_until) => last = now,
            None => leaderless = leaderless.max(now - last),
        }
    }
    (store.epoch, leaderless)
}

#[test]
fn never_do_two_lead_at_a_time_and_epochs_only_grow() {
    let (mut epochs, mut longest) = (0, 0);
    for seed in 0..60 {
        let (won, leaderless) = play(seed);
        epochs += won;
        longest = longest.max(leaderless);
    }
    // The worlds are rough enough to tell something, and somebody takes over in the end.
    assert!(epochs > 200, "only {epochs} leases were won");
    assert!(longest < 60 * SECOND, "{} s without a leader", longest / SECOND);
}
