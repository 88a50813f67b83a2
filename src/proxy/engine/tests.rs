use super::*;

#[test]
fn an_impatient_client_keeps_most_of_its_time() {
    for (patience, most) in [(28, 3), (47, 4), (300, 10), (60_000, 10), (0, 0)] {
        assert!(margin(patience * 1_000_000) <= most * 1_000_000, "{patience}");
    }
}

/// Danger: a request that nobody answers is lost once its client stops waiting.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_the_module_leaves_unanswered_is_failed() {
    let (_held, answered) = oneshot::channel();
    let guard = Duration::from_millis(1);
    let mut ticket = Ticket { id: 1, answered: Some(answered), guard, engine: Weak::new() };
    assert!(matches!(ticket.answer().await, Answer::Overdue));
}
