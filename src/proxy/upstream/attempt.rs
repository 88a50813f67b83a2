//! The request that attempts send to upstream nodes, and the handle by which the engine follows and cancels an attempt.

use crate::api::Status;
use crate::proxy::http::headers::CorrelationId;
use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::http::upload::Upload;
use crate::proxy::upstream::response_hold::ResponseHold;
use crate::proxy::upstream::socket::Socket;
use crate::proxy::Body;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Response, Uri};
use rushquay_invariants::RequestState;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A client's request in the form in which it is forwarded to upstream nodes.
pub struct UpstreamRequest {
    /// Its id, which the headers hold too.
    pub correlation_id: CorrelationId,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: AttemptBody,
}

/// The body of a forwarded request.
pub enum AttemptBody {
    /// The complete body, buffered.
    Buffered(Bytes),
    /// A body that is streamed from the client.
    Streamed(Rc<Upload>),
}

impl UpstreamRequest {
    /// Returns the request's id as text.
    pub fn id(&self) -> &str {
        self.correlation_id.as_str()
    }

    /// Returns the body if it is streamed.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match &self.body {
            AttemptBody::Buffered(_) => None,
            AttemptBody::Streamed(upload) => Some(upload),
        }
    }

    /// Returns whether another attempt could still send the complete body.
    pub fn can_send_body(&self) -> bool {
        self.upload().is_none_or(|u| u.may_send())
    }
}

/// The time limits of an attempt, counted from its start.
#[derive(Clone, Copy)]
pub struct AttemptLimits {
    /// How long the node may be silent: until its response begins, and between bytes of it.
    pub total: Duration,
    /// When the answer is due at the latest, whatever the node does.
    pub answer_due: Duration,
    /// Limit until the first byte is written; `None`: only `total` applies. Danger: nodes deduplicate against the previous
    /// attempt only for a limited time, which may have passed by the time a connection is established.
    pub first_byte: Option<Duration>,
    /// Time until the client's deadline.
    pub client: Duration,
    /// Maximum time left that is announced to the node; `None`: all that remains of `total`. The deadline of a request with a
    /// streamed body runs from its last byte, for the client and for the node.
    pub max_node_deadline: Option<Duration>,
}

impl AttemptLimits {
    /// Creates limits with no limit on the first byte, and `total` for everything else.
    pub fn with_total(total: Duration) -> Self {
        AttemptLimits { total, answer_due: total, first_byte: None, client: total, max_node_deadline: None }
    }
}

/// The outcome of an attempt.
pub struct AttemptOutcome {
    pub status: Status,
    /// The status code of the response; 0 if there was none.
    pub code: u16,
    /// Whether the node reported a cache hit; `None`: it did not say.
    pub cache_hit: Option<bool>,
    /// The response to forward, if the attempt succeeded.
    pub response: Option<Response<Body>>,
}

impl From<Status> for AttemptOutcome {
    fn from(status: Status) -> Self {
        AttemptOutcome { status, code: 0, cache_hit: None, response: None }
    }
}

/// The handle by which the engine follows and cancels an attempt in flight.
#[derive(Default)]
pub struct AttemptHandle {
    socket: RefCell<Option<Rc<Socket>>>,
    request: Cell<RequestState>,
    /// How long the attempt waited for a connection to have rested.
    rest_wait: Cell<Duration>,
    /// The beginning of its response, while it is held.
    pub response_hold: ResponseHold,
    /// The head of its response has come.
    has_response: Cell<bool>,
}

impl AttemptHandle {
    /// Returns the state of the request that the attempt belongs to.
    pub fn request_state(&self) -> RequestState {
        self.request.get()
    }

    /// Marks the request as answered. An attempt whose first byte is not written yet is then never written: the check before the
    /// first byte denies it.
    pub fn mark_answered(&self) {
        self.request.set(RequestState::Answered(steady_nanos()));
    }

    /// Marks the request as abandoned by its client, with the same effect on an unwritten attempt.
    pub fn mark_abandoned(&self) {
        self.request.set(RequestState::Abandoned(steady_nanos()));
    }

    /// Adds to the time that the attempt waited for a connection to have rested.
    pub fn add_rest_wait(&self, waited: Duration) {
        self.rest_wait.set(self.rest_wait.get() + waited);
    }

    /// Returns for how long the attempt waited for a connection to have rested, or held a response that was then passed on: this says
    /// nothing about its node.
    pub fn own_delay(&self) -> Duration {
        self.rest_wait.get() + self.response_hold.held_for()
    }

    /// Records that the head of the response has come.
    pub fn record_response(&self) {
        self.has_response.set(true);
    }

    /// Returns when the last byte of the response came that has come so far; `None`: not even its head has.
    pub fn last_response_byte(&self) -> Option<Instant> {
        let socket = self.socket.borrow();
        socket.as_ref().filter(|_| self.has_response.get())?.last_response_byte()
    }

    /// Sets the connection that the attempt is written to.
    pub fn set_socket(&self, socket: &Rc<Socket>) {
        self.socket.replace(Some(socket.clone()));
    }

    /// Returns whether the attempt was written completely.
    pub fn is_written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.is_written())
    }

    /// Closes the connection immediately. Danger: the task that drives the connection may still write before the aborted attempt's
    /// task ends, so the request is marked first.
    pub fn close_connection(&self) {
        if self.request.get() == RequestState::Open {
            self.mark_answered();
        }
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
    }
}
