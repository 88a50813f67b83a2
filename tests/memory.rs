//! What a module holds does not grow without end, whatever comes and goes.
#![allow(unsafe_code, reason = "an allocator that counts what is held")]

mod common;
use common::*;
use rushquay::api::*;
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};

/// The system's allocator, counting what is held. The only test of this file, so that nothing else counts.
struct Counting;
static HELD: AtomicIsize = AtomicIsize::new(0);

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Replaces the whole fleet and plays requests for keys never seen before, which end in every way there is.
fn round(p: &mut Proxy, n: u64) {
    p.list(ListKind::Full, entries(n * 50..n * 50 + 50));
    for i in 0..3000u64 {
        p.now += 2 * MS;
        let (id, actions) = p.ask((n * 3000 + i).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some(server) = sent(&actions) else { continue };
        let hit = Some(i % 5 == 0);
        let actions = match i % 8 {
            0 => p.end(id, 0, server, Status::Timeout, None),
            1 => p.end(id, 0, server, Status::ConnectFailed, None),
            2 => p.event(Event::ClientGone(id)),
            3 => p.event(Event::StreamStarted(id)),
            _ => p.end(id, 0, server, Status::Ok, hit),
        };
        // A second attempt, or the streamed answer, comes to an end too.
        if let Some(second) = sent(&actions) {
            p.end(id, 1, second, Status::Ok, hit);
        } else if i % 8 == 3 {
            p.end(id, 0, server, Status::Ok, hit);
        }
    }
}

#[test]
fn what_is_held_does_not_grow_with_servers_keys_and_requests_that_come_and_go() {
    let mut p = Proxy::new(settings(), 7);
    (0..20).for_each(|n| round(&mut p, n));
    let before = HELD.load(Ordering::Relaxed);
    (20..60).for_each(|n| round(&mut p, n));
    let after = HELD.load(Ordering::Relaxed);
    assert!(before > 100_000, "{before} bytes held: too few to be counted rightly");
    assert!(after < before + before / 10, "{before} bytes held after 20 fleets, {after} after 60");

    // An hour in which a server is replaced twice a second.
    let mut p = Proxy::new(settings(), 7);
    p.list(ListKind::Full, entries(0..50));
    let mut quarter = 0;
    for n in 0..7200u64 {
        p.now += 500 * MS;
        let gone = Entry { state: State::Gone, ..entry(n) };
        let came = Entry { started_at: p.now, ..entry(n + 50) };
        p.list(ListKind::Delta, vec![gone, came]);
        for i in 0..8u64 {
            let (id, actions) = p.ask(i.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (n % 64));
            if let Some(server) = sent(&actions) {
                assert!((n + 1..n + 51).any(|live| entry(live).server == server), "a server that has gone");
                p.end(id, 0, server, if i == 0 { Status::Full } else { Status::Ok }, Some(i % 2 == 0));
            }
        }
        if n == 1800 {
            quarter = HELD.load(Ordering::Relaxed);
        }
    }
    let end = HELD.load(Ordering::Relaxed);
    assert!(
        end < quarter + quarter / 10,
        "{quarter} bytes held after a quarter of an hour, {end} after an hour"
    );
}
