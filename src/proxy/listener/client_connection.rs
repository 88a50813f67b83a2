//! The state of a client connection that other tasks see: whether it is busy, and when and why it closes.

use crate::api;
use crate::proxy::http::arrival_clock::UploadFacts;
use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::http::upload::Upload;
use crate::proxy::listener::admission::{Admission, ClientRole};
use crate::proxy::listener::read_buffer::{BufferedInput, ReadBuffer, READ_CHUNK};
use crate::proxy::upstream::socket::Socket;
use rushquay_admission::Evidence;
use rushquay_invariants::{CloseCause, ConnectionFacts};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// Time from accept to the first complete request head; then the connection is closed.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a peer may take to read its last response before the connection is closed. Danger: closing with unread
/// received bytes resets the connection, and the part of the response that the kernel still holds is lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long at most the rest of a body is read and dropped after its request was answered.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(10);
/// How long the write of a response may make no progress before the connection is closed.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a request head may take in total, and how long it may make no progress. The slowest healthy client takes
/// two seconds.
const HEAD_TIMEOUT: Duration = Duration::from_secs(4);
const HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// The same as `HEAD_STALL_TIMEOUT` during graceful shutdown, which waits for the client.
const HEAD_STALL_TIMEOUT_DRAINING: Duration = Duration::from_millis(1200);

/// The part of the system's receive buffer that can be filled for certain before a client has to wait for room.
const ROOM_DIVISOR: usize = 4;

/// A client connection, as seen by other tasks.
pub struct Client {
    /// The connection's number in this process, for the request trace.
    pub number: u64,
    /// Whether its requests are served.
    pub role: ClientRole,
    pub socket: Rc<Socket>,
    pub read_buffer: Rc<ReadBuffer>,
    /// A request is being answered.
    pub busy: Cell<bool>,
    /// The request being answered has a body that has not been read to its end.
    pub has_unread_body: Cell<bool>,
    /// The client speaks HTTP/1.0, where closing the connection may delimit a response.
    pub ends_by_close: Cell<bool>,
    accepted_at: Instant,
    /// When the connection was accepted or last answered.
    idle_since: Cell<Instant>,
    /// Wakes the connection's own task when the connection is to be closed.
    pub close_requested: Notify,
    /// Why the connection is to be closed; `None` if it stays open.
    cause: Cell<Option<CloseCause>>,
    /// Everything has been written, and the peer is given time to read it.
    pub lingering: Cell<bool>,
    /// Notified when the connection's descriptor is needed immediately; ends the linger time.
    pub skip_linger: Notify,
}

impl Client {
    pub fn new(number: u64, stream: TcpStream, admission: Admission) -> Rc<Self> {
        let accepted_at = Instant::now();
        Rc::new(Client {
            number,
            role: admission.role,
            socket: Socket::new(stream, admission.permit),
            read_buffer: Rc::default(),
            busy: Cell::new(false),
            has_unread_body: Cell::new(false),
            ends_by_close: Cell::new(false),
            accepted_at,
            idle_since: Cell::new(accepted_at),
            close_requested: Notify::new(),
            cause: Cell::new(None),
            lingering: Cell::new(false),
            skip_linger: Notify::new(),
        })
    }

    /// Closes the connection once no response is owed on it. The first cause is kept, unless a later one closes immediately.
    pub fn request_close(&self, cause: CloseCause) {
        let is_immediate = !matches!(cause, CloseCause::Idle | CloseCause::Drain);
        if self.cause.get().is_none() || is_immediate {
            self.cause.set(Some(cause));
        }
        self.close_requested.notify_one();
    }

    /// Returns why the connection is to be closed; `None` if it stays open.
    pub fn cause(&self) -> Option<CloseCause> {
        self.cause.get()
    }

    /// Returns whether the connection is to be closed.
    pub fn closing(&self) -> bool {
        self.cause.get().is_some()
    }

    /// Returns what is known of the upload that is being read.
    pub fn upload_facts(&self, upload: &Upload) -> UploadFacts {
        let (read, end) = (self.read_buffer.read_bytes(), self.read_buffer.request_end());
        let buffer_size = self.socket.receive_buffer_size();
        // The system holds fewer bytes than the size of its buffer, which it counts with their overhead.
        let unread = self.socket.unread_bytes(buffer_size);
        UploadFacts {
            read,
            unread: unread as u64,
            has_room: unread < buffer_size / ROOM_DIVISOR,
            end,
            is_awaited: upload.is_awaited(),
        }
    }

