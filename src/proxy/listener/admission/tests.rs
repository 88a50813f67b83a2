use super::*;

/// Guards against slots for refusals that are added to the limits instead of being taken out of them.
#[test]
fn all_connections_together_stay_within_memory_and_descriptors() {
    const RESERVED: usize = 40;
    for memory_mb in [12, 16, 24, 32, 64, 192] {
        for sockets in [64, 128, 192, 256, 512, 1024] {
            let share = ResourceShare { sockets, memory: memory_mb << 20 };
            let limits = ConnectionLimits::of(share, RESERVED);
            let held = limits.connections * MAX_CONNECTION_MEMORY
                + limits.refusals * MAX_REFUSAL_MEMORY
                + OWN_MEMORY;
            assert!(limits.connections + limits.refusals + RESERVED <= sockets, "{share:?}: {limits:?}");
            assert!(held <= share.memory, "{share:?}: {limits:?} hold {held}");
            assert!(limits.refusals >= MIN_REFUSALS, "{share:?}: {limits:?}");
        }
    }
}

/// Guards against connections that are refused at once, though a slot is made a moment later, and against such that wait on and on.
#[test]
fn a_connection_is_refused_once_the_queue_has_been_congested_for_too_long() {
    let (congestion, start) = (Congestion::default(), Instant::now());
    assert!(!congestion.must_refuse(start, SlotSupply::AllBusy), "nobody waits");
    congestion.begin(start);
    // One that comes later does not begin anew: those before it still wait.
    congestion.begin(start + MAX_SLOT_WAIT / 2);
    assert_eq!(congestion.since(), Some(start));
    assert!(!congestion.must_refuse(start + MAX_SLOT_WAIT / 2, SlotSupply::AllBusy));
    assert!(congestion.must_refuse(start + MAX_SLOT_WAIT, SlotSupply::AllBusy));
    assert!(!congestion.must_refuse(start + MAX_SLOT_WAIT, SlotSupply::Evictable));
    assert!(congestion.must_refuse(start + MAX_EVICTION_WAIT, SlotSupply::Evictable));
    congestion.end();
    assert!(!congestion.must_refuse(start + MAX_EVICTION_WAIT, SlotSupply::AllBusy));
}
