//! Accepts client connections, and chooses which one to close when descriptors run out.

use crate::proxy::http::request_body::steady_nanos;
use crate::proxy::listener::admission::{Admission, ClientRole, SlotSupply};
use crate::proxy::listener::client_connection::Client;
use crate::proxy::listener::descriptors::Permit;
use crate::proxy::server::Server;
use rushquay_admission::{evictable_connections, Evidence, SlotRequest};
use rushquay_invariants::CloseCause;
use rushquay_sockets::accept;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// How long a connection that was asked to close may take before another one is asked.
pub const EVICTION_WAIT: Duration = Duration::from_millis(2);
/// Pause before the next accept after one failed for lack of descriptors or memory.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How many quarters of the descriptor budget clients may use; more during graceful shutdown, when few upstream connections are opened.
const CLIENT_QUARTERS: usize = 2;
const CLIENT_QUARTERS_DRAINING: usize = 3;

impl Server {
    /// Returns the maximum number of client connections. Danger: if clients used every descriptor, none would be left to connect to the
    /// upstreams that answer them.
    fn max_clients(&self) -> usize {
        let quarters = if self.draining.get() { CLIENT_QUARTERS_DRAINING } else { CLIENT_QUARTERS };
        self.slots.served.most() * quarters / 4
    }

    /// Accepts connections until dropped. One that has no slot yet is queued in `waiting`, so that it survives the drop.
    pub async fn accept_connections(self: Rc<Self>, listener: Rc<TcpListener>) -> Infallible {
        loop {
            self.admit_waiting().await;
            let accepted = self.accept_next(&listener).await;
            self.last_connection_at.set(Instant::now());
            match accepted {
                Ok((stream, _)) => {
                    if let Some(n) = self.shortage.borrow_mut().over() {
                        crate::proxy::log(format_args!("connections are accepted again after {n} failures"));
                    }
                    self.waiting.borrow_mut().push_back(stream);
                }
                Err(e) => self.handle_accept_error(&e).await,
            }
        }
    }

    /// Accepts the next connection. If the queue is empty, nobody waits for a slot.
    async fn accept_next(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        tokio::select! {
            biased;
            accepted = accept(listener) => return accepted,
            () = std::future::ready(()) => self.congestion.end(),
        }
        accept(listener).await
    }

    /// Handles an accept that failed for lack of descriptors or memory. Danger: without a pause, accept fails again immediately, in a busy
    /// loop; and only an idle connection may be closed for a new one, since one that was just accepted or is still sending a request is
    /// new as well.
    async fn handle_accept_error(&self, error: &io::Error) {
        if let Some(n) = self.shortage.borrow_mut().failed(&error.to_string()) {
            crate::proxy::log(format_args!("accept: {error} (failure {n})"));
        }
        if !self.backend.close_oldest_idle() {
            self.evict_client(ClientRole::Served, SlotRequest::InAdvance);
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Admits the queued connections, each as soon as a slot is free, or to be refused when none is for too long.
    pub async fn admit_waiting(self: &Rc<Self>) {
        while !self.waiting.borrow().is_empty() {
            let admission = self.wait_for_admission().await;
            let Some(stream) = self.waiting.borrow_mut().pop_front() else { return };
            self.serve_connection(stream, admission);
            // Danger: clients have a limited number of connections too; those that they used once and keep open would leave
            // them none for new requests.
            let is_open = |c: &&Rc<Client>| c.role == ClientRole::Served && !c.closing();
            let open = self.clients.borrow().iter().filter(is_open).count();
            if open > self.max_clients() / 2 {
                self.evict_client(ClientRole::Served, SlotRequest::InAdvance);
            }
        }
    }

    /// Waits until the next connection may be admitted.
    async fn wait_for_admission(&self) -> Admission {
        loop {
            if let Some(admission) = self.try_admission() {
                return admission;
            }
            // Danger: the connection that was asked to close may have received a request just then and stays open until it is
            // answered; the new connection must not wait for that.
            let _ = timeout(EVICTION_WAIT, self.slots.served.freed()).await;
        }
    }

    /// Admits a client connection if a slot is free; otherwise asks another connection to close. Danger: a client that is told nothing
    /// has lost its request, so one for which no slot can be made in time is admitted to be refused.
    pub fn try_admission(&self) -> Option<Admission> {
        if let Some(permit) = self.try_permit() {
            return Some(Admission { role: ClientRole::Served, permit });
        }
        let now = Instant::now();
        self.congestion.begin(now);
        if !self.congestion.must_refuse(now, self.slot_supply()) {
            return None;
        }
        let permit = self.slots.refused.take();
        if permit.is_none() {
            self.request_eviction(ClientRole::Refused);
        }
        permit.map(|permit| Admission { role: ClientRole::Refused, permit })
    }

    /// Returns a permit for a client connection that is served, if one is free; otherwise asks another connection to close.
    fn try_permit(&self) -> Option<Permit> {
        if self.clients.count(ClientRole::Served) >= self.max_clients() {
            self.request_eviction(ClientRole::Served);
            return None;
        }
        let permit = self.slots.served.take();
        if permit.is_none() && !self.backend.close_oldest_idle() {
            self.request_eviction(ClientRole::Served);
        }
        permit
    }

    /// Returns whether connections can give way. One whose response its client does not read cannot.
    fn slot_supply(&self) -> SlotSupply {
        let can_give_way =
            |c: &Rc<Client>| c.role == ClientRole::Served && !c.busy.get() && !c.socket.stalled();
        match self.clients.borrow().iter().any(can_give_way) {
            true => SlotSupply::Evictable,
            false => SlotSupply::AllBusy,
        }
    }

    /// Asks a connection of this role to close, unless one is closing already.
    fn request_eviction(&self, role: ClientRole) {
        let is_lingering = |c: &&Rc<Client>| c.role == role && c.lingering.get();
        let lingering_client = self.clients.borrow().iter().find(is_lingering).cloned();
        match lingering_client {
            Some(client) => client.skip_linger.notify_one(),
            None if self.is_evicting(role) => {}
            None => self.evict_client(role, SlotRequest::NewConnection),
        }
    }

    /// Asks the least valuable client connection of this role to close, if any may be closed; prefers one without unread input.
    fn evict_client(&self, role: ClientRole, slot_request: SlotRequest) {
        let (clients, now) = (self.clients.borrow(), Instant::now());
        let is_evicted = |c: &&Rc<Client>| c.cause() == Some(CloseCause::MadeRoom);
        let idle: Vec<_> =
            clients.iter().filter(|c| c.role == role && !c.busy.get() && !is_evicted(c)).collect();
        let evidence: Vec<Evidence> = idle.iter().map(|c| c.evidence(now)).collect();
        let slots = match role {
            ClientRole::Served => self.max_clients(),
            ClientRole::Refused => self.slots.refused.most(),
        };
        let evictable = evictable_connections(&evidence, steady_nanos(), slots, slot_request);
        let without_input = evictable.iter().find(|n| idle[**n].socket.has_no_input());
        if let Some(n) = without_input.or(evictable.first()) {
            idle[*n].request_close(CloseCause::MadeRoom);
        }
    }

    /// Returns whether a connection of this role is closing already. Danger: asking another one to close for every new connection that
    /// arrives before the first has closed would disconnect clients that are sending requests.
    fn is_evicting(&self, role: ClientRole) -> bool {
        let is_closing = |c: &Rc<Client>| {
            c.role == role && c.cause() == Some(CloseCause::MadeRoom) && !c.busy.get() && !c.socket.stalled()
        };
        self.clients.borrow().iter().any(is_closing)
    }
}
