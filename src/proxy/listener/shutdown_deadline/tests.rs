use super::*;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against an upload that is taken so late that its process ends before its deadline.
#[tokio::test]
async fn a_body_is_due_while_its_request_still_has_its_whole_deadline() {
    let start = Instant::now();
    let end = start + ms(2600);
    for (began, time_limit, due) in [
        // Long before the end: the whole deadline is kept free.
        (start - ms(850), ms(1000), start + ms(1500)),
        (start - ms(850), ms(300), start + ms(2200)),
        // A head that comes too late for that: its body has a moment to arrive.
        (start + ms(2000), ms(1000), start + ms(2200)),
        // Never so late that the refusal itself could not be written.
        (start + ms(2450), ms(1000), start + ms(2500)),
        // A deadline that the end of the process does not wait for.
        (start, ms(5000), start + ms(200)),
    ] {
        assert_eq!(body_due_at(end, began, time_limit) - start, due - start);
    }
}

/// Guards against a request that is answered as if the process were ending while it is not.
#[tokio::test]
async fn nothing_is_due_before_graceful_shutdown_begins() {
    let deadline = ShutdownDeadline::default();
    assert_eq!(deadline.time_left(), None);
    assert!(tokio::time::timeout(ms(50), deadline.answers_due()).await.is_err());
    let end = Instant::now() + ms(100);
    deadline.set(end);
    deadline.answers_due().await;
    assert!(Instant::now() >= end - FINAL_WRITE_WINDOW);
}
