//! Hands the listening socket over from an old process to a new one, through a Unix socket in `$TMPDIR`.

use crate::proxy::log;
use crate::proxy::tasks::{catch_panic, TaskPanic};
use rushquay_handover::{
    HandoverResponse, HandoverState, Incumbent, IncumbentMessage, Offer, Peer, Reply, ResourceShare, Step,
    Successor, SuccessorMessage,
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

/// Descriptors that a hand-over needs: its Unix socket, the connections to it, a copy of the listening socket, and the log of claims.
pub const DESCRIPTORS: usize = 7;
/// How long to wait for an answer from the old process. Danger: a hung process may accept the connection and never answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The delay before the old process is asked again, and before another `accept` after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Connections that are served at once.
const MAX_PEERS: usize = 3;

/// The path of the Unix socket for processes that listen at this address. `None` if `TMPDIR` is unset or the port is 0: without a
/// private directory or a fixed port there is no path to agree on.
pub fn meeting_place(listen: SocketAddr) -> Option<PathBuf> {
    let dir = std::env::var_os("TMPDIR").filter(|d| !d.is_empty() && listen.port() != 0)?;
    Some(Path::new(&dir).join(format!("rushquay-{}-{}", listen.ip(), listen.port())))
}

/// A connection to the old process.
pub struct Link(RetryStream<UnixStream>);

impl Link {
    /// Reports that this process serves. Returns once the old process has confirmed it, has ended, or has let the timeout pass.
    pub async fn ready(&mut self) {
        let told = async {
            self.0.write_all(&SuccessorMessage::Ready.bytes()).await?;
            // The confirmation is the only message that the old process sends here.
            let mut heard = vec![0; IncumbentMessage::Heard.bytes().len()];
            self.0.read_exact(&mut heard).await.map(drop)
        };
        match timeout(ANSWER_TIMEOUT, told).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log(format_args!("cannot notify the old process that this one serves: {e}")),
            Err(_) => log("the old process did not confirm in time that this one serves"),
        }
    }

    /// Returns when the old process has ended.
    pub async fn ended(&mut self) {
        let mut part = [0; 64];
        while self.0.read(&mut part).await.is_ok_and(|n| n > 0) {}
    }
}

/// The result of looking for an old process.
pub enum Found {
    /// An old process hands over its listening socket.
    Old { listener: TcpListener, offer: Box<Offer>, link: Link },
    /// No process hands anything over.
    None,
}

