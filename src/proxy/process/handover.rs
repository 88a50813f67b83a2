//! Carries the hand-over of the listening socket between an old and a new process through a Unix socket in `$TMPDIR`.

use crate::proxy::log;
use rushquay_handover::{
    HandoverState, Heard, Incumbent, IncumbentMessage, Offer, Peer, Reply, ResourceShare, Step, Successor,
    SuccessorMessage,
};
use rushquay_sockets::{classify, ErrorClass, RetryStream};
use rushquay_xds::client::Outage;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The socket of the hand-over, its connections and the listening socket's copy on its way.
pub const DESCRIPTORS: usize = 6;
/// An old process answers within this time. Danger: one that is half dead accepts and says nothing, for good.
const ANSWER_WITHIN: Duration = Duration::from_millis(1000);
/// So long until it is asked again.
const AGAIN_AFTER: Duration = Duration::from_millis(100);
/// Connections that are heard at once.
const PEERS: usize = 3;

/// Where processes that listen at this address meet; `None`: nowhere, since no directory is theirs alone, or the port is any.
pub fn meeting_place(listen: SocketAddr) -> Option<PathBuf> {
    let dir = std::env::var_os("TMPDIR").filter(|d| !d.is_empty() && listen.port() != 0)?;
    Some(Path::new(&dir).join(format!("rushquay-{}-{}", listen.ip(), listen.port())))
}

/// A connection to the old process.
pub struct Link(RetryStream<UnixStream>);

impl Link {
    /// Tells it that this process serves, and returns once it knows, or has ended, or has let its time pass.
    pub async fn ready(&mut self) {
        let told = async {
            self.0.write_all(&SuccessorMessage::Ready.bytes()).await?;
            // It says nothing but that.
            let mut heard = vec![0; IncumbentMessage::Heard.bytes().len()];
            self.0.read_exact(&mut heard).await.map(drop)
        };
        match timeout(ANSWER_WITHIN, told).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log(format_args!("the old process can't be told that this one serves: {e}")),
            Err(_) => log("the old process does not answer that it knows this one serves"),
        }
    }

    /// Returns when it has ended.
    pub async fn ended(&mut self) {
        let mut part = [0; 64];
        while self.0.read(&mut part).await.is_ok_and(|n| n > 0) {}
    }
}

/// What came of looking for an old process.
pub enum Found {
    /// One that hands over.
    Old { listener: TcpListener, offer: Box<Offer>, link: Link },
    /// None that does.
    None,
}

/// Looks for a process to take over from.
///
/// # Errors
/// Another new process is just doing that.
pub async fn look(place: &Path, listen: SocketAddr) -> Result<Found, String> {
    let mut claimant = Successor::default();
    loop {
        let hello = claimant.hello();
        let (heard, came) = match timeout(ANSWER_WITHIN, ask(place, listen, &hello)).await {
            Ok(Ok(heard)) => heard,
            Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
                (Heard::Nobody, None)
            }
            Ok(Err(e)) => {
                log(format_args!("no hand-over through {}: {e}", place.display()));
                (Heard::Nothing, None)
            }
            Err(_) => {
                log(format_args!("no hand-over through {}: no answer in time", place.display()));
                (Heard::Nothing, None)
            }
        };
        if let Heard::Answer { said: IncumbentMessage::Unknown { forms }, .. } = &heard {
            log(format_args!("the old process hands nothing over in a form known here (its own: {forms:?})"));
        }
        match (claimant.heard(heard).map_err(|e| e.to_string())?, came) {
            (Step::Take(offer), Some((listener, stream))) => {
                return Ok(Found::Old { listener, offer: Box::new(offer), link: Link(stream) })
            }
            (Step::Take(_) | Step::Listen, _) => return Ok(Found::None),
            (Step::AskAgain, _) => sleep(AGAIN_AFTER).await,
        }
    }
}

