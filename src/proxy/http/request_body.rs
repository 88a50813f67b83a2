//! Request and response bodies: short ones are buffered completely, long ones are streamed at the pace of their reader.

use crate::proxy::http::upload::{Upload, UploadAttempt};
use crate::proxy::upstream::request_progress::RequestProgress;
use crate::proxy::MAX_READ_AHEAD;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};
use rushquay_http_body::{detach, BodyBuffer};
use rushquay_stream_progress::{Nanos, ProgressLimits, ProgressTracker, SECOND};
use std::any::Any;
use std::future::{pending, Future, Pending};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, Sleep};

/// Bodies of at most this many bytes are buffered completely.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// Minimum progress of a client that sends a body. The slowest healthy client sends 64 kB/s after the first two seconds. A client that
/// has stopped must get its answer within 3 s; the limit is below that, since a stall is detected a little late.
pub const CLIENT_LIMITS: ProgressLimits =
    ProgressLimits { max_silence: 2_700_000_000, grace: 4 * SECOND, min_rate: 16_000 };
/// Minimum progress of a node whose answer is being buffered.
pub const NODE_LIMITS: ProgressLimits =
    ProgressLimits { max_silence: 3 * SECOND, grace: 4 * SECOND, min_rate: 16_000 };
/// Minimum progress of a node whose answer is being streamed.
const STREAMING_LIMITS: ProgressLimits = ProgressLimits { max_silence: 10 * SECOND, grace: 0, min_rate: 0 };

/// Returns monotonic nanoseconds since an arbitrary time in this process.
pub fn steady_nanos() -> Nanos {
    thread_local! {
        static START: Instant = Instant::now();
    }
    START.with(|start| start.elapsed().as_nanos() as Nanos)
}

/// A body sent to a client or to a node.
pub struct Body {
    kind: Kind,
    /// What its last byte is reported to; `None`: nobody asks.
    progress: Option<Rc<RequestProgress>>,
}

enum Kind {
    Whole(Full<Bytes>),
    Answer(Box<StreamedResponse>),
    Upload(Box<UploadAttempt>),
}

impl Default for Body {
    fn default() -> Self {
        Body::new(Bytes::new())
    }
}

impl From<Kind> for Body {
    fn from(kind: Kind) -> Self {
        Body { kind, progress: None }
    }
}

impl Body {
    /// Creates a completely buffered body.
    pub fn new(bytes: Bytes) -> Self {
        Kind::Whole(Full::new(bytes)).into()
    }

    /// Creates the body of a node's long answer.
    pub fn answer(answer: StreamedResponse) -> Self {
        Kind::Answer(Box::new(answer)).into()
    }

    /// Creates the body of one attempt that streams a client's long body to a node.
    pub fn upload(upload: &Rc<Upload>) -> Self {
        Kind::Upload(Box::new(UploadAttempt::new(upload))).into()
    }

    /// Makes the body of a request report when its last byte is handed over to be written.
    pub fn reporting_to(mut self, progress: Rc<RequestProgress>) -> Self {
        self.progress = Some(progress);
        // Hyper does not poll an empty body.
        self.report_if_ended();
        self
    }

    fn report_if_ended(&self) {
        if self.is_end_stream() {
            self.progress.iter().for_each(|progress| progress.record_last_byte_handed_over());
        }
    }

    /// Keeps a value until a long answer has been streamed to its end; with any other body the value is dropped immediately.
    pub fn carry(&mut self, value: impl Any) {
        if let Kind::Answer(answer) = &mut self.kind {
            answer.carried.push(Box::new(value));
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = match &mut self.kind {
            Kind::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Kind::Answer(answer) => answer.poll(cx),
            Kind::Upload(upload) => upload.poll(cx),
        };
        self.report_if_ended();
        frame
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Whole(whole) => whole.is_end_stream(),
            Kind::Answer(answer) => answer.ended,
            Kind::Upload(upload) => upload.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let exact = |length: Option<u64>| length.map(SizeHint::with_exact).unwrap_or_default();
        match &self.kind {
            Kind::Whole(whole) => whole.size_hint(),
            Kind::Answer(answer) => exact(answer.length),
            Kind::Upload(upload) => exact(upload.length()),
        }
    }
}

/// Detects that a peer makes no progress while data is expected from it.
pub(super) struct StallDetector {
    pub progress: ProgressTracker,
    limits: ProgressLimits,
    timer: Option<Pin<Box<Sleep>>>,
}

impl StallDetector {
    pub fn new(limits: ProgressLimits) -> Self {
        StallDetector { progress: ProgressTracker::new(steady_nanos()), limits, timer: None }
    }

    pub fn record(&mut self, bytes: usize) {
        self.progress.record(steady_nanos(), bytes);
        self.timer = None;
    }

