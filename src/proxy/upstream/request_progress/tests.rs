use super::*;

/// Guards against a request that counts as run, or as surely not run, by what was flushed of its body.
#[test]
fn a_request_is_written_with_the_first_flush_behind_its_last_byte() {
    let progress = RequestProgress::default();
    progress.record_write();
    assert!(!progress.record_flush() && !progress.is_written());
    progress.record_last_byte_handed_over();
    assert!(!progress.is_written());
    assert!(progress.record_flush() && progress.is_written());
    assert!(!progress.record_flush(), "completed twice");
}

/// Guards against a request without a body that counts as run before a byte of it was written.
#[test]
fn nothing_is_written_before_the_first_byte() {
    let progress = RequestProgress::of_whole_message();
    assert!(!progress.record_flush() && !progress.is_written());
}
