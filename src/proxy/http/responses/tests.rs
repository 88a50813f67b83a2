use super::*;
use std::time::Duration;

#[test]
fn retry_after_is_sent_in_seconds_unless_zero() {
    for (wait, advice) in [(1500, Some("1.500")), (0, None)] {
        let response = respond_with(Answer::Rejected(Duration::from_millis(wait)));
        let retry_after = response.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
        assert_eq!((response.status(), retry_after), (StatusCode::SERVICE_UNAVAILABLE, advice));
    }
}
