use super::*;

#[test]
fn a_record_of_version_1_is_upgraded() {
    let old = br#"{"id":"a","addr":null,"zone":"z","kind":"k","cell":1,"state":"draining","weight":2.0,"started":7,"listed":3,"shared":true}"#;
    let stored = StoredEndpoint::read(&seal(1, old)).expect("read");
    assert_eq!((stored.started_ns, stored.listed, stored.state.as_str()), (7_000_000, 3, "draining"));
    assert_eq!(StoredEndpoint::read(&stored.record()), Ok(stored));
}

#[test]
fn damage_in_any_byte_is_detected_and_later_versions_are_rejected() {
    let record = seal(FORMAT_VERSION, b"{}");
    for at in 0..record.len() {
        let mut damaged = record.clone();
        damaged[at] ^= 0x10;
        assert_eq!(open(&damaged), Err(RecordError::Damaged), "byte {at}");
    }
    assert_eq!(open(&record[..3]), Err(RecordError::Damaged));
    assert_eq!(open(&seal(9, b"{}")), Err(RecordError::Newer(9)));
}
