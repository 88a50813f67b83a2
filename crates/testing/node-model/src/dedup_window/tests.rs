use super::*;

#[test]
fn the_least_recently_used_goes_first_and_what_is_old_is_gone() {
    let mut kept = DedupWindow::new(NonZeroUsize::new(2).expect("not zero"), 100);
    kept.store(1, 0);
    kept.store(2, 10);
    assert!(kept.has(1, 20));
    kept.store(3, 30);
    assert!(!kept.has(2, 40) && kept.has(1, 40) && kept.has(3, 40));
    assert!(!kept.has(1, 100) && kept.has(3, 100));
    assert_eq!(kept.len(), 1);
}
