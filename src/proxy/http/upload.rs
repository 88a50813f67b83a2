//! Clients' bodies that are too long to be buffered completely: they are streamed to a node while they arrive.

use crate::proxy::http::request_body::{poll_data, StallDetector, CLIENT_LIMITS};
use hyper::body::{Bytes, Frame, Incoming};
use rushquay_stream_progress::Replay;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// A client's body that is too long to be buffered completely.
pub struct Upload {
    read_beginning: Bytes,
    rest: RefCell<Option<Incoming>>,
    replay: Cell<Replay>,
    length: Option<u64>,
    /// The last byte has arrived.
    whole: Cell<bool>,
    completed: Notify,
    /// The client was told that the request has not run, so its last byte must not reach a node any more.
    refused: Cell<bool>,
    /// Wakes the attempt that waits for the client.
    waiting_attempt: Cell<Option<Waker>>,
}

impl Upload {
    /// Creates an upload from the buffered beginning of a body and the rest that is still arriving.
    pub fn new(beginning: Bytes, rest: Incoming, length: Option<u64>) -> Rc<Self> {
        let (rest, replay) = (RefCell::new(Some(rest)), Cell::new(Replay::of(false)));
        Rc::new(Upload {
            read_beginning: beginning,
            rest,
            replay,
            length,
            whole: Cell::new(false),
            completed: Notify::new(),
            refused: Cell::new(false),
            waiting_attempt: Cell::new(None),
        })
    }

    /// Returns whether an attempt may still start to send the body.
    pub fn may_send(&self) -> bool {
        self.replay.get().may_send()
    }

    /// Returns whether the last byte has arrived and been handed to an attempt.
    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    /// Returns once the last byte has arrived: the client's deadline runs from then.
    pub async fn whole(&self) {
        while !self.whole.get() {
            self.completed.notified().await;
        }
    }

    /// Refuses the request unless its last byte has arrived: no node gets it from now on. Returns whether it is refused.
    pub fn refuse(&self) -> bool {
        if self.whole.get() {
            return false;
        }
        self.refused.set(true);
        self.rest.take();
        self.waiting_attempt.take().into_iter().for_each(Waker::wake);
        true
    }

    fn end(&self) {
        self.whole.set(true);
        self.completed.notify_one();
    }

    /// Claims the rest of the body, unless another attempt has claimed it.
    fn claim_rest(&self) -> Option<Incoming> {
        let mut replay = self.replay.get();
        let claimed = replay.claim_rest();
        self.replay.set(replay);
        self.rest.borrow_mut().take().filter(|_| claimed)
    }
}

/// An upload as sent by one attempt.
pub struct UploadAttempt {
    upload: Rc<Upload>,
    beginning_sent: bool,
    rest: Option<Incoming>,
    stall_detector: StallDetector,
}

impl UploadAttempt {
    /// Creates the body of an attempt that has sent nothing yet.
    pub fn new(upload: &Rc<Upload>) -> Self {
        UploadAttempt {
            upload: upload.clone(),
            beginning_sent: false,
            rest: None,
            stall_detector: StallDetector::new(CLIENT_LIMITS),
        }
    }

    /// Returns the length that was announced for the whole body.
    pub fn length(&self) -> Option<u64> {
        self.upload.length
    }

    /// Returns whether the last byte has been sent.
    pub fn is_end_stream(&self) -> bool {
        self.upload.whole.get()
    }

    /// Polls the next part of the body: the buffered beginning, then what the client sends.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.upload.refused.get() {
            return Poll::Ready(Some(Err(io::Error::other("the request has been refused"))));
        }
        if !self.beginning_sent {
            self.beginning_sent = true;
            return Poll::Ready(Some(Ok(Frame::data(self.upload.read_beginning.clone()))));
        }
        if self.rest.is_none() {
            self.rest = self.upload.claim_rest();
            self.stall_detector = StallDetector::new(CLIENT_LIMITS);
        }
        let rest_length =
            self.upload.length.map(|length| length.saturating_sub(self.upload.read_beginning.len() as u64));
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err(io::Error::other(
                "another attempt has already sent the rest of the body",
            ))));
        };
        match poll_data(rest, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.stall_detector.record(data.len());
                if rest_length == Some(self.stall_detector.progress.bytes()) {
                    self.upload.end();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(None) => {
                self.upload.end();
                Poll::Ready(None)
            }
            Poll::Pending if self.stall_detector.has_stalled(cx) => Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the client has stopped sending",
            )))),
            other => {
                self.upload.waiting_attempt.set(Some(cx.waker().clone()));
                other.map_ok(Frame::data)
            }
        }
    }
}
