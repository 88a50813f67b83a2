use super::*;

#[test]
fn the_margin_leaves_a_client_with_a_short_deadline_most_of_its_time() {
    for (timeout, max) in [(28, 3), (47, 4), (300, 10), (60_000, 10), (0, 0)] {
        assert!(margin(timeout * 1_000_000) <= max * 1_000_000, "{timeout}");
    }
}

/// Danger: a request that the decision module never answers would leave its client waiting until it gives up.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_the_module_leaves_unanswered_fails_before_the_deadline() {
    let (_sender, receiver) = oneshot::channel();
    let max_wait = Duration::from_millis(1);
    let mut ticket = Ticket { id: 1, receiver: Some(receiver), max_wait, engine: Weak::new() };
    assert!(matches!(ticket.answer().await, Answer::Overdue));
}
