use super::*;

#[test]
fn a_range_ends_after_the_last_key_with_its_prefix() {
    assert_eq!(range_end(b"a/"), b"a0");
    assert_eq!(range_end(&[1, 0xff]), [2]);
    assert_eq!(range_end(&[0xff]), [0]);
    assert_eq!(Prefix::new("/"), None);
    assert_eq!(Prefix::new("/rushquay").map(|p| p.key("leader")), Some(b"/rushquay/leader".to_vec()));
}
