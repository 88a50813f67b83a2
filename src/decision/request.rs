//! The requests that are open.

use super::*;

pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) sent: Nanos,
    pub(super) pending: bool,
    pub(super) may_have_run: bool,
}

pub(super) struct Open {
    /// What it began under and ends under, whatever the module goes by meanwhile.
    pub(super) terms: Rc<Settings>,
    pub(super) class: usize,
    pub(super) bucket: Option<u32>,
    pub(super) write: bool,
    pub(super) aim_at: Nanos,
    pub(super) deadline: Nanos,
    pub(super) streaming: bool,
    pub(super) tenant: Option<usize>,
    pub(super) arrived: Nanos,
    pub(super) judged: bool,
    /// Worth little for its work.
    pub(super) poor: bool,
    /// Its server will probably fetch it from the origin.
    pub(super) fetch: bool,
    /// Asked first while it may be.
    pub(super) pinned: Option<ServerId>,
    pub(super) end: End,
    pub(super) attempts: Vec<Attempt>,
}

impl Open {
    pub(super) fn class(&self) -> Option<&Class> {
        self.terms.classes.get(self.class)
    }
}

/// How an attempt ended.
pub(super) struct Outcome {
    pub(super) id: RequestId,
    pub(super) attempt: usize,
    pub(super) server: ServerId,
    pub(super) status: Status,
    pub(super) elapsed: Nanos,
    pub(super) last: bool,
    pub(super) hit: Option<bool>,
}

/// What the last bad outcome of a request says of the servers.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum End {
    /// Nothing yet: if it ends so, it was late.
    #[default]
    Late,
    /// The server had no room.
    Full,
    /// The origin's doing, or the server's own fault: sending less would not mend it.
    Other,
}

impl Balancer {
    /// Takes a request off the books.
    pub(super) fn close(&mut self, id: RequestId) -> Option<Open> {
        let open = self.open.remove(&id)?;
        let out = open.attempts.iter().filter(|a| a.pending && open.fetch).count() as f64;
        self.origin_out = (self.origin_out - out).max(0.0);
        Some(open)
    }
}
