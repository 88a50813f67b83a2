//! Input of a client connection that was read ahead, with its arrival times. A request's deadline runs from the arrival of its last
//! byte, also if it is queued behind pipelined requests that are being answered.

use crate::proxy::listener::pause_detection;
use crate::proxy::upstream::socket::Socket;
use crate::proxy::MAX_READ_AHEAD;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::Instant;

/// The number of headers that hyper accepts.
pub const MAX_HEADERS: usize = 100;
/// Size of one read while a head is expected.
pub const READ_CHUNK: usize = 4096;
/// A limit that passes on all input to come.
pub const UNLIMITED: u64 = u64::MAX;

/// The bytes up to stream position `end` had arrived by `at`.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    end: u64,
    at: Instant,
}

/// Buffered input that follows the request being answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedInput {
    /// No input was read.
    Nothing,
    /// An incomplete head.
    Part,
    /// At least one complete head.
    Request,
}

/// Buffers the input of a client connection.
#[derive(Default)]
pub struct ReadBuffer {
    /// Bytes that were read and not yet passed on.
    pub held: RefCell<Vec<u8>>,
    /// How many bytes may be passed on: the rest of a head that was checked, and of its body.
    pub pass: Cell<u64>,
    /// When the first byte of an incomplete head arrived.
    pub head_since: Cell<Option<Instant>>,
    /// Complete heads received.
    pub heads: Cell<u64>,
    /// Why the last parsed request is rejected; `None` if it is valid.
    pub fault: Cell<Option<&'static str>>,
    /// The last parsed request has a body of unknown length, so nothing after it is parsed.
    pub has_unknown_length: Cell<bool>,
    /// Reading ahead has been ended.
    closed: Cell<bool>,
    /// Total bytes read, and total bytes passed on.
    read: Cell<u64>,
    passed_on: Cell<u64>,
    /// Stream position at which the last parsed request ends; [`UNLIMITED`] if unknown.
    request_end: Cell<u64>,
    arrivals: RefCell<VecDeque<Arrival>>,
    /// When the input that is read first may have arrived; `None`: when it is read.
    assumed_arrival: Cell<Option<Instant>>,
}

impl ReadBuffer {
    /// Assumes that the input which is read first arrived at this time: the connection has waited since then, at most.
    pub fn assume_arrival(&self, at: Instant) {
        self.assumed_arrival.set(Some(at));
    }

    /// Records that bytes have arrived.
    pub fn record_arrival(&self, bytes: usize, at: Instant) {
        self.read.set(self.read.get() + bytes as u64);
        let at = self.assumed_arrival.take().unwrap_or(at);
        let mut arrivals = self.arrivals.borrow_mut();
        let end = self.request_end.get();
        // Arrival times before the end of the request in progress are no longer needed.
        while arrivals.front().is_some_and(|a| end == UNLIMITED || a.end < end) {
            arrivals.pop_front();
        }
        arrivals.push_back(Arrival { end: self.read.get(), at: pause_detection::earliest_arrival(at) });
    }

    /// Records that bytes were passed on.
    pub fn passed_on(&self, bytes: usize) {
        self.passed_on.set(self.passed_on.get() + bytes as u64);
        if self.pass.get() != UNLIMITED {
            self.pass.set(self.pass.get() - bytes as u64);
        }
    }

    /// Forgets the arrival times: the buffered head is incomplete, so its request ends with a later byte.
    pub fn clear_arrivals(&self) {
        self.arrivals.borrow_mut().clear();
    }

    /// Records that a head was parsed and how many bytes belong to its request; [`UNLIMITED`] if unknown.
    pub fn begin_request(&self, length: u64) {
        self.pass.set(length);
        self.request_end.set(self.passed_on.get().saturating_add(length));
    }

    /// Returns how long ago the last byte of the request in progress arrived.
    pub fn waited(&self, now: Instant) -> Duration {
        let arrivals = self.arrivals.borrow();
        let end = self.request_end.get();
        let arrival = match end {
            UNLIMITED => arrivals.back(),
            end => arrivals.iter().find(|a| a.end >= end),
        };
        arrival.map_or(Duration::ZERO, |a| now.saturating_duration_since(a.at))
    }

    /// Returns how many bytes of input were read.
    pub fn read_bytes(&self) -> u64 {
        self.read.get()
    }

    /// Returns how many bytes of input there are up to the end of the request in progress; `None`: unknown.
    pub fn request_end(&self) -> Option<u64> {
        Some(self.request_end.get()).filter(|end| *end != UNLIMITED)
    }

    /// Returns what is buffered after the request in progress.
    pub fn buffered_input(&self) -> BufferedInput {
        let held = self.held.borrow();
        let pass = usize::try_from(self.pass.get()).unwrap_or(usize::MAX);
        let Some(following) = held.get(pass..).filter(|following| !following.is_empty()) else {
            return BufferedInput::Nothing;
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::Request::new(&mut headers).parse(following) {
            Ok(httparse::Status::Partial) if following.len() < MAX_READ_AHEAD => BufferedInput::Part,
            _ => BufferedInput::Request,
        }
    }

    /// Ends reading ahead.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Returns how many bytes may be read ahead now. Danger: bytes of a body that are read here stay in memory until the body is consumed.
    fn read_ahead_capacity(&self) -> usize {
        match self.pass.get() {
            0 if !self.closed.get() => MAX_READ_AHEAD.saturating_sub(self.held.borrow().len()),
            _ => 0,
        }
    }

    /// Reads input that follows the request in progress until the buffer is full or no input is left. Returns false if the client has
    /// stopped sending.
    pub fn read_ahead(&self, socket: &Socket) -> bool {
        let mut chunk = [0; READ_CHUNK];
        while self.read_ahead_capacity() > 0 {
            let len = self.read_ahead_capacity().min(READ_CHUNK);
            match socket.try_read(&mut chunk[..len]) {
                Ok(n) if n > 0 => self.take(&chunk[..n], Instant::now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                // The next read reports the same end or error.
                _ => return false,
            }
        }
        true
    }

    /// Stores input that was read.
    pub fn take(&self, chunk: &[u8], now: Instant) {
        let mut held = self.held.borrow_mut();
        let pass = usize::try_from(self.pass.get()).unwrap_or(usize::MAX);
        if held.len() <= pass {
            self.head_since.set(Some(now));
        }
        held.extend_from_slice(chunk);
        self.record_arrival(chunk.len(), now);
    }

    /// Returns once the client has disconnected while its request is in progress; reads ahead what it sends meanwhile.
    pub async fn until_disconnected(&self, socket: &Socket, may_ask: bool) {
        while self.read_ahead_capacity() > 0 {
            let ready = socket.ready(Interest::READABLE | Interest::PRIORITY).await;
            let open = ready.as_ref().is_ok_and(|r| r.is_readable()) && self.read_ahead(socket);
            if !open || ready.is_ok_and(|r| r.is_read_closed()) {
                break;
            }
        }
        socket.peer_disconnected(may_ask).await;
    }
}

#[cfg(test)]
mod tests;
