//! A link to a control service that can be cut, also in the middle of a message: a relay under a few rules.

use rushquay_fault_relay::{Cut, Direction, Relay};
use std::net::SocketAddr;

pub struct Link {
    /// Where to connect.
    pub addr: SocketAddr,
    relay: Relay,
}

impl Link {
    pub async fn to(target: SocketAddr) -> Self {
        let relay = Relay::to(target).await.expect("a relay");
        Link { addr: relay.first(), relay }
    }

    /// Cuts all connections; new ones are ended at once until [`Link::mend`].
    pub fn cut(&self) {
        self.rules("[[rule]]\nname = 'gone'\nat = { connect = true }\ndo = { refuse = true }");
        self.relay.control().cut(None, None, Cut::Fin);
    }

    /// Cuts the connection that is about to come once so many bytes have come from the target; later ones are ended at
    /// once until [`Link::mend`].
    pub fn cut_after(&self, bytes: usize) {
        self.rules(&format!(
            "[[rule]]\nname = 'spent'\nlane = 'down'\nat = {{ offset = {bytes} }}\ndo = {{ cut = 'fin' }}\n\
             [[rule]]\nname = 'gone'\nconnections = '2..'\nat = {{ connect = true }}\ndo = {{ refuse = true }}"
        ));
    }

    fn rules(&self, text: &str) {
        self.relay.control().add_rules(text).expect("rules");
    }

    /// Leads to `target` from now on, and cuts what led elsewhere.
    pub fn mend(&self, target: SocketAddr) {
        let control = self.relay.control();
        control.lead("l", target).expect("a listener");
        for rule in ["gone", "spent"] {
            control.lift(rule);
        }
        control.cut(None, None, Cut::Fin);
    }

    /// Bytes that have come from the target.
    pub fn passed(&self) -> u64 {
        self.relay.control().passed("l", Direction::Down)
    }

    /// Whether [`Link::cut_after`] has cut.
    pub fn spent(&self) -> bool {
        self.relay.trace().performed.iter().any(|p| p.rule == "spent")
    }
}
