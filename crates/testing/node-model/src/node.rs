//! A node: what comes, waits, is worked on and goes out.

use crate::pressure::Pressure;
use crate::settings::nanos;
use crate::{Chance, DedupWindow, Mode, Nanos, NodeSettings, SettingsError, Timeline};
use rand::RngExt as _;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A request as a node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its number, never used twice at one node.
    pub id: u64,
    /// Its key.
    pub key: u64,
    /// It writes.
    pub write: bool,
    /// A repeat of a write with this token is dropped.
    pub token: Option<u64>,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served; from what was kept, or else from the origin.
    Served {
        /// It was kept.
        hit: bool,
        /// It ran, and was not dropped as a repeat.
        ran: bool,
    },
    /// The key is not here (aside).
    Missing,
    /// Turned away unseen: there was no room.
    Full,
    /// An error; it may have run.
    Error,
    /// The connection broke; it may have run.
    Reset,
}

/// What a node says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// An answer to this request.
    Answer(u64, Answer),
    /// This request needs the origin; [`Node::fetched`] tells what came of it.
    Fetch(Request),
    /// This request had its effect, whoever hears of it.
    Ran(u64),
    /// It fell over, pushed while cold: from here on nothing comes.
    Fell,
}

/// What a node said, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Out {
    /// When.
    pub at: Nanos,
    /// What.
    pub say: NodeEvent,
}

/// Something that happens to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The world stops for it until then: what comes waits at its door.
    Pause(Nanos),
    /// All work takes this multiple until changed again; 1: as ever.
    Slow(f64),
    /// This part of requests ends in errors.
    Errors(f64),
    /// This part of answers is lost with the connection.
    Resets(f64),
    /// This part of reads of what it keeps is taken for misses.
    FalseMisses(f64),
    /// It is gone: nothing is answered, and nothing refused.
    Vanish,
    /// A new process under the same id: all that is under way breaks, and nothing is kept.
    Restart,
}

/// What a node has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that came.
    pub came: u64,
    /// Turned away.
    pub full: u64,
    /// Reads that found their key.
    pub hits: u64,
    /// Reads that didn't.
    pub misses: u64,
    /// Of these, keys that were there.
    pub false_misses: u64,
    /// Answers that nobody waited for any more.
    pub late: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Looked for.
    Looking,
    /// What came from the origin is worked on.
    Passing { well: bool },
}

struct Running {
    job: Request,
    stage: Stage,
    hit: bool,
    /// Its client has gone.
    left: bool,
}

enum Due {
    /// A core is done with this request.
    Done(u64),
    /// A pause is over.
    Resume,
}

/// A node.
pub struct Node {
    settings: NodeSettings,
    started: Nanos,
    kept: Option<DedupWindow>,
    due: Timeline<Due>,
    running: BTreeMap<u64, Running>,
    /// Waiting for the origin.
    fetching: BTreeMap<u64, Running>,
    waiting: VecDeque<(Request, Stage, bool)>,
    /// At its door while it is paused.
    door: VecDeque<Request>,
    tokens: HashMap<u64, Nanos>,
    pressure: Option<Pressure>,
    paused_until: Nanos,
    down: bool,
    slow: f64,
    errors: f64,
    resets: f64,
    false_misses: f64,
    done: u64,
    counts: Counts,
}

impl Node {
    /// A node that started at this time; one that started long ago is warm and keeps nothing yet.
    ///
    /// # Errors
    /// Settings out of range.
    pub fn new(settings: NodeSettings, started: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let kept = settings.kept.map(|k| DedupWindow::new(k.keys, nanos(k.lasts_ms)));
        let pressure = settings.fall.map(|f| Pressure::new(nanos(f.for_ms)));
        let false_misses = settings.false_misses;
        Ok(Node {
            settings,
            started,
            kept,
            due: Timeline::default(),
            running: BTreeMap::new(),
            fetching: BTreeMap::new(),
            waiting: VecDeque::new(),
            door: VecDeque::new(),
            tokens: HashMap::new(),
            pressure,
            paused_until: 0,
            down: false,
            slow: 1.0,
            errors: 0.0,
            resets: 0.0,
            false_misses,
            done: 0,
            counts: Counts::default(),
        })
    }

    /// What it has done.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// When its process started.
    pub fn started(&self) -> Nanos {
        self.started
    }

    /// Whether it has fallen over or vanished.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Requests that are worked on, wait, or wait for the origin.
    pub fn inside(&self) -> usize {
        self.running.len() + self.fetching.len() + self.waiting.len() + self.door.len()
    }

