//! A request as it goes on to nodes, and what its engine holds of an attempt at one of them.

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

/// A client's request as it goes on to any cache node.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: AttemptBody,
}

/// A request's body.
pub enum AttemptBody {
    /// Held whole.
    Whole(Bytes),
    /// Passed on as it comes.
    Long(Rc<Upload>),
}

impl UpstreamRequest {
    /// Its X-Correlation-Id.
    pub fn id(&self) -> &str {
        self.headers.get(CORRELATION_ID).and_then(|id| id.to_str().ok()).unwrap_or("")
    }

    /// Its body, where that is passed on as it comes.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match &self.body {
            AttemptBody::Whole(_) => None,
            AttemptBody::Long(upload) => Some(upload),
        }
    }

    /// Whether an attempt could still send the whole of it.
    pub fn may_send(&self) -> bool {
        self.upload().is_none_or(|u| u.may_send())
    }
}

/// How long an attempt may take, from now.
#[derive(Clone, Copy)]
pub struct Span {
    /// All of it.
    pub whole: Duration,
    /// Until its first byte; `None`: nothing but the whole bounds it. Danger: whoever remembers the attempt before does so for a
    /// time alone, which may be over once a connection has come up.
    pub begin: Option<Duration>,
    /// Until the client stops waiting.
    pub client: Duration,
    /// The node is told of no more than this; `None`: of all that is left. The time of a body that still comes runs from its last
    /// byte, for the client and for the node.
    pub told_most: Option<Duration>,
}

impl Span {
    /// With no bound on its beginning, for a client that waits no longer.
    pub fn of(whole: Duration) -> Self {
        Span { whole, begin: None, client: whole, told_most: None }
    }
}

/// What came of an attempt.
pub struct AttemptOutcome {
    pub status: Status,
    /// The status of its answer, as it came; 0: none did.
    pub code: u16,
    pub hit: Option<bool>,
    /// The answer, where it was served.
    pub answer: Option<Response<Body>>,
}

impl From<Status> for AttemptOutcome {
    fn from(status: Status) -> Self {
        AttemptOutcome { status, code: 0, hit: None, answer: None }
    }
}

/// The engine's hold on an attempt while it is out.
#[derive(Default)]
pub struct Cancellation {
    socket: RefCell<Option<Rc<Socket>>>,
    request: Cell<RequestState>,
}

impl Cancellation {
    /// How the request stands.
    pub fn request(&self) -> RequestState {
        self.request.get()
    }

    /// The request has had its answer: what is not yet written stays unwritten, which the guard of the first byte sees to.
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

    /// Whether all of it was written.
    pub fn written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.whole())
    }

    /// Closes the connection now. Danger: the task that writes it may run before the one that is aborted.
    pub fn cut(&self) {
        if self.request.get() == RequestState::Open {
            self.answered();
        }
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
    }
}