/// Looks for a process to take over from.
///
/// # Errors
/// Another new process is already taking over.
pub async fn find_predecessor(place: &Path, listen: SocketAddr) -> Result<Found, String> {
    let mut successor = Successor::default();
    loop {
        let hello = successor.hello();
        let (heard, received) = match timeout(ANSWER_TIMEOUT, ask(place, listen, &hello)).await {
            Ok(Ok(heard)) => heard,
            Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
                (HandoverResponse::NoIncumbent, None)
            }
            Ok(Err(e)) => {
                log(format_args!("no hand-over through {}: {e}", place.display()));
                (HandoverResponse::NoAnswer, None)
            }
            Err(_) => {
                log(format_args!(
                    "no hand-over through {}: timed out waiting for an answer",
                    place.display()
                ));
                (HandoverResponse::NoAnswer, None)
            }
        };
        if let HandoverResponse::Answer { said: IncumbentMessage::Unknown { forms }, .. } = &heard {
            log(format_args!(
                "the old process supports no hand-over format known to this one (it supports {forms:?})"
            ));
        }
        match (successor.handle_response(heard).map_err(|e| e.to_string())?, received) {
            (Step::UseListener(offer), Some((listener, stream))) => {
                return Ok(Found::Old { listener, offer: Box::new(offer), link: Link(stream) })
            }
            (Step::UseListener(_) | Step::Listen, _) => return Ok(Found::None),
            (Step::Retry, _) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Sends `hello` to the old process and returns its answer, with the listening socket and the connection if it hands them over.
async fn ask(
    place: &Path,
    listen: SocketAddr,
    hello: &SuccessorMessage,
) -> io::Result<(HandoverResponse, Option<(TcpListener, RetryStream<UnixStream>)>)> {
    let mut stream = RetryStream::new(connect_to_incumbent(place).await?);
    stream.write_all(&hello.bytes()).await?;
    let mut head = [0; 4];
    let socket = stream.get_ref();
    let fd = socket.async_io(Interest::READABLE, || retry_interrupted(|| receive(socket, &mut head))).await?;
    let invalid_data = |e| io::Error::new(io::ErrorKind::InvalidData, e);
    let mut body = vec![0; IncumbentMessage::length(head).map_err(invalid_data)?];
    stream.read_exact(&mut body).await?;
    let said = IncumbentMessage::read(&body).map_err(invalid_data)?;
    // Danger: with a socket that has another address or does not listen, this process would receive no connections.
    let listener = fd.map(socket2::Socket::from).filter(|socket| {
        let at = socket.local_addr().ok().and_then(|a| a.as_socket());
        at == Some(listen) && socket.is_listener().unwrap_or(false)
    });
    let listener = listener.map(|socket| {
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    });
    let listener = listener.transpose()?;
    Ok((HandoverResponse::Answer { said, listener: listener.is_some() }, listener.map(|l| (l, stream))))
}

/// Reads four bytes and the file descriptor sent along with them, if any.
fn receive(stream: &UnixStream, head: &mut [u8; 4]) -> io::Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream, &mut [IoSliceMut::new(head)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let received = control.drain().find_map(|m| match m {
        RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
        _ => None,
    });
    match got.bytes {
        4 => Ok(received),
        // The sender writes the four bytes in one call, so a shorter read means that the stream has ended.
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Repeats a system call that a signal interrupts (`EINTR`).
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Connects to the process that listens at the meeting place.
async fn connect_to_incumbent(place: &Path) -> io::Result<UnixStream> {
    loop {
        match UnixStream::connect(place).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Writes four bytes together with a file descriptor.
fn send(stream: &UnixStream, head: &[u8; 4], fd: &impl AsFd) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fds = [fd.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Err(io::Error::other("the control message buffer has no space for a file descriptor"));
    }
    match sendmsg(stream, &[IoSlice::new(head)], &mut control, SendFlags::NOSIGNAL)? {
        4 => Ok(()),
        _ => Err(io::ErrorKind::WriteZero.into()),
    }
}

/// Binds a Unix socket and renames it to the meeting place. Danger: the path may hold the socket of a dead process, or that of the
/// old one, which must keep answering until this one does; so the path is replaced atomically.
fn bind_meeting_place(place: &Path) -> io::Result<UnixListener> {
    let temporary_path = place.with_extension(std::process::id().to_string());
    let socket = UnixListener::bind(&temporary_path)?;
    match std::fs::rename(&temporary_path, place) {
        Ok(()) => Ok(socket),
        Err(e) => {
            let _ = std::fs::remove_file(&temporary_path);
            Err(e)
        }
    }
}

/// The listening process, as a hand-over needs it.
pub trait ListenerOwner {
    /// The number of descriptors in use.
    fn used_descriptors(&self) -> usize;
    /// The state to pass to the process that takes over.
    fn handover_state(&self) -> HandoverState;
    /// Sets the share of the resources that this process may use from now on.
    fn apply_share(&self, share: ResourceShare);
    /// Records that the task that serves a hand-over has panicked.
    fn record_panic(&self, panic: &TaskPanic);
    /// Called when no other process serves at the address any more.
    fn on_alone(&self);
}

/// Serves hand-overs to new processes.
pub struct HandoverServer {
    machine: RefCell<Incumbent>,
    listener: RefCell<Option<Rc<TcpListener>>>,
    me: Rc<dyn ListenerOwner>,
    peers: Cell<usize>,
    next: Cell<u64>,
    place: Option<PathBuf>,
    /// Notified when a successor that had begun to serve has ended.
    lost: Notify,
    /// The task that accepts connections at the meeting place.
    waiting: RefCell<Option<JoinHandle<()>>>,
}

impl HandoverServer {
    /// Listens at the meeting place, if there is one, for a process to hand over to. If that fails, the failure is logged and
    /// the process runs without hand-over.
    pub fn start(
        place: Option<&Path>,
        listener: Rc<TcpListener>,
        machine: Incumbent,
        me: Rc<dyn ListenerOwner>,
    ) -> Rc<Self> {
        let server = Rc::new(HandoverServer {
            machine: RefCell::new(machine),
            listener: RefCell::new(Some(listener)),
            me,
            peers: Cell::new(0),
            next: Cell::new(0),
            lost: Notify::new(),
            place: place.map(Path::to_path_buf),
            waiting: RefCell::new(None),
        });
        server.clone().wait();
        server
    }

    /// Listens at the meeting place, and stops the task that did so before.
    fn wait(self: Rc<Self>) {
        let Some(place) = &self.place else { return };
        match bind_meeting_place(place) {
            Ok(socket) => {
                let accept_task = tokio::task::spawn_local(self.clone().accept(socket));
                if let Some(before) = self.waiting.replace(Some(accept_task)) {
                    before.abort();
                }
            }
            Err(e) => {
                let place = place.display();
                log(format_args!(
                    "no hand-over at {place}: {e}; a new process will bind the same address instead"
                ));
            }
        }
    }

    /// Records that the predecessor has ended.
    pub fn predecessor_ended(&self) {
        self.machine.borrow_mut().alone();
        self.hold();
    }

    /// Applies the share of the resources that this process may use now.
    fn hold(&self) {
        let (share, is_alone) = {
            let machine = self.machine.borrow();
            (machine.share(), machine.is_alone())
        };
        self.me.apply_share(share);
        if is_alone {
            self.me.on_alone();
        }
    }

    /// Whether a successor serves in place of this process.
    pub fn succeeded(&self) -> bool {
        self.machine.borrow().succeeded()
    }

    /// Returns when a successor that had begun to serve has ended.
    pub async fn successor_lost(&self) {
        self.lost.notified().await;
    }

    /// Drops the listening socket: nothing can be handed over after this.
    pub fn close(&self) {
        self.machine.borrow_mut().close();
        self.listener.take();
    }

    async fn accept(self: Rc<Self>, socket: UnixListener) {
        let mut accept_outage = Outage::default();
        loop {
            let accepted = socket.accept().await;
            if accepted.is_ok() {
                accept_outage.over();
            }
            match accepted {
                Ok((stream, _)) if self.peers.get() < MAX_PEERS => {
                    self.peers.set(self.peers.get() + 1);
                    let peer = Peer(self.next.get());
                    self.next.set(peer.0 + 1);
                    let server = self.clone();
                    tokio::task::spawn_local(async move {
                        match catch_panic(server.serve(peer, stream)).await {
                            Ok(Ok(())) => {}
                            Ok(Err(e)) => log(format_args!("hand-over: {e}")),
                            // Danger: a hand-over that stayed offered would have every further process refused.
                            Err(panic) => server.me.record_panic(&panic),
                        }
                        // Danger: the ended successor had replaced the socket at the meeting place. If this process did not
                        // bind it again, the next one would find nobody there and start as if there were no old process.
                        let served = server.machine.borrow_mut().handle_disconnect(peer);
                        if served {
                            log("the new process has ended; this one continues to serve");
                            server.lost.notify_waiters();
                            server.clone().wait();
                        }
                        server.hold();
                        server.peers.set(server.peers.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(e) if classify(&e) == ErrorClass::Repeat => {}
                Err(e) => {
                    if let Some(n) = accept_outage.failed(&e.to_string()) {
                        log(format_args!("hand-over: accept: {e} (failure {n})"));
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(&self, peer: Peer, stream: UnixStream) -> io::Result<()> {
        let mut stream = RetryStream::new(stream);
        // Danger: without a timeout, a peer that connects and sends nothing would use up a connection permanently.
        let mut next =
            timeout(ANSWER_TIMEOUT, read_message(&mut stream)).await.map_err(io::Error::from)??;
        loop {
            let Some(said) = next else { return Ok(()) };
            let reply =
                self.machine
                    .borrow_mut()
                    .handle_message(peer, &said, self.me.used_descriptors(), || self.me.handover_state());
            match reply {
                None => {}
                Some(Reply::KeepOpen(said)) => {
                    stream.write_all(&said.bytes()).await?;
                    log("a new process serves; this one ends when it is told to");
                }
                Some(Reply::ThenClose(said)) => return stream.write_all(&said.bytes()).await,
                Some(Reply::WithListener(said)) => {
                    let listener = self.listener.borrow().clone();
                    let Some(listener) = listener else { return Ok(()) };
                    self.hold();
                    log("handing the listening socket to a new process");
                    let bytes = said.bytes();
                    let (head, body) = bytes.split_first_chunk::<4>().ok_or(io::ErrorKind::InvalidData)?;
                    let socket = stream.get_ref();
                    let sending = || retry_interrupted(|| send(socket, head, &listener));
                    socket.async_io(Interest::WRITABLE, sending).await?;
                    stream.write_all(body).await?;
                }
            }
            next = read_message(&mut stream).await?;
        }
    }
}

/// Reads the next message of a new process; `None` if it has ended.
async fn read_message(stream: &mut RetryStream<UnixStream>) -> io::Result<Option<SuccessorMessage>> {
    let mut head = [0; 4];
    match stream.read_exact(&mut head).await {
        Err(e) if matches!(e.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset) => {
            return Ok(None)
        }
        read => read?,
    };
    let invalid_data = |e| io::Error::new(io::ErrorKind::InvalidData, e);
    let mut body = vec![0; SuccessorMessage::length(head).map_err(invalid_data)?];
    stream.read_exact(&mut body).await?;
    SuccessorMessage::read(&body).map(Some).map_err(invalid_data)
}
