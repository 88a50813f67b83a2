//! Graceful shutdown: closes the listener, and answers every request that was received.

use crate::proxy::listener::acceptor::EVICTION_WAIT;
use crate::proxy::listener::shutdown_deadline::{FINAL_WRITE_WINDOW, MAX_AWAITED_DEADLINE};
use crate::proxy::observability::request_trace::{self, Event};
use crate::proxy::process::handover::HandoverServer;
use crate::proxy::server::Server;
use rushquay_admin::TurnedAway;
use rushquay_invariants::CloseCause;
use rushquay_sockets::accept_queued;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Clients continue to connect for some time after SIGTERM, so accepting continues for at least `MIN_ACCEPT_TIME`, until no connection has
/// arrived for `QUIET_PERIOD`, and for at most `MAX_ACCEPT_TIME`.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(450);
const QUIET_PERIOD: Duration = Duration::from_millis(100);
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The process ends by the longest request deadline that is awaited plus this, counted from SIGTERM; later it may be killed.
const SHUTDOWN_ALLOWANCE: Duration = Duration::from_millis(600);
/// How much longer the process stays while long responses are still being passed on. It may be killed before.
const STREAMING_ALLOWANCE: Duration = Duration::from_secs(20);
/// Maximum number of connections accepted from the listen queue when the listener is closed; no queue is longer.
const MAX_QUEUED_CONNECTIONS: usize = 4096;

impl Server {
    /// Answers requests while clients are asked to reconnect elsewhere, closes idle connections, and waits for the rest. `accepting`
    /// is the accept loop that the signal interrupted.
    pub async fn drain(
        self: &Rc<Self>,
        accepting: Pin<Box<impl Future<Output = Infallible>>>,
        listener: Rc<TcpListener>,
        handover_server: &HandoverServer,
    ) {
        crate::proxy::log("draining");
        request_trace::event(|| Event::State { state: "draining" });
        let longest = self.backend.longest_deadline().min(MAX_AWAITED_DEADLINE);
        let start = Instant::now();
        let end = start + longest + SHUTDOWN_ALLOWANCE;
        self.shutdown_deadline.set(end);
        self.draining.set(true);
        self.rollout.iter().for_each(|r| r.begin_shutdown());
        self.publish_status();
        self.wait_for_successor(handover_server, start + longest).await;
        // Danger: if the successor has died, no other process accepts the queued connections.
        let has_no_successor = !handover_server.succeeded();
        if has_no_successor {
            self.close_listener(accepting, &listener, handover_server, start, end).await;
        }
        handover_server.close();
        drop(listener);
        if has_no_successor {
            // Time for the requests on the connections that were accepted last to arrive.
            sleep(QUIET_PERIOD).await;
        }
        self.clients.borrow().iter().for_each(|c| c.request_close(CloseCause::Drain));
        self.await_last_responses(end).await;
        // A connection that was never admitted has no number.
        self.waiting.borrow_mut().drain(..).for_each(|_| self.count_turned_away(0, TurnedAway::NeverLetIn));
        request_trace::event(|| Event::State { state: "ended" });
    }

    /// While a successor accepts connections, waits until all clients have disconnected, but no later than `latest`. Danger: closing an idle
    /// connection just as its client sends a request on it forces that request onto a new connection. Active clients are moved by
    /// `Connection: close` on their response; idle ones are closed last.
    async fn wait_for_successor(self: &Rc<Self>, handover_server: &HandoverServer, latest: Instant) {
        if !handover_server.succeeded() {
            return;
        }
        // This process must answer the connections that it has accepted itself.
        let _ = timeout_at(latest, self.admit_waiting()).await;
        while handover_server.succeeded() && !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.clients.left() => {}
                () = handover_server.successor_lost() => {}
                () = sleep_until(latest) => return,
            }
        }
    }

    /// Accepts for as long as clients may still connect, then drains the listen queue. Danger: connections that are queued when the
    /// listener closes are reset, and the runtime may not have been notified of them yet.
    async fn close_listener(
        self: &Rc<Self>,
        mut accepting: Pin<Box<impl Future<Output = Infallible>>>,
        listener: &TcpListener,
        handover_server: &HandoverServer,
        start: Instant,
        end: Instant,
    ) {
        loop {
            let accept_until = (start + MIN_ACCEPT_TIME)
                .max(self.last_connection_at.get() + QUIET_PERIOD)
                .min(start + MAX_ACCEPT_TIME);
            if accept_until <= Instant::now() {
                break;
            }
            if let Ok(never) = timeout_at(accept_until, &mut accepting).await {
                match never {}
            }
        }
        drop(accepting);
        // Connections without a slot wait until a request is answered, or they are refused.
        let latest = end - 2 * FINAL_WRITE_WINDOW;
        let _ = timeout_at(latest, self.admit_waiting()).await;
        let mut accepted = 0;
        // A successor that reported ready only now owns the listener.
        while accepted < MAX_QUEUED_CONNECTIONS && Instant::now() < latest && !handover_server.succeeded() {
            let Some(admission) = self.try_admission() else {
                let _ = timeout(EVICTION_WAIT, self.slots.served.freed()).await;
                continue;
            };
            let queued = accept_queued(listener, 1);
            match (queued.streams.into_iter().next(), queued.shortage) {
                (Some(stream), _) => self.serve_connection(stream, admission),
                (None, None) => return,
                // Descriptors are short; closing connections return some.
                (None, Some(_)) => {
                    self.backend.close_oldest_idle();
                    sleep(EVICTION_WAIT).await;
                }
            }
            accepted += 1;
        }
    }

    /// Waits until all clients have disconnected. Shortly before `end`, stops reading from the others, so that only requests already read
    /// are answered; from `end` on, waits for those responses alone that are still being passed on.
    async fn await_last_responses(&self, end: Instant) {
        let read_until = end - FINAL_WRITE_WINDOW;
        while !self.clients.borrow().is_empty() && Instant::now() < end {
            let still_reading = Instant::now() < read_until;
            tokio::select! {
                () = self.clients.left() => {}
                () = sleep_until(read_until), if still_reading => {
                    self.clients.borrow().iter().for_each(|c| c.read_buffer.close());
                }
                () = sleep_until(end) => {}
            }
        }
        // Danger: a response that the process cuts off by ending is lost, and one that it is killed over is not.
        while self.is_passing_on_responses() {
            if timeout_at(end + STREAMING_ALLOWANCE, self.clients.left()).await.is_err() {
                break;
            }
        }
        self.cut_off_clients();
    }

    /// Returns whether responses are being passed on: behind the end of the process, all that is owed has begun.
    fn is_passing_on_responses(&self) -> bool {
        self.clients.borrow().iter().any(|client| client.busy.get())
    }

    fn cut_off_clients(&self) {
        let clients = self.clients.borrow();
        if !clients.is_empty() {
            crate::proxy::log("ended with clients still connected");
        }
        for client in clients.iter() {
            self.record_process_end(client);
            client.mark_cut_off();
        }
    }
}
