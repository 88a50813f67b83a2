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
    /// The client has its answer, or none is owed: the last byte must not reach a node any more.
    withdrawn: Cell<bool>,
    /// An attempt could not send it whole for a reason that its node has no part in.
    broken: Cell<bool>,
    /// Wakes the attempt that waits for the client; `None`: none waits.
    waiting_attempt: RefCell<Option<Waker>>,
}

impl Upload {
    /// Creates an upload from the buffered beginning of a body and the rest that is still arriving.
    pub fn new(beginning: Bytes, rest: Incoming, length: Option<u64>) -> Rc<Self> {
        let (rest, replay) = (RefCell::new(Some(rest)), Cell::new(Replay::of(false)));
        let is_whole = length == Some(beginning.len() as u64);
        Rc::new(Upload {
            read_beginning: beginning,
            rest,
            replay,
            length,
            whole: Cell::new(is_whole),
            completed: Notify::new(),
            withdrawn: Cell::new(false),
            broken: Cell::new(false),
            waiting_attempt: RefCell::new(None),
        })
    }

    /// Returns whether an attempt may still start to send the body.
    pub fn may_send(&self) -> bool {
        self.replay.get().may_send()
    }

    /// Returns whether the last byte has arrived: it was buffered, or handed to an attempt.
    pub fn is_whole(&self) -> bool {
        self.whole.get()
    }

    /// Returns once the last byte has arrived: the client's deadline runs from then.
    pub async fn whole(&self) {
        while !self.whole.get() {
            self.completed.notified().await;
        }
    }

    /// Returns whether an attempt waits for the client, so that everything that was read has been passed on.
    pub fn is_awaited(&self) -> bool {
        self.waiting_attempt.borrow().is_some()
    }

    /// Withdraws the request unless its last byte has arrived: no node gets it from now on. Returns whether it is withdrawn.
    pub fn withdraw(&self) -> bool {
        if self.whole.get() {
            return false;
        }
        self.withdrawn.set(true);
        self.rest.take();
        self.waiting_attempt.take().into_iter().for_each(Waker::wake);
        true
    }

    /// Returns whether an attempt has ended because the body cannot be sent whole, which says nothing about its node.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
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
    rest: Option<Incoming>,
    /// Bytes handed over to be written.
    sent: u64,
    /// The last byte was handed over.
    ended: bool,
    stall_detector: StallDetector,
}

impl UploadAttempt {
    /// Creates the body of an attempt that has sent nothing yet.
    pub fn new(upload: &Rc<Upload>) -> Self {
        UploadAttempt {
            upload: upload.clone(),
            rest: None,
            sent: 0,
            ended: false,
            stall_detector: StallDetector::new(CLIENT_LIMITS),
        }
    }

    /// Returns the length that was announced for the whole body.
    pub fn length(&self) -> Option<u64> {
        self.upload.length
    }

    /// Returns whether the last byte was handed over.
    pub fn is_end_stream(&self) -> bool {
        self.ended
    }

    /// Polls the next part of the body: the buffered beginning, then what the client sends.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.upload.waiting_attempt.take();
        let frame = self.poll_next(cx);
        if matches!(frame, Poll::Ready(Some(Err(_)))) {
            self.upload.broken.set(true);
        }
        frame
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.upload.withdrawn.get() {
            return Poll::Ready(Some(Err(io::Error::other("the request has been withdrawn"))));
        }
        if self.sent == 0 && !self.upload.read_beginning.is_empty() {
            let beginning = self.upload.read_beginning.clone();
            return Poll::Ready(Some(Ok(self.hand_over(beginning))));
        }
        if self.rest.is_none() {
            self.rest = self.upload.claim_rest();
            self.stall_detector = StallDetector::new(CLIENT_LIMITS);
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err(io::Error::other(
                "another attempt has already sent the rest of the body",
            ))));
        };
        match poll_data(rest, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.stall_detector.record(data.len());
                Poll::Ready(Some(Ok(self.hand_over(data))))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending if self.stall_detector.has_stalled(cx) => Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the client has stopped sending",
            )))),
            other => {
                self.upload.waiting_attempt.replace(Some(cx.waker().clone()));
                other.map_ok(Frame::data)
            }
        }
    }

    /// Counts data that is handed over. Danger: the reader of a body of known length does not poll again after its last byte, wherever that
    /// byte is: in the buffered beginning, or in what followed it.
    fn hand_over(&mut self, data: Bytes) -> Frame<Bytes> {
        self.sent += data.len() as u64;
        if self.upload.length == Some(self.sent) {
            self.end();
        }
        Frame::data(data)
    }

    fn end(&mut self) {
        self.ended = true;
        self.upload.end();
    }
}
