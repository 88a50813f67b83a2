//! The cells of the matrix, each as the rules of a script.

/// Where a fault lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    Client,
    Node,
    Origin,
    Discovery,
    /// Between control service and proxy.
    Control,
    /// Between control service and its discovery.
    ControlDiscovery,
}

impl Leg {
    pub const ALL: [Leg; 6] =
        [Leg::Client, Leg::Node, Leg::Origin, Leg::Discovery, Leg::Control, Leg::ControlDiscovery];

    /// The listeners of the rig that it takes.
    pub fn listeners(self) -> &'static str {
        match self {
            Leg::Client => "'client'",
            // One that stays and one that drains.
            Leg::Node => "'a', 'c'",
            Leg::Origin => "'origin'",
            Leg::Discovery => "'discovery'",
            Leg::Control => "'control'",
            Leg::ControlDiscovery => "'control-discovery'",
        }
    }

    pub fn has_control(self) -> bool {
        matches!(self, Leg::Control | Leg::ControlDiscovery)
    }
}

/// A phase of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Connect,
    Head,
    Body,
    /// Behind the last byte of a request.
    Asked,
    AnswerHead,
    AnswerBody,
    /// Behind the last byte of an answer.
    Between,
}

impl Phase {
    pub const ALL: [Phase; 7] = [
        Phase::Connect,
        Phase::Head,
        Phase::Body,
        Phase::Asked,
        Phase::AnswerHead,
        Phase::AnswerBody,
        Phase::Between,
    ];

    fn lane(self) -> &'static str {
        match self {
            Phase::Connect | Phase::Head | Phase::Body | Phase::Asked => "up",
            Phase::AnswerHead | Phase::AnswerBody | Phase::Between => "down",
        }
    }

    /// The place; `None` where this leg has no such phase.
    fn at(self, leg: Leg) -> Option<&'static str> {
        let list = matches!(leg, Leg::Discovery | Leg::ControlDiscovery);
        Some(match (self, leg) {
            (Phase::Connect, _) => "connect = true",
            // Reads have no body, and nodes and discovery are only read from.
            (Phase::Body, Leg::Node | Leg::Discovery | Leg::ControlDiscovery) => return None,
            (Phase::Head, Leg::Control) => "http2 = 'frame', frame_type = 'HEADERS'",
            (Phase::Body, Leg::Control) => "http2 = 'payload', frame_type = 'DATA', plus = 7",
            (Phase::Asked, Leg::Control) => "http2 = 'end', frame_type = 'DATA'",
            (Phase::AnswerHead, Leg::Control) => "http2 = 'frame', frame_type = 'HEADERS', plus = 2",
            (Phase::AnswerBody, Leg::Control) => "http2 = 'payload', frame_type = 'DATA', plus = 20",
            (Phase::Between, Leg::Control) => "http2 = 'end', frame_type = 'DATA'",
            // Lists are few: each is met, until the rule is spent.
            (Phase::Head, _) if list => "http = 'head', every = 1, plus = 17",
            (Phase::Asked, _) if list => "http = 'end', every = 1",
            (Phase::AnswerHead, _) if list => "http = 'head', every = 1, plus = 12",
            (Phase::AnswerBody, _) if list => "http = 'body', every = 1, plus = 30",
            (Phase::Between, _) if list => "http = 'end', every = 1",
            (Phase::Head, _) => "http = 'head', every = 2, plus = 17",
            (Phase::Body, _) => "text = 'value-', every = 1",
            (Phase::Asked, _) => "http = 'end', every = 2",
            (Phase::AnswerHead, _) => "http = 'head', every = 2, plus = 12",
            (Phase::AnswerBody, Leg::Discovery | Leg::ControlDiscovery) => {
                "http = 'body', every = 2, plus = 30"
            }
            // Answers of nodes are their names, of one byte or a few.
            (Phase::AnswerBody, _) => "http = 'body', every = 2",
            (Phase::Between, _) => "http = 'end', every = 2",
        })
    }
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Pause,
    Delay,
    Throttle,
    Split,
    Merge,
    CutFin,
    CutRst,
    Silence,
    HalfClose,
    GarbleBits,
    /// At the length field of the phase's direction.
    GarbleLength,
    Drop,
    Duplicate,
    Insert,
    Refuse,
    Stall,
}