    /// Returns whether the peer has stalled; if not, the task is woken when it has.
    pub fn has_stalled(&mut self, cx: &mut Context<'_>) -> bool {
        let now = steady_nanos();
        if self.timer.is_none() {
            let remaining = self.progress.stalled_at(&self.limits).saturating_sub(now);
            let at = tokio::time::Instant::now() + Duration::from_nanos(remaining);
            self.timer = Some(Box::pin(sleep_until(at)));
        }
        self.timer.as_mut().is_some_and(|t| t.as_mut().poll(cx).is_ready())
    }
}

/// Polls the next data of a body; trailers are dropped.
pub(super) fn poll_data(body: &mut Incoming, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
    loop {
        return match std::task::ready!(Pin::new(&mut *body).poll_frame(cx)) {
            None => Poll::Ready(None),
            Some(Err(e)) => Poll::Ready(Some(Err(io::Error::other(e)))),
            Some(Ok(frame)) => match frame.into_data() {
                // Danger: the data may wait long for its reader.
                Ok(data) => Poll::Ready(Some(Ok(detach(data, MAX_READ_AHEAD)))),
                Err(_) => continue,
            },
        };
    }
}

/// A connection on which an answer is still arriving. Dropping it closes the connection.
pub trait ReturnConnection {
    /// Returns the connection to its pool, once the answer has ended.
    fn return_connection(self: Box<Self>);
}

/// A node's answer that is streamed while it arrives. Dropping it before its end closes its connection.
pub struct StreamedResponse {
    /// The buffered beginning, until it has been passed on.
    held: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    returning: Option<Box<dyn ReturnConnection>>,
    stall_detector: StallDetector,
    carried: Vec<Box<dyn Any>>,
    ended: bool,
}

impl StreamedResponse {
    /// `length` is the length of the whole body; `returning` takes the connection back after the last byte.
    pub fn new(
        held: Bytes,
        rest: Incoming,
        length: Option<u64>,
        returning: impl ReturnConnection + 'static,
    ) -> Self {
        let held = Some(held).filter(|h| !h.is_empty());
        let returning: Option<Box<dyn ReturnConnection>> = Some(Box::new(returning));
        let stall_detector = StallDetector::new(STREAMING_LIMITS);
        StreamedResponse { held, rest, length, returning, stall_detector, carried: Vec::new(), ended: false }
    }

    /// Ends the answer after its last byte.
    fn end(&mut self) {
        self.ended = true;
        self.returning.take().into_iter().for_each(|r| r.return_connection());
        self.carried.clear();
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        match poll_data(&mut self.rest, cx) {
            Poll::Ready(Some(Ok(data))) => {
                self.stall_detector.record(data.len());
                // Danger: the reader of a body of known length does not poll again after its last byte.
                if self.length == Some(self.stall_detector.progress.bytes()) {
                    self.end();
                }
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending if self.stall_detector.has_stalled(cx) => Poll::Ready(Some(Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the node has stopped answering",
            )))),
            other => other.map_ok(Frame::data),
        }
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyReadError {
    /// The sender has stopped, or is too slow.
    Stalled,
    /// The body was cut off, or its framing is invalid.
    Broken,
}

/// When to stop reading the beginning of a body.
pub struct HoldEnd<F> {
    /// The next bytes that arrive from then on end it.
    pub arriving_until: Nanos,
    /// Completes when it ends, whatever has arrived.
    pub at: F,
}

impl HoldEnd<Pending<()>> {
    /// The body is read to its end unless it exceeds the buffer.
    pub fn never() -> Self {
        HoldEnd { arriving_until: Nanos::MAX, at: pending() }
    }
}

/// Reads the beginning of a body, until it exceeds [`MAX_BUFFERED_BODY`] or the hold ends; returns it and whether it is the complete body.
pub async fn beginning(
    body: &mut Incoming,
    limits: ProgressLimits,
    hold_end: HoldEnd<impl Future<Output = ()>>,
) -> Result<(Bytes, bool), BodyReadError> {
    let HoldEnd { arriving_until, at: hold_end } = hold_end;
    let mut hold_end = pin!(hold_end);
    let mut progress = ProgressTracker::new(steady_nanos());
    let mut buffer = BodyBuffer::new(max_buffered(body));
    loop {
        if buffer.len() > MAX_BUFFERED_BODY {
            return Ok((buffer.into_bytes(), false));
        }
        let remaining = Duration::from_nanos(progress.stalled_at(&limits).saturating_sub(steady_nanos()));
        let stalled_at = tokio::time::Instant::now() + remaining;
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut hold_end => return Ok((buffer.into_bytes(), false)),
            () = sleep_until(stalled_at) => return Err(BodyReadError::Stalled),
        };
        let frame = match frame {
            None => return Ok((buffer.into_bytes(), true)),
            Some(Err(_)) => return Err(BodyReadError::Broken),
            Some(Ok(frame)) => frame,
        };
        if let Ok(data) = frame.into_data() {
            let now = steady_nanos();
            progress.record(now, data.len());
            buffer.push(data);
            if now >= arriving_until && !body.is_end_stream() {
                return Ok((buffer.into_bytes(), false));
            }
        }
    }
}

/// Returns how many bytes of a body are buffered at most: its length if that is known, otherwise all that are read before it counts as long.
fn max_buffered(body: &Incoming) -> usize {
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    length.unwrap_or(usize::MAX).min(MAX_BUFFERED_BODY + MAX_READ_AHEAD)
}
