//! The four rules against the books.

use crate::{Answer, Effect, History, Nanos, Request, Tolerance, Violation};

impl History {
    /// What was broken, sorted; nothing where all rules were kept.
    pub fn audit(&self, tolerance: Tolerance) -> Vec<Violation> {
        let mut breaches = Vec::new();
        for (id, request) in &self.requests {
            answers(id, request, tolerance, &mut breaches);
            effects(id, request, &mut breaches);
            for (at, node) in &request.sent {
                if request.asked.is_none() {
                    breaches.push(Violation::Unasked(id.clone(), node.clone()));
                }
                if let Some(told) = self.drained_at(node, *at) {
                    let by = at - told;
                    if by > tolerance.drain {
                        breaches.push(Violation::SentToDrained { id: id.clone(), node: node.clone(), by });
                    }
                }
            }
        }
        breaches.sort();
        breaches
    }

    /// Since when a node was drained at this time, if it was.
    fn drained_at(&self, node: &str, at: Nanos) -> Option<Nanos> {
        let mut told: Vec<_> = self.told.get(node)?.iter().filter(|(when, _)| *when <= at).collect();
        told.sort();
        let mut since = None;
        for (when, drained) in told {
            since = if *drained { since.or(Some(*when)) } else { None };
        }
        since
    }
}

fn answers(id: &str, request: &Request, tolerance: Tolerance, breaches: &mut Vec<Violation>) {
    let first = request.finals.iter().map(|(at, ..)| *at).min();
    if request.finals.len() > 1 {
        breaches.push(Violation::Answers(id.to_owned(), request.finals.len()));
    }
    if let Some((asked, _, within)) = request.asked.filter(|_| !request.excused) {
        match first {
            None => breaches.push(Violation::Unanswered(id.to_owned())),
            Some(at) if at > asked + within + tolerance.late => {
                breaches.push(Violation::Late { id: id.to_owned(), by: at - asked - within });
            }
            Some(_) => {}
        }
    }
    // What a client that has gone still got says nothing of when its request was over.
    for (at, node) in request.sent.iter().filter(|_| !request.excused) {
        if let Some(over) = first.filter(|over| *at > over + tolerance.crossing) {
            breaches.push(Violation::SentAfterFinal { id: id.to_owned(), node: node.clone(), by: at - over });
        }
    }
    for (_, answer, by) in &request.finals {
        let made = |by: &String| request.ran.iter().any(|(_, node)| node == by);
        match (answer, by) {
            (Answer::Served, Some(by)) if !made(by) => {
                breaches.push(Violation::Forged(id.to_owned(), by.clone()));
            }
            (Answer::Served, None) => breaches.push(Violation::Forged(id.to_owned(), "nobody".into())),
            _ => {}
        }
    }
}

fn effects(id: &str, request: &Request, breaches: &mut Vec<Violation>) {
    let Some((_, effect, _)) = request.asked else { return };
    if effect != Effect::Safe && request.ran.len() > 1 {
        breaches.push(Violation::Doubled(id.to_owned(), request.ran.len()));
    }
    let refused = request.finals.iter().any(|(_, a, _)| *a == Answer::Refused);
    // A keyed one that ran may be refused: the repeat is dropped.
    if let (Effect::Unsafe, true, Some((_, node))) = (effect, refused, request.ran.first()) {
        breaches.push(Violation::RefusedAfterRun(id.to_owned(), node.clone()));
    }
}
