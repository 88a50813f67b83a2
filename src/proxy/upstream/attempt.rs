//! A request as it is forwarded to nodes, and the engine's handle on an attempt.

use crate::api::Status;
use crate::proxy::http::headers::CORRELATION_ID;
use crate::proxy::http::request_body::{steady, Upload};
use crate::proxy::upstream::socket::Socket;
use crate::proxy::Body;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Response, Uri};
use rushquay_invariants::RequestState;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// A client's request as it is forwarded to any node.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: AttemptBody,
}

/// A request's body.
pub enum AttemptBody {
    /// Buffered completely.
    Whole(Bytes),
    /// Streamed.
    Long(Rc<Upload>),
}

impl UpstreamRequest {
    /// Its X-Correlation-Id.
    pub fn id(&self) -> &str {
        self.headers.get(CORRELATION_ID).and_then(|id| id.to_str().ok()).unwrap_or("")
    }

    /// Its body if that is streamed.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match &self.body {
            AttemptBody::Whole(_) => None,
            AttemptBody::Long(upload) => Some(upload),
        }
    }

    /// Whether another attempt could still send its complete body.
    pub fn may_send(&self) -> bool {
        self.upload().is_none_or(|u| u.may_send())
    }
}

/// The time limits of an attempt, from now.
#[derive(Clone, Copy)]
pub struct Span {
    /// For the whole attempt.
    pub whole: Duration,
    /// Until its first byte; `None`: no limit but the whole. Danger: nodes deduplicate against the previous attempt only for a limited
    /// time, which may be over once a connection is established.
    pub begin: Option<Duration>,
    /// Until the client's deadline.
    pub client: Duration,
    /// The most that is passed on to the node as its deadline; `None`: all that is left. The deadline of a streamed body runs from its
    /// last byte, for the client and for the node.
    pub told_most: Option<Duration>,
}

impl Span {
    /// No limit on the first byte, and a client deadline equal to the whole.
    pub fn of(whole: Duration) -> Self {
        Span { whole, begin: None, client: whole, told_most: None }
    }
}

/// The outcome of an attempt.
pub struct AttemptOutcome {
    pub status: Status,
    /// The status code of its response; 0: there was none.
    pub code: u16,
    pub hit: Option<bool>,
    /// The response, if it was served.
    pub answer: Option<Response<Body>>,
}

impl From<Status> for AttemptOutcome {
    fn from(status: Status) -> Self {
        AttemptOutcome { status, code: 0, hit: None, answer: None }
    }
}

/// The engine's handle on an attempt in flight.
#[derive(Default)]
pub struct Cancellation {
    socket: RefCell<Option<Rc<Socket>>>,
    request: Cell<RequestState>,
}

impl Cancellation {
    /// The state of the request.
    pub fn request(&self) -> RequestState {
        self.request.get()
    }

    /// The request was answered: an attempt that is not written yet is never written, which the check at its first byte ensures.
    pub fn answered(&self) {
        self.request.set(RequestState::Answered(steady()));
    }

    /// Its client has gone: the same.
    pub fn abandoned(&self) {
        self.request.set(RequestState::Abandoned(steady()));
    }

    /// The attempt is written on this connection.
    pub fn on(&self, socket: &Rc<Socket>) {
        self.socket.replace(Some(socket.clone()));
    }

    /// Whether it was written completely.
    pub fn written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.whole())
    }

    /// Closes the connection immediately. Danger: the task that writes it may run before the aborted task ends.
    pub fn cut(&self) {
        if self.request.get() == RequestState::Open {
            self.answered();
        }
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
    }
}