async fn ask(
    place: &Path,
    listen: SocketAddr,
    hello: &SuccessorMessage,
) -> io::Result<(Heard, Option<(TcpListener, RetryStream<UnixStream>)>)> {
    let mut stream = RetryStream::new(meet_there(place).await?);
    stream.write_all(&hello.bytes()).await?;
    let mut head = [0; 4];
    let socket = stream.get_ref();
    let fd = socket.async_io(Interest::READABLE, || again(|| receive(socket, &mut head))).await?;
    let spoilt = |e| io::Error::new(io::ErrorKind::InvalidData, e);
    let mut body = vec![0; IncumbentMessage::length(head).map_err(spoilt)?];
    stream.read_exact(&mut body).await?;
    let said = IncumbentMessage::read(&body).map_err(spoilt)?;
    // Danger: a socket of another address, or none that listens, would have this process serve nobody.
    let listener = fd.map(socket2::Socket::from).filter(|socket| {
        let at = socket.local_addr().ok().and_then(|a| a.as_socket());
        at == Some(listen) && socket.is_listener().unwrap_or(false)
    });
    let listener = listener.map(|socket| {
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    });
    let listener = listener.transpose()?;
    Ok((Heard::Answer { said, listener: listener.is_some() }, listener.map(|l| (l, stream))))
}