    /// What it keeps, for a scenario that begins warm.
    pub fn keep(&mut self, key: u64, now: Nanos) {
        if let Some(kept) = &mut self.kept {
            kept.store(key, now);
        }
    }

    /// The part of its speed that it has at this time.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let Some(cold) = &self.settings.cold else { return 1.0 };
        if self.started == 0 {
            return 1.0;
        }
        let by_time = now.saturating_sub(self.started) as f64 / nanos(cold.for_ms).max(1) as f64;
        let by_work = if cold.work == 0 { 0.0 } else { self.done as f64 / cold.work as f64 };
        (cold.from + (1.0 - cold.from) * by_time.max(by_work)).min(1.0)
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Nanos> {
        self.due.next()
    }

    /// Lets all happen that is due by now.
    pub fn advance(&mut self, now: Nanos, chance: &mut Chance, out: &mut Vec<Out>) {
        while let Some((at, due)) = self.due.take(now) {
            match due {
                Due::Resume if at >= self.paused_until && !self.down => {
                    for job in std::mem::take(&mut self.door) {
                        self.take(at, job, chance, out);
                    }
                }
                Due::Resume => {}
                // A pause holds what is worked on as well.
                Due::Done(id) if at < self.paused_until => self.due.put(self.paused_until, Due::Done(id)),
                Due::Done(id) => self.finished(at, id, chance, out),
            }
        }
    }

    /// A request has come.
    pub fn arrive(&mut self, now: Nanos, job: Request, chance: &mut Chance, out: &mut Vec<Out>) {
        self.advance(now, chance, out);
        self.counts.came += 1;
        if self.down {
            return;
        }
        if now < self.paused_until {
            self.door.push_back(job);
            return;
        }
        self.take(now, job, chance, out);
    }

    fn take(&mut self, now: Nanos, job: Request, chance: &mut Chance, out: &mut Vec<Out>) {
        if self.pushed_over(now) {
            self.vanish();
            out.push(Out { at: now, say: NodeEvent::Fell });
            return;
        }
        if self.running.len() < self.settings.cores {
            self.begin(now, job, Stage::Looking, false, chance);
        } else if self.waiting.len() < self.settings.waiting {
            self.waiting.push_back((job, Stage::Looking, false));
        } else {
            self.counts.full += 1;
            out.push(Out { at: now, say: NodeEvent::Answer(job.id, Answer::Full) });
        }
    }

    /// All that comes counts, also what is turned away.
    fn pushed_over(&mut self, now: Nanos) -> bool {
        let warmth = self.warmth(now);
        let (Some(fall), Some(pressure)) = (&self.settings.fall, &mut self.pressure) else { return false };
        let capacity = self.settings.cores as f64 * self.settings.speed * warmth;
        let over = pressure.came(now, self.settings.work.mean(), capacity);
        warmth < 1.0 && over.is_some_and(|multiple| multiple > fall.multiple)
    }

    fn begin(&mut self, now: Nanos, job: Request, stage: Stage, left: bool, chance: &mut Chance) {
        let work = match stage {
            Stage::Looking => self.settings.work.draw(chance),
            Stage::Passing { .. } => self.settings.fetched_work.draw(chance),
        };
        let speed = self.settings.speed * self.warmth(now);
        let takes = (work as f64 * self.slow / speed) as Nanos;
        self.due.put(now.saturating_add(takes), Due::Done(job.id));
        self.running.insert(job.id, Running { job, stage, hit: false, left });
    }

    fn finished(&mut self, now: Nanos, id: u64, chance: &mut Chance, out: &mut Vec<Out>) {
        let Some(mut running) = self.running.remove(&id) else { return };
        self.done += 1;
        match running.stage {
            Stage::Looking => {
                let there = self.looked(now, &running.job, chance);
                running.hit = there;
                if there || self.settings.mode == Mode::All {
                    let answer = self.answered(now, &running, chance, out);
                    self.say(now, &running, answer, out);
                } else if self.settings.mode == Mode::Aside {
                    self.say(now, &running, Answer::Missing, out);
                } else {
                    out.push(Out { at: now, say: NodeEvent::Fetch(running.job) });
                    self.fetching.insert(id, running);
                }
            }
            Stage::Passing { well } => {
                let answer = if well { self.answered(now, &running, chance, out) } else { Answer::Error };
                self.say(now, &running, answer, out);
            }
        }
        if let Some((job, stage, left)) = self.waiting.pop_front() {
            self.begin(now, job, stage, left, chance);
        }
    }

