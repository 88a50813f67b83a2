//! Scripts: what is to happen to which connections, and where in them.

mod read;

pub use read::ScriptError;

use crate::action::{Cut, Garble, ListenerState};
use crate::Direction;
use std::net::SocketAddr;

/// A checked script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// What all chance is drawn from.
    pub seed: u64,
    /// Where to listen, and where that leads.
    pub listeners: Vec<Listener>,
    /// What happens, each rule for itself, in this order where several act at one place.
    pub rules: Vec<Rule>,
}

/// What passes through a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Connections.
    Tcp,
    /// Datagrams; each sender is a connection.
    Udp,
}

/// An address to listen on and one to lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Its name in rules, commands and traces.
    pub name: String,
    /// What passes.
    pub transport: Transport,
    /// Where it listens; port 0: a free one.
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
}

/// Something that happens at a place.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name, under which its chance is drawn.
    pub name: String,
    /// The listeners that it is for; empty: all.
    pub listeners: Vec<String>,
    /// Ordinals of connections at their listener, from 1, both ends included.
    pub connections: (u64, u64),
    /// Only from where this text has ended on that lane.
    pub seen: Option<(Direction, Vec<u8>)>,
    /// The direction that it looks at and acts on.
    pub lane: Direction,
    /// Where.
    pub at: At,
    /// How likely it is each time, from 0 to 1.
    pub chance: f64,
    /// How often it happens at most, over all connections.
    pub most: Option<u64>,
    /// What.
    pub act: Act,
}

impl Rule {
    /// Whether it is for this connection.
    pub fn matches(&self, listener: &str, ordinal: u64) -> bool {
        (self.listeners.is_empty() || self.listeners.iter().any(|l| l == listener))
            && (self.connections.0..=self.connections.1).contains(&ordinal)
    }
}

/// When or where a rule acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum At {
    /// When a connection is accepted.
    Connect,
    /// So many milliseconds after it was.
    After(u64),
    /// From so many milliseconds after the start of the run, up to so many: on all connections that there are then and on
    /// those that come meanwhile. What lasts is lifted at the end.
    Window(u64, Option<u64>),
    /// At a place in the stream, or so many bytes behind or before it.
    Place(Place, Nth, i64),
    /// At a datagram.
    Datagram(Nth),
}

/// Which of the places of a kind on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nth {
    /// The one of this number, from 1.
    Only(u64),
    /// Each one whose number this divides.
    Every(u64),
}

impl Nth {
    /// Whether the one of this number is meant.
    pub fn is(self, number: u64) -> bool {
        match self {
            Nth::Only(n) => n == number,
            Nth::Every(n) => number.is_multiple_of(n),
        }
    }
}

/// A kind of places.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// Behind so many bytes.
    Offset(u64),
    /// Where this text ends; with `true` where it begins, for which what may become it is held back.
    Text(Vec<u8>, bool),
    /// Of HTTP/1; with a number, in that message alone.
    Http(HttpPart, Option<u64>),
    /// Of HTTP/2; with a type, in frames of that type.
    Http2(FramePart, Option<u8>),
    /// Of RESP.
    Resp(RespPart),
}

/// Parts of an HTTP/1 message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpPart {
    /// Its first byte.
    Head,
    /// The first digit of Content-Length.
    Length,
    /// The first digit of a chunk's size.
    ChunkSize,
    /// The end of its head.
    Body,
    /// Its end.
    End,
}

/// Parts of an HTTP/2 frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramePart {
    /// Its first byte, which is the first of its length.
    Frame,
    /// The end of its header.
    Payload,
    /// Its end.
    End,
}

/// Parts of a RESP value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RespPart {
    /// The first byte of a value that is in no other.
    Reply,
    /// The first digit of a length.
    Length,
    /// The first byte of a bulk.
    Body,
    /// The end of a value that is in no other.
    End,
}

/// What a rule does. All times are milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// What comes behind waits once.
    Pause {
        /// So long at least.
        ms: u64,
        /// And up to so much longer, by chance.
        jitter_ms: u64,
    },
    /// All that comes behind takes longer.
    Delay {
        /// So much at least.
        ms: u64,
        /// And up to so much more, drawn once.
        jitter_ms: u64,
    },
    /// All that comes behind passes at this rate.
    Throttle {
        /// Bytes a second.
        bytes_per_s: u64,
    },
    /// The connection is ended.
    Cut(Cut),
    /// This direction is ended.
    HalfClose,
    /// Bytes are spoilt.
    Garble {
        /// How many.
        bytes: u64,
        /// How.
        with: Garble,
    },
    /// Bytes, or a datagram, are swallowed.
    Drop {
        /// How many bytes.
        bytes: u64,
    },
    /// Bytes, or a datagram, pass twice.
    Duplicate {
        /// How many bytes.
        bytes: u64,
    },
    /// Bytes are put in.
    Insert {
        /// These.
        text: String,
    },
    /// All that comes behind is written in pieces.
    Split {
        /// Of so many bytes at most.
        bytes: u64,
        /// With this wait between them.
        gap_ms: u64,
    },
    /// All that comes behind is held until there is enough of it.
    Merge {
        /// So many bytes.
        bytes: u64,
        /// Or for so long.
        within_ms: u64,
    },
    /// Nothing passes either way until the rule is lifted.
    Freeze,
    /// The connect is answered with a reset.
    Refuse,
    /// The connect is taken and nothing comes of it.
    Stall,
    /// A datagram passes behind so many later ones.
    Reorder {
        /// How many.
        by: u64,
    },
    /// The listener itself takes connects otherwise.
    Listener(ListenerState),
}