impl Kind {
    pub const ALL: [Kind; 16] = [
        Kind::Pause,
        Kind::Delay,
        Kind::Throttle,
        Kind::Split,
        Kind::Merge,
        Kind::CutFin,
        Kind::CutRst,
        Kind::Silence,
        Kind::HalfClose,
        Kind::GarbleBits,
        Kind::GarbleLength,
        Kind::Drop,
        Kind::Duplicate,
        Kind::Insert,
        Kind::Refuse,
        Kind::Stall,
    ];

    fn act(self) -> &'static str {
        match self {
            Kind::Pause => "pause_ms = 40",
            Kind::Delay => "delay_ms = 15",
            Kind::Throttle => "bytes_per_s = 30000",
            Kind::Split => "split = 3, gap_ms = 1",
            Kind::Merge => "merge = 400, within_ms = 10",
            Kind::CutFin => "cut = 'fin'",
            Kind::CutRst => "cut = 'rst'",
            Kind::Silence => "cut = 'silence'",
            Kind::HalfClose => "half_close = true",
            Kind::GarbleBits => "garble = 3",
            Kind::GarbleLength => "garble = 2, with = 'digits'",
            Kind::Drop => "drop = 5",
            Kind::Duplicate => "duplicate = 30",
            Kind::Insert => "insert = \"\\r\\n7\\r\\n\"",
            Kind::Refuse => "refuse = true",
            Kind::Stall => "stall = true",
        }
    }

    /// Whether bytes arrive that nobody sent, or others than were sent.
    pub fn spoils(self) -> bool {
        use Kind::*;
        matches!(self, GarbleBits | GarbleLength | Drop | Duplicate | Insert)
    }
}

/// One cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    pub leg: Leg,
    pub phase: Phase,
    pub kind: Kind,
}

impl Cell {
    /// All that there are.
    pub fn all() -> Vec<Cell> {
        let mut all = Vec::new();
        for leg in Leg::ALL {
            for phase in Phase::ALL {
                let cells = Kind::ALL.into_iter().map(|kind| Cell { leg, phase, kind });
                all.extend(cells.filter(|c| c.rule().is_some()));
            }
        }
        all
    }

    /// Of its rule.
    pub fn name(self) -> String {
        format!("{:?}-{:?}-{:?}", self.leg, self.phase, self.kind)
    }

    /// The rule, which acts a few times and then no more; `None` where there is no such thing.
    pub fn rule(self) -> Option<String> {
        use Kind::*;
        let Cell { leg, phase, kind } = self;
        let mut at = phase.at(leg)?;
        match (phase, kind) {
            (Phase::Connect, Refuse | Stall | Pause) => {}
            (_, Refuse | Stall) => return None,
            // What takes bytes at the connect takes the first that come; spoilt, these are those of a head.
            (Phase::Connect, k) if k.spoils() => return None,
            (Phase::Connect, _) => at = "offset = 0",
            (Phase::AnswerHead, GarbleLength) if leg == Leg::Control => at = "http2 = 'frame', every = 3",
            (Phase::AnswerHead, GarbleLength) if matches!(leg, Leg::Discovery | Leg::ControlDiscovery) => {
                at = "http = 'length', every = 1";
            }
            (Phase::AnswerHead, GarbleLength) => at = "http = 'length', every = 2",
            (Phase::Body, GarbleLength) if matches!(leg, Leg::Client | Leg::Origin) => {
                at = "http = 'length', every = 1";
            }
            (Phase::Body, GarbleLength) if leg == Leg::Control => at = "http2 = 'frame', every = 3",
            (_, GarbleLength) => return None,
            _ => {}
        }
        let (name, listeners, lane, act) = (self.name(), leg.listeners(), phase.lane(), kind.act());
        Some(format!(
            "[[rule]]\nname = '{name}'\nlisteners = [{listeners}]\nlane = '{lane}'\nmost = 8\nat = {{ {at} }}\ndo = {{ {act} }}\n"
        ))
    }
}
