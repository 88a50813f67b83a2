//! The incumbent: the process that listens, and may hand its listener over.

use crate::{HandoverState, IncumbentMessage, ResourceShare, SuccessorMessage, PROTOCOL_VERSIONS};

/// A connection of a possible successor; its number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer(pub u64);

/// The reply to a successor.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// This message with the listening socket.
    WithListener(IncumbentMessage),
    /// This message only; the connection stays open.
    And(IncumbentMessage),
    /// This message only; then the connection is closed.
    Only(IncumbentMessage),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Alone,
    Offered(Peer),
    /// The successor serves.
    Succeeded(Peer),
}

/// The process that listens.
#[derive(Debug)]
pub struct Incumbent {
    whole: ResourceShare,
    state: State,
    /// Its share while the process before it still runs.
    beside: Option<ResourceShare>,
    /// It no longer listens.
    is_closed: bool,
}

impl Incumbent {
    /// An incumbent with the limits of the whole proxy.
    pub fn new(whole: ResourceShare) -> Self {
        Incumbent { whole, state: State::Alone, beside: None, is_closed: false }
    }

    /// An incumbent with this share while the process runs that it took over from.
    pub fn beside(whole: ResourceShare, share: ResourceShare) -> Self {
        Incumbent { beside: Some(share), ..Incumbent::new(whole) }
    }

    /// Called when the process before it has ended.
    pub fn alone(&mut self) {
        self.beside = None;
    }

    /// The present share of this process.
    pub fn share(&self) -> ResourceShare {
        match (self.state, self.beside) {
            (State::Alone, Some(share)) => share,
            (State::Alone, None) => self.whole,
            (State::Offered(_) | State::Succeeded(_), _) => self.whole.kept(),
        }
    }

    /// Whether a successor serves, so that this process need not accept any more.
    pub fn succeeded(&self) -> bool {
        matches!(self.state, State::Succeeded(_))
    }

    /// Handles a message of a possible successor; `held`: the descriptors that this process has open; `known`:
    /// returns the state to hand over, called only if it is handed over, since it may be given away by the call.
    /// `None`: there is no reply.
    pub fn said(
        &mut self,
        peer: Peer,
        message: &SuccessorMessage,
        held: usize,
        known: impl FnOnce() -> HandoverState,
    ) -> Option<Reply> {
        match message {
            SuccessorMessage::Hello { forms } => Some(self.hello(peer, forms, held, known)),
            SuccessorMessage::Ready => {
                // A process without an offer can't take over.
                if self.state != State::Offered(peer) {
                    return None;
                }
                self.state = State::Succeeded(peer);
                // Danger: a successor that reported itself serving before this is known here would have the incumbent
                // ended as if it had no successor.
                Some(Reply::And(IncumbentMessage::Heard))
            }
        }
    }

    fn hello(
        &mut self,
        peer: Peer,
        forms: &[u32],
        held: usize,
        known: impl FnOnce() -> HandoverState,
    ) -> Reply {
        let Some(version) = PROTOCOL_VERSIONS.into_iter().filter(|version| forms.contains(version)).max()
        else {
            return Reply::Only(IncumbentMessage::Unknown { forms: PROTOCOL_VERSIONS.to_vec() });
        };
        if self.is_closed {
            return Reply::Only(IncumbentMessage::Unknown { forms: Vec::new() });
        }
        // Danger: two successors with the other half each, and the incumbent with its own, would exceed the limits.
        if self.state != State::Alone || self.beside.is_some() {
            return Reply::Only(IncumbentMessage::Busy);
        }
        self.state = State::Offered(peer);
        let ResourceShare { sockets, memory } = self.whole.beside(self.whole.kept(), held);
        let HandoverState { list, settings, policy, cold } = known();
        Reply::WithListener(IncumbentMessage::Offer {
            form: version,
            sockets,
            memory,
            list,
            settings,
            policy,
            cold,
        })
    }

    /// Called when this process shuts down and closes its listener. Danger: a socket that it hands over from then on
    /// may be closed already.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Called when the connection of a process has ended. Danger: one that dies before it serves must leave
    /// everything unchanged. Returns whether it had been serving, and so had taken over the socket for hand-over
    /// requests, which has to be taken back.
    pub fn lost(&mut self, peer: Peer) -> bool {
        let was_serving = self.state == State::Succeeded(peer);
        if was_serving || self.state == State::Offered(peer) {
            self.state = State::Alone;
        }
        was_serving && !self.is_closed
    }
}
