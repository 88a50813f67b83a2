//! A machine between two played ends, in virtual time: reads are cut as the caller says.
#![allow(dead_code, reason = "each test file uses a part of it")]

use rushquay_fault_injection::{
    Connection, Cut, Direction, Nanos, Performed, Plan, RuleSet, Script, Trace, Transmit, MILLI,
};

/// What came of a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Bytes at the target and at who connected.
    pub out: [Vec<u8>; 2],
    /// Which directions were ended in order.
    pub ended: [bool; 2],
    pub cut: Option<Cut>,
    pub performed: Vec<Performed>,
}

/// Numbers that say how reads and writes are cut, used round and round.
pub struct Pieces(pub Vec<usize>, pub usize);

impl Pieces {
    pub fn next(&mut self) -> usize {
        self.1 += 1;
        self.0[self.1 % self.0.len()].max(1)
    }
}

pub fn rules(text: &str) -> RuleSet {
    let script = Script::parse(text).unwrap_or_else(|e| panic!("{e}"));
    RuleSet::new(script.seed, script.rules)
}

pub fn fresh(rules: &RuleSet, ordinal: u64) -> Connection {
    Connection::new("l", ordinal, rules, 0)
}

pub fn again(performed: &[Performed], ordinal: u64) -> Connection {
    let trace = Trace { seed: 1, performed: performed.to_vec() };
    let read = Trace::parse(&trace.text()).expect("a trace");
    assert_eq!(read, trace);
    Connection::replay("l", ordinal, &Plan::new(read.performed), false, 0)
}

/// All of `up` goes, then all of `down`, as one answers the other, each cut into pieces; each step takes `step` of time.
pub fn drive(mut c: Connection, up: &[u8], down: &[u8], pieces: &mut Pieces, step: Nanos) -> Run {
    let mut run = Run::default();
    let mut now = 0;
    let inputs = [up, down];
    let mut taken = [0; 2];
    for _ in 0..2_000_000 {
        now += step;
        c.tick(now);
        let mut moved = false;
        for lane in Direction::BOTH {
            let i = lane as usize;
            // The answer begins once the question has gone through.
            let may = lane == Direction::Up || taken[0] == up.len();
            let n = pieces.next().min(c.wants(lane)).min(inputs[i].len() - taken[i]);
            if may && n > 0 {
                let n = c.offer(lane, &inputs[i][taken[i]..taken[i] + n], now);
                taken[i] += n;
                moved |= n > 0;
                if taken[i] == inputs[i].len() && lane == Direction::Down {
                    c.ended(Direction::Down, now);
                }
            }
            loop {
                let n = match c.transmit(lane, now) {
                    Transmit::Write(bytes) => {
                        let n = bytes.len().min(pieces.next());
                        run.out[i].extend_from_slice(&bytes[..n]);
                        n
                    }
                    Transmit::Finish => {
                        run.ended[i] = true;
                        c.finished(lane);
                        moved = true;
                        continue;
                    }
                    Transmit::Nothing => break,
                };
                c.sent(lane, n, now);
                moved = true;
            }
        }
        c.settle();
        if c.cut().is_some() {
            break;
        }
        match c.wake() {
            _ if moved => {}
            Some(at) => now = now.max(at),
            None => break,
        }
    }
    run.cut = c.cut();
    run.performed = c.take_performed();
    // In which order the two directions got to their places is a matter of the clock, and of nothing that is promised.
    run.performed.sort_by_key(|p| p.lane as usize);
    run
}

/// In one go.
pub fn whole(c: Connection, up: &[u8], down: &[u8]) -> Run {
    drive(c, up, down, &mut Pieces(vec![1 << 20], 0), MILLI)
}
