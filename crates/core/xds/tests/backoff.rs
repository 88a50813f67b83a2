//! Backoff between connection attempts.

use rushquay_xds::client::Backoff;
use rushquay_xds::Nanos;

#[test]
fn waits_double_up_to_the_cap_and_are_half_random() {
    let mut b = Backoff::new(100, 1000);
    let waits: Vec<Nanos> = (0..6).map(|_| b.failed(1.0).wait).collect();
    assert_eq!(waits, [100, 200, 400, 800, 1000, 1000]);
    assert_eq!(b.failed(0.0).wait, 500);
    b.worked();
    assert_eq!(b.failed(0.5).wait, 75);
    (0..100).for_each(|_| assert!(b.failed(1.0).wait <= 1000));
}
