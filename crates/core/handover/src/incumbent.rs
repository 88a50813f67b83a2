//! The incumbent: the process that listens, and can hand its listener over to a successor.

use crate::{HandoverState, IncumbentMessage, ResourceShare, SuccessorMessage, PROTOCOL_VERSIONS};

/// The connection of a process that may become the successor. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Peer(pub u64);

/// The reply to a successor.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Send this message with the listening socket.
    WithListener(IncumbentMessage),
    /// Send this message without a socket, and keep the connection open.
    KeepOpen(IncumbentMessage),
    /// Send this message without a socket, then close the connection.
    ThenClose(IncumbentMessage),
}

/// The progress of a hand-over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// There is no successor.
    Alone,
    /// The listener was offered to this successor, which does not serve yet.
    Offered(Peer),
    /// This successor serves.
    Succeeded(Peer),
}

/// The state machine of the process that listens.
#[derive(Debug)]
pub struct Incumbent {
    /// The limits of the whole proxy.
    total: ResourceShare,
    state: State,
    /// Its share while its predecessor still runs; `None`: the predecessor has ended, or there was none.
    share_beside_predecessor: Option<ResourceShare>,
    /// Whether it has closed its listener.
    is_closed: bool,
}

impl Incumbent {
    /// Creates an incumbent that has the limits of the whole proxy.
    pub fn new(total: ResourceShare) -> Self {
        Incumbent { total, state: State::Alone, share_beside_predecessor: None, is_closed: false }
    }

    /// Creates an incumbent that has this share until its predecessor has ended.
    pub fn beside(total: ResourceShare, share: ResourceShare) -> Self {
        Incumbent { share_beside_predecessor: Some(share), ..Incumbent::new(total) }
    }

    /// Called when its predecessor has ended.
    pub fn alone(&mut self) {
        self.share_beside_predecessor = None;
    }

    /// Whether neither a predecessor nor a successor runs beside this process.
    pub fn is_alone(&self) -> bool {
        self.state == State::Alone && self.share_beside_predecessor.is_none()
    }

    /// The current share of this process.
    pub fn share(&self) -> ResourceShare {
        match (self.state, self.share_beside_predecessor) {
            (State::Alone, Some(share)) => share,
            (State::Alone, None) => self.total,
            (State::Offered(_) | State::Succeeded(_), _) => self.total.incumbent_share(),
        }
    }

    /// Whether a successor serves, so that this process no longer has to accept connections.
    pub fn succeeded(&self) -> bool {
        matches!(self.state, State::Succeeded(_))
    }

    /// Handles a message of a process that may become the successor, and returns the reply, if any. `open_sockets` is the
    /// number of descriptors that this process has open. `take_state` returns the state to hand over; it is called only if
    /// the hand-over is offered, since the call may give up that state (slow-start allowances).
    pub fn handle_message(
        &mut self,
        peer: Peer,
        message: &SuccessorMessage,
        open_sockets: usize,
        take_state: impl FnOnce() -> HandoverState,
    ) -> Option<Reply> {
        match message {
            SuccessorMessage::Hello { forms } => {
                Some(self.handle_hello(peer, forms, open_sockets, take_state))
            }
            SuccessorMessage::Ready => {
                // Only the process that got the offer can take over.
                if self.state != State::Offered(peer) {
                    return None;
                }
                self.state = State::Succeeded(peer);
                // Danger: the successor must wait for this confirmation before it reports itself as serving; otherwise the
                // incumbent could be asked to end while it still believes that it has no successor.
                Some(Reply::KeepOpen(IncumbentMessage::Heard))
            }
        }
    }

    fn handle_hello(
        &mut self,
        peer: Peer,
        forms: &[u32],
        open_sockets: usize,
        take_state: impl FnOnce() -> HandoverState,
    ) -> Reply {
        let Some(version) = PROTOCOL_VERSIONS.into_iter().filter(|version| forms.contains(version)).max()
        else {
            return Reply::ThenClose(IncumbentMessage::Unknown { forms: PROTOCOL_VERSIONS.to_vec() });
        };
        if self.is_closed {
            return Reply::ThenClose(IncumbentMessage::Unknown { forms: Vec::new() });
        }
        // Danger: two successors with one half of the limits each, beside the incumbent with its half, would exceed
        // the limits.
        if !self.is_alone() {
            return Reply::ThenClose(IncumbentMessage::Busy);
        }
        self.state = State::Offered(peer);
        let ResourceShare { sockets, memory } = self.total.beside(self.total.incumbent_share(), open_sockets);
        let HandoverState { list, settings, policy, cold, control, starts } = take_state();
        // Plain fields can't fail to serialize.
        let control = control.map(serde_json::to_value).and_then(Result::ok).unwrap_or_default();
        let starts = starts.map(serde_json::to_value).and_then(Result::ok).unwrap_or_default();
        Reply::WithListener(IncumbentMessage::Offer {
            form: version,
            sockets,
            memory,
            list,
            settings,
            policy,
            cold,
            control,
            starts,
        })
    }

    /// Called when this process shuts down and closes its listener. Danger: a socket that it hands over from then on
    /// may be closed already.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Called when the connection of a process has ended. Danger: a successor that dies before it serves must leave
    /// everything unchanged. Returns whether the incumbent has to reopen its socket for hand-over requests, which a
    /// serving successor had taken over.
    pub fn handle_disconnect(&mut self, peer: Peer) -> bool {
        let was_serving = self.state == State::Succeeded(peer);
        if was_serving || self.state == State::Offered(peer) {
            self.state = State::Alone;
        }
        was_serving && !self.is_closed
    }
}
