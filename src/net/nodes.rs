//! The node list of this proxy: its own discovery's alone, or merged with a control service's.

use super::engine::Engine;
use crate::api::ListKind;
use rushquay_nodes::{Changes, Member, Members, Merge, MergeLimits, News, NodeState, Source};
use std::cell::RefCell;
use std::rc::Rc;

/// Takes news from the sources and hands the module one list.
pub struct NodeList {
    engine: Rc<Engine>,
    /// Where a control service is subscribed to.
    merge: Option<RefCell<Merge>>,
}

impl NodeList {
    /// With `limits` discovery's list is merged with a control service's; without, it goes on as it comes.
    pub fn new(engine: Rc<Engine>, limits: Option<MergeLimits>, known: Option<&Members>) -> Rc<Self> {
        let merge = limits.map(|limits| {
            let mut merge = Merge::new(limits);
            if let Some(known) = known {
                // The engine has it from the configuration.
                let _ = merge.list(Source::Known, known, engine.now());
            }
            RefCell::new(merge)
        });
        Rc::new(NodeList { engine, merge })
    }

    /// Discovery has told the whole list, or what changed.
    pub fn discovered(&self, list: &Members) {
        let Some(merge) = &self.merge else {
            let kind = if list.full { ListKind::Full } else { ListKind::Delta };
            return self.engine.list(kind, &list.servers);
        };
        let merge = &mut *merge.borrow_mut();
        let changes = merge.list(Source::Discovery, list, self.engine.now());
        if list.full {
            let all: Vec<Member> = merge.nodes().map(|v| v.member.clone()).collect();
            self.engine.list(ListKind::Full, &all);
        } else {
            // Also where nothing changed: the module hears that discovery answers.
            self.changed(changes);
        }
    }

    /// Discovery can't be reached; its list stands.
    pub fn failed(&self) {
        if let Some(merge) = &self.merge {
            merge.borrow_mut().lost(Source::Discovery);
        }
        self.engine.list(ListKind::Failed, &[]);
    }

    /// The control service, as the process named, has told something.
    pub fn controlled(&self, process: &str, news: News) {
        self.with_merge(|merge, now| merge.control(process, news, now));
    }

    /// The control service can't be reached; what it said stands.
    pub fn control_lost(&self) {
        self.with_merge(|merge, _| {
            merge.lost(Source::Control);
            Changes::default()
        });
    }

    /// The control service has had its say on this stream.
    pub fn control_confirmed(&self) {
        self.with_merge(|merge, _| {
            merge.confirm();
            Changes::default()
        });
    }

    /// Time has passed.
    pub fn tick(&self) {
        self.with_merge(Merge::tick);
    }

    fn with_merge(&self, change: impl FnOnce(&mut Merge, rushquay_nodes::Nanos) -> Changes) {
        let Some(merge) = &self.merge else { return };
        let changes = change(&mut merge.borrow_mut(), self.engine.now());
        if !changes.is_empty() {
            self.changed(changes);
        }
    }

    fn changed(&self, changes: Changes) {
        let gone = changes.gone.into_iter().map(|m| Member { state: NodeState::Gone, ..m });
        let entries: Vec<Member> = gone.chain(changes.upserts).collect();
        self.engine.list(ListKind::Delta, &entries);
    }
}
