//! The lock that lets one rollout or policy change start at a time.

use crate::sync::lock;
use std::sync::{Mutex, MutexGuard};

/// Held while a rollout or a policy change is started, so that each sees whether the other is under way. Locked before all else.
#[derive(Default)]
pub struct ChangeLock(Mutex<()>);

/// Proof that no other change is being started. Whoever starts one has to be given it.
pub struct ChangeGuard<'a>(#[expect(dead_code, reason = "held for its drop")] MutexGuard<'a, ()>);

impl ChangeLock {
    /// Waits until no other change is being started.
    pub fn acquire(&self) -> ChangeGuard<'_> {
        ChangeGuard(lock(&self.0))
    }
}