    fn say(&mut self, now: Nanos, running: &Running, answer: Answer, out: &mut Vec<Out>) {
        if running.left {
            // It was worked on for nobody.
            self.counts.late += 1;
        } else {
            out.push(Out { at: now, say: NodeEvent::Answer(running.job.id, answer) });
        }
    }

    /// Whether a read finds its key. Writes go to where the value is.
    fn looked(&mut self, now: Nanos, job: &Request, chance: &mut Chance) -> bool {
        if job.write || self.settings.mode == Mode::All {
            return false;
        }
        let there = self.kept.as_mut().is_some_and(|kept| kept.has(job.key, now));
        let missed = there && chance.random::<f64>() < self.false_misses;
        self.counts.false_misses += u64::from(missed);
        let found = there && !missed;
        self.counts.hits += u64::from(found);
        self.counts.misses += u64::from(!found);
        found
    }

    fn answered(&mut self, now: Nanos, running: &Running, chance: &mut Chance, out: &mut Vec<Out>) -> Answer {
        if chance.random::<f64>() < self.errors {
            return Answer::Error;
        }
        let job = &running.job;
        let lasts = nanos(self.settings.remembers_ms);
        self.tokens.retain(|_, at| now.saturating_sub(*at) < lasts);
        let ran = match job.token.filter(|_| job.write) {
            Some(token) if self.tokens.contains_key(&token) => false,
            Some(token) => self.tokens.insert(token, now).is_none(),
            None => true,
        };
        if ran {
            out.push(Out { at: now, say: NodeEvent::Ran(job.id) });
        }
        match chance.random::<f64>() < self.resets {
            true => Answer::Reset,
            false => Answer::Served { hit: running.hit, ran },
        }
    }

    /// What the origin said of a request that needed it.
    pub fn fetched(&mut self, now: Nanos, id: u64, well: bool, chance: &mut Chance, out: &mut Vec<Out>) {
        self.advance(now, chance, out);
        let Some(running) = self.fetching.remove(&id) else { return };
        if let (true, Some(kept)) = (well, &mut self.kept) {
            // Danger: a value that was written must not be read as it was before.
            kept.store(running.job.key, now);
        }
        let stage = Stage::Passing { well };
        if self.running.len() < self.settings.cores {
            self.begin(now, running.job, stage, running.left, chance);
        } else {
            // It has been let in already.
            self.waiting.push_front((running.job, stage, running.left));
        }
    }

    /// The client of a request has gone. What waits is dropped; what is worked on goes on for nobody.
    pub fn left(&mut self, id: u64) {
        self.waiting.retain(|(job, ..)| job.id != id);
        self.door.retain(|job| job.id != id);
        for running in self.running.get_mut(&id).into_iter().chain(self.fetching.get_mut(&id)) {
            running.left = true;
        }
    }

    /// Something happens to it.
    pub fn fault(&mut self, now: Nanos, fault: Fault, chance: &mut Chance, out: &mut Vec<Out>) {
        self.advance(now, chance, out);
        match fault {
            Fault::Pause(until) => {
                self.paused_until = self.paused_until.max(until);
                self.due.put(self.paused_until, Due::Resume);
            }
            Fault::Slow(multiple) => self.slow = multiple.max(0.0),
            Fault::Errors(part) => self.errors = part,
            Fault::Resets(part) => self.resets = part,
            Fault::FalseMisses(part) => self.false_misses = part,
            Fault::Vanish => self.vanish(),
            Fault::Restart => {
                let inside = self.running.keys().chain(self.fetching.keys()).copied();
                let inside = inside.chain(self.waiting.iter().map(|(job, ..)| job.id));
                let broken: Vec<u64> = inside.chain(self.door.iter().map(|job| job.id)).collect();
                out.extend(
                    broken.into_iter().map(|id| Out { at: now, say: NodeEvent::Answer(id, Answer::Reset) }),
                );
                self.vanish();
                (self.down, self.started, self.done, self.paused_until) = (false, now, 0, 0);
                self.kept.iter_mut().for_each(DedupWindow::clear);
                self.tokens.clear();
                self.pressure = self.settings.fall.map(|f| Pressure::new(nanos(f.for_ms)));
            }
        }
    }

    fn vanish(&mut self) {
        self.down = true;
        self.due.clear();
        self.running.clear();
        self.fetching.clear();
        self.waiting.clear();
        self.door.clear();
    }
}
