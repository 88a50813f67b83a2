//! Serves one client connection from accept to close.

use crate::proxy::http::request_framing::RequestFraming;
use crate::proxy::http::responses::{bad, closing};
use crate::proxy::listener::admission::{Admission, ClientRole};
use crate::proxy::listener::client_connection::{Busy, Client};
use crate::proxy::listener::read_buffer::BufferedInput;
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::server::Server;
use crate::proxy::tasks::{catch_panic, record_panic};
use crate::proxy::MAX_READ_AHEAD;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use rushquay_admin::TurnedAway;
use rushquay_invariants::{check_closed, may_close, CloseCause, ConnectionFacts, Outstanding};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpStream;

/// How many times the runtime gets a turn to read bytes that have arrived on an idle connection before it is closed.
const MAX_RECHECKS: u32 = 3;

/// What to do with a connection that should be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseAction {
    /// Close it now.
    Close,
    /// The kernel holds bytes that the runtime has not read yet: let the runtime run and check again.
    Recheck,
    /// Answer the open requests first; the last response carries `Connection: close`.
    AnswerFirst,
    /// Wait for the rest of a request head, which has a timeout of its own.
    Wait,
}

impl Server {
    /// Serves a new connection in a separate task.
    pub fn serve_connection(self: &Rc<Self>, stream: TcpStream, admission: Admission) {
        let client = Client::new(self.next_connection(), stream, admission);
        // What has arrived may have done so since connections have had to wait.
        let waiting_since = self.congestion.since().filter(|_| !client.socket.has_no_input());
        waiting_since.into_iter().for_each(|since| client.read_buffer.assume_arrival(since));
        let registration = self.clients.register(client);
        request_trace::event(|| Event::Connected { connection: registration.client().number });
        let server = self.clone();
        tokio::task::spawn_local(async move {
            let client = registration.client();
            let served = catch_panic(async {
                server.serve(client).await;
                client.linger().await;
            });
            if let Err(panic) = served.await {
                record_panic(&server.metrics, format_args!("connection {}", client.number), &panic);
                // Danger: an orderly close would make a partial response look complete.
                client.socket.reset();
            }
        });
    }

    /// Answers all requests of a connection until it closes.
    async fn serve(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let busy = Busy::new(client);
            let fault = client.read_buffer.fault.take();
            async move {
                let mut response = match fault {
                    Some(reason) => {
                        self.count_turned_away(client.number, TurnedAway::BadFraming);
                        bad(StatusCode::BAD_REQUEST, reason)
                    }
                    None => self.handle_request(request, client).await,
                };
                response.body_mut().carry(busy);
                if self.is_last(client) {
                    closing(&mut response);
                }
                Ok::<_, Infallible>(response)
            }
        });
        // Danger: by default hyper drops the request of a client that has closed its sending side and still waits for the response,
        // and buffers some 400 KB per connection.
        let framing = RequestFraming::new(client.socket.clone(), client.read_buffer.clone());
        let connection = http1::Builder::new()
            .half_close(true)
            .max_buf_size(MAX_READ_AHEAD)
            .serve_connection(TokioIo::new(framing), service);
        let mut connection = std::pin::pin!(connection);
        let mut rechecks_left = MAX_RECHECKS;
        loop {
            // Bytes that have arrived are read before the connection is asked to close.
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    if ended.as_ref().is_err_and(hyper::Error::is_parse) {
                        self.count_turned_away(client.number, TurnedAway::Unparsable);
                    }
                    self.record_close(client, close_cause(client, ended));
                    return;
                }
                () = client.close_requested.notified() => {
                    let cause = client.cause().unwrap_or(CloseCause::Idle);
                    match close_action(client, cause, &mut rechecks_left) {
                        CloseAction::Close => {
                            self.record_close(client, cause);
                            return;
                        }
                        CloseAction::Recheck => {
                            client.close_requested.notify_one();
                            tokio::task::yield_now().await;
                        }
                        CloseAction::AnswerFirst if client.read_buffer.buffered_input() == BufferedInput::Nothing => {
                            connection.as_mut().graceful_shutdown();
                        }
                        CloseAction::AnswerFirst | CloseAction::Wait => {}
                    }
                }
            }
        }
    }

    /// Returns whether the response that is being sent is the last on its connection. Danger: requests that were already read behind
    /// this one would be dropped unanswered, so bytes that have arrived are read now.
    fn is_last(&self, client: &Client) -> bool {
        if client.read_buffer.has_unknown_length.get() {
            return true;
        }
        if !self.draining.get() && !client.closing() && client.role == ClientRole::Served {
            return false;
        }
        client.read_buffer.read_ahead(&client.socket);
        client.read_buffer.buffered_input() == BufferedInput::Nothing
    }

    /// Records that a connection has closed, and checks whether a response was still owed on it.
    fn record_close(&self, client: &Client, cause: CloseCause) {
        let facts = ConnectionFacts { peer_gone: client.socket.is_read_closed(), ..client.facts() };
        if let Some(violation) = check_closed(&facts, cause) {
            let connection = format!("connection {} ({cause:?}, {facts:?})", client.number);
            crate::proxy::violation(&self.metrics, violation, &connection);
        }
        self.metrics.closes.one_more(cause);
        request_trace::event(|| Event::Closed { connection: client.number, cause });
    }

    /// Records a connection that is closed by the end of the process.
    pub fn record_process_end(&self, client: &Client) {
        self.record_close(client, CloseCause::ProcessEnd);
    }
}

/// Returns why hyper stopped serving a connection.
fn close_cause(client: &Client, ended: Result<(), hyper::Error>) -> CloseCause {
    let cause = match &ended {
        Err(e) if e.is_user() => {
            // Danger: if a response is delimited by the close of its connection, a truncated one would pass for complete.
            if client.ends_by_close.get() {
                client.socket.reset();
            }
            client.request_close(CloseCause::BrokenAnswer);
            return CloseCause::BrokenAnswer;
        }
        Err(e) if e.is_parse() => CloseCause::AnswerSaidSo,
        Ok(()) if !client.socket.is_read_closed() => CloseCause::AnswerSaidSo,
        _ => CloseCause::PeerEnded,
    };
    client.cause().unwrap_or(cause)
}

/// Returns what to do with a connection that should be closed for this cause.
fn close_action(client: &Client, cause: CloseCause, rechecks_left: &mut u32) -> CloseAction {
    match may_close(&client.facts(), cause) {
        Err(Outstanding::Answer | Outstanding::RestOfAnswer) => CloseAction::AnswerFirst,
        Err(Outstanding::RestOfHead) => CloseAction::Wait,
        // Danger: bytes that have just arrived may be a request that the runtime has not read yet.
        Ok(()) if *rechecks_left > 0 && cause != CloseCause::NotRead && !client.socket.has_no_input() => {
            *rechecks_left -= 1;
            CloseAction::Recheck
        }
        Ok(()) => CloseAction::Close,
    }
}
