//! The end of a process: what has come is answered, and the door closes behind it.

use crate::proxy::listener::acceptor::YIELD_WITHIN;
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

/// New connections come for some time after SIGTERM; accepting goes on for at least the first span, until none
/// has come for the second, and ends after the third.
const ACCEPT_FOR: Duration = Duration::from_millis(450);
const QUIET_FOR: Duration = Duration::from_millis(100);
const ACCEPT_MOST: Duration = Duration::from_millis(600);
/// A proxy may be killed so long after the longest deadline after SIGTERM; it ends a little sooner.
const END_BEFORE: Duration = Duration::from_millis(600);
/// So long before the end of the process nothing more is read, and the last answers are written.
pub const FINAL_WRITE_WINDOW: Duration = Duration::from_millis(50);
/// Connections taken from the queue of the door at its closing; no queue is longer.
const QUEUED_MOST: usize = 4096;

impl Server {
    /// Answers what comes and asks clients away, then ends idle connections, and waits for the rest. `accepting` is the accepting
    /// that the signal interrupted.
    pub async fn drain(
        self: &Rc<Self>,
        accepting: Pin<Box<impl Future<Output = Infallible>>>,
        listener: Rc<TcpListener>,
        keeper: &HandoverServer,
    ) {
        crate::proxy::log("draining");
        request_trace::event(|| Event::State { state: "draining" });
        let longest = self.backend.longest();
        let start = Instant::now();
        let end = start + longest + END_BEFORE;
        self.ends_at.set(Some(end));
        self.draining.set(true);
        self.rollout.iter().for_each(|r| r.begin_shutdown());
        self.publish_status();
        self.wait_for_successor(keeper, start + longest).await;
        // Danger: where the successor has died nobody else takes what waits at the door.
        let alone = !keeper.succeeded();
        if alone {
            self.close_listener(accepting, &listener, keeper, start, end).await;
        }
        keeper.close();
        drop(listener);
        if alone {
            // Those who were let in last have their requests read.
            sleep(QUIET_FOR).await;
        }
        self.clients.borrow().iter().for_each(|c| c.end(CloseCause::Drain));
        self.await_last_responses(end).await;
        // No number was given to a connection that never had a place.
        self.waiting.borrow_mut().drain(..).for_each(|_| self.count_turned_away(0, TurnedAway::NeverLetIn));
        request_trace::event(|| Event::State { state: "ended" });
    }

    /// Waits, while a new process has the door, until all clients have left, and `last` at the latest. Danger: an idle connection that
    /// is closed just as its client asks on it costs that request a turn at the door. Who asks is sent over by the answer; what never
    /// asks goes last.
    async fn wait_for_successor(self: &Rc<Self>, keeper: &HandoverServer, last: Instant) {
        if !keeper.succeeded() {
            return;
        }
        // What was taken from the door is this process's to answer.
        let _ = timeout_at(last, self.admit_waiting()).await;
        while keeper.succeeded() && !self.clients.borrow().is_empty() {
            tokio::select! {
                () = self.client_left.notified() => {}
                () = keeper.successor_lost() => {}
                () = sleep_until(last) => return,
            }
        }
    }

    /// Accepts for as long as clients may still come, then takes all that waits at the door. Danger: what waits there is reset with
    /// it, and the runtime may not have heard of it yet.
    async fn close_listener(
        self: &Rc<Self>,
        mut accepting: Pin<Box<impl Future<Output = Infallible>>>,
        listener: &TcpListener,
        keeper: &HandoverServer,
        start: Instant,
        end: Instant,
    ) {
        loop {
            let quiet =
                (start + ACCEPT_FOR).max(self.last_connection_at.get() + QUIET_FOR).min(start + ACCEPT_MOST);
            if quiet <= Instant::now() {
                break;
            }
            if let Ok(never) = timeout_at(quiet, &mut accepting).await {
                match never {}
            }
        }
        drop(accepting);
        // Whoever has no place yet waits until a request is answered, or the process ends.
        let last = end - 2 * FINAL_WRITE_WINDOW;
        let _ = timeout_at(last, self.admit_waiting()).await;
        let mut taken = 0;
        // A new process that said only now that it serves has the door.
        while taken < QUEUED_MOST && Instant::now() < last && !keeper.succeeded() {
            let Some(permit) = self.place_now() else {
                let _ = timeout(YIELD_WITHIN, self.descriptors.freed()).await;
                continue;
            };
            let queued = accept_queued(listener, 1);
            match (queued.streams.into_iter().next(), queued.shortage) {
                (Some(stream), _) => self.connected(stream, permit),
                (None, None) => return,
                // It lacks descriptors, which those who leave give back.
                (None, Some(_)) => {
                    self.backend.yield_idle();
                    sleep(YIELD_WITHIN).await;
                }
            }
            taken += 1;
        }
    }

    /// Waits until all clients have left. What has been read of those that have not is answered just before the end.
    async fn await_last_responses(&self, end: Instant) {
        let last_word = end - FINAL_WRITE_WINDOW;
        while !self.clients.borrow().is_empty() {
            let reads = Instant::now() < last_word;
            tokio::select! {
                () = self.client_left.notified() => {}
                () = sleep_until(last_word), if reads => {
                    self.clients.borrow().iter().for_each(|c| c.read_buffer.close());
                }
                () = sleep_until(end) => {
                    crate::proxy::log("ended with clients still connected");
                    self.clients.borrow().iter().for_each(|c| self.cut_off(c));
                    return;
                }
            }
        }
    }
}
