//! The old side: the process that listens, and may have to hand that on.

use crate::{HandoverState, IncumbentMessage, ResourceShare, SuccessorMessage, PROTOCOL_VERSIONS};

/// A connection of a process that wants to take over; its number is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer(pub u64);

/// What to say to a new process.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// This, with the listening socket.
    WithListener(IncumbentMessage),
    /// This alone, and the connection goes on.
    And(IncumbentMessage),
    /// This alone, and then the connection ends.
    Only(IncumbentMessage),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Alone,
    Offered(Peer),
    /// The new process serves.
    Succeeded(Peer),
}

/// The process that listens.
#[derive(Debug)]
pub struct Incumbent {
    whole: ResourceShare,
    state: State,
    /// What it may hold while the process before it still runs.
    beside: Option<ResourceShare>,
    /// It listens no more.
    closed: bool,
}

impl Incumbent {
    /// With the limits of the whole proxy.
    pub fn new(whole: ResourceShare) -> Self {
        Incumbent { whole, state: State::Alone, beside: None, closed: false }
    }

    /// One that holds so much while the process runs that it takes over from.
    pub fn beside(whole: ResourceShare, share: ResourceShare) -> Self {
        Incumbent { beside: Some(share), ..Incumbent::new(whole) }
    }

    /// The process before it has ended.
    pub fn alone(&mut self) {
        self.beside = None;
    }

    /// What this process may hold now.
    pub fn share(&self) -> ResourceShare {
        match (self.state, self.beside) {
            (State::Alone, Some(share)) => share,
            (State::Alone, None) => self.whole,
            (State::Offered(_) | State::Succeeded(_), _) => self.whole.kept(),
        }
    }

    /// Whether a new process serves in its place, so that it need not accept any more.
    pub fn succeeded(&self) -> bool {
        matches!(self.state, State::Succeeded(_))
    }

    /// A process has said something; `held`: descriptors that this one holds; `known`: what it knows, asked for only if it is
    /// handed on, since to tell it may be to give it away. `None`: nothing is to be said.
    pub fn said(
        &mut self,
        by: Peer,
        what: &SuccessorMessage,
        held: usize,
        known: impl FnOnce() -> HandoverState,
    ) -> Option<Reply> {
        match what {
            SuccessorMessage::Hello { forms } => Some(self.hello(by, forms, held, known)),
            SuccessorMessage::Ready => {
                // One that was not offered anything can't take over.
                if self.state != State::Offered(by) {
                    return None;
                }
                self.state = State::Succeeded(by);
                // Danger: a new process that says yes before this is known here has the old one told to end as if it had no
                // successor.
                Some(Reply::And(IncumbentMessage::Heard))
            }
        }
    }

    fn hello(
        &mut self,
        by: Peer,
        forms: &[u32],
        held: usize,
        known: impl FnOnce() -> HandoverState,
    ) -> Reply {
        let Some(form) = PROTOCOL_VERSIONS.into_iter().filter(|f| forms.contains(f)).max() else {
            return Reply::Only(IncumbentMessage::Unknown { forms: PROTOCOL_VERSIONS.to_vec() });
        };
        if self.closed {
            return Reply::Only(IncumbentMessage::Unknown { forms: Vec::new() });
        }
        // Danger: two new processes that each hold the other half, and the old one its own, are over the limits.
        if self.state != State::Alone || self.beside.is_some() {
            return Reply::Only(IncumbentMessage::Busy);
        }
        self.state = State::Offered(by);
        let ResourceShare { sockets, memory } = self.whole.beside(self.whole.kept(), held);
        let HandoverState { list, settings, policy, cold } = known();
        Reply::WithListener(IncumbentMessage::Offer { form, sockets, memory, list, settings, policy, cold })
    }

    /// This process has been told to end and listens no more. Danger: a socket that it hands on from then on may be closed
    /// already.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// The connection of a process has ended. Danger: one that dies before its yes must leave all as it was. Returns whether it
    /// had said yes, and so had taken the place where new processes ask: that has to be taken back.
    pub fn lost(&mut self, peer: Peer) -> bool {
        let served = self.state == State::Succeeded(peer);
        if served || self.state == State::Offered(peer) {
            self.state = State::Alone;
        }
        served && !self.closed
    }
}
