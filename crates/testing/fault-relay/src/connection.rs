//! One relayed connection: two sockets, and the machine that says what passes.

use crate::shared::{Command, Joined, Shared};
use crate::tap::Passage;
use rushquay_fault_injection::{Connection, Cut, Direction, Opening, Transmit};
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};

/// Read in one go.
const PART: usize = 16 << 10;
/// A target that does not answer a connect for so long never will.
const CONNECT: Duration = Duration::from_secs(10);
/// For so long what still comes is read after an ending in order. Danger: a socket that is closed with bytes unread
/// resets its connection.
const LINGER: Duration = Duration::from_secs(2);

/// What was read and is not yet taken by the machine.
struct Pending {
    data: Box<[u8; PART]>,
    from: usize,
    to: usize,
}

impl Pending {
    fn new() -> Self {
        Pending { data: Box::new([0; PART]), from: 0, to: 0 }
    }

    fn is_empty(&self) -> bool {
        self.from == self.to
    }
}

/// How a connection was left.
enum Left {
    /// Both directions have ended.
    Done,
    /// As the machine says.
    Cut(Cut),
    /// An end has broken off.
    Broken,
}

pub async fn run(
    listener: Arc<str>,
    ordinal: u64,
    near: TcpStream,
    peer: SocketAddr,
    target: SocketAddr,
    shared: Arc<Shared>,
) {
    let (mut machine, mut joined) = shared.begin(&listener, ordinal, peer);
    shared.note(machine.take_performed());
    let relayed = async {
        match machine.opening() {
            Opening::Refuse => return reset(near),
            Opening::Stall => return silent(near, None, &mut joined).await,
            Opening::Lead(0) => {}
            Opening::Lead(wait) => tokio::time::sleep(Duration::from_nanos(wait)).await,
        }
        let Ok(Ok(far)) = timeout(CONNECT, TcpStream::connect(target)).await else { return reset(near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let mut relay = Relaying {
            near,
            far,
            machine: &mut machine,
            joined: &mut joined,
            shared: &shared,
            listener: &listener,
            ordinal,
        };
        let left = relay.run().await;
        let Relaying { near, far, .. } = relay;
        match left {
            Left::Done => {}
            Left::Broken | Left::Cut(Cut::Rst) => {
                reset(near);
                reset(far);
            }
            Left::Cut(Cut::Fin) => {
                tokio::join!(finish(&near), finish(&far));
            }
            Left::Cut(Cut::Silence) => silent(near, Some(far), &mut joined).await,
        }
    };
    tokio::select! {
        () = relayed => {}
        () = shared.over() => {}
    }
    shared.note(machine.take_performed());
    let left: Vec<u64> = machine.take_passed().into_iter().chain(machine.turns_left()).collect();
    shared.took(left);
}

fn reset(socket: TcpStream) {
    let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
}

/// Ends a connection in order, whatever its peer still sends.
async fn finish(socket: &TcpStream) {
    let _ = SockRef::from(socket).shutdown(Shutdown::Write);
    let mut sink = [0; 1024];
    let drained = async {
        while socket.readable().await.is_ok() {
            match socket.try_read(&mut sink) {
                Ok(0) => return,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    let _ = timeout(LINGER, drained).await;
}

/// Says and reads nothing until the peers have given up, or a command ends it.
async fn silent(near: TcpStream, far: Option<TcpStream>, joined: &mut Joined<'_>) {
    let given_up = async {
        // Of all interests this one wakes for a closed read side and not for bytes.
        let _ = near.ready(Interest::PRIORITY).await;
        if let Some(far) = &far {
            let _ = far.ready(Interest::PRIORITY).await;
        }
        Cut::Rst
    };
    let cut = async {
        loop {
            match joined.told.recv().await {
                Some(Command::Cut(how)) if how != Cut::Silence => return how,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    };
    let how = tokio::select! { how = given_up => how, how = cut => how };
    for socket in [Some(near), far].into_iter().flatten() {
        match how {
            Cut::Fin => finish(&socket).await,
            _ => reset(socket),
        }
    }
}

struct Relaying<'a, 'b> {
    near: TcpStream,
    far: TcpStream,
    machine: &'a mut Connection,
    joined: &'a mut Joined<'b>,
    shared: &'a Shared,
    listener: &'a str,
    ordinal: u64,
}

impl Relaying<'_, '_> {
    /// Where a direction's bytes come from.
    fn source(&self, lane: Direction) -> &TcpStream {
        match lane {
            Direction::Up => &self.near,
            Direction::Down => &self.far,
        }
    }

    async fn run(&mut self) -> Left {
        let mut pending = [Pending::new(), Pending::new()];
        // Whether the source may have something, and whether it has ended.
        let (mut ended, mut blocked) = ([false; 2], [false; 2]);
        loop {
            let now = self.shared.now();
            self.machine.tick(now);
            let mut moved = false;
            for lane in Direction::BOTH {
                let i = lane as usize;
                match self.write(lane, &mut blocked[i]) {
                    Ok(wrote) => moved |= wrote,
                    Err(_) => return Left::Broken,
                }
                if self.machine.cut().is_some() {
                    break;
                }
                let p = &mut pending[i];
                if !p.is_empty() {
                    let taken = self.machine.offer(lane, &p.data[p.from..p.to], self.shared.now());
                    p.from += taken;
                    moved |= taken > 0;
                }
                if p.is_empty() && !ended[i] && self.machine.wants(lane) > 0 {
                    match self.read(lane, p) {
                        Ok(Some(0)) => {
                            ended[i] = true;
                            moved = true;
                        }
                        Ok(Some(_)) => moved = true,
                        Ok(None) => {}
                        Err(_) => return Left::Broken,
                    }
                }
                if p.is_empty() && ended[i] {
                    self.machine.ended(lane, self.shared.now());
                }
            }
            self.machine.settle();
            self.report();
            if let Some(how) = self.machine.cut() {
                return Left::Cut(how);
            }
            if self.machine.done() {
                return Left::Done;
            }
            if moved {
                // Others too want their turn.
                tokio::task::yield_now().await;
                continue;
            }
            let reads = |lane: Direction| {
                let i = lane as usize;
                pending[i].is_empty() && !ended[i] && self.machine.wants(lane) > 0
            };
            let (read_near, read_far) = (reads(Direction::Up), reads(Direction::Down));
            let wake = self.machine.wake().map(|at| self.shared.moment(at));
            let command = tokio::select! {
                biased;
                command = self.joined.told.recv() => command,
                r = self.near.readable(), if read_near => { if r.is_err() { return Left::Broken } None }
                r = self.far.readable(), if read_far => { if r.is_err() { return Left::Broken } None }
                r = self.far.writable(), if blocked[0] => { if r.is_err() { return Left::Broken } None }
                r = self.near.writable(), if blocked[1] => { if r.is_err() { return Left::Broken } None }
                () = until(wake) => None,
            };
            if let Some(command) = command {
                self.obey(command);
            }
        }
    }

    fn obey(&mut self, command: Command) {
        let now = self.shared.now();
        match command {
            Command::Rules => self.machine.update(&self.shared.rules()),
            Command::Cut(how) => self.machine.cut_now(how, now),
            Command::Pause(paused) => self.machine.pause(paused, now),
            Command::Turn(next) => self.machine.turn(next),
        }
    }

    /// Writes what may be written; whether anything was.
    fn write(&mut self, lane: Direction, blocked: &mut bool) -> io::Result<bool> {
        let mut wrote = false;
        *blocked = false;
        loop {
            let now = self.shared.now();
            let sink = match lane {
                Direction::Up => &self.far,
                Direction::Down => &self.near,
            };
            let offset = self.machine.counts(lane).1;
            let n = match self.machine.transmit(lane, now) {
                Transmit::Nothing => return Ok(wrote),
                Transmit::Finish => {
                    let _ = SockRef::from(sink).shutdown(Shutdown::Write);
                    self.machine.finished(lane);
                    wrote = true;
                    continue;
                }
                Transmit::Write(bytes) => match sink.try_write(bytes) {
                    Ok(n) => {
                        if let Some(tap) = &self.shared.tap {
                            let (listener, connection) = (self.listener, self.ordinal);
                            let passage =
                                Passage { listener, connection, lane, offset, when: Instant::now() };
                            tap.went(passage, &bytes[..n]);
                        }
                        n
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                        *blocked = true;
                        return Ok(wrote);
                    }
                    Err(e) => return Err(e),
                },
            };
            self.machine.sent(lane, n, now);
            wrote = true;
        }
    }

    /// Reads once; `None` if there is nothing.
    fn read(&mut self, lane: Direction, into: &mut Pending) -> io::Result<Option<usize>> {
        let read = self.source(lane).try_read(&mut into.data[..]);
        let passage = |offset| Passage {
            listener: self.listener,
            connection: self.ordinal,
            lane,
            offset,
            when: Instant::now(),
        };
        let offset = self.machine.counts(lane).0;
        match read {
            Ok(n) => {
                (into.from, into.to) = (0, n);
                match &self.shared.tap {
                    Some(tap) if n > 0 => tap.came(passage(offset), &into.data[..n]),
                    Some(tap) => tap.ended(passage(offset)),
                    None => {}
                }
                Ok(Some(n))
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(e) => {
                if let Some(tap) = &self.shared.tap {
                    tap.ended(passage(offset));
                }
                Err(e)
            }
        }
    }

    fn report(&mut self) {
        self.shared.note(self.machine.take_performed());
        let passed = self.machine.take_passed();
        if !passed.is_empty() {
            self.shared.took(passed);
        }
        self.joined.count(self.machine);
    }
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
