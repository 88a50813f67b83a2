//! Taking connections, and which of them gives way where there is no room.

use crate::proxy::http::request_body::steady;
use crate::proxy::listener::client_connection::Client;
use crate::proxy::listener::descriptors::Permit;
use crate::proxy::server::Server;
use rushquay_admission::{giving_way, Evidence, SlotRequest};
use rushquay_invariants::CloseCause;
use rushquay_sockets::accept;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout, Instant};

/// A connection that is to make room does so within this time, or another is asked to.
pub const YIELD_WITHIN: Duration = Duration::from_millis(2);
/// Where the system lacks what a connection needs, accepting goes on after this.
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

    /// Takes connections for good. One that has no place yet stands in `waiting`, so that it outlives this.
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

    /// The system has no descriptor or memory for a connection. Danger: accept fails at once, and again, and again; and who is sent
    /// away for a newcomer must be of no use: one that has just come, or still writes, is a newcomer too.
    async fn lacks(&self, why: &io::Error) {
        if let Some(n) = self.shortage.borrow_mut().failed(&why.to_string()) {
            crate::proxy::log(format_args!("accept: {why} (failure {n})"));
        }
        if !self.backend.yield_idle() {
            self.yield_client(SlotRequest::Slack);
        }
        sleep(SHORTAGE_WAIT).await;
    }

    /// Gives each connection that waits a place, as soon as there is one.
    pub async fn admit_waiting(self: &Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            let permit = self.place().await;
            let Some(stream) = self.waiting.borrow_mut().pop_front() else { return };
            self.connected(stream, permit);
            // Danger: clients too have only so many connections; those that they ask once on and keep would leave
            // them none to ask on.
            let staying = self.clients.borrow().iter().filter(|c| !c.closing()).count();
            if staying > self.clients_most() / 2 {
                self.yield_client(SlotRequest::Slack);
            }
        }
    }

    /// A place for a connection, once there is one.
    async fn place(&self) -> Permit {
        loop {
            if let Some(permit) = self.place_now() {
                return permit;
            }
            // Danger: who was sent away may have asked just then and stays until it has its answer; the next one
            // must not wait for that.
            let _ = timeout(YIELD_WITHIN, self.descriptors.freed()).await;
        }
    }

    /// A place for a connection, if there is one; else somebody is asked to make room.
    pub fn place_now(&self) -> Option<Permit> {
        if self.clients.borrow().len() >= self.clients_most() {
            self.make_place();
            return None;
        }
        let permit = self.descriptors.take();
        if permit.is_none() && !self.backend.yield_idle() {
            self.make_place();
        }
        permit
    }

    /// Has a connection leave, unless one is about to.
    fn make_place(&self) {
        let lingers = self.clients.borrow().iter().find(|c| c.lingering.get()).cloned();
        match lingers {
            Some(client) => client.hurry.notify_one(),
            None if self.one_leaves() => {}
            None => self.yield_client(SlotRequest::Place),
        }
    }

    /// Asks a client's connection to end, if one is to give way; of several alike one that has sent nothing more.
    fn yield_client(&self, want: SlotRequest) {
        let (clients, now) = (self.clients.borrow(), Instant::now());
        let leaves = |c: &&Rc<Client>| c.cause() == Some(CloseCause::MadeRoom);
        let idle: Vec<_> = clients.iter().filter(|c| !c.busy.get() && !leaves(c)).collect();
        let evidence: Vec<Evidence> = idle.iter().map(|c| c.evidence(now)).collect();
        let giving = giving_way(&evidence, steady(), self.clients_most(), want);
        let silent = giving.iter().find(|n| idle[**n].socket.silent());
        if let Some(n) = silent.or(giving.first()) {
            idle[*n].end(CloseCause::MadeRoom);
        }
    }

    /// Whether a connection is about to leave its place. Danger: to send another away for each that comes
    /// before it has left would empty the house of those that ask.
    fn one_leaves(&self) -> bool {
        let leaves =
            |c: &Rc<Client>| c.cause() == Some(CloseCause::MadeRoom) && !c.busy.get() && !c.socket.stalled();
        self.clients.borrow().iter().any(leaves)
    }
}
