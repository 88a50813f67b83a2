//! Accepts client connections, and chooses which one to close when descriptors run out.

use crate::proxy::http::request_body::steady;
use crate::proxy::listener::client_connection::Client;
use crate::proxy::listener::descriptors::Permit;
use crate::proxy::server::Server;
use rushquay_admission::{evictable_connections, Evidence, SlotRequest};
use rushquay_invariants::CloseCause;
use rushquay_sockets::accept;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout, Instant};

/// How long a connection that was asked to close may take before another one is asked.
pub const YIELD_WITHIN: Duration = Duration::from_millis(2);
/// Pause before the next accept after a failure for lack of descriptors or memory.
const SHORTAGE_WAIT: Duration = Duration::from_millis(10);
/// Of the descriptors that there are so many in four are for clients; where the process drains, and dials little, so many.
const CLIENTS_PART: usize = 2;
const CLIENTS_PART_DRAINING: usize = 3;

impl Server {
    /// Danger: clients that hold every descriptor could be answered by nobody.
    fn clients_most(&self) -> usize {
        let part = if self.draining.get() { CLIENTS_PART_DRAINING } else { CLIENTS_PART };
        self.descriptors.most() * part / 4
    }

    /// Accepts connections until dropped. One that has no descriptor permit yet is queued in `waiting`, so that it survives the drop.
    pub async fn accept_all(self: Rc<Self>, listener: Rc<TcpListener>) -> Infallible {
        loop {
            self.admit_waiting().await;
            let accepted = accept(&listener).await;
            self.last_connection_at.set(Instant::now());
            match accepted {
                Ok((stream, _)) => {
                    if let Some(n) = self.shortage.borrow_mut().over() {
                        crate::proxy::log(format_args!("connections are accepted again after {n} failures"));
                    }
                    self.waiting.borrow_mut().push_back(stream);
                }
                Err(e) => self.lacks(&e).await,
            }
        }
    }

    /// Handles an accept that failed for lack of descriptors or memory. Danger: accept fails again immediately, in a busy loop; and a
    /// connection that is closed for a newcomer must be idle: one that was just accepted, or still sends a request, is a newcomer too.
    async fn lacks(&self, why: &io::Error) {
        if let Some(n) = self.shortage.borrow_mut().failed(&why.to_string()) {
            crate::proxy::log(format_args!("accept: {why} (failure {n})"));
        }
        if !self.backend.close_oldest_idle() {
            self.yield_client(SlotRequest::InAdvance);
        }
        sleep(SHORTAGE_WAIT).await;
    }

    /// Admits the queued connections, each as soon as a permit is free.
    pub async fn admit_waiting(self: &Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            let permit = self.place().await;
            let Some(stream) = self.waiting.borrow_mut().pop_front() else { return };
            self.serve_connection(stream, permit);
            // Danger: clients have limited connections as well; those they used once and keep open would leave
            // them none to send requests on.
            let staying = self.clients.borrow().iter().filter(|c| !c.closing()).count();
            if staying > self.clients_most() / 2 {
                self.yield_client(SlotRequest::InAdvance);
            }
        }
    }

    /// Waits for a permit for a client connection.
    async fn place(&self) -> Permit {
        loop {
            if let Some(permit) = self.place_now() {
                return permit;
            }
            // Danger: the connection that was asked to close may have received a request just then and stays open until it is
            // answered; the newcomer must not wait for that.
            let _ = timeout(YIELD_WITHIN, self.descriptors.freed()).await;
        }
    }

    /// A permit for a client connection if one is free; otherwise asks another connection to close.
    pub fn place_now(&self) -> Option<Permit> {
        if self.clients.borrow().len() >= self.clients_most() {
            self.make_place();
            return None;
        }
        let permit = self.descriptors.take();
        if permit.is_none() && !self.backend.close_oldest_idle() {
            self.make_place();
        }
        permit
    }

    /// Asks a connection to close, unless one is closing already.
    fn make_place(&self) {
        let lingers = self.clients.borrow().iter().find(|c| c.lingering.get()).cloned();
        match lingers {
            Some(client) => client.hurry.notify_one(),
            None if self.one_leaves() => {}
            None => self.yield_client(SlotRequest::NewConnection),
        }
    }

    /// Asks the client connection that is worth least to close, if any may; among equals one with no unread input.
    fn yield_client(&self, want: SlotRequest) {
        let (clients, now) = (self.clients.borrow(), Instant::now());
        let leaves = |c: &&Rc<Client>| c.cause() == Some(CloseCause::MadeRoom);
        let idle: Vec<_> = clients.iter().filter(|c| !c.busy.get() && !leaves(c)).collect();
        let evidence: Vec<Evidence> = idle.iter().map(|c| c.evidence(now)).collect();
        let giving = evictable_connections(&evidence, steady(), self.clients_most(), want);
        let silent = giving.iter().find(|n| idle[**n].socket.has_no_input());
        if let Some(n) = silent.or(giving.first()) {
            idle[*n].end(CloseCause::MadeRoom);
        }
    }

    /// Whether a connection is closing already. Danger: asking another one to close for every newcomer that arrives
    /// before the first has closed would disconnect clients that are sending requests.
    fn one_leaves(&self) -> bool {
        let leaves =
            |c: &Rc<Client>| c.cause() == Some(CloseCause::MadeRoom) && !c.busy.get() && !c.socket.stalled();
        self.clients.borrow().iter().any(leaves)
    }
}