/// Reads four bytes and the descriptor that may come with them.
fn receive(stream: &UnixStream, head: &mut [u8; 4]) -> io::Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream, &mut [IoSliceMut::new(head)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let came = control.drain().find_map(|m| match m {
        RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
        _ => None,
    });
    match got.bytes {
        4 => Ok(came),
        // Four bytes that were written at once come at once.
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Makes a call again that a signal interrupts.
fn again<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// A connection to whoever waits at the meeting place.
async fn meet_there(place: &Path) -> io::Result<UnixStream> {
    loop {
        match UnixStream::connect(place).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Writes four bytes and a descriptor.
fn send(stream: &UnixStream, head: &[u8; 4], fd: &impl AsFd) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fds = [fd.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Err(io::Error::other("no room for a descriptor"));
    }
    match sendmsg(stream, &[IoSlice::new(head)], &mut control, SendFlags::NOSIGNAL)? {
        4 => Ok(()),
        _ => Err(io::ErrorKind::WriteZero.into()),
    }
}

/// Takes the meeting place. Danger: what stands there may be a dead process's, or the old one's, which must answer until this
/// one does.
fn meet(place: &Path) -> io::Result<UnixListener> {
    let own = place.with_extension(std::process::id().to_string());
    let socket = UnixListener::bind(&own)?;
    match std::fs::rename(&own, place) {
        Ok(()) => Ok(socket),
        Err(e) => {
            let _ = std::fs::remove_file(&own);
            Err(e)
        }
    }
}

/// What the process that listens says of itself.
pub trait Listening {
    /// Descriptors that it holds.
    fn held(&self) -> usize;
    /// What a process that takes over is to know.
    fn known(&self) -> HandoverState;
    /// From now on it may hold so much.
    fn hold(&self, share: ResourceShare);
}

/// The readiness to hand over.
pub struct HandoverServer {
    machine: RefCell<Incumbent>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    me: Rc<dyn Listening>,
    peers: Cell<usize>,
    next: Cell<u64>,
    place: Option<PathBuf>,
    /// Told when a new process that served in this one's place has ended.
    lost: Notify,
    /// Who waits at the meeting place.
    waiting: RefCell<Option<JoinHandle<()>>>,
}

impl HandoverServer {
    /// Waits at the meeting place, if there is one, for a process to hand over to. Where that can't be done, it says so and
    /// goes on without.
    pub fn start(
        place: Option<&Path>,
        listener: Rc<TcpListener>,
        machine: Incumbent,
        me: Rc<dyn Listening>,
    ) -> Rc<Self> {
        let keeper = Rc::new(HandoverServer {
            machine: RefCell::new(machine),
            listener: RefCell::new(Some(listener)),
            me,
            peers: Cell::new(0),
            next: Cell::new(0),
            lost: Notify::new(),
            place: place.map(Path::to_path_buf),
            waiting: RefCell::new(None),
        });
        keeper.clone().wait();
        keeper
    }

    /// Waits at the meeting place, in place of whoever waited there before.
    fn wait(self: Rc<Self>) {
        let Some(place) = &self.place else { return };
        match meet(place) {
            Ok(socket) => {
                let waits = tokio::task::spawn_local(self.clone().accept(socket));
                if let Some(before) = self.waiting.replace(Some(waits)) {
                    before.abort();
                }
            }
            Err(e) => {
                let place = place.display();
                log(format_args!("no hand-over at {place}: {e}; a new version will share the address"));
            }
        }
    }

    /// The process before this one has ended.
    pub fn alone(&self) {
        self.machine.borrow_mut().alone();
        self.hold();
    }

    /// Has this process hold what it may.
    fn hold(&self) {
        let share = self.machine.borrow().share();
        self.me.hold(share);
    }

    /// Whether a new process serves in this one's place.
    pub fn succeeded(&self) -> bool {
        self.machine.borrow().succeeded()
    }

    /// Returns when a new process that served in this one's place has ended.
    pub async fn successor_lost(&self) {
        self.lost.notified().await;
    }

    /// There is nothing left to hand over.
    pub fn close(&self) {
        self.machine.borrow_mut().close();
        self.listener.take();
    }

    async fn accept(self: Rc<Self>, socket: UnixListener) {
        let mut shortage = Outage::default();
        loop {
            let accepted = socket.accept().await;
            if accepted.is_ok() {
                shortage.over();
            }
            match accepted {
                Ok((stream, _)) if self.peers.get() < PEERS => {
                    self.peers.set(self.peers.get() + 1);
                    let peer = Peer(self.next.get());
                    self.next.set(peer.0 + 1);
                    let keeper = self.clone();
                    tokio::task::spawn_local(async move {
                        if let Err(e) = keeper.serve(peer, stream).await {
                            log(format_args!("hand-over: {e}"));
                        }
                        // Danger: at the place that a process took which is gone, the next one would find nobody, and come up
                        // as if there were no old one.
                        let served = keeper.machine.borrow_mut().lost(peer);
                        if served {
                            log("the new process has ended; this one serves on");
                            keeper.lost.notify_waiters();
                            keeper.clone().wait();
                        }
                        keeper.hold();
                        keeper.peers.set(keeper.peers.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                Err(e) => {
                    if let Some(n) = shortage.failed(&e.to_string()) {
                        log(format_args!("hand-over: accept: {e} (failure {n})"));
                    }
                    sleep(AGAIN_AFTER).await;
                }
            }
        }
    }

    async fn serve(&self, peer: Peer, stream: UnixStream) -> io::Result<()> {
        let mut stream = RetryStream::new(stream);
        // Danger: one that connects and says nothing would hold a place for good.
        let mut next = timeout(ANSWER_WITHIN, hear(&mut stream)).await.map_err(io::Error::from)??;
        loop {
            let Some(said) = next else { return Ok(()) };
            let reply = self.machine.borrow_mut().said(peer, &said, self.me.held(), || self.me.known());
            match reply {
                None => {}
                Some(Reply::And(said)) => {
                    stream.write_all(&said.bytes()).await?;
                    log("a new process serves; this one ends when it is told to");
                }
                Some(Reply::Only(said)) => return stream.write_all(&said.bytes()).await,
                Some(Reply::WithListener(said)) => {
                    let listener = self.listener.borrow().clone();
                    let Some(listener) = listener else { return Ok(()) };
                    self.hold();
                    log("a new process comes up beside this one");
                    let bytes = said.bytes();
                    let (head, body) = bytes.split_first_chunk::<4>().ok_or(io::ErrorKind::InvalidData)?;
                    let socket = stream.get_ref();
                    let sending = || again(|| send(socket, head, &listener));
                    socket.async_io(Interest::WRITABLE, sending).await?;
                    stream.write_all(body).await?;
                }
            }
            next = hear(&mut stream).await?;
        }
    }
}

/// The next thing that a new process says; `None`: it has ended.
async fn hear(stream: &mut RetryStream<UnixStream>) -> io::Result<Option<SuccessorMessage>> {
    let mut head = [0; 4];
    match stream.read_exact(&mut head).await {
        Err(e) if matches!(e.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset) => {
            return Ok(None)
        }
        read => read?,
    };
    let spoilt = |e| io::Error::new(io::ErrorKind::InvalidData, e);
    let mut body = vec![0; SuccessorMessage::length(head).map_err(spoilt)?];
    stream.read_exact(&mut body).await?;
    SuccessorMessage::read(&body).map(Some).map_err(spoilt)
}