    /// Returns the facts that `may_close` decides by.
    pub fn facts(&self) -> ConnectionFacts {
        let buffered = self.read_buffer.buffered_input();
        ConnectionFacts {
            answering: self.busy.get(),
            read_behind: buffered == BufferedInput::Request,
            head_begun: buffered == BufferedInput::Part
                || !self.busy.get() && self.read_buffer.head_since.get().is_some(),
            unwritten: self.socket.stalled(),
            peer_gone: false,
        }
    }

    /// Gives the peer time to read its last response before the connection is closed.
    pub async fn linger(&self) {
        let cause = self.cause.get().unwrap_or(CloseCause::AnswerSaidSo);
        self.cause.set(Some(cause));
        // Danger: an orderly close would make a partial response look complete.
        if cause == CloseCause::BrokenAnswer {
            return;
        }
        self.socket.shutdown_write();
        if matches!(cause, CloseCause::NotRead | CloseCause::NoRequest) {
            return;
        }
        let has_unread_body = self.has_unread_body.get();
        let remaining = LINGER_TIMEOUT.saturating_sub(self.idle_since.get().elapsed());
        // Danger: a client that has sent another request waits for the close before it sends that request elsewhere.
        if !has_unread_body && (remaining.is_zero() || self.socket.has_no_input()) {
            return;
        }
        self.lingering.set(true);
        tokio::select! {
            () = self.discard_input(), if has_unread_body => {}
            () = self.socket.peer_closed(), if !has_unread_body => {}
            () = self.skip_linger.notified() => {}
            () = sleep(if has_unread_body { MAX_DISCARD_TIME } else { remaining }) => {}
        }
    }

    /// Reads and drops what the peer still sends, until it has ended or sends nothing more for a while. Danger: a client that writes the
    /// rest of its body to a closed connection is reset, and may never read the response that it was sent meanwhile.
    async fn discard_input(&self) {
        let mut chunk = [0; READ_CHUNK];
        loop {
            let readable = timeout(LINGER_TIMEOUT, self.socket.ready(Interest::READABLE)).await;
            if !readable.is_ok_and(|ready| ready.is_ok()) {
                return;
            }
            match self.socket.try_read(&mut chunk) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }

    /// Makes sure that a response which the end of the process cuts off does not look complete.
    pub fn mark_cut_off(&self) {
        if self.ends_by_close.get() && self.busy.get() {
            self.socket.reset();
        }
    }

    /// Returns what decides which connection is closed when descriptors run out.
    pub fn evidence(&self, now: Instant) -> Evidence {
        let steady_at = |then: Instant| {
            steady_nanos().saturating_sub(now.saturating_duration_since(then).as_nanos() as api::Nanos)
        };
        let (heads, has_partial_head) =
            (self.read_buffer.heads.get(), self.read_buffer.head_since.get().is_some());
        Evidence {
            complete_requests: heads,
            has_partial_request: has_partial_head,
            since: steady_at(self.idle_since.get()),
            last_io_at: steady_at(self.socket.last_activity()),
        }
    }

    /// Closes the connection if it makes no progress or has been idle for too long. Danger: a silent client, a head that never completes
    /// and a response that is not read would each hold a descriptor forever.
    pub fn close_if_stalled(&self, now: Instant) {
        let exceeded = |from: Instant, limit: Duration| now.saturating_duration_since(from) > limit;
        let last_activity = self.socket.last_activity();
        if self.socket.stalled() && exceeded(last_activity, WRITE_STALL_TIMEOUT) {
            return self.request_close(CloseCause::NotRead);
        }
        if self.busy.get() {
            return;
        }
        let draining = self.cause.get() == Some(CloseCause::Drain);
        let stall_timeout = if draining { HEAD_STALL_TIMEOUT_DRAINING } else { HEAD_STALL_TIMEOUT };
        let timed_out = match self.read_buffer.head_since.get() {
            // A slow sender differs from a stalled one by having sent something recently.
            Some(since) => exceeded(since, HEAD_TIMEOUT) || exceeded(since.max(last_activity), stall_timeout),
            None => self.read_buffer.heads.get() == 0 && exceeded(self.accepted_at, FIRST_REQUEST_TIMEOUT),
        };
        if timed_out {
            self.request_close(CloseCause::NoRequest);
        } else if exceeded(self.idle_since.get(), IDLE_TIMEOUT) && self.socket.has_no_input() {
            self.request_close(CloseCause::Idle);
        }
    }
}

/// Marks a request as being answered until it is dropped.
pub struct Busy(Rc<Client>);

impl Busy {
    pub fn new(client: &Rc<Client>) -> Self {
        client.busy.set(true);
        Busy(client.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.idle_since.set(Instant::now());
    }
}
