//! Fencing by epochs.

use rushquay_lease::{Epoch, Fence, StaleEpoch};

#[test]
fn an_earlier_epoch_is_rejected() {
    let mut fence = Fence::default();
    let epoch_of = |name: &str| Epoch::from_name(name);
    assert_eq!(fence.check(epoch_of("rushquay-1")), Ok(()));
    assert_eq!(fence.check(epoch_of(&Epoch(7).name("rushquay-1"))), Ok(()));
    assert_eq!(fence.check(Epoch(7)), Ok(()));
    assert_eq!(fence.check(epoch_of("a@6")), Err(StaleEpoch { received: Epoch(6), seen: Epoch(7) }));
    assert!(fence.check(epoch_of("another program")).is_err());
    assert_eq!(fence.check(epoch_of("b@8")), Ok(()));
    assert_eq!(fence.seen(), Epoch(8));
}
