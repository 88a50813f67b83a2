use super::*;
use std::time::Duration;

#[test]
fn advice_to_wait_reaches_the_client_as_seconds() {
    for (wait, advice) in [(1500, Some("1.500")), (0, None)] {
        let answer = respond_with(Answer::Refused(Duration::from_millis(wait)));
        let told = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
        assert_eq!((answer.status(), told), (StatusCode::SERVICE_UNAVAILABLE, advice));
    }
}
