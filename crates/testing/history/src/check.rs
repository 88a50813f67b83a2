//! Checks a history against the four delivery rules.

use crate::{Answer, Effect, History, Nanos, Request, Tolerance, Violation};

impl History {
    /// Returns all violations, sorted; empty if all rules were upheld.
    pub fn audit(&self, tolerance: Tolerance) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, request) in &self.requests {
            check_responses(id, request, tolerance, &mut violations);
            check_executions(id, request, &mut violations);
            for (at, node) in &request.sent {
                if request.requested.is_none() {
                    violations.push(Violation::Unasked(id.clone(), node.clone()));
                }
                if let Some(notified_at) = self.drained_at(node, *at) {
                    let by = at - notified_at;
                    if by > tolerance.drain {
                        violations.push(Violation::SentToDrained { id: id.clone(), node: node.clone(), by });
                    }
                }
            }
        }
        violations.sort();
        violations
    }

    /// Since when `node` was draining at the time `at`, if it was.
    fn drained_at(&self, node: &str, at: Nanos) -> Option<Nanos> {
        let mut notifications: Vec<_> = self
            .drain_notifications
            .get(node)?
            .iter()
            .filter(|(notified_at, _)| *notified_at <= at)
            .collect();
        notifications.sort();
        let mut since = None;
        for (notified_at, is_draining) in notifications {
            since = if *is_draining { since.or(Some(*notified_at)) } else { None };
        }
        since
    }
}

fn check_responses(id: &str, request: &Request, tolerance: Tolerance, violations: &mut Vec<Violation>) {
    let first_response_at = request.final_responses.iter().map(|(at, ..)| *at).min();
    if request.final_responses.len() > 1 {
        violations.push(Violation::Answers(id.to_owned(), request.final_responses.len()));
    }
    if let Some((requested_at, _, within)) = request.requested.filter(|_| !request.is_excused) {
        match first_response_at {
            None => violations.push(Violation::Unanswered(id.to_owned())),
            Some(at) if at > requested_at + within + tolerance.late => {
                violations.push(Violation::Late { id: id.to_owned(), by: at - requested_at - within });
            }
            Some(_) => {}
        }
    }
    // A response that a client still got after it was gone does not tell when its request had ended.
    for (at, node) in request.sent.iter().filter(|_| !request.is_excused) {
        if let Some(ended_at) = first_response_at.filter(|ended_at| *at > ended_at + tolerance.crossing) {
            violations.push(Violation::SentAfterFinal {
                id: id.to_owned(),
                node: node.clone(),
                by: at - ended_at,
            });
        }
    }
    for (_, answer, by) in &request.final_responses {
        let ran_at_node = |by: &String| request.executions.iter().any(|(_, node)| node == by);
        match (answer, by) {
            (Answer::Served, Some(by)) if !ran_at_node(by) => {
                violations.push(Violation::Forged(id.to_owned(), by.clone()));
            }
            (Answer::Served, None) => violations.push(Violation::Forged(id.to_owned(), "nobody".into())),
            _ => {}
        }
    }
}

fn check_executions(id: &str, request: &Request, violations: &mut Vec<Violation>) {
    let Some((_, effect, _)) = request.requested else { return };
    if effect != Effect::Safe && request.executions.len() > 1 {
        violations.push(Violation::Doubled(id.to_owned(), request.executions.len()));
    }
    let is_refused = request.final_responses.iter().any(|(_, answer, _)| *answer == Answer::Refused);
    // A keyed request that was executed may be refused: a repeat of it is dropped.
    if let (Effect::Unsafe, true, Some((_, node))) = (effect, is_refused, request.executions.first()) {
        violations.push(Violation::RefusedAfterRun(id.to_owned(), node.clone()));
    }
}
