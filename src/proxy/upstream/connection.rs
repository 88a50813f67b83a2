//! Serves one client connection from its first byte to its close.

use crate::proxy::http::request_framing::RequestFraming;
use crate::proxy::http::responses::{bad, closing};
use crate::proxy::listener::client_connection::{Busy, Client};
use crate::proxy::listener::descriptors::Permit;
use crate::proxy::listener::read_buffer::BufferedInput;
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::server::Server;
use crate::proxy::BUFFER_MOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use rushquay_admin::TurnedAway;
use rushquay_invariants::{check_closed, may_close, CloseCause, ConnectionFacts, Owed};
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Before an idle connection is closed on which something has come, the runtime gets so many turns to hear of it.
const LOOKS: u32 = 3;

/// What to do with a connection that is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// Close it.
    Close,
    /// Something has come of which the runtime has not heard: look again.
    LookAgain,
    /// Let its answers say that it ends behind the last of them.
    AnswerFirst,
    /// Wait for the rest of a head, whose time is limited elsewhere.
    Wait,
}

impl Server {
    /// Serves a connection, on a task of its own.
    pub fn connected(self: &Rc<Self>, stream: TcpStream, permit: Permit) {
        let client = Client::new(self.next_connection(), stream, permit);
        self.clients.borrow_mut().push(client.clone());
        request_trace::event(|| Event::Connected { connection: client.number });
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            client.linger().await;
            server.clients.borrow_mut().retain(|c| !Rc::ptr_eq(c, &client));
            server.client_left.notify_one();
        });
    }

    /// Answers all that comes on a connection, up to its end.
    async fn serve(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| {
            let busy = Busy::new(client);
            let fault = client.read_buffer.fault.take();
            async move {
                let mut response = match fault {
                    Some(why) => {
                        self.count_turned_away(client.number, TurnedAway::BadFraming);
                        bad(StatusCode::BAD_REQUEST, why)
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
        // Danger: by default hyper drops the request of a client that has ended its sending and still waits,
        // and lets one connection hold some 400 KB.
        let gate = RequestFraming::new(client.socket.clone(), client.read_buffer.clone());
        let connection = http1::Builder::new()
            .half_close(true)
            .max_buf_size(BUFFER_MOST)
            .serve_connection(TokioIo::new(gate), service);
        let mut connection = std::pin::pin!(connection);
        let mut looks = LOOKS;
        loop {
            // What has come in is read before the connection is asked to end.
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    if ended.as_ref().is_err_and(hyper::Error::is_parse) {
                        self.count_turned_away(client.number, TurnedAway::Unparsable);
                    }
                    self.closed(client, ended_by(client, ended));
                    return;
                }
                () = client.ending.notified() => {
                    let cause = client.cause().unwrap_or(CloseCause::Idle);
                    match next(client, cause, &mut looks) {
                        Next::Close => {
                            self.closed(client, cause);
                            return;
                        }
                        Next::LookAgain => {
                            client.ending.notify_one();
                            tokio::task::yield_now().await;
                        }
                        Next::AnswerFirst if client.read_buffer.behind() == BufferedInput::Nothing => {
                            connection.as_mut().graceful_shutdown();
                        }
                        Next::AnswerFirst | Next::Wait => {}
                    }
                }
            }
        }
    }

    /// Whether the answer that is given now is the last on its connection. Danger: what has been read behind the request would be
    /// dropped unanswered; what has come and was not read is read now.
    fn is_last(&self, client: &Client) -> bool {
        if client.read_buffer.last.get() {
            return true;
        }
        if !self.draining.get() && !client.closing() {
            return false;
        }
        client.read_buffer.read_ahead(&client.socket);
        client.read_buffer.behind() == BufferedInput::Nothing
    }

    /// Notes that a connection has ended, and looks whether something was owed on it.
    fn closed(&self, client: &Client, cause: CloseCause) {
        let facts = ConnectionFacts { peer_gone: client.socket.ended(), ..client.facts() };
        if let Some(violation) = check_closed(&facts, cause) {
            let connection = format!("connection {} ({cause:?}, {facts:?})", client.number);
            crate::proxy::violation(&self.metrics, violation, &connection);
        }
        self.metrics.closes.one_more(cause);
        request_trace::event(|| Event::Closed { connection: client.number, cause });
    }

    /// Notes a connection that the end of the process cuts off.
    pub fn cut_off(&self, client: &Client) {
        self.closed(client, CloseCause::ProcessEnd);
    }
}

/// Why a connection has ended that hyper no longer serves.
fn ended_by(client: &Client, ended: Result<(), hyper::Error>) -> CloseCause {
    let cause = match &ended {
        Err(e) if e.is_user() => {
            // Danger: where the end of an answer is the end of its connection, a part of it would pass for the whole.
            if client.ends_by_close.get() {
                client.socket.reset();
            }
            client.end(CloseCause::BrokenAnswer);
            return CloseCause::BrokenAnswer;
        }
        Err(e) if e.is_parse() => CloseCause::AnswerSaidSo,
        Ok(()) if !client.socket.ended() => CloseCause::AnswerSaidSo,
        _ => CloseCause::PeerEnded,
    };
    client.cause().unwrap_or(cause)
}

/// What to do with a connection that is to end for this reason.
fn next(client: &Client, cause: CloseCause, looks: &mut u32) -> Next {
    match may_close(&client.facts(), cause) {
        Err(Owed::Answer | Owed::RestOfAnswer) => Next::AnswerFirst,
        Err(Owed::RestOfHead) => Next::Wait,
        // Danger: what has just come may be a request, of which the runtime has not heard yet.
        Ok(()) if *looks > 0 && cause != CloseCause::NotRead && !client.socket.silent() => {
            *looks -= 1;
            Next::LookAgain
        }
        Ok(()) => Next::Close,
    }
}
