//! What has come on a client's connection and was not handed on yet, and when it came. A request's time runs from its last byte,
//! also where it stands behind others that are being answered.

use crate::proxy::listener::pause_detection;
use crate::proxy::upstream::socket::Socket;
use crate::proxy::BUFFER_MOST;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::time::Instant;

/// As many headers as hyper takes.
pub const HEADERS_MOST: usize = 100;
/// Read in one go while a head is due.
pub const PART: usize = 4096;
/// All that is still to come goes on.
pub const ALL: u64 = u64::MAX;

/// Bytes up to this place of the stream had come at this time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    end: u64,
    at: Instant,
}

/// What stands behind the request that is in work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedInput {
    /// Nothing was read.
    Nothing,
    /// A part of a head.
    Part,
    /// At least one whole head.
    Request,
}

/// What has come on a client's connection.
#[derive(Default)]
pub struct ReadBuffer {
    /// Read and not yet handed on.
    pub held: RefCell<Vec<u8>>,
    /// So many bytes may be handed on: what is left of a head that was looked at and of its body.
    pub pass: Cell<u64>,
    /// When the first byte of a head came that is not whole yet.
    pub head_since: Cell<Option<Instant>>,
    /// Whole heads that have come.
    pub heads: Cell<u64>,
    /// Why the last of them must not be used.
    pub fault: Cell<Option<&'static str>>,
    /// Its body has no length told ahead, so nothing behind it is looked at.
    pub last: Cell<bool>,
    /// Nothing more is read ahead.
    closed: Cell<bool>,
    /// So many bytes were read in all, and handed on.
    read: Cell<u64>,
    handed: Cell<u64>,
    /// Where the request that was looked at last ends; [`ALL`]: nobody knows.
    request_end: Cell<u64>,
    arrivals: RefCell<VecDeque<Arrival>>,
}

impl ReadBuffer {
    /// So many bytes have come.
    pub fn came(&self, bytes: usize, at: Instant) {
        self.read.set(self.read.get() + bytes as u64);
        let mut arrivals = self.arrivals.borrow_mut();
        let end = self.request_end.get();
        // Nobody asks for the time of what came before the end of the request in work.
        while arrivals.front().is_some_and(|a| end == ALL || a.end < end) {
            arrivals.pop_front();
        }
        arrivals.push_back(Arrival { end: self.read.get(), at: pause_detection::earliest(at) });
    }

    /// So many bytes were handed on.
    pub fn handed(&self, bytes: usize) {
        self.handed.set(self.handed.get() + bytes as u64);
        if self.pass.get() != ALL {
            self.pass.set(self.pass.get() - bytes as u64);
        }
    }

    /// A head that is held is not whole: its request can't have ended yet.
    pub fn incomplete(&self) {
        self.arrivals.borrow_mut().clear();
    }

    /// A head was looked at, and so many bytes belong to its request; [`ALL`]: nobody knows.
    pub fn request(&self, length: u64) {
        self.pass.set(length);
        self.request_end.set(self.handed.get().saturating_add(length));
    }

    /// For how long the request in work has been here whole.
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

    /// Reads nothing more ahead from now on.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// How many bytes may be read ahead now. Danger: what is read of a body has to wait for whoever takes it.
    fn room(&self) -> usize {
        match self.pass.get() {
            0 if !self.closed.get() => BUFFER_MOST.saturating_sub(self.held.borrow().len()),
            _ => 0,
        }
    }

    /// Reads what has come behind the request in work, as far as there is room; false: the client sends nothing more.
    pub fn read_ahead(&self, socket: &Socket) -> bool {
        let mut part = [0; PART];
        while self.room() > 0 {
            let most = self.room().min(PART);
            match socket.try_read(&mut part[..most]) {
                Ok(n) if n > 0 => self.take(&part[..n], Instant::now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                // The end, or an error, is met again by whoever reads next.
                _ => return false,
            }
        }
        true
    }

    /// Holds what was read.
    pub fn take(&self, part: &[u8], now: Instant) {
        let mut held = self.held.borrow_mut();
        let pass = usize::try_from(self.pass.get()).unwrap_or(usize::MAX);
        if held.len() <= pass {
            self.head_since.set(Some(now));
        }
        held.extend_from_slice(part);
        self.came(part.len(), now);
    }

    /// Returns once the client has gone while its request is in work; what it sends meanwhile is read ahead.
    pub async fn until_gone(&self, socket: &Socket, may_ask: bool) {
        while self.room() > 0 {
            let ready = socket.ready(Interest::READABLE | Interest::PRIORITY).await;
            let more = ready.as_ref().is_ok_and(|r| r.is_readable()) && self.read_ahead(socket);
            if !more || ready.is_ok_and(|r| r.is_read_closed()) {
                break;
            }
        }
        socket.hung_up(may_ask).await;
    }
}

#[cfg(test)]
mod tests;
