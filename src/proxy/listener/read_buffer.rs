//! Input of a client connection that was read ahead, with its arrival times. A request's deadline runs from the arrival of its last
//! byte, also if it is queued behind pipelined requests that are being answered.

use crate::proxy::listener::pause_detection;
use crate::proxy::upstream::socket::Socket;
use crate::proxy::BUFFER_MOST;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::Instant;

/// The number of headers that hyper accepts.
pub const HEADERS_MOST: usize = 100;
/// Size of one read while a head is expected.
pub const PART: usize = 4096;
/// A limit that passes on all input to come.
pub const ALL: u64 = u64::MAX;

/// The bytes up to this position of the stream had arrived by this time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    end: u64,
    at: Instant,
}

/// Input behind the request that is being answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedInput {
    /// None was read.
    Nothing,
    /// An incomplete head.
    Part,
    /// At least one complete head.
    Request,
}

/// The input of a client connection.
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
    /// Why the last of them is rejected.
    pub fault: Cell<Option<&'static str>>,
    /// Its body has no known length, so nothing behind it is parsed.
    pub last: Cell<bool>,
    /// Reading ahead has ended.
    closed: Cell<bool>,
    /// Bytes read in all, and passed on.
    read: Cell<u64>,
    handed: Cell<u64>,
    /// Stream position at which the last parsed request ends; [`ALL`]: unknown.
    request_end: Cell<u64>,
    arrivals: RefCell<VecDeque<Arrival>>,
}

impl ReadBuffer {
    /// Records that bytes have arrived.
    pub fn came(&self, bytes: usize, at: Instant) {
        self.read.set(self.read.get() + bytes as u64);
        let mut arrivals = self.arrivals.borrow_mut();
        let end = self.request_end.get();
        // Arrival times before the end of the request in progress are not needed any more.
        while arrivals.front().is_some_and(|a| end == ALL || a.end < end) {
            arrivals.pop_front();
        }
        arrivals.push_back(Arrival { end: self.read.get(), at: pause_detection::earliest(at) });
    }

    /// Records that bytes were passed on.
    pub fn handed(&self, bytes: usize) {
        self.handed.set(self.handed.get() + bytes as u64);
        if self.pass.get() != ALL {
            self.pass.set(self.pass.get() - bytes as u64);
        }
    }

    /// The held head is incomplete, so its request has not ended.
    pub fn incomplete(&self) {
        self.arrivals.borrow_mut().clear();
    }

    /// Records that a head was parsed and how many bytes belong to its request; [`ALL`]: unknown.
    pub fn request(&self, length: u64) {
        self.pass.set(length);
        self.request_end.set(self.handed.get().saturating_add(length));
    }

    /// How long the request in progress has been complete.
    pub fn waited(&self, now: Instant) -> Duration {
        let arrivals = self.arrivals.borrow();
        let end = self.request_end.get();
        let arrival = match end {
            ALL => arrivals.back(),
            end => arrivals.iter().find(|a| a.end >= end),
        };
        arrival.map_or(Duration::ZERO, |a| now.saturating_duration_since(a.at))
    }

    /// What stands behind the request in work.
    pub fn behind(&self) -> BufferedInput {
        let held = self.held.borrow();
        let pass = usize::try_from(self.pass.get()).unwrap_or(usize::MAX);
        let Some(rest) = held.get(pass..).filter(|rest| !rest.is_empty()) else {
            return BufferedInput::Nothing;
        };
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        match httparse::Request::new(&mut headers).parse(rest) {
            Ok(httparse::Status::Partial) if rest.len() < BUFFER_MOST => BufferedInput::Part,
            _ => BufferedInput::Request,
        }
    }

    /// Ends reading ahead.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// How many bytes may be read ahead now. Danger: bytes of a body that are read here stay in memory until the body is consumed.
    fn room(&self) -> usize {
        match self.pass.get() {
            0 if !self.closed.get() => BUFFER_MOST.saturating_sub(self.held.borrow().len()),
            _ => 0,
        }
    }

    /// Reads input behind the request in progress as far as there is room; false: the client has ended its sending.
    pub fn read_ahead(&self, socket: &Socket) -> bool {
        let mut part = [0; PART];
        while self.room() > 0 {
            let most = self.room().min(PART);
            match socket.try_read(&mut part[..most]) {
                Ok(n) if n > 0 => self.take(&part[..n], Instant::now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                // The next reader meets the same end or error.
                _ => return false,
            }
        }
        true
    }

    /// Stores input that was read.
    pub fn take(&self, part: &[u8], now: Instant) {
        let mut held = self.held.borrow_mut();
        let pass = usize::try_from(self.pass.get()).unwrap_or(usize::MAX);
        if held.len() <= pass {
            self.head_since.set(Some(now));
        }
        held.extend_from_slice(part);
        self.came(part.len(), now);
    }

    /// Returns once the client has gone while its request is in progress; what it sends meanwhile is read ahead.
    pub async fn until_gone(&self, socket: &Socket, may_ask: bool) {
        while self.room() > 0 {
            let ready = socket.ready(Interest::READABLE | Interest::PRIORITY).await;
            let more = ready.as_ref().is_ok_and(|r| r.is_readable()) && self.read_ahead(socket);
            if !more || ready.is_ok_and(|r| r.is_read_closed()) {
                break;
            }
        }
        socket.peer_disconnected(may_ask).await;
    }
}

#[cfg(test)]
mod tests;
