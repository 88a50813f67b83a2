//! Bodies: short ones are held whole, long ones are passed on as they come, at the pace of whoever reads.

use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};
use rushquay_stream_progress::{Nanos, ProgressLimits, ProgressTracker, Replay, SECOND};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep_until, Sleep};

/// Bodies of at most this length are held whole.
pub const BODY_MOST: usize = 64 << 10;
/// A client that sends a body may be so slow. The slowest that is well sends 64 kB a second after two; one that has stopped is owed
/// its answer within 3 s, and what stands still is found out a little later than it is due.
pub const CLIENT_PATIENCE: ProgressLimits =
    ProgressLimits { max_silence: 2_700_000_000, grace: 4 * SECOND, min_rate: 16_000 };
/// The same of a node.
pub const NODE_PATIENCE: ProgressLimits =
    ProgressLimits { max_silence: 3 * SECOND, grace: 4 * SECOND, min_rate: 16_000 };
/// A node that answers may be so slow, once its answer has begun.
const ANSWER_PATIENCE: ProgressLimits = ProgressLimits { max_silence: 10 * SECOND, grace: 0, min_rate: 0 };

/// Nanoseconds since some moment of this process.
pub fn steady() -> Nanos {
    thread_local! {
        static START: Instant = Instant::now();
    }
    START.with(|start| start.elapsed().as_nanos() as Nanos)
}

/// A body of either side, in either direction.
pub struct Body(Kind);

enum Kind {
    Whole(Full<Bytes>),
    Answer(Box<LongAnswer>),
    Upload(Box<LongUpload>),
}

impl Default for Body {
    fn default() -> Self {
        Body::new(Bytes::new())
    }
}

impl Body {
    /// One that is held whole.
    pub fn new(bytes: Bytes) -> Self {
        Body(Kind::Whole(Full::new(bytes)))
    }

    /// A node's long answer.
    pub fn answer(answer: LongAnswer) -> Self {
        Body(Kind::Answer(Box::new(answer)))
    }

    /// A client's long body on its way to a node.
    pub fn upload(upload: &Rc<Upload>) -> Self {
        Body(Kind::Upload(Box::new(LongUpload {
            of: upload.clone(),
            sent: false,
            rest: None,
            watch: Watch::new(CLIENT_PATIENCE),
        })))
    }

    /// This lives until the answer has been passed on, if it is a long one; else it is dropped now.
    pub fn carry(&mut self, what: impl Any) {
        if let Kind::Answer(answer) = &mut self.0 {
            answer.carried.push(Box::new(what));
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.0 {
            Kind::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Kind::Answer(answer) => answer.poll(cx),
            Kind::Upload(upload) => upload.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Kind::Whole(whole) => whole.is_end_stream(),
            Kind::Answer(answer) => answer.ended,
            Kind::Upload(upload) => upload.of.whole.get(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let exact = |length: Option<u64>| length.map(SizeHint::with_exact).unwrap_or_default();
        match &self.0 {
            Kind::Whole(whole) => whole.size_hint(),
            Kind::Answer(answer) => exact(answer.length),
            Kind::Upload(upload) => exact(upload.of.length),
        }
    }
}

/// Watches a peer's progress while something is awaited from it.
struct Watch {
    pace: ProgressTracker,
    patience: ProgressLimits,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Watch {
    fn new(patience: ProgressLimits) -> Self {
        Watch { pace: ProgressTracker::new(steady()), patience, timer: None }
    }

    fn moved(&mut self, bytes: usize) {
        self.pace.record(steady(), bytes);
        self.timer = None;
    }

    /// Whether the peer has stopped; else the task is woken when it has.
    fn stopped(&mut self, cx: &mut Context<'_>) -> bool {
        let now = steady();
        if self.timer.is_none() {
            let left = self.pace.stalled_at(&self.patience).saturating_sub(now);
            let at = tokio::time::Instant::now() + Duration::from_nanos(left);
            self.timer = Some(Box::pin(sleep_until(at)));
        }
        self.timer.as_mut().is_some_and(|t| t.as_mut().poll(cx).is_ready())
    }
}

/// The next data of a body; trailers are not passed on.
fn poll_data(body: &mut Incoming, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
    loop {
        return match std::task::ready!(Pin::new(&mut *body).poll_frame(cx)) {
            None => Poll::Ready(None),
            Some(Err(e)) => Poll::Ready(Some(Err(io::Error::other(e)))),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => Poll::Ready(Some(Ok(data))),
                Err(_) => continue,
            },
        };
    }
}

/// A connection on which an answer still comes. Dropped, it closes.
pub trait Returns {
    /// The answer has ended.
    fn back(self: Box<Self>);
}

/// A node's answer that is passed on while it comes. Dropped before its end, it takes its connection along.
pub struct LongAnswer {
    /// What came first.
    held: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    returning: Option<Box<dyn Returns>>,
    watch: Watch,
    carried: Vec<Box<dyn Any>>,
    ended: bool,
}

impl LongAnswer {
    /// `length` is that of the whole; `returning` takes the connection back behind the last byte.
    pub fn new(held: Bytes, rest: Incoming, length: Option<u64>, returning: impl Returns + 'static) -> Self {
        let held = Some(held).filter(|h| !h.is_empty());
        let returning: Option<Box<dyn Returns>> = Some(Box::new(returning));
        let watch = Watch::new(ANSWER_PATIENCE);
        LongAnswer { held, rest, length, returning, watch, carried: Vec::new(), ended: false }
    }

    /// Its last byte has come.
    fn end(&mut self) {
        self.ended = true;
        self.returning.take().into_iter().for_each(|r| r.back());
        self.carried.clear();
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        match poll_data(&mut self.rest, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.watch.moved(data.len());
                // Danger: whoever reads a body of a told length asks for nothing behind its last byte.
                if self.length == Some(self.watch.pace.bytes()) {
                    self.end();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending if self.watch.stopped(cx) => Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the node has stopped answering",
            )))),
            other => other.map_ok(Frame::data),
        }
    }
}

