//! Which failed attempts of an outage are logged.

use rushquay_xds::client::Outage;

#[test]
fn a_long_outage_is_logged_in_few_lines() {
    let mut outage = Outage::default();
    assert_eq!(outage.over(), None);
    let told: Vec<u64> = (0..1000).filter_map(|_| outage.failed("refused")).collect();
    assert_eq!(told, [1, 2, 4, 8, 16, 32, 64, 128, 256, 512]);
    assert_eq!(outage.failed("no answer"), Some(1001));
    assert_eq!((outage.over(), outage.over()), (Some(1001), None));
    assert_eq!(outage.failed("no answer"), Some(1));
}
