//! Messages between processes, and records that are kept as JSON. Each example stands in a file as it travels; read and written again it
//! has to be the same to the byte, so that a field under another name, or one that is lost, is seen.

use crate::golden::read;
use rushquay::proxy::control::policy_client::PolicyHandover;
use rushquay_config_version::ConfigAssignment;
use rushquay_handover::{IncumbentMessage, SuccessorMessage};
use rushquay_membership::Report;
use rushquay_policy::{LeaseGrant, LeaseRequest, PolicyBroadcast, PolicyRecord};
use rushquay_rollout::RegistryRecord as RolloutRecord;
use rushquay_supervisor::{Heartbeat, SupervisorRecord as HostRecord, SupervisorReport};

/// Each line of a file is an example.
fn each_line_comes_back(name: &str, again: impl Fn(&str) -> String) {
    let text = read(&format!("messages/{name}"));
    assert!(text.lines().count() > 0, "{name}");
    for line in text.lines() {
        assert_eq!(again(line), line, "{name}");
    }
}

/// A message with its length in four bytes ahead.
fn unframed(bytes: Vec<u8>) -> String {
    let (length, body) = bytes.split_at(4);
    assert_eq!(u32::from_be_bytes(length.try_into().expect("four bytes")) as usize, body.len());
    String::from_utf8(body.to_vec()).expect("text")
}

#[test]
fn handover_messages_of_the_new_process_are_unchanged() {
    each_line_comes_back("handover_to_old.jsonl", |line| {
        unframed(SuccessorMessage::read(line.as_bytes()).expect(line).bytes())
    });
}

#[test]
fn handover_messages_of_the_old_process_are_unchanged() {
    each_line_comes_back("handover_to_new.jsonl", |line| {
        unframed(IncumbentMessage::read(line.as_bytes()).expect(line).bytes())
    });
}

#[test]
fn the_policy_that_is_handed_over_is_unchanged() {
    each_line_comes_back("handover_policy.jsonl", |line| PolicyHandover::read(line).expect(line).text());
}

#[test]
fn heartbeats_of_a_process_to_its_supervisor_are_unchanged() {
    each_line_comes_back("heartbeat.jsonl", |line| {
        String::from_utf8(Heartbeat::read(line.as_bytes()).expect(line).bytes()).expect("text")
    });
}

#[test]
fn reports_of_supervisors_are_unchanged() {
    each_line_comes_back("host_report.jsonl", |line| SupervisorReport::read(line).expect(line).text());
}

#[test]
fn the_record_of_a_supervisor_is_unchanged() {
    each_line_comes_back("host_record.jsonl", |line| HostRecord::read(line).expect(line).text());
}

#[test]
fn reports_of_proxies_are_unchanged() {
    each_line_comes_back("report.jsonl", |line| Report::read(line).expect(line).text());
}

#[test]
fn settings_assignments_are_unchanged() {
    each_line_comes_back("assignment.jsonl", |line| ConfigAssignment::read(line).expect(line).text());
}

#[test]
fn lease_requests_for_a_policy_are_unchanged() {
    each_line_comes_back("policy_lease_request.jsonl", |line| LeaseRequest::read(line).expect(line).text());
}

#[test]
fn lease_grants_for_a_policy_are_unchanged() {
    each_line_comes_back("policy_lease_grant.jsonl", |line| LeaseGrant::read(line).expect(line).text());
}

#[test]
fn policy_broadcasts_are_unchanged() {
    each_line_comes_back("policy_broadcast.jsonl", |line| PolicyBroadcast::read(line).expect(line).text());
}

#[test]
fn stored_policy_records_are_unchanged() {
    each_line_comes_back("policy_record.jsonl", |line| {
        let record: PolicyRecord = serde_json::from_str(line).expect(line);
        serde_json::to_string(&record).expect("JSON")
    });
}

#[test]
fn stored_rollout_records_are_unchanged() {
    each_line_comes_back("rollout_record.jsonl", |line| {
        let record: RolloutRecord = serde_json::from_str(line).expect(line);
        serde_json::to_string(&record).expect("JSON")
    });
}