/// A client's body that is longer than what is held of it.
pub struct Upload {
    beginning: Bytes,
    rest: RefCell<Option<Incoming>>,
    replay: Cell<Replay>,
    length: Option<u64>,
    /// Its last byte has come.
    whole: Cell<bool>,
    came: Notify,
}

impl Upload {
    /// Of a body that begins so.
    pub fn new(beginning: Bytes, rest: Incoming, length: Option<u64>) -> Rc<Self> {
        let (rest, replay) = (RefCell::new(Some(rest)), Cell::new(Replay::of(false)));
        Rc::new(Upload { beginning, rest, replay, length, whole: Cell::new(false), came: Notify::new() })
    }

    /// Whether an attempt may still begin.
    pub fn may_send(&self) -> bool {
        self.replay.get().may_send()
    }

    /// Returns once the last byte has come: a client's time runs from then.
    pub async fn whole(&self) {
        while !self.whole.get() {
            self.came.notified().await;
        }
    }

    fn end(&self) {
        self.whole.set(true);
        self.came.notify_one();
    }

    /// For the rest, if no other attempt has it.
    fn past(&self) -> Option<Incoming> {
        let mut replay = self.replay.get();
        let got = replay.claim_rest();
        self.replay.set(replay);
        self.rest.borrow_mut().take().filter(|_| got)
    }
}

/// An upload on its way in one attempt.
struct LongUpload {
    of: Rc<Upload>,
    sent: bool,
    rest: Option<Incoming>,
    watch: Watch,
}

impl LongUpload {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if !self.sent {
            self.sent = true;
            return Poll::Ready(Some(Ok(Frame::data(self.of.beginning.clone()))));
        }
        if self.rest.is_none() {
            self.rest = self.of.past();
            self.watch = Watch::new(CLIENT_PATIENCE);
        }
        let behind = self.of.length.map(|length| length.saturating_sub(self.of.beginning.len() as u64));
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err(io::Error::other("the body has gone out in another attempt"))));
        };
        match poll_data(rest, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.watch.moved(data.len());
                if behind == Some(self.watch.pace.bytes()) {
                    self.of.end();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(None) => {
                self.of.end();
                Poll::Ready(None)
            }
            Poll::Pending if self.watch.stopped(cx) => Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the client has stopped sending",
            )))),
            other => other.map_ok(Frame::data),
        }
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// Its sender has stopped, or is too slow.
    Stopped,
    /// It broke off, or its framing is spoilt.
    Broken,
}

/// The beginning of a body, up to [`BODY_MOST`]; whether that is all of it. `hold`: it is given out after this time however
/// little has come.
pub async fn beginning(
    body: &mut Incoming,
    patience: ProgressLimits,
    hold: Option<Duration>,
) -> Result<(Bytes, bool), Unread> {
    let (mut pace, mut parts): (ProgressTracker, Vec<Bytes>) = (ProgressTracker::new(steady()), Vec::new());
    let until = hold.map(|hold| tokio::time::Instant::now() + hold);
    loop {
        let held: usize = parts.iter().map(Bytes::len).sum();
        if held > BODY_MOST {
            return Ok((joined(parts), false));
        }
        let left = Duration::from_nanos(pace.stalled_at(&patience).saturating_sub(steady()));
        let due = tokio::time::Instant::now() + left;
        let early = until.filter(|until| *until < due);
        let frame = match tokio::time::timeout_at(early.unwrap_or(due), body.frame()).await {
            Err(_) if early.is_some() => return Ok((joined(parts), false)),
            Err(_) => return Err(Unread::Stopped),
            Ok(None) => return Ok((joined(parts), true)),
            Ok(Some(Err(_))) => return Err(Unread::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            pace.record(steady(), data.len());
            parts.push(data);
        }
    }
}

fn joined(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        0 => Bytes::new(),
        1 => parts.swap_remove(0),
        _ => parts.concat().into(),
    }
}
