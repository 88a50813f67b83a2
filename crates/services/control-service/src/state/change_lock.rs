//! The lock that serializes the start of rollouts and policy changes.

use crate::sync::lock;
use std::sync::{Mutex, MutexGuard};

/// Held while a rollout or a policy change is started, because neither may start while the other is running. First in the lock order.
#[derive(Default)]
pub struct ChangeLock(Mutex<()>);

/// Proof that the [`ChangeLock`] is held. Functions that start a change take it as an argument.
pub struct ChangeGuard<'a>(#[expect(dead_code, reason = "held for its drop")] MutexGuard<'a, ()>);

impl ChangeLock {
    /// Waits until no other change is being started.
    pub fn acquire(&self) -> ChangeGuard<'_> {
        ChangeGuard(lock(&self.0))
    }
}
