//! Fencing by epochs.

use rushquay_lease::{Epoch, Fence, Stale};

#[test]
fn an_earlier_epoch_is_rejected() {
    let mut fence = Fence::default();
    let epoch_of = |name: &str| Epoch::of(name);
    assert_eq!(fence.pass(epoch_of("rushquay-1")), Ok(()));
    assert_eq!(fence.pass(epoch_of(&Epoch(7).name("rushquay-1"))), Ok(()));
    assert_eq!(fence.pass(Epoch(7)), Ok(()));
    assert_eq!(fence.pass(epoch_of("a@6")), Err(Stale { received: Epoch(6), seen: Epoch(7) }));
    assert!(fence.pass(epoch_of("another program")).is_err());
    assert_eq!(fence.pass(epoch_of("b@8")), Ok(()));
    assert_eq!(fence.seen(), Epoch(8));
}
