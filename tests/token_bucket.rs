//! The token bucket of the decision module.

use rushquay::decision::token_bucket::TokenBucket;

#[test]
fn it_refills_with_time_up_to_its_capacity_and_not_when_the_clock_goes_backwards() {
    let mut bucket = TokenBucket { tokens: -1.0, refilled_at: 0 };
    assert_eq!(bucket.refill(1_000_000_000, 0.5, 2.0), -0.5);
    assert_eq!(bucket.refill(500_000_000, 0.5, 2.0), -0.5);
    assert_eq!(bucket.refill(100_000_000_000, 0.5, 2.0), 2.0);
}
