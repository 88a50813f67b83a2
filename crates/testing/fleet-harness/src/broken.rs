//! What is broken in a fleet now, so that it can be mended: for plays in which faults are drawn.

use crate::Fleet;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Something that may be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// A proxy is stopped where it is.
    Stopped,
    /// A proxy is killed.
    Killed,
    /// A proxy's links to the control services are cut.
    Unheard,
    /// A node can't be reached.
    Node,
    /// A control service is stopped or killed, one at a time.
    Control,
}

/// What is broken.
#[derive(Default)]
pub struct Broken {
    stopped: Vec<usize>,
    down: Vec<usize>,
    cut: Vec<String>,
    control: Option<usize>,
}

impl Broken {
    /// Mends all of it.
    ///
    /// # Panics
    /// What was stopped has ended.
    pub fn mend(&mut self, fleet: &mut Fleet) {
        for n in self.stopped.drain(..) {
            fleet.proxies[n].process.as_mut().expect("it is stopped").wake();
        }
        for n in self.down.drain(..) {
            fleet.start_proxy(n);
        }
        self.cut.drain(..).for_each(|leg| fleet.mend(&leg));
        if let Some(n) = self.control.take() {
            match &mut fleet.controls[n].process {
                Some(process) if process.is_stopped() => process.wake(),
                _ => fleet.start_control(n),
            }
        }
    }

    /// Breaks one of these parts that is whole; where the one that is drawn is broken already, nothing more.
    ///
    /// # Panics
    /// A process that should run does not.
    pub fn one_more(&mut self, fleet: &mut Fleet, parts: &[Part], random: &mut Pcg64Mcg) {
        let proxy = random.random_range(0..fleet.proxies.len());
        let name = fleet.proxies[proxy].name.clone();
        let whole = !self.stopped.contains(&proxy) && !self.down.contains(&proxy);
        match parts[random.random_range(0..parts.len())] {
            Part::Stopped if whole => {
                fleet.proxies[proxy].process.as_mut().expect("it runs").stop();
                self.stopped.push(proxy);
            }
            Part::Killed if whole => {
                fleet.proxies[proxy].process.as_mut().expect("it runs").kill();
                self.down.push(proxy);
            }
            Part::Unheard => self.cut(fleet, format!("ctl:{name}:")),
            Part::Node => {
                let node = random.random_range(0..fleet.nodes.len() - 1);
                let leg = format!("node:{}", fleet.nodes[node].1.id);
                self.cut(fleet, leg);
            }
            Part::Control if self.control.is_none() => {
                let n = random.random_range(0..fleet.controls.len());
                let process = fleet.controls[n].process.as_mut().expect("it runs");
                match random.random::<bool>() {
                    true => process.stop(),
                    false => process.kill(),
                }
                self.control = Some(n);
            }
            _ => {}
        }
    }

    fn cut(&mut self, fleet: &Fleet, leg: String) {
        if !self.cut.contains(&leg) {
            fleet.cut(&leg);
            self.cut.push(leg);
        }
    }
}

/// A number that the environment tells, or the usual one: how long a play is, and its seed.
pub fn told(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}
